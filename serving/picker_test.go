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

// newPicker returns a picker in dc-0, with two upstreams in each of three data centres.
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

// Requests stay in their data centre while it has capacity, and go to all when it is loaded.
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

// An upstream behind a network partition falls silent for all its requests at the same time, and
// must get no more, long before the requests time out.
func TestSilentUpstreamGetsNoRequests(t *testing.T) {
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

// An upstream that cannot be connected to is avoided while there are others.
func TestUnreachableUpstreamIsAvoided(t *testing.T) {
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

// An upstream that is draining, or whose entry was removed, gets no more requests. One whose entry
// vanished around an outage of the store is used for a while longer.
func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
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

// An upstream that was restarted under its id is a new upstream, with no state of the old one.
func TestRestartedUpstreamHasNoState(t *testing.T) {
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

// maxOnOneEngine has 39 VMs choose one engine each. All have the same information: one engine has
// four requests fewer than the 15 others. It returns the largest number of VMs that chose the same
// engine. Each VM has idle connections to the given number of engines.
func maxOnOneEngine(connections int, random func() float64) int {
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

// Load pattern: a thundering herd. The VMs of a large fleet get the same information, some hundred
// milliseconds late, and all choose the engine that had the fewest requests. Connections, which
// differ between VMs, spread them. Baseline: without connections all choose the same engine.
func TestConnectionsSpreadThunderingHerd(t *testing.T) {
	is := is.New(t)
	const fleets = 100
	random := rand.New(rand.NewPCG(1, 1)).Float64
	most := 0
	for range fleets {
		is.Equal(maxOnOneEngine(0, random), 39)
		most += maxOnOneEngine(4, random)
	}
	t.Logf("the most that chose the same engine: %.1f of 39", float64(most)/fleets)
	is.True(most < 20*fleets)
}
