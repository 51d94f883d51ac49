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
	reportAge = 300 * time.Millisecond
	// reportLife is how long a report holds where nothing is ordered: an order of a
	// coordinator before, or one that its engine was slow to carry out, changes an
	// engine without this one's knowledge. Reports are priced like health checks.
	reportLife = 6 * time.Second
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
	turn chan struct{}

	mu  sync.Mutex
	acc *account

	// shown is the fingerprint of what VMs were last told of the engine, changed
	// the version at which that was new. The coordinator's lock guards both.
	shown, changed uint64
}

func newEngine(u *roster.Upstream) *engine {
	return &engine{u: u, turn: make(chan struct{}, 1), acc: newAccount()}
}

// take waits for the turn, which must be given back.
func (e *engine) take(ctx context.Context) error {
	select {
	case e.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("engine %q is busy with other orders: %w", e.u.ID, ctx.Err())
	}
}

func (e *engine) give() {
	<-e.turn
}

// with calls f with the account under its lock.
func (e *engine) with(f func(a *account)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.acc)
}

// errNotKnown tells that an engine's state is not known for certain.
var errNotKnown = errors.New("the state of the engine is not known yet")

// errBusy tells that an engine carries out an order of a model that this
// coordinator does not know.
var errBusy = errors.New("the engine is carrying out an order")

// errTurnedAway tells that an engine wants nothing from this VM now.
var errTurnedAway = errors.New("the engine has turned this VM away for a time")

// unsent reports whether an error tells that an order was not sent.
func unsent(err error) bool {
	return errors.Is(err, ErrNotCoordinator) || errors.Is(err, errTurnedAway)
}

// away reports whether the engine wants nothing from this VM now.
func (e *engine) away() bool {
	return !e.u.NoticeStatus(time.Now()).WaitUntil.IsZero()
}

// errReborn tells that another start of an engine has its address.
var errReborn = errors.New("the engine at this address was started at another time")

// settled reports whether the account is certain.
func (e *engine) settled() (ok bool) {
	e.with(func(a *account) {
		ok = a.known && time.Since(a.reported) < reportLife && !a.busy && a.doubt.IsZero() && (a.giving.IsZero() || time.Since(a.giving) < reportAge)
	})
	return ok
}

// settle makes the account certain, by a report where it is not. The caller has
// the turn.
func (c *Coordinator) settle(ctx context.Context, e *engine) error {
	if e.settled() {
		return nil
	}
	var doubt time.Time
	e.with(func(a *account) { doubt = a.doubt })
	if time.Since(doubt) < reportAge {
		return errNotKnown
	}
	if err := c.refresh(ctx, e); err != nil {
		return err
	}
	// What an order under way needs is not in the report. An order that is given
	// now may be lost, and be carried out once that one is over.
	var busy bool
	e.with(func(a *account) { busy = a.busy })
	if busy {
		return errBusy
	}
	return nil
}

// refresh asks for a report and takes it over. The caller has the turn.
func (c *Coordinator) refresh(ctx context.Context, e *engine) error {
	if e.away() {
		return errTurnedAway
	}
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := c.cfg.Engines.Report(ctx, c.cfg.Pool(e.u))
	if errors.Is(err, courier.ErrNotSent) {
		e.u.MarkUnreachable()
	}
	if err != nil {
		return fmt.Errorf("report of engine %q: %w", e.u.ID, err)
	}
	if born := e.u.StartTime(); r.StartTime != 0 && born != 0 && r.StartTime != born {
		e.u.MarkUnreachable()
		return fmt.Errorf("engine %q: %w", e.u.ID, errReborn)
	}
	c.change(e, func(a *account) { a.apply(r, asked) })
	return nil
}

// order gives an order under the coordinator's fencing token. The caller has the
// turn and has settled the account. On an error the account is in doubt.
func (c *Coordinator) order(ctx context.Context, e *engine, o Order) (Verdict, error) {
	fence, ok := c.cfg.FencingToken()
	if !ok {
		return Refused, ErrNotCoordinator
	}
	if e.away() {
		return Refused, errTurnedAway
	}
	e.with(func(a *account) { o.Seq = a.seq })
	o.Holder, o.Fence = c.cfg.VM, fence
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	v, err := c.cfg.Engines.Order(ctx, c.cfg.Pool(e.u), e.u.ID, o, func() error { return c.holds(fence) })
	if errors.Is(err, courier.ErrWithheld) {
		return Refused, ErrNotCoordinator
	}
	c.cfg.Events.Record(event.EngineOrdered, timeline.Fields{
		"engine": string(e.u.ID), "order": o.String(), "verdict": v.String(), "error": fmt.Sprint(err),
		"seq": fmt.Sprint(o.Seq), "fence": fmt.Sprint(fence),
	})
	e.with(func(a *account) { a.ordered(o, v, err) })
	if err == nil && v == Fenced {
		c.cfg.OnFenced(fence)
	}
	return v, err
}

// holds returns an error if this VM's duty is not the one with a fencing token any more: it may
// end while a connection to an engine is made.
func (c *Coordinator) holds(fence int64) error {
	if now, ok := c.cfg.FencingToken(); !ok || now != fence {
		return ErrNotCoordinator
	}
	return nil
}

// ordered takes over the answer to an order.
func (a *account) ordered(o Order, v Verdict, err error) {
	a.orderedAt = time.Now()
	if err != nil && !o.Unload {
		a.lost = append(a.lost, o)
	}
	switch {
	case err != nil, v == Busy, v == Fenced:
		a.doubt = time.Now()
	case v == Accepted, v == AlreadyApplied && o.Unload:
		a.seq++
	}
}

// loadAdapter brings an adapter to an engine and returns how long that takes.
// The caller has the turn.
func (c *Coordinator) loadAdapter(ctx context.Context, e *engine, spec *catalogue.Engine, ad roster.Adapter) (time.Duration, error) {
	ready, have, err := e.useAdapter(ad)
	if have || err != nil {
		return ready, err
	}
	if err := c.makeRoom(ctx, e, spec, ad); err != nil {
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
	c.change(e, func(a *account) {
		a.models[ad.Model].adapters[ad.Adapter] = &heldAdapter{ordered: now, ready: now.Add(adapterTime), used: now}
	})
	return adapterTime, nil
}

// useAdapter notes the use of an adapter and returns how long it still takes to
// come, if the engine has it. The error tells why the engine cannot get it.
func (e *engine) useAdapter(ad roster.Adapter) (ready time.Duration, have bool, err error) {
	now := time.Now()
	e.with(func(a *account) {
		m := a.models[ad.Model]
		if m == nil || m.loading || m.unloading {
			err = fmt.Errorf("engine %q does not hold model %q", e.u.ID, ad.Model)
			return
		}
		if h := m.adapters[ad.Adapter]; h != nil && !h.unloading {
			have, h.used, ready = true, now, max(h.ready.Sub(now), 0)
		} else if a.ordering {
			err = fmt.Errorf("engine %q is carrying out the order of a model", e.u.ID)
		}
	})
	return ready, have, err
}

// Bounds of adapters.
const (
	// adapterTime is how long an adapter takes to come: 5 to 10 ms by the
	// deployments' sheets, and the way of the order.
	adapterTime = 12 * time.Millisecond
	// maxInTransit is how many adapters an engine takes at a time.
	maxInTransit = 4
	// adapterRest is how long an adapter must not have been used before it
	// makes room: longer than VMs take to tell of a use.
	adapterRest = 350 * time.Millisecond
)

// makeRoom unloads adapters, those that were used longest ago first, until the
// engine has a free place.
func (c *Coordinator) makeRoom(ctx context.Context, e *engine, spec *catalogue.Engine, ad roster.Adapter) error {
	for {
		now := time.Now()
		var victim roster.Adapter
		var free, found bool
		var transit int
		e.with(func(a *account) {
			free, transit = a.hasPlace(spec, ad), a.inTransit(now)
			victim, found = a.oldestAdapter(now.Add(-adapterRest))
		})
		switch {
		case transit >= maxInTransit:
			return fmt.Errorf("engine %q has %d adapters on their way", e.u.ID, maxInTransit)
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
	if unsent(err) {
		return err
	}
	if err == nil && v == AlreadyApplied {
		c.change(e, func(a *account) { a.drop(victim, time.Now()) })
		return nil
	}
	c.change(e, func(a *account) {
		a.models[victim.Model].adapters[victim.Adapter].unloading = true
		a.giving = time.Now()
	})
	return fmt.Errorf("engine %q is still giving up adapter %q: %s", e.u.ID, victim.Adapter, v)
}
