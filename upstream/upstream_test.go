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

// plant is a set of upstreams with settable reports. It implements List and
// Reporter.
type plant struct {
	mu      sync.Mutex
	vms     []fleet.VM
	reports map[string]dialect.EngineReport
	silent  map[string]bool
	events  map[string]dialect.CacheEvents
}

func newPlant() *plant {
	return &plant{reports: make(map[string]dialect.EngineReport), silent: make(map[string]bool), events: make(map[string]dialect.CacheEvents)}
}

func (p *plant) engine(id string, dc fleet.DataCentre, models ...fleet.ModelID) {
	p.vms = append(p.vms, fleet.VM{ID: fleet.VMID(id), Role: fleet.RoleModelEngine, DataCentre: dc, Address: id, State: fleet.VMLive})
	r := dialect.EngineReport{Slots: 4}
	for _, m := range models {
		r.Resident = append(r.Resident, dialect.ResidentModel{Model: m, Ready: true})
	}
	p.reports[id] = r
}

func (p *plant) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *plant) VMs() []fleet.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]fleet.VM(nil), p.vms...)
}

func (p *plant) Report(ctx context.Context, address string) (dialect.EngineReport, error) {
	p.mu.Lock()
	r, silent := p.reports[address], p.silent[address]
	p.mu.Unlock()
	if silent {
		<-ctx.Done()
		return r, ctx.Err()
	}
	return r, nil
}

func (p *plant) ServiceReport(ctx context.Context, address string) (dialect.ServiceReport, error) {
	r, err := p.Report(ctx, address)
	return dialect.ServiceReport{Running: r.Running, Waiting: r.Waiting, Leaving: r.Leaving}, err
}

func (p *plant) CacheEvents(_ context.Context, address string, from uint64) (dialect.CacheEvents, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.events[address]
	if !ok {
		return e, errors.New("none")
	}
	if from < e.First || from > e.First+uint64(len(e.Events)) {
		from = e.First
	}
	return dialect.CacheEvents{First: from, Events: e.Events[from-e.First:]}, nil
}

// picked takes n choices, releases them, and counts them by upstream.
func picked(p *Pool, n int, w Requirements) map[fleet.UpstreamID]int {
	got := make(map[fleet.UpstreamID]int)
	var leases []*Lease
	for range n {
		if l, err := p.Engine(w); err == nil {
			got[l.Upstream.ID()]++
			leases = append(leases, l)
		}
	}
	for _, l := range leases {
		l.Release()
	}
	return got
}

// TestPromiseLeavingUpstreamDrains gives nothing new to an upstream within two
// seconds of the list or its report saying that it leaves, or of its silence
// counting, while requests that it has go on.
func TestPromiseLeavingUpstreamDrains(t *testing.T) {
	for _, tt := range []struct {
		name  string
		leave func(*plant)
		after time.Duration
	}{
		{"list says leaving", func(p *plant) { p.vms[0].State = fleet.VMLeaving }, 2 * time.Second},
		{"list drops it", func(p *plant) { p.vms = p.vms[1:] }, 2 * time.Second},
		{"report says leaving", func(p *plant) {
			p.reports["e1"] = dialect.EngineReport{Leaving: true, Resident: p.reports["e1"].Resident}
		}, 2 * time.Second},
		{"model is gone", func(p *plant) { p.reports["e1"] = dialect.EngineReport{} }, 2 * time.Second},
		{"silent", func(p *plant) { p.silent["e1"] = true }, SilentAfter + ReportInterval},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				plant := newPlant()
				plant.engine("e1", "at-1", "m")
				plant.engine("e2", "at-1", "m")
				p := NewPool("at-1", plant, plant)
				defer p.Close()
				time.Sleep(time.Second)
				is.Equal(picked(p, 8, Requirements{Model: "m"}), map[fleet.UpstreamID]int{"e1": 4, "e2": 4})
				open, err := p.Engine(Requirements{Model: "m", Avoid: []fleet.UpstreamID{"e2"}})
				is.NoErr(err)
				plant.change(func() { tt.leave(plant) })
				time.Sleep(tt.after)
				is.Equal(picked(p, 8, Requirements{Model: "m"}), map[fleet.UpstreamID]int{"e2": 8})
				if tt.name != "list drops it" {
					is.Equal(open.Silent(), tt.name == "silent")
				}
				open.Release()
			})
		})
	}
}

// TestServicesReport avoids silent and leaving plain services as well.
func TestServicesReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		plant := newPlant()
		for _, id := range []string{"o1", "o2"} {
			plant.vms = append(plant.vms, fleet.VM{ID: fleet.VMID(id), Role: fleet.RoleService, Service: "orderdesk", DataCentre: "at-1", Address: id, State: fleet.VMLive})
		}
		plant.reports["o1"] = dialect.EngineReport{Running: 3}
		p := NewPool("at-1", plant, plant)
		defer p.Close()
		time.Sleep(time.Second)
		l, err := p.Service("orderdesk", nil)
		is.NoErr(err)
		is.Equal(l.Upstream.ID(), fleet.UpstreamID("o2"))
		plant.change(func() { plant.silent["o2"] = true })
		time.Sleep(SilentAfter + ReportInterval)
		l, err = p.Service("orderdesk", nil)
		is.NoErr(err)
		is.Equal(l.Upstream.ID(), fleet.UpstreamID("o1"))
		plant.change(func() { plant.reports["o1"] = dialect.EngineReport{Leaving: true} })
		time.Sleep(2 * time.Second)
		_, err = p.Service("orderdesk", nil)
		is.Equal(fault.KindOf(err), fault.NoUpstream)
	})
}

// TestOwnRequestsCountOnce does not add own requests to a report that includes
// them.
func TestOwnRequestsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		plant := newPlant()
		plant.engine("e1", "at-1", "m")
		plant.engine("e2", "at-1", "m")
		plant.change(func() {
			r := plant.reports["e2"]
			r.Running = 5
			plant.reports["e2"] = r
		})
		p := NewPool("at-1", plant, plant)
		defer p.Close()
		time.Sleep(time.Second)
		for range 3 {
			_, err := p.Engine(Requirements{Model: "m", Avoid: []fleet.UpstreamID{"e2"}})
			is.NoErr(err)
		}
		plant.change(func() {
			r := plant.reports["e1"]
			r.Running = 3
			plant.reports["e1"] = r
		})
		time.Sleep(2 * time.Minute)
		// e1 has 3, not 6, and e2 has 5.
		is.Equal(picked(p, 1, Requirements{Model: "m"}), map[fleet.UpstreamID]int{"e1": 1})
	})
}

// TestDistance keeps to the own data centre until its engines are saturated.
func TestDistance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		plant := newPlant()
		plant.engine("near", "at-1", "m")
		plant.engine("far", "at-2", "m")
		p := NewPool("at-1", plant, plant)
		defer p.Close()
		time.Sleep(time.Second)
		is.Equal(picked(p, 4, Requirements{Model: "m"}), map[fleet.UpstreamID]int{"near": 4})
		got := picked(p, 12, Requirements{Model: "m"})
		is.True(got["far"] >= 3)
		is.True(got["near"] > got["far"])
	})
}

// TestAffinity prefers engines that hold the adapter and the prompt's prefix,
// and forgets prefixes after a gap in the events.
func TestAffinity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		plant := newPlant()
		plant.engine("e1", "at-1", "m")
		plant.engine("e2", "at-1", "m")
		r := plant.reports["e2"]
		r.Resident[0].Adapters = []fleet.AdapterID{"tone"}
		plant.events["e1"] = dialect.CacheEvents{Events: []dialect.CacheEvent{{Key: 7}, {Key: 8}, {Key: 8, Evicted: true}}}
		p := NewPool("at-1", plant, plant)
		defer p.Close()
		time.Sleep(time.Second)
		is.Equal(picked(p, 1, Requirements{Model: "m", Adapter: "tone"}), map[fleet.UpstreamID]int{"e2": 1})
		is.Equal(picked(p, 1, Requirements{Model: "m", Adapter: "tone", Prefix: []dialect.PrefixKey{7}}), map[fleet.UpstreamID]int{"e1": 1})
		is.Equal(picked(p, 1, Requirements{Model: "m", Adapter: "tone", Prefix: []dialect.PrefixKey{8}}), map[fleet.UpstreamID]int{"e2": 1})
		plant.change(func() { plant.events["e1"] = dialect.CacheEvents{First: 40, Events: []dialect.CacheEvent{{Key: 9}}} })
		time.Sleep(time.Second)
		is.Equal(picked(p, 1, Requirements{Model: "m", Adapter: "tone", Prefix: []dialect.PrefixKey{7}}), map[fleet.UpstreamID]int{"e2": 1})
		is.Equal(picked(p, 1, Requirements{Model: "m", Adapter: "tone", Prefix: []dialect.PrefixKey{9}}), map[fleet.UpstreamID]int{"e1": 1})
	})
}

// TestEjection takes an engine out after failures in a row and lets it return
// slowly.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		plant := newPlant()
		plant.engine("e1", "at-1", "m")
		p := NewPool("at-1", plant, plant)
		defer p.Close()
		time.Sleep(time.Second)
		for range failuresToEject {
			l, err := p.Engine(Requirements{Model: "m"})
			is.NoErr(err)
			l.ReportResult(false)
			l.Release()
		}
		is.Equal(picked(p, 4, Requirements{Model: "m"}), map[fleet.UpstreamID]int{})
		time.Sleep(firstEjection)
		is.Equal(picked(p, 4, Requirements{Model: "m"}), map[fleet.UpstreamID]int{"e1": 1})
		time.Sleep(2 * rampStep)
		is.Equal(picked(p, 4, Requirements{Model: "m"}), map[fleet.UpstreamID]int{"e1": 3})
		time.Sleep(rampTime)
		is.Equal(picked(p, 9, Requirements{Model: "m"}), map[fleet.UpstreamID]int{"e1": 9})
	})
}

// BenchmarkEngine chooses among 140 engines that hold 1900 models.
func BenchmarkEngine(b *testing.B) {
	plant := newPlant()
	models := make([]fleet.ModelID, 1900)
	for i := range models {
		models[i] = fleet.ModelID(fmt.Sprint("m", i))
	}
	for i := range 140 {
		plant.engine(fmt.Sprint("e", i), "at-1", models...)
	}
	p := NewPool("at-1", plant, plant)
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
