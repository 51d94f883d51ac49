package serving

import (
	"context"
	"slices"
	"time"

	"toucanfall/fault"
	"toucanfall/internal/loop"
	"toucanfall/roster"
)

// Bounds of the choice of an upstream.
const (
	// holdPart is the part of the objective for which a request waits for a
	// model or an adapter before it is refused: refusing later serves nobody.
	queueTimeDivisor  = 8
	minQueueTime      = 40 * time.Millisecond
	queuePollInterval = 20 * time.Millisecond
	// spreadGap is by how many requests the engines that have an adapter must be
	// more loaded than another one for the adapter to be brought there too.
	replicateGap = 8
	// loadRetry is when to come back for a model that is being loaded, which
	// takes some 4 s from the weight store by the deployments' sheets.
	modelLoadRetryAfter = 2500 * time.Millisecond
	// adapterComeBack is when to come back for an adapter that found no place.
	adapterRetryAfter = 600 * time.Millisecond
)

// choose finds an upstream by a directory that is not too old. Where none can serve
// the call yet, it looks again for a small part of the objective.
func (t *attempts) choose(ctx context.Context) (*attempt, error) {
	for denied := 0; ; {
		t.h.cfg.Directory.Await(ctx)
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		u, err := t.find(ctx)
		if err == nil {
			var a *attempt
			if a, err = t.acquirePermit(ctx, u); err == nil {
				return a, nil
			}
			if denied++; denied < maxPermitDenials {
				continue
			}
		}
		if time.Since(t.c.received) > t.maxQueueTime() || ctx.Err() != nil {
			return nil, err
		}
		loop.Pause(ctx, queuePollInterval)
	}
}

// hold returns how long the call may wait for a better place.
func (t *attempts) maxQueueTime() time.Duration {
	return max(t.c.Route.Objective/queueTimeDivisor, minQueueTime)
}

// find looks for an upstream once, bringing the adapter to an engine if needed.
func (t *attempts) find(ctx context.Context) (*roster.Upstream, error) {
	list := t.h.picker.Candidates(t.service, t.c, t.unreachable)
	if len(list) == 0 {
		return nil, t.noUpstreamError()
	}
	best := t.h.picker.Best(list, t.tried)
	if t.c.Adapter == "" {
		return best, nil
	}
	ready := withAdapter(list, t.c)
	if len(ready) == 0 {
		return t.loadAdapter(ctx, nil)
	}
	bestReady := t.h.picker.Best(ready, t.tried)
	_, bestReadyLoad := bestReady.InFlight()
	_, bestLoad := best.InFlight()
	if bestReadyLoad-bestLoad < replicateGap {
		return bestReady, nil
	}
	return t.replicateAdapter(ctx, ready)
}

// spread brings the adapter to one more engine than those that are ready with it. If
// that takes long, the call goes to one of these; which one is chosen after the wait,
// for an engine may have left meanwhile.
func (t *attempts) replicateAdapter(ctx context.Context, ready []*roster.Upstream) (*roster.Upstream, error) {
	loadCtx, cancel := context.WithTimeout(ctx, t.maxQueueTime())
	defer cancel()
	u, err := t.loadAdapter(loadCtx, ready)
	if err == nil {
		return u, nil
	}
	ready = withAdapter(t.h.picker.Candidates(t.service, t.c, t.unreachable), t.c)
	if len(ready) == 0 {
		return nil, err
	}
	return t.h.picker.Best(ready, t.tried), nil
}

// load brings the call's adapter to an engine, other than those that have it.
func (t *attempts) loadAdapter(ctx context.Context, ready []*roster.Upstream) (*roster.Upstream, error) {
	avoid := slices.Clone(t.unreachable)
	for _, u := range slices.Concat(ready, t.h.picker.constrained(t.service, t.c)) {
		avoid = append(avoid, u.ID)
	}
	id, err := t.h.cfg.Loader.Load(ctx, t.service, t.c.modelAdapter(), avoid)
	if err != nil {
		return nil, fault.New(fault.NoUpstream, "adapter %q of model %q: %w", t.c.Adapter, t.c.Model, err).After(adapterRetryAfter)
	}
	u, ok := t.h.cfg.Roster.Get(id)
	if !ok || !u.Usable() {
		return nil, fault.New(fault.NoUpstream, "the engine %q that has the adapter cannot be used", id)
	}
	return u, nil
}
