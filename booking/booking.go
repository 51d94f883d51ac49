// Package booking carries requests to plain services.
//
// A request on a route that may not be repeated is attempted at most once. With
// an idempotency key, the claim of the key goes to the log before the attempt
// and the outcome after it: whoever comes second with the same key gets the
// stored outcome and never a second run. A claim that ends without an attempt
// is reported as not_run, after which the key may be claimed again.
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

// MaxKeyBytes bounds a caller's idempotency key.
const MaxKeyBytes = 255

// Call is one admitted request to a plain service.
type Call struct {
	Request fleet.RequestID
	Team    fleet.TeamID
	Route   fleet.Route
	Method  string
	// Path and Query go to the service as they are, still escaped.
	Path, Query    string
	ContentType    string
	Body           []byte
	IdempotencyKey string
	// Memory is how long the idempotency key is remembered.
	KeyRetention time.Duration
}

// Answer is a service's answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Upstream    fleet.UpstreamID
	// Stored answers come from an earlier run of the same booking.
	Stored bool
	// BodyOmitted tells that the body of a stored answer was too large to be
	// kept.
	BodyOmitted bool
}

// Pool chooses upstreams of services.
type Pool interface {
	Service(name string, avoid []fleet.UpstreamID) (*upstream.Lease, error)
}

// Proposer appends records to the ordered state.
type Proposer interface {
	Propose(ctx context.Context, r ledger.Record) (ledger.Verdict, error)
}

// Bookings finds bookings in the ordered state.
type Bookings interface {
	Get(k ledger.BookingKey) (ledger.Entry[ledger.Booking], bool)
	Keys() []ledger.BookingKey
}

// Services sends one request to one service.
type Sender interface {
	Send(ctx context.Context, address string, c Call) (Answer, error)
}

// Booker carries requests to plain services.
type Booker struct {
	vm       fleet.VMID
	pool     Pool
	services Sender
	proposer Proposer
	bookings Bookings
	rec      *timeline.Recorder

	cancel  context.CancelFunc
	ctx     context.Context
	mu      sync.Mutex
	pending int
	// idle is closed while nothing is pending.
	idle chan struct{}
}

// New returns a booker whose records are proposed by vm. Close stops it.
func New(vm fleet.VMID, pool Pool, services Sender, proposer Proposer, bookings Bookings, rec *timeline.Recorder) *Booker {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Booker{
		vm:       vm,
		pool:     pool,
		services: services,
		proposer: proposer,
		bookings: bookings,
		rec:      rec,
		cancel:   cancel,
		ctx:      ctx,
		idle:     make(chan struct{}),
	}
	close(b.idle)
	go func() { b.expire(ctx) }()
	return b
}

// Drain waits until all outcomes are stored, or until ctx ends.
func (b *Booker) Drain(ctx context.Context) {
	b.mu.Lock()
	idle := b.idle
	b.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// Close gives up on outcomes that are not stored yet.
func (b *Booker) Close() {
	b.cancel()
}

// begin counts a record that has to be stored.
func (b *Booker) begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending == 0 {
		b.idle = make(chan struct{})
	}
	b.pending++
}

func (b *Booker) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending--
	if b.pending == 0 {
		close(b.idle)
	}
}

func (b *Booker) crowded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending >= maxPending
}

// Do carries one request. The error is a fault.
func (b *Booker) Do(ctx context.Context, c Call) (Answer, error) {
	if len(c.IdempotencyKey) > MaxKeyBytes {
		return Answer{}, fault.New(fault.InvalidRequest, "the idempotency key has more than %d bytes", MaxKeyBytes)
	}
	if c.IdempotencyKey == "" || c.Route.Repeatable {
		return b.attempt(ctx, c)
	}
	return b.once(ctx, c)
}

// once carries a request whose idempotency key was never claimed, or answers
// with what is known of the booking.
func (b *Booker) once(ctx context.Context, c Call) (Answer, error) {
	claim := b.newClaim(c)
	won, err := b.claim(ctx, claim)
	if err != nil {
		return Answer{}, err
	}
	if !won {
		return b.stored(claim)
	}
	if err := checkFresh(ctx, claim); err != nil {
		b.report(outcomeOf(claim, Answer{}, err))
		return Answer{}, err
	}
	a, err := b.attempt(ctx, c)
	b.await(ctx, b.report(outcomeOf(claim, a, err)))
	return a, err
}

// checkFresh returns a fault if the attempt must not start any more. A VM that
// was paused may wake long after its claim, and the timer of a context need not
// have counted the pause.
func checkFresh(ctx context.Context, claim ledger.BookingClaim) error {
	late := time.Now().UnixMilli()-claim.ClaimedMS > maxClaimAge.Milliseconds()
	if ctx.Err() != nil || late {
		return fault.New(fault.DeadlineUnmeetable, "the booking was claimed too late to be attempted; repeat it with the same idempotency key")
	}
	return nil
}

// Lookup returns the stored answer of a booking, or how far it got as a fault.
func (b *Booker) Lookup(team fleet.TeamID, route fleet.RouteID, idempotencyKey string) (Answer, error) {
	e, ok := b.bookings.Get(ledger.NewBookingKey(team, route, idempotencyKey))
	if !ok {
		return Answer{}, fault.New(fault.NotFound, "no booking with this idempotency key is known to this VM")
	}
	return answerOf(e.Value)
}
