package serving

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"toucanfall/catalogue"
	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
	"toucanfall/prefill"
	"toucanfall/ratelimit"
	"toucanfall/roster"
	"toucanfall/timeline"
	"toucanfall/transport"
)

// Bounds of attempts.
const (
	// answerGrace is how long after the deadline an upstream's answer is still awaited: it may
	// answer at the deadline itself, and the answer takes time to arrive.
	answerGrace = 80 * time.Millisecond
	// arrivalGrace is the same for an answer that has begun to arrive: a part that is lost on the way is sent again
	// after 200 ms or more. Final answers are owed 0.5 s after the route's timeout.
	arrivalGrace = 400 * time.Millisecond
	// confirmGrace is how long after the deadline an unframed answer that has ended may still be confirmed.
	confirmGrace = 450 * time.Millisecond
	// safeHedgeObjectives is how many times the route's objective a safe request waits for the
	// headers of an answer before another upstream is tried.
	safeHedgeObjectives = 2
	// streamSilenceTimeout is how long a resumable stream may be silent before it is resumed at
	// another upstream. Clients disconnect after 2 s at the earliest. It also applies to safe
	// requests of routes without an objective.
	streamSilenceTimeout = 1200 * time.Millisecond
	// adapterRetryDelay is the pause before a retry at an engine that is still loading the adapter.
	adapterRetryDelay = 15 * time.Millisecond
	// maxSends is how many times one request is sent at most, including sends that upstreams
	// did not run.
	maxSends = 4
)

// answerAborted is the error of a call that failed after its answer had begun: no error can be sent any
// more, and the connection is closed. cause is that of the call's context, nil if it had not ended.
type answerAborted struct{ err, cause error }

// Error returns the text of the error that ended the call.
func (e *answerAborted) Error() string { return "the answer was broken off: " + e.err.Error() }

// run sends a call to upstreams until one of them has answered it.
func (h *Handler) run(ctx context.Context, c *Call, out *answer) error {
	caller := ctx
	if end := c.deadline(); !end.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end.Add(answerGrace))
		defer cancel()
	}
	h.cfg.Directory.AwaitFresh(ctx)
	service, ok := h.picker.service(c)
	if !ok {
		return fault.New(fault.NoUpstream, "no upstream of route %q can be used", c.Route.Name)
	}
	h.retries.countRequest(service)
	if c.Model != "" {
		h.cfg.Loader.CountRequest(service, c.Model, c.TokensIn+c.TokensOut)
	}
	t := &attempts{h: h, c: c, out: out, service: service, caller: caller}
	defer t.returnRetry()
	return t.run(ctx)
}

// attempts is the sequence of attempts of one call. Only the callbacks of the watchdog run outside
// the goroutine that serves the call.
type attempts struct {
	h       *Handler
	c       *Call
	out     *answer
	service catalogue.ServiceID
	// caller ends when the client disconnects or the VM stops, whatever the deadline.
	caller context.Context
	// sends counts all sends; tried lists the upstreams that got the request.
	sends int
	tried []fleet.UpstreamID
	// unreachable lists the upstreams to which no connection could be made.
	unreachable []fleet.UpstreamID
	// mayHaveRun is set once an upstream may have run the request. The watchdog reads it.
	mayHaveRun atomic.Bool
	// replacement is an answered attempt that replaces a silent one. The watchdog sets it, and it is
	// read only after watchdog.stop, which waits for that.
	replacement *attempt
	// failedReplacements is the number of upstreams that may have run the request in place of a
	// silent one, and whose answer was not used. Only the watchdog changes it.
	failedReplacements atomic.Int32
	// arrived is set once a part of the request may have reached an upstream.
	arrived atomic.Bool
	// hasRetry is set while a retry has been taken from the budget and not been sent.
	hasRetry bool
	// interrupted is set once an attempt has broken off before it had gone well.
	interrupted bool
	// lastErr is why the last attempt failed.
	lastErr error

	mu sync.Mutex
	// sentTo lists the upstreams of all sends, whatever became of them. Guarded by mu.
	sentTo []fleet.UpstreamID
}

// markSent records that the request is about to be sent to an upstream, and reports whether it was
// before.
func (t *attempts) markSent(u fleet.UpstreamID) (again bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Contains(t.sentTo, u) {
		return true
	}
	t.sentTo = append(t.sentTo, u)
	return false
}

// attempt is one send of a call to one upstream.
type attempt struct {
	u *roster.Upstream
	// permit allows the send; it is nil where the upstream announces no limit.
	permit *ratelimit.Permit
	// credit allows the prompt to be sent; it is nil if none is needed.
	credit *prefill.Credit
	// lastEvent is the id of the event after which the upstream is to resume the stream.
	lastEvent string
	trace     attemptTrace
	// ctx is the context of the attempt, parent that of the call.
	ctx    context.Context
	parent context.Context
	cancel context.CancelFunc
	flight *roster.Flight
	// pool has the connection of the attempt.
	pool *transport.Pool
	resp *transport.Answer
	// evidence is what decided about the end of an answer without a frame.
	evidence Evidence
	// progressAt is when the first part of the answer came. sound is set once the run has gone well
	// for soundAfter, or ended well.
	progressAt time.Time
	sound      bool
}

// framing returns how the answer is framed, "" if there is none.
func (a *attempt) framing() transport.Framing {
	if a.resp == nil {
		return ""
	}
	return a.resp.Framing
}

// run makes attempts until one has answered the call or no retry is allowed.
func (t *attempts) run(ctx context.Context) error {
	for {
		retry, err := t.runOne(ctx)
		if err == nil {
			t.discardReplacement()
			return nil
		}
		if errors.Is(err, transport.ErrWithheld) {
			continue // Nothing was sent.
		}
		t.lastErr = err
		if !retry || !t.mayRetry(ctx) {
			t.discardReplacement()
			return t.finalError(ctx, err)
		}
	}
}

// runOne makes one attempt, or continues with the replacement of a silent one.
func (t *attempts) runOne(ctx context.Context) (retry bool, err error) {
	if a := t.replacement; a != nil && a.lastEvent == t.out.resumeEventID(t.c) {
		t.replacement = nil
		return t.adoptReplacement(a)
	}
	if t.replacement != nil {
		t.discardReplacement()
		if !t.takeRetry(ctx) {
			return false, t.lastErr
		}
	}
	a, err := t.choose(ctx)
	if err != nil {
		return false, err
	}
	return t.execute(ctx, a)
}

// mayRetry reports whether one more send is allowed by maxSends, the budget and the deadline, and
// after failed replacements by the route.
func (t *attempts) mayRetry(ctx context.Context) bool {
	if n := int(t.failedReplacements.Load()); n > 0 && len(t.tried)+n >= t.c.Route.Attempts && t.replacement == nil {
		return false
	}
	return ctx.Err() == nil && t.sends < maxSends && (t.replacement != nil || t.takeRetry(ctx))
}

// takeRetry takes a retry from the budget, unless one was taken that was not sent, or nothing was
// sent yet. It reports whether the call may be sent once more.
func (t *attempts) takeRetry(ctx context.Context) bool {
	if !t.arrived.Load() {
		return true
	}
	if !t.hasRetry {
		t.hasRetry = t.h.retries.take(ctx, t.service)
	}
	return t.hasRetry
}

// returnRetry returns a retry that was not sent to the budget.
func (t *attempts) returnRetry() {
	if t.hasRetry {
		t.h.retries.giveBack(t.service)
	}
}

// finalError returns the error of a call that no attempt has answered.
func (t *attempts) finalError(ctx context.Context, err error) error {
	switch {
	case t.out.headerSent:
		return &answerAborted{err, context.Cause(ctx)}
	case errors.Is(context.Cause(ctx), errStopped) && t.mayHaveRun.Load():
		return fault.New(fault.Timeout, "%w before the answer was complete", errStopped)
	case errors.Is(context.Cause(ctx), errStopped):
		return stoppingError()
	case ctx.Err() != nil && t.mayHaveRun.Load():
		return fault.New(fault.Timeout, "no answer in time: %w", err)
	case ctx.Err() != nil:
		return fault.New(fault.DeadlineUnmeetable, "no upstream could take the request in time")
	case t.mayHaveRun.Load():
		return fault.New(fault.UpstreamFailed, "%w", err)
	}
	return err
}

// attemptTrace is logged with an attempt: when its upstream was chosen and when its first byte was
// written, both since the receipt of the call (writtenAfter is 0 if none was), and the staleness of
// the directory when it was written.
type attemptTrace struct {
	chosenAfter, writtenAfter, directoryAge time.Duration
}

// fields adds the trace to the fields of an event.
func (tr attemptTrace) fields(f timeline.Fields) timeline.Fields {
	f["chosen_ms"] = timeline.Millis(tr.chosenAfter)
	if tr.writtenAfter != 0 {
		f["written_ms"], f["directory_ms"] = timeline.Millis(tr.writtenAfter), timeline.Millis(tr.directoryAge)
	}
	return f
}

// execute makes one attempt. It returns retry if the outcome allows another one.
func (t *attempts) execute(ctx context.Context, a *attempt) (retry bool, err error) {
	t.sends++
	t.out.open.sentTo(a.u.ID)
	t.begin(ctx, a)
	w := t.startWatchdog(a)
	err = t.send(a)
	if !notSent(err) {
		t.arrived.Store(true)
		t.hasRetry = false
	}
	if err == nil {
		return t.finish(a, w)
	}
	defer a.cancel()
	a.credit.Release()
	w.stop()
	if errors.Is(err, transport.ErrWithheld) {
		a.flight.Drop()
		t.recordWithheld(a, err)
		return true, err
	}
	a.flight.End(!errors.Is(a.ctx.Err(), context.Canceled) || w.fired())
	return t.handleSendError(a, err)
}

// adoptReplacement relays the answer of a replacement, whose headers have been received.
func (t *attempts) adoptReplacement(a *attempt) (retry bool, err error) {
	t.sends++
	t.out.open.sentTo(a.u.ID)
	return t.finish(a, t.startWatchdog(a))
}

// finish relays the answer of an attempt that w watches, and ends the attempt.
func (t *attempts) finish(a *attempt, w *watchdog) (retry bool, err error) {
	defer a.cancel()
	ctx, stop := t.graceContext(a, arrivalGrace)
	defer stop() // Closes the connection unless Body.Close has made it idle.
	a.resp.Rebind(ctx)
	defer a.resp.Body.Close()
	defer a.credit.Release()
	a.flight.Received()
	retry, err = t.relayAnswer(a, w)
	w.stop()
	serverError := a.resp.Status >= http.StatusInternalServerError
	a.flight.End(err != nil && a.ctx.Err() == nil || serverError || w.fired())
	return retry, err
}

// begin counts an attempt as in flight.
func (t *attempts) begin(ctx context.Context, a *attempt) {
	a.parent = ctx
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.trace = attemptTrace{chosenAfter: time.Since(t.c.received)}
	if t.c.Adapter != "" {
		t.h.cfg.Loader.RecordUse(a.u.ID, t.c.modelAdapter())
	}
	a.flight = a.u.Begin(t.c.modelAdapter(), t.c.TokensIn)
}

// send sends an attempt and reads the headers of its answer.
func (t *attempts) send(a *attempt) error {
	head := AttemptHeader{Upstream: a.u.ID, Remaining: t.c.remaining(time.Now()), Priority: -1, LastEvent: a.lastEvent}
	if t.c.Model != "" {
		head.Priority = min(max(t.c.Priority, 0), lowestPriority)
	}
	a.pool = t.h.pools.get(a.u)
	resp, err := a.pool.Do(a.ctx, &transport.Request{
		// A faulty upstream may write its last answer to a request that comes again once more, and
		// answers to a request without an id cannot be told from others.
		Method: t.c.Method, Fresh: t.markSent(a.u.ID) || t.c.ID == "", Head: t.h.cfg.Wire.Head(t.c, head), Body: t.c.Body,
		IsAnswer: func(status int, hd http.Header, alone bool) bool {
			return t.h.cfg.Wire.IsAnswerTo(t.c, status, hd, alone)
		},
		Check: func() error { return t.checkBeforeWrite(a) },
	})
	a.resp = resp
	return err
}

// checkBeforeWrite is called just before an attempt is written. While the connection was opened
// the upstream may have left, or this VM may have been suspended.
func (t *attempts) checkBeforeWrite(a *attempt) error {
	staleness := t.h.cfg.Directory.Staleness()
	if !t.h.cfg.Directory.Fresh() {
		return fmt.Errorf("the directory was last confirmed %s ago", staleness.Round(time.Millisecond))
	}
	if a.u.Evacuated() {
		return fmt.Errorf("the data centre of upstream %q is evacuated", a.u.ID)
	}
	if !a.u.Usable() {
		return fmt.Errorf("upstream %q has left", a.u.ID)
	}
	if !t.h.picker.allowed(a.u, t.c) {
		return fmt.Errorf("upstream %q is in a region that the request does not allow", a.u.ID)
	}
	if err := a.checkNotice(); err != nil {
		return err
	}
	if err := t.h.checkParts(t.c); err != nil {
		return err
	}
	if err := t.checkStop(); err != nil {
		return err
	}
	t.h.notices.countWritten(a.u)
	a.trace.writtenAfter, a.trace.directoryAge = time.Since(t.c.received), staleness
	t.h.cfg.Metrics.DirectoryAgeAtSend(staleness)
	return nil
}

// lowestPriority is the least urgent rank that engines accept; 0 is the most urgent.
const lowestPriority = 9

// recordFailed records that an attempt failed.
func (t *attempts) recordFailed(a *attempt, err error) {
	t.h.cfg.Metrics.Attempt(a.u.ID, true)
	t.h.cfg.Events.Record(event.AttemptFailed, a.trace.fields(timeline.Fields{
		"request": string(t.c.ID), "upstream": string(a.u.ID), "reason": err.Error(), "sends": strconv.Itoa(t.sends),
		"framing": string(a.framing()), "evidence": string(a.evidence), "parts": fleet.FormatParts(t.c.Parts),
	}))
}

// recordServed records a served request and what determined its latency.
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
		"status": strconv.Itoa(status), "framing": string(a.framing()), "evidence": string(a.evidence), "sends": strconv.Itoa(t.sends), "pieces": strconv.Itoa(p.chunks),
		"first_ms": timeline.Millis(p.firstChunk), "longest_pause_ms": timeline.Millis(p.longestPause), "paused_until_ms": timeline.Millis(p.longestPauseEnd), "total_ms": timeline.Millis(time.Since(p.received)),
	}))
}

// recordWithheld records an attempt that was not sent. It does not count as a send.
func (t *attempts) recordWithheld(a *attempt, err error) {
	t.sends--
	t.h.cfg.Events.Record(event.AttemptWithheld, a.trace.fields(timeline.Fields{
		"request": string(t.c.ID), "upstream": string(a.u.ID), "reason": err.Error(),
	}))
}

// handleSendError handles an attempt that got no answer.
func (t *attempts) handleSendError(a *attempt, err error) (retry bool, _ error) {
	u := a.u
	t.recordFailed(a, err)
	if errors.Is(err, transport.ErrNotSent) {
		u.MarkUnreachable()
		t.unreachable = append(t.unreachable, u.ID)
		return true, fault.New(fault.NoUpstream, "upstream %q cannot be reached: %w", u.ID, err)
	}
	t.mayHaveRun.Store(true)
	t.tried = append(t.tried, u.ID)
	return t.checkCrash(a, t.c.Route.Idempotent() && len(t.tried) < t.c.Route.Attempts), err
}

// relayAnswer decides by the headers of an answer whether to retry, and otherwise sends the answer
// to the client.
func (t *attempts) relayAnswer(a *attempt, w *watchdog) (retry bool, err error) {
	u, resp := a.u, a.resp
	reply := t.h.cfg.Wire.ReadReply(resp.Status, resp.Header)
	if reply.HasLoad && !reply.Misrouted { // Otherwise the load is that of another upstream.
		u.ApplyLoad(reply.Load, time.Now())
		a.credit.ReportLoad(reply.Load.Running + reply.Load.Waiting)
	}
	if reply.NotRun {
		return t.handleNotRun(a, reply)
	}
	t.mayHaveRun.Store(true)
	t.tried = append(t.tried, u.ID)
	mayRetry := t.c.Route.Idempotent() && len(t.tried) < t.c.Route.Attempts
	if guaranteesNotRun(resp.Status) {
		err = fault.New(fault.UpstreamFailed, "upstream %q may have run the request and answered %d", u.ID, resp.Status)
		t.recordFailed(a, err)
		return mayRetry, err
	}
	if mayRetry && t.retriesServerError(a) {
		return true, fault.New(fault.UpstreamFailed, "upstream %q answered %d", u.ID, resp.Status)
	}
	if t.out.headerSent && !isEventStream(resp) {
		return mayRetry, fault.New(fault.UpstreamFailed, "upstream %q answered %d without a stream to a resumed stream", u.ID, resp.Status)
	}
	in := &incomingAnswer{
		Answer: resp,
		onProgress: func() {
			a.credit.FirstEvent()
			a.flight.Received()
			t.recordProgress(a)
			w.activity()
		},
		confirm: func() Evidence { return t.confirm(a, mayRetry) },
	}
	err = t.out.copy(t.c, in)
	if resp.Framing == transport.Unframed {
		a.evidence = cmp.Or(in.evidence, EvidenceNone)
		t.h.cfg.Metrics.UnframedAnswer(err == nil, string(a.evidence))
	}
	if err != nil {
		return t.handleBreak(a, mayRetry, err)
	}
	if resp.Status < http.StatusMultipleChoices {
		t.recordSound(a)
	}
	t.recordServed(a, resp.Status)
	return false, nil
}

// retriesServerError reports whether the answer of an attempt is an error of the upstream for which
// the call is sent once more. Otherwise the client gets that answer.
func (t *attempts) retriesServerError(a *attempt) bool {
	return a.resp.Status >= http.StatusInternalServerError && t.sends < maxSends && t.takeRetry(a.parent)
}

// guaranteesNotRun reports whether a status tells the client that its request has not run. The gateway
// passes none of them on from an upstream that does not state that in another way.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// confirm returns what shows whether the answer of an attempt, which ended with its connection, is whole. A whole answer
// is delivered also if this shows only after the deadline, by at most confirmGrace.
func (t *attempts) confirm(a *attempt, mayRetry bool) Evidence {
	ctx, cancel := t.graceContext(a, confirmGrace)
	defer cancel()
	within := finalConfirmTimeout
	if mayRetry && t.canResume(a) {
		within = confirmTimeout
	}
	return t.h.crashes.confirm(ctx, a.u, a.pool, within)
}

// graceContext returns a context that ends with that of an attempt, but only grace after the deadline of the call.
func (t *attempts) graceContext(a *attempt, grace time.Duration) (context.Context, context.CancelFunc) {
	end := t.c.deadline()
	if end.IsZero() {
		return context.WithCancel(a.ctx)
	}
	ctx, cancel := context.WithDeadline(t.caller, end.Add(grace))
	stop := context.AfterFunc(a.ctx, func() {
		if !isDeadline(a.ctx.Err()) {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// canResume reports whether another attempt could go on with the answer of one that has broken off. Once a part of it
// was sent, only a stream of events can be resumed.
func (t *attempts) canResume(a *attempt) bool {
	return !t.out.headerSent || t.c.Route.Kind == catalogue.Stream && isEventStream(a.resp)
}

// handleBreak handles an answer that could not be sent completely.
func (t *attempts) handleBreak(a *attempt, mayRetry bool, err error) (retry bool, _ error) {
	t.recordFailed(a, err)
	var disconnected *clientDisconnected
	if errors.As(err, &disconnected) {
		return false, err
	}
	return t.checkCrash(a, mayRetry && t.canResume(a)), err
}

// handleNotRun handles an answer that states that the request did not run. If the call names an
// adapter, the engine may still be loading it: after a pause the request is retried, but only if this
// was its first send.
func (t *attempts) handleNotRun(a *attempt, reply Reply) (retry bool, err error) {
	u := a.u
	err = t.rejectedError(a)
	t.recordFailed(a, err)
	if t.c.Adapter != "" {
		if reply.Misrouted {
			u.DropAdapter(t.c.modelAdapter())
		}
		loop.Sleep(a.ctx, adapterRetryDelay)
		return t.sends < 2, err
	}
	if len(t.tried)+1 >= t.c.Route.Attempts && !reply.Misrouted {
		return false, err
	}
	t.tried = append(t.tried, u.ID)
	return true, err
}
