// Package coordinator runs the tasks that one VM of the fleet performs for all: it plans
// which engines hold which models, gives orders to engines, and adds up the requests that
// all VMs have in flight.
//
// Every VM runs a [Coordinator] and a [Client]. The Coordinator acts only while its VM
// holds the leadership. The Client sends messages to the VM that does, and goes on without
// the coordinator's answers while that VM can't be reached.
package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/roster"
	"toucanfall/timeline"
	"toucanfall/transport"
)

// ErrNotCoordinator means that this VM is not the coordinator now.
var ErrNotCoordinator = errors.New("this VM is not the coordinator")

// The requests in flight that a VM has sent count for trafficLifetime after its message, or
// for trafficLifetimeIntervals of its message intervals if that is longer, as it is in a
// large fleet.
const (
	trafficLifetime          = 2500 * time.Millisecond
	trafficLifetimeIntervals = 2.5
)

// Config holds the dependencies of a Coordinator.
type Config struct {
	VM        fleet.VMID
	Catalogue *catalogue.Holder
	Roster    *roster.Roster
	Engines   Engines
	// Pool returns the connection pool of an upstream.
	Pool func(u *roster.Upstream) *transport.Pool
	// FencingToken returns the fencing token of this VM's leadership, false if this VM is
	// not the coordinator.
	FencingToken func() (int64, bool)
	// OnFenced is called when an engine rejects an order because it has seen a higher
	// fencing token.
	OnFenced func(fence int64)
	Events   *timeline.Recorder
}

// Coordinator plans and orders for the fleet while its VM is the coordinator.
type Coordinator struct {
	cfg     Config
	notices *noticeLog
	// tasks counts the moves and the requests for reports that run in the background.
	tasks sync.WaitGroup

	// mu guards the fields below. It may be held while an engine's mu is taken, not the
	// other way round.
	mu sync.Mutex
	// term is the fencing token under which the fields below were collected.
	term    int64
	engines map[fleet.UpstreamID]*engine
	vms     map[fleet.VMID]vmTraffic
	// totalInFlight adds up the requests in flight of all VMs, by upstream.
	totalInFlight map[fleet.UpstreamID]int
	demand        *demandTracker
	// version counts the changes of holdings that VMs have to learn.
	version uint64
	// loadLimiter limits the rate of loads from the weight store, loadsRunning counts those
	// in progress.
	loadLimiter  loadLimiter
	loadsRunning int
	// inputsLogged is when the inputs of the plan were last logged.
	inputsLogged time.Time
}

// vmTraffic holds the requests in flight that a VM has sent. They count until expires.
type vmTraffic struct {
	expires  time.Time
	inFlight map[fleet.UpstreamID]int
}

// newTraffic returns the requests in flight of a message that was received at now.
func newTraffic(in Sync, now time.Time) vmTraffic {
	lifetime := max(trafficLifetime, time.Duration(trafficLifetimeIntervals*float64(in.Every)))
	t := vmTraffic{expires: now.Add(lifetime), inFlight: make(map[fleet.UpstreamID]int, len(in.Traffic))}
	for _, n := range in.Traffic {
		t.inFlight[n.Upstream] = n.InFlight
	}
	return t
}

// New returns a Coordinator. It does nothing until its VM holds the leadership and Run or
// its Service is called.
func New(cfg Config) *Coordinator {
	c := &Coordinator{cfg: cfg, notices: newNoticeLog(cfg.Roster, cfg.Events)}
	c.reset(0)
	return c
}

// reset drops all state of an earlier term. The caller holds mu, except in New.
func (c *Coordinator) reset(term int64) {
	c.term = term
	c.engines = make(map[fleet.UpstreamID]*engine)
	c.vms = make(map[fleet.VMID]vmTraffic)
	c.totalInFlight = make(map[fleet.UpstreamID]int)
	c.demand = newDemandTracker()
	c.version++
	c.loadLimiter, c.loadsRunning = loadLimiter{}, 0
}

// checkLeadership returns ErrNotCoordinator if this VM is not the coordinator. It drops all
// state when the fencing token has changed.
func (c *Coordinator) checkLeadership() error {
	fence, ok := c.cfg.FencingToken()
	if !ok {
		return ErrNotCoordinator
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != fence {
		c.reset(fence)
	}
	return nil
}

// updateState calls f with the state of an engine, and increments the version if the change
// concerns VMs. An answer holds only the engines that have changed: the lists of all
// engines of a large fleet would saturate the uplink of a small VM.
func (c *Coordinator) updateState(e *engine, f func(st *engineState)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.withState(func(st *engineState) {
		f(st)
		now := st.fingerprint()
		if now == e.sharedFingerprint {
			return
		}
		c.version++
		e.sharedFingerprint, e.sharedVersion = now, c.version
	})
}

// engine returns the record of an upstream, a new one if the upstream was restarted.
func (c *Coordinator) engine(u *roster.Upstream) *engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[u.ID]
	if !ok || e.u != u {
		e = newEngine(u)
		c.engines[u.ID] = e
	}
	return e
}

// Service holds the methods that net/rpc serves to other VMs.
type Service struct{ c *Coordinator }

// Service returns the methods to register with net/rpc.
func (c *Coordinator) Service() *Service {
	return &Service{c}
}

// Sync applies a VM's message and answers with the requests of other VMs, the holdings of
// engines and the shared notices that are new to it. It fails with ErrNotCoordinator if
// this VM is not the coordinator.
func (s *Service) Sync(in Sync, out *SyncAnswer) error {
	if err := s.c.checkLeadership(); err != nil {
		return err
	}
	s.c.applySync(in)
	s.c.notices.apply(in.Words, string(in.VM), time.Now())
	*out = s.c.answer(in)
	return nil
}

// Wish loads an adapter at an engine. It fails with ErrNotCoordinator if this VM is not the
// coordinator. It also fails if there is no configuration yet, if the service has no engines
// or lacks the model, and if no engine can take the adapter; the error then is that of the
// last engine that was tried.
func (s *Service) Wish(in Wish, out *WishAnswer) error {
	if err := s.c.checkLeadership(); err != nil {
		return err
	}
	a, err := s.c.placeAdapter(context.Background(), in)
	*out = a
	return err
}

// applySync applies a VM's message, and drops the requests in flight of VMs whose last
// message has expired.
func (c *Coordinator) applySync(in Sync) {
	now := time.Now()
	c.mu.Lock()
	c.removeTraffic(in.VM)
	c.vms[in.VM] = newTraffic(in, now)
	for u, n := range c.vms[in.VM].inFlight {
		c.totalInFlight[u] += n
	}
	for id, t := range c.vms {
		if now.After(t.expires) {
			c.removeTraffic(id)
		}
	}
	for _, d := range in.Demand {
		c.demand.add(now, d)
	}
	used := make([]*engine, len(in.Uses))
	for i, u := range in.Uses {
		used[i] = c.engines[u.Upstream]
	}
	c.mu.Unlock()
	for i, u := range in.Uses {
		if used[i] != nil {
			used[i].markUsed(u.Adapter, now)
		}
	}
}

// markUsed records the use of a model or adapter.
func (e *engine) markUsed(a roster.Adapter, now time.Time) {
	e.withState(func(st *engineState) {
		m, ok := st.models[a.Model]
		if !ok {
			return
		}
		m.lastUsed = now
		if ad := m.adapters[a.Adapter]; ad != nil {
			ad.lastUsed = now
		}
	})
}

// answer returns the answer to a message.
func (c *Coordinator) answer(in Sync) SyncAnswer {
	out := SyncAnswer{Others: c.others(in.VM)}
	out.Words, out.Told = c.notices.since(in.Told)
	c.mu.Lock()
	out.Known = Known{Term: c.term, Version: c.version}
	var engines []*engine
	for _, e := range c.engines {
		if in.Known.Term != c.term || e.sharedVersion > in.Known.Version {
			engines = append(engines, e)
		}
	}
	c.mu.Unlock()
	for _, e := range engines {
		e.withState(func(st *engineState) {
			if st.known {
				out.Holdings = append(out.Holdings, EngineHoldings{Upstream: e.u.ID, Born: e.u.StartTime(), Models: st.servableModels(), Adapters: st.usableAdapters()})
			}
		})
	}
	return out
}

// prune drops engines that were removed from the roster.
func (c *Coordinator) prune() {
	c.mu.Lock()
	defer c.mu.Unlock()
	roster.Retain(c.cfg.Roster, c.engines)
}

// removeTraffic subtracts a VM's requests from the sums. The caller holds mu.
func (c *Coordinator) removeTraffic(vm fleet.VMID) {
	for u, n := range c.vms[vm].inFlight {
		if c.totalInFlight[u] -= n; c.totalInFlight[u] <= 0 {
			delete(c.totalInFlight, u)
		}
	}
	delete(c.vms, vm)
}

// others returns the sums of the requests in flight of all VMs but one.
func (c *Coordinator) others(vm fleet.VMID) []Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.vms[vm].inFlight
	out := make([]Traffic, 0, len(c.totalInFlight))
	for u, n := range c.totalInFlight {
		if n -= own[u]; n > 0 {
			out = append(out, Traffic{Upstream: u, InFlight: n})
		}
	}
	return out
}

// inFlight returns the number of requests that all VMs have in flight at an upstream.
func (c *Coordinator) inFlight(u fleet.UpstreamID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totalInFlight[u]
}
