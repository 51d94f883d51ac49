// Package coordinator holds what one VM of the fleet does for all: it gives
// orders to engines, and adds up what the VMs have in flight.
//
// Every VM runs a [Coordinator] and a [Client]. The coordinator acts only while
// its VM has the duty; the client speaks to whichever VM has it, and does
// without where it cannot be reached.
package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/courier"
	"toucanfall/fleet"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// ErrNoDuty tells that this VM may not act as the coordinator now.
var ErrNotCoordinator = errors.New("this VM is not the coordinator")

// Times for which what a VM has in flight counts after its message: trafficLife, and
// trafficMessages of its intervals in a large fleet.
const (
	trafficLife     = 2500 * time.Millisecond
	trafficMessages = 2.5
)

// Config holds the dependencies of a Coordinator.
type Config struct {
	VM        fleet.VMID
	Catalogue *catalogue.Holder
	Roster    *roster.Roster
	Engines   Engines
	// Pool returns the connections to an upstream.
	Pool func(u *roster.Upstream) *courier.Pool
	// Duty returns the fencing token of this VM's duty, false if it has none.
	FencingToken func() (int64, bool)
	// Fenced tells that a fencing token was refused.
	OnFenced func(fence int64)
	Events *timeline.Recorder
}

// Coordinator acts for the fleet while its VM has the duty.
type Coordinator struct {
	cfg   Config
	words *words
	moves sync.WaitGroup

	mu      sync.Mutex
	term    int64
	engines map[fleet.UpstreamID]*engine
	vms     map[fleet.VMID]vmTraffic
	// total adds the requests of all VMs up, by upstream.
	total   map[fleet.UpstreamID]int
	demand  *demand
	version uint64
	// loads bounds the loads from the weight store, loading counts those that
	// are under way.
	loads   loadBudget
	loading int
	// viewed is when the log last showed what the plan goes by.
	viewed time.Time
}

// vmTraffic is what a VM told of its requests in flight.
type vmTraffic struct {
	until    time.Time
	inFlight map[fleet.UpstreamID]int
}

// newTraffic returns what a message tells of a VM's requests in flight.
func newTraffic(in Sync, now time.Time) vmTraffic {
	life := max(trafficLife, time.Duration(trafficMessages*float64(in.Every)))
	t := vmTraffic{until: now.Add(life), inFlight: make(map[fleet.UpstreamID]int, len(in.Traffic))}
	for _, n := range in.Traffic {
		t.inFlight[n.Upstream] = n.InFlight
	}
	return t
}

// New returns a coordinator without duty.
func New(cfg Config) *Coordinator {
	c := &Coordinator{cfg: cfg, words: newWords(cfg.Roster, cfg.Events)}
	c.reset(0)
	return c
}

// reset forgets what was known in an earlier term.
func (c *Coordinator) reset(term int64) {
	c.term = term
	c.engines = make(map[fleet.UpstreamID]*engine)
	c.vms = make(map[fleet.VMID]vmTraffic)
	c.total = make(map[fleet.UpstreamID]int)
	c.demand = newDemand()
	c.version++
	c.loads, c.loading = loadBudget{}, 0
}

// begin checks the duty, and forgets everything where a new term has begun.
func (c *Coordinator) begin() error {
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

// change calls f with the account of an engine, and numbers the change if VMs are to
// learn of it. They are told of engines that have changed only: over all engines of
// a large fleet the lists would fill the line of a small VM.
func (c *Coordinator) change(e *engine, f func(a *account)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.with(func(a *account) {
		f(a)
		now := a.fingerprint()
		if now == e.shown {
			return
		}
		c.version++
		e.shown, e.changed = now, c.version
	})
}

// engine returns the account of an upstream, a new one if the upstream was
// started anew.
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

// Service is the coordinator as peers call it.
type Service struct{ c *Coordinator }

// Service returns what peers may call.
func (c *Coordinator) Service() *Service {
	return &Service{c}
}

// Sync takes a VM's message and answers with what others do.
func (s *Service) Sync(in Sync, out *SyncAnswer) error {
	if err := s.c.begin(); err != nil {
		return err
	}
	s.c.take(in)
	s.c.words.learn(in.Words, string(in.VM), time.Now())
	*out = s.c.answer(in)
	return nil
}

// Wish brings an adapter to an engine.
func (s *Service) Wish(in Wish, out *WishAnswer) error {
	if err := s.c.begin(); err != nil {
		return err
	}
	a, err := s.c.wish(context.Background(), in)
	*out = a
	return err
}

func (c *Coordinator) take(in Sync) {
	now := time.Now()
	c.mu.Lock()
	c.forget(in.VM)
	c.vms[in.VM] = newTraffic(in, now)
	for u, n := range c.vms[in.VM].inFlight {
		c.total[u] += n
	}
	for id, t := range c.vms {
		if now.After(t.until) {
			c.forget(id)
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
			used[i].use(u.Adapter, now)
		}
	}
}

// use notes the use of an adapter.
func (e *engine) use(a roster.Adapter, now time.Time) {
	e.with(func(acc *account) {
		m, ok := acc.models[a.Model]
		if !ok {
			return
		}
		m.used = now
		if ad := m.adapters[a.Adapter]; ad != nil {
			ad.used = now
		}
	})
}

func (c *Coordinator) answer(in Sync) SyncAnswer {
	out := SyncAnswer{Others: c.others(in.VM)}
	out.Words, out.Told = c.words.since(in.Told)
	c.mu.Lock()
	out.Known = Known{Term: c.term, Version: c.version}
	var engines []*engine
	for _, e := range c.engines {
		if in.Known.Term != c.term || e.changed > in.Known.Version {
			engines = append(engines, e)
		}
	}
	c.mu.Unlock()
	for _, e := range engines {
		e.with(func(a *account) {
			if a.known {
				out.Holdings = append(out.Holdings, EngineHoldings{Upstream: e.u.ID, Born: e.u.StartTime(), Models: a.servable(), Adapters: a.list()})
			}
		})
	}
	return out
}

// prune forgets engines that have left.
func (c *Coordinator) prune() {
	c.mu.Lock()
	defer c.mu.Unlock()
	roster.Retain(c.cfg.Roster, c.engines)
}

// forget takes a VM's requests out of the sums. The caller holds the lock.
func (c *Coordinator) forget(vm fleet.VMID) {
	for u, n := range c.vms[vm].inFlight {
		if c.total[u] -= n; c.total[u] <= 0 {
			delete(c.total, u)
		}
	}
	delete(c.vms, vm)
}

// others returns the requests of all VMs but one.
func (c *Coordinator) others(vm fleet.VMID) []Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.vms[vm].inFlight
	out := make([]Traffic, 0, len(c.total))
	for u, n := range c.total {
		if n -= own[u]; n > 0 {
			out = append(out, Traffic{Upstream: u, InFlight: n})
		}
	}
	return out
}

// load returns the requests of all VMs at an upstream.
func (c *Coordinator) load(u fleet.UpstreamID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total[u]
}
