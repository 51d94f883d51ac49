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
	"toucanfall/completion"
	"toucanfall/dialect"
	"toucanfall/entry"
	"toucanfall/fleet"
	"toucanfall/internal/httpx"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/timeline"
)

// execution is a request that reached an upstream.
type execution struct {
	team  fleet.TeamID
	route fleet.RouteID
}

// recordingUpstreams is a completer and a booker that record for which team and
// on which route each request ran. mu guards executions.
type recordingUpstreams struct {
	mu         sync.Mutex
	executions map[fleet.RequestID][]execution
}

func (u *recordingUpstreams) record(id fleet.RequestID, team fleet.TeamID, route fleet.RouteID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.executions[id] = append(u.executions[id], execution{team, route})
}

func (u *recordingUpstreams) Run(_ context.Context, job completion.Job, sink completion.Sink) (completion.Result, error) {
	u.record(job.Request, job.Team, job.Route.ID)
	return completion.Result{}, sink.Token(dialect.Chunk{Text: "x"})
}

func (u *recordingUpstreams) Do(_ context.Context, c booking.Call) (booking.Answer, error) {
	u.record(c.Request, c.Team, c.Route.ID)
	return booking.Answer{Status: http.StatusOK}, nil
}

func (u *recordingUpstreams) Lookup(fleet.TeamID, fleet.RouteID, string) (booking.Answer, error) {
	return booking.Answer{}, nil
}

// tenancy is a drawn set of teams, routes and keys, some of them withdrawn.
type tenancy struct {
	teams     []fleet.TeamID
	routes    []fleet.Route
	keys      []fleet.Key
	secrets   map[fleet.KeyID]fleet.Secret
	withdrawn map[fleet.KeyID]bool
}

func drawTenancy(t *rapid.T) *tenancy {
	n := &tenancy{secrets: make(map[fleet.KeyID]fleet.Secret), withdrawn: make(map[fleet.KeyID]bool)}
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
		n.withdrawn[id] = rapid.IntRange(0, 3).Draw(t, "withdrawn") == 0
	}
	return n
}

// state returns the state after applying a record for each team, route and key,
// as operators' commands do.
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

// testCall is one request of a caller.
type testCall struct {
	route fleet.Route
	// key is the id of the key that header holds as a bearer token, or "" if
	// header holds none.
	key    fleet.KeyID
	header string
}

func (n *tenancy) drawCall(t *rapid.T) testCall {
	c := testCall{route: rapid.SampledFrom(n.routes).Draw(t, "route")}
	if rapid.IntRange(0, 3).Draw(t, "malformed") == 0 {
		malformed := []string{"", "Bearer unknown", "Bearer ", "Basic " + string(n.secrets["key-0"]), string(n.secrets["key-0"])}
		c.header = rapid.SampledFrom(malformed).Draw(t, "header")
		return c
	}
	c.key = rapid.SampledFrom(n.keys).Draw(t, "key").ID
	c.header = "Bearer " + string(n.secrets[c.key])
	return c
}

// allowed returns the only team for which the call may run, and whether it may
// run.
func (n *tenancy) allowed(c testCall) (fleet.TeamID, bool) {
	for _, k := range n.keys {
		if k.ID == c.key && !n.withdrawn[k.ID] {
			return k.Team, c.route.Open || slices.Contains(c.route.Teams, k.Team)
		}
	}
	return "", c.route.Open && c.header == ""
}

// send sends the call with a query, a body and headers that claim to come from
// claimedTeam.
func (c testCall) send(h http.Handler, claimedTeam fleet.TeamID) *httptest.ResponseRecorder {
	target, body := "/v1/services/"+string(c.route.ID)+"/x?team="+string(claimedTeam), "{}"
	if c.route.Kind == fleet.RouteDraft {
		target = "/v1/chat/completions?team=" + string(claimedTeam)
		body = fmt.Sprintf(`{"model": %q, "team": %q, "user": %q, "messages": [{"role": "user", "content": "hi"}]}`, c.route.ID, claimedTeam, claimedTeam)
	}
	r := httptest.NewRequest(http.MethodPost, target, strings.NewReader(body))
	if c.header != "" {
		r.Header.Set("Authorization", c.header)
	}
	r.Header.Set("X-Team", string(claimedTeam))
	r.Header.Set(httpx.HeaderRequestID, "claimed")
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec
}

// TestPromiseRequestRunsOnlyForItsTeam sends requests of drawn teams
// concurrently and checks that each ran for the team of its key and on the
// route that it named, or did not run.
func TestPromiseRequestRunsOnlyForItsTeam(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawTenancy(t)
		up := &recordingUpstreams{executions: make(map[fleet.RequestID][]execution)}
		h := newHandler(n, n.state(t), up)
		calls := rapid.SliceOfN(rapid.Custom(n.drawCall), 1, 16).Draw(t, "calls")
		answers := make([]*httptest.ResponseRecorder, len(calls))
		var wg sync.WaitGroup
		for i, c := range calls {
			wg.Go(func() { answers[i] = c.send(h, n.teams[0]) })
		}
		wg.Wait()
		for i, c := range calls {
			n.check(t, c, answers[i], up)
		}
	})
}

func newHandler(n *tenancy, state *ledger.State, up *recordingUpstreams) http.Handler {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	rec := timeline.New("a", 16, logger)
	ring := keyring.New(state, rec)
	for id, withdrawn := range n.withdrawn {
		if withdrawn {
			ring.Withdraw(keyring.Withdrawal{Key: id})
		}
	}
	return entry.New(entry.Config{
		State:     state,
		Keyring:   ring,
		Completer: up,
		Booker:    up,
		Limiter:   &fakeLimits{},
		Queue:     &fakeLimits{},
		Recorder:  rec,
		Ready:     func() error { return nil },
		Draining:  func() bool { return false },
	}).Handler()
}

// check fails the test unless the call ran exactly as it was allowed to.
func (n *tenancy) check(t *rapid.T, c testCall, answer *httptest.ResponseRecorder, up *recordingUpstreams) {
	got := up.executions[fleet.RequestID(answer.Header().Get(httpx.HeaderRequestID))]
	team, allowed := n.allowed(c)
	switch {
	case !allowed && len(got) > 0:
		t.Fatalf("%+v must not run, but ran as %+v", c, got)
	case !allowed && answer.Code/100 != 4:
		t.Fatalf("%+v did not run, but got status %d", c, answer.Code)
	case allowed && !slices.Equal(got, []execution{{team, c.route.ID}}):
		t.Fatalf("%+v of team %q ran as %+v, got status %d: %s", c, team, got, answer.Code, answer.Body)
	}
}
