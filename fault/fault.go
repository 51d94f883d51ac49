// Package fault defines the kinds of errors that callers and operators can
// receive, and the one table that maps each kind to its response.
//
// [Describe] builds every error response from an [Answer] of this table: the
// HTTP status, the error code, whether the request is known not to have run,
// and when the client may retry.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Kind is a kind of error, one of those in [Table]; its text is the error code
// in responses. The zero Kind means that there is no error.
type Kind string

// The kinds of errors. [Table] holds their responses.
const (
	InvalidRequest     Kind = "invalid_request"
	TooLarge           Kind = "too_large"
	SlowRequest        Kind = "slow_request"
	Unauthenticated    Kind = "unauthenticated"
	KeyWithdrawn       Kind = "key_withdrawn"
	KeyUnverified      Kind = "key_unverified"
	Forbidden          Kind = "forbidden"
	NotFound           Kind = "not_found"
	Conflict           Kind = "conflict"
	RateLimited        Kind = "rate_limited"
	Overloaded         Kind = "overloaded"
	DeadlineUnmeetable Kind = "deadline_unmeetable"
	NoUpstream         Kind = "no_upstream"
	Quarantined        Kind = "quarantined"
	UpstreamFailed     Kind = "upstream_failed"
	OutcomeUnknown     Kind = "outcome_unknown"
	StoreUnavailable   Kind = "store_unavailable"
	NotReady           Kind = "not_ready"
	Stopping           Kind = "stopping"
	ConfigStale        Kind = "config_stale"
	Timeout            Kind = "timeout"
	Internal           Kind = "internal"
)

// Answer is the response that a client gets for a kind of error.
type Answer struct {
	Kind Kind
	// Status is the HTTP status.
	Status int
	// NotRun is set where no attempt to process the request can have started.
	NotRun bool
	// RetryAfter is the default time after which the client may retry; 0 means
	// that it must not retry the same request.
	RetryAfter time.Duration
	// Summary is the description in docs/ERRORS.md. It is not sent to clients.
	Summary string
}

// Table lists the responses to all kinds, in the order of docs/ERRORS.md.
var Table = []Answer{
	{InvalidRequest, 400, true, 0, "The request is malformed; the message names the field."},
	{TooLarge, 413, true, 0, "The header or the body exceeds the limit of the listener."},
	{SlowRequest, 408, true, 0, "The body of the request did not arrive in time."},
	{Unauthenticated, 401, true, 0, "The request has no key, or an unknown one."},
	{KeyWithdrawn, 401, false, 0, "The key was withdrawn; a stream in progress is aborted."},
	{KeyUnverified, 503, false, 2 * time.Second, "The VM is isolated from the log and cannot tell whether the key was withdrawn; a request in progress is aborted."},
	{Forbidden, 403, true, 0, "The key is valid, but its team may not use the route."},
	{NotFound, 404, true, 0, "The requested object does not exist."},
	{Conflict, 409, true, 0, "A concurrent change came first; the response contains the current value."},
	{RateLimited, 429, true, time.Second, "The team has exceeded its rate and burst."},
	{Overloaded, 503, true, time.Second, "The queue of the model is full, or the VM has no memory for the request."},
	{DeadlineUnmeetable, 503, true, time.Second, "The request would wait longer than the deadline of its route."},
	{NoUpstream, 503, true, time.Second, "No upstream can accept the request."},
	{Quarantined, 503, true, 0, "The request, or a part of its prompt, has crashed several engines. Requests like it are rejected."},
	{UpstreamFailed, 502, false, time.Second, "Upstreams failed after an attempt had started."},
	{OutcomeUnknown, 504, false, 0, "The attempt may or may not have run; look up the booking by its key."},
	{StoreUnavailable, 503, true, 2 * time.Second, "The platform's log cannot be reached."},
	{NotReady, 503, true, time.Second, "The VM has no state yet."},
	{Stopping, 503, true, time.Second, "The VM is shutting down."},
	{ConfigStale, 503, true, time.Second, "The last confirmation that the VM's configuration is the newest one is too old."},
	{Timeout, 504, false, time.Second, "The deadline passed, or the VM had to stop, after an attempt had started."},
	{Internal, 500, false, 0, "An internal error."},
}

// Lookup returns the response to kind, and that of Internal if the kind is
// unknown.
func Lookup(kind Kind) Answer {
	for _, a := range Table {
		if a.Kind == kind {
			return a
		}
	}
	return Answer{Kind: Internal, Status: 500, Summary: "An internal error."}
}

// Error is an error with the kind that determines its response.
type Error struct {
	Kind Kind
	// Message is sent to the client.
	Message string
	// RetryAfter overrides the default in [Table] if it is above 0.
	RetryAfter time.Duration
	// err is the wrapped cause, nil if there is none.
	err error
}

// New returns an error of the given kind with a formatted message. The format
// may wrap a cause with %w.
func New(kind Kind, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Kind: kind, Message: err.Error(), err: errors.Unwrap(err)}
}

// WithRetryAfter returns a copy of the error that tells the client to retry
// after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the kind and the message, separated by a colon.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// Unwrap returns the wrapped cause, nil if there is none.
func (e *Error) Unwrap() error {
	return e.err
}

// From returns the *Error in the chain of err. An error without one becomes
// an *Error of the kind Internal that wraps it.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Message: err.Error(), err: err}
}

// KindOf returns the kind of err: "" if it is nil, Internal if it has none.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return From(err).Kind
}

// Body is the JSON body of an error response.
type Body struct {
	Error Detail `json:"error"`
}

// Detail describes an error to a client.
type Detail struct {
	Code    Kind   `json:"code"`
	Message string `json:"message"`
	// NotRun is set where no attempt to process the request can have started.
	NotRun    bool   `json:"not_run"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterMS is when the client may retry, in milliseconds; 0 means never.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Describe returns the HTTP status, the time after which the client may retry
// (0 for never) and the body of the response to err.
func Describe(err error, requestID string) (int, time.Duration, Body) {
	e := From(err)
	a := Lookup(e.Kind)
	after := a.RetryAfter
	if e.RetryAfter > 0 {
		after = e.RetryAfter
	}
	d := Detail{
		Code:         a.Kind,
		Message:      e.Message,
		NotRun:       a.NotRun,
		RequestID:    requestID,
		RetryAfterMS: after.Milliseconds(),
	}
	return a.Status, after, Body{Error: d}
}
