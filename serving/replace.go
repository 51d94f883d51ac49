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
const maxReplaced = 2

// watch replaces an attempt that is silent for too long by one at another upstream. The
// silent one goes on until the other has begun to answer: it may be the sooner one.
func (t *tries) watch(a *attempt) *watchdog {
	w := &watchdog{}
	if !t.c.Route.Idempotent() || len(t.tried)+1 >= t.c.Route.Attempts {
		return w
	}
	w.limit = resumeAfter
	if t.c.Route.Kind == catalogue.Safe && t.c.Route.Objective > 0 {
		w.limit = safeTry * t.c.Route.Objective
	}
	avoid := append(slices.Clone(t.tried), a.u.ID)
	tried := 0
	w.replace = func(ctx context.Context) (*attempt, bool) {
		if tried >= maxReplaced {
			return nil, true
		}
		next, u := t.replace(ctx, a, avoid)
		if u != "" {
			avoid = append(avoid, u)
			tried++
		}
		return next, u != ""
	}
	w.use = func(next *attempt) {
		t.next = next
		a.cancel()
	}
	w.drop = func(next *attempt) { next.end() }
	w.start()
	return w
}

// replace sends a call to another upstream than those to avoid, and returns that attempt once
// it is answered with success. It returns the upstream that was asked, "" if there is none.
func (t *tries) replace(ctx context.Context, silent *attempt, avoid []fleet.UpstreamID) (*attempt, fleet.UpstreamID) {
	list := unlimited(t.h.pick.Candidates(t.service, t.c, avoid))
	if t.c.Adapter != "" {
		list = withAdapter(list, t.c)
	}
	if len(list) == 0 || !t.h.cfg.Budget.TakeRetry() {
		return nil, ""
	}
	u := t.h.pick.Best(list, nil)
	a := &attempt{u: u, from: t.out.resumeAt(t.c)}
	t.begin(silent.parent, a)
	stop := context.AfterFunc(ctx, a.cancel)
	err := t.send(a)
	stop()
	if err == nil {
		reply := t.h.cfg.Wire.ReadReply(a.got.Status, a.got.Header)
		if !reply.NotRun && a.got.Status < http.StatusMultipleChoices {
			return a, u.ID
		}
		err = fault.New(fault.Overloaded, "upstream %q answered %d in place of a silent one", u.ID, a.got.Status)
	}
	if ctx.Err() == nil {
		t.failed(a, err)
	}
	a.end()
	return nil, u.ID
}

// end ends an attempt whose answer is not handed on.
func (a *attempt) end() {
	a.cancel()
	if a.got != nil {
		_ = a.got.Body.Close() // It is not read to its end.
	}
	a.flight.Drop()
}

// drop ends the attempt that was to take the place of a silent one.
func (t *tries) drop() {
	if t.next != nil {
		t.next.end()
		t.next = nil
	}
}
