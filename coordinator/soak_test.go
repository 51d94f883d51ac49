package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanfall/coordinator"
	"toucanfall/fleet"
	"toucanfall/internal/bubble"
	"toucanfall/roster"
)

const (
	soakEngines = 5
	soakModels  = 7
	soakSteps   = 40
)

func soakModel(i int) fleet.ModelID     { return fleet.ModelID(fmt.Sprintf("m%d", i%soakModels)) }
func soakEngine(i int) fleet.UpstreamID { return fleet.UpstreamID(fmt.Sprintf("engine-%d", i)) }

// soak runs coordinators under faults: another VM may take the leadership, and engines
// restart, stop answering, and lose orders or carry them out late.
type soak struct {
	*harness
	lastStart int64
	// fence is the fencing token of the current coordinator, which is set to 0 when it
	// learns that it has lost the leadership.
	fence *atomic.Int64
	// term is the highest fencing token issued.
	term  int64
	stops []func()
}

// maxStaleLeadership is how long a VM may still consider itself the coordinator after
// another one has taken the leadership: longer than the bound of package group, 0.9 s.
const maxStaleLeadership = time.Second

// changeLeader lets another VM take the leadership. Its predecessor may still act until
// maxStaleLeadership has passed or an engine rejects its lower fencing token.
func (s *soak) changeLeader() {
	s.term++
	if before := s.fence; before != nil {
		time.AfterFunc(maxStaleLeadership, func() { before.Store(0) })
	}
	fence := &atomic.Int64{}
	s.fence = fence
	fence.Store(s.term)
	c := s.newCoordinator(fence)
	s.c = c
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	s.stops = append(s.stops, func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			panic(err) // Run must end only when it is cancelled.
		}
	})
}

// stop stops all VMs.
func (s *soak) stop() {
	for _, stop := range s.stops {
		stop()
	}
}

// restartEngine restarts an engine, which is empty then.
func (s *soak) restartEngine(id fleet.UpstreamID) {
	s.engines.mu.Lock()
	defer s.engines.mu.Unlock()
	s.lastStart++
	f := s.engines.all[id]
	*f = fakeEngine{models: make(map[fleet.ModelID]map[fleet.AdapterID]bool), inUse: make(map[fleet.AdapterID]bool), start: s.lastStart}
	s.roster.Put(roster.Entry{ID: id, Service: "texts", Address: "192.0.2.1:80", Born: s.lastStart})
}

// withEngines calls f under the engines' lock.
func (s *soak) withEngines(f func(e *engines)) {
	s.engines.mu.Lock()
	defer s.engines.mu.Unlock()
	f(s.engines)
}

// sendRequests sends a VM's message and an adapter request.
func (s *soak) sendRequests(model fleet.ModelID, adapter int) error {
	in := coordinator.Sync{VM: "vm-2", Demand: []coordinator.Demand{{Service: "texts", Model: model, Tokens: 20_000}}}
	if err := s.c.Service().Sync(in, &coordinator.SyncAnswer{}); err != nil && !errors.Is(err, coordinator.ErrNotCoordinator) {
		return err
	}
	request := coordinator.Wish{Service: "texts", Adapter: roster.Adapter{Model: model, Adapter: fleet.AdapterID(fmt.Sprintf("a%d", adapter))}}
	// The request may fail: the test only checks the limits.
	_ = s.c.Service().Wish(request, &coordinator.WishAnswer{})
	return nil
}

// Under any faults no engine is ordered beyond its limits, and each model has a copy again
// after the faults have ended.
func TestSoakKeepsLimits(t *testing.T) {
	bubble.SetFlagDefault(t, "rapid.checks", "40")
	bubble.Check(t, func(t *rapid.T) {
		var models []fleet.ModelID
		for i := range soakModels {
			models = append(models, soakModel(i))
		}
		s := &soak{harness: newHarness(spec(models...)), lastStart: 1}
		for i := range soakEngines {
			s.engines.add(s.roster, soakEngine(i), soakModel(i), soakModel(i+1))
		}
		s.changeLeader()
		defer s.stop()
		for range soakSteps {
			s.injectFault(t)
			if err := s.sendRequests(soakModel(rapid.IntRange(0, soakModels-1).Draw(t, "model")), rapid.IntRange(0, 5).Draw(t, "adapter")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Duration(rapid.IntRange(50, 900).Draw(t, "ms")) * time.Millisecond)
			s.withEngines(func(e *engines) {
				if len(e.overcommitted) > 0 {
					t.Fatalf("ordered over the limits: %v", e.overcommitted)
				}
			})
		}
		s.checkRecovery(t, models)
	})
}

// injectFault injects a fault, ends one, or does nothing.
func (s *soak) injectFault(t *rapid.T) {
	id := soakEngine(rapid.IntRange(0, soakEngines-1).Draw(t, "engine"))
	switch rapid.SampledFrom([]string{"nothing", "nothing", "crash", "dark", "light", "late", "prompt", "duty"}).Draw(t, "fault") {
	case "crash":
		s.restartEngine(id)
	case "dark":
		s.withEngines(func(e *engines) { e.all[id].silent = true })
	case "light":
		s.withEngines(func(e *engines) { e.all[id].silent = false })
	case "late":
		late := time.Duration(rapid.IntRange(100, 3000).Draw(t, "late")) * time.Millisecond
		s.withEngines(func(e *engines) { e.orderDelay = late })
	case "prompt":
		s.withEngines(func(e *engines) { e.orderDelay = 0 })
	case "duty":
		s.changeLeader()
	}
}

// checkRecovery ends all faults and fails the test unless each model has a copy a minute
// later.
func (s *soak) checkRecovery(t *rapid.T, models []fleet.ModelID) {
	s.withEngines(func(e *engines) {
		e.orderDelay = 0
		for _, f := range e.all {
			f.silent = false
		}
	})
	const within = time.Minute // a load takes 4 s, an order without an answer times out after 16 s
	time.Sleep(within)
	for _, m := range models {
		if len(s.engines.holders(m)) == 0 {
			t.Fatalf("no engine holds %s: %s", m, s.state())
		}
	}
	s.withEngines(func(e *engines) {
		if len(e.overcommitted) > 0 {
			t.Fatalf("ordered over the limits: %v", e.overcommitted)
		}
	})
}

// state describes what the engines hold.
func (s *soak) state() string {
	var out strings.Builder
	s.withEngines(func(e *engines) {
		for i := range soakEngines {
			f := e.all[soakEngine(i)]
			fmt.Fprintf(&out, "%d: seq %d fence %d loading %q", i, f.seq, f.fence, f.loading)
			for _, m := range slices.Sorted(maps.Keys(f.models)) {
				fmt.Fprintf(&out, " %s%v", m, slices.Sorted(maps.Keys(f.models[m])))
			}
			out.WriteString("; ")
		}
	})
	return out.String()
}
