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

// Sizes of a soak.
const (
	soakEngines = 5
	soakModels  = 7
	soakSteps   = 40
)

func soakModel(i int) fleet.ModelID     { return fleet.ModelID(fmt.Sprintf("m%d", i%soakModels)) }
func soakEngine(i int) fleet.UpstreamID { return fleet.UpstreamID(fmt.Sprintf("engine-%d", i)) }

// soak is a coordinator under faults: another VM may take its duty, and engines
// crash, fall silent, and lose orders or carry them out late.
type soak struct {
	*world
	born int64
	// fence is the fencing token of the VM that has the duty.
	fence *atomic.Int64
	// term is the fencing token of the VM that took the duty last.
	term  int64
	stops []func()
}

// longestDuty is how long a VM may still think that it has the duty after another
// one took it: longer than the crew's bound, 0.9 s.
const longestDuty = time.Second

// begin lets another VM take the duty. The one before may still think that it has
// it, for a time or until an engine refuses its lower fencing token.
func (s *soak) begin() {
	s.term++
	if before := s.fence; before != nil {
		time.AfterFunc(longestDuty, func() { before.Store(0) })
	}
	fence := &atomic.Int64{}
	s.fence = fence
	fence.Store(s.term)
	c := s.another(fence)
	s.c = c
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	s.stops = append(s.stops, func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			panic(err) // No other end is meant.
		}
	})
}

// end stops all VMs.
func (s *soak) end() {
	for _, stop := range s.stops {
		stop()
	}
}

// crash starts an engine anew and empty.
func (s *soak) crash(id fleet.UpstreamID) {
	s.engines.mu.Lock()
	defer s.engines.mu.Unlock()
	s.born++
	f := s.engines.all[id]
	*f = fakeEngine{models: make(map[fleet.ModelID]map[fleet.AdapterID]bool), inUse: make(map[fleet.AdapterID]bool), born: s.born}
	s.roster.Put(roster.Entry{ID: id, Service: "texts", Address: "192.0.2.1:80", Born: s.born})
}

// set changes what goes wrong at engines.
func (s *soak) set(f func(e *engines)) {
	s.engines.mu.Lock()
	defer s.engines.mu.Unlock()
	f(s.engines)
}

// ask sends a message of a VM, and a wish.
func (s *soak) ask(model fleet.ModelID, adapter int) error {
	in := coordinator.Sync{VM: "vm-2", Demand: []coordinator.Demand{{Service: "texts", Model: model, Tokens: 20_000}}}
	if err := s.c.Service().Sync(in, &coordinator.SyncAnswer{}); err != nil && !errors.Is(err, coordinator.ErrNotCoordinator) {
		return err
	}
	wish := coordinator.Wish{Service: "texts", Adapter: roster.Adapter{Model: model, Adapter: fleet.AdapterID(fmt.Sprintf("a%d", adapter))}}
	// What counts is that no limit breaks, not that each wish is met.
	_ = s.c.Service().Wish(wish, &coordinator.WishAnswer{})
	return nil
}

// Whatever fails, no engine is ordered over its limits, and once the faults are
// over each model has a copy again.
func TestSoakKeepsLimits(t *testing.T) {
	bubble.SetFlagDefault(t, "rapid.checks", "40")
	bubble.Check(t, func(t *rapid.T) {
		var models []fleet.ModelID
		for i := range soakModels {
			models = append(models, soakModel(i))
		}
		s := &soak{world: newWorld(spec(models...)), born: 1}
		for i := range soakEngines {
			s.engines.add(s.roster, soakEngine(i), soakModel(i), soakModel(i+1))
		}
		s.begin()
		defer s.end()
		for range soakSteps {
			s.fault(t)
			if err := s.ask(soakModel(rapid.IntRange(0, soakModels-1).Draw(t, "model")), rapid.IntRange(0, 5).Draw(t, "adapter")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Duration(rapid.IntRange(50, 900).Draw(t, "ms")) * time.Millisecond)
			s.set(func(e *engines) {
				if len(e.broken) > 0 {
					t.Fatalf("ordered over the limits: %v", e.broken)
				}
			})
		}
		s.recover(t, models)
	})
}

// fault makes something go wrong, or nothing.
func (s *soak) fault(t *rapid.T) {
	id := soakEngine(rapid.IntRange(0, soakEngines-1).Draw(t, "engine"))
	switch rapid.SampledFrom([]string{"nothing", "nothing", "crash", "dark", "light", "late", "prompt", "duty"}).Draw(t, "fault") {
	case "crash":
		s.crash(id)
	case "dark":
		s.set(func(e *engines) { e.all[id].dark = true })
	case "light":
		s.set(func(e *engines) { e.all[id].dark = false })
	case "late":
		late := time.Duration(rapid.IntRange(100, 3000).Draw(t, "late")) * time.Millisecond
		s.set(func(e *engines) { e.late = late })
	case "prompt":
		s.set(func(e *engines) { e.late = 0 })
	case "duty":
		s.begin()
	}
}

// recover ends all faults and waits until each model has a copy.
func (s *soak) recover(t *rapid.T, models []fleet.ModelID) {
	s.set(func(e *engines) {
		e.late = 0
		for _, f := range e.all {
			f.dark = false
		}
	})
	const within = time.Minute // a load takes 4 s, a lost order is given up after 16 s
	time.Sleep(within)
	for _, m := range models {
		if len(s.engines.holders(m)) == 0 {
			t.Fatalf("no engine holds %s: %s", m, s.state())
		}
	}
	s.set(func(e *engines) {
		if len(e.broken) > 0 {
			t.Fatalf("ordered over the limits: %v", e.broken)
		}
	})
}

// state lists what the engines hold.
func (s *soak) state() string {
	var out strings.Builder
	s.set(func(e *engines) {
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
