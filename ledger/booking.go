package ledger

import (
	"errors"
	"fmt"
	"slices"

	"toucanfall/fault"
	"toucanfall/fleet"
)

// The kinds of records about bookings.
const (
	KindBookingClaim   Kind = "booking_claim"
	KindBookingOutcome Kind = "booking_outcome"
	KindBookingExpire  Kind = "booking_expire"
)

// BookingKey identifies a booking, a non-idempotent request to a service. It
// consists of team, route and the caller's idempotency key, joined by newlines.
type BookingKey string

// NewBookingKey returns the key of a caller's booking.
func NewBookingKey(team fleet.TeamID, route fleet.RouteID, idempotencyKey string) BookingKey {
	return BookingKey(fmt.Sprintf("%s\n%s\n%s", team, route, idempotencyKey))
}

// BookingStatus is the progress of a booking.
type BookingStatus string

// The statuses of a booking.
const (
	// BookingClaimed means that a VM may have made the only attempt.
	BookingClaimed BookingStatus = "claimed"
	// BookingDone means that the upstream's answer is stored.
	BookingDone BookingStatus = "done"
	// BookingNotRun means that no attempt was made, or that the upstream answered
	// that it did not execute the request.
	BookingNotRun BookingStatus = "not_run"
	// BookingUnknown means that the upstream may or may not have executed the
	// attempt.
	BookingUnknown BookingStatus = "outcome_unknown"
)

// BookingClaim gives one request the right to the only attempt at a booking.
type BookingClaim struct {
	Key     BookingKey      `json:"key"`
	Request fleet.RequestID `json:"request"`
	// BodyHash is the hash of the request body. It shows whether a repeated
	// request is the same one.
	BodyHash fleet.KeyHash `json:"body_hash"`
	// ClaimedMS and ExpiresMS are readings of the proposer's wall clock, in
	// milliseconds since the Unix epoch. The key is remembered until ExpiresMS;
	// 0 means that it never expires.
	ClaimedMS int64 `json:"claimed_ms,omitempty"`
	ExpiresMS int64 `json:"expires_ms,omitempty"`
}

// UnmarshalJSON decodes and checks a claim.
func (c *BookingClaim) UnmarshalJSON(b []byte) error {
	type plain BookingClaim
	return fleet.DecodeChecked(b, (*plain)(c), c.check)
}

func (c *BookingClaim) check() error {
	if c.Key == "" || c.Request == "" {
		return errors.New("booking claim needs key and request")
	}
	return nil
}

// BookingOutcome records the result of a claimed booking.
type BookingOutcome struct {
	Key     BookingKey      `json:"key"`
	Request fleet.RequestID `json:"request"`
	Status  BookingStatus   `json:"status"`
	// HTTPStatus, ContentType and Body are the upstream's answer.
	HTTPStatus  int    `json:"http_status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted is set if the body was too large to be stored.
	BodyOmitted bool `json:"body_omitted,omitempty"`
	// ExpiresMS is the expiry of the claim. It is used if the outcome precedes the
	// claim in the log.
	ExpiresMS int64 `json:"expires_ms,omitempty"`
}

// UnmarshalJSON decodes and checks an outcome.
func (o *BookingOutcome) UnmarshalJSON(b []byte) error {
	type plain BookingOutcome
	return fleet.DecodeChecked(b, (*plain)(o), o.check)
}

func (o *BookingOutcome) check() error {
	if o.Key == "" || o.Request == "" {
		return errors.New("booking outcome needs key and request")
	}
	switch o.Status {
	case BookingDone, BookingNotRun, BookingUnknown:
		return nil
	default:
		return fmt.Errorf("booking outcome has unknown status %q", o.Status)
	}
}

// Booking is the state of a booking.
type Booking struct {
	Claim   BookingClaim   `json:"claim"`
	Status  BookingStatus  `json:"status"`
	Outcome BookingOutcome `json:"outcome,omitzero"`
}

// BookingExpire removes the bookings that have expired.
type BookingExpire struct {
	// BeforeMS is a reading of the proposer's wall clock, in milliseconds since
	// the Unix epoch. Bookings whose ExpiresMS is not after it are removed.
	BeforeMS int64 `json:"before_ms"`
}

// UnmarshalJSON decodes and checks an expiry.
func (e *BookingExpire) UnmarshalJSON(b []byte) error {
	type plain BookingExpire
	return fleet.DecodeChecked(b, (*plain)(e), e.check)
}

func (e *BookingExpire) check() error {
	if e.BeforeMS <= 0 {
		return errors.New("booking expiry needs before_ms above 0")
	}
	return nil
}

// Expired reports whether the booking has expired at atMS, in milliseconds since
// the Unix epoch.
func (b Booking) Expired(atMS int64) bool {
	return b.Claim.ExpiresMS != 0 && b.Claim.ExpiresMS <= atMS
}

// applyBookingClaim accepts the first claim of a booking. A claim may replace one
// that ended as not_run, because nothing was executed under it. The new claim
// must be based on the revision of that outcome, so that a delayed copy of an
// older claim cannot take the booking. A duplicate of the holder's claim is
// accepted as long as the booking has not ended.
func applyBookingClaim(s *State, offset fleet.Offset, r Record, b BookingClaim) Verdict {
	old, ok := s.Bookings.Get(b.Key)
	if ok && old.Value.Expired(b.ClaimedMS) && old.Value.Claim.Request != b.Request {
		s.Bookings.remove(b.Key)
		ok = false
	}
	switch {
	case !ok:
		r.Base = 0
	case old.Value.Claim.Request == b.Request && old.Value.Status == BookingClaimed:
		return Verdict{Offset: offset, Revision: old.Revision}
	case old.Value.Status != BookingNotRun:
		return reject(offset, fault.Conflict, "booking is held by request %q and stands as %s", old.Value.Claim.Request, old.Value.Status)
	}
	return putBooking(s, offset, r, Booking{Claim: b, Status: BookingClaimed})
}

// applyBookingOutcome accepts the first outcome that the holder of the claim
// reports. A proposer that stopped waiting for its claim may report not_run
// before the claim is appended; the claim is then rejected because the booking
// has already ended.
func applyBookingOutcome(s *State, offset fleet.Offset, r Record, b BookingOutcome) Verdict {
	old, ok := s.Bookings.Get(b.Key)
	r.Base = old.Revision
	if !ok {
		if b.Status != BookingNotRun {
			return reject(offset, fault.NotFound, "booking was never claimed")
		}
		claim := BookingClaim{Key: b.Key, Request: b.Request, ExpiresMS: b.ExpiresMS}
		return putBooking(s, offset, r, Booking{Claim: claim, Status: b.Status, Outcome: b})
	}
	if old.Value.Claim.Request != b.Request {
		return reject(offset, fault.Conflict, "booking is claimed by request %q", old.Value.Claim.Request)
	}
	if old.Value.Status != BookingClaimed {
		return reject(offset, fault.Conflict, "booking has ended as %s", old.Value.Status)
	}
	next := old.Value
	next.Status = b.Status
	next.Outcome = b
	return putBooking(s, offset, r, next)
}

// allowedTransitions lists the statuses that may follow each status. A booking
// that was or may have been executed never becomes claimed again.
var allowedTransitions = map[BookingStatus][]BookingStatus{
	"":             {BookingClaimed, BookingNotRun},
	BookingClaimed: {BookingDone, BookingNotRun, BookingUnknown},
	BookingNotRun:  {BookingClaimed},
}

// putBooking stores a booking and rejects a transition that is not allowed.
func putBooking(s *State, offset fleet.Offset, r Record, next Booking) Verdict {
	old, _ := s.Bookings.Get(next.Claim.Key)
	if !slices.Contains(allowedTransitions[old.Value.Status], next.Status) {
		return reject(offset, fault.Internal, "booking must not pass from %q into %q", old.Value.Status, next.Status)
	}
	return s.Bookings.put(offset, r, next.Claim.Key, next)
}

// applyBookingExpire removes the bookings that had expired by the proposer's
// clock. A duplicate finds nothing left to remove.
func applyBookingExpire(s *State, offset fleet.Offset, _ Record, b BookingExpire) Verdict {
	for _, k := range s.Bookings.Keys() {
		if e, ok := s.Bookings.Get(k); ok && e.Value.Expired(b.BeforeMS) {
			s.Bookings.remove(k)
		}
	}
	return Verdict{Offset: offset}
}
