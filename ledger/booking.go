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

// BookingKey identifies a booking: team, route and the caller's idempotency
// key, joined by newlines.
type BookingKey string

// NewBookingKey returns the key of a caller's booking.
func NewBookingKey(team fleet.TeamID, route fleet.RouteID, idempotencyKey string) BookingKey {
	return BookingKey(fmt.Sprintf("%s\n%s\n%s", team, route, idempotencyKey))
}

// BookingStatus is how far a booking got.
type BookingStatus string

// The states of a booking.
const (
	// BookingClaimed means that a VM may have made its one attempt.
	BookingClaimed BookingStatus = "claimed"
	// BookingDone means that the upstream's answer is stored.
	BookingDone BookingStatus = "done"
	// BookingNotRun means that no attempt was made, or the upstream said so.
	BookingNotRun BookingStatus = "not_run"
	// BookingUnknown means that the attempt may or may not have run.
	BookingUnknown BookingStatus = "outcome_unknown"
)

// BookingClaim gives one request the right to the only attempt at a booking.
type BookingClaim struct {
	Key     BookingKey      `json:"key"`
	Request fleet.RequestID `json:"request"`
	// BodyHash tells whether a repeat asks for the same thing.
	BodyHash fleet.KeyHash `json:"body_hash"`
	// ClaimedMS and ExpiresMS are readings of the proposer's wall clock, in
	// milliseconds since the Unix epoch. The key is remembered until the later
	// one; 0 means for good.
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

// BookingOutcome ends a claimed booking.
type BookingOutcome struct {
	Key     BookingKey      `json:"key"`
	Request fleet.RequestID `json:"request"`
	Status  BookingStatus   `json:"status"`
	// HTTPStatus, ContentType and Body are the upstream's answer.
	HTTPStatus  int    `json:"http_status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted tells that the body was too large to be stored.
	BodyOmitted bool `json:"body_omitted,omitempty"`
	// ExpiresMS is that of the claim, for an outcome that comes before it.
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

// Booking is a booking as the fold knows it.
type Booking struct {
	Claim   BookingClaim   `json:"claim"`
	Status  BookingStatus  `json:"status"`
	Outcome BookingOutcome `json:"outcome,omitzero"`
}

// BookingExpire drops the bookings that have expired.
type BookingExpire struct {
	// BeforeMS is a reading of the proposer's wall clock.
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

// Expired reports whether the key is no longer remembered at a time in
// milliseconds since the Unix epoch.
func (b Booking) Expired(atMS int64) bool {
	return b.Claim.ExpiresMS != 0 && b.Claim.ExpiresMS <= atMS
}

// applyBookingClaim lets the first claim win. A claim may replace one that
// ended as not_run, for nothing ran under it; such a claim is based on the
// revision of that outcome, so that a delayed copy of an older claim cannot
// take the booking. The claim of the holder standing twice is accepted twice,
// as long as the booking has not ended.
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

// applyBookingOutcome takes the first outcome from the holder of the claim. A
// proposer that gave up waiting for its claim may report not_run before the
// claim arrives; the claim then finds the booking ended.
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

// successors lists the states that a booking may pass into. A booking that ran
// or may have run never becomes claimed again.
var allowedTransitions = map[BookingStatus][]BookingStatus{
	"":             {BookingClaimed, BookingNotRun},
	BookingClaimed: {BookingDone, BookingNotRun, BookingUnknown},
	BookingNotRun:  {BookingClaimed},
}

// putBooking asserts that the booking passes into a legal state.
func putBooking(s *State, offset fleet.Offset, r Record, next Booking) Verdict {
	old, _ := s.Bookings.Get(next.Claim.Key)
	if !slices.Contains(allowedTransitions[old.Value.Status], next.Status) {
		return reject(offset, fault.Internal, "booking must not pass from %q into %q", old.Value.Status, next.Status)
	}
	return s.Bookings.put(offset, r, next.Claim.Key, next)
}

// applyBookingExpire drops what had expired by the proposer's clock. A second
// copy finds nothing more to drop.
func applyBookingExpire(s *State, offset fleet.Offset, _ Record, b BookingExpire) Verdict {
	for _, k := range s.Bookings.Keys() {
		if e, ok := s.Bookings.Get(k); ok && e.Value.Expired(b.BeforeMS) {
			s.Bookings.remove(k)
		}
	}
	return Verdict{Offset: offset}
}
