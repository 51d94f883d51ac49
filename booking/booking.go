// Package booking sends requests to plain services.
//
// A request on a route that is not repeatable is attempted at most once. With
// an idempotency key, a claim of the key is written to the log before the
// attempt, and the outcome after it. A later request with the same key gets the
// stored outcome and is never run. If a claim ends without an attempt, its
// outcome is not_run, and the key can be claimed again.
package booking

import (
	"context"
	"sync"
	"time"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/timeline"
	"toucanfall/upstream"
)

// MaxKeyBytes is the largest length of an idempotency key, in bytes.
const MaxKeyBytes = 255

// Call is one admitted request to a plain service.
type Call struct {
	Request fleet.RequestID
	Team    fleet.TeamID
	Route   fleet.Route
	Method  string
	// Path and Query are sent to the service unchanged, still escaped.
	Path, Query    string
	ContentType    string
	Body           []byte
	IdempotencyKey string
	// KeyRetention is how long the idempotency key and its outcome are stored.
	KeyRetention time.Duration
}

// Answer is the answer of a service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Upstream is the service that answered, "" for a stored answer.
	Upstream fleet.UpstreamID
	// Stored is set if the answer was stored by an earlier run of the booking.
	Stored bool
	// BodyOmitted is set on a stored answer whose body was too large to store.
	BodyOmitted bool
}

// Pool selects upstreams for services.
type Pool interface {
	// Service leases an upstream of a service that is not in avoid. It returns
	// a fault if there is none.
	Service(name string, avoid []fleet.UpstreamID) (*upstream.Lease, error)
}

// Proposer appends records to the ordered state.
type Proposer interface {
	// Propose appends r and waits for its verdict. The error is outcome_unknown
	// if the record may still be appended after ctx ended.
	Propose(ctx context.Context, r ledger.Record) (ledger.Verdict, error)
}

// Bookings reads bookings from the ordered state.
type Bookings interface {
	// Get returns a booking and reports whether it exists.
	Get(k ledger.BookingKey) (ledger.Entry[ledger.Booking], bool)
	// Keys returns the keys of all bookings.
	Keys() []ledger.BookingKey
}

// Sender sends requests to services.
type Sender interface {
	// Send sends the request once. The error is a fault, which says that the
	// request did not run only if nothing of it was sent.
	Send(ctx context.Context, address string, c Call) (Answer, error)
}

// Booker sends requests to plain services. It is safe for concurrent use.
type Booker struct {
	vm       fleet.VMID
	pool     Pool
	sender   Sender
	proposer Proposer
	bookings Bookings
	rec      *timeline.Recorder

	// ctx ends on Close.
	cancel context.CancelFunc
	ctx    context.Context

	// mu guards the fields below.
	mu sync.Mutex
	// pending is the number of outcomes that are not stored yet.
	pending int
	// drained is closed while nothing is pending.
	drained chan struct{}
}

// New returns a booker that proposes records in the name of vm. It drops
// expired bookings in the background until Close is called.
func New(vm fleet.VMID, pool Pool, sender Sender, proposer Proposer, bookings Bookings, rec *timeline.Recorder) *Booker {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Booker{
		vm:       vm,
		pool:     pool,
		sender:   sender,
		proposer: proposer,
		bookings: bookings,
		rec:      rec,
		cancel:   cancel,
		ctx:      ctx,
		drained:  make(chan struct{}),
	}
	close(b.drained)
	go func() { b.expireLoop(ctx) }()
	return b
}

// Drain waits until all outcomes are stored or ctx ends.
func (b *Booker) Drain(ctx context.Context) {
	b.mu.Lock()
	drained := b.drained
	b.mu.Unlock()
	select {
	case <-drained:
	case <-ctx.Done():
	}
}

// Close stops the background work and does not wait for it. Outcomes that are
// not stored yet may be lost; call Drain first to store them.
func (b *Booker) Close() {
	b.cancel()
}

// addPending counts an outcome that has to be stored.
func (b *Booker) addPending() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending == 0 {
		b.drained = make(chan struct{})
	}
	b.pending++
}

// removePending ends the count of an outcome by addPending.
func (b *Booker) removePending() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending--
	if b.pending == 0 {
		close(b.drained)
	}
}

// tooManyPending reports whether new claims must be rejected.
func (b *Booker) tooManyPending() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending >= maxPendingOutcomes
}

// Do sends one request to its service, or returns the stored answer if its
// idempotency key was used before. On a repeatable route the key has no effect.
// The error is a fault: conflict if the key was used for another request, and
// outcome_unknown if the request may have run.
func (b *Booker) Do(ctx context.Context, c Call) (Answer, error) {
	if len(c.IdempotencyKey) > MaxKeyBytes {
		return Answer{}, fault.New(fault.InvalidRequest, "the idempotency key has more than %d bytes", MaxKeyBytes)
	}
	if c.IdempotencyKey == "" || c.Route.Repeatable {
		return b.attempt(ctx, c)
	}
	return b.attemptOnce(ctx, c)
}

// attemptOnce claims the request's idempotency key and attempts the request. If
// the key is already claimed it returns the stored answer, or the state of the
// booking as a fault.
func (b *Booker) attemptOnce(ctx context.Context, c Call) (Answer, error) {
	claim := b.newClaim(c)
	acquired, err := b.acquireClaim(ctx, claim)
	if err != nil {
		return Answer{}, err
	}
	if !acquired {
		return b.storedAnswer(claim)
	}
	if err := checkClaimAge(ctx, claim); err != nil {
		b.storeOutcome(outcomeOf(claim, Answer{}, err))
		return Answer{}, err
	}
	a, err := b.attempt(ctx, c)
	b.waitForStore(ctx, b.storeOutcome(outcomeOf(claim, a, err)))
	return a, err
}

// checkClaimAge returns a fault if it is too late to start the attempt. A VM
// that was paused may resume long after its claim, and the context's timer may
// not have counted the pause.
func checkClaimAge(ctx context.Context, claim ledger.BookingClaim) error {
	tooOld := time.Now().UnixMilli()-claim.ClaimedMS > maxClaimAge.Milliseconds()
	if ctx.Err() != nil || tooOld {
		return fault.New(fault.DeadlineUnmeetable, "the booking was claimed too late to be attempted; repeat it with the same idempotency key")
	}
	return nil
}

// Lookup returns the stored answer of a booking, or its state as a fault, for
// example not_found if this VM knows no booking with the key.
func (b *Booker) Lookup(team fleet.TeamID, route fleet.RouteID, idempotencyKey string) (Answer, error) {
	e, ok := b.bookings.Get(ledger.NewBookingKey(team, route, idempotencyKey))
	if !ok {
		return Answer{}, fault.New(fault.NotFound, "no booking with this idempotency key is known to this VM")
	}
	return answerOf(e.Value)
}
