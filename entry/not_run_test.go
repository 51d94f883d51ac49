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

// refusal is a request that is refused as not run.
type refusal struct {
	name string
	kind fault.Kind
	// arrange prepares the world, and request changes the request.
	arrange func(*is.I, *world)
	path    string
	body    string
	request func(*http.Request)
}

const (
	chat  = `{"model":"textdesk","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`
	order = `{"item":"sieve-40"}`
)

func withKey(key string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Idempotency-Key", key) }
}

func closedPort(is *is.I) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	return l.Addr().String()
}

// claimed makes another request hold the key "k" with another body.
func claimed(is *is.I, w *world) {
	claim := ledger.BookingClaim{Key: ledger.NewBookingKey("quotes", "orderdesk", "k"), Request: "r0"}
	r, err := ledger.NewRecord(ledger.KindBookingClaim, "test", timeline.Stamp{}, 0, claim)
	is.NoErr(err)
	_, err = w.follower.Propose(context.Background(), r)
	is.NoErr(err)
}

var refusals = []refusal{
	{"no JSON", fault.InvalidRequest, nil, "/v1/chat/completions", "{", nil},
	{"long key", fault.InvalidRequest, nil, "/v1/services/orderdesk/reservations", order, withKey(strings.Repeat("k", 256))},
	{"key in body", fault.InvalidRequest, nil, "/v1/services/orderdesk/reservations", string(secret), nil},
	{"large body", fault.TooLarge, nil, "/v1/services/orderdesk/reservations", strings.Repeat("x", 5<<20), nil},
	{"no key", fault.Unauthenticated, nil, "/v1/services/orderdesk/reservations", order, func(r *http.Request) { r.Header.Del("Authorization") }},
	{"other team", fault.Forbidden, nil, "/v1/services/secret/reservations", order, nil},
	{"no route", fault.NotFound, nil, "/v1/services/none/reservations", order, nil},
	{"key of another booking", fault.Conflict, claimed, "/v1/services/orderdesk/reservations", order, withKey("k")},
	{"rate", fault.RateLimited, func(_ *is.I, w *world) { w.limits.take = fault.New(fault.RateLimited, "") }, "/v1/chat/completions", chat, nil},
	{"queue full", fault.Overloaded, func(_ *is.I, w *world) { w.limits.enter = fault.New(fault.Overloaded, "") }, "/v1/chat/completions", chat, nil},
	{"too late", fault.DeadlineUnmeetable, func(_ *is.I, w *world) { w.limits.enter = fault.New(fault.DeadlineUnmeetable, "") }, "/v1/chat/completions", chat, nil},
	{"no engine", fault.NoUpstream, func(_ *is.I, w *world) { w.upstream.engine = "" }, "/v1/chat/completions", chat, nil},
	{"no service", fault.NoUpstream, func(_ *is.I, w *world) { w.upstream.service = "" }, "/v1/services/orderdesk/reservations", order, withKey("k")},
	{"service refuses", fault.NoUpstream, func(is *is.I, w *world) { w.upstream.service = closedPort(is) }, "/v1/services/orderdesk/reservations", order, withKey("k")},
	{"log silent", fault.StoreUnavailable, func(_ *is.I, w *world) { w.follower.Close() }, "/v1/services/orderdesk/reservations", order, withKey("k")},
	{"no state", fault.NotReady, func(_ *is.I, w *world) { w.ready = fault.New(fault.NotReady, "") }, "/v1/services/orderdesk/reservations", order, nil},
}

// notRefused lists the kinds that say not run and that no request meets: a
// leaving VM serves until the balancer has moved on.
//
// ConfigStale is a refusal of the gateway only, which has its own check of the
// same strictness: TestStaleConfigurationRefusesWithoutKnowledge in platform.
var notRefused = []fault.Kind{fault.Stopping, fault.ConfigStale}

// TestPromiseNotRunIsTrue meets every kind that says not run, and counts what
// reached the upstreams, also later.
func TestPromiseNotRunIsTrue(t *testing.T) {
	met := make(map[fault.Kind]bool)
	for _, kind := range notRefused {
		met[kind] = true
	}
	for _, tt := range refusals {
		met[tt.kind] = true
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			if tt.arrange != nil {
				tt.arrange(is, w)
			}
			got, err := post(w, tt)
			is.NoErr(err)
			is.Equal(got.Error.Code, tt.kind)
			is.True(got.Error.NotRun)
			time.Sleep(20 * time.Millisecond)
			is.Equal(len(w.engine.take())+len(w.services.take()), 0)
		})
	}
	for _, a := range fault.Table {
		if a.NotRun && !met[a.Kind] {
			t.Errorf("no request meets %s", a.Kind)
		}
	}
}

// TestRanIsNotRefused asks upstreams that take a request and then fail. What
// they took is never said not to have run.
func TestRanIsNotRefused(t *testing.T) {
	for _, tt := range []refusal{
		{"draft cut", fault.UpstreamFailed, nil, "/v1/chat/completions", chat, nil},
		{"booking cut", fault.OutcomeUnknown, nil, "/v1/services/orderdesk/reservations", order, withKey("k")},
		{"booking cut, no key", fault.OutcomeUnknown, nil, "/v1/services/orderdesk/reservations", order, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			cut := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
			w.engine.set(cut)
			w.services.set(cut)
			got, err := post(w, tt)
			is.NoErr(err)
			is.Equal(got.Error.Code, tt.kind)
			is.True(!got.Error.NotRun)
			is.True(len(w.engine.take())+len(w.services.take()) > 0)
		})
	}
}

// TestDeadlineKeepsDoubt does not turn an unknown outcome into an invitation to
// come back, when the deadline ends an attempt.
func TestDeadlineKeepsDoubt(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.services.set(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	got, err := post(w, refusal{path: "/v1/services/orderdesk/reservations", body: order})
	is.NoErr(err)
	is.Equal(got.Error.Code, fault.OutcomeUnknown)
	is.Equal(got.Error.RetryAfterMS, int64(0))
}

// TestLookup finds a booking by a key with characters that a path escapes, and
// only for its own team's route.
func TestLookup(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	for _, key := range []string{"a/b?c d%2F", "ä", "k"} {
		a, err := w.caller().Service(t.Context(), "orderdesk", http.MethodPost, "/reservations", key, []byte(order))
		is.NoErr(err)
		is.True(!a.Stored)
		again, err := w.caller().Booking(t.Context(), "orderdesk", key)
		is.NoErr(err)
		is.True(again.Stored)
		is.Equal(string(again.Body), string(a.Body))
	}
	_, err := w.caller().Booking(t.Context(), "orderdesk", "none")
	is.Equal(fault.KindOf(err), fault.NotFound)
	is.Equal(len(w.service.Bookings()), 3)
}

// TestSettled settles what a draft used, and nothing if no engine took it.
func TestSettled(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	_, err := w.caller().Complete(t.Context(), "textdesk", "ten fine sieves", 4, nil)
	is.NoErr(err)
	is.Equal(w.limits.used, fleet.Tokens(3+4))
	is.True(w.limits.charged >= w.limits.used)
	w.upstream.engine = ""
	_, err = w.caller().Complete(t.Context(), "textdesk", "ten fine sieves", 4, nil)
	is.True(err != nil)
	is.Equal(w.limits.used, fleet.Tokens(0))
}

func post(w *world, r refusal) (fault.Body, error) {
	var got fault.Body
	req, err := http.NewRequest(http.MethodPost, w.url+r.path, strings.NewReader(r.body))
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
