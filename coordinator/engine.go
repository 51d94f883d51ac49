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
)

// Engines speaks to engines.
type Engines interface {
	Report(ctx context.Context, p *courier.Pool) (Report, error)
	Order(ctx context.Context, p *courier.Pool, id fleet.UpstreamID, o Order) (Verdict, error)
}

// engine is an upstream with the coordinator's account of it. Orders to one
// engine go one after another, under its lock.
type engine struct {
	u *roster.Upstream

	mu  sync.Mutex
	acc *account
}

// errNotKnown tells that an engine's state is not known for certain.
var errNotKnown = errors.New("the state of the engine is not known yet")

// settle makes the account certain, by a report where it is not. The caller
// holds the lock.
func (c *Coordinator) settle(ctx context.Context, e *engine) error {
	if e.acc.known && e.acc.doubt.IsZero() {
		return nil
	}
	if time.Since(e.acc.doubt) < reportAge {
		return errNotKnown
	}
	return c.refresh(ctx, e)
}

// refresh asks for a report and takes it over. The caller holds the lock.
func (c *Coordinator) refresh(ctx context.Context, e *engine) error {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := c.cfg.Engines.Report(ctx, c.cfg.Pool(e.u))
	if err != nil {
		return fmt.Errorf("report of engine %q: %w", e.u.ID, err)
	}
	if born := e.u.Born(); r.Born != 0 && born != 0 && r.Born != born {
		return fmt.Errorf("the engine at the address of %q was started at another time", e.u.ID)
	}
	e.acc.apply(r, asked)
	if r.Busy {
		e.acc.busyUntil = asked.Add(reportAge)
	}
	c.touch()
	return nil
}

// order gives an order under the coordinator's fencing token. The caller holds
// the lock and has settled the account. On an error the account is in doubt.
func (c *Coordinator) order(ctx context.Context, e *engine, o Order) (Verdict, error) {
	fence, ok := c.cfg.Duty()
	if !ok {
		return Refused, ErrNoDuty
	}
	o.Seq, o.Holder, o.Fence = e.acc.seq, c.cfg.VM, fence
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	v, err := c.cfg.Engines.Order(ctx, c.cfg.Pool(e.u), e.u.ID, o)
	c.cfg.Events.Record(event.EngineOrdered, timeline.Fields{
		"engine": string(e.u.ID), "order": o.String(), "verdict": v.String(), "error": fmt.Sprint(err),
		"seq": fmt.Sprint(o.Seq), "fence": fmt.Sprint(fence),
	})
	switch {
	case err != nil, v == Busy:
		e.acc.doubt = time.Now()
	case v == Fenced:
		e.acc.doubt = time.Now()
		c.cfg.Fenced(fence)
	case v == Accepted, v == AlreadySo && o.Unload:
		e.acc.seq++
	}
	return v, err
}

// loadAdapter brings an adapter to an engine and returns how long that takes.
// The caller holds the lock.
func (c *Coordinator) loadAdapter(ctx context.Context, e *engine, spec *catalogue.Engine, a roster.Adapter) (time.Duration, error) {
	now := time.Now()
	m, ok := e.acc.models[a.Model]
	if !ok || m.loading || m.unloading {
		return 0, fmt.Errorf("engine %q does not hold model %q", e.u.ID, a.Model)
	}
	if have, ok := m.adapters[a.Adapter]; ok && !have.unloading {
		have.used = now
		return max(have.ready.Sub(now), 0), nil
	}
	if err := c.makeRoom(ctx, e, spec, a.Model); err != nil {
		return 0, err
	}
	v, err := c.order(ctx, e, Order{Model: a.Model, Adapter: a.Adapter})
	if err != nil || v == Accepted || v == AlreadySo {
		// Reserved also where the answer was lost.
		m.adapters[a.Adapter] = &heldAdapter{ordered: now, ready: now.Add(adapterTime), used: now}
		c.touch()
	}
	if err != nil {
		return 0, err
	}
	switch v {
	case Accepted:
		return adapterTime, nil
	case AlreadySo:
		return 0, nil
	}
	return 0, fmt.Errorf("engine %q did not take the order: %s", e.u.ID, v)
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
	adapterRest = 500 * time.Millisecond
)

// makeRoom unloads the adapter that was used longest ago if the engine has no
// free place.
func (c *Coordinator) makeRoom(ctx context.Context, e *engine, spec *catalogue.Engine, model fleet.ModelID) error {
	now := time.Now()
	if e.acc.inTransit(now) >= maxInTransit {
		return fmt.Errorf("engine %q has %d adapters on their way", e.u.ID, maxInTransit)
	}
	size := spec.Models[model].AdapterMB
	for e.acc.adapters() >= spec.AdapterSlots || e.acc.memory(spec)+size > spec.WeightsMB {
		victim, ok := e.acc.oldestAdapter(now.Add(-adapterRest))
		if !ok {
			return fmt.Errorf("engine %q has no place for an adapter", e.u.ID)
		}
		v, err := c.order(ctx, e, Order{Unload: true, Model: victim.Model, Adapter: victim.Adapter})
		c.touch()
		if err == nil && v == AlreadySo {
			e.acc.drop(victim, now)
			continue
		}
		// The place is free only once a report shows it.
		e.acc.models[victim.Model].adapters[victim.Adapter].unloading = true
		e.acc.doubt = time.Now()
		return fmt.Errorf("engine %q is still giving up adapter %q: %s", e.u.ID, victim.Adapter, v)
	}
	return nil
}
