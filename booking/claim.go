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
	// maxClaims bounds the claims of one request, each of which may lose to
	// another request that then did not run.
	maxClaims = 3
	// claimTimeout bounds the wait for one claim.
	claimTimeout = 3 * time.Second
	// maxPending bounds the outcomes that wait for the log.
	maxPending = 1024
	// maxClaimAge is the longest deadline that a route can have. Keys are
	// remembered for longer.
	maxClaimAge = 24 * time.Hour
	// maxStoredBody bounds the body of a stored answer in bytes.
	maxStoredBody = 64 << 10
	// answerDelay bounds how long an answer waits for its outcome to be stored.
	answerDelay = time.Second
	// reportTimeout bounds the attempts to store an outcome.
	reportTimeout = 15 * time.Minute
	// comeBack tells when to look again at a booking in progress.
	comeBack = time.Second
	// expiryInterval is the mean time between two looks for expired bookings.
	expiryInterval = time.Hour
	// clockSkew is how much later than its expiry a booking is dropped.
	clockSkew = time.Hour
)

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

// claim reports whether this request holds the only attempt.
func (b *Booker) claim(ctx context.Context, claim ledger.BookingClaim) (bool, error) {
	if b.crowded() {
		return false, fault.New(fault.StoreUnavailable, "%d outcomes of bookings wait for the log", maxPending)
	}
	for range maxClaims {
		old, ok := b.bookings.Get(claim.Key)
		if ok && old.Value.Status != ledger.BookingNotRun && !old.Value.Expired(claim.ClaimedMS) {
			return false, nil
		}
		won, err := b.claimOver(ctx, claim, old.Revision)
		if won || err != nil {
			return won, err
		}
	}
	return false, nil
}

// claimOver proposes a claim over an outcome not_run with the given revision,
// 0 if the key is new.
func (b *Booker) claimOver(ctx context.Context, claim ledger.BookingClaim, base fleet.Revision) (bool, error) {
	r, err := ledger.NewRecord(ledger.KindBookingClaim, string(b.vm), b.rec.Clock.Now(), base, claim)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	v, err := b.proposer.Propose(ctx, r)
	if fault.KindOf(err) == fault.OutcomeUnknown {
		// The claim may be ours later, but no attempt was made and none will
		// be. Reporting so lets a repeat of the key claim it.
		b.report(outcomeOf(claim, Answer{}, fault.New(fault.StoreUnavailable, "gave up")))
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

// stored returns what is known of a booking that another request claimed.
func (b *Booker) stored(claim ledger.BookingClaim) (Answer, error) {
	e, ok := b.bookings.Get(claim.Key)
	if !ok {
		return Answer{}, fault.New(fault.Overloaded, "the idempotency key expired meanwhile; repeat the booking")
	}
	if e.Value.Claim.BodyHash != claim.BodyHash && e.Value.Status != ledger.BookingNotRun {
		return Answer{}, fault.New(fault.Conflict, "the idempotency key was used for another request")
	}
	return answerOf(e.Value)
}

func answerOf(bk ledger.Booking) (Answer, error) {
	o := bk.Outcome
	switch bk.Status {
	case ledger.BookingDone:
		return Answer{Status: o.HTTPStatus, ContentType: o.ContentType, Body: o.Body, BodyOmitted: o.BodyOmitted, Stored: true}, nil
	case ledger.BookingNotRun:
		return Answer{}, fault.New(fault.NoUpstream, "the booking did not run; repeat it with the same idempotency key")
	case ledger.BookingClaimed:
		return Answer{}, fault.New(fault.OutcomeUnknown, "request %q holds the booking and has not reported an outcome; look it up by its key, for a new key may run it twice", bk.Claim.Request).WithRetryAfter(comeBack)
	default:
		return Answer{}, fault.New(fault.OutcomeUnknown, "the booking may or may not have run; ask the service, for a new key may run it twice")
	}
}

// outcomeOf returns the outcome that an attempt's result stands for.
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
		o.BodyOmitted = len(a.Body) > maxStoredBody
		if !o.BodyOmitted {
			o.Body = a.Body
		}
	}
	return o
}

// report stores an outcome in the background, also through an outage of the
// log, and closes the returned channel when it is done. If the VM dies before,
// the booking stays claimed and a repeat gets outcome_unknown.
func (b *Booker) report(o ledger.BookingOutcome) <-chan struct{} {
	done := make(chan struct{})
	b.begin()
	go func() {
		defer b.end()
		defer close(done)
		b.propose(ledger.KindBookingOutcome, o, string(o.Request))
	}()
	return done
}

// propose repeats a proposal, which may stand twice, until it has a verdict.
func (b *Booker) propose(kind ledger.Kind, body any, request string) {
	r, err := ledger.NewRecord(kind, string(b.vm), b.rec.Clock.Now(), 0, body)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(b.ctx, reportTimeout)
	defer cancel()
	_, err = backoff.Retry(ctx, func() (ledger.Verdict, error) { return b.proposer.Propose(ctx, r) },
		backoff.WithBackOff(backoff.NewExponentialBackOff()), backoff.WithMaxElapsedTime(0))
	if err != nil {
		b.rec.Record(event.AttemptFailed, timeline.Fields{"request": request, "reason": "outcome not stored: " + err.Error()})
	}
}

// await waits a short time for done.
func (b *Booker) await(ctx context.Context, done <-chan struct{}) {
	t := time.NewTimer(answerDelay)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
}

// expire proposes now and then to drop expired bookings. VMs look at random
// times, so that most find the work done.
func (b *Booker) expire(ctx context.Context) {
	for {
		t := time.NewTimer(expiryInterval/2 + rand.N(expiryInterval))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		before := time.Now().Add(-clockSkew).UnixMilli()
		if b.anyExpired(before) {
			b.propose(ledger.KindBookingExpire, ledger.BookingExpire{BeforeMS: before}, "")
		}
	}
}

func (b *Booker) anyExpired(beforeMS int64) bool {
	for _, k := range b.bookings.Keys() {
		if e, ok := b.bookings.Get(k); ok && e.Value.Expired(beforeMS) {
			return true
		}
	}
	return false
}
