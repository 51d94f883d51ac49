// Package upstream chooses the upstream for each attempt.
//
// A [Pool] knows the upstreams from the platform's list, their own reports of
// load and resident models, which lag, and its own requests in flight, which
// are exact. A leaving or silent upstream gets nothing new. Each upstream has
// state of its own; an index finds those that hold a model, so that a choice
// looks at no others.
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

// Times of the observation of upstreams.
const (
	ReportInterval = 500 * time.Millisecond
	reportTimeout  = time.Second
	syncInterval   = 250 * time.Millisecond
	// SilentAfter is how long an upstream may miss reports before it gets no
	// new work.
	SilentAfter = 2 * time.Second
)

// List gives the platform's list of VMs.
type List interface {
	VMs() []fleet.VM
}

// Reporter asks upstreams for their reports.
type Reporter interface {
	Report(ctx context.Context, address string) (dialect.EngineReport, error)
	ServiceReport(ctx context.Context, address string) (dialect.ServiceReport, error)
	CacheEvents(ctx context.Context, address string, from uint64) (dialect.CacheEvents, error)
}

// Upstream is what a VM knows of one upstream.
type Upstream struct {
	VM         fleet.VM             `json:"vm"`
	Report     dialect.EngineReport `json:"report"`
	ReportedAt time.Time            `json:"reported_at"`
	InFlight   int                  `json:"in_flight"`
	// Ejected is set while the upstream gets nothing new because it failed.
	Ejected bool `json:"ejected,omitempty"`
}

// ID returns the upstream's id.
func (u Upstream) ID() fleet.UpstreamID {
	return fleet.UpstreamID(u.VM.ID)
}

// Want says what an attempt needs of an engine.
type Requirements struct {
	Model   fleet.ModelID
	Adapter fleet.AdapterID
	// Prefix holds the keys of the beginnings of the prompt, the shortest
	// first.
	Prefix []dialect.PrefixKey
	// Avoid lists engines that failed the request.
	Avoid []fleet.UpstreamID
}

// Pool is the set of upstreams. It is safe for concurrent use.
type Pool struct {
	dc       fleet.DataCentre
	list     List
	reporter Reporter
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	models   *index[fleet.ModelID]
	services *index[string]

	// mu guards nodes. Choices do not take it.
	mu    sync.Mutex
	nodes map[fleet.UpstreamID]*node
}

// NewPool starts to observe the upstreams of list. Close stops it.
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

// Close stops the observation.
func (p *Pool) Close() {
	p.cancel()
	p.wg.Wait()
}

// sync takes over the upstreams of the list and drops those that left it.
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
			n.list(vm)
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

// add starts to observe an upstream. The caller holds the lock.
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

// unlink removes an upstream from the indexes. A report that is on its way
// links nothing any more.
func (p *Pool) unlink(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gone = true
	for m := range n.ready {
		p.models.remove(m, n)
	}
	n.ready = nil
	if n.vm.Role == fleet.RoleService {
		p.services.remove(n.vm.Service, n)
	}
}

// poll asks one upstream for its report. A call that fails closes its
// connection, so that the next one is on a new connection.
func (p *Pool) poll(ctx context.Context, n *node) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	vm, own, from := n.asking()
	if vm.Role == fleet.RoleService {
		if r, err := p.reporter.ServiceReport(ctx, vm.Address); err == nil {
			p.take(n, dialect.EngineReport{Running: r.Running, Waiting: r.Waiting, Leaving: r.Leaving}, own)
		}
		return
	}
	r, err := p.reporter.Report(ctx, vm.Address)
	if err != nil {
		return
	}
	p.take(n, r, own)
	if c, err := p.reporter.CacheEvents(ctx, vm.Address, from); err == nil {
		n.learn(from, c)
	}
}

// take stores a report that was asked for while own requests were in flight.
func (p *Pool) take(n *node, r dialect.EngineReport, own int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gone {
		return
	}
	others := float64(max(0, r.Running+r.Waiting-own))
	if n.reportedAt.IsZero() {
		n.others = others
	}
	n.others += othersGain * (others - n.others)
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

// Upstreams returns all upstreams by id.
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

// Engine picks an engine on which the model is ready, other than those to
// avoid.
func (p *Pool) Engine(w Requirements) (*Lease, error) {
	if l := p.choose(p.models.get(w.Model), w); l != nil {
		return l, nil
	}
	return nil, fault.New(fault.NoUpstream, "no engine with model %q answers", w.Model)
}

// Service picks an upstream of the named plain service, other than those in
// avoid.
func (p *Pool) Service(name string, avoid []fleet.UpstreamID) (*Lease, error) {
	if l := p.choose(p.services.get(name), Requirements{Avoid: avoid}); l != nil {
		return l, nil
	}
	return nil, fault.New(fault.NoUpstream, "no upstream of service %q answers", name)
}

// choose returns the candidate with the lowest cost. Equal costs are decided at
// random, for VMs that decided alike would all load the same upstream until
// the next report.
func (p *Pool) choose(candidates []*node, w Requirements) *Lease {
	var best *node
	var lowest float64
	ties := 0
	now := time.Now()
	for _, n := range candidates {
		if slices.Contains(w.Avoid, n.id) {
			continue
		}
		c, ok := n.cost(now, p.dc, w)
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
	return best.lease(w)
}
