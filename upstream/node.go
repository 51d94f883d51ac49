package upstream

import (
	"context"
	"slices"
	"sync"
	"time"

	"toucanfall/dialect"
	"toucanfall/fleet"
)

// node is the state of one upstream under a lock of its own.
type node struct {
	id     fleet.UpstreamID
	cancel context.CancelFunc

	mu         sync.Mutex
	vm         fleet.VM
	gone       bool
	report     dialect.EngineReport
	reportedAt time.Time
	ready      map[fleet.ModelID][]fleet.AdapterID
	// inFlight counts own requests.
	inFlight int
	// others estimates the requests of other VMs: the mean of what was reported
	// less the own requests that were in flight then.
	others float64
	health health
	cache  cache
}

func newNode(vm fleet.VM, cancel context.CancelFunc) *node {
	return &node{id: fleet.UpstreamID(vm.ID), vm: vm, cancel: cancel}
}

// list takes over the entry of the platform's list.
func (n *node) list(vm fleet.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vm = vm
}

// asking returns what a poll needs: where to ask, the own requests that the
// answer may include, and the next cache event.
func (n *node) asking() (vm fleet.VM, own int, from uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vm, n.inFlight, n.cache.next()
}

// learn takes events of the prefix cache.
func (n *node) learn(from uint64, c dialect.CacheEvents) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cache.apply(from, c)
}

func (n *node) snapshot() Upstream {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Upstream{
		VM:         n.vm,
		Report:     n.report,
		ReportedAt: n.reportedAt,
		InFlight:   n.inFlight,
		Ejected:    n.health.ejected(time.Now()),
	}
}

// usable reports whether the upstream may get new work. The caller holds the
// lock.
func (n *node) usable(now time.Time) bool {
	leaving := n.vm.State == fleet.VMLeaving || n.report.Leaving
	silent := n.reportedAt.IsZero() || now.Sub(n.reportedAt) > SilentAfter
	return !n.gone && !leaving && !silent && n.health.admits(now, n.inFlight)
}

// othersGain is how much of a new report goes into the estimate of what other
// VMs have in flight. Reports are late: at 0.2, VMs that all shun the engine that
// was loaded a second ago load the next one, and first tokens come late. At 0.05
// the estimate follows in some ten seconds and the choice is stable.
const othersGain = 0.05

// Weights of a cost, in requests ahead in the queue.
const (
	// prefixWeight is what a prompt that stands in the cache is worth.
	prefixWeight = 2.0
	// adapterWeight is what an adapter costs that has to be loaded first.
	adapterWeight = 0.5
	// minDistance is what another data centre costs at least.
	minDistance = 4.0
)

// cost returns what it costs to send the attempt here, in requests, and whether
// that is possible. An upstream of another data centre costs as much as one
// here whose slots are all taken.
func (n *node) cost(now time.Time, dc fleet.DataCentre, w Requirements) (float64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.usable(now) {
		return 0, false
	}
	c := n.load(now) - prefixWeight*n.cache.share(w.Prefix)
	if w.Adapter != "" && !slices.Contains(n.ready[w.Model], w.Adapter) {
		c += adapterWeight
	}
	if n.vm.DataCentre != dc {
		c += max(float64(n.report.Slots), minDistance)
	}
	return c, true
}

// load estimates the requests at the upstream. What a report says of others
// loses weight until the upstream counts as silent. The caller holds the lock.
func (n *node) load(now time.Time) float64 {
	age := now.Sub(n.reportedAt)
	weight := 1 - float64(age)/float64(2*SilentAfter)
	return float64(n.inFlight) + n.others*max(weight, 0)
}

// lease counts a request in flight.
func (n *node) lease(w Requirements) *Lease {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cache.expect(w.Prefix)
	n.inFlight++
	return &Lease{
		Upstream: Upstream{VM: n.vm, Report: n.report, ReportedAt: n.reportedAt, InFlight: n.inFlight},
		node:     n,
	}
}

// Lease is a request in flight at an upstream. It must be released.
type Lease struct {
	Upstream Upstream
	node     *node
	once     sync.Once
}

// NewLease returns a lease of a VM that no pool counts.
func NewLease(vm fleet.VM) *Lease {
	return &Lease{Upstream: Upstream{VM: vm}}
}

// Release ends the request in flight.
func (l *Lease) Release() {
	l.once.Do(func() {
		if l.node == nil {
			return
		}
		l.node.mu.Lock()
		defer l.node.mu.Unlock()
		l.node.inFlight--
		if l.node.inFlight < 0 {
			panic("upstream: more requests ended than began")
		}
	})
}

// Note tells whether the upstream served the attempt. Failures in a row take
// it out of use for a while.
func (l *Lease) ReportResult(ok bool) {
	if l.node == nil {
		return
	}
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.node.health.note(time.Now(), ok)
}

// Silent reports whether the upstream has stopped to report.
func (l *Lease) Silent() bool {
	if l.node == nil {
		return false
	}
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	return time.Since(l.node.reportedAt) > SilentAfter
}

// Queueing reports whether the upstream's newest report shows requests that
// wait for their turn.
func (l *Lease) Queueing() bool {
	if l.node == nil {
		return false
	}
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	return l.node.report.Waiting > 0
}
