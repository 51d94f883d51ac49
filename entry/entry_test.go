package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"toucanfall/booking"
	"toucanfall/caller"
	"toucanfall/completion"
	"toucanfall/dialect"
	"toucanfall/entry"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/settings"
	"toucanfall/standin"
	"toucanfall/timeline"
	"toucanfall/upstream"
)

// secret is the key of the team "quotes".
const secret = fleet.Secret("sk-quotes-0123456789")

// fixture is an entry server with real connections: to callers on one side, to
// an engine and a service on the other.
type fixture struct {
	url            string
	state          *ledger.State
	keyring        *keyring.Keyring
	store          *standin.Log
	service        *standin.Service
	engineHandler  *recordingHandler
	serviceHandler *recordingHandler
	follower       *ledger.Follower
	limits         *fakeLimits
	pool           *fixedPool
	readyErr       error
	inFlight       func() int64
}

// recordingHandler is an upstream handler that records the requests it
// receives. mu guards next and requests.
type recordingHandler struct {
	mu       sync.Mutex
	next     http.Handler
	requests []string
}

func (s *recordingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	s.mu.Lock()
	s.requests = append(s.requests, fmt.Sprint(r.Method, r.RequestURI, r.Header, r.Trailer, string(body)))
	next := s.next
	s.mu.Unlock()
	next.ServeHTTP(w, r)
}

func (s *recordingHandler) takeRequests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.requests
	s.requests = nil
	return out
}

func (s *recordingHandler) setNext(h http.HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = h
}

// fixedPool is a pool with one engine and one service. An empty address means
// that there is no such upstream.
type fixedPool struct {
	engineAddress, serviceAddress string
}

func (p *fixedPool) Engine(upstream.Requirements) (*upstream.Lease, error) {
	return newLease(p.engineAddress)
}

func (p *fixedPool) Service(_ string, avoid []fleet.UpstreamID) (*upstream.Lease, error) {
	if len(avoid) > 0 {
		return newLease("")
	}
	return newLease(p.serviceAddress)
}

func newLease(address string) (*upstream.Lease, error) {
	if address == "" {
		return nil, fault.New(fault.NoUpstream, "none")
	}
	return upstream.NewLease(fleet.VM{ID: "up", Address: address}), nil
}

// fakeLimits is a limiter and a queue that admits everything unless an error is
// set. It keeps the last charge and the last settlement.
type fakeLimits struct {
	takeErr, enterErr error
	mu                sync.Mutex
	lastCharge        fleet.Tokens
	lastSettled       fleet.Tokens
}

func (l *fakeLimits) Take(_ context.Context, _ fleet.TeamID, n fleet.Tokens) (entry.Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCharge = n
	return l, l.takeErr
}

func (l *fakeLimits) Settle(used fleet.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSettled = used
}

func (l *fakeLimits) Enter(context.Context, entry.QueuedRequest) (func(), error) {
	return func() {}, l.enterErr
}

func newFixture(t *testing.T) *fixture {
	is := is.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	rec := timeline.New("test", 64, logger)
	f := &fixture{store: standin.NewLog(), service: standin.NewService(rec), limits: &fakeLimits{}, state: ledger.NewState()}
	f.follower = ledger.NewFollower(f.store, f.state, rec)
	t.Cleanup(f.follower.Close)
	f.keyring = keyring.New(f.state, rec)
	f.configure(is)

	engine := standin.NewEngine(standin.EngineConfig{Capacity: 100}, rec)
	is.NoErr(engine.Order(dialect.Order{Kind: dialect.OrderLoadModel, Model: "m", Size: 1}))
	f.engineHandler = &recordingHandler{next: engine}
	f.serviceHandler = &recordingHandler{next: f.service}
	es, ss := httptest.NewServer(f.engineHandler), httptest.NewServer(f.serviceHandler)
	t.Cleanup(es.Close)
	t.Cleanup(ss.Close)
	f.pool = &fixedPool{engineAddress: es.Listener.Addr().String(), serviceAddress: ss.Listener.Addr().String()}

	engines := dialect.NewEngines(dialect.NewTransport())
	booker := booking.New("vm", f.pool, booking.NewClient(dialect.NewTransport(), rec), f.follower, f.state.Bookings, rec)
	t.Cleanup(booker.Close)
	s := entry.New(entry.Config{
		State:     f.state,
		Keyring:   f.keyring,
		Completer: completion.New(f.pool, engines, rec),
		Booker:    booker,
		Limiter:   f.limits,
		Queue:     f.limits,
		Recorder:  rec,
		Ready:     func() error { return f.readyErr },
		Draining:  func() bool { return false },
	})
	hs := httptest.NewServer(s.Handler())
	t.Cleanup(hs.Close)
	f.url = hs.URL
	f.inFlight = s.InFlight
	return f
}

func (f *fixture) configure(is *is.I) {
	for _, r := range []struct {
		kind ledger.Kind
		body any
	}{
		{ledger.KindTeam, fleet.Team{ID: "quotes"}},
		{ledger.KindTeam, fleet.Team{ID: "others"}},
		{ledger.KindKey, fleet.Key{ID: "k1", Team: "quotes", Hash: secret.Hash()}},
		{ledger.KindModel, fleet.Model{ID: "m", Version: "v1", Size: 1}},
		{ledger.KindRoute, fleet.Route{ID: "textdesk", Kind: fleet.RouteDraft, Model: "m", Teams: []fleet.TeamID{"quotes"}}},
		{ledger.KindRoute, fleet.Route{ID: "orderdesk", Kind: fleet.RouteService, Service: "orderdesk", Teams: []fleet.TeamID{"quotes"}}},
		{ledger.KindRoute, fleet.Route{ID: "secret", Kind: fleet.RouteService, Service: "orderdesk", Teams: []fleet.TeamID{"others"}}},
		{ledger.KindSetting, settings.Put{Path: settings.Path{Level: "route/orderdesk", Name: settings.Deadline}, Value: settings.Value{RawMessage: []byte(`"2s"`)}}},
	} {
		record, err := ledger.NewRecord(r.kind, "test", timeline.Stamp{}, 0, r.body)
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		v, err := f.follower.Propose(ctx, record)
		cancel()
		is.NoErr(err)
		is.NoErr(v.Err())
	}
}

func (f *fixture) caller() *caller.Client {
	return caller.New(f.url, secret, http.DefaultTransport)
}

// drawDefectiveEngine returns the handler of an engine whose answers have a
// drawn defect at a drawn position, and the defect.
func drawDefectiveEngine(t *rapid.T) (http.HandlerFunc, string) {
	defect := rapid.SampledFrom([]string{"none", "truncated", "reset", "duplicate", "skip", "other_request", "stale", "abort", "extra"}).Draw(t, "defect")
	at := rapid.IntRange(0, 8).Draw(t, "at")
	return func(w http.ResponseWriter, r *http.Request) {
		var g dialect.GenerateRequest
		if json.NewDecoder(r.Body).Decode(&g) != nil {
			return
		}
		id := fleet.RequestID(r.Header.Get(dialect.HeaderRequestID))
		tokens := standin.AnswerTokens(g)
		for i := g.ResumeFrom; i < len(tokens); i++ {
			c := dialect.Chunk{ID: id, Position: i, Text: tokens[i]}
			if i == at {
				switch defect {
				case "truncated":
					return
				case "reset":
					panic(http.ErrAbortHandler)
				case "duplicate":
					sendChunk(w, c)
				case "skip":
					continue
				case "other_request":
					c.ID, c.Text = "another", "not yours "
				case "stale":
					c.Position, c.Text = max(0, i-1), tokens[max(0, i-1)]
				case "abort":
					c.Finish = "abort"
				}
			}
			sendChunk(w, c)
		}
		sendChunk(w, dialect.Chunk{ID: id, Position: len(tokens), Finish: "stop", PromptTokens: 2})
		if defect == "extra" {
			sendChunk(w, dialect.Chunk{ID: "another", Text: "not yours "})
		}
	}, defect
}

func sendChunk(w http.ResponseWriter, c dialect.Chunk) {
	b, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
	_ = http.NewResponseController(w).Flush()
}

// TestPromiseCompleteOwnAnswer sends completion requests, streamed and not, to
// engines whose answers are truncated, repeat or skip chunks, or contain chunks
// of another request. A caller must get either the complete answer to its own
// request, or an error after a prefix of that answer.
func TestPromiseCompleteOwnAnswer(t *testing.T) {
	f := newFixture(t)
	rapid.Check(t, func(t *rapid.T) {
		var handlers []http.HandlerFunc
		for range 4 {
			h, _ := drawDefectiveEngine(t)
			handlers = append(handlers, h)
		}
		var mu sync.Mutex
		f.engineHandler.setNext(func(rw http.ResponseWriter, r *http.Request) {
			mu.Lock()
			h := handlers[0]
			handlers = append(handlers[1:], h)
			mu.Unlock()
			h(rw, r)
		})
		n := rapid.IntRange(1, 8).Draw(t, "tokens")
		prompt := fmt.Sprintf("word%d", rapid.IntRange(0, 99).Draw(t, "word"))
		var onToken func(string)
		if rapid.Bool().Draw(t, "stream") {
			onToken = func(string) {}
		}
		d, err := f.caller().Complete(context.Background(), "textdesk", prompt, n, onToken)
		tokens := standin.AnswerTokens(dialect.GenerateRequest{MaxTokens: n, Messages: []dialect.Message{{Content: prompt}}})
		complete := strings.Join(tokens, "")
		if err == nil && (d.Text != complete || d.Tokens != n) {
			t.Fatalf("got %q as a complete answer", d.Text)
		}
		if !strings.HasPrefix(complete, d.Text) {
			t.Fatalf("got %q, which is not a prefix of %q", d.Text, complete)
		}
	})
}

// TestPromiseUpstreamNeverSeesKey puts the key in drawn parts of a request.
// Either the request is refused, or the upstream receives neither the key nor a
// header that the caller set.
func TestPromiseUpstreamNeverSeesKey(t *testing.T) {
	f := newFixture(t)
	headers := []string{"Cookie", "X-Api-Key", "Proxy-Authorization", "Connection", "Keep-Alive", "Te", "X-Forwarded-For", "Forwarded", "X-Request-Id", "X-Priority", "Idempotency-Key", "Content-Type", "User-Agent", "Accept"}
	rapid.Check(t, func(t *rapid.T) {
		f.engineHandler.takeRequests()
		f.serviceHandler.takeRequests()
		text := func(label string) string {
			return rapid.SampledFrom([]string{"plain", string(secret), "x" + string(secret) + "y"}).Draw(t, label)
		}
		req := drawRequest(t, f.url, text)
		req.Header.Set("Authorization", rapid.SampledFrom([]string{"Bearer ", "bearer ", "BEARER  "}).Draw(t, "scheme")+string(secret))
		for _, h := range rapid.SliceOfNDistinct(rapid.SampledFrom(headers), 0, 5, rapid.ID[string]).Draw(t, "headers") {
			if h == "Content-Type" {
				req.Header.Set(h, text(h))
				continue
			}
			req.Header.Set(h, text(h)+" chosen by the caller")
		}
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		for _, got := range append(f.engineHandler.takeRequests(), f.serviceHandler.takeRequests()...) {
			if strings.Contains(got, string(secret)) {
				t.Fatalf("the key was forwarded to the upstream: %s", got)
			}
			if strings.Contains(got, "chosen by the caller") {
				t.Fatalf("a caller's header was forwarded to the upstream: %s", got)
			}
		}
	})
}

// drawRequest returns a request for an engine or a service. text draws the
// value of each part.
func drawRequest(t *rapid.T, url string, text func(string) string) *http.Request {
	target := url + "/v1/chat/completions"
	body := fmt.Sprintf(`{"model":"textdesk","max_tokens":1,"messages":[{"role":"user","content":%q}]}`, text("content"))
	if rapid.Bool().Draw(t, "service") {
		target = url + "/v1/services/orderdesk/reservations/" + text("path") + "?q=" + text("query")
		body = fmt.Sprintf(`{"item":%q}`, text("item"))
	}
	req, err := http.NewRequest(http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return req
}
