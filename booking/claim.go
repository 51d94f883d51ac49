package booking

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/timeline"
)

const (
	// maxClaimAttempts is the largest number of claims per request. A claim may
	// conflict with one of another request that then did not run.
	maxClaimAttempts = 3
	// claimTimeout is the time limit for one claim.
	claimTimeout = 3 * time.Second
	// maxPendingOutcomes is the number of outcomes waiting to be stored at
	// which new claims are rejected.
	maxPendingOutcomes = 1024
	// maxClaimAge is the age of a claim above which its attempt must not start.
	// It is the longest deadline that a route can have, and shorter than keys
	// are stored.
	maxClaimAge = 24 * time.Hour
	// maxStoredBodyBytes is the largest body of a stored answer, in bytes.
	maxStoredBodyBytes = 64 << 10
	// maxAnswerDelay limits how long an answer waits for its outcome to be
	// stored.
	maxAnswerDelay = time.Second
	// storeOutcomeTimeout is the time limit for all attempts to store an
	// outcome.
	storeOutcomeTimeout = 15 * time.Minute
	// claimedRetryAfter is the retry-after time for a booking in progress.
	claimedRetryAfter = time.Second
	// expiryInterval is the mean time between two checks for expired bookings.
	expiryInterval = time.Hour
	// maxClockSkew is how long after its expiry a booking is dropped, because
	// the clocks of VMs may differ.
	maxClockSkew = time.Hour
)

// newClaim returns a claim of the call's idempotency key. Its body hash covers
// the method, path, query and body.
func (b *Booker) newClaim(c Call) ledger.BookingClaim {
	now := time.Now()
	return ledger.BookingClaim{
		Key:       ledger.NewBookingKey(c.Team, c.Route.ID, c.IdempotencyKey),
		Request:   c.Request,
		BodyHash:  fleet.Secret(c.Method + " " + c.Path + "?" + c.Query + "\n" + string(c.Body)).Hash(),
		ClaimedMS: now.UnixMilli(),
		ExpiresMS: now.Add(c.KeyRetention).UnixMilli(),
	}
}

// acquireClaim claims the key and reports whether this request alone may be
// attempted. It reports false if another request holds the key.
func (b *Booker) acquireClaim(ctx context.Context, claim ledger.BookingClaim) (bool, error) {
	if b.tooManyPending() {
		return false, fault.New(fault.StoreUnavailable, "%d outcomes of bookings wait for the log", maxPendingOutcomes)
	}
	for range maxClaimAttempts {
		existing, ok := b.bookings.Get(claim.Key)
		if ok && existing.Value.Status != ledger.BookingNotRun && !existing.Value.Expired(claim.ClaimedMS) {
			return false, nil
		}
		acquired, err := b.proposeClaim(ctx, claim, existing.Revision)
		if acquired || err != nil {
			return acquired, err
		}
	}
	return false, nil
}

// proposeClaim proposes a claim and reports whether it was accepted.
// baseRevision is the revision of the not_run or expired booking that the claim
// replaces, 0 if the key is new.
func (b *Booker) proposeClaim(ctx context.Context, claim ledger.BookingClaim, baseRevision fleet.Revision) (bool, error) {
	r, err := ledger.NewRecord(ledger.KindBookingClaim, string(b.vm), b.rec.Clock.Now(), baseRevision, claim)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	v, err := b.proposer.Propose(ctx, r)
	if fault.KindOf(err) == fault.OutcomeUnknown {
		// The claim may still be accepted later, but no attempt was or will be
		// made. Storing not_run lets a retry claim the key.
		b.storeOutcome(outcomeOf(claim, Answer{}, fault.New(fault.StoreUnavailable, "gave up")))
		return false, fault.New(fault.StoreUnavailable, "the booking could not be claimed in time; repeat it with the same idempotency key: %w", err)
	}
	if err != nil {
		return false, err
	}
	if v.Fault == fault.Conflict {
		return false, nil
	}
	return v.Accepted(), v.Err()
}

// storedAnswer returns the answer of a booking that another request claimed, or
// its state as a fault.
func (b *Booker) storedAnswer(claim ledger.BookingClaim) (Answer, error) {
	e, ok := b.bookings.Get(claim.Key)
	if !ok {
		return Answer{}, fault.New(fault.Overloaded, "the idempotency key expired meanwhile; repeat the booking")
	}
	if e.Value.Claim.BodyHash != claim.BodyHash && e.Value.Status != ledger.BookingNotRun {
		return Answer{}, fault.New(fault.Conflict, "the idempotency key was used for another request")
	}
	return answerOf(e.Value)
}

// answerOf returns the stored answer of a booking, or its state as a fault.
func answerOf(bk ledger.Booking) (Answer, error) {
	o := bk.Outcome
	switch bk.Status {
	case ledger.BookingDone:
		return Answer{Status: o.HTTPStatus, ContentType: o.ContentType, Body: o.Body, BodyOmitted: o.BodyOmitted, Stored: true}, nil
	case ledger.BookingNotRun:
		return Answer{}, fault.New(fault.NoUpstream, "the booking did not run; repeat it with the same idempotency key")
	case ledger.BookingClaimed:
		return Answer{}, fault.New(fault.OutcomeUnknown, "request %q holds the booking and has not reported an outcome; look it up by its key, for a new key may run it twice", bk.Claim.Request).WithRetryAfter(claimedRetryAfter)
	default:
		return Answer{}, fault.New(fault.OutcomeUnknown, "the booking may or may not have run; ask the service, for a new key may run it twice")
	}
}

// outcomeOf returns the outcome to store for the result of an attempt. Bodies
// above maxStoredBodyBytes are omitted.
func outcomeOf(claim ledger.BookingClaim, a Answer, err error) ledger.BookingOutcome {
	o := ledger.BookingOutcome{Key: claim.Key, Request: claim.Request, ExpiresMS: claim.ExpiresMS}
	switch {
	case err != nil && fault.Lookup(fault.KindOf(err)).NotRun:
		o.Status = ledger.BookingNotRun
	case err != nil:
		o.Status = ledger.BookingUnknown
	default:
		o.Status = ledger.BookingDone
		o.HTTPStatus = a.Status
		o.ContentType = a.ContentType
		o.BodyOmitted = len(a.Body) > maxStoredBodyBytes
		if !o.BodyOmitted {
			o.Body = a.Body
		}
	}
	return o
}

// storeOutcome stores an outcome in the background and closes the returned
// channel when it is done. It retries during an outage of the log, for up to
// storeOutcomeTimeout. If the VM exits first, the booking stays claimed and a
// retry gets outcome_unknown.
func (b *Booker) storeOutcome(o ledger.BookingOutcome) <-chan struct{} {
	done := make(chan struct{})
	b.addPending()
	go func() {
		defer b.removePending()
		defer close(done)
		b.proposeWithRetry(ledger.KindBookingOutcome, o, string(o.Request))
	}()
	return done
}

// proposeWithRetry proposes a record until there is a verdict, for up to
// storeOutcomeTimeout. The log may contain the record more than once.
func (b *Booker) proposeWithRetry(kind ledger.Kind, body any, request string) {
	r, err := ledger.NewRecord(kind, string(b.vm), b.rec.Clock.Now(), 0, body)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(b.ctx, storeOutcomeTimeout)
	defer cancel()
	_, err = backoff.Retry(ctx, func() (ledger.Verdict, error) { return b.proposer.Propose(ctx, r) },
		backoff.WithBackOff(backoff.NewExponentialBackOff()), backoff.WithMaxElapsedTime(0))
	if err != nil {
		b.rec.Record(event.AttemptFailed, timeline.Fields{"request": request, "reason": "outcome not stored: " + err.Error()})
	}
}

// waitForStore waits until done is closed, for up to maxAnswerDelay.
func (b *Booker) waitForStore(ctx context.Context, done <-chan struct{}) {
	t := time.NewTimer(maxAnswerDelay)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
}

// expireLoop periodically proposes to drop expired bookings until ctx ends. VMs
// check at random times, so that most of them find nothing left to drop.
func (b *Booker) expireLoop(ctx context.Context) {
	for {
		t := time.NewTimer(expiryInterval/2 + rand.N(expiryInterval))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		before := time.Now().Add(-maxClockSkew).UnixMilli()
		if b.anyExpired(before) {
			b.proposeWithRetry(ledger.KindBookingExpire, ledger.BookingExpire{BeforeMS: before}, "")
		}
	}
}

// anyExpired reports whether a booking expired before the given time, in Unix
// milliseconds.
func (b *Booker) anyExpired(beforeMS int64) bool {
	for _, k := range b.bookings.Keys() {
		if e, ok := b.bookings.Get(k); ok && e.Value.Expired(beforeMS) {
			return true
		}
	}
	return false
}
