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

// planInterval is the interval between plans of the placement of models: short enough for
// the 16 loads a second of the largest deployment in the capacity documentation, as a plan
// starts at most maxBurst loads.
const planInterval = 200 * time.Millisecond

// Run plans the placement of models while this VM is the coordinator. It returns ctx's
// error once ctx has ended and all moves in progress have stopped.
func (c *Coordinator) Run(ctx context.Context) error {
	defer c.tasks.Wait()
	loop.Every(ctx, planInterval, func(ctx context.Context) {
		if c.checkLeadership() != nil {
			return
		}
		c.prune()
		cfg, _ := c.cfg.Catalogue.Current()
		if cfg == nil {
			return
		}
		for _, s := range cfg.Services {
			if s.Engine != nil {
				c.startMoves(ctx, s)
			}
		}
	})
	return ctx.Err()
}

// startMoves plans the placement of a service's models and starts the moves whose benefit
// is worth a load.
func (c *Coordinator) startMoves(ctx context.Context, s *catalogue.Service) {
	candidates, byID := c.candidates(ctx, s)
	demand := c.forecastDemand(s)
	c.logPlanInputs(candidates, demand)
	p := newPlanner(s.Engine, candidates, demand)
	for {
		mv, ok := p.next()
		if !ok {
			return
		}
		if !c.allowLoad(mv, s.Engine) {
			continue // Other moves may load from memory or disk.
		}
		e := byID[mv.engine]
		e.withState(func(st *engineState) { st.moving, st.incoming = true, mv.model })
		c.cfg.Events.Record(event.PlacementChanged, timeline.Fields{
			"engine": string(mv.engine), "load": string(mv.model), "unload": string(mv.evict),
		})
		c.tasks.Go(func() { c.runMove(ctx, e, s.Engine, mv) })
	}
}

// planLogInterval is the shortest time between two log entries with the inputs of the plan.
const planLogInterval = time.Second

// logPlanInputs logs the engines and the demand that a plan starts from, at most once per
// planLogInterval.
func (c *Coordinator) logPlanInputs(candidates []*candidate, demand map[fleet.ModelID]float64) {
	now := time.Now()
	c.mu.Lock()
	due := now.Sub(c.inputsLogged) >= planLogInterval
	if due {
		c.inputsLogged = now
	}
	c.mu.Unlock()
	if !due {
		return
	}
	var engines, demanded strings.Builder
	for _, cand := range candidates {
		fmt.Fprintf(&engines, "%s=%d%s ", cand.id, cand.inFlight, cand.describeModels())
	}
	for _, m := range slices.Sorted(maps.Keys(demand)) {
		if demand[m] >= 1 {
			fmt.Fprintf(&demanded, "%s=%.0f ", m, demand[m])
		}
	}
	c.cfg.Events.Record(event.PlacementViewed, timeline.Fields{"engines": engines.String(), "demand": demanded.String()})
}

// describeModels lists the models of an engine for the log: "," precedes a model that
// serves requests, "+" one that is still loading.
func (cand *candidate) describeModels() string {
	var b strings.Builder
	for _, m := range slices.Sorted(maps.Keys(cand.models)) {
		sep := ","
		if !cand.ready[m] {
			sep = "+"
		}
		b.WriteString(sep + string(m))
	}
	return b.String()
}

// candidates returns the usable engines of a service as inputs for the planner, and their
// records by ID.
func (c *Coordinator) candidates(ctx context.Context, s *catalogue.Service) ([]*candidate, map[fleet.UpstreamID]*engine) {
	var out []*candidate
	byID := make(map[fleet.UpstreamID]*engine)
	now := time.Now()
	for _, u := range c.cfg.Roster.Upstreams() {
		if u.Service() != s.ID || !u.Usable() || u.Unreachable(now) {
			continue
		}
		e := c.engine(u)
		cand := &candidate{id: u.ID, dataCentre: u.Entry().DataCentre, models: make(map[fleet.ModelID]bool), ready: make(map[fleet.ModelID]bool), inFlight: c.inFlight(u.ID)}
		cand.blocked = !c.checkCurrent(ctx, e)
		e.withState(func(st *engineState) { st.describe(cand, s.Engine) })
		out = append(out, cand)
		byID[u.ID] = e
	}
	return out, byID
}

// checkCurrent reports whether the state of an engine is current and no order or report is
// in progress. If the state is out of date, it is refreshed in the background and the plan
// goes on without the engine: waiting for the reports of many lost engines would delay the
// plan.
func (c *Coordinator) checkCurrent(ctx context.Context, e *engine) bool {
	select {
	case e.orderSem <- struct{}{}:
	default:
		return false
	}
	if e.stateCurrent() {
		e.release()
		return true
	}
	c.tasks.Go(func() {
		defer e.release()
		err := c.ensureCurrent(ctx, e)
		if err != nil && !errors.Is(err, errStateUnknown) && !errors.Is(err, errBusy) && !errors.Is(err, errRejected) {
			c.cfg.Events.Record(event.ReportFailed, timeline.Fields{"engine": string(e.u.ID), "reason": err.Error()})
		}
	})
	return false
}

// describe copies the planner's inputs from the state of an engine.
func (st *engineState) describe(cand *candidate, spec *catalogue.Engine) {
	for id, m := range st.models {
		if !m.unloading {
			cand.models[id] = true
		}
		if !m.unloading && !m.loading {
			cand.ready[id] = true
		}
	}
	if st.incoming != "" {
		cand.models[st.incoming] = true
	}
	cand.busyAdapters = st.busyAdapters(time.Now().Add(-time.Second))
	cand.freeMB = spec.WeightsMB - st.memoryMB(spec)
	cand.blocked = cand.blocked || st.moving || st.busy || !st.known
	cand.copies = st.copies
}

// forecastDemand returns the forecast demand for each model of a service, in tokens a
// second.
func (c *Coordinator) forecastDemand(s *catalogue.Service) map[fleet.ModelID]float64 {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[fleet.ModelID]float64, len(s.Engine.Models))
	for id := range s.Engine.Models {
		out[id] = c.demand.forecast(now, modelKey{s.ID, id})
	}
	return out
}

// allowLoad reports whether the limits of the weight store allow the load of a move now,
// and takes a token if so.
func (c *Coordinator) allowLoad(mv move, spec *catalogue.Engine) bool {
	if !mv.fromStore {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadsRunning < spec.LoadsAtOnce && c.loadLimiter.allow(time.Now(), spec.LoadsPerSecond)
}
