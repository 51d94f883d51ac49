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

// Times of placement.
const (
	// planEvery is how often the placement of models is planned.
	planEvery = 250 * time.Millisecond
	// checkEvery is how often a report is asked for while an order of a model
	// is under way.
	checkEvery = 250 * time.Millisecond
	// unloadWait bounds the wait for the runs of a model that makes room.
	unloadWait = 12 * time.Second
	// loadPatience is how many times the expected time a load may take: loads
	// take longer while many run.
	loadPatience = 4
)

// Run plans the placement of models while this VM has the duty, until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	loop.Every(ctx, planEvery, func(ctx context.Context) {
		if c.begin() != nil {
			return
		}
		cfg, _ := c.cfg.Catalogue.Current()
		if cfg == nil {
			return
		}
		for _, s := range cfg.Services {
			if s.Engine != nil {
				c.place(ctx, s)
			}
		}
	})
	return ctx.Err()
}

// place begins the moves that are worth their loads.
func (c *Coordinator) place(ctx context.Context, s *catalogue.Service) {
	sites, byID := c.sites(ctx, s)
	p := newPlanner(s.Engine, sites, c.demandOf(s))
	for {
		mv, ok := p.next()
		if !ok || !c.mayLoad(mv, s.Engine) {
			return
		}
		e := byID[mv.engine]
		e.mu.Lock()
		e.acc.moving = true
		e.mu.Unlock()
		c.cfg.Events.Record(event.PlacementChanged, timeline.Fields{
			"engine": string(mv.engine), "load": string(mv.model), "unload": string(mv.evict),
		})
		go c.carry(ctx, e, s.Engine, mv)
	}
}

// sites returns the engines of a service as the plan sees them.
func (c *Coordinator) sites(ctx context.Context, s *catalogue.Service) ([]*site, map[fleet.UpstreamID]*engine) {
	var out []*site
	byID := make(map[fleet.UpstreamID]*engine)
	for _, u := range c.cfg.Roster.Upstreams() {
		if u.Service() != s.ID || !u.Usable() {
			continue
		}
		e := c.engine(u)
		load := c.load(u.ID)
		e.mu.Lock()
		st := &site{id: u.ID, models: make(map[fleet.ModelID]bool), load: load}
		if !e.acc.moving && c.settle(ctx, e) != nil {
			st.closed = true
		}
		e.acc.view(st, s.Engine, time.Now())
		e.mu.Unlock()
		out = append(out, st)
		byID[u.ID] = e
	}
	return out, byID
}

// view fills in what the plan needs of an engine.
func (a *account) view(st *site, spec *catalogue.Engine, now time.Time) {
	for id, m := range a.models {
		if !m.unloading {
			st.models[id] = true
		}
	}
	st.freeMB = spec.WeightsMB - a.memory(spec)
	st.closed = st.closed || a.moving || !a.known || now.Before(a.busyUntil)
	st.loadSeconds = make(map[fleet.ModelID]float64, len(spec.Models))
	st.fromStore = make(map[fleet.ModelID]bool, len(spec.Models))
	for id, m := range spec.Models {
		d, fromStore := a.loadTime(m)
		st.loadSeconds[id], st.fromStore[id] = d.Seconds(), fromStore
	}
}

// demandOf returns the demand for the models of a service.
func (c *Coordinator) demandOf(s *catalogue.Service) map[fleet.ModelID]float64 {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[fleet.ModelID]float64, len(s.Engine.Models))
	for id := range s.Engine.Models {
		out[id] = c.demand.rate(now, modelKey{s.ID, id})
	}
	return out
}

// mayLoad reports whether the weight store allows the load of a move now.
func (c *Coordinator) mayLoad(mv move, spec *catalogue.Engine) bool {
	if !mv.fromStore {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loading < spec.LoadsAtOnce && c.loads.take(time.Now(), spec.LoadsPerSecond)
}

// carry carries a move out.
func (c *Coordinator) carry(ctx context.Context, e *engine, spec *catalogue.Engine, mv move) {
	c.count(mv, 1)
	defer c.count(mv, -1)
	err := c.unloadModel(ctx, e, mv.evict)
	if err == nil {
		err = c.loadModel(ctx, e, spec, mv.model)
	}
	e.mu.Lock()
	e.acc.moving = false
	e.mu.Unlock()
	c.touch()
	if err != nil {
		c.cfg.Events.Record(event.GatewayFault, timeline.Fields{"engine": string(e.u.ID), "reason": err.Error()})
	}
}

func (c *Coordinator) count(mv move, n int) {
	if !mv.fromStore {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loading += n
}

// unloadModel makes room by unloading a model, "" for none, and waits until it
// is gone.
func (c *Coordinator) unloadModel(ctx context.Context, e *engine, m fleet.ModelID) error {
	if m == "" {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := c.settle(ctx, e); err != nil {
		return err
	}
	h, ok := e.acc.models[m]
	if !ok {
		return nil
	}
	// VMs send no more requests for the model from their next message on.
	h.unloading = true
	c.touch()
	v, err := c.order(ctx, e, Order{Unload: true, Model: m})
	if err == nil && v != Accepted && v != AlreadySo {
		h.unloading = false
		return fmt.Errorf("engine %q does not unload model %q: %s", e.u.ID, m, v)
	}
	return c.await(ctx, e, unloadWait, func() bool { return e.acc.models[m] == nil })
}

// loadModel loads a model and waits until a report shows it.
func (c *Coordinator) loadModel(ctx context.Context, e *engine, spec *catalogue.Engine, m fleet.ModelID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := c.settle(ctx, e); err != nil {
		return err
	}
	if e.acc.models[m] != nil {
		return nil
	}
	if e.acc.memory(spec)+spec.Models[m].WeightsMB > spec.WeightsMB {
		return fmt.Errorf("engine %q has no room for model %q", e.u.ID, m)
	}
	d, _ := e.acc.loadTime(spec.Models[m])
	now := time.Now()
	v, err := c.order(ctx, e, Order{Model: m})
	if err == nil && v != Accepted && v != AlreadySo {
		return fmt.Errorf("engine %q does not load model %q: %s", e.u.ID, m, v)
	}
	// Reserved also where the answer was lost.
	e.acc.models[m] = &held{adapters: make(map[fleet.AdapterID]*heldAdapter), loading: true, ordered: now, used: now}
	e.mu.Unlock()
	pause(ctx, d)
	e.mu.Lock()
	return c.await(ctx, e, loadPatience*d, func() bool {
		h := e.acc.models[m]
		return h == nil || !h.loading
	})
}

// errGone tells that an engine has left meanwhile.
var errGone = errors.New("the engine has left")

// await asks for reports until done, for at most a time. The caller holds the
// lock, which is given up between the reports.
func (c *Coordinator) await(ctx context.Context, e *engine, most time.Duration, done func() bool) error {
	end := time.Now().Add(most)
	for !done() {
		if ctx.Err() != nil || !e.u.Usable() {
			return errGone
		}
		if time.Now().After(end) {
			return fmt.Errorf("engine %q has not carried out an order within %s", e.u.ID, most)
		}
		e.mu.Unlock()
		pause(ctx, checkEvery)
		e.mu.Lock()
		if err := c.refresh(ctx, e); err != nil {
			c.cfg.Events.Record(event.GatewayFault, timeline.Fields{"engine": string(e.u.ID), "reason": err.Error()})
		}
	}
	return nil
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
