package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/catalogue"
	"toucanfall/coordinator"
	"toucanfall/fleet"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// spec returns a service whose engines have memory for two of its models.
func spec(models ...fleet.ModelID) *catalogue.Engine {
	e := &catalogue.Engine{
		WeightsMB: 210, AdapterSlots: 2, LoadsPerSecond: 10, LoadsAtOnce: 8,
		Models: make(map[fleet.ModelID]*catalogue.Model),
	}
	for _, m := range models {
		e.Models[m] = &catalogue.Model{ID: m, WeightsMB: 100, AdapterMB: 1, Adapters: 9, Load: 4 * time.Second}
	}
	return e
}

// harness runs a coordinator against fake engines.
type harness struct {
	engines *engines
	roster  *roster.Roster
	c       *coordinator.Coordinator
	fence   atomic.Int64
	holder  *catalogue.Holder
}

func newHarness(e *catalogue.Engine) *harness {
	start := time.Now()
	holder := catalogue.NewHolder(func() time.Duration { return time.Since(start) })
	holder.Apply(catalogue.NewConfig(1, nil, []*catalogue.Service{{ID: "texts", Engine: e}}, nil, catalogue.Limits{}))
	h := &harness{engines: newEngines(e), roster: roster.New(), holder: holder}
	h.fence.Store(1)
	h.c = h.newCoordinator(&h.fence)
	return h
}

// newCoordinator returns a coordinator of the same engines with its own leadership: fence
// holds its fencing token, or 0 if it is not the coordinator.
func (h *harness) newCoordinator(fence *atomic.Int64) *coordinator.Coordinator {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return coordinator.New(coordinator.Config{
		VM: "vm-1", Catalogue: h.holder, Roster: h.roster, Engines: h.engines, Pool: h.engines.pool,
		FencingToken: func() (int64, bool) { f := fence.Load(); return f, f != 0 },
		OnFenced:     func(int64) { fence.Store(0) },
		Events:       timeline.New("test", 16, logger),
	})
}

// run runs the coordinator for a time, with constant demand for a model unless that is "".
func (h *harness) run(d time.Duration, demanded fleet.ModelID) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- h.c.Run(ctx) }()
	for ctx.Err() == nil {
		in := coordinator.Sync{VM: "vm-1"}
		if demanded != "" {
			in.Demand = append(in.Demand, coordinator.Demand{Service: "texts", Model: demanded, Tokens: 10000})
		}
		var out coordinator.SyncAnswer
		if err := h.c.Service().Sync(in, &out); err != nil {
			cancel()
			if e := <-ended; !errors.Is(e, context.Canceled) {
				return e
			}
			return err
		}
		time.Sleep(200 * time.Millisecond)
	}
	if err := <-ended; !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// Guards against overcommitted memory when a coordinator starts while an order of its
// predecessor is in progress: the report shows that the engine is busy, but not with which
// model.
func TestLoadOfPredecessorIsNotOvercommitted(t *testing.T) {
	for left := 50 * time.Millisecond; left < 3*time.Second; left += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(spec("a", "b", "c"))
			h.engines.add(h.roster, "engine-1", "a")
			f := h.engines.all["engine-1"]
			f.seq, f.loading, f.loadedAt = 1, "b", time.Now().Add(left)
			is.NoErr(h.run(6*time.Second, "c"))
			is.Equal(len(h.engines.overcommitted), 0) // orders exceeded the limit
		})
	}
}

// Guards against the same fault where orders of this coordinator get no answer and are
// carried out after one of its predecessor has finished.
func TestDelayedLoadIsNotOvercommitted(t *testing.T) {
	for at := 50 * time.Millisecond; at < 1200*time.Millisecond; at += 50 * time.Millisecond {
		for delay := 100 * time.Millisecond; delay < 2*time.Second; delay += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(spec("a", "b", "c", "d"))
				h.engines.add(h.roster, "engine-1", "a", "d")
				h.engines.add(h.roster, "engine-2", "a", "d")
				h.engines.orderDelay = delay
				for _, f := range h.engines.all {
					time.AfterFunc(at, func() { h.engines.applyForeignOrders(f, "d", "b", 1500*time.Millisecond) })
				}
				is.NoErr(h.run(8*time.Second, "c"))
				is.Equal(len(h.engines.overcommitted), 0) // orders exceeded the limit
			})
		}
	}
}

// After a shift of demand the requested model gets copies in place of idle models, and each
// model keeps one copy.
func TestPlacementFollowsShift(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(spec("a", "b"))
		for i := range 4 {
			h.engines.add(h.roster, fleet.UpstreamID(fmt.Sprintf("engine-%d", i)), "a")
		}
		h.engines.add(h.roster, "engine-4", "b")
		is.NoErr(h.run(15*time.Second, "b"))
		is.Equal(len(h.engines.overcommitted), 0)
		is.Equal(len(h.engines.holders("b")), 5)
		is.True(len(h.engines.holders("a")) >= 1)
	})
}

// A model that lost its last copy is loaded once, although several plans are made during
// the load.
func TestLostModelIsLoadedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(spec("a", "b", "c"))
		for i := range 4 {
			h.engines.add(h.roster, fleet.UpstreamID(fmt.Sprintf("engine-%d", i)), "a", "c")
		}
		is.NoErr(h.run(9*time.Second, ""))
		is.Equal(len(h.engines.holders("b")), 1)
	})
}

// A coordinator that loses its leadership during a move aborts the move.
func TestMoveEndsWithLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(spec("a", "b", "c"))
		h.engines.add(h.roster, "engine-1", "a", "c")
		h.engines.add(h.roster, "engine-2", "a", "c")
		time.AfterFunc(400*time.Millisecond, func() { h.fence.Store(0) })
		is.Equal(h.run(5*time.Second, ""), coordinator.ErrNotCoordinator)
		is.Equal(len(h.engines.holders("b")), 0)
	})
}

// Guards against overcommitted engines: an order without an answer may be carried out late
// or never, so its memory must stay reserved.
func TestDelayedOrdersKeepLimits(t *testing.T) {
	for delay := 100 * time.Millisecond; delay < 4*time.Second; delay += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(spec("a", "b", "c", "d"))
			h.engines.add(h.roster, "engine-1", "a", "b")
			h.engines.add(h.roster, "engine-2", "a", "c")
			h.engines.add(h.roster, "engine-3", "b", "d")
			h.engines.orderDelay = delay
			done := make(chan error, 1)
			go func() { done <- h.run(20*time.Second, "c") }()
			for i := range 80 {
				model := []fleet.ModelID{"a", "b", "c"}[i%3]
				in := coordinator.Wish{Service: "texts", Adapter: roster.Adapter{Model: model, Adapter: fleet.AdapterID(fmt.Sprintf("a%d", i%5))}}
				var out coordinator.WishAnswer
				// The request may fail: the test only checks the limits.
				_ = h.c.Service().Wish(in, &out)
				time.Sleep(200 * time.Millisecond)
			}
			is.NoErr(<-done)
			is.Equal(len(h.engines.overcommitted), 0)
		})
	}
}

// A new adapter replaces the least recently used one.
func TestLeastRecentlyUsedAdapterIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(spec("a"))
		h.engines.add(h.roster, "engine-1", "a")
		for _, a := range []fleet.AdapterID{"a1", "a2", "a3"} {
			var out coordinator.WishAnswer
			in := coordinator.Wish{Service: "texts", Adapter: roster.Adapter{Model: "a", Adapter: a}}
			is.NoErr(h.c.Service().Wish(in, &out))
			is.Equal(out.Upstream, fleet.UpstreamID("engine-1"))
			time.Sleep(time.Second)
		}
		is.Equal(h.engines.all["engine-1"].models["a"], map[fleet.AdapterID]bool{"a2": true, "a3": true})
	})
}

// A VM that is not the coordinator sends no orders.
func TestNoOrdersWithoutLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(spec("a"))
		h.engines.add(h.roster, "engine-1", "a")
		h.fence.Store(0)
		var out coordinator.WishAnswer
		err := h.c.Service().Wish(coordinator.Wish{Service: "texts", Adapter: roster.Adapter{Model: "a", Adapter: "a1"}}, &out)
		is.Equal(err, coordinator.ErrNotCoordinator)
	})
}

// A VM that has received all holdings gets only those that change, and all of them again
// from another coordinator.
func TestOnlyChangedHoldingsAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(spec("a"))
		for i := range 40 {
			h.engines.add(h.roster, fleet.UpstreamID(fmt.Sprintf("engine-%d", i)), "a")
		}
		is.NoErr(h.run(2*time.Second, ""))
		sync := func(known coordinator.Known) (out coordinator.SyncAnswer) {
			is.NoErr(h.c.Service().Sync(coordinator.Sync{VM: "vm-2", Known: known}, &out))
			return out
		}
		all := sync(coordinator.Known{})
		is.Equal(len(all.Holdings), 40)
		is.Equal(len(sync(all.Known).Holdings), 0)
		var answer coordinator.WishAnswer
		in := coordinator.Wish{Service: "texts", Adapter: roster.Adapter{Model: "a", Adapter: "a1"}}
		is.NoErr(h.c.Service().Wish(in, &answer))
		changed := sync(all.Known)
		is.Equal(len(changed.Holdings), 1)
		is.Equal(changed.Holdings[0].Upstream, answer.Upstream)
		h.fence.Store(2)
		is.NoErr(h.run(2*time.Second, ""))
		is.Equal(len(sync(changed.Known).Holdings), 40)
	})
}

// VMs learn immediately that an adapter is being unloaded, even while it is in use: the
// engine rejects new requests for it.
func TestUnloadingAdapterIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(spec("a"))
		h.engines.add(h.roster, "engine-1", "a")
		request := func(a fleet.AdapterID) error {
			in := coordinator.Wish{Service: "texts", Adapter: roster.Adapter{Model: "a", Adapter: a}}
			return h.c.Service().Wish(in, &coordinator.WishAnswer{})
		}
		for _, a := range []fleet.AdapterID{"a1", "a2"} {
			is.NoErr(request(a))
			time.Sleep(time.Second)
		}
		var before, after coordinator.SyncAnswer
		is.NoErr(h.c.Service().Sync(coordinator.Sync{VM: "vm-2"}, &before))
		h.engines.all["engine-1"].inUse["a1"] = true
		is.True(request("a3") != nil) // Its slot is not free yet.
		is.NoErr(h.c.Service().Sync(coordinator.Sync{VM: "vm-2", Known: before.Known}, &after))
		is.Equal(len(after.Holdings), 1)
		is.Equal(after.Holdings[0].Adapters, []roster.Adapter{{Model: "a", Adapter: "a2"}})
	})
}

// Engines that don't answer requests for reports don't delay the plan for the others.
func TestSilentEnginesDoNotDelayPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(spec("a", "b"))
		for i := range 40 {
			id := fleet.UpstreamID(fmt.Sprintf("engine-%d", i))
			h.engines.add(h.roster, id, "a")
			h.engines.all[id].silent = i != 39
		}
		is.NoErr(h.run(6*time.Second, "b"))
		is.Equal(h.engines.holders("b"), []fleet.UpstreamID{"engine-39"})
	})
}

// Guards against a stale state: a late order of another coordinator changes an engine to
// which this coordinator sends no orders.
func TestChangeByDelayedOrderIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(spec("a", "b", "c"))
		h.engines.add(h.roster, "engine-1", "a", "b")
		h.engines.add(h.roster, "engine-2", "a", "c")
		time.AfterFunc(2*time.Second, func() {
			h.engines.mu.Lock()
			defer h.engines.mu.Unlock()
			f := h.engines.all["engine-1"]
			delete(f.models, "b")
			f.seq++
		})
		is.NoErr(h.run(20*time.Second, ""))
		is.Equal(len(h.engines.holders("b")), 1)
		is.Equal(len(h.engines.overcommitted), 0)
	})
}

// Guards against an order sent under a fencing token after a higher one was issued (ONE),
// where engines don't check tokens: the leadership may end while a connection to an engine
// is made.
func TestOrderOfEndedLeadershipIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(spec("a", "b"))
		h.engines.add(h.roster, "engine-1", "a")
		is.NoErr(h.run(2*time.Second, "a"))
		h.engines.connectTime = 300 * time.Millisecond
		before := h.engines.calls["engine-1"]
		done := make(chan error, 1)
		go func() {
			var out coordinator.WishAnswer
			done <- h.c.Service().Wish(coordinator.Wish{VM: "vm-1", Service: "texts", Adapter: roster.Adapter{Model: "a", Adapter: "x"}}, &out)
		}()
		time.Sleep(100 * time.Millisecond)
		h.fence.Store(0)
		is.True(errors.Is(<-done, coordinator.ErrNotCoordinator))
		is.Equal(h.engines.calls["engine-1"], before)
	})
}
