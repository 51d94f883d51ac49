package serving

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
	"toucanfall/roster"
)

// newPicker returns a picker in dc-0 with two upstreams in each of three data
// centres.
func newPicker() (*Picker, []*roster.Upstream) {
	r := roster.New()
	for i := range 6 {
		r.Put(roster.Entry{
			ID: fleet.UpstreamID(fmt.Sprintf("u-%d", i)), Service: "s", Address: "192.0.2.1:80",
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%d", i/2)),
		})
	}
	return NewPicker(r, "dc-0", func() float64 { return 1 }, func(*roster.Upstream) bool { return true }, rand.New(rand.NewPCG(1, 1)).Float64), r.Upstreams()
}

// Requests stay in their data centre while it has room, and spread over all when
// it has not.
func TestRequestsStayInTheirDataCentre(t *testing.T) {
	is := is.New(t)
	p, all := newPicker()
	for range 10 {
		p.Best(p.Candidates("s", &Call{}, nil), nil).Begin(roster.Adapter{}, 0)
	}
	for _, u := range all[2:] {
		own, _ := u.InFlight()
		is.Equal(own, 0)
	}
	for range 60 {
		p.Best(p.Candidates("s", &Call{}, nil), nil).Begin(roster.Adapter{}, 0)
	}
	for _, u := range all[2:] {
		own, _ := u.InFlight()
		is.True(own > 0)
	}
}

// An upstream on the far side of a cut falls silent for all its requests at once
// and gets no more, long before the requests give up.
func TestSilentUpstreamGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, all := newPicker()
		for range 4 {
			all[0].Begin(roster.Adapter{}, 0).Received()
		}
		for range 20 {
			all[1].Begin(roster.Adapter{}, 0).Received()
		}
		is.Equal(p.Best(all[:2], nil), all[0])
		time.Sleep(310 * time.Millisecond)
		all[1].Begin(roster.Adapter{}, 0).Received()
		is.Equal(p.Best(all[:2], nil), all[1])
	})
}

// An upstream that cannot be connected to is left alone while there are others.
func TestUnreachableUpstreamIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, all := newPicker()
		all[0].MarkUnreachable()
		is.Equal(len(p.Candidates("s", &Call{}, nil)), 5)
		time.Sleep(time.Second)
		is.Equal(len(p.Candidates("s", &Call{}, nil)), 6)
		for _, u := range all {
			u.MarkUnreachable()
		}
		is.Equal(len(p.Candidates("s", &Call{}, nil)), 6)
	})
}

// An upstream that leaves, or whose entry is gone, gets nothing more; one whose
// entry vanished around an outage of the store is kept for a while.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, all := newPicker()
		e := all[0].Entry()
		e.Draining = true
		p.roster.Put(e)
		p.roster.Remove("u-1", 0)
		p.roster.Remove("u-2", 2*time.Second)
		is.Equal(len(p.Candidates("s", &Call{}, nil)), 4)
		time.Sleep(3 * time.Second)
		p.roster.Expire(time.Now())
		is.Equal(len(p.Candidates("s", &Call{}, nil)), 3)
	})
}

// An upstream that was started anew under its id is another one.
func TestUpstreamStartedAnewKnowsNothing(t *testing.T) {
	is := is.New(t)
	p, all := newPicker()
	all[0].AddAdapter(roster.Adapter{Model: "m", Adapter: "a"}, time.Time{})
	e := all[0].Entry()
	e.Born = 7
	p.roster.Put(e)
	u, ok := p.roster.Get("u-0")
	is.True(ok)
	is.True(u != all[0])
	is.True(!u.HasAdapter(roster.Adapter{Model: "m", Adapter: "a"}, time.Now()))
	is.True(!all[0].Usable())
}

// picked lets 39 VMs that were told the same, an engine with four requests fewer than the 15
// others, choose one each, and returns the most that chose the same engine. VMs have
// connections to so many of the engines.
func picked(connections int, random func() float64) int {
	count := make(map[fleet.UpstreamID]int)
	for vm := range 39 {
		r := roster.New()
		for i := range 16 {
			r.Put(roster.Entry{ID: fleet.UpstreamID(fmt.Sprintf("%02d", i)), Service: "s", Address: "192.0.2.1:80", DataCentre: "dc"})
		}
		for i, u := range r.Upstreams() {
			u.SetOthersInFlight(14)
			if i == 0 {
				u.SetOthersInFlight(10)
			}
		}
		connected := func(u *roster.Upstream) bool {
			var i int
			_, _ = fmt.Sscan(string(u.ID), &i)
			return (i*7+vm*5)%16 < connections
		}
		p := NewPicker(r, "dc", func() float64 { return 39 }, connected, random)
		count[p.Best(p.Candidates("s", &Call{}, nil), nil).ID]++
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	return most
}

// Load pattern: a herd. VMs of a large fleet hear the same, some hundred milliseconds late, and
// all go to the engine that had the fewest requests. Connections, which differ, spread them.
// Baseline: without any, all choose the same engine.
func TestHerdIsSpreadByConnections(t *testing.T) {
	is := is.New(t)
	const fleets = 100
	random := rand.New(rand.NewPCG(1, 1)).Float64
	most := 0
	for range fleets {
		is.Equal(picked(0, random), 39)
		most += picked(4, random)
	}
	t.Logf("the most that chose the same engine: %.1f of 39", float64(most)/fleets)
	is.True(most < 20*fleets)
}
