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
	checkEvery = 250 * time.Millisecond
	// unloadWait bounds the wait for the runs of a model that makes room.
	unloadWait = 12 * time.Second
	// loadPatience is how many times the expected time a load may take: loads
	// take longer while many run.
	loadPatience = 4
)

// carry carries a move out.
func (c *Coordinator) carry(ctx context.Context, e *engine, spec *catalogue.Engine, mv move) {
	end := c.count(mv)
	defer end()
	err := c.unloadModel(ctx, e, mv.evict)
	if err == nil {
		err = c.loadModel(ctx, e, spec, mv.model)
	}
	e.with(func(a *account) { a.moving, a.ordering, a.coming = false, false, "" })
	if err != nil {
		c.cfg.Events.Record(event.MoveFailed, timeline.Fields{"engine": string(e.u.ID), "reason": err.Error()})
	}
}

// count counts a load from the weight store, and returns what ends it. A load that
// ends in a later term was forgotten with its own.
func (c *Coordinator) count(mv move) (end func()) {
	if !mv.fromStore {
		return func() {}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	term := c.term
	c.loading++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.term == term {
			c.loading--
		}
	}
}

// unloadModel makes room by unloading a model, "" for none, and waits until it
// is gone.
func (c *Coordinator) unloadModel(ctx context.Context, e *engine, m fleet.ModelID) error {
	if m == "" {
		return nil
	}
	gone := func(a *account) bool { return a.models[m] == nil }
	c.drain(ctx, e, m)
	return c.until(ctx, e, gone, unloadWait, func() error {
		return c.orderModel(ctx, e, Order{Unload: true, Model: m}, (*account).giveUp, nil)
	})
}

// Times of draining a model before it is unloaded.
const (
	// drainQuiet is how long no VM must have told of a request for the model:
	// more than two of their messages.
	drainQuiet = 450 * time.Millisecond
	// drainMost bounds the drain; the runs that are left are waited for by the
	// engine, which takes no other order meanwhile.
	drainMost = 4 * time.Second
)

// drain makes VMs send no more requests for a model and waits for those that
// run.
func (c *Coordinator) drain(ctx context.Context, e *engine, m fleet.ModelID) {
	c.change(e, func(a *account) { a.giveUp(Order{Model: m}) })
	end := time.Now().Add(drainMost)
	for time.Now().Before(end) && ctx.Err() == nil {
		loop.Sleep(ctx, checkEvery)
		quiet := false
		e.with(func(a *account) {
			h := a.models[m]
			quiet = h == nil || time.Since(h.used) > drainQuiet
		})
		if quiet {
			return
		}
	}
}

// giveUp marks a model that VMs are to send no more requests for.
func (a *account) giveUp(o Order) {
	if h := a.models[o.Model]; h != nil {
		h.unloading, h.ordered = true, time.Now()
	}
}

// expect reserves the memory of a model that is being loaded.
func (a *account) expect(o Order) {
	a.models[o.Model] = &held{adapters: make(map[fleet.AdapterID]*heldAdapter), loading: true, ordered: time.Now()}
}

// loadModel loads a model and waits until a report shows it.
func (c *Coordinator) loadModel(ctx context.Context, e *engine, spec *catalogue.Engine, m fleet.ModelID) error {
	var d time.Duration
	fits := func(a *account) error {
		d, _ = loadTime(a.copies, spec.Models[m])
		if !a.fits(spec, Order{Model: m}) {
			return fmt.Errorf("engine %q has no room for model %q", e.u.ID, m)
		}
		return nil
	}
	here := func(a *account) bool { return a.models[m] != nil && !a.models[m].loading }
	return c.until(ctx, e, here, loadPatience*spec.Models[m].Load, func() error {
		if err := c.orderModel(ctx, e, Order{Model: m}, (*account).expect, fits); err != nil {
			return err
		}
		loop.Sleep(ctx, d)
		return nil
	})
}

// until gives an order until a report shows that it was carried out. An order
// whose answer was lost is given again once a report shows that it was not
// accepted; should the first one still come, the number of orders that it names
// no longer fits.
func (c *Coordinator) until(ctx context.Context, e *engine, done func(*account) bool, most time.Duration, give func() error) error {
	end := time.Now().Add(most)
	for {
		var over bool
		e.with(func(a *account) { over = done(a) })
		if over {
			return nil
		}
		err := give()
		var lost *lostError
		if err != nil && !errors.As(err, &lost) {
			return err
		}
		var accepted bool
		err = c.await(ctx, e, time.Until(end), func(a *account) bool {
			accepted = done(a)
			return accepted || a.doubt.IsZero() && !a.busy && lost != nil
		})
		if err != nil || accepted {
			return err
		}
	}
}

// lostError tells that an order had no answer: it may be carried out, also
// later.
type lostError struct{ err error }

// Error returns the reason.
func (e *lostError) Error() string { return "the order has no answer: " + e.err.Error() }

// orderModel gives an order of a model, after a check of the account. Mark is
// applied once the order was accepted, and after an unload without an answer; a
// load without one is kept among the lost orders.
func (c *Coordinator) orderModel(ctx context.Context, e *engine, o Order, mark func(*account, Order), check func(*account) error) error {
	if err := e.take(ctx); err != nil {
		return err
	}
	defer e.give()
	if err := c.settle(ctx, e); err != nil {
		return err
	}
	var failed error
	e.with(func(a *account) {
		if check != nil {
			failed = check(a)
		}
	})
	if failed != nil {
		return failed
	}
	v, err := c.order(ctx, e, o)
	if unsent(err) {
		return err
	}
	e.with(func(a *account) { a.ordering = err != nil || v == Accepted })
	if err == nil && v != Accepted && v != AlreadyApplied {
		return fmt.Errorf("engine %q does not %s: %s", e.u.ID, o, v)
	}
	if err == nil || o.Unload {
		c.change(e, func(a *account) { mark(a, o) })
	}
	if err != nil {
		return &lostError{err}
	}
	return nil
}

// errGone tells that an engine has left meanwhile.
var errGone = errors.New("the engine has left")

// await asks for reports until done, for at most a time.
func (c *Coordinator) await(ctx context.Context, e *engine, most time.Duration, done func(a *account) bool) error {
	end := time.Now().Add(most)
	for {
		var over bool
		e.with(func(a *account) {
			if over = done(a); over {
				a.ordering = false
			}
		})
		switch {
		case over:
			return nil
		case ctx.Err() != nil || !e.u.Usable():
			return errGone
		case time.Now().After(end):
			return fmt.Errorf("engine %q has not carried out an order within %s", e.u.ID, most)
		}
		loop.Sleep(ctx, checkEvery)
		err := c.look(ctx, e)
		if errors.Is(err, errReborn) {
			return err
		}
		if err != nil && !errors.Is(err, errTurnedAway) {
			c.cfg.Events.Record(event.MoveFailed, timeline.Fields{"engine": string(e.u.ID), "reason": err.Error()})
		}
	}
}

// look asks for a report in turn.
func (c *Coordinator) look(ctx context.Context, e *engine) error {
	if err := e.take(ctx); err != nil {
		return err
	}
	defer e.give()
	return c.refresh(ctx, e)
}
