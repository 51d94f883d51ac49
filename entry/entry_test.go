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
	"toucanfall/dialect"
	"toucanfall/draft"
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

// world is one entry server between real connections: callers on one side, an
// engine and a service on the other.
type world struct {
	url      string
	state    *ledger.State
	keyring  *keyring.Keyring
	log      *standin.Log
	service  *standin.Service
	engine   *seen
	services *seen
	follower *ledger.Follower
	limits   *limits
	upstream *addresses
	ready    error
	inFlight func() int64
}

// seen is an upstream handler that keeps what it got.
type seen struct {
	mu       sync.Mutex
	next     http.Handler
	requests []string
}

func (s *seen) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	s.mu.Lock()
	s.requests = append(s.requests, fmt.Sprint(r.Method, r.RequestURI, r.Header, r.Trailer, string(body)))
	next := s.next
	s.mu.Unlock()
	next.ServeHTTP(w, r)
}

func (s *seen) take() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.requests
	s.requests = nil
	return out
}

func (s *seen) set(h http.HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = h
}

// addresses is a pool with fixed upstreams; an empty address has none.
type addresses struct {
	engine, service string
}

func (p *addresses) Engine(upstream.Want) (*upstream.Lease, error) {
	return lease(p.engine)
}

func (p *addresses) Service(_ string, avoid []fleet.UpstreamID) (*upstream.Lease, error) {
	if len(avoid) > 0 {
		return lease("")
	}
	return lease(p.service)
}

func lease(address string) (*upstream.Lease, error) {
	if address == "" {
		return nil, fault.New(fault.NoUpstream, "none")
	}
	return upstream.NewLease(fleet.VM{ID: "up", Address: address}), nil
}

// limits admits everything unless an error is set, and adds up what is settled.
type limits struct {
	take, enter error
	mu          sync.Mutex
	charged     fleet.Tokens
	used        fleet.Tokens
}

func (l *limits) Take(_ context.Context, _ fleet.TeamID, n fleet.Tokens) (entry.Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.charged = n
	return l, l.take
}

func (l *limits) Settle(used fleet.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = used
}

func (l *limits) Enter(context.Context, entry.QueuedRequest) (func(), error) {
	return func() {}, l.enter
}

func newWorld(t *testing.T) *world {
	is := is.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	rec := timeline.New("test", 64, logger)
	w := &world{log: standin.NewLog(), service: standin.NewService(rec), limits: &limits{}, state: ledger.NewState()}
	w.follower = ledger.NewFollower(w.log, w.state, rec)
	t.Cleanup(w.follower.Close)
	w.keyring = keyring.New(w.state, rec)
	w.configure(is)

	engine := standin.NewEngine(standin.EngineConfig{Capacity: 100}, rec)
	is.NoErr(engine.Order(dialect.Order{Kind: dialect.OrderLoadModel, Model: "m", Size: 1}))
	w.engine = &seen{next: engine}
	w.services = &seen{next: w.service}
	es, ss := httptest.NewServer(w.engine), httptest.NewServer(w.services)
	t.Cleanup(es.Close)
	t.Cleanup(ss.Close)
	w.upstream = &addresses{engine: es.Listener.Addr().String(), service: ss.Listener.Addr().String()}

	engines := dialect.NewEngines(dialect.NewTransport())
	booker := booking.New("vm", w.upstream, booking.NewClient(dialect.NewTransport(), rec), w.follower, w.state.Bookings, rec)
	t.Cleanup(booker.Close)
	s := entry.New(entry.Config{
		State:    w.state,
		Keyring:  w.keyring,
		Drafter:  draft.New(w.upstream, engines, rec),
		Booker:   booker,
		Limiter:  w.limits,
		Queue:    w.limits,
		Recorder: rec,
		Ready:    func() error { return w.ready },
		Draining:  func() bool { return false },
	})
	hs := httptest.NewServer(s.Handler())
	t.Cleanup(hs.Close)
	w.url = hs.URL
	w.inFlight = s.InFlight
	return w
}

func (w *world) configure(is *is.I) {
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
		v, err := w.follower.Propose(ctx, record)
		cancel()
		is.NoErr(err)
		is.NoErr(v.Err())
	}
}

func (w *world) caller() *caller.Client {
	return caller.New(w.url, secret, http.DefaultTransport)
}

// script answers a chat with the chunks of a plan.
func script(t *rapid.T) (http.HandlerFunc, string) {
	kind := rapid.SampledFrom([]string{"whole", "cut", "reset", "twice", "skip", "crossed", "late", "abort", "extra"}).Draw(t, "defect")
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
				switch kind {
				case "cut":
					return
				case "reset":
					panic(http.ErrAbortHandler)
				case "twice":
					sendChunk(w, c)
				case "skip":
					continue
				case "crossed":
					c.ID, c.Text = "another", "not yours "
				case "late":
					c.Position, c.Text = max(0, i-1), tokens[max(0, i-1)]
				case "abort":
					c.Finish = "abort"
				}
			}
			sendChunk(w, c)
		}
		sendChunk(w, dialect.Chunk{ID: id, Position: len(tokens), Finish: "stop", PromptTokens: 2})
		if kind == "extra" {
			sendChunk(w, dialect.Chunk{ID: "another", Text: "not yours "})
		}
	}, kind
}

func sendChunk(w http.ResponseWriter, c dialect.Chunk) {
	b, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
	_ = http.NewResponseController(w).Flush()
}

// TestPromiseWholeOwnAnswer sends drafts, streamed and not, to engines whose
// answers are cut, doubled, crossed or late. A caller has the whole answer to
// its own request or an error, and never a text that is not the beginning of
// it.
func TestPromiseWholeOwnAnswer(t *testing.T) {
	w := newWorld(t)
	rapid.Check(t, func(t *rapid.T) {
		var plans []http.HandlerFunc
		for range 4 {
			h, _ := script(t)
			plans = append(plans, h)
		}
		var mu sync.Mutex
		w.engine.set(func(rw http.ResponseWriter, r *http.Request) {
			mu.Lock()
			h := plans[0]
			plans = append(plans[1:], h)
			mu.Unlock()
			h(rw, r)
		})
		n := rapid.IntRange(1, 8).Draw(t, "tokens")
		prompt := fmt.Sprintf("word%d", rapid.IntRange(0, 99).Draw(t, "word"))
		var onToken func(string)
		if rapid.Bool().Draw(t, "stream") {
			onToken = func(string) {}
		}
		d, err := w.caller().Complete(context.Background(), "textdesk", prompt, n, onToken)
		tokens := standin.AnswerTokens(dialect.GenerateRequest{MaxTokens: n, Messages: []dialect.Message{{Content: prompt}}})
		whole := strings.Join(tokens, "")
		if err == nil && (d.Text != whole || d.Tokens != n) {
			t.Fatalf("got %q as a whole answer", d.Text)
		}
		if !strings.HasPrefix(whole, d.Text) {
			t.Fatalf("got %q of %q", d.Text, whole)
		}
	})
}

// TestPromiseUpstreamNeverSeesKey sends the key in drawn places of a request.
// Either it is refused or the upstream sees neither the key nor a header of the
// caller's choice.
func TestPromiseUpstreamNeverSeesKey(t *testing.T) {
	w := newWorld(t)
	headers := []string{"Cookie", "X-Api-Key", "Proxy-Authorization", "Connection", "Keep-Alive", "Te", "X-Forwarded-For", "Forwarded", "X-Request-Id", "X-Priority", "Idempotency-Key", "Content-Type", "User-Agent", "Accept"}
	rapid.Check(t, func(t *rapid.T) {
		w.engine.take()
		w.services.take()
		text := func(label string) string {
			return rapid.SampledFrom([]string{"plain", string(secret), "x" + string(secret) + "y"}).Draw(t, label)
		}
		req := draw(t, w.url, text)
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
		for _, got := range append(w.engine.take(), w.services.take()...) {
			if strings.Contains(got, string(secret)) {
				t.Fatalf("upstream saw %s", got)
			}
			if strings.Contains(got, "chosen by the caller") {
				t.Fatalf("a header went up: %s", got)
			}
		}
	})
}

// draw returns a request to either kind of upstream.
func draw(t *rapid.T, url string, text func(string) string) *http.Request {
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
