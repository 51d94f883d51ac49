package serving

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
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
	h.cfg.Directory.AwaitFresh(ctx)
	service, ok := h.pick.service(c.Route)
	if !ok {
		return fault.New(fault.NoUpstream, "no upstream of route %q can be used", c.Route.Name)
	}
	h.cfg.Budget.CountRequest()
	if c.Model != "" {
		h.cfg.Loader.CountRequest(service, c.Model, c.TokensIn+c.TokensOut)
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
	// next is an attempt that takes the place of a silent one.
	next *attempt
	// last is why the last attempt failed.
	last error
}

// attempt is one sending of a call.
type attempt struct {
	u *roster.Upstream
	// permit allows it, nil where the upstream needs none.
	permit *shares.Permit
	// from is the event after which the upstream goes on.
	from string
	way  way
	// ctx ends the attempt, parent the call.
	ctx    context.Context
	parent context.Context
	cancel context.CancelFunc
	flight *roster.Flight
	got    *courier.Answer
}

// all makes attempts until one is answered for good.
func (t *tries) all(ctx context.Context) error {
	for {
		again, err := t.one(ctx)
		if err == nil {
			t.drop()
			return nil
		}
		if errors.Is(err, courier.ErrWithheld) {
			continue // Nothing was sent.
		}
		t.last = err
		if !again || !t.mayRepeat(ctx) {
			t.drop()
			return t.giveUp(ctx, err)
		}
	}
}

// one makes one attempt, or goes on with the one that takes the place of a silent one.
func (t *tries) one(ctx context.Context) (again bool, err error) {
	if a := t.next; a != nil && a.from == t.out.resumeAt(t.c) {
		t.next = nil
		return t.receive(a)
	}
	if t.next != nil {
		t.drop()
		if !t.h.cfg.Budget.TakeRetry() {
			return false, t.last
		}
	}
	a, err := t.choose(ctx)
	if err != nil {
		return false, err
	}
	return t.once(ctx, a)
}

// mayRepeat reports whether one more send is allowed by the route, the budget
// and the time that is left.
func (t *tries) mayRepeat(ctx context.Context) bool {
	return ctx.Err() == nil && t.sends < maxSends && (t.next != nil || t.h.cfg.Budget.TakeRetry())
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
func (t *tries) once(ctx context.Context, a *attempt) (again bool, err error) {
	t.sends++
	t.begin(ctx, a)
	w := t.watch(a)
	err = t.send(a)
	if err == nil {
		return t.answer(a, w)
	}
	defer a.cancel()
	w.stop()
	if errors.Is(err, courier.ErrWithheld) {
		a.flight.Drop()
		t.withheld(a, err)
		return true, err
	}
	a.flight.End(!errors.Is(a.ctx.Err(), context.Canceled) || w.fired())
	return t.unanswered(a, err)
}

// receive hands on the answer of an attempt whose head has come.
func (t *tries) receive(a *attempt) (again bool, err error) {
	t.sends++
	return t.answer(a, t.watch(a))
}

// answer hands on the answer of an attempt that is watched.
func (t *tries) answer(a *attempt, w *watchdog) (again bool, err error) {
	defer a.cancel()
	defer a.got.Body.Close()
	a.flight.Received()
	again, err = t.answered(a, w)
	w.stop()
	broken := a.got.Status >= http.StatusInternalServerError
	a.flight.End(err != nil && a.ctx.Err() == nil || broken || w.fired())
	return again, err
}

// begin counts an attempt in flight.
func (t *tries) begin(ctx context.Context, a *attempt) {
	a.parent = ctx
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.way = way{chosen: time.Since(t.c.received)}
	if t.c.Adapter != "" {
		t.h.cfg.Loader.RecordUse(a.u.ID, t.c.wanted())
	}
	a.flight = a.u.Begin(t.c.wanted(), t.c.TokensIn)
}

// send sends an attempt and reads the head of its answer.
func (t *tries) send(a *attempt) error {
	head := AttemptHeader{Upstream: a.u.ID, Remaining: t.c.left(time.Now()), Priority: -1, LastEvent: a.from}
	if t.c.Model != "" {
		head.Priority = min(max(t.c.Priority, 0), lowestPriority)
	}
	got, err := t.h.pools.of(a.u).Do(a.ctx, &courier.Request{
		Method: t.c.Method, Head: t.h.cfg.Wire.Head(t.c, head), Body: t.c.Body,
		IsAnswer:   func(status int, hd http.Header) bool { return t.h.cfg.Wire.IsAnswerTo(t.c, status, hd) },
		Check: func() error { return t.check(a) },
	})
	a.got = got
	return err
}

// check is called right before an attempt is written. The upstream may have left while
// the connection was made, and this VM may have stood still.
func (t *tries) check(a *attempt) error {
	age := t.h.cfg.Directory.Staleness()
	if !t.h.cfg.Directory.Fresh() {
		return fmt.Errorf("the directory was read %s ago", age.Round(time.Millisecond))
	}
	if !a.u.Usable() {
		return fmt.Errorf("upstream %q has left", a.u.ID)
	}
	if err := a.permitted(); err != nil {
		return err
	}
	t.h.notices.written(a.u)
	a.way.written, a.way.directory = time.Since(t.c.received), age
	t.h.cfg.Metrics.DirectoryAgeAtSend(age)
	return nil
}

// lowestPriority is the last rank at engines.
const lowestPriority = 9

// failed records that an attempt failed.
func (t *tries) failed(a *attempt, err error) {
	t.h.cfg.Metrics.Attempt(a.u.ID, true)
	t.h.cfg.Events.Record(event.AttemptFailed, a.way.fields(timeline.Fields{
		"request": string(t.c.ID), "upstream": string(a.u.ID), "reason": err.Error(), "sends": strconv.Itoa(t.sends),
	}))
}

// served records what decided how the caller was served.
func (t *tries) served(a *attempt, status int) {
	u := a.u
	own, all := u.InFlight()
	p := t.out.pacing
	t.h.cfg.Metrics.Attempt(u.ID, status >= http.StatusInternalServerError)
	t.h.cfg.Metrics.Served(t.c.Route.Kind.String(), t.c.Team, p.first, p.longest)
	t.h.cfg.Events.Record(event.RequestServed, a.way.fields(timeline.Fields{
		"request": string(t.c.ID), "route": string(t.c.Route.Name), "team": string(t.c.Team),
		"upstream": string(u.ID), "own": strconv.Itoa(own), "all": strconv.Itoa(all),
		"model": string(t.c.Model), "adapter": string(t.c.Adapter), "priority": strconv.Itoa(t.c.Priority),
		"tokens_in": strconv.Itoa(int(t.c.TokensIn)), "tokens_out": strconv.Itoa(int(t.c.TokensOut)),
		"status": strconv.Itoa(status), "sends": strconv.Itoa(t.sends), "pieces": strconv.Itoa(p.pieces),
		"first_ms": timeline.Millis(p.first), "longest_pause_ms": timeline.Millis(p.longest), "paused_until_ms": timeline.Millis(p.longestAt), "total_ms": timeline.Millis(time.Since(p.began)),
	}))
}

// withheld records an attempt that was not sent.
func (t *tries) withheld(a *attempt, err error) {
	t.sends--
	t.h.cfg.Events.Record(event.AttemptWithheld, a.way.fields(timeline.Fields{
		"request": string(t.c.ID), "upstream": string(a.u.ID), "reason": err.Error(),
	}))
}

// unanswered judges an attempt that brought no answer.
func (t *tries) unanswered(a *attempt, err error) (again bool, _ error) {
	u := a.u
	t.failed(a, err)
	if errors.Is(err, courier.ErrNotSent) {
		u.MarkUnreachable()
		t.unreachable = append(t.unreachable, u.ID)
		return true, fault.New(fault.NoUpstream, "upstream %q cannot be reached: %w", u.ID, err)
	}
	t.ran = true
	t.tried = append(t.tried, u.ID)
	return t.c.Route.Idempotent() && len(t.tried) < t.c.Route.Attempts, err
}

// answered judges the head of an answer and hands the answer on.
func (t *tries) answered(a *attempt, w *watchdog) (again bool, err error) {
	u, got := a.u, a.got
	reply := t.h.cfg.Wire.ReadReply(got.Status, got.Header)
	if reply.HasLoad {
		own, _ := u.InFlight()
		u.SetOthersInFlight(max(reply.Load.Running+reply.Load.Waiting-own, 0))
	}
	if reply.NotRun {
		return t.notRun(a, reply)
	}
	t.ran = true
	t.tried = append(t.tried, u.ID)
	mayGoOn := t.c.Route.Idempotent() && len(t.tried) < t.c.Route.Attempts
	if got.Status >= http.StatusInternalServerError && mayGoOn && t.h.cfg.Budget.AllowsRetry() {
		return true, fault.New(fault.UpstreamFailed, "upstream %q answered %d", u.ID, got.Status)
	}
	if t.out.begun && got.Status != http.StatusOK {
		return mayGoOn, fault.New(fault.UpstreamFailed, "upstream %q answered %d to a resumed stream", u.ID, got.Status)
	}
	err = t.out.copy(t.c, got, func() { a.flight.Received(); w.heard() })
	if err == nil {
		t.served(a, got.Status)
		return false, nil
	}
	t.failed(a, err)
	var gone *clientGone
	// Only a stream of events can go on after a part of it went to the client.
	whole := !t.out.begun || t.c.Route.Kind == catalogue.Stream
	return mayGoOn && whole && !errors.As(err, &gone), err
}

// notRun judges an answer that says that the request did not run. An adapter
// that is on its way is waited for at the same engine.
func (t *tries) notRun(a *attempt, reply Reply) (again bool, err error) {
	u := a.u
	err = t.turnedAway(a)
	t.failed(a, err)
	if t.c.Adapter != "" {
		if reply.Misrouted {
			u.DropAdapter(t.c.wanted())
		}
		loop.Sleep(a.ctx, adapterRetry)
		return t.sends < 2, err
	}
	if len(t.tried)+1 >= t.c.Route.Attempts && !reply.Misrouted {
		return false, err
	}
	t.tried = append(t.tried, u.ID)
	return true, err
}
