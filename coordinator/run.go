package coordinator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"toucanfall/catalogue"
	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
	"toucanfall/timeline"
)

// planEvery is how often the placement of models is planned: often enough for the
// largest sheet's 16 loads a second, of which mostDepth may begin at once.
const planEvery = 200 * time.Millisecond

// Run plans the placement of models while this VM has the duty, until ctx ends
// and the moves that it has begun have stopped.
func (c *Coordinator) Run(ctx context.Context) error {
	defer c.moves.Wait()
	loop.Every(ctx, planEvery, func(ctx context.Context) {
		if c.begin() != nil {
			return
		}
		c.prune()
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
	demand := c.demandOf(s)
	c.tell(sites, demand)
	p := newPlanner(s.Engine, sites, demand)
	for {
		mv, ok := p.next()
		if !ok {
			return
		}
		if !c.mayLoad(mv, s.Engine) {
			continue // Others may come from memory or disk.
		}
		e := byID[mv.engine]
		e.with(func(a *account) { a.moving, a.coming = true, mv.model })
		c.cfg.Events.Record(event.PlacementChanged, timeline.Fields{
			"engine": string(mv.engine), "load": string(mv.model), "unload": string(mv.evict),
		})
		c.moves.Go(func() { c.carry(ctx, e, s.Engine, mv) })
	}
}

// viewEvery is how often the log shows what the coordinator goes by.
const viewEvery = time.Second

// tell writes to the log what the plan goes by.
func (c *Coordinator) tell(sites []*site, demand map[fleet.ModelID]float64) {
	now := time.Now()
	c.mu.Lock()
	due := now.Sub(c.viewed) >= viewEvery
	if due {
		c.viewed = now
	}
	c.mu.Unlock()
	if !due {
		return
	}
	var engines, asked strings.Builder
	for _, s := range sites {
		fmt.Fprintf(&engines, "%s=%d%s ", s.id, s.load, s.holdings())
	}
	for _, m := range slices.Sorted(maps.Keys(demand)) {
		if demand[m] >= 1 {
			fmt.Fprintf(&asked, "%s=%.0f ", m, demand[m])
		}
	}
	c.cfg.Events.Record(event.PlacementViewed, timeline.Fields{"engines": engines.String(), "demand": asked.String()})
}

// holdings lists the models of an engine for the log.
func (s *site) holdings() string {
	var b strings.Builder
	for _, m := range slices.Sorted(maps.Keys(s.models)) {
		sep := ","
		if !s.ready[m] {
			sep = "+"
		}
		b.WriteString(sep + string(m))
	}
	return b.String()
}

// sites returns the engines of a service as the plan sees them.
func (c *Coordinator) sites(ctx context.Context, s *catalogue.Service) ([]*site, map[fleet.UpstreamID]*engine) {
	var out []*site
	byID := make(map[fleet.UpstreamID]*engine)
	now := time.Now()
	for _, u := range c.cfg.Roster.Upstreams() {
		if u.Service() != s.ID || !u.Usable() || u.Unreachable(now) {
			continue
		}
		e := c.engine(u)
		st := &site{id: u.ID, dataCentre: u.Entry().DataCentre, models: make(map[fleet.ModelID]bool), ready: make(map[fleet.ModelID]bool), load: c.load(u.ID)}
		st.closed = !c.certain(ctx, e)
		e.with(func(a *account) { a.view(st, s.Engine) })
		out = append(out, st)
		byID[u.ID] = e
	}
	return out, byID
}

// certain reports whether the account of an engine that nobody speaks to is
// certain. One that is not is settled while the plan goes on without it: reports
// of many lost engines would hold it up.
func (c *Coordinator) certain(ctx context.Context, e *engine) bool {
	select {
	case e.turn <- struct{}{}:
	default:
		return false
	}
	if e.settled() {
		e.give()
		return true
	}
	c.moves.Go(func() {
		defer e.give()
		err := c.settle(ctx, e)
		if err != nil && !errors.Is(err, errNotKnown) && !errors.Is(err, errBusy) && !errors.Is(err, errTurnedAway) {
			c.cfg.Events.Record(event.ReportFailed, timeline.Fields{"engine": string(e.u.ID), "reason": err.Error()})
		}
	})
	return false
}

// view fills in what the plan needs of an engine.
func (a *account) view(st *site, spec *catalogue.Engine) {
	for id, m := range a.models {
		if !m.unloading {
			st.models[id] = true
		}
		if !m.unloading && !m.loading {
			st.ready[id] = true
		}
	}
	if a.coming != "" {
		st.models[a.coming] = true
	}
	st.busyAdapters = a.busyAdapters(time.Now().Add(-time.Second))
	st.freeMB = spec.WeightsMB - a.memory(spec)
	st.closed = st.closed || a.moving || a.busy || !a.known
	st.copies = a.copies
}

// demandOf returns the demand to come for the models of a service.
func (c *Coordinator) demandOf(s *catalogue.Service) map[fleet.ModelID]float64 {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[fleet.ModelID]float64, len(s.Engine.Models))
	for id := range s.Engine.Models {
		out[id] = c.demand.ahead(now, modelKey{s.ID, id})
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
