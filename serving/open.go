package serving

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/ingress"
	"toucanfall/timeline"
)

// BreakReason is the reason for which an answer was broken off, or the connection of a request that was
// read was closed. Its text is the field reason of the event and the label of the metric.
type BreakReason string

// The reasons.
const (
	// BreakReaderSlow is a client that did not accept bytes within writeTimeout.
	BreakReaderSlow BreakReason = "reader_slow"
	// BreakClientGone is a client that closed its connection.
	BreakClientGone BreakReason = "client_gone"
	// BreakNoMemory is an incomplete event, or an answer that must not be cut, for which the budget of bytes has
	// no space.
	BreakNoMemory BreakReason = "no_memory"
	// BreakUnconfirmed is an unframed answer whose upstream did not show after it that it still lives.
	BreakUnconfirmed BreakReason = "upstream_unconfirmed"
	// BreakUpstream is an upstream that broke off its answer, or whose answer cannot be proved whole.
	BreakUpstream BreakReason = "upstream_broke_off"
	// BreakTimeout is the end of the route's or the client's timeout.
	BreakTimeout BreakReason = "timeout"
	// BreakStop is the end of a planned stop.
	BreakStop BreakReason = "stop"
	// BreakPanic is a panic while the request was served.
	BreakPanic BreakReason = "panic"
	// BreakClosed is a connection that this process closed before its request ran: for a new one, or idle
	// at a stop.
	BreakClosed BreakReason = "connection_closed"
)

// BreakReasons lists all reasons.
var BreakReasons = []BreakReason{
	BreakReaderSlow, BreakClientGone, BreakNoMemory, BreakUnconfirmed, BreakUpstream, BreakTimeout, BreakStop, BreakPanic, BreakClosed,
}

// breakError is an error with the reason for which it breaks off an answer.
type breakError struct {
	reason BreakReason
	err    error
}

// Error returns the text of the cause.
func (e *breakError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *breakError) Unwrap() error { return e.err }

// breakReason returns the reason for which err breaks off an answer. cause is that of the call's context.
func breakReason(err, cause error) BreakReason {
	var known *breakError
	var client *clientDisconnected
	switch {
	case errors.As(err, &known):
		return known.reason
	case errors.As(err, &client) && client.slow():
		return BreakReaderSlow
	case errors.As(err, &client):
		return BreakClientGone
	case errors.As(cause, &known):
		return known.reason
	case isDeadline(cause):
		return BreakTimeout
	case cause != nil:
		return BreakClientGone
	}
	return BreakUpstream
}

// openRequests holds the requests in progress. The zero openRequests has none. It is safe for concurrent
// use.
type openRequests struct {
	mu   sync.Mutex
	open map[*openRequest]struct{} // Guarded by mu.
	// unansweredEnded is set once the requests whose answer has not begun have been ended. Guarded by mu.
	unansweredEnded bool
}

// openRequest is a request in progress.
type openRequest struct {
	set      *openRequests
	id       fleet.RequestID
	received time.Time

	// The fields below are guarded by set.mu.

	// cancel ends the request; it is nil until the request was read completely.
	cancel context.CancelCauseFunc
	status int // 0 until the answer has begun.
	// broken is set once the event of its end without an answer was recorded.
	broken bool
	// upstream is the upstream whose answer is sent, or was last awaited.
	upstream fleet.UpstreamID
}

func (s *openRequests) add(id fleet.RequestID, received time.Time) *openRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*openRequest]struct{})
	}
	o := &openRequest{set: s, id: id, received: received}
	s.open[o] = struct{}{}
	return o
}

func (o *openRequest) remove() {
	o.set.mu.Lock()
	defer o.set.mu.Unlock()
	delete(o.set.open, o)
}

// markRead records that the request was read completely, and how to end it.
func (o *openRequest) markRead(cancel context.CancelCauseFunc) {
	o.set.mu.Lock()
	defer o.set.mu.Unlock()
	o.cancel = cancel
	if o.set.unansweredEnded {
		cancel(errStopped)
	}
}

// isStopped reports whether a planned stop has ended the requests whose answer has not begun.
func (o *openRequest) isStopped() bool {
	o.set.mu.Lock()
	defer o.set.mu.Unlock()
	return o.set.unansweredEnded
}

// sentTo records the upstream whose answer is awaited.
func (o *openRequest) sentTo(u fleet.UpstreamID) {
	o.set.mu.Lock()
	defer o.set.mu.Unlock()
	o.upstream = u
}

// begin records that an answer with a status begins.
func (o *openRequest) begin(status int) {
	o.set.mu.Lock()
	defer o.set.mu.Unlock()
	o.status = status
}

// firstBreak reports whether the end of the request without an answer was not recorded before.
func (o *openRequest) firstBreak() bool {
	o.set.mu.Lock()
	defer o.set.mu.Unlock()
	first := !o.broken
	o.broken = true
	return first
}

// hasBegun reports whether the answer has begun.
func (o *openRequest) hasBegun() bool {
	o.set.mu.Lock()
	defer o.set.mu.Unlock()
	return o.status != 0
}

// fields describes the request for the log.
func (o *openRequest) fields() timeline.Fields {
	o.set.mu.Lock()
	defer o.set.mu.Unlock()
	return timeline.Fields{
		"request": string(o.id), "upstream": string(o.upstream), "begun": strconv.FormatBool(o.status != 0),
		"status": strconv.Itoa(o.status), "age_ms": timeline.Millis(time.Since(o.received)),
	}
}

// recordBroken records that a request ends without a complete answer.
func (h *Handler) recordBroken(o *openRequest, reason BreakReason, err error) {
	if !o.firstBreak() {
		return
	}
	h.cfg.Metrics.AnswerBroken(string(reason))
	f := o.fields()
	f["reason"], f["detail"] = string(reason), err.Error()
	h.cfg.Events.Record(event.AnswerBroken, f)
}

// RecordClosed records that this process closed the connection of a request before the request ran.
func (h *Handler) RecordClosed(r *http.Request) {
	o := h.open.add(h.cfg.Wire.ID(r), time.Now())
	defer o.remove()
	h.recordBroken(o, BreakClosed, ingress.ErrClosed)
}

// errStopped is the cause of the end of requests that a planned stop cuts.
var errStopped = &breakError{BreakStop, errors.New("this VM has to stop")}

// EndUnanswered ends the requests that were read and whose answer has not begun, now and from now on. They
// get an error: that the request has not run, or, once it was sent to an upstream, that it may have.
func (h *Handler) EndUnanswered() {
	h.open.mu.Lock()
	defer h.open.mu.Unlock()
	h.open.unansweredEnded = true
	for o := range h.open.open {
		if o.cancel != nil && o.status == 0 {
			o.cancel(errStopped)
		}
	}
}

// CutAnswers breaks off the answers that have begun.
func (h *Handler) CutAnswers() {
	for _, o := range h.open.list() {
		o.cancel(errStopped)
	}
}

// RecordCut records the requests that were read and are still in progress as ended by the stop of the
// process. It returns their number.
func (h *Handler) RecordCut() int {
	all := h.open.list()
	for _, o := range all {
		h.recordBroken(o, BreakStop, errStopped)
	}
	return len(all)
}

// list returns the requests that were read.
func (s *openRequests) list() []*openRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*openRequest
	for o := range s.open {
		if o.cancel != nil {
			out = append(out, o)
		}
	}
	return out
}

// isDeadline reports whether a context ended at its deadline.
func isDeadline(cause error) bool { return errors.Is(cause, context.DeadlineExceeded) }
