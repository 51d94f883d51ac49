package serving

import (
	"context"
	"errors"
	"slices"
	"time"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
	"toucanfall/roster"
)

// Bounds of the choice of an upstream.
const (
	// queueTimeDivisor gives the part of the route's objective for which a request waits for a
	// model or an adapter before it is rejected: a later rejection would help no caller.
	queueTimeDivisor  = 8
	minQueueTime      = 40 * time.Millisecond
	queuePollInterval = 20 * time.Millisecond
	// replicateGap is how many more requests the least loaded engine with the adapter must have
	// than another engine for the adapter to be loaded there too.
	replicateGap = 8
	// modelLoadRetryAfter is the retry-after time while a model is being loaded, which takes
	// about 4 s from the weight store by the capacity documentation.
	modelLoadRetryAfter = 2500 * time.Millisecond
	// adapterRetryAfter is the retry-after time for an adapter that could not be loaded on any engine.
	adapterRetryAfter = 600 * time.Millisecond
)

// choose waits until the roster is recent enough to send requests by it, and returns an attempt at an
// upstream that can serve the call. If there is none yet, it polls until maxQueueTime has passed.
func (t *attempts) choose(ctx context.Context) (*attempt, error) {
	for denied := 0; ; {
		t.h.cfg.Directory.AwaitFresh(ctx)
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if err := t.h.checkParts(t.c); err != nil {
			return nil, err
		}
		if err := t.checkStop(); err != nil {
			return nil, err
		}
		u, credit, err := t.findWithCredit(ctx)
		if err == nil {
			var a *attempt
			if a, err = t.acquirePermit(ctx, u); err == nil {
				a.credit = credit
				return a, nil
			}
			credit.Release()
			if denied++; denied < maxPermitDenials {
				continue
			}
		}
		if time.Since(t.c.received) > t.maxQueueTime() || ctx.Err() != nil || errors.Is(err, errNoCapacity) || errors.Is(err, errExcluded) {
			return nil, err
		}
		loop.Sleep(ctx, queuePollInterval)
	}
}

// maxQueueTime returns how long after its receipt a call may wait for an upstream.
func (t *attempts) maxQueueTime() time.Duration {
	return max(t.c.Route.Objective/queueTimeDivisor, minQueueTime)
}

// find chooses an upstream, or returns an error at once if there is none. It waits only if the call's
// adapter has to be loaded on an engine.
func (t *attempts) find(ctx context.Context, busy []fleet.UpstreamID) (*roster.Upstream, error) {
	list := t.h.picker.Candidates(t.service, t.c, slices.Concat(t.unreachable, busy))
	if len(list) == 0 {
		return nil, t.noUpstreamError()
	}
	best := t.h.picker.Best(list, t.tried)
	if t.c.Adapter == "" {
		return best, nil
	}
	ready := withAdapter(list, t.c)
	if len(ready) == 0 {
		return t.loadAdapter(ctx, busy)
	}
	bestReady := t.h.picker.Best(ready, t.tried)
	_, bestReadyLoad := bestReady.InFlight()
	_, bestLoad := best.InFlight()
	if bestReadyLoad-bestLoad < replicateGap {
		return bestReady, nil
	}
	return t.replicateAdapter(ctx, ready, busy)
}

// replicateAdapter loads the adapter on one more engine besides those that have it. If that takes
// longer than maxQueueTime, it returns one of these. They are listed again after the wait,
// because an engine may have left meanwhile.
func (t *attempts) replicateAdapter(ctx context.Context, ready []*roster.Upstream, busy []fleet.UpstreamID) (*roster.Upstream, error) {
	loadCtx, cancel := context.WithTimeout(ctx, t.maxQueueTime())
	defer cancel()
	u, err := t.loadAdapter(loadCtx, append(ids(ready), busy...))
	if err == nil {
		return u, nil
	}
	ready = withAdapter(t.h.picker.Candidates(t.service, t.c, slices.Concat(t.unreachable, busy)), t.c)
	if len(ready) == 0 {
		return nil, err
	}
	return t.h.picker.Best(ready, t.tried), nil
}

// loadAdapter loads the call's adapter on an engine that is not in exclude.
func (t *attempts) loadAdapter(ctx context.Context, exclude []fleet.UpstreamID) (*roster.Upstream, error) {
	avoid := slices.Concat(t.unreachable, exclude, ids(t.h.picker.constrained(t.service, t.c)), ids(t.h.picker.disallowed(t.service, t.c)))
	id, err := t.h.cfg.Loader.LoadAdapter(ctx, t.service, t.c.modelAdapter(), avoid)
	if err != nil {
		return nil, fault.New(fault.NoUpstream, "adapter %q of model %q: %w", t.c.Adapter, t.c.Model, err).WithRetryAfter(adapterRetryAfter)
	}
	u, ok := t.h.cfg.Roster.Get(id)
	if !ok || !u.Usable() || !t.h.picker.allowed(u, t.c) {
		return nil, fault.New(fault.NoUpstream, "the engine %q that has the adapter cannot be used", id)
	}
	return u, nil
}

// ids returns the ids of upstreams.
func ids(list []*roster.Upstream) []fleet.UpstreamID {
	out := make([]fleet.UpstreamID, len(list))
	for i, u := range list {
		out[i] = u.ID
	}
	return out
}
