// Package upstream chooses the upstream for each attempt.
//
// A [Pool] tracks the upstreams in the platform's VM list, their reports of
// load and resident models, which are delayed, and this VM's requests in
// flight, which are exact. A leaving or silent upstream gets no new requests.
// The state of each upstream has its own lock. An index by model limits a
// choice to the upstreams that hold the model.
package upstream

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"toucanfall/dialect"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
)

// Intervals and timeouts of the observation of upstreams.
const (
	// ReportInterval is the time between two polls of an upstream.
	ReportInterval = 500 * time.Millisecond
	reportTimeout  = time.Second
	// syncInterval is the time between two reads of the platform's VM list.
	syncInterval = 250 * time.Millisecond
	// SilentAfter is how old an upstream's last report may be before it gets no
	// new requests.
	SilentAfter = 2 * time.Second
)

// List returns the platform's VM list.
type List interface {
	VMs() []fleet.VM
}

// Reporter polls upstreams: engines for reports and prefix cache events, plain
// services for reports. Its methods return the error of the call if the upstream
// does not answer.
type Reporter interface {
	Report(ctx context.Context, address string) (dialect.EngineReport, error)
	ServiceReport(ctx context.Context, address string) (dialect.ServiceReport, error)
	CacheEvents(ctx context.Context, address string, from uint64) (dialect.CacheEvents, error)
}

// Upstream is this VM's view of one upstream.
type Upstream struct {
	VM         fleet.VM             `json:"vm"`
	Report     dialect.EngineReport `json:"report"`
	ReportedAt time.Time            `json:"reported_at"`
	// InFlight counts this VM's requests in flight.
	InFlight int `json:"in_flight"`
	// Ejected is set while the upstream gets no new requests after failures.
	Ejected bool `json:"ejected,omitempty"`
}

// ID returns the upstream's ID.
func (u Upstream) ID() fleet.UpstreamID {
	return fleet.UpstreamID(u.VM.ID)
}

// Requirements holds the requirements of an attempt.
type Requirements struct {
	Model   fleet.ModelID
	Adapter fleet.AdapterID
	// Prefix holds the keys of the prompt's prefixes, the shortest first.
	Prefix []dialect.PrefixKey
	// Avoid lists upstreams that have failed the request and are not chosen.
	Avoid []fleet.UpstreamID
}

// Pool is the set of upstreams that a VM observes and chooses from. It is safe
// for concurrent use.
type Pool struct {
	dc       fleet.DataCentre
	list     List
	reporter Reporter
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	models   *index[fleet.ModelID]
	services *index[string]

	// mu guards nodes. Choices of an upstream do not take it.
	mu    sync.Mutex
	nodes map[fleet.UpstreamID]*node
}

// NewPool returns a pool that observes the upstreams of list in the background.
// dc is the data centre of this VM. Close stops it.
func NewPool(dc fleet.DataCentre, list List, reporter Reporter) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		dc:       dc,
		list:     list,
		reporter: reporter,
		ctx:      ctx,
		cancel:   cancel,
		models:   newIndex[fleet.ModelID](),
		services: newIndex[string](),
		nodes:    make(map[fleet.UpstreamID]*node),
	}
	p.wg.Go(func() { loop.Every(ctx, syncInterval, p.sync) })
	return p
}

// Close stops the observation and waits for its goroutines.
func (p *Pool) Close() {
	p.cancel()
	p.wg.Wait()
}

// sync adds upstreams that are new in the list, updates the others and drops those
// that are no longer listed.
func (p *Pool) sync(ctx context.Context) {
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
		if n, ok := p.nodes[id]; ok {
			n.setVM(vm)
			continue
		}
		p.add(ctx, vm)
	}
	for id, n := range p.nodes {
		if !listed[id] {
			n.cancel()
			p.unlink(n)
			delete(p.nodes, id)
		}
	}
}

// add starts to observe an upstream. The caller must hold mu.
func (p *Pool) add(ctx context.Context, vm fleet.VM) *node {
	ctx, cancel := context.WithCancel(ctx)
	n := newNode(vm, cancel)
	p.nodes[n.id] = n
	if vm.Role == fleet.RoleService {
		p.services.add(vm.Service, n)
	}
	p.wg.Go(func() { loop.Every(ctx, ReportInterval, func(ctx context.Context) { p.poll(ctx, n) }) })
	return n
}

// unlink removes an upstream from the indexes, and prevents a report that arrives
// later from adding it again.
func (p *Pool) unlink(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.removed = true
	for m := range n.ready {
		p.models.remove(m, n)
	}
	n.ready = nil
	if n.vm.Role == fleet.RoleService {
		p.services.remove(n.vm.Service, n)
	}
}

// poll requests the report of one upstream, and the cache events of an engine.
// After a failed call the reporter closes its connection, so that the next poll
// opens a new one.
func (p *Pool) poll(ctx context.Context, n *node) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	vm, own, from := n.pollParams()
	if vm.Role == fleet.RoleService {
		if r, err := p.reporter.ServiceReport(ctx, vm.Address); err == nil {
			p.storeReport(n, dialect.EngineReport{Running: r.Running, Waiting: r.Waiting, Leaving: r.Leaving}, own)
		}
		return
	}
	r, err := p.reporter.Report(ctx, vm.Address)
	if err != nil {
		return
	}
	p.storeReport(n, r, own)
	if c, err := p.reporter.CacheEvents(ctx, vm.Address, from); err == nil {
		n.applyCacheEvents(from, c)
	}
}

// storeReport stores a report and updates the index of models. own is the number
// of this VM's requests in flight when the report was requested.
func (p *Pool) storeReport(n *node, r dialect.EngineReport, own int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.removed {
		return
	}
	others := float64(max(0, r.Running+r.Waiting-own))
	if n.reportedAt.IsZero() {
		n.othersInFlight = others
	}
	n.othersInFlight += othersSmoothing * (others - n.othersInFlight)
	n.report = r
	n.reportedAt = time.Now()
	ready := make(map[fleet.ModelID][]fleet.AdapterID, len(r.Resident))
	for _, m := range r.Resident {
		if m.Ready {
			ready[m.Model] = m.Adapters
		}
	}
	for m := range ready {
		if _, ok := n.ready[m]; !ok {
			p.models.add(m, n)
		}
	}
	for m := range n.ready {
		if _, ok := ready[m]; !ok {
			p.models.remove(m, n)
		}
	}
	n.ready = ready
}

// Upstreams returns all upstreams, sorted by ID.
func (p *Pool) Upstreams() []Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Upstream, 0, len(p.nodes))
	for _, n := range p.nodes {
		out = append(out, n.snapshot())
	}
	slices.SortFunc(out, func(a, b Upstream) int { return strings.Compare(string(a.ID()), string(b.ID())) })
	return out
}

// Engine leases the best engine on which the model is ready, other than those in
// w.Avoid. It fails with [fault.NoUpstream] if there is none.
func (p *Pool) Engine(req Requirements) (*Lease, error) {
	if l := p.choose(p.models.get(req.Model), req); l != nil {
		return l, nil
	}
	return nil, fault.New(fault.NoUpstream, "no engine with model %q answers", req.Model)
}

// Service leases the best upstream of the named plain service, other than those
// in avoid. It fails with [fault.NoUpstream] if there is none.
func (p *Pool) Service(name string, avoid []fleet.UpstreamID) (*Lease, error) {
	if l := p.choose(p.services.get(name), Requirements{Avoid: avoid}); l != nil {
		return l, nil
	}
	return nil, fault.New(fault.NoUpstream, "no upstream of service %q answers", name)
}

// choose leases the candidate with the lowest cost, or returns nil if none is
// usable. Ties are broken at random, since VMs that all made the same choice
// would load one upstream until the next report.
func (p *Pool) choose(candidates []*node, req Requirements) *Lease {
	var best *node
	var lowest float64
	ties := 0
	now := time.Now()
	for _, n := range candidates {
		if slices.Contains(req.Avoid, n.id) {
			continue
		}
		c, ok := n.cost(now, p.dc, req)
		if !ok {
			continue
		}
		switch {
		case best == nil || c < lowest:
			best, lowest, ties = n, c, 1
		case c == lowest:
			ties++
			if rand.IntN(ties) == 0 {
				best = n
			}
		}
	}
	if best == nil {
		return nil
	}
	return best.acquire(req)
}
