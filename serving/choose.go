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
	holdPart  = 8
	minHold   = 40 * time.Millisecond
	holdCheck = 20 * time.Millisecond
	// spreadGap is by how many requests the engines that have an adapter must be
	// more loaded than another one for the adapter to be brought there too.
	spreadGap = 8
	// loadRetry is when to come back for a model that is being loaded, which
	// takes some 4 s from the weight store by the deployments' sheets.
	loadRetry = 2500 * time.Millisecond
	// adapterComeBack is when to come back for an adapter that found no place.
	adapterComeBack = 600 * time.Millisecond
)

// choose finds an upstream by a directory that is not too old. Where none can serve
// the call yet, it looks again for a small part of the objective.
func (t *tries) choose(ctx context.Context) (*attempt, error) {
	for denied := 0; ; {
		t.h.cfg.Directory.AwaitFresh(ctx)
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		u, err := t.find(ctx)
		if err == nil {
			var a *attempt
			if a, err = t.admit(ctx, u); err == nil {
				return a, nil
			}
			if denied++; denied < maxDenied {
				continue
			}
		}
		if time.Since(t.c.received) > t.hold() || ctx.Err() != nil {
			return nil, err
		}
		loop.Sleep(ctx, holdCheck)
	}
}

// hold returns how long the call may wait for a better place.
func (t *tries) hold() time.Duration {
	return max(t.c.Route.Objective/holdPart, minHold)
}

// find looks for an upstream once, bringing the adapter to an engine if needed.
func (t *tries) find(ctx context.Context) (*roster.Upstream, error) {
	list := t.h.pick.Candidates(t.service, t.c, t.unreachable)
	if len(list) == 0 {
		return nil, t.unserved()
	}
	best := t.h.pick.Best(list, t.tried)
	if t.c.Adapter == "" {
		return best, nil
	}
	ready := withAdapter(list, t.c)
	if len(ready) == 0 {
		return t.load(ctx, nil)
	}
	having := t.h.pick.Best(ready, t.tried)
	_, there := having.InFlight()
	_, here := best.InFlight()
	if there-here < spreadGap {
		return having, nil
	}
	return t.spread(ctx, ready)
}

// spread brings the adapter to one more engine than those that are ready with it. If
// that takes long, the call goes to one of these; which one is chosen after the wait,
// for an engine may have left meanwhile.
func (t *tries) spread(ctx context.Context, ready []*roster.Upstream) (*roster.Upstream, error) {
	soon, cancel := context.WithTimeout(ctx, t.hold())
	defer cancel()
	u, err := t.load(soon, ready)
	if err == nil {
		return u, nil
	}
	ready = withAdapter(t.h.pick.Candidates(t.service, t.c, t.unreachable), t.c)
	if len(ready) == 0 {
		return nil, err
	}
	return t.h.pick.Best(ready, t.tried), nil
}

// load brings the call's adapter to an engine, other than those that have it.
func (t *tries) load(ctx context.Context, having []*roster.Upstream) (*roster.Upstream, error) {
	avoid := slices.Clone(t.unreachable)
	for _, u := range slices.Concat(having, t.h.pick.needy(t.service, t.c)) {
		avoid = append(avoid, u.ID)
	}
	id, err := t.h.cfg.Loader.LoadAdapter(ctx, t.service, t.c.wanted(), avoid)
	if err != nil {
		return nil, fault.New(fault.NoUpstream, "adapter %q of model %q: %w", t.c.Adapter, t.c.Model, err).WithRetryAfter(adapterComeBack)
	}
	u, ok := t.h.cfg.Roster.Get(id)
	if !ok || !u.Usable() {
		return nil, fault.New(fault.NoUpstream, "the engine %q that has the adapter cannot be used", id)
	}
	return u, nil
}
