package coordinator_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/coordinator"
	"toucanfall/fleet"
	"toucanfall/roster"
)

// Guards against questions and orders to an engine that wants nothing from the coordinator's
// VM for a time (BUDGET by word).
func TestEngineThatTurnsAwayGetsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(spec("a", "b"))
		w.engines.add(w.roster, "engine-1", "a")
		w.engines.add(w.roster, "engine-2", "a")
		is.NoErr(w.run(2*time.Second, "a"))
		u, _ := w.roster.Get("engine-1")
		u.ApplyNotice(roster.Notice{Wait: 20 * time.Second}, false, time.Now())
		before := w.engines.calls["engine-1"]
		is.NoErr(w.run(10*time.Second, "b"))
		is.Equal(w.engines.calls["engine-1"], before)
		is.NoErr(w.run(20*time.Second, "b"))
		is.True(w.engines.calls["engine-1"] > before)
	})
}

// An adapter goes to an engine that names its intake only where no other holds the model, and
// models of one that leaves are placed anew while it is still there.
func TestPlacementAvoidsEnginesInNeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for id, other := range map[fleet.UpstreamID]fleet.UpstreamID{"engine-1": "engine-2", "engine-2": "engine-1"} {
			w := newWorld(spec("a"))
			w.engines.add(w.roster, "engine-1", "a")
			w.engines.add(w.roster, "engine-2", "a")
			is.NoErr(w.run(2*time.Second, "a"))
			u, _ := w.roster.Get(id)
			u.ApplyNotice(roster.Notice{Limited: true, Intake: 2}, true, time.Now())
			var out coordinator.WishAnswer
			is.NoErr(w.c.Service().Wish(coordinator.Wish{VM: "vm-1", Service: "texts", Adapter: roster.Adapter{Model: "a", Adapter: "x"}}, &out))
			is.Equal(out.Upstream, other)
		}
		w := newWorld(spec("a", "b"))
		w.engines.add(w.roster, "engine-1", "a")
		w.engines.add(w.roster, "engine-2", "b")
		is.NoErr(w.run(2*time.Second, "a"))
		leaving, _ := w.roster.Get("engine-1")
		leaving.ApplyNotice(roster.Notice{Leaving: true}, true, time.Now())
		is.NoErr(w.run(8*time.Second, "a"))
		is.Equal(w.engines.holders("a"), []fleet.UpstreamID{"engine-1", "engine-2"})
	})
}

// wordBytes is what one word may take in a message, besides the names of the types that the
// first message on a connection tells.
const wordBytes = 80

// Guards against words that grow: at 1,400 engines, half of them in need, each VM is told
// many.
func TestWordIsSmall(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	e := gob.NewEncoder(&out)
	var words []roster.Word
	is.NoErr(e.Encode(coordinator.SyncAnswer{}))
	out.Reset()
	is.NoErr(e.Encode(coordinator.SyncAnswer{}))
	empty := out.Len()
	const n = 100
	for i := range n {
		words = append(words, roster.Word{
			Upstream: fleet.UpstreamID(fmt.Sprintf("i-%010x", i)), Born: 1784481667143, Limited: true, Intake: 2.4, Age: time.Second, Event: 1 << 63,
		})
	}
	out.Reset()
	is.NoErr(e.Encode(coordinator.SyncAnswer{Words: words}))
	each := (out.Len() - empty) / n
	t.Logf("%d bytes a word", each)
	is.True(each <= wordBytes)
}
