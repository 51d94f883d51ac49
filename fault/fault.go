// Package fault is the closed list of error kinds that callers and operators
// can meet, and the one table from a kind to its answer.
//
// Every refusal goes through [Answer]: the status, the code, whether the
// request is known not to have run, and when the client may come back.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Kind is one of the kinds in the table. The zero Kind means "no error".
type Kind string

// The kinds of errors. Their answers are in the table.
const (
	InvalidRequest     Kind = "invalid_request"
	TooLarge           Kind = "too_large"
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
	UpstreamFailed     Kind = "upstream_failed"
	OutcomeUnknown     Kind = "outcome_unknown"
	StoreUnavailable   Kind = "store_unavailable"
	NotReady           Kind = "not_ready"
	Stopping           Kind = "stopping"
	ConfigStale        Kind = "config_stale"
	Timeout            Kind = "timeout"
	Internal           Kind = "internal"
)

// Answer is what a client gets for a kind of error.
type Answer struct {
	Kind   Kind
	Status int
	// NotRun is set where no attempt at the work can have started.
	NotRun bool
	// RetryAfter is the default; 0 tells the client not to come back with the
	// same request.
	RetryAfter time.Duration
	Summary    string
}

// Table lists the answers of all kinds, in the order of the documentation.
var Table = []Answer{
	{InvalidRequest, 400, true, 0, "The request cannot be understood; the message names the field."},
	{TooLarge, 413, true, 0, "The header or body is above the limit of the listener."},
	{Unauthenticated, 401, true, 0, "No key, or a key that is not known."},
	{KeyWithdrawn, 401, false, 0, "The key was withdrawn; a stream in progress is cut off."},
	{KeyUnverified, 503, false, 2 * time.Second, "The VM is cut off and cannot learn whether the key was withdrawn; a request in progress is cut off."},
	{Forbidden, 403, true, 0, "The key is valid, but its team may not use the route."},
	{NotFound, 404, true, 0, "The named thing does not exist."},
	{Conflict, 409, true, 0, "Another change came first; the current value is in the answer."},
	{RateLimited, 429, true, time.Second, "The team is over its rate and burst."},
	{Overloaded, 503, true, time.Second, "The queue of the model is full."},
	{DeadlineUnmeetable, 503, true, time.Second, "The request would wait longer than the deadline of its route."},
	{NoUpstream, 503, true, time.Second, "No upstream can take the request."},
	{UpstreamFailed, 502, false, time.Second, "Upstreams failed after an attempt had started."},
	{OutcomeUnknown, 504, false, 0, "The attempt may or may not have run; look the booking up by its key."},
	{StoreUnavailable, 503, true, 2 * time.Second, "The platform's log cannot be reached."},
	{NotReady, 503, true, time.Second, "The VM has no state yet."},
	{Stopping, 503, true, time.Second, "The VM is about to stop."},
	{ConfigStale, 503, true, time.Second, "The VM has not heard lately whether its configuration is the newest one."},
	{Timeout, 504, false, time.Second, "The deadline passed after an attempt had started."},
	{Internal, 500, false, 0, "A fault of the system."},
}

// Lookup returns the answer of kind. An unknown kind has the answer of
// Internal.
func Lookup(kind Kind) Answer {
	for _, a := range Table {
		if a.Kind == kind {
			return a
		}
	}
	return Answer{Kind: Internal, Status: 500, Summary: "A fault of the system."}
}

// Error is an error with its kind.
type Error struct {
	Kind    Kind
	Message string
	// RetryAfter overrides the default of the table if it is above 0.
	RetryAfter time.Duration
	err        error
}

// New returns an error of the given kind. The format may wrap a cause by %w.
func New(kind Kind, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Kind: kind, Message: err.Error(), err: errors.Unwrap(err)}
}

// After returns a copy of the error with another time to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the kind and the message.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.err
}

// From returns err as an *Error. Errors without a kind become Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Message: err.Error(), err: err}
}

// KindOf returns the kind of err, "" for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return From(err).Kind
}

// Body is the JSON body of an error answer.
type Body struct {
	Error Detail `json:"error"`
}

// Detail describes an error to a client.
type Detail struct {
	Code      Kind   `json:"code"`
	Message   string `json:"message"`
	NotRun    bool   `json:"not_run"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterMS is when to come back, in milliseconds; 0 means never.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Describe returns the status and body for err.
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
