package serving

import (
	"context"
	"net/http"
	"slices"

	"toucanfall/catalogue"
	"toucanfall/fault"
	"toucanfall/fleet"
)

// maxReplaced is how many upstreams are asked in vain to take a silent attempt's place.
const maxReplacements = 2

// watch replaces an attempt that is silent for too long by one at another upstream. The
// silent one goes on until the other has begun to answer: it may be the sooner one.
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
	w.findReplacement = func(ctx context.Context) (*attempt, bool) {
		if tried >= maxReplacements {
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
	w.onDiscard = func(next *attempt) { next.discard() }
	w.start()
	return w
}

// replace sends a call to another upstream than those to avoid, and returns that attempt once
// it is answered with success. It returns the upstream that was asked, "" if there is none.
func (t *attempts) sendReplacement(ctx context.Context, silent *attempt, avoid []fleet.UpstreamID) (*attempt, fleet.UpstreamID) {
	list := unlimited(t.h.picker.Candidates(t.service, t.c, avoid))
	if t.c.Adapter != "" {
		list = withAdapter(list, t.c)
	}
	if len(list) == 0 || !t.h.cfg.Budget.Repeat() {
		return nil, ""
	}
	u := t.h.picker.Best(list, nil)
	a := &attempt{u: u, lastEvent: t.out.resumeEventID(t.c)}
	t.begin(silent.parent, a)
	stop := context.AfterFunc(ctx, a.cancel)
	err := t.send(a)
	stop()
	if err == nil {
		reply := t.h.cfg.Wire.ReadReply(a.resp.Status, a.resp.Header)
		if !reply.NotRun && a.resp.Status < http.StatusMultipleChoices {
			return a, u.ID
		}
		err = fault.New(fault.Overloaded, "upstream %q answered %d in place of a silent one", u.ID, a.resp.Status)
	}
	if ctx.Err() == nil {
		t.recordFailed(a, err)
	}
	a.discard()
	return nil, u.ID
}

// end ends an attempt whose answer is not handed on.
func (a *attempt) discard() {
	a.cancel()
	if a.resp != nil {
		_ = a.resp.Body.Close() // It is not read to its end.
	}
	a.flight.Drop()
}

// drop ends the attempt that was to take the place of a silent one.
func (t *attempts) discardReplacement() {
	if t.replacement != nil {
		t.replacement.discard()
		t.replacement = nil
	}
}
