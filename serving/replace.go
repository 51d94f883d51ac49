package serving

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"toucanfall/catalogue"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/transport"
)

// maxReplacements is how many upstreams are tried as a replacement for one silent attempt.
const maxReplacements = 2

// startWatchdog starts a watchdog that hedges an attempt: if it is silent for too long, the call is
// sent to another upstream too. The silent attempt goes on until the other one has been answered,
// because it may still be the faster one.
func (t *attempts) startWatchdog(a *attempt) *watchdog {
	w := &watchdog{}
	if !t.c.Route.Idempotent() || len(t.tried)+1 >= t.c.Route.Attempts {
		return w
	}
	w.limit = streamSilenceTimeout
	if t.c.Route.Kind == catalogue.Safe && t.c.Route.Objective > 0 {
		w.limit = safeHedgeObjectives * t.c.Route.Objective
	}
	avoid := append(slices.Clone(t.tried), a.u.ID)
	tried := 0
	running := len(t.tried) + 1
	w.findReplacement = func(ctx context.Context) (*attempt, bool) {
		if tried >= maxReplacements || running+int(t.failedReplacements.Load()) >= t.c.Route.Attempts {
			return nil, true
		}
		next, u := t.sendReplacement(ctx, a, avoid)
		if u != "" {
			avoid = append(avoid, u)
			tried++
		}
		return next, u != ""
	}
	w.onReplace = func(next *attempt) {
		t.replacement = next
		a.cancel()
	}
	w.onDiscard = func(next *attempt) {
		t.failedReplacements.Add(1)
		next.discard()
	}
	w.start()
	return w
}

// sendReplacement sends the call to an upstream that is not in avoid. It returns the attempt if it
// was answered with success, and the upstream that was tried, "" if there was none.
func (t *attempts) sendReplacement(ctx context.Context, silent *attempt, avoid []fleet.UpstreamID) (*attempt, fleet.UpstreamID) {
	list := unlimited(t.h.picker.Candidates(t.service, t.c, avoid))
	if t.c.Adapter != "" {
		list = withAdapter(list, t.c)
	}
	// A request that may have crashed an upstream does not run at two of them at once.
	if len(list) == 0 || t.checkStop() != nil || t.requestSuspected() || !t.h.retries.take(ctx, t.service) {
		return nil, ""
	}
	u := t.h.picker.Best(list, nil)
	credit, _, ok := t.acquireCredit(ctx, u, 0)
	if !ok {
		credit.Release()
		t.h.retries.giveBack(t.service)
		return nil, ""
	}
	a := &attempt{u: u, credit: credit, lastEvent: t.out.resumeEventID(t.c)}
	t.begin(silent.parent, a)
	stop := context.AfterFunc(ctx, a.cancel)
	err := t.send(a)
	stop()
	mayHaveRun := !notSent(err)
	if mayHaveRun {
		t.arrived.Store(true)
	} else {
		t.h.retries.giveBack(t.service)
	}
	if err == nil {
		reply := t.h.cfg.Wire.ReadReply(a.resp.Status, a.resp.Header)
		if !reply.NotRun && a.resp.Status < http.StatusMultipleChoices {
			return a, u.ID
		}
		mayHaveRun = !reply.NotRun
		err = fault.New(fault.Overloaded, "upstream %q answered %d in place of a silent one", u.ID, a.resp.Status)
	}
	if mayHaveRun {
		t.failedReplacements.Add(1)
	}
	if ctx.Err() == nil {
		t.recordFailed(a, err)
	}
	a.discard()
	return nil, u.ID
}

// discard cancels an attempt whose answer is not used.
func (a *attempt) discard() {
	a.cancel()
	a.credit.Release()
	if a.resp != nil {
		_ = a.resp.Body.Close() // The rest is not needed.
	}
	a.flight.Drop()
}

// discardReplacement discards the attempt that was to replace a silent one.
func (t *attempts) discardReplacement() {
	if t.replacement != nil {
		t.replacement.discard()
		t.replacement = nil
	}
}

// notSent reports whether an attempt failed before its request was sent.
func notSent(err error) bool {
	return errors.Is(err, transport.ErrNotSent) || errors.Is(err, transport.ErrWithheld)
}
