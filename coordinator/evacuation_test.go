package coordinator_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
)

// setDataCentre sets the data centre of an engine.
func (h *harness) setDataCentre(id fleet.UpstreamID, dc fleet.DataCentre) {
	u, _ := h.roster.Get(id)
	e := u.Entry()
	e.DataCentre = dc
	h.roster.Put(e)
}

// Guards against models that only evacuated engines hold, and against evacuated engines that are
// ordered to unload what they hold: it serves again when their data centre returns.
func TestModelsOfEvacuatedEnginesAreLoadedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(spec("a", "b"))
		h.engines.add(h.roster, "engine-1", "a")
		h.engines.add(h.roster, "engine-2")
		h.setDataCentre("engine-1", "dc-1")
		h.setDataCentre("engine-2", "dc-2")
		h.roster.SetEvacuated([]fleet.DataCentre{"dc-1"})
		is.NoErr(h.run(8*time.Second, "a"))
		is.Equal(h.engines.holders("a"), []fleet.UpstreamID{"engine-1", "engine-2"})
		is.Equal(h.engines.all["engine-1"].seq, int64(0)) // It got no order.
	})
}

// Guards against an engine that gets an order after its data centre was evacuated, from a move that
// was decided before: it would lose a model.
func TestMoveEndsWithEvacuation(t *testing.T) {
	moved := false
	for at := 50 * time.Millisecond; at < 2*time.Second; at += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(spec("a", "b", "c"))
			for _, id := range []fleet.UpstreamID{"engine-1", "engine-2", "engine-3"} {
				h.engines.add(h.roster, id, "a", "b")
				h.setDataCentre(id, "dc-1")
			}
			accepted := func() (sum int64) {
				h.engines.mu.Lock()
				defer h.engines.mu.Unlock()
				for _, f := range h.engines.all {
					sum += f.seq
				}
				return sum
			}
			var before atomic.Int64
			time.AfterFunc(at, func() {
				h.roster.SetEvacuated([]fleet.DataCentre{"dc-1"})
				before.Store(accepted())
			})
			is.NoErr(h.run(5*time.Second, "c"))
			is.Equal(accepted(), before.Load())
			moved = moved || accepted() > 0
		})
	}
	is.New(t).True(moved)
}
