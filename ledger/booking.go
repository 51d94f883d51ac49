package ledger

import (
	"encoding/json"
	"errors"
	"fmt"

	"toucanfall/fault"
	"toucanfall/fleet"
)

// The kinds of records about bookings.
const (
	KindBookingClaim   Kind = "booking_claim"
	KindBookingOutcome Kind = "booking_outcome"
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
}

// UnmarshalJSON decodes and checks a claim.
func (c *BookingClaim) UnmarshalJSON(b []byte) error {
	type plain BookingClaim
	if err := json.Unmarshal(b, (*plain)(c)); err != nil {
		return err
	}
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
}

// UnmarshalJSON decodes and checks an outcome.
func (o *BookingOutcome) UnmarshalJSON(b []byte) error {
	type plain BookingOutcome
	if err := json.Unmarshal(b, (*plain)(o)); err != nil {
		return err
	}
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

// applyBookingClaim lets the first claim win for good. The same claim standing
// twice is accepted twice, since it belongs to one request.
func applyBookingClaim(s *State, offset fleet.Offset, r Record, b BookingClaim) Verdict {
	old, ok := s.Bookings.Get(b.Key)
	if ok && old.Value.Claim.Request == b.Request {
		return Verdict{Offset: offset, Revision: old.Revision}
	}
	r.Base = 0
	return s.Bookings.put(offset, r, b.Key, Booking{Claim: b, Status: BookingClaimed})
}

// applyBookingOutcome takes the first outcome from the holder of the claim.
func applyBookingOutcome(s *State, offset fleet.Offset, r Record, b BookingOutcome) Verdict {
	old, ok := s.Bookings.Get(b.Key)
	if !ok {
		return reject(offset, fault.NotFound, "booking was never claimed")
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
	r.Base = old.Revision
	return s.Bookings.put(offset, r, b.Key, next)
}
