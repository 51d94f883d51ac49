package coordinator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"toucanfall/catalogue"
	"toucanfall/roster"
)

// placeAdapter loads an adapter at the engine with the lowest cost that can take it, and
// tries the others in order if that fails.
func (c *Coordinator) placeAdapter(ctx context.Context, in Wish) (WishAnswer, error) {
	cfg, _ := c.cfg.Catalogue.Current()
	if cfg == nil {
		return WishAnswer{}, errors.New("no configuration yet")
	}
	s, ok := cfg.Services[in.Service]
	if !ok || s.Engine == nil {
		return WishAnswer{}, fmt.Errorf("service %q has no engines", in.Service)
	}
	if _, ok := s.Engine.Models[in.Adapter.Model]; !ok {
		return WishAnswer{}, fmt.Errorf("service %q has no model %q", in.Service, in.Adapter.Model)
	}
	last := fmt.Errorf("no engine holds model %q", in.Adapter.Model)
	for _, e := range c.adapterCandidates(in, s.Engine) {
		ready, err := c.placeAdapterAt(ctx, e, s.Engine, in.Adapter)
		if err == nil {
			return WishAnswer{Upstream: e.u.ID, ReadyIn: ready}, nil
		}
		if errors.Is(err, ErrNotCoordinator) {
			return WishAnswer{}, err
		}
		last = err
	}
	return WishAnswer{}, last
}

// engineWaitTimeout is how long an adapter request waits for other orders to an engine
// before it tries the next one.
const engineWaitTimeout = 100 * time.Millisecond

// Weights in the choice of an engine for an adapter. The unit is a request in flight.
const (
	// evictWeight is the cost of unloading another adapter first, and of an engine whose
	// state is unknown.
	evictWeight = 3
	// fullWeight is the cost of an engine that can take no adapter now or whose state is
	// suspect.
	fullWeight = 1000
	// limitedWeight is the cost of an engine that announces a limit: it would accept few
	// requests.
	limitedWeight = 500
)

// adapterCandidates returns the usable engines that hold the model, ordered by cost.
func (c *Coordinator) adapterCandidates(in Wish, spec *catalogue.Engine) []*engine {
	type scored struct {
		e    *engine
		cost float64
	}
	now := time.Now()
	var list []scored
	for _, u := range c.cfg.Roster.Upstreams() {
		if !u.Usable() || u.Unreachable(now) || u.Service() != in.Service || !u.Holds(in.Adapter.Model) || slices.Contains(in.Avoid, u.ID) {
			continue
		}
		e := c.engine(u)
		if e.inBackoff() {
			continue
		}
		cost := float64(c.inFlight(u.ID))
		if u.NoticeStatus(now).Limited {
			cost += limitedWeight
		}
		e.withState(func(st *engineState) { cost += st.slotCost(spec, in.Adapter, now) })
		list = append(list, scored{e, cost})
	}
	slices.SortStableFunc(list, func(a, b scored) int { return cmp.Compare(a.cost, b.cost) })
	out := make([]*engine, 0, len(list))
	for _, l := range list {
		out = append(out, l.e)
	}
	return out
}

// slotCost returns the cost of making a slot free for an adapter.
func (st *engineState) slotCost(spec *catalogue.Engine, ad roster.Adapter, now time.Time) float64 {
	if !st.known {
		return evictWeight
	}
	if !st.suspectSince.IsZero() || st.busy || st.ordering {
		return fullWeight
	}
	if st.hasSlot(spec, ad) && st.loadingAdapters(now) < maxLoadingAdapters {
		return 0
	}
	if _, ok := st.lruAdapter(now.Add(-adapterMinIdle)); ok {
		return evictWeight
	}
	return fullWeight
}

// placeAdapterAt loads an adapter at an engine and returns the time until it can be used
// there.
func (c *Coordinator) placeAdapterAt(ctx context.Context, e *engine, spec *catalogue.Engine, ad roster.Adapter) (time.Duration, error) {
	waitCtx, cancel := context.WithTimeout(ctx, engineWaitTimeout)
	defer cancel()
	if err := e.acquire(waitCtx); err != nil {
		return 0, err
	}
	defer e.release()
	if err := c.ensureCurrent(ctx, e); err != nil {
		return 0, err
	}
	return c.loadAdapter(ctx, e, spec, ad)
}
