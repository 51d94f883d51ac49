package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/courier"
	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// Times of orders.
const (
	orderTimeout  = 400 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	// reportAge is how old a report may be: an order that it does not show may
	// still have been accepted that long before it was asked for.
	maxReportAge = 300 * time.Millisecond
	// reportLife is how long a report holds where nothing is ordered: an order of a
	// coordinator before, or one that its engine was slow to carry out, changes an
	// engine without this one's knowledge. Reports are priced like health checks.
	reportLifetime = 6 * time.Second
)

// Engines speaks to engines.
type Engines interface {
	Report(ctx context.Context, p *courier.Pool) (Report, error)
	// Order gives an order, unless check fails right before it is written: the error is
	// courier.ErrWithheld then.
	Order(ctx context.Context, p *courier.Pool, id fleet.UpstreamID, o Order, check func() error) (Verdict, error)
}

// engine is an upstream with the coordinator's account of it.
type engine struct {
	u *roster.Upstream
	// turn holds a token while somebody speaks to the engine: orders to one
	// engine go one after another. Only who has the turn changes what the
	// account holds.
	orderSem chan struct{}

	mu    sync.Mutex
	state *engineState

	// shown is the fingerprint of what VMs were last told of the engine, changed
	// the version at which that was new. The coordinator's lock guards both.
	sharedFingerprint, sharedVersion uint64
}

func newEngine(u *roster.Upstream) *engine {
	return &engine{u: u, orderSem: make(chan struct{}, 1), state: newEngineState()}
}

// take waits for the turn, which must be given back.
func (e *engine) acquire(ctx context.Context) error {
	select {
	case e.orderSem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("engine %q is busy with other orders: %w", e.u.ID, ctx.Err())
	}
}

func (e *engine) release() {
	<-e.orderSem
}

// with calls f with the account under its lock.
func (e *engine) withState(f func(st *engineState)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.state)
}

// errNotKnown tells that an engine's state is not known for certain.
var errStateUnknown = errors.New("the state of the engine is not known yet")

// errBusy tells that an engine carries out an order of a model that this
// coordinator does not know.
var errBusy = errors.New("the engine is carrying out an order")

// errTurnedAway tells that an engine wants nothing from this VM now.
var errRejected = errors.New("the engine has turned this VM away for a time")

// unsent reports whether an error tells that an order was not sent.
func notSent(err error) bool {
	return errors.Is(err, ErrNoDuty) || errors.Is(err, errRejected)
}

// away reports whether the engine wants nothing from this VM now.
func (e *engine) inBackoff() bool {
	return !e.u.Standing(time.Now()).Until.IsZero()
}

// errReborn tells that another start of an engine has its address.
var errRestarted = errors.New("the engine at this address was started at another time")

// settled reports whether the account is certain.
func (e *engine) stateCurrent() (ok bool) {
	e.withState(func(st *engineState) {
		ok = st.known && time.Since(st.reportedAt) < reportLifetime && !st.busy && st.suspectSince.IsZero() && (st.pendingUnloadAt.IsZero() || time.Since(st.pendingUnloadAt) < maxReportAge)
	})
	return ok
}

// settle makes the account certain, by a report where it is not. The caller has
// the turn.
func (c *Coordinator) ensureCurrent(ctx context.Context, e *engine) error {
	if e.stateCurrent() {
		return nil
	}
	var suspectSince time.Time
	e.withState(func(st *engineState) { suspectSince = st.suspectSince })
	if time.Since(suspectSince) < maxReportAge {
		return errStateUnknown
	}
	if err := c.refresh(ctx, e); err != nil {
		return err
	}
	// What an order under way needs is not in the report. An order that is given
	// now may be lost, and be carried out once that one is over.
	var busy bool
	e.withState(func(st *engineState) { busy = st.busy })
	if busy {
		return errBusy
	}
	return nil
}

// refresh asks for a report and takes it over. The caller has the turn.
func (c *Coordinator) refresh(ctx context.Context, e *engine) error {
	if e.inBackoff() {
		return errRejected
	}
	requestedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := c.cfg.Engines.Report(ctx, c.cfg.Pool(e.u))
	if errors.Is(err, courier.ErrNotSent) {
		e.u.Unreachable()
	}
	if err != nil {
		return fmt.Errorf("report of engine %q: %w", e.u.ID, err)
	}
	if start := e.u.Born(); r.Born != 0 && start != 0 && r.Born != start {
		e.u.Unreachable()
		return fmt.Errorf("engine %q: %w", e.u.ID, errRestarted)
	}
	c.updateState(e, func(st *engineState) { st.apply(r, requestedAt) })
	return nil
}

// order gives an order under the coordinator's fencing token. The caller has the
// turn and has settled the account. On an error the account is in doubt.
func (c *Coordinator) order(ctx context.Context, e *engine, o Order) (Verdict, error) {
	fence, ok := c.cfg.Duty()
	if !ok {
		return Refused, ErrNoDuty
	}
	if e.inBackoff() {
		return Refused, errRejected
	}
	e.withState(func(st *engineState) { o.Seq = st.seq })
	o.Holder, o.Fence = c.cfg.VM, fence
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	v, err := c.cfg.Engines.Order(ctx, c.cfg.Pool(e.u), e.u.ID, o, func() error { return c.checkFence(fence) })
	if errors.Is(err, courier.ErrWithheld) {
		return Refused, ErrNoDuty
	}
	c.cfg.Events.Record(event.EngineOrdered, timeline.Fields{
		"engine": string(e.u.ID), "order": o.String(), "verdict": v.String(), "error": fmt.Sprint(err),
		"seq": fmt.Sprint(o.Seq), "fence": fmt.Sprint(fence),
	})
	e.withState(func(st *engineState) { st.recordOrder(o, v, err) })
	if err == nil && v == Fenced {
		c.cfg.Fenced(fence)
	}
	return v, err
}

// holds returns an error if this VM's duty is not the one with a fencing token any more: it may
// end while a connection to an engine is made.
func (c *Coordinator) checkFence(fence int64) error {
	if now, ok := c.cfg.Duty(); !ok || now != fence {
		return ErrNoDuty
	}
	return nil
}

// ordered takes over the answer to an order.
func (st *engineState) recordOrder(o Order, v Verdict, err error) {
	st.lastOrderAt = time.Now()
	if err != nil && !o.Unload {
		st.unansweredLoads = append(st.unansweredLoads, o)
	}
	switch {
	case err != nil, v == Busy, v == Fenced:
		st.suspectSince = time.Now()
	case v == Accepted, v == AlreadySo && o.Unload:
		st.seq++
	}
}

// loadAdapter brings an adapter to an engine and returns how long that takes.
// The caller has the turn.
func (c *Coordinator) loadAdapter(ctx context.Context, e *engine, spec *catalogue.Engine, ad roster.Adapter) (time.Duration, error) {
	ready, have, err := e.useAdapter(ad)
	if have || err != nil {
		return ready, err
	}
	if err := c.freeSlot(ctx, e, spec, ad); err != nil {
		return 0, err
	}
	v, err := c.order(ctx, e, Order{Model: ad.Model, Adapter: ad.Adapter})
	if err != nil {
		return 0, err
	}
	if v != Accepted && v != AlreadySo {
		return 0, fmt.Errorf("engine %q did not take the order: %s", e.u.ID, v)
	}
	now := time.Now()
	c.updateState(e, func(st *engineState) {
		st.models[ad.Model].adapters[ad.Adapter] = &heldAdapter{orderedAt: now, readyAt: now.Add(adapterLoadTime), lastUsed: now}
	})
	return adapterLoadTime, nil
}

// useAdapter notes the use of an adapter and returns how long it still takes to
// come, if the engine has it. The error tells why the engine cannot get it.
func (e *engine) useAdapter(ad roster.Adapter) (remaining time.Duration, have bool, err error) {
	now := time.Now()
	e.withState(func(st *engineState) {
		m := st.models[ad.Model]
		if m == nil || m.loading || m.unloading {
			err = fmt.Errorf("engine %q does not hold model %q", e.u.ID, ad.Model)
			return
		}
		if h := m.adapters[ad.Adapter]; h != nil && !h.unloading {
			have, h.lastUsed, remaining = true, now, max(h.readyAt.Sub(now), 0)
		} else if st.ordering {
			err = fmt.Errorf("engine %q is carrying out the order of a model", e.u.ID)
		}
	})
	return remaining, have, err
}

// Bounds of adapters.
const (
	// adapterTime is how long an adapter takes to come: 5 to 10 ms by the
	// deployments' sheets, and the way of the order.
	adapterLoadTime = 12 * time.Millisecond
	// maxInTransit is how many adapters an engine takes at a time.
	maxLoadingAdapters = 4
	// adapterRest is how long an adapter must not have been used before it
	// makes room: longer than VMs take to tell of a use.
	adapterMinIdle = 350 * time.Millisecond
)

// makeRoom unloads adapters, those that were used longest ago first, until the
// engine has a free place.
func (c *Coordinator) freeSlot(ctx context.Context, e *engine, spec *catalogue.Engine, ad roster.Adapter) error {
	for {
		now := time.Now()
		var victim roster.Adapter
		var free, found bool
		var loading int
		e.withState(func(st *engineState) {
			free, loading = st.hasSlot(spec, ad), st.loadingAdapters(now)
			victim, found = st.lruAdapter(now.Add(-adapterMinIdle))
		})
		switch {
		case loading >= maxLoadingAdapters:
			return fmt.Errorf("engine %q has %d adapters on their way", e.u.ID, maxLoadingAdapters)
		case free:
			return nil
		case !found:
			return fmt.Errorf("engine %q has no place for an adapter", e.u.ID)
		}
		if err := c.unloadAdapter(ctx, e, victim); err != nil {
			return err
		}
	}
}

// unloadAdapter unloads an adapter. It fails if the place is not free at once:
// it is free only when a report shows it.
func (c *Coordinator) unloadAdapter(ctx context.Context, e *engine, victim roster.Adapter) error {
	v, err := c.order(ctx, e, Order{Unload: true, Model: victim.Model, Adapter: victim.Adapter})
	if notSent(err) {
		return err
	}
	if err == nil && v == AlreadySo {
		c.updateState(e, func(st *engineState) { st.removeAdapter(victim, time.Now()) })
		return nil
	}
	c.updateState(e, func(st *engineState) {
		st.models[victim.Model].adapters[victim.Adapter].unloading = true
		st.pendingUnloadAt = time.Now()
	})
	return fmt.Errorf("engine %q is still giving up adapter %q: %s", e.u.ID, victim.Adapter, v)
}
