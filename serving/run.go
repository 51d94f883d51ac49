package serving

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"toucanfall/catalogue"
	"toucanfall/courier"
	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
	"toucanfall/roster"
	"toucanfall/shares"
	"toucanfall/timeline"
)

// Bounds of attempts.
const (
	// answerGrace is how much longer than its time an upstream is waited for:
	// it answers at the deadline itself, and the answer needs its way.
	answerGrace = 80 * time.Millisecond
	// safeTry is how many objectives a safe request waits for the head of an
	// answer before another upstream is tried.
	safeTry = 2
	// resumeAfter is how long a resumable stream may be silent before it goes on
	// at another upstream; clients leave after 2 s or later.
	resumeAfter = 1200 * time.Millisecond
	// adapterRetry is how long to wait where an engine does not have an adapter
	// yet that is being loaded.
	adapterRetry = 15 * time.Millisecond
	// maxSends bounds the sends of one request, those included that upstreams
	// did not run.
	maxSends = 4
)

// errBegun tells that the answer to the client has begun and cannot be ended.
var errBegun = errors.New("the answer was broken off")

// run makes the attempts of a call.
func (h *Handler) run(ctx context.Context, c *Call, out *answer) error {
	if end := c.deadline(); !end.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end.Add(answerGrace))
		defer cancel()
	}
	h.cfg.Directory.Await(ctx)
	service, ok := h.pick.service(c.Route)
	if !ok {
		return fault.New(fault.NoUpstream, "no upstream of route %q can be used", c.Route.Name)
	}
	h.cfg.Budget.Request()
	if c.Model != "" {
		h.cfg.Loader.Asked(service, c.Model, c.TokensIn+c.TokensOut)
	}
	t := &tries{h: h, c: c, out: out, service: service}
	return t.all(ctx)
}

// tries is the sequence of attempts of one call.
type tries struct {
	h       *Handler
	c       *Call
	out     *answer
	service catalogue.ServiceID
	// sends counts all sends, tried lists the upstreams that got the request.
	sends int
	tried []fleet.UpstreamID
	// unreachable lists those to which no connection could be made.
	unreachable []fleet.UpstreamID
	// ran is set once an attempt may have run.
	ran bool
	// reserved is set while the budget holds a send for the call.
	reserved atomic.Bool
	// permit allows the attempt that is being made, nil where the upstream needs none.
	permit *shares.Permit
	// way is how the last attempt went out.
	way way
	// last is why the last attempt failed.
	last error
}

// all makes attempts until one is answered for good.
func (t *tries) all(ctx context.Context) error {
	for {
		u, err := t.choose(ctx)
		if err != nil {
			return t.giveUp(ctx, err)
		}
		again, err := t.once(ctx, u)
		if err == nil {
			return nil
		}
		if errors.Is(err, courier.ErrWithheld) {
			continue // Nothing was sent.
		}
		t.last = err
		if !again || !t.mayRepeat(ctx) {
			return t.giveUp(ctx, err)
		}
	}
}

// mayRepeat reports whether one more send is allowed by the route, the budget
// and the time that is left.
func (t *tries) mayRepeat(ctx context.Context) bool {
	return ctx.Err() == nil && t.sends < maxSends && (t.reserved.Swap(false) || t.h.cfg.Budget.Repeat())
}

// giveUp returns the answer for a call that no attempt has served.
func (t *tries) giveUp(ctx context.Context, err error) error {
	switch {
	case t.out.begun:
		return errBegun
	case ctx.Err() != nil && t.ran:
		return fault.New(fault.Timeout, "no answer in time: %w", err)
	case ctx.Err() != nil:
		return fault.New(fault.DeadlineUnmeetable, "no upstream could take the request in time")
	case t.ran:
		return fault.New(fault.UpstreamFailed, "%w", err)
	}
	return err
}

// way is how an attempt went out, for the log: when its upstream was chosen, when
// its first byte was written (0 if none was), and how old the directory was then.
type way struct {
	chosen, written, directory time.Duration
}

// fields adds the way to the fields of an event.
func (w way) fields(f timeline.Fields) timeline.Fields {
	f["chosen_ms"] = timeline.Millis(w.chosen)
	if w.written != 0 {
		f["written_ms"], f["directory_ms"] = timeline.Millis(w.written), timeline.Millis(w.directory)
	}
	return f
}

// once makes one attempt. Again tells that another one is allowed by what
// happened in it.
func (t *tries) once(ctx context.Context, u *roster.Upstream) (again bool, err error) {
	now := time.Now()
	a := Attempt{Upstream: u.ID, Left: t.c.left(now), Priority: -1, LastEvent: t.out.resumeAt(t.c)}
	if t.c.Model != "" {
		a.Priority = min(max(t.c.Priority, 0), lowestPriority)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.sends++
	t.way = way{chosen: now.Sub(t.c.received)}
	if t.c.Adapter != "" {
		t.h.cfg.Loader.Used(u.ID, t.c.wanted())
	}
	flight := u.Begin(t.c.wanted(), t.c.TokensIn)
	w := t.watch(u, cancel)
	defer w.stop()
	req := &courier.Request{
		Method: t.c.Method, Head: t.h.cfg.Wire.Head(t.c, a), Body: t.c.Body,
		Own:   func(status int, hd http.Header) bool { return t.h.cfg.Wire.Own(t.c, status, hd) },
		Check: func() error { return t.check(u) },
	}
	got, err := t.h.pools.of(u).Do(ctx, req)
	if errors.Is(err, courier.ErrWithheld) {
		flight.Drop()
		t.withheld(u, err)
		return true, err
	}
	if err != nil {
		flight.End(!errors.Is(ctx.Err(), context.Canceled) || w.fired())
		return t.unanswered(u, err)
	}
	defer got.Body.Close()
	flight.Heard()
	again, err = t.answered(ctx, u, got, flight, w)
	broken := got.Status >= http.StatusInternalServerError
	flight.End(err != nil && ctx.Err() == nil || broken || w.fired())
	return again, err
}

// check is called right before an attempt is written. The upstream may have left while
// the connection was made, and this VM may have stood still.
func (t *tries) check(u *roster.Upstream) error {
	age := t.h.cfg.Directory.Age()
	if !t.h.cfg.Directory.InTime() {
		return fmt.Errorf("the directory was read %s ago", age.Round(time.Millisecond))
	}
	if !u.Usable() {
		return fmt.Errorf("upstream %q has left", u.ID)
	}
	if err := t.permitted(u); err != nil {
		return err
	}
	t.h.notices.written(u)
	t.way.written, t.way.directory = time.Since(t.c.received), age
	t.h.cfg.Metrics.Written(age)
	return nil
}

// lowestPriority is the last rank at engines.
const lowestPriority = 9

// watch cancels an attempt that is silent for too long, once the call can go on
// elsewhere.
func (t *tries) watch(u *roster.Upstream, cancel func()) *watchdog {
	w := &watchdog{}
	if !t.c.Route.Idempotent() || len(t.tried)+1 >= t.c.Route.Attempts {
		return w
	}
	w.limit = resumeAfter
	if t.c.Route.Kind == catalogue.Safe && t.c.Route.Objective > 0 {
		w.limit = safeTry * t.c.Route.Objective
	}
	avoid := append(slices.Clone(t.tried), u.ID)
	w.start(func() bool { return t.reserve(avoid) }, cancel)
	return w
}

// reserve reports whether another upstream than those to avoid can take the call over,
// and holds a send of the budget for it.
func (t *tries) reserve(avoid []fleet.UpstreamID) bool {
	list := unlimited(t.h.pick.Candidates(t.service, t.c, avoid))
	if t.c.Adapter != "" {
		list = withAdapter(list, t.c)
	}
	if len(list) == 0 || !t.h.cfg.Budget.Repeat() {
		return false
	}
	t.reserved.Store(true)
	return true
}

// failed records that an attempt failed.
func (t *tries) failed(u *roster.Upstream, err error) {
	t.h.cfg.Metrics.Attempt(u.ID, true)
	t.h.cfg.Events.Record(event.AttemptFailed, t.way.fields(timeline.Fields{
		"request": string(t.c.ID), "upstream": string(u.ID), "reason": err.Error(), "sends": strconv.Itoa(t.sends),
	}))
}

// served records what decided how the caller was served.
func (t *tries) served(u *roster.Upstream, status int) {
	own, all := u.InFlight()
	p := t.out.pacing
	t.h.cfg.Metrics.Attempt(u.ID, status >= http.StatusInternalServerError)
	t.h.cfg.Metrics.Served(t.c.Route.Kind.String(), t.c.Team, p.first, p.longest)
	t.h.cfg.Events.Record(event.RequestServed, t.way.fields(timeline.Fields{
		"request": string(t.c.ID), "route": string(t.c.Route.Name), "team": string(t.c.Team),
		"upstream": string(u.ID), "own": strconv.Itoa(own), "all": strconv.Itoa(all),
		"model": string(t.c.Model), "adapter": string(t.c.Adapter), "priority": strconv.Itoa(t.c.Priority),
		"tokens_in": strconv.Itoa(int(t.c.TokensIn)), "tokens_out": strconv.Itoa(int(t.c.TokensOut)),
		"status": strconv.Itoa(status), "sends": strconv.Itoa(t.sends), "pieces": strconv.Itoa(p.pieces),
		"first_ms": timeline.Millis(p.first), "longest_pause_ms": timeline.Millis(p.longest), "paused_until_ms": timeline.Millis(p.longestAt), "total_ms": timeline.Millis(time.Since(p.began)),
	}))
}

// withheld records an attempt that was not sent.
func (t *tries) withheld(u *roster.Upstream, err error) {
	t.sends--
	t.h.cfg.Events.Record(event.AttemptWithheld, t.way.fields(timeline.Fields{
		"request": string(t.c.ID), "upstream": string(u.ID), "reason": err.Error(),
	}))
}

// unanswered judges an attempt that brought no answer.
func (t *tries) unanswered(u *roster.Upstream, err error) (again bool, _ error) {
	t.failed(u, err)
	if errors.Is(err, courier.ErrNotSent) {
		u.Unreachable()
		t.unreachable = append(t.unreachable, u.ID)
		return true, fault.New(fault.NoUpstream, "upstream %q cannot be reached: %w", u.ID, err)
	}
	t.ran = true
	t.tried = append(t.tried, u.ID)
	return t.c.Route.Idempotent() && len(t.tried) < t.c.Route.Attempts, err
}

// answered judges the head of an answer and hands the answer on.
func (t *tries) answered(ctx context.Context, u *roster.Upstream, got *courier.Answer, f *roster.Flight, w *watchdog) (again bool, err error) {
	reply := t.h.cfg.Wire.ReadReply(got.Status, got.Header)
	if reply.HasLoad {
		own, _ := u.InFlight()
		u.SetOthers(max(reply.Load.Running+reply.Load.Waiting-own, 0))
	}
	if reply.NotRun {
		return t.notRun(ctx, u, reply)
	}
	t.ran = true
	t.tried = append(t.tried, u.ID)
	mayGoOn := t.c.Route.Idempotent() && len(t.tried) < t.c.Route.Attempts
	if got.Status >= http.StatusInternalServerError && mayGoOn && t.h.cfg.Budget.Allows() {
		return true, fault.New(fault.UpstreamFailed, "upstream %q answered %d", u.ID, got.Status)
	}
	if t.out.begun && got.Status != http.StatusOK {
		return mayGoOn, fault.New(fault.UpstreamFailed, "upstream %q answered %d to a resumed stream", u.ID, got.Status)
	}
	err = t.out.copy(t.c, got, func() { f.Heard(); w.heard() })
	if err == nil {
		t.served(u, got.Status)
		return false, nil
	}
	t.failed(u, err)
	var gone *clientGone
	// Only a stream of events can go on after a part of it went to the client.
	whole := !t.out.begun || t.c.Route.Kind == catalogue.Stream
	return mayGoOn && whole && !errors.As(err, &gone), err
}

// notRun judges an answer that says that the request did not run. An adapter
// that is on its way is waited for at the same engine.
func (t *tries) notRun(ctx context.Context, u *roster.Upstream, reply Reply) (again bool, err error) {
	err = t.turnedAway(u, reply)
	t.failed(u, err)
	if t.c.Adapter != "" {
		if reply.Mistaken {
			u.DropAdapter(t.c.wanted())
		}
		loop.Pause(ctx, adapterRetry)
		return t.sends < 2, err
	}
	if len(t.tried)+1 >= t.c.Route.Attempts && !reply.Mistaken {
		return false, err
	}
	t.tried = append(t.tried, u.ID)
	return true, err
}
