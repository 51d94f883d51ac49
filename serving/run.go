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
	safeHedgeObjectives = 2
	// resumeAfter is how long a resumable stream may be silent before it goes on
	// at another upstream; clients leave after 2 s or later.
	streamSilenceTimeout = 1200 * time.Millisecond
	// adapterRetry is how long to wait where an engine does not have an adapter
	// yet that is being loaded.
	adapterRetryDelay = 15 * time.Millisecond
	// maxSends bounds the sends of one request, those included that upstreams
	// did not run.
	maxSends = 4
)

// errBegun tells that the answer to the client has begun and cannot be ended.
var errAnswerAborted = errors.New("the answer was broken off")

// run makes the attempts of a call.
func (h *Handler) run(ctx context.Context, c *Call, out *answer) error {
	if end := c.deadline(); !end.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end.Add(answerGrace))
		defer cancel()
	}
	h.cfg.Directory.Await(ctx)
	service, ok := h.picker.service(c.Route)
	if !ok {
		return fault.New(fault.NoUpstream, "no upstream of route %q can be used", c.Route.Name)
	}
	h.cfg.Budget.Request()
	if c.Model != "" {
		h.cfg.Loader.Asked(service, c.Model, c.TokensIn+c.TokensOut)
	}
	t := &attempts{h: h, c: c, out: out, service: service}
	return t.run(ctx)
}

// tries is the sequence of attempts of one call.
type attempts struct {
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
	mayHaveRun bool
	// next is an attempt that takes the place of a silent one.
	replacement *attempt
	// last is why the last attempt failed.
	lastErr error
}

// attempt is one sending of a call.
type attempt struct {
	u *roster.Upstream
	// permit allows it, nil where the upstream needs none.
	permit *shares.Permit
	// from is the event after which the upstream goes on.
	lastEvent string
	trace     attemptTrace
	// ctx ends the attempt, parent the call.
	ctx    context.Context
	parent context.Context
	cancel context.CancelFunc
	flight *roster.Flight
	resp   *courier.Answer
}

// all makes attempts until one is answered for good.
func (t *attempts) run(ctx context.Context) error {
	for {
		retry, err := t.runOne(ctx)
		if err == nil {
			t.discardReplacement()
			return nil
		}
		if errors.Is(err, courier.ErrWithheld) {
			continue // Nothing was sent.
		}
		t.lastErr = err
		if !retry || !t.mayRetry(ctx) {
			t.discardReplacement()
			return t.finalError(ctx, err)
		}
	}
}

// one makes one attempt, or goes on with the one that takes the place of a silent one.
func (t *attempts) runOne(ctx context.Context) (retry bool, err error) {
	if a := t.replacement; a != nil && a.lastEvent == t.out.resumeEventID(t.c) {
		t.replacement = nil
		return t.adoptReplacement(a)
	}
	if t.replacement != nil {
		t.discardReplacement()
		if !t.h.cfg.Budget.Repeat() {
			return false, t.lastErr
		}
	}
	a, err := t.choose(ctx)
	if err != nil {
		return false, err
	}
	return t.execute(ctx, a)
}

// mayRepeat reports whether one more send is allowed by the route, the budget
// and the time that is left.
func (t *attempts) mayRetry(ctx context.Context) bool {
	return ctx.Err() == nil && t.sends < maxSends && (t.replacement != nil || t.h.cfg.Budget.Repeat())
}

// giveUp returns the answer for a call that no attempt has served.
func (t *attempts) finalError(ctx context.Context, err error) error {
	switch {
	case t.out.headerSent:
		return errAnswerAborted
	case ctx.Err() != nil && t.mayHaveRun:
		return fault.New(fault.Timeout, "no answer in time: %w", err)
	case ctx.Err() != nil:
		return fault.New(fault.DeadlineUnmeetable, "no upstream could take the request in time")
	case t.mayHaveRun:
		return fault.New(fault.UpstreamFailed, "%w", err)
	}
	return err
}

// way is how an attempt went out, for the log: when its upstream was chosen, when
// its first byte was written (0 if none was), and how old the directory was then.
type attemptTrace struct {
	chosenAfter, writtenAfter, directoryAge time.Duration
}

// fields adds the way to the fields of an event.
func (w attemptTrace) fields(f timeline.Fields) timeline.Fields {
	f["chosen_ms"] = timeline.Millis(w.chosenAfter)
	if w.writtenAfter != 0 {
		f["written_ms"], f["directory_ms"] = timeline.Millis(w.writtenAfter), timeline.Millis(w.directoryAge)
	}
	return f
}

// once makes one attempt. Again tells that another one is allowed by what
// happened in it.
func (t *attempts) execute(ctx context.Context, a *attempt) (retry bool, err error) {
	t.sends++
	t.begin(ctx, a)
	w := t.startWatchdog(a)
	err = t.send(a)
	if err == nil {
		return t.finish(a, w)
	}
	defer a.cancel()
	w.stop()
	if errors.Is(err, courier.ErrWithheld) {
		a.flight.Drop()
		t.recordWithheld(a, err)
		return true, err
	}
	a.flight.End(!errors.Is(a.ctx.Err(), context.Canceled) || w.fired())
	return t.handleSendError(a, err)
}

// receive hands on the answer of an attempt whose head has come.
func (t *attempts) adoptReplacement(a *attempt) (retry bool, err error) {
	t.sends++
	return t.finish(a, t.startWatchdog(a))
}

// answer hands on the answer of an attempt that is watched.
func (t *attempts) finish(a *attempt, w *watchdog) (retry bool, err error) {
	defer a.cancel()
	defer a.resp.Body.Close()
	a.flight.Heard()
	retry, err = t.relayAnswer(a, w)
	w.stop()
	serverError := a.resp.Status >= http.StatusInternalServerError
	a.flight.End(err != nil && a.ctx.Err() == nil || serverError || w.fired())
	return retry, err
}

// begin counts an attempt in flight.
func (t *attempts) begin(ctx context.Context, a *attempt) {
	a.parent = ctx
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.trace = attemptTrace{chosenAfter: time.Since(t.c.received)}
	if t.c.Adapter != "" {
		t.h.cfg.Loader.Used(a.u.ID, t.c.modelAdapter())
	}
	a.flight = a.u.Begin(t.c.modelAdapter(), t.c.TokensIn)
}

// send sends an attempt and reads the head of its answer.
func (t *attempts) send(a *attempt) error {
	head := Attempt{Upstream: a.u.ID, Left: t.c.remaining(time.Now()), Priority: -1, LastEvent: a.lastEvent}
	if t.c.Model != "" {
		head.Priority = min(max(t.c.Priority, 0), lowestPriority)
	}
	resp, err := t.h.pools.get(a.u).Do(a.ctx, &courier.Request{
		Method: t.c.Method, Head: t.h.cfg.Wire.Head(t.c, head), Body: t.c.Body,
		Own:   func(status int, hd http.Header) bool { return t.h.cfg.Wire.Own(t.c, status, hd) },
		Check: func() error { return t.checkBeforeWrite(a) },
	})
	a.resp = resp
	return err
}

// check is called right before an attempt is written. The upstream may have left while
// the connection was made, and this VM may have stood still.
func (t *attempts) checkBeforeWrite(a *attempt) error {
	age := t.h.cfg.Directory.Age()
	if !t.h.cfg.Directory.InTime() {
		return fmt.Errorf("the directory was read %s ago", age.Round(time.Millisecond))
	}
	if !a.u.Usable() {
		return fmt.Errorf("upstream %q has left", a.u.ID)
	}
	if err := a.checkNotice(); err != nil {
		return err
	}
	t.h.notices.countWritten(a.u)
	a.trace.writtenAfter, a.trace.directoryAge = time.Since(t.c.received), age
	t.h.cfg.Metrics.Written(age)
	return nil
}

// lowestPriority is the last rank at engines.
const lowestPriority = 9

// failed records that an attempt failed.
func (t *attempts) recordFailed(a *attempt, err error) {
	t.h.cfg.Metrics.Attempt(a.u.ID, true)
	t.h.cfg.Events.Record(event.AttemptFailed, a.trace.fields(timeline.Fields{
		"request": string(t.c.ID), "upstream": string(a.u.ID), "reason": err.Error(), "sends": strconv.Itoa(t.sends),
	}))
}

// served records what decided how the caller was served.
func (t *attempts) recordServed(a *attempt, status int) {
	u := a.u
	own, all := u.InFlight()
	p := t.out.timing
	t.h.cfg.Metrics.Attempt(u.ID, status >= http.StatusInternalServerError)
	t.h.cfg.Metrics.Served(t.c.Route.Kind.String(), t.c.Team, p.firstChunk, p.longestPause)
	t.h.cfg.Events.Record(event.RequestServed, a.trace.fields(timeline.Fields{
		"request": string(t.c.ID), "route": string(t.c.Route.Name), "team": string(t.c.Team),
		"upstream": string(u.ID), "own": strconv.Itoa(own), "all": strconv.Itoa(all),
		"model": string(t.c.Model), "adapter": string(t.c.Adapter), "priority": strconv.Itoa(t.c.Priority),
		"tokens_in": strconv.Itoa(int(t.c.TokensIn)), "tokens_out": strconv.Itoa(int(t.c.TokensOut)),
		"status": strconv.Itoa(status), "sends": strconv.Itoa(t.sends), "pieces": strconv.Itoa(p.chunks),
		"first_ms": timeline.Millis(p.firstChunk), "longest_pause_ms": timeline.Millis(p.longestPause), "paused_until_ms": timeline.Millis(p.longestPauseEnd), "total_ms": timeline.Millis(time.Since(p.received)),
	}))
}

// withheld records an attempt that was not sent.
func (t *attempts) recordWithheld(a *attempt, err error) {
	t.sends--
	t.h.cfg.Events.Record(event.AttemptWithheld, a.trace.fields(timeline.Fields{
		"request": string(t.c.ID), "upstream": string(a.u.ID), "reason": err.Error(),
	}))
}

// unanswered judges an attempt that brought no answer.
func (t *attempts) handleSendError(a *attempt, err error) (retry bool, _ error) {
	u := a.u
	t.recordFailed(a, err)
	if errors.Is(err, courier.ErrNotSent) {
		u.Unreachable()
		t.unreachable = append(t.unreachable, u.ID)
		return true, fault.New(fault.NoUpstream, "upstream %q cannot be reached: %w", u.ID, err)
	}
	t.mayHaveRun = true
	t.tried = append(t.tried, u.ID)
	return t.c.Route.Idempotent() && len(t.tried) < t.c.Route.Attempts, err
}

// answered judges the head of an answer and hands the answer on.
func (t *attempts) relayAnswer(a *attempt, w *watchdog) (retry bool, err error) {
	u, resp := a.u, a.resp
	reply := t.h.cfg.Wire.ReadReply(resp.Status, resp.Header)
	if reply.HasLoad {
		own, _ := u.InFlight()
		u.SetOthers(max(reply.Load.Running+reply.Load.Waiting-own, 0))
	}
	if reply.NotRun {
		return t.handleNotRun(a, reply)
	}
	t.mayHaveRun = true
	t.tried = append(t.tried, u.ID)
	mayRetry := t.c.Route.Idempotent() && len(t.tried) < t.c.Route.Attempts
	if resp.Status >= http.StatusInternalServerError && mayRetry && t.h.cfg.Budget.Allows() {
		return true, fault.New(fault.UpstreamFailed, "upstream %q answered %d", u.ID, resp.Status)
	}
	if t.out.headerSent && resp.Status != http.StatusOK {
		return mayRetry, fault.New(fault.UpstreamFailed, "upstream %q answered %d to a resumed stream", u.ID, resp.Status)
	}
	err = t.out.copy(t.c, resp, func() { a.flight.Heard(); w.activity() })
	if err == nil {
		t.recordServed(a, resp.Status)
		return false, nil
	}
	t.recordFailed(a, err)
	var disconnected *clientDisconnected
	// Only a stream of events can go on after a part of it went to the client.
	resumable := !t.out.headerSent || t.c.Route.Kind == catalogue.Stream
	return mayRetry && resumable && !errors.As(err, &disconnected), err
}

// notRun judges an answer that says that the request did not run. An adapter
// that is on its way is waited for at the same engine.
func (t *attempts) handleNotRun(a *attempt, reply Reply) (retry bool, err error) {
	u := a.u
	err = t.rejectedError(a)
	t.recordFailed(a, err)
	if t.c.Adapter != "" {
		if reply.Mistaken {
			u.DropAdapter(t.c.modelAdapter())
		}
		loop.Pause(a.ctx, adapterRetryDelay)
		return t.sends < 2, err
	}
	if len(t.tried)+1 >= t.c.Route.Attempts && !reply.Mistaken {
		return false, err
	}
	t.tried = append(t.tried, u.ID)
	return true, err
}
