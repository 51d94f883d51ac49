package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"toucanfall/booking"
	"toucanfall/dialect"
	"toucanfall/draft"
	"toucanfall/entry"
	"toucanfall/fleet"
	"toucanfall/internal/httpx"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/timeline"
)

// ran is what reached the upstreams of a request.
type ran struct {
	team  fleet.TeamID
	route fleet.RouteID
}

// upstreams notes for which team each request ran.
type upstreams struct {
	mu  sync.Mutex
	ran map[fleet.RequestID][]ran
}

func (u *upstreams) note(id fleet.RequestID, team fleet.TeamID, route fleet.RouteID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ran[id] = append(u.ran[id], ran{team, route})
}

func (u *upstreams) Run(_ context.Context, job draft.Job, sink draft.Sink) (draft.Result, error) {
	u.note(job.Request, job.Team, job.Route.ID)
	return draft.Result{}, sink.Token(dialect.Chunk{Text: "x"})
}

func (u *upstreams) Do(_ context.Context, c booking.Call) (booking.Answer, error) {
	u.note(c.Request, c.Team, c.Route.ID)
	return booking.Answer{Status: http.StatusOK}, nil
}

func (u *upstreams) Lookup(fleet.TeamID, fleet.RouteID, string) (booking.Answer, error) {
	return booking.Answer{}, nil
}

// tenancy is a drawn set of teams, routes and keys.
type tenancy struct {
	teams   []fleet.TeamID
	routes  []fleet.Route
	keys    []fleet.Key
	secrets map[fleet.KeyID]fleet.Secret
	gone    map[fleet.KeyID]bool
}

func drawTenancy(t *rapid.T) *tenancy {
	n := &tenancy{secrets: make(map[fleet.KeyID]fleet.Secret), gone: make(map[fleet.KeyID]bool)}
	for i := range rapid.IntRange(1, 4).Draw(t, "teams") {
		n.teams = append(n.teams, fleet.TeamID(fmt.Sprintf("team-%d", i)))
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "routes") {
		r := fleet.Route{ID: fleet.RouteID(fmt.Sprintf("route-%d", i)), Kind: fleet.RouteDraft, Model: "m"}
		if rapid.Bool().Draw(t, "service") {
			r = fleet.Route{ID: r.ID, Kind: fleet.RouteService, Service: "orderdesk"}
		}
		r.Open = rapid.Bool().Draw(t, "open")
		r.Teams = rapid.SliceOfNDistinct(rapid.SampledFrom(n.teams), 1, len(n.teams), rapid.ID).Draw(t, "of")
		n.routes = append(n.routes, r)
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "keys") {
		id := fleet.KeyID(fmt.Sprintf("key-%d", i))
		n.secrets[id] = fleet.Secret(fmt.Sprintf("secret of %s", id))
		n.keys = append(n.keys, fleet.Key{ID: id, Team: rapid.SampledFrom(n.teams).Draw(t, "key of"), Hash: n.secrets[id].Hash()})
		n.gone[id] = rapid.IntRange(0, 3).Draw(t, "gone") == 0
	}
	return n
}

// state folds the tenancy through records, as operators' commands do.
func (n *tenancy) state(t *rapid.T) *ledger.State {
	s := ledger.NewState()
	put := func(kind ledger.Kind, body any) {
		r, err := ledger.NewRecord(kind, "mia", timeline.Stamp{}, 0, body)
		if err != nil {
			t.Fatal(err)
		}
		if v := s.Apply(s.Applied()+1, r); !v.Accepted() {
			t.Fatal(v.Message)
		}
	}
	put(ledger.KindModel, &fleet.Model{ID: "m", Version: "v1", Size: 1})
	for _, id := range n.teams {
		put(ledger.KindTeam, &fleet.Team{ID: id})
	}
	for _, r := range n.routes {
		put(ledger.KindRoute, &r)
	}
	for _, k := range n.keys {
		put(ledger.KindKey, &k)
	}
	return s
}

// call is one request of a caller.
type call struct {
	route fleet.Route
	// key is the key that is shown; "" shows header as it stands.
	key    fleet.KeyID
	header string
}

func (n *tenancy) drawCall(t *rapid.T) call {
	c := call{route: rapid.SampledFrom(n.routes).Draw(t, "route")}
	if rapid.IntRange(0, 3).Draw(t, "odd") == 0 {
		odd := []string{"", "Bearer unknown", "Bearer ", "Basic " + string(n.secrets["key-0"]), string(n.secrets["key-0"])}
		c.header = rapid.SampledFrom(odd).Draw(t, "header")
		return c
	}
	c.key = rapid.SampledFrom(n.keys).Draw(t, "key").ID
	c.header = "Bearer " + string(n.secrets[c.key])
	return c
}

// allowed returns the one team for which the call may run, or false.
func (n *tenancy) allowed(c call) (fleet.TeamID, bool) {
	for _, k := range n.keys {
		if k.ID == c.key && !n.gone[k.ID] {
			return k.Team, c.route.Open || slices.Contains(c.route.Teams, k.Team)
		}
	}
	return "", c.route.Open && c.header == ""
}

// send sends the call with headers that claim to be of another team.
func (c call) send(h http.Handler, claim fleet.TeamID) *httptest.ResponseRecorder {
	target, body := "/v1/services/"+string(c.route.ID)+"/x?team="+string(claim), "{}"
	if c.route.Kind == fleet.RouteDraft {
		target = "/v1/chat/completions?team=" + string(claim)
		body = fmt.Sprintf(`{"model": %q, "team": %q, "user": %q, "messages": [{"role": "user", "content": "hi"}]}`, c.route.ID, claim, claim)
	}
	r := httptest.NewRequest(http.MethodPost, target, strings.NewReader(body))
	if c.header != "" {
		r.Header.Set("Authorization", c.header)
	}
	r.Header.Set("X-Team", string(claim))
	r.Header.Set(httpx.HeaderRequestID, "claimed")
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec
}

// TestPromiseRequestRunsOnlyForItsTeam sends requests of drawn teams all at
// once and asserts for each that it ran for the team of the key that came with
// it, on the route that it named, or that it did not run.
func TestPromiseRequestRunsOnlyForItsTeam(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawTenancy(t)
		up := &upstreams{ran: make(map[fleet.RequestID][]ran)}
		h := newHandler(n, n.state(t), up)
		calls := rapid.SliceOfN(rapid.Custom(n.drawCall), 1, 16).Draw(t, "calls")
		answers := make([]*httptest.ResponseRecorder, len(calls))
		var wg sync.WaitGroup
		for i, c := range calls {
			wg.Go(func() { answers[i] = c.send(h, n.teams[0]) })
		}
		wg.Wait()
		for i, c := range calls {
			n.judge(t, c, answers[i], up)
		}
	})
}

func newHandler(n *tenancy, state *ledger.State, up *upstreams) http.Handler {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	rec := timeline.New("a", 16, logger)
	ring := keyring.New(state, rec)
	for id, gone := range n.gone {
		if gone {
			ring.Withdraw(keyring.Withdrawal{Key: id})
		}
	}
	return entry.New(entry.Config{
		State:    state,
		Keyring:  ring,
		Drafter:  up,
		Booker:   up,
		Limiter:  &limits{},
		Queue:    &limits{},
		Recorder: rec,
		Ready:    func() error { return nil },
		Draining:  func() bool { return false },
	}).Handler()
}

func (n *tenancy) judge(t *rapid.T, c call, answer *httptest.ResponseRecorder, up *upstreams) {
	got := up.ran[fleet.RequestID(answer.Header().Get(httpx.HeaderRequestID))]
	team, allowed := n.allowed(c)
	switch {
	case !allowed && len(got) > 0:
		t.Fatalf("%+v ran as %+v", c, got)
	case !allowed && answer.Code/100 != 4:
		t.Fatalf("%+v did not run, but was answered by %d", c, answer.Code)
	case allowed && !slices.Equal(got, []ran{{team, c.route.ID}}):
		t.Fatalf("%+v of team %q ran as %+v, answered by %d %s", c, team, got, answer.Code, answer.Body)
	}
}
