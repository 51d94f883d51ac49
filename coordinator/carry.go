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

// Times of moves.
const (
	// checkEvery is how often a report is asked for while an order of a model
	// is under way.
	pollInterval = 250 * time.Millisecond
	// unloadWait bounds the wait for the runs of a model that makes room.
	unloadTimeout = 12 * time.Second
	// loadPatience is how many times the expected time a load may take: loads
	// take longer while many run.
	loadTimeoutFactor = 4
)

// carry carries a move out.
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

// count counts a load from the weight store, and returns what ends it. A load that
// ends in a later term was forgotten with its own.
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

// unloadModel makes room by unloading a model, "" for none, and waits until it
// is gone.
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

// Times of draining a model before it is unloaded.
const (
	// drainQuiet is how long no VM must have told of a request for the model:
	// more than two of their messages.
	drainIdle = 450 * time.Millisecond
	// drainMost bounds the drain; the runs that are left are waited for by the
	// engine, which takes no other order meanwhile.
	maxDrain = 4 * time.Second
)

// drain makes VMs send no more requests for a model and waits for those that
// run.
func (c *Coordinator) drain(ctx context.Context, e *engine, m fleet.ModelID) {
	c.updateState(e, func(st *engineState) { st.markUnloading(Order{Model: m}) })
	deadline := time.Now().Add(maxDrain)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		loop.Pause(ctx, pollInterval)
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

// giveUp marks a model that VMs are to send no more requests for.
func (st *engineState) markUnloading(o Order) {
	if h := st.models[o.Model]; h != nil {
		h.unloading, h.orderedAt = true, time.Now()
	}
}

// expect reserves the memory of a model that is being loaded.
func (st *engineState) markLoading(o Order) {
	st.models[o.Model] = &heldModel{adapters: make(map[fleet.AdapterID]*heldAdapter), loading: true, orderedAt: time.Now()}
}

// loadModel loads a model and waits until a report shows it.
func (c *Coordinator) loadModel(ctx context.Context, e *engine, spec *catalogue.Engine, m fleet.ModelID) error {
	var d time.Duration
	fits := func(st *engineState) error {
		d, _ = loadTime(st.copies, spec.Models[m])
		if !st.fits(spec, Order{Model: m}) {
			return fmt.Errorf("engine %q has no room for model %q", e.u.ID, m)
		}
		return nil
	}
	loaded := func(st *engineState) bool { return st.models[m] != nil && !st.models[m].loading }
	return c.orderUntil(ctx, e, loaded, loadTimeoutFactor*spec.Models[m].Load, func() error {
		if err := c.orderModel(ctx, e, Order{Model: m}, (*engineState).markLoading, fits); err != nil {
			return err
		}
		loop.Pause(ctx, d)
		return nil
	})
}

// until gives an order until a report shows that it was carried out. An order
// whose answer was lost is given again once a report shows that it was not
// accepted; should the first one still come, the number of orders that it names
// no longer fits.
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

// lostError tells that an order had no answer: it may be carried out, also
// later.
type noAnswerError struct{ err error }

// Error returns the reason.
func (e *noAnswerError) Error() string { return "the order has no answer: " + e.err.Error() }

// orderModel gives an order of a model, after a check of the account. Mark is
// applied once the order was accepted, and after an unload without an answer; a
// load without one is kept among the lost orders.
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
	if err == nil && v != Accepted && v != AlreadySo {
		return fmt.Errorf("engine %q does not %s: %s", e.u.ID, o, v)
	}
	if err == nil || o.Unload {
		c.updateState(e, func(st *engineState) { mark(st, o) })
	}
	if err != nil {
		return &noAnswerError{err}
	}
	return nil
}

// errGone tells that an engine has left meanwhile.
var errRemoved = errors.New("the engine has left")

// await asks for reports until done, for at most a time.
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
			return fmt.Errorf("engine %q has not carried out an order within %s", e.u.ID, timeout)
		}
		loop.Pause(ctx, pollInterval)
		err := c.poll(ctx, e)
		if errors.Is(err, errRestarted) {
			return err
		}
		if err != nil && !errors.Is(err, errRejected) {
			c.cfg.Events.Record(event.MoveFailed, timeline.Fields{"engine": string(e.u.ID), "reason": err.Error()})
		}
	}
}

// look asks for a report in turn.
func (c *Coordinator) poll(ctx context.Context, e *engine) error {
	if err := e.acquire(ctx); err != nil {
		return err
	}
	defer e.release()
	return c.refresh(ctx, e)
}
