package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"toucanfall/catalogue"
	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
	"toucanfall/timeline"
)

const (
	// pollInterval is the interval between requests for a report while a model order is in
	// progress.
	pollInterval = 250 * time.Millisecond
	// unloadTimeout bounds the unload of a model, which waits for the requests that use it.
	unloadTimeout = 12 * time.Second
	// loadTimeoutFactor times the load time from the weight store is how long a load may
	// take: loads are slower while many run.
	loadTimeoutFactor = 4
)

// runMove unloads the model that a move evicts, if there is one, and loads the new one. A
// failure is logged.
func (c *Coordinator) runMove(ctx context.Context, e *engine, spec *catalogue.Engine, mv move) {
	loadDone := c.countLoad(mv)
	defer loadDone()
	err := c.unloadModel(ctx, e, mv.evict)
	if err == nil {
		err = c.loadModel(ctx, e, spec, mv.model)
	}
	e.withState(func(st *engineState) { st.moving, st.ordering, st.incoming = false, false, "" })
	if err != nil {
		c.cfg.Events.Record(event.MoveFailed, timeline.Fields{"engine": string(e.u.ID), "reason": err.Error()})
	}
}

// countLoad adds a load from the weight store to loadsRunning, and returns the function
// that subtracts it. That function does nothing in a later term, as reset has set the count
// to 0.
func (c *Coordinator) countLoad(mv move) (done func()) {
	if !mv.fromStore {
		return func() {}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	term := c.term
	c.loadsRunning++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.term == term {
			c.loadsRunning--
		}
	}
}

// unloadModel drains and unloads a model, and waits until a report no longer shows it. It
// does nothing for "".
func (c *Coordinator) unloadModel(ctx context.Context, e *engine, m fleet.ModelID) error {
	if m == "" {
		return nil
	}
	unloaded := func(st *engineState) bool { return st.models[m] == nil }
	c.drain(ctx, e, m)
	return c.orderUntil(ctx, e, unloaded, unloadTimeout, func() error {
		return c.orderModel(ctx, e, Order{Unload: true, Model: m}, (*engineState).markUnloading, nil)
	})
}

const (
	// drainIdle is for how long VMs must have reported no request for a model before it
	// counts as drained: more than two message intervals.
	drainIdle = 450 * time.Millisecond
	// maxDrain bounds the drain. The engine waits for the requests that are left, and
	// accepts no other order meanwhile.
	maxDrain = 4 * time.Second
)

// drain makes VMs send no more requests for a model, and waits until those in flight have
// finished.
func (c *Coordinator) drain(ctx context.Context, e *engine, m fleet.ModelID) {
	c.updateState(e, func(st *engineState) { st.markUnloading(Order{Model: m}) })
	deadline := time.Now().Add(maxDrain)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		loop.Sleep(ctx, pollInterval)
		idle := false
		e.withState(func(st *engineState) {
			h := st.models[m]
			idle = h == nil || time.Since(h.lastUsed) > drainIdle
		})
		if idle {
			return
		}
	}
}

// markUnloading marks a model as unloading, so that VMs send no more requests for it.
func (st *engineState) markUnloading(o Order) {
	if h := st.models[o.Model]; h != nil {
		h.unloading, h.orderedAt = true, time.Now()
	}
}

// markLoading adds a model that is being loaded, which reserves its memory.
func (st *engineState) markLoading(o Order) {
	st.models[o.Model] = &heldModel{adapters: make(map[fleet.AdapterID]*heldAdapter), loading: true, orderedAt: time.Now()}
}

// loadModel loads a model and waits until a report shows it. It fails if there is not
// enough free memory.
func (c *Coordinator) loadModel(ctx context.Context, e *engine, spec *catalogue.Engine, m fleet.ModelID) error {
	var d time.Duration
	fits := func(st *engineState) error {
		d, _ = loadTime(st.copies, spec.Models[m])
		if !st.fits(spec, Order{Model: m}) {
			return fmt.Errorf("engine %q has not enough free memory for model %q", e.u.ID, m)
		}
		return nil
	}
	loaded := func(st *engineState) bool { return st.models[m] != nil && !st.models[m].loading }
	return c.orderUntil(ctx, e, loaded, loadTimeoutFactor*spec.Models[m].Load, func() error {
		if err := c.orderModel(ctx, e, Order{Model: m}, (*engineState).markLoading, fits); err != nil {
			return err
		}
		loop.Sleep(ctx, d)
		return nil
	})
}

// orderUntil gives an order and waits until done reports that it was carried out. If the
// answer is lost, the order is given again once a report shows that it was not accepted.
// Should the engine still receive the first one, its Seq no longer matches.
func (c *Coordinator) orderUntil(ctx context.Context, e *engine, done func(*engineState) bool, timeout time.Duration, giveOrder func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		var finished bool
		e.withState(func(st *engineState) { finished = done(st) })
		if finished {
			return nil
		}
		err := giveOrder()
		var noAnswer *noAnswerError
		if err != nil && !errors.As(err, &noAnswer) {
			return err
		}
		var applied bool
		err = c.awaitReport(ctx, e, time.Until(deadline), func(st *engineState) bool {
			applied = done(st)
			return applied || st.suspectSince.IsZero() && !st.busy && noAnswer != nil
		})
		if err != nil || applied {
			return err
		}
	}
}

// noAnswerError means that an order had no answer. It may still be carried out.
type noAnswerError struct{ err error }

// Error returns the message with the reason.
func (e *noAnswerError) Error() string { return "the order has no answer: " + e.err.Error() }

// orderModel sends a model order, unless check fails on the state. It calls mark once the
// engine answers Accepted or AlreadyApplied, and also after an unload without an answer. A
// load without an answer
// is kept in unansweredLoads. It returns a *noAnswerError if the order had no answer.
func (c *Coordinator) orderModel(ctx context.Context, e *engine, o Order, mark func(*engineState, Order), check func(*engineState) error) error {
	if err := e.acquire(ctx); err != nil {
		return err
	}
	defer e.release()
	if err := c.ensureCurrent(ctx, e); err != nil {
		return err
	}
	var failed error
	e.withState(func(st *engineState) {
		if check != nil {
			failed = check(st)
		}
	})
	if failed != nil {
		return failed
	}
	v, err := c.order(ctx, e, o)
	if notSent(err) {
		return err
	}
	e.withState(func(st *engineState) { st.ordering = err != nil || v == Accepted })
	if err == nil && v != Accepted && v != AlreadyApplied {
		return fmt.Errorf("engine %q did not accept the order to %s: %s", e.u.ID, o, v)
	}
	if err == nil || o.Unload {
		c.updateState(e, func(st *engineState) { mark(st, o) })
	}
	if err != nil {
		return &noAnswerError{err}
	}
	return nil
}

// errRemoved means that an engine may get no more requests, or that the context has ended.
var errRemoved = errors.New("the engine was removed")

// awaitReport requests reports at intervals until done returns true for the state. It fails
// after timeout, if ctx ends, or if the engine is removed or restarted.
func (c *Coordinator) awaitReport(ctx context.Context, e *engine, timeout time.Duration, done func(st *engineState) bool) error {
	deadline := time.Now().Add(timeout)
	for {
		var finished bool
		e.withState(func(st *engineState) {
			if finished = done(st); finished {
				st.ordering = false
			}
		})
		switch {
		case finished:
			return nil
		case ctx.Err() != nil || !e.u.Usable():
			return errRemoved
		case time.Now().After(deadline):
			return fmt.Errorf("engine %q did not carry out an order within %s", e.u.ID, timeout)
		}
		loop.Sleep(ctx, pollInterval)
		err := c.poll(ctx, e)
		if errors.Is(err, errRestarted) {
			return err
		}
		if err != nil && !errors.Is(err, errRejected) {
			c.cfg.Events.Record(event.MoveFailed, timeline.Fields{"engine": string(e.u.ID), "reason": err.Error()})
		}
	}
}

// poll acquires orderSem and requests a report.
func (c *Coordinator) poll(ctx context.Context, e *engine) error {
	if err := e.acquire(ctx); err != nil {
		return err
	}
	defer e.release()
	return c.refresh(ctx, e)
}
