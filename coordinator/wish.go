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

// wish brings an adapter to the least loaded engine that can take it.
func (c *Coordinator) wish(ctx context.Context, in Wish) (WishAnswer, error) {
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
	for _, e := range c.forAdapter(in, s.Engine) {
		ready, err := c.wishAt(ctx, e, s.Engine, in.Adapter)
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

// turnWait is how long a wish waits for other orders to an engine before it goes
// to another one.
const turnWait = 100 * time.Millisecond

// Weights in the choice of an engine for an adapter, in requests in flight.
const (
	// evictWeight is what it costs to take another adapter's place.
	evictWeight = 3
	// fullWeight is what an engine costs that has no place now, or is not known.
	fullWeight = 1000
	// needWeight is what an engine costs that names its intake: few requests would follow.
	needWeight = 500
)

// forAdapter returns engines that hold the model, the best first.
func (c *Coordinator) forAdapter(in Wish, spec *catalogue.Engine) []*engine {
	type rated struct {
		e    *engine
		cost float64
	}
	now := time.Now()
	var list []rated
	for _, u := range c.cfg.Roster.Upstreams() {
		if !u.Usable() || u.Unreachable(now) || u.Service() != in.Service || !u.Holds(in.Adapter.Model) || slices.Contains(in.Avoid, u.ID) {
			continue
		}
		e := c.engine(u)
		if e.away() {
			continue
		}
		cost := float64(c.load(u.ID))
		if u.NoticeStatus(now).Limited {
			cost += needWeight
		}
		e.with(func(a *account) { cost += a.roomCost(spec, in.Adapter, now) })
		list = append(list, rated{e, cost})
	}
	slices.SortStableFunc(list, func(a, b rated) int { return cmp.Compare(a.cost, b.cost) })
	out := make([]*engine, 0, len(list))
	for _, l := range list {
		out = append(out, l.e)
	}
	return out
}

// roomCost returns what it costs to make room for an adapter.
func (a *account) roomCost(spec *catalogue.Engine, ad roster.Adapter, now time.Time) float64 {
	if !a.known {
		return evictWeight
	}
	if !a.doubt.IsZero() || a.busy || a.ordering {
		return fullWeight
	}
	if a.hasPlace(spec, ad) && a.inTransit(now) < maxInTransit {
		return 0
	}
	if _, ok := a.oldestAdapter(now.Add(-adapterRest)); ok {
		return evictWeight
	}
	return fullWeight
}

func (c *Coordinator) wishAt(ctx context.Context, e *engine, spec *catalogue.Engine, a roster.Adapter) (time.Duration, error) {
	turn, cancel := context.WithTimeout(ctx, turnWait)
	defer cancel()
	if err := e.take(turn); err != nil {
		return 0, err
	}
	defer e.give()
	if err := c.settle(ctx, e); err != nil {
		return 0, err
	}
	return c.loadAdapter(ctx, e, spec, a)
}
