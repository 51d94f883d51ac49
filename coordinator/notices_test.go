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

// Guards against reports and orders that are sent to an engine before the Retry-After has
// passed with which it rejected the coordinator's VM (BUDGET by word).
func TestRejectingEngineGetsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(spec("a", "b"))
		h.engines.add(h.roster, "engine-1", "a")
		h.engines.add(h.roster, "engine-2", "a")
		is.NoErr(h.run(2*time.Second, "a"))
		u, _ := h.roster.Get("engine-1")
		u.ApplyNotice(roster.Notice{Wait: 20 * time.Second}, false, time.Now())
		before := h.engines.calls["engine-1"]
		is.NoErr(h.run(10*time.Second, "b"))
		is.Equal(h.engines.calls["engine-1"], before)
		is.NoErr(h.run(20*time.Second, "b"))
		is.True(h.engines.calls["engine-1"] > before)
	})
}

// An engine that announces a limit gets an adapter only if no other engine holds the model.
// The models of a leaving engine are loaded elsewhere while it is still running.
func TestPlacementAvoidsLimitedEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for id, other := range map[fleet.UpstreamID]fleet.UpstreamID{"engine-1": "engine-2", "engine-2": "engine-1"} {
			h := newHarness(spec("a"))
			h.engines.add(h.roster, "engine-1", "a")
			h.engines.add(h.roster, "engine-2", "a")
			is.NoErr(h.run(2*time.Second, "a"))
			u, _ := h.roster.Get(id)
			u.ApplyNotice(roster.Notice{Limited: true, Intake: 2}, true, time.Now())
			var out coordinator.WishAnswer
			is.NoErr(h.c.Service().Wish(coordinator.Wish{VM: "vm-1", Service: "texts", Adapter: roster.Adapter{Model: "a", Adapter: "x"}}, &out))
			is.Equal(out.Upstream, other)
		}
		h := newHarness(spec("a", "b"))
		h.engines.add(h.roster, "engine-1", "a")
		h.engines.add(h.roster, "engine-2", "b")
		is.NoErr(h.run(2*time.Second, "a"))
		leaving, _ := h.roster.Get("engine-1")
		leaving.ApplyNotice(roster.Notice{Leaving: true}, true, time.Now())
		is.NoErr(h.run(8*time.Second, "a"))
		is.Equal(h.engines.holders("a"), []fleet.UpstreamID{"engine-1", "engine-2"})
	})
}

// maxNoticeBytes is the greatest size of a shared notice in a message, without the type
// descriptions that gob sends once per connection.
const maxNoticeBytes = 80

// Guards against the growth of shared notices: with 1,400 engines, half of which announce
// limits, each VM receives many.
func TestNoticeIsSmall(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	e := gob.NewEncoder(&out)
	var notices []roster.Word
	is.NoErr(e.Encode(coordinator.SyncAnswer{}))
	out.Reset()
	is.NoErr(e.Encode(coordinator.SyncAnswer{}))
	empty := out.Len()
	const n = 100
	for i := range n {
		notices = append(notices, roster.Word{
			Upstream: fleet.UpstreamID(fmt.Sprintf("i-%010x", i)), Born: 1784481667143, Limited: true, Intake: 2.4, Age: time.Second, Event: 1 << 63,
		})
	}
	out.Reset()
	is.NoErr(e.Encode(coordinator.SyncAnswer{Words: notices}))
	each := (out.Len() - empty) / n
	t.Logf("%d bytes a notice", each)
	is.True(each <= maxNoticeBytes)
}
