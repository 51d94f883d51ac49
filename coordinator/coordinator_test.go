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

// spec is a service whose engines have room for two of its models.
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

// world is a coordinator in front of stand-in engines.
type world struct {
	engines *engines
	roster  *roster.Roster
	c       *coordinator.Coordinator
	fence   atomic.Int64
	holder  *catalogue.Holder
}

func newWorld(e *catalogue.Engine) *world {
	start := time.Now()
	holder := catalogue.NewHolder(func() time.Duration { return time.Since(start) })
	holder.Apply(catalogue.NewConfig(1, nil, []*catalogue.Service{{ID: "texts", Engine: e}}, nil, catalogue.Limits{}))
	w := &world{engines: newEngines(e), roster: roster.New(), holder: holder}
	w.fence.Store(1)
	w.c = w.another(&w.fence)
	return w
}

// another returns a coordinator in front of the same engines, with a duty of its
// own: a fencing token, or 0.
func (w *world) another(fence *atomic.Int64) *coordinator.Coordinator {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return coordinator.New(coordinator.Config{
		VM: "vm-1", Catalogue: w.holder, Roster: w.roster, Engines: w.engines, Pool: w.engines.pool,
		FencingToken:   func() (int64, bool) { f := fence.Load(); return f, f != 0 },
		OnFenced: func(int64) { fence.Store(0) },
		Events: timeline.New("test", 16, logger),
	})
}

// run runs the coordinator for a time while a model is asked for.
func (w *world) run(d time.Duration, asked fleet.ModelID) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- w.c.Run(ctx) }()
	for ctx.Err() == nil {
		in := coordinator.Sync{VM: "vm-1"}
		if asked != "" {
			in.Demand = append(in.Demand, coordinator.Demand{Service: "texts", Model: asked, Tokens: 10000})
		}
		var out coordinator.SyncAnswer
		if err := w.c.Service().Sync(in, &out); err != nil {
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

// A coordinator that begins while an order of the one before is under way must
// not order more than there is room for: the report shows that the engine is
// busy, not with what.
func TestLoadOfPredecessorIsNotOvercommitted(t *testing.T) {
	for left := 50 * time.Millisecond; left < 3*time.Second; left += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(spec("a", "b", "c"))
			w.engines.add(w.roster, "engine-1", "a")
			f := w.engines.all["engine-1"]
			f.seq, f.loading, f.until = 1, "b", time.Now().Add(left)
			is.NoErr(w.run(6*time.Second, "c"))
			is.Equal(len(w.engines.broken), 0) // ordered over the limit
		})
	}
}

// The same where orders of this coordinator get no answer and are carried out once
// that of the one before is over.
func TestLateLoadBehindAnotherIsNotOvercommitted(t *testing.T) {
	for at := 50 * time.Millisecond; at < 1200*time.Millisecond; at += 50 * time.Millisecond {
		for late := 100 * time.Millisecond; late < 2*time.Second; late += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(spec("a", "b", "c", "d"))
				w.engines.add(w.roster, "engine-1", "a", "d")
				w.engines.add(w.roster, "engine-2", "a", "d")
				w.engines.late = late
				for _, f := range w.engines.all {
					time.AfterFunc(at, func() { w.engines.lateOrders(f, "d", "b", 1500*time.Millisecond) })
				}
				is.NoErr(w.run(8*time.Second, "c"))
				is.Equal(len(w.engines.broken), 0) // ordered over the limit
			})
		}
	}
}

// A shift of demand is followed: the model that is asked for gets copies where
// copies of silent ones made room, and each model keeps one.
func TestPlacementFollowsShift(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(spec("a", "b"))
		for i := range 4 {
			w.engines.add(w.roster, fleet.UpstreamID(fmt.Sprintf("engine-%d", i)), "a")
		}
		w.engines.add(w.roster, "engine-4", "b")
		is.NoErr(w.run(15*time.Second, "b"))
		is.Equal(len(w.engines.broken), 0)
		is.Equal(len(w.engines.holders("b")), 5)
		is.True(len(w.engines.holders("a")) >= 1)
	})
}

// A model that was lost is loaded once, though the plan is made several times
// while it is on its way.
func TestLostModelIsLoadedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(spec("a", "b", "c"))
		for i := range 4 {
			w.engines.add(w.roster, fleet.UpstreamID(fmt.Sprintf("engine-%d", i)), "a", "c")
		}
		is.NoErr(w.run(9*time.Second, ""))
		is.Equal(len(w.engines.holders("b")), 1)
	})
}

// A coordinator that loses its duty in the middle of a move gives the move up.
func TestMoveEndsWithDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(spec("a", "b", "c"))
		w.engines.add(w.roster, "engine-1", "a", "c")
		w.engines.add(w.roster, "engine-2", "a", "c")
		time.AfterFunc(400*time.Millisecond, func() { w.fence.Store(0) })
		is.Equal(w.run(5*time.Second, ""), coordinator.ErrNotCoordinator)
		is.Equal(len(w.engines.holders("b")), 0)
	})
}

// Orders without an answer that are carried out late, or never, leave room
// reserved, so that no engine is ever ordered over its limits.
func TestLateOrdersKeepLimits(t *testing.T) {
	for late := 100 * time.Millisecond; late < 4*time.Second; late += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(spec("a", "b", "c", "d"))
			w.engines.add(w.roster, "engine-1", "a", "b")
			w.engines.add(w.roster, "engine-2", "a", "c")
			w.engines.add(w.roster, "engine-3", "b", "d")
			w.engines.late = late
			done := make(chan error, 1)
			go func() { done <- w.run(20*time.Second, "c") }()
			for i := range 80 {
				model := []fleet.ModelID{"a", "b", "c"}[i%3]
				in := coordinator.Wish{Service: "texts", Adapter: roster.Adapter{Model: model, Adapter: fleet.AdapterID(fmt.Sprintf("a%d", i%5))}}
				var out coordinator.WishAnswer
				// The answer may be an error: what counts is that no limit breaks.
				_ = w.c.Service().Wish(in, &out)
				time.Sleep(200 * time.Millisecond)
			}
			is.NoErr(<-done)
			is.Equal(len(w.engines.broken), 0)
		})
	}
}

// Adapters take turns in the places of an engine; one that is in use stays.
func TestAdaptersTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(spec("a"))
		w.engines.add(w.roster, "engine-1", "a")
		for _, a := range []fleet.AdapterID{"a1", "a2", "a3"} {
			var out coordinator.WishAnswer
			in := coordinator.Wish{Service: "texts", Adapter: roster.Adapter{Model: "a", Adapter: a}}
			is.NoErr(w.c.Service().Wish(in, &out))
			is.Equal(out.Upstream, fleet.UpstreamID("engine-1"))
			time.Sleep(time.Second)
		}
		is.Equal(w.engines.all["engine-1"].models["a"], map[fleet.AdapterID]bool{"a2": true, "a3": true})
	})
}

// Without the duty nothing is done.
func TestNoDutyNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(spec("a"))
		w.engines.add(w.roster, "engine-1", "a")
		w.fence.Store(0)
		var out coordinator.WishAnswer
		err := w.c.Service().Wish(coordinator.Wish{Service: "texts", Adapter: roster.Adapter{Model: "a", Adapter: "a1"}}, &out)
		is.Equal(err, coordinator.ErrNotCoordinator)
	})
}

// A VM that knows the holdings of all engines is told of those that have changed
// only, and of all again by another coordinator.
func TestOnlyChangesAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(spec("a"))
		for i := range 40 {
			w.engines.add(w.roster, fleet.UpstreamID(fmt.Sprintf("engine-%d", i)), "a")
		}
		is.NoErr(w.run(2*time.Second, ""))
		ask := func(known coordinator.Known) (out coordinator.SyncAnswer) {
			is.NoErr(w.c.Service().Sync(coordinator.Sync{VM: "vm-2", Known: known}, &out))
			return out
		}
		all := ask(coordinator.Known{})
		is.Equal(len(all.Holdings), 40)
		is.Equal(len(ask(all.Known).Holdings), 0)
		var wish coordinator.WishAnswer
		in := coordinator.Wish{Service: "texts", Adapter: roster.Adapter{Model: "a", Adapter: "a1"}}
		is.NoErr(w.c.Service().Wish(in, &wish))
		news := ask(all.Known)
		is.Equal(len(news.Holdings), 1)
		is.Equal(news.Holdings[0].Upstream, wish.Upstream)
		w.fence.Store(2)
		is.NoErr(w.run(2*time.Second, ""))
		is.Equal(len(ask(news.Known).Holdings), 40)
	})
}

// VMs learn at once that an adapter is to be given up, though it is still in use: the
// engine refuses new requests for it.
func TestGivenUpAdapterIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(spec("a"))
		w.engines.add(w.roster, "engine-1", "a")
		wish := func(a fleet.AdapterID) error {
			in := coordinator.Wish{Service: "texts", Adapter: roster.Adapter{Model: "a", Adapter: a}}
			return w.c.Service().Wish(in, &coordinator.WishAnswer{})
		}
		for _, a := range []fleet.AdapterID{"a1", "a2"} {
			is.NoErr(wish(a))
			time.Sleep(time.Second)
		}
		var before, after coordinator.SyncAnswer
		is.NoErr(w.c.Service().Sync(coordinator.Sync{VM: "vm-2"}, &before))
		w.engines.all["engine-1"].inUse["a1"] = true
		is.True(wish("a3") != nil) // Its place is not free yet.
		is.NoErr(w.c.Service().Sync(coordinator.Sync{VM: "vm-2", Known: before.Known}, &after))
		is.Equal(len(after.Holdings), 1)
		is.Equal(after.Holdings[0].Adapters, []roster.Adapter{{Model: "a", Adapter: "a2"}})
	})
}

// Engines that give no report do not hold up the plan for the others.
func TestDarkEnginesDoNotHoldUpThePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(spec("a", "b"))
		for i := range 40 {
			id := fleet.UpstreamID(fmt.Sprintf("engine-%d", i))
			w.engines.add(w.roster, id, "a")
			w.engines.all[id].dark = i != 39
		}
		is.NoErr(w.run(6*time.Second, "b"))
		is.Equal(w.engines.holders("b"), []fleet.UpstreamID{"engine-39"})
	})
}

// An engine that a late order of another coordinator has changed is noticed, though
// this coordinator had settled its account and orders nothing there.
func TestChangeByALateOrderIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(spec("a", "b", "c"))
		w.engines.add(w.roster, "engine-1", "a", "b")
		w.engines.add(w.roster, "engine-2", "a", "c")
		time.AfterFunc(2*time.Second, func() {
			w.engines.mu.Lock()
			defer w.engines.mu.Unlock()
			f := w.engines.all["engine-1"]
			delete(f.models, "b")
			f.seq++
		})
		is.NoErr(w.run(20*time.Second, ""))
		is.Equal(len(w.engines.holders("b")), 1)
		is.Equal(len(w.engines.broken), 0)
	})
}

// Guards against orders under a fencing token after a higher one (ONE), where engines do not
// check them: the duty ends while connections to engines are made.
func TestOrderOfEndedDutyIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(spec("a", "b"))
		w.engines.add(w.roster, "engine-1", "a")
		is.NoErr(w.run(2*time.Second, "a"))
		w.engines.connect = 300 * time.Millisecond
		before := w.engines.calls["engine-1"]
		done := make(chan error, 1)
		go func() {
			var out coordinator.WishAnswer
			done <- w.c.Service().Wish(coordinator.Wish{VM: "vm-1", Service: "texts", Adapter: roster.Adapter{Model: "a", Adapter: "x"}}, &out)
		}()
		time.Sleep(100 * time.Millisecond)
		w.fence.Store(0)
		is.True(errors.Is(<-done, coordinator.ErrNotCoordinator))
		is.Equal(w.engines.calls["engine-1"], before)
	})
}
