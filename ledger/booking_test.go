package ledger

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// Guards against a duplicate of a claim that arrives after a later claim ended as
// not_run. If it took the booking, no request would ever end it.
func TestDelayedClaim(t *testing.T) {
	is := is.New(t)
	s := NewState()
	offset := fleet.Offset(0)
	apply := func(kind Kind, base fleet.Revision, body any) Verdict {
		r, err := NewRecord(kind, "vm", timeline.Stamp{}, base, body)
		is.NoErr(err)
		offset++
		return s.Apply(offset, r)
	}
	key := NewBookingKey("quotes", "orderdesk", "k")
	first := BookingClaim{Key: key, Request: "r1"}
	is.NoErr(apply(KindBookingClaim, 0, first).Err())
	is.NoErr(apply(KindBookingOutcome, 0, BookingOutcome{Key: key, Request: "r1", Status: BookingNotRun}).Err())
	is.NoErr(apply(KindBookingClaim, 2, BookingClaim{Key: key, Request: "r2"}).Err())
	is.NoErr(apply(KindBookingOutcome, 0, BookingOutcome{Key: key, Request: "r2", Status: BookingNotRun}).Err())
	is.Equal(apply(KindBookingClaim, 0, first).Fault, fault.Conflict)
	e, _ := s.Bookings.Get(key)
	is.Equal(e.Value.Claim.Request, fleet.RequestID("r2"))
	is.Equal(e.Value.Status, BookingNotRun)
}

// Guards against two requests executing one booking. Applies claims and outcomes
// in random order, as duplicates and delays produce them.
func TestRandomBookingRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		key := NewBookingKey("quotes", "orderdesk", "k")
		// executed is the request that may have been executed, which excludes those
		// that reported not_run.
		var executed fleet.RequestID
		for offset := fleet.Offset(1); offset < 30; offset++ {
			id := fleet.RequestID(rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "request"))
			kind := rapid.SampledFrom([]Kind{KindBookingClaim, KindBookingOutcome}).Draw(t, "kind")
			var body any = BookingClaim{Key: key, Request: id}
			status := rapid.SampledFrom([]BookingStatus{BookingDone, BookingNotRun, BookingUnknown}).Draw(t, "status")
			if kind == KindBookingOutcome {
				body = BookingOutcome{Key: key, Request: id, Status: status}
			}
			e, _ := s.Bookings.Get(key)
			r, err := NewRecord(kind, "vm", timeline.Stamp{}, e.Revision, body)
			if err != nil {
				t.Fatal(err)
			}
			if !s.Apply(offset, r).Accepted() {
				continue
			}
			if executed != "" && id != executed {
				t.Fatalf("%s of request %s accepted after %s may have been executed", kind, id, executed)
			}
			if kind == KindBookingOutcome && status != BookingNotRun {
				executed = id
			}
		}
	})
}
