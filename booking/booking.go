// Package booking carries requests to plain services.
//
// A request on a route that may not be repeated is attempted at most once. With
// an idempotency key, the claim of the key goes to the log before the attempt
// and the outcome after it: whoever comes second with the same key gets the
// stored outcome and never a second run.
package booking

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/platform"
	"toucanfall/timeline"
	"toucanfall/upstream"
)

// maxAnswer bounds the body of a service's answer in bytes.
const maxAnswer = 1 << 20

// outcomeTimeout bounds the wait until an outcome is stored.
const outcomeTimeout = 5 * time.Second

// Call is one admitted request to a plain service.
type Call struct {
	Request fleet.RequestID
	Team    fleet.TeamID
	Route   fleet.Route
	Method  string
	// Path and Query go to the service as they are.
	Path, Query    string
	ContentType    string
	Body           []byte
	IdempotencyKey string
}

// Answer is a service's answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Upstream    fleet.UpstreamID
	// Stored answers come from an earlier run of the same booking.
	Stored bool
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
}

// Booker carries requests to plain services.
type Booker struct {
	vm       fleet.VMID
	pool     Pool
	hc       *http.Client
	proposer Proposer
	bookings Bookings
	rec      *timeline.Recorder
}

// New returns a booker whose records are proposed by vm. The transport must not
// reuse connections, because net/http repeats a request by itself if a reused
// connection turns out dead.
func New(vm fleet.VMID, pool Pool, rt http.RoundTripper, proposer Proposer, bookings Bookings, rec *timeline.Recorder) *Booker {
	return &Booker{vm: vm, pool: pool, hc: &http.Client{Transport: rt}, proposer: proposer, bookings: bookings, rec: rec}
}

// Do carries one request. The error is a fault.
func (b *Booker) Do(ctx context.Context, c Call) (Answer, error) {
	if c.IdempotencyKey == "" || c.Route.Repeatable {
		return b.attempt(ctx, c)
	}
	claim := ledger.BookingClaim{
		Key:      ledger.NewBookingKey(c.Team, c.Route.ID, c.IdempotencyKey),
		Request:  c.Request,
		BodyHash: fleet.Secret(c.Method + " " + c.Path + "?" + c.Query + "\n" + string(c.Body)).Hash(),
	}
	won, err := b.claim(ctx, claim)
	if err != nil {
		return Answer{}, err
	}
	if !won {
		return b.Stored(claim)
	}
	a, err := b.attempt(ctx, c)
	b.store(ctx, claim, a, err)
	return a, err
}

// claim reports whether this request holds the only attempt.
func (b *Booker) claim(ctx context.Context, claim ledger.BookingClaim) (bool, error) {
	r, err := ledger.NewRecord(ledger.KindBookingClaim, string(b.vm), b.rec.Clock.Now(), 0, claim)
	if err != nil {
		return false, err
	}
	v, err := b.proposer.Propose(ctx, r)
	if fault.KindOf(err) == fault.OutcomeUnknown {
		// The claim may be ours later, but no attempt was made and none will be.
		return false, fault.New(fault.StoreUnavailable, "the booking could not be claimed in time: %w", err)
	}
	if err != nil {
		return false, err
	}
	if v.Fault == fault.Conflict {
		return false, nil
	}
	return true, v.Err()
}

// Stored returns the stored answer of a booking, or how far it got as a fault.
func (b *Booker) Stored(claim ledger.BookingClaim) (Answer, error) {
	e, ok := b.bookings.Get(claim.Key)
	if !ok {
		return Answer{}, fault.New(fault.NotFound, "no booking with this idempotency key is known")
	}
	if e.Value.Claim.BodyHash != claim.BodyHash {
		return Answer{}, fault.New(fault.Conflict, "the idempotency key was used for another request")
	}
	return answerOf(e.Value)
}

func answerOf(bk ledger.Booking) (Answer, error) {
	o := bk.Outcome
	switch bk.Status {
	case ledger.BookingDone:
		return Answer{Status: o.HTTPStatus, ContentType: o.ContentType, Body: o.Body, Stored: true}, nil
	case ledger.BookingNotRun:
		return Answer{}, fault.New(fault.NoUpstream, "the booking did not run; use a new idempotency key")
	default:
		return Answer{}, fault.New(fault.OutcomeUnknown, "request %q holds the booking and its outcome is not known", bk.Claim.Request)
	}
}

// store appends the outcome. If that fails, the booking stays claimed, and a
// repeat gets outcome_unknown.
func (b *Booker) store(ctx context.Context, claim ledger.BookingClaim, a Answer, err error) {
	o := ledger.BookingOutcome{Key: claim.Key, Request: claim.Request, Status: ledger.BookingDone, HTTPStatus: a.Status, ContentType: a.ContentType, Body: a.Body}
	if err != nil {
		o = ledger.BookingOutcome{Key: claim.Key, Request: claim.Request, Status: ledger.BookingUnknown}
		if fault.Lookup(fault.KindOf(err)).NotRun {
			o.Status = ledger.BookingNotRun
		}
	}
	r, err := ledger.NewRecord(ledger.KindBookingOutcome, string(b.vm), b.rec.Clock.Now(), 0, o)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	if _, err := b.proposer.Propose(ctx, r); err != nil {
		b.rec.Record(event.AttemptFailed, timeline.Fields{"request": string(claim.Request), "reason": "outcome not stored: " + err.Error()})
	}
}

// attempt sends the request to one upstream, once.
func (b *Booker) attempt(ctx context.Context, c Call) (Answer, error) {
	lease, err := b.pool.Service(c.Route.Service, nil)
	if err != nil {
		return Answer{}, err
	}
	defer lease.Release()
	id := lease.Upstream.ID()
	b.rec.Record(event.AttemptStarted, timeline.Fields{"request": string(c.Request), "upstream": string(id)})
	a, err := b.send(ctx, c, lease.Upstream.VM.Address)
	if err != nil {
		b.rec.Record(event.AttemptFailed, timeline.Fields{"request": string(c.Request), "upstream": string(id), "reason": err.Error()})
		return Answer{}, err
	}
	a.Upstream = id
	return a, nil
}

func (b *Booker) send(ctx context.Context, c Call, address string) (Answer, error) {
	url := "http://" + address + c.Path
	if c.Query != "" {
		url += "?" + c.Query
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return Answer{}, fault.New(fault.InvalidRequest, "cannot make the request: %w", err)
	}
	// Without GetBody the transport has nothing to send a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", c.ContentType)
	req.Header.Set(platform.HeaderRequestID, string(c.Request))
	req.Header.Set(platform.HeaderPriority, string(c.Route.Priority))
	resp, err := b.hc.Do(req)
	if err != nil {
		return Answer{}, sendFault(err)
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(platform.HeaderRequestID); got != "" && got != string(c.Request) {
		return Answer{}, fault.New(fault.OutcomeUnknown, "the service answered request %q", got)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return Answer{}, fault.New(fault.OutcomeUnknown, "the answer was cut short: %w", err)
	}
	if len(body) > maxAnswer {
		return Answer{}, fault.New(fault.OutcomeUnknown, "the answer has more than %d bytes", maxAnswer)
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// sendFault tells errors before the first byte from those after it.
func sendFault(err error) error {
	if errors.Is(platform.MarkNotSent(err), ledger.ErrNotSent) {
		return fault.New(fault.NoUpstream, "the service cannot be reached: %w", err)
	}
	return fault.New(fault.OutcomeUnknown, "%s", fmt.Sprintf("the service did not answer: %v", err))
}
