package upstream

import (
	"context"
	"slices"
	"sync"
	"time"

	"toucanfall/dialect"
	"toucanfall/fleet"
)

// node is the observed state of one upstream.
type node struct {
	id     fleet.UpstreamID
	cancel context.CancelFunc

	// mu guards the fields below.
	mu sync.Mutex
	vm fleet.VM
	// removed is set once the upstream has left the platform's VM list.
	removed bool
	// report is the last report, received at reportedAt, which is zero if there
	// was none.
	report     dialect.EngineReport
	reportedAt time.Time
	// ready holds the ready models of the report with their adapters.
	ready map[fleet.ModelID][]fleet.AdapterID
	// inFlight counts this VM's requests in flight.
	inFlight int
	// othersInFlight estimates the requests of other VMs in flight: the smoothed
	// mean of the reported requests minus this VM's own at the time of the poll.
	othersInFlight float64
	health         health
	cache          prefixCache
}

// newNode returns the node of a VM. cancel stops its polls.
func newNode(vm fleet.VM, cancel context.CancelFunc) *node {
	return &node{id: fleet.UpstreamID(vm.ID), vm: vm, cancel: cancel}
}

// setVM updates the upstream's entry in the platform's VM list.
func (n *node) setVM(vm fleet.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vm = vm
}

// pollParams returns what a poll needs: the VM to poll, this VM's requests in
// flight, which the report may include, and the number of the next cache event.
func (n *node) pollParams() (vm fleet.VM, own int, from uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vm, n.inFlight, n.cache.next()
}

// applyCacheEvents applies events of the prefix cache, requested from number from
// on.
func (n *node) applyCacheEvents(from uint64, c dialect.CacheEvents) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cache.apply(from, c)
}

// snapshot returns the current state of the upstream.
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

// usable reports whether the upstream may get new requests. The caller must hold
// mu.
func (n *node) usable(now time.Time) bool {
	leaving := n.vm.State == fleet.VMLeaving || n.report.Leaving
	silent := n.reportedAt.IsZero() || now.Sub(n.reportedAt) > SilentAfter
	return !n.removed && !leaving && !silent && n.health.admits(now, n.inFlight)
}

// othersSmoothing is the weight of a new report in the exponential average
// othersInFlight. Reports are delayed: at 0.2, all VMs avoid the engine that was
// busy a second ago and overload the next one, which delays first tokens. At 0.05
// the average follows in about ten seconds and the choice is stable.
const othersSmoothing = 0.05

// Weights of the cost of an upstream, in requests queued before the attempt.
const (
	// prefixWeight is the reduction of the cost for a completely cached prompt.
	prefixWeight = 2.0
	// adapterWeight is the cost of an adapter that must be loaded first.
	adapterWeight = 0.5
	// minRemoteCost is the least additional cost of an upstream in another data
	// centre.
	minRemoteCost = 4.0
)

// cost returns the cost of sending an attempt to the upstream, in requests, and
// false if the upstream is not usable. An upstream in another data centre costs
// as many requests more as it has slots, at least minRemoteCost, so that an idle
// one there costs as much as one here whose slots are all in use.
func (n *node) cost(now time.Time, dc fleet.DataCentre, req Requirements) (float64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.usable(now) {
		return 0, false
	}
	c := n.load(now) - prefixWeight*n.cache.cachedFraction(req.Prefix)
	if req.Adapter != "" && !slices.Contains(n.ready[req.Model], req.Adapter) {
		c += adapterWeight
	}
	if n.vm.DataCentre != dc {
		c += max(float64(n.report.Slots), minRemoteCost)
	}
	return c, true
}

// load estimates the requests at the upstream. The estimate for other VMs is
// weighted down with the age of the last report, to half at SilentAfter. The
// caller must hold mu.
func (n *node) load(now time.Time) float64 {
	age := now.Sub(n.reportedAt)
	weight := 1 - float64(age)/float64(2*SilentAfter)
	return float64(n.inFlight) + n.othersInFlight*max(weight, 0)
}

// acquire counts a request in flight and records its prefixes as cached.
func (n *node) acquire(req Requirements) *Lease {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cache.addExpected(req.Prefix)
	n.inFlight++
	return &Lease{
		Upstream: Upstream{VM: n.vm, Report: n.report, ReportedAt: n.reportedAt, InFlight: n.inFlight},
		node:     n,
	}
}

// Lease is a request in flight at an upstream. It must be released.
type Lease struct {
	// Upstream is the state of the upstream when the lease was acquired.
	Upstream Upstream
	node     *node
	once     sync.Once
}

// NewLease returns a lease for a VM outside any pool. Its Release and
// ReportResult have no effect.
func NewLease(vm fleet.VM) *Lease {
	return &Lease{Upstream: Upstream{VM: vm}}
}

// Release ends the request in flight. Further calls have no effect.
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

// ReportResult records whether the upstream served the attempt. After
// failuresToEject failures in a row the upstream is ejected for some time.
func (l *Lease) ReportResult(ok bool) {
	if l.node == nil {
		return
	}
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.node.health.record(time.Now(), ok)
}

// Silent reports whether the upstream's last report is older than [SilentAfter].
func (l *Lease) Silent() bool {
	if l.node == nil {
		return false
	}
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	return time.Since(l.node.reportedAt) > SilentAfter
}

// Queueing reports whether the upstream's last report shows queued requests.
func (l *Lease) Queueing() bool {
	if l.node == nil {
		return false
	}
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	return l.node.report.Waiting > 0
}
