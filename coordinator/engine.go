package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/roster"
	"toucanfall/timeline"
	"toucanfall/transport"
)

const (
	// orderTimeout and reportTimeout bound a call, with the connection it may need.
	orderTimeout  = 400 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	// maxReportAge is the greatest age of a report: an order that it does not show may
	// still have been accepted within this time before the report was requested.
	maxReportAge = 300 * time.Millisecond
	// reportLifetime is how long a report is trusted while this coordinator gives no order.
	// Orders of an earlier coordinator, or late execution by the engine, change an engine
	// without its knowledge. A shorter lifetime costs more requests: reports cost as much
	// as health checks.
	reportLifetime = 6 * time.Second
)

// Engines sends requests to engines.
type Engines interface {
	// Report returns an engine's state. The error wraps transport.ErrNotSent if the request
	// was not sent.
	Report(ctx context.Context, p *transport.Pool) (Report, error)
	// Order sends an order. It calls check right before it writes the order; if check fails
	// nothing is sent and the error wraps transport.ErrWithheld.
	Order(ctx context.Context, p *transport.Pool, id fleet.UpstreamID, o Order, check func() error) (Verdict, error)
}

// engine is an upstream with the coordinator's record of its state.
type engine struct {
	u *roster.Upstream
	// orderSem is a semaphore of one: orders and reports of one engine run one after
	// another. Only its holder changes what the state says the engine holds.
	orderSem chan struct{}

	// mu guards state.
	mu    sync.Mutex
	state *engineState

	// sharedFingerprint is the fingerprint of the holdings that VMs have been sent last,
	// and sharedVersion the version at which they changed. Coordinator.mu guards both.
	sharedFingerprint, sharedVersion uint64
}

func newEngine(u *roster.Upstream) *engine {
	return &engine{u: u, orderSem: make(chan struct{}, 1), state: newEngineState()}
}

// acquire waits for orderSem. The caller must release it.
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

// withState calls f with the state under mu.
func (e *engine) withState(f func(st *engineState)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.state)
}

// errStateUnknown means that an order may have been accepted too recently for a report to
// show it.
var errStateUnknown = errors.New("the state of the engine is not known yet")

// errBusy means that an engine is carrying out a model order that this coordinator does not
// know of.
var errBusy = errors.New("the engine is carrying out an order")

// errRejected means that the engine rejects requests from this VM until its Retry-After has
// passed.
var errRejected = errors.New("the engine has turned this VM away for a time")

// notSent reports whether an error means that an order was not sent.
func notSent(err error) bool {
	return errors.Is(err, ErrNotCoordinator) || errors.Is(err, errRejected) || errors.Is(err, errRemoved)
}

// inBackoff reports whether the engine has rejected this VM and its Retry-After has not
// passed yet.
func (e *engine) inBackoff() bool {
	return !e.u.NoticeStatus(time.Now()).WaitUntil.IsZero()
}

// errRestarted means that the engine at an address identifies another start than the roster
// does.
var errRestarted = errors.New("the engine at this address was started at another time")

// stateCurrent reports whether the state can be relied on for an order.
func (e *engine) stateCurrent() (ok bool) {
	e.withState(func(st *engineState) {
		ok = st.known && time.Since(st.reportedAt) < reportLifetime && !st.busy && st.suspectSince.IsZero() && (st.pendingUnloadAt.IsZero() || time.Since(st.pendingUnloadAt) < maxReportAge)
	})
	return ok
}

// ensureCurrent requests a report if the state is not current. The caller holds orderSem.
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
	// A report does not name the model of an order in progress, so its memory is unknown.
	// An order sent now might also lose its answer and be carried out after that one.
	var busy bool
	e.withState(func(st *engineState) { busy = st.busy })
	if busy {
		return errBusy
	}
	return nil
}

// refresh requests a report and applies it. If no connection could be made, or the engine
// was restarted, it marks the upstream unreachable. The caller holds orderSem.
func (c *Coordinator) refresh(ctx context.Context, e *engine) error {
	if e.inBackoff() {
		return errRejected
	}
	requestedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := c.cfg.Engines.Report(ctx, c.cfg.Pool(e.u))
	if errors.Is(err, transport.ErrNotSent) {
		e.u.MarkUnreachable()
	}
	if err != nil {
		return fmt.Errorf("report of engine %q: %w", e.u.ID, err)
	}
	if start := e.u.StartTime(); r.StartTime != 0 && start != 0 && r.StartTime != start {
		e.u.MarkUnreachable()
		return fmt.Errorf("engine %q: %w", e.u.ID, errRestarted)
	}
	c.updateState(e, func(st *engineState) { st.apply(r, requestedAt) })
	return nil
}

// order sends an order with the coordinator's fencing token. After any error but those of
// notSent the order may still be carried out. The caller holds orderSem and has called
// ensureCurrent.
func (c *Coordinator) order(ctx context.Context, e *engine, o Order) (Verdict, error) {
	fence, ok := c.cfg.FencingToken()
	if !ok {
		return Refused, ErrNotCoordinator
	}
	if e.inBackoff() {
		return Refused, errRejected
	}
	e.withState(func(st *engineState) { o.Seq = st.seq })
	o.Holder, o.Fence = c.cfg.VM, fence
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	v, err := c.cfg.Engines.Order(ctx, c.cfg.Pool(e.u), e.u.ID, o, func() error { return c.checkOrder(e, fence) })
	if errors.Is(err, transport.ErrWithheld) && e.u.Evacuated() {
		return Refused, errRemoved
	}
	if errors.Is(err, transport.ErrWithheld) {
		return Refused, ErrNotCoordinator
	}
	c.cfg.Events.Record(event.EngineOrdered, timeline.Fields{
		"engine": string(e.u.ID), "order": o.String(), "verdict": v.String(), "error": fmt.Sprint(err),
		"seq": fmt.Sprint(o.Seq), "fence": fmt.Sprint(fence),
	})
	e.withState(func(st *engineState) { st.recordOrder(o, v, err) })
	if err == nil && v == Fenced {
		c.cfg.OnFenced(fence)
	}
	return v, err
}

// checkOrder returns an error if an order must not be written to an engine any more. An engine in an
// evacuated data centre keeps what it holds, so a move that was decided before ends.
func (c *Coordinator) checkOrder(e *engine, fence int64) error {
	if e.u.Evacuated() {
		return errRemoved
	}
	return c.checkFence(fence)
}

// checkFence returns ErrNotCoordinator if the fencing token of this VM's leadership is not
// fence any more: the leadership may end while a connection to an engine is made.
func (c *Coordinator) checkFence(fence int64) error {
	if now, ok := c.cfg.FencingToken(); !ok || now != fence {
		return ErrNotCoordinator
	}
	return nil
}

// recordOrder applies the answer to an order. An unload that is answered with AlreadyApplied
// counts as accepted, because an engine that unloads an adapter at once answers so.
func (st *engineState) recordOrder(o Order, v Verdict, err error) {
	st.lastOrderAt = time.Now()
	if err != nil && !o.Unload {
		st.unansweredLoads = append(st.unansweredLoads, o)
	}
	switch {
	case err != nil, v == Busy, v == Fenced:
		st.suspectSince = time.Now()
	case v == Accepted, v == AlreadyApplied && o.Unload:
		st.seq++
	}
}

// loadAdapter loads an adapter at an engine unless it is there already, and returns the
// time until it can be used. It unloads other adapters if there is no free slot. The caller
// holds orderSem.
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
	if v != Accepted && v != AlreadyApplied {
		return 0, fmt.Errorf("engine %q did not take the order: %s", e.u.ID, v)
	}
	now := time.Now()
	c.updateState(e, func(st *engineState) {
		st.models[ad.Model].adapters[ad.Adapter] = &heldAdapter{orderedAt: now, readyAt: now.Add(adapterLoadTime), lastUsed: now}
	})
	return adapterLoadTime, nil
}

// useAdapter records the use of an adapter and returns the time until it can be used, if
// the engine has it. It fails if the engine can't load the adapter.
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

const (
	// adapterLoadTime is how long an adapter takes to load: 5 to 10 ms according to the
	// capacity documentation, and the transfer of the order.
	adapterLoadTime = 12 * time.Millisecond
	// maxLoadingAdapters is the number of adapters that an engine loads at a time.
	maxLoadingAdapters = 4
	// adapterMinIdle is how long an adapter must have been idle before it may be unloaded
	// for another one: longer than VMs take to report its use.
	adapterMinIdle = 350 * time.Millisecond
)

// freeSlot unloads the least recently used adapters until the engine has a free slot and
// enough free memory for ad.
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

// unloadAdapter unloads an adapter. It succeeds only if the engine answers AlreadyApplied,
// which means that the slot is free. If the order was sent and had any other outcome, it
// fails, and the slot counts as used until a report shows that it is free.
func (c *Coordinator) unloadAdapter(ctx context.Context, e *engine, victim roster.Adapter) error {
	v, err := c.order(ctx, e, Order{Unload: true, Model: victim.Model, Adapter: victim.Adapter})
	if notSent(err) {
		return err
	}
	if err == nil && v == AlreadyApplied {
		c.updateState(e, func(st *engineState) { st.removeAdapter(victim, time.Now()) })
		return nil
	}
	c.updateState(e, func(st *engineState) {
		st.models[victim.Model].adapters[victim.Adapter].unloading = true
		st.pendingUnloadAt = time.Now()
	})
	return fmt.Errorf("engine %q is still giving up adapter %q: %s", e.u.ID, victim.Adapter, v)
}
