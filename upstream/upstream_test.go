package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/dialect"
	"toucanfall/fault"
	"toucanfall/fleet"
)

// fixture is a set of upstreams with settable reports. It implements List and
// Reporter.
type fixture struct {
	// mu guards the fields below.
	mu      sync.Mutex
	vms     []fleet.VM
	reports map[string]dialect.EngineReport
	silent  map[string]bool
	events  map[string]dialect.CacheEvents
}

// newFixture returns a fixture without upstreams.
func newFixture() *fixture {
	return &fixture{reports: make(map[string]dialect.EngineReport), silent: make(map[string]bool), events: make(map[string]dialect.CacheEvents)}
}

// addEngine adds an engine with four slots on which the models are ready.
func (fx *fixture) addEngine(id string, dc fleet.DataCentre, models ...fleet.ModelID) {
	fx.vms = append(fx.vms, fleet.VM{ID: fleet.VMID(id), Role: fleet.RoleModelEngine, DataCentre: dc, Address: id, State: fleet.VMLive})
	r := dialect.EngineReport{Slots: 4}
	for _, m := range models {
		r.Resident = append(r.Resident, dialect.ResidentModel{Model: m, Ready: true})
	}
	fx.reports[id] = r
}

// update runs f while holding mu.
func (fx *fixture) update(f func()) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	f()
}

// VMs returns the VMs of the fixture.
func (fx *fixture) VMs() []fleet.VM {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return append([]fleet.VM(nil), fx.vms...)
}

// Report returns the report of an engine. It blocks until ctx ends while the
// engine is silent.
func (fx *fixture) Report(ctx context.Context, address string) (dialect.EngineReport, error) {
	fx.mu.Lock()
	r, silent := fx.reports[address], fx.silent[address]
	fx.mu.Unlock()
	if silent {
		<-ctx.Done()
		return r, ctx.Err()
	}
	return r, nil
}

// ServiceReport returns the report of a plain service.
func (fx *fixture) ServiceReport(ctx context.Context, address string) (dialect.ServiceReport, error) {
	r, err := fx.Report(ctx, address)
	return dialect.ServiceReport{Running: r.Running, Waiting: r.Waiting, Leaving: r.Leaving}, err
}

// CacheEvents returns the events from a number on, or all if they do not include
// that number.
func (fx *fixture) CacheEvents(_ context.Context, address string, from uint64) (dialect.CacheEvents, error) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	e, ok := fx.events[address]
	if !ok {
		return e, errors.New("engine has no cache events")
	}
	if from < e.First || from > e.First+uint64(len(e.Events)) {
		from = e.First
	}
	return dialect.CacheEvents{First: from, Events: e.Events[from-e.First:]}, nil
}

// countPicks leases n engines, releases them and counts them by upstream.
func countPicks(p *Pool, n int, req Requirements) map[fleet.UpstreamID]int {
	got := make(map[fleet.UpstreamID]int)
	var leases []*Lease
	for range n {
		if l, err := p.Engine(req); err == nil {
			got[l.Upstream.ID()]++
			leases = append(leases, l)
		}
	}
	for _, l := range leases {
		l.Release()
	}
	return got
}

// TestPromiseLeavingUpstreamDrains checks that an upstream gets no new requests two
// seconds after it left the list, or the list or its report said that it leaves,
// or once it is silent. Its requests in flight continue.
func TestPromiseLeavingUpstreamDrains(t *testing.T) {
	for _, tt := range []struct {
		name  string
		leave func(*fixture)
		after time.Duration
	}{
		{"list says leaving", func(fx *fixture) { fx.vms[0].State = fleet.VMLeaving }, 2 * time.Second},
		{"list drops it", func(fx *fixture) { fx.vms = fx.vms[1:] }, 2 * time.Second},
		{"report says leaving", func(fx *fixture) {
			fx.reports["e1"] = dialect.EngineReport{Leaving: true, Resident: fx.reports["e1"].Resident}
		}, 2 * time.Second},
		{"model is gone", func(fx *fixture) { fx.reports["e1"] = dialect.EngineReport{} }, 2 * time.Second},
		{"silent", func(fx *fixture) { fx.silent["e1"] = true }, SilentAfter + ReportInterval},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fx := newFixture()
				fx.addEngine("e1", "at-1", "m")
				fx.addEngine("e2", "at-1", "m")
				p := NewPool("at-1", fx, fx)
				defer p.Close()
				time.Sleep(time.Second)
				is.Equal(countPicks(p, 8, Requirements{Model: "m"}), map[fleet.UpstreamID]int{"e1": 4, "e2": 4})
				open, err := p.Engine(Requirements{Model: "m", Avoid: []fleet.UpstreamID{"e2"}})
				is.NoErr(err)
				fx.update(func() { tt.leave(fx) })
				time.Sleep(tt.after)
				is.Equal(countPicks(p, 8, Requirements{Model: "m"}), map[fleet.UpstreamID]int{"e2": 8})
				if tt.name != "list drops it" {
					is.Equal(open.Silent(), tt.name == "silent")
				}
				open.Release()
			})
		})
	}
}

// TestSilentAndLeavingServicesAreSkipped checks that silent and leaving plain services are not chosen
// either.
func TestSilentAndLeavingServicesAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fx := newFixture()
		for _, id := range []string{"o1", "o2"} {
			fx.vms = append(fx.vms, fleet.VM{ID: fleet.VMID(id), Role: fleet.RoleService, Service: "orderdesk", DataCentre: "at-1", Address: id, State: fleet.VMLive})
		}
		fx.reports["o1"] = dialect.EngineReport{Running: 3}
		p := NewPool("at-1", fx, fx)
		defer p.Close()
		time.Sleep(time.Second)
		l, err := p.Service("orderdesk", nil)
		is.NoErr(err)
		is.Equal(l.Upstream.ID(), fleet.UpstreamID("o2"))
		fx.update(func() { fx.silent["o2"] = true })
		time.Sleep(SilentAfter + ReportInterval)
		l, err = p.Service("orderdesk", nil)
		is.NoErr(err)
		is.Equal(l.Upstream.ID(), fleet.UpstreamID("o1"))
		fx.update(func() { fx.reports["o1"] = dialect.EngineReport{Leaving: true} })
		time.Sleep(2 * time.Second)
		_, err = p.Service("orderdesk", nil)
		is.Equal(fault.KindOf(err), fault.NoUpstream)
	})
}

// TestOwnRequestsAreNotCountedTwice checks that this VM's requests in flight are not counted
// a second time when a report includes them.
func TestOwnRequestsAreNotCountedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fx := newFixture()
		fx.addEngine("e1", "at-1", "m")
		fx.addEngine("e2", "at-1", "m")
		fx.update(func() {
			r := fx.reports["e2"]
			r.Running = 5
			fx.reports["e2"] = r
		})
		p := NewPool("at-1", fx, fx)
		defer p.Close()
		time.Sleep(time.Second)
		for range 3 {
			_, err := p.Engine(Requirements{Model: "m", Avoid: []fleet.UpstreamID{"e2"}})
			is.NoErr(err)
		}
		fx.update(func() {
			r := fx.reports["e1"]
			r.Running = 3
			fx.reports["e1"] = r
		})
		time.Sleep(2 * time.Minute)
		// e1 has 3, not 6, and e2 has 5.
		is.Equal(countPicks(p, 1, Requirements{Model: "m"}), map[fleet.UpstreamID]int{"e1": 1})
	})
}

// TestOwnDataCentreIsPreferred checks that engines of other data centres are chosen only once those
// of this one are saturated.
func TestOwnDataCentreIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fx := newFixture()
		fx.addEngine("near", "at-1", "m")
		fx.addEngine("far", "at-2", "m")
		p := NewPool("at-1", fx, fx)
		defer p.Close()
		time.Sleep(time.Second)
		is.Equal(countPicks(p, 4, Requirements{Model: "m"}), map[fleet.UpstreamID]int{"near": 4})
		got := countPicks(p, 12, Requirements{Model: "m"})
		is.True(got["far"] >= 3)
		is.True(got["near"] > got["far"])
	})
}

// TestAffinity checks that engines that hold the adapter or a prefix of the prompt
// are preferred, and that prefixes are dropped after a gap in the events.
func TestAffinity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fx := newFixture()
		fx.addEngine("e1", "at-1", "m")
		fx.addEngine("e2", "at-1", "m")
		r := fx.reports["e2"]
		r.Resident[0].Adapters = []fleet.AdapterID{"tone"}
		fx.events["e1"] = dialect.CacheEvents{Events: []dialect.CacheEvent{{Key: 7}, {Key: 8}, {Key: 8, Evicted: true}}}
		p := NewPool("at-1", fx, fx)
		defer p.Close()
		time.Sleep(time.Second)
		is.Equal(countPicks(p, 1, Requirements{Model: "m", Adapter: "tone"}), map[fleet.UpstreamID]int{"e2": 1})
		is.Equal(countPicks(p, 1, Requirements{Model: "m", Adapter: "tone", Prefix: []dialect.PrefixKey{7}}), map[fleet.UpstreamID]int{"e1": 1})
		is.Equal(countPicks(p, 1, Requirements{Model: "m", Adapter: "tone", Prefix: []dialect.PrefixKey{8}}), map[fleet.UpstreamID]int{"e2": 1})
		fx.update(func() { fx.events["e1"] = dialect.CacheEvents{First: 40, Events: []dialect.CacheEvent{{Key: 9}}} })
		time.Sleep(time.Second)
		is.Equal(countPicks(p, 1, Requirements{Model: "m", Adapter: "tone", Prefix: []dialect.PrefixKey{7}}), map[fleet.UpstreamID]int{"e2": 1})
		is.Equal(countPicks(p, 1, Requirements{Model: "m", Adapter: "tone", Prefix: []dialect.PrefixKey{9}}), map[fleet.UpstreamID]int{"e1": 1})
	})
}

// TestEjection checks that an engine is ejected after failures in a row and gets
// requests gradually afterwards.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fx := newFixture()
		fx.addEngine("e1", "at-1", "m")
		p := NewPool("at-1", fx, fx)
		defer p.Close()
		time.Sleep(time.Second)
		for range failuresToEject {
			l, err := p.Engine(Requirements{Model: "m"})
			is.NoErr(err)
			l.ReportResult(false)
			l.Release()
		}
		is.Equal(countPicks(p, 4, Requirements{Model: "m"}), map[fleet.UpstreamID]int{})
		time.Sleep(firstEjection)
		is.Equal(countPicks(p, 4, Requirements{Model: "m"}), map[fleet.UpstreamID]int{"e1": 1})
		time.Sleep(2 * rampStep)
		is.Equal(countPicks(p, 4, Requirements{Model: "m"}), map[fleet.UpstreamID]int{"e1": 3})
		time.Sleep(rampDuration)
		is.Equal(countPicks(p, 9, Requirements{Model: "m"}), map[fleet.UpstreamID]int{"e1": 9})
	})
}

// BenchmarkEngine chooses among 140 engines that each hold 1,900 models.
func BenchmarkEngine(b *testing.B) {
	fx := newFixture()
	models := make([]fleet.ModelID, 1900)
	for i := range models {
		models[i] = fleet.ModelID(fmt.Sprint("m", i))
	}
	for i := range 140 {
		fx.addEngine(fmt.Sprint("e", i), "at-1", models...)
	}
	p := NewPool("at-1", fx, fx)
	defer p.Close()
	for {
		if l, err := p.Engine(Requirements{Model: "m1899"}); err == nil {
			l.Release()
			break
		}
		time.Sleep(time.Millisecond)
	}
	i := 0
	for b.Loop() {
		l, err := p.Engine(Requirements{Model: models[i%len(models)], Prefix: []dialect.PrefixKey{1, 2}})
		if err == nil {
			l.Release()
		}
		i++
	}
}
