// Package upstream chooses the upstream for each attempt.
//
// A [Pool] knows the upstreams from the platform's list, their own reports of
// load and resident models, which lag, and its own requests in flight, which
// are exact. A leaving or silent upstream gets nothing new.
package upstream

import (
	"context"
	"slices"
	"sync"
	"time"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/platform"
)

// Times of the observation of upstreams.
const (
	ReportInterval = 500 * time.Millisecond
	reportTimeout  = time.Second
	// SilentAfter is how long an engine may miss reports before it gets no
	// new work.
	SilentAfter = 2 * time.Second
)

// List gives the platform's list of VMs.
type List interface {
	VMs() []fleet.VM
}

// Reporter asks an engine for its report.
type Reporter interface {
	Report(ctx context.Context, address string) (platform.EngineReport, error)
}

// Upstream is what a VM knows of one upstream.
type Upstream struct {
	VM         fleet.VM              `json:"vm"`
	Report     platform.EngineReport `json:"report"`
	ReportedAt time.Time             `json:"reported_at"`
	InFlight   int                   `json:"in_flight"`
}

// ID returns the upstream's id.
func (u Upstream) ID() fleet.UpstreamID {
	return fleet.UpstreamID(u.VM.ID)
}

// Pool is the set of upstreams. It is safe for concurrent use.
type Pool struct {
	dc       fleet.DataCentre
	list     List
	reporter Reporter
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu  sync.Mutex
	ups map[fleet.UpstreamID]*Upstream
}

// NewPool starts to observe the upstreams of list. Close stops it.
func NewPool(dc fleet.DataCentre, list List, reporter Reporter) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		dc:       dc,
		list:     list,
		reporter: reporter,
		cancel:   cancel,
		ups:      make(map[fleet.UpstreamID]*Upstream),
	}
	p.wg.Go(func() { p.observe(ctx) })
	return p
}

// Close stops the observation.
func (p *Pool) Close() {
	p.cancel()
	p.wg.Wait()
}

func (p *Pool) observe(ctx context.Context) {
	t := time.NewTicker(ReportInterval)
	defer t.Stop()
	for {
		p.sync()
		p.readReports(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// sync takes over the upstreams of the list and drops those that left it.
func (p *Pool) sync() {
	vms := p.list.VMs()
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[fleet.UpstreamID]bool)
	for _, vm := range vms {
		if vm.Role == fleet.RoleEntry {
			continue
		}
		id := fleet.UpstreamID(vm.ID)
		listed[id] = true
		if p.ups[id] == nil {
			p.ups[id] = &Upstream{}
		}
		p.ups[id].VM = vm
	}
	for id := range p.ups {
		if !listed[id] {
			delete(p.ups, id)
		}
	}
}

func (p *Pool) readReports(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, u := range p.Upstreams() {
		if u.VM.Role == fleet.RoleModelEngine {
			wg.Go(func() { p.readReport(ctx, u) })
		}
	}
	wg.Wait()
}

func (p *Pool) readReport(ctx context.Context, u Upstream) {
	r, err := p.reporter.Report(ctx, u.VM.Address)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now, ok := p.ups[u.ID()]; ok {
		now.Report = r
		now.ReportedAt = time.Now()
	}
}

// Upstreams returns all upstreams by id.
func (p *Pool) Upstreams() []Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Upstream, 0, len(p.ups))
	for _, u := range p.ups {
		out = append(out, *u)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return compareIDs(a.ID(), b.ID()) })
	return out
}

func compareIDs(a, b fleet.UpstreamID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// Lease is a request in flight at an upstream. It must be released.
type Lease struct {
	Upstream Upstream
	pool     *Pool
	once     sync.Once
}

// NewLease returns a lease of a VM that no pool counts.
func NewLease(vm fleet.VM) *Lease {
	return &Lease{Upstream: Upstream{VM: vm}}
}

// Release ends the request in flight.
func (l *Lease) Release() {
	l.once.Do(func() {
		if l.pool == nil {
			return
		}
		l.pool.mu.Lock()
		defer l.pool.mu.Unlock()
		if u, ok := l.pool.ups[l.Upstream.ID()]; ok {
			u.InFlight--
		}
	})
}

// Engine picks a model engine on which model is ready, other than those in
// avoid.
func (p *Pool) Engine(model fleet.ModelID, avoid []fleet.UpstreamID) (*Lease, error) {
	l := p.pick(func(u *Upstream) bool {
		return u.VM.Role == fleet.RoleModelEngine && u.holds(model) && !slices.Contains(avoid, u.ID())
	})
	if l == nil {
		return nil, fault.New(fault.NoUpstream, "no engine with model %q answers", model)
	}
	return l, nil
}

// Service picks an upstream of the named plain service.
func (p *Pool) Service(name string, avoid []fleet.UpstreamID) (*Lease, error) {
	l := p.pick(func(u *Upstream) bool {
		return u.VM.Role == fleet.RoleService && u.VM.Service == name && !slices.Contains(avoid, u.ID())
	})
	if l == nil {
		return nil, fault.New(fault.NoUpstream, "no upstream of service %q is listed", name)
	}
	return l, nil
}

// pick returns the least loaded usable upstream, one in the own data centre if
// there is any.
func (p *Pool) pick(fits func(*Upstream) bool) *Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *Upstream
	for _, u := range p.ups {
		if u.VM.State == fleet.VMLeaving || u.Report.Leaving || !fits(u) {
			continue
		}
		if best == nil || p.better(u, best) {
			best = u
		}
	}
	if best == nil {
		return nil
	}
	best.InFlight++
	return &Lease{Upstream: *best, pool: p}
}

func (p *Pool) better(a, b *Upstream) bool {
	if near := a.VM.DataCentre == p.dc; near != (b.VM.DataCentre == p.dc) {
		return near
	}
	if a.load() != b.load() {
		return a.load() < b.load()
	}
	return a.VM.ID < b.VM.ID
}

// load estimates the requests at the upstream. The report may include our own
// requests, so the larger number counts.
func (u *Upstream) load() int {
	return max(u.InFlight, u.Report.Running+u.Report.Waiting)
}

func (u *Upstream) holds(model fleet.ModelID) bool {
	if time.Since(u.ReportedAt) > SilentAfter {
		return false
	}
	return slices.ContainsFunc(u.Report.Resident, func(m platform.ResidentModel) bool {
		return m.Model == model && m.Ready
	})
}
