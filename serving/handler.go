package serving

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"toucanfall/catalogue"
	"toucanfall/courier"
	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/guard"
	"toucanfall/metric"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// Wire translates between calls and the headers of requests and answers.
type Wire interface {
	Key(r *http.Request) string
	ID(r *http.Request) fleet.RequestID
	ReadCall(r *http.Request) (*Call, error)
	Head(c *Call, a AttemptHeader) []byte
	IsAnswerTo(c *Call, status int, h http.Header) bool
	ReadReply(status int, h http.Header) Reply
	ReadNotice(status int, h http.Header) ResponseNotice
	AnswerHeader(h http.Header) http.Header
}

// Rates hold teams to their limits over all VMs.
type Rates interface {
	// Take charges a team. If it is over its limit it returns false and when
	// enough will be there.
	Take(ctx context.Context, t *catalogue.Team, n fleet.Tokens) (time.Duration, bool)
	// Refund gives back what a request that did not run was charged.
	Refund(t fleet.TeamID, n fleet.Tokens)
}

// Loader brings adapters to engines.
type Loader interface {
	// Load returns an engine that has the adapter, once it can be used there,
	// other than those to avoid.
	LoadAdapter(ctx context.Context, s catalogue.ServiceID, a roster.Adapter, avoid []fleet.UpstreamID) (fleet.UpstreamID, error)
	// Used notes the use of an adapter at an engine.
	RecordUse(u fleet.UpstreamID, a roster.Adapter)
	// Asked counts a request for a model, whether it is served or not.
	CountRequest(s catalogue.ServiceID, m fleet.ModelID, tokens fleet.Tokens)
}

// Directory tells how far what is known of the upstreams can be trusted.
type Directory interface {
	// Age returns how long ago the directory is known to have been what the roster is.
	Staleness() time.Duration
	// InTime reports whether requests may be sent by it.
	Fresh() bool
	// Await waits until that is so, or until ctx ends.
	AwaitFresh(ctx context.Context)
}

// Config holds the dependencies and bounds of a Handler.
type Config struct {
	DataCentre fleet.DataCentre
	Wire       Wire
	Dial       courier.Dialer
	Catalogue  *catalogue.Holder
	Roster     *roster.Roster
	Rates      Rates
	Permits    PermitSource
	Loader     Loader
	Events     *timeline.Recorder
	Metrics    *metric.Set
	Panics     *guard.PanicReporter
	// StaleAfter is how old the proof of the configuration may be for requests
	// with a key.
	StaleAfter time.Duration
	// Budget bounds the repeated sends.
	Budget *RetryBudget
	// Sharers returns how many VMs choose among the same upstreams.
	VMCount func() float64
	// Stopping tells when a planned stop ends the process, the zero time while
	// there is none.
	StopAt  func() time.Time
	Directory Directory
}

// Handler serves clients' requests.
type Handler struct {
	cfg     Config
	pools   *pools
	pick    *Picker
	notices *notices
}

// New returns a handler.
func New(cfg Config) *Handler {
	n := newNotices(cfg)
	p := newPools(cfg.Dial, n.hear)
	return &Handler{
		cfg:     cfg,
		pools:   p,
		pick:    NewPicker(cfg.Roster, cfg.DataCentre, cfg.VMCount, p.connected, rand.Float64),
		notices: n,
	}
}

// Pool returns the connections to an upstream, which the coordinator shares.
func (h *Handler) Pool(u *roster.Upstream) *courier.Pool {
	return h.pools.of(u)
}

// maxBodyBytes bounds bodies while the configuration sets no limit.
const maxBodyBytes = 4 << 20

// Bounds of the time that a caller has for its body.
const (
	// bodyTime is the time of a route that has none.
	bodyTime = 30 * time.Second
	// unreadTime is the time for the rest of a body after its request was refused.
	unreadTime = time.Second
)

// maxUnread bounds what is read of a body after its request was refused.
const maxUnread = 1 << 20

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	end := h.cfg.StopAt()
	if !end.IsZero() {
		w.Header().Set("Connection", "close")
	}
	a := newAnswer(w, h.cfg.Wire, received)
	var c *Call
	err := guard.Run(func() (err error) {
		c, err = h.handle(r, a, end)
		return err
	})
	var p *guard.Panic
	if errors.As(err, &p) {
		h.cfg.Panics.Report("request", p)
		if a.begun {
			err = errBegun
		}
	}
	if err != nil {
		a.readBy(time.Now().Add(unreadTime))
		h.refuse(w, r, c, err)
	}
}

// handle serves a request, up to an error that its caller is to be told.
func (h *Handler) handle(r *http.Request, a *answer, end time.Time) (*Call, error) {
	c, team, err := h.admit(r, a)
	if err == nil {
		err = c.endsBy(end)
	}
	if err == nil {
		err = h.charge(r.Context(), c, team)
	}
	if err == nil {
		err = h.run(r.Context(), c, a)
	}
	return c, err
}

// admit finds route and team, and reads the request as a whole.
func (h *Handler) admit(r *http.Request, a *answer) (*Call, *catalogue.Team, error) {
	cfg, age := h.cfg.Catalogue.Current()
	if cfg == nil {
		return nil, nil, fault.New(fault.NotReady, "this VM knows no configuration yet")
	}
	fresh := age < h.cfg.StaleAfter
	route, ok := cfg.Match(hostname(r.Host), r.URL.Path)
	if !ok && !fresh {
		return nil, nil, staleError(age)
	}
	if !ok {
		return nil, nil, fault.New(fault.NotFound, "no route for host %q and path %q", r.Host, r.URL.Path)
	}
	team, err := h.authenticate(cfg, route, r, age)
	if err != nil {
		return nil, nil, err
	}
	c, err := h.cfg.Wire.ReadCall(r)
	if err != nil {
		return nil, nil, err
	}
	c.Route, c.received, c.Priority = route, a.pacing.began, rank(route, team)
	if team != nil {
		c.Team = team.ID
	}
	c.Body, err = a.readBody(r, cfg.Limits.BodyBytes, c.deadline())
	return c, team, err
}

// teamRanks is how many ranks of routes lie between two ranks of teams.
const teamRanks = 3

// rank returns the rank of a request among those that wait at engines: by the
// team's priority first, and among teams that are alike by the route's.
func rank(route *catalogue.Route, team *catalogue.Team) int {
	r := min(max(route.Priority, 0), teamRanks-1)
	if team != nil && team.HasPriority {
		r += teamRanks * max(team.Priority, 0)
	}
	return r
}

func staleError(age time.Duration) error {
	return fault.New(fault.ConfigStale, "the configuration was last proved to be the newest %s ago", age.Round(time.Millisecond))
}

// authenticate returns the team whose key the request shows, nil on a public
// route. A key that is not known is refused as such only on fresh knowledge.
func (h *Handler) authenticate(cfg *catalogue.Config, route *catalogue.Route, r *http.Request, age time.Duration) (*catalogue.Team, error) {
	if route.Public || !cfg.HasTeams() {
		return nil, nil
	}
	if age >= h.cfg.StaleAfter {
		return nil, staleError(age)
	}
	team, ok := cfg.TeamOf(h.cfg.Wire.Key(r))
	if !ok {
		return nil, fault.New(fault.Unauthenticated, "the key is not known")
	}
	return team, nil
}

// hostname strips the port of a Host header.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// readBody reads a caller's body until a time, the zero time for that of a route that has none.
func (a *answer) readBody(r *http.Request, limit int64, until time.Time) ([]byte, error) {
	if r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = maxBodyBytes
	}
	if until.IsZero() {
		until = a.pacing.began.Add(bodyTime)
	}
	a.readBy(until)
	// Behind the body the server reads on, to notice that the caller leaves.
	defer a.readBy(time.Time{})
	if r.ContentLength > limit {
		return nil, fault.New(fault.TooLarge, "the body has %d bytes, more than %d", r.ContentLength, limit)
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "cannot read the body: %w", err)
	}
	if int64(len(b)) > limit {
		return nil, fault.New(fault.TooLarge, "the body has more than %d bytes", limit)
	}
	return b, nil
}

// charge takes what the request may use from its team's limit.
func (h *Handler) charge(ctx context.Context, c *Call, team *catalogue.Team) error {
	if team == nil || team.Rate == 0 {
		return nil
	}
	n := fleet.Tokens(1)
	switch {
	case team.CountsRequests:
	case c.HasTokenCounts:
		n = c.TokensIn + c.TokensOut
	default:
		n = team.PlainTokens
	}
	after, ok := h.cfg.Rates.Take(ctx, team, n)
	if !ok {
		return fault.New(fault.RateLimited, "team %q is over its rate", team.ID).WithRetryAfter(after)
	}
	c.charged = n
	return nil
}

// refuse answers with an error, or cuts the connection if an answer has begun.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, c *Call, err error) {
	kind := fault.KindOf(err)
	id := h.cfg.Wire.ID(r)
	var route string
	var team fleet.TeamID
	if c != nil {
		route, team = c.Route.Kind.String(), c.Team
		if fault.Lookup(kind).NotRun && c.charged > 0 {
			h.cfg.Rates.Refund(c.Team, c.charged)
		}
	}
	h.cfg.Metrics.Rejected(route, team, string(kind))
	h.cfg.Events.Record(event.RequestRefused, timeline.Fields{"request": string(id), "kind": string(kind), "reason": err.Error(), "host": r.Host})
	if errors.Is(err, errBegun) {
		panic(http.ErrAbortHandler)
	}
	// A connection that is closed with unread bytes is reset, and the answer is
	// lost with it. What cannot be read is the client's own loss.
	_, _ = io.CopyN(io.Discard, r.Body, maxUnread)
	status, after, body := fault.Describe(err, string(id))
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		h.cfg.Events.Record(event.CallerCut, timeline.Fields{"request": string(id), "reason": err.Error()})
	}
}
