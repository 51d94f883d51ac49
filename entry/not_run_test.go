package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/timeline"
)

// refusal is a request that must be refused with the given kind.
type refusal struct {
	name string
	kind fault.Kind
	// arrange prepares the fixture, and request changes the request; both may
	// be nil.
	arrange func(*is.I, *fixture)
	path    string
	body    string
	request func(*http.Request)
}

const (
	chatBody  = `{"model":"textdesk","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`
	orderBody = `{"item":"sieve-40"}`
)

func withIdempotencyKey(key string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Idempotency-Key", key) }
}

// closedAddress returns a local address on which nothing listens.
func closedAddress(is *is.I) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	return l.Addr().String()
}

// claimKey claims the idempotency key "k" for another request with another
// body.
func claimKey(is *is.I, f *fixture) {
	claim := ledger.BookingClaim{Key: ledger.NewBookingKey("quotes", "orderdesk", "k"), Request: "r0"}
	r, err := ledger.NewRecord(ledger.KindBookingClaim, "test", timeline.Stamp{}, 0, claim)
	is.NoErr(err)
	_, err = f.follower.Propose(context.Background(), r)
	is.NoErr(err)
}

var refusals = []refusal{
	{"no JSON", fault.InvalidRequest, nil, "/v1/chat/completions", "{", nil},
	{"long key", fault.InvalidRequest, nil, "/v1/services/orderdesk/reservations", orderBody, withIdempotencyKey(strings.Repeat("k", 256))},
	{"key in body", fault.InvalidRequest, nil, "/v1/services/orderdesk/reservations", string(secret), nil},
	{"large body", fault.TooLarge, nil, "/v1/services/orderdesk/reservations", strings.Repeat("x", 5<<20), nil},
	{"no key", fault.Unauthenticated, nil, "/v1/services/orderdesk/reservations", orderBody, func(r *http.Request) { r.Header.Del("Authorization") }},
	{"other team", fault.Forbidden, nil, "/v1/services/secret/reservations", orderBody, nil},
	{"no route", fault.NotFound, nil, "/v1/services/none/reservations", orderBody, nil},
	{"key of another booking", fault.Conflict, claimKey, "/v1/services/orderdesk/reservations", orderBody, withIdempotencyKey("k")},
	{"rate", fault.RateLimited, func(_ *is.I, f *fixture) { f.limits.takeErr = fault.New(fault.RateLimited, "") }, "/v1/chat/completions", chatBody, nil},
	{"queue full", fault.Overloaded, func(_ *is.I, f *fixture) { f.limits.enterErr = fault.New(fault.Overloaded, "") }, "/v1/chat/completions", chatBody, nil},
	{"too late", fault.DeadlineUnmeetable, func(_ *is.I, f *fixture) { f.limits.enterErr = fault.New(fault.DeadlineUnmeetable, "") }, "/v1/chat/completions", chatBody, nil},
	{"no engine", fault.NoUpstream, func(_ *is.I, f *fixture) { f.pool.engineAddress = "" }, "/v1/chat/completions", chatBody, nil},
	{"no service", fault.NoUpstream, func(_ *is.I, f *fixture) { f.pool.serviceAddress = "" }, "/v1/services/orderdesk/reservations", orderBody, withIdempotencyKey("k")},
	{"service refuses", fault.NoUpstream, func(is *is.I, f *fixture) { f.pool.serviceAddress = closedAddress(is) }, "/v1/services/orderdesk/reservations", orderBody, withIdempotencyKey("k")},
	{"log silent", fault.StoreUnavailable, func(_ *is.I, f *fixture) { f.follower.Close() }, "/v1/services/orderdesk/reservations", orderBody, withIdempotencyKey("k")},
	{"no state", fault.NotReady, func(_ *is.I, f *fixture) { f.readyErr = fault.New(fault.NotReady, "") }, "/v1/services/orderdesk/reservations", orderBody, nil},
}

// kindsWithoutRequest lists the kinds that say that the request did not run and
// that no request in this package can get. Stopping is returned only by the
// readiness check, since a VM that is shutting down serves requests until the
// load balancer stops sending them. ConfigStale, Quarantined and SlowRequest are
// returned only by the gateway, where TestStaleConfigurationRejectsAllKeys,
// TestQuarantinedPartIsRejected and TestSlowBodyIsBoundByRouteTimeout in package
// platform check as much.
var kindsWithoutRequest = []fault.Kind{fault.Stopping, fault.ConfigStale, fault.Quarantined, fault.SlowRequest}

// TestPromiseNotRunIsTrue provokes every kind of error that says that the
// request did not run, and checks that no upstream receives the request, then
// or shortly after.
func TestPromiseNotRunIsTrue(t *testing.T) {
	covered := make(map[fault.Kind]bool)
	for _, kind := range kindsWithoutRequest {
		covered[kind] = true
	}
	for _, tt := range refusals {
		covered[tt.kind] = true
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			if tt.arrange != nil {
				tt.arrange(is, f)
			}
			got, err := post(f, tt)
			is.NoErr(err)
			is.Equal(got.Error.Code, tt.kind)
			is.True(got.Error.NotRun)
			time.Sleep(20 * time.Millisecond)
			is.Equal(len(f.engineHandler.takeRequests())+len(f.serviceHandler.takeRequests()), 0)
		})
	}
	for _, a := range fault.Table {
		if a.NotRun && !covered[a.Kind] {
			t.Errorf("no refusal in the table provokes %s", a.Kind)
		}
	}
}

// TestStartedRequestIsNotReportedNotRun sends requests to upstreams that accept a request and
// then fail. The error must not say that the request did not run.
func TestStartedRequestIsNotReportedNotRun(t *testing.T) {
	for _, tt := range []refusal{
		{"draft cut", fault.UpstreamFailed, nil, "/v1/chat/completions", chatBody, nil},
		{"booking cut", fault.OutcomeUnknown, nil, "/v1/services/orderdesk/reservations", orderBody, withIdempotencyKey("k")},
		{"booking cut, no key", fault.OutcomeUnknown, nil, "/v1/services/orderdesk/reservations", orderBody, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
			f.engineHandler.setNext(abort)
			f.serviceHandler.setNext(abort)
			got, err := post(f, tt)
			is.NoErr(err)
			is.Equal(got.Error.Code, tt.kind)
			is.True(!got.Error.NotRun)
			is.True(len(f.engineHandler.takeRequests())+len(f.serviceHandler.takeRequests()) > 0)
		})
	}
}

// TestDeadlineKeepsOutcomeUnknown checks that an attempt ended by the deadline is
// reported as an unknown outcome, without a retry-after time that would invite
// a retry.
func TestDeadlineKeepsOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.serviceHandler.setNext(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	got, err := post(f, refusal{path: "/v1/services/orderdesk/reservations", body: orderBody})
	is.NoErr(err)
	is.Equal(got.Error.Code, fault.OutcomeUnknown)
	is.Equal(got.Error.RetryAfterMS, int64(0))
}

// TestLookup looks up bookings by keys with characters that must be escaped in
// a path, and by a key that was never used.
func TestLookup(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	for _, key := range []string{"a/b?c d%2F", "ä", "k"} {
		a, err := f.caller().Service(t.Context(), "orderdesk", http.MethodPost, "/reservations", key, []byte(orderBody))
		is.NoErr(err)
		is.True(!a.Stored)
		again, err := f.caller().Booking(t.Context(), "orderdesk", key)
		is.NoErr(err)
		is.True(again.Stored)
		is.Equal(string(again.Body), string(a.Body))
	}
	_, err := f.caller().Booking(t.Context(), "orderdesk", "none")
	is.Equal(fault.KindOf(err), fault.NotFound)
	is.Equal(len(f.service.Bookings()), 3)
}

// TestSettled checks that the tokens used are settled, and none if no engine
// accepted the request.
func TestSettled(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	_, err := f.caller().Complete(t.Context(), "textdesk", "ten fine sieves", 4, nil)
	is.NoErr(err)
	is.Equal(f.limits.lastSettled, fleet.Tokens(3+4))
	is.True(f.limits.lastCharge >= f.limits.lastSettled)
	f.pool.engineAddress = ""
	_, err = f.caller().Complete(t.Context(), "textdesk", "ten fine sieves", 4, nil)
	is.True(err != nil)
	is.Equal(f.limits.lastSettled, fleet.Tokens(0))
}

// post sends the request with the team's key and returns the body of the error.
func post(f *fixture, r refusal) (fault.Body, error) {
	var got fault.Body
	req, err := http.NewRequest(http.MethodPost, f.url+r.path, strings.NewReader(r.body))
	if err != nil {
		return got, err
	}
	req.Header.Set("Authorization", "Bearer "+string(secret))
	if r.request != nil {
		r.request(req)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return got, err
	}
	defer resp.Body.Close()
	if resp.StatusCode < 400 {
		return got, errors.New(resp.Status)
	}
	return got, json.NewDecoder(resp.Body).Decode(&got)
}
