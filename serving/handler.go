package serving

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"toucanfall/catalogue"
	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/ingress"
	"toucanfall/internal/guard"
	"toucanfall/metric"
	"toucanfall/quarantine"
	"toucanfall/roster"
	"toucanfall/servicetime"
	"toucanfall/timeline"
	"toucanfall/transport"
)

// Wire translates between calls and the headers of requests and answers.
type Wire interface {
	// Key returns the key that a request carries, "" if there is none.
	Key(r *http.Request) string
	// ID returns the id that the client gave the request, "" if it gave none.
	ID(r *http.Request) fleet.RequestID
	// ReadCall decodes the headers of a client's request. It does not read the body. It fails with
	// fault.InvalidRequest if a header is malformed.
	ReadCall(r *http.Request) (*Call, error)
	// Head returns the encoded request line and headers of an attempt.
	Head(c *Call, a AttemptHeader) []byte
	// IsAnswerTo reports whether an answer with this status and these headers answers the call. alone is
	// set if its connection has carried no other request.
	IsAnswerTo(c *Call, status int, h http.Header, alone bool) bool
	// ReadReply decodes what an upstream's answer states about the request.
	ReadReply(status int, h http.Header) Reply
	// ReadNotice decodes the notice in the headers of an upstream's answer.
	ReadNotice(status int, h http.Header) ResponseNotice
	// AnswerHeader returns the headers of an upstream's answer that the client gets.
	AnswerHeader(h http.Header) http.Header
}

// Rates enforces the rate limits of teams over all VMs.
type Rates interface {
	// Take charges a team n tokens and reports whether it is within its limit. If not, it also
	// returns the time until enough tokens are available.
	Take(ctx context.Context, t *catalogue.Team, n fleet.Tokens) (time.Duration, bool)
	// Refund returns the charge of a request that did not run.
	Refund(t fleet.TeamID, n fleet.Tokens)
}

// Loader loads adapters on engines.
type Loader interface {
	// LoadAdapter loads an adapter on an engine that is not in avoid, waits until it can be used
	// there, and returns the engine. It fails if no engine can take the adapter, if the coordinator
	// cannot be reached, or when ctx ends.
	LoadAdapter(ctx context.Context, s catalogue.ServiceID, a roster.Adapter, avoid []fleet.UpstreamID) (fleet.UpstreamID, error)
	// RecordUse records that an adapter is used on an engine.
	RecordUse(u fleet.UpstreamID, a roster.Adapter)
	// CountRequest counts a request for a model, whether or not it can be served.
	CountRequest(s catalogue.ServiceID, m fleet.ModelID, tokens fleet.Tokens)
}

// Directory reports how recently this VM's copy of the directory of upstreams was confirmed.
type Directory interface {
	// Staleness returns the time since the roster was last known to match the directory.
	Staleness() time.Duration
	// Fresh reports whether the roster is recent enough to send requests by it.
	Fresh() bool
	// AwaitFresh waits until Fresh returns true or ctx ends.
	AwaitFresh(ctx context.Context)
}

// Config holds the dependencies and bounds of a Handler.
type Config struct {
	DataCentre fleet.DataCentre
	// Regions maps data centres to their regions.
	Regions   map[fleet.DataCentre]fleet.Region
	Wire      Wire
	Dial      transport.Dialer
	Catalogue *catalogue.Holder
	Roster    *roster.Roster
	Rates     Rates
	Permits   PermitSource
	Prefill   PrefillCredits
	// AccountRuns is set if requests are sent to an engine only while it has slots and memory for them,
	// by the account of its host.
	AccountRuns bool
	Parts       PromptParts
	// Starts asks upstreams whether they live, and for their start.
	Starts  StartProbe
	Loader  Loader
	Events  *timeline.Recorder
	Metrics *metric.Set
	Panics  *guard.PanicReporter
	// StaleAfter is the staleness of the configuration from which requests with a key are
	// rejected.
	StaleAfter time.Duration
	// ConfigWithin is the time within which a configuration must be applied. A staler one does not show that a
	// route or a key does not exist.
	ConfigWithin time.Duration
	// Budget bounds the retries.
	Budget RetryBudget
	// VMCount returns how many VMs choose among the same upstreams, this one included.
	VMCount func() float64
	// StopAt returns when a planned stop ends the process, the zero time if none is planned.
	StopAt func() time.Time
	// BalancerStopLead is how long before that time the VM stops getting connections from the balancer.
	BalancerStopLead time.Duration
	Directory        Directory
	// Space is the budget for bodies and responses, nil if there is none.
	Space *ingress.Bytes
	// CallAnswers is the budget for the answers of upstreams to the VM's own calls, nil if there is none.
	CallAnswers *ingress.Bytes
	// OnReject, if not nil, is called for each request that a bound of package ingress ends.
	OnReject func(ingress.Kind)
}

// Handler serves clients' requests.
type Handler struct {
	cfg     Config
	pools   *pools
	picker  *Picker
	notices *noticeHandler
	crashes *crashDetector
	open    openRequests
	// durations estimates how long requests last.
	durations servicetime.Durations
	retries   *retries
}

// New returns a handler.
func New(cfg Config) *Handler {
	n := newNoticeHandler(cfg)
	p := newPools(cfg.Dial, n.receive, cfg.CallAnswers)
	picker := NewPicker(cfg.Roster, cfg.DataCentre, cfg.VMCount, p.connected, rand.Float64)
	picker.regions = cfg.Regions
	return &Handler{
		cfg:     cfg,
		pools:   p,
		picker:  picker,
		notices: n,
		crashes: newCrashDetector(cfg.Dial, cfg.Roster, cfg.Starts, cfg.CallAnswers, p.get),
		retries: newRetries(cfg),
	}
}

// Pool returns the connection pool of an upstream. The coordinator's requests use it too.
func (h *Handler) Pool(u *roster.Upstream) *transport.Pool {
	return h.pools.get(u)
}

// CloseIdle closes the connections to upstreams that carry no request.
func (h *Handler) CloseIdle() {
	h.pools.closeIdle()
}

// maxBodyBytes is the longest body of a request if the configuration sets no limit.
const maxBodyBytes = 4 << 20

// Limits of the time in which a client must send its body.
const (
	// defaultBodyTimeout applies to calls without a deadline.
	defaultBodyTimeout = 30 * time.Second
	// unreadBodyTimeout applies to the rest of the body of a rejected request.
	unreadBodyTimeout = time.Second
)

// maxUnreadBytes is how much is read of the rest of the body of a rejected request.
const maxUnreadBytes = 1 << 20

// ServeHTTP serves one request. A panic while it does so is recorded, and fails this request only. If
// an answer that has begun cannot be completed, it panics with http.ErrAbortHandler, by which net/http
// closes the connection.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	a := newAnswer(w, h.cfg.Wire, h.open.add(h.cfg.Wire.ID(r), received))
	a.stopping = func() bool { return !h.cfg.StopAt().IsZero() }
	if conn := ingress.ConnOf(r.Context()); conn != nil {
		a.drained = conn.Drained
	}
	a.end = newConnectionEnd(a.rc, r)
	a.space = h.cfg.Space.Reservation()
	defer a.space.Release()
	defer a.open.remove()
	var c *Call
	err := guard.Run(func() (err error) {
		c, err = h.handle(r, a)
		return err
	})
	var p *guard.Panic
	if errors.As(err, &p) {
		h.cfg.Panics.Report("request", p)
		if a.headerSent {
			err = &answerAborted{&breakError{BreakPanic, p}, nil}
		}
	}
	if a.readerSlow && h.cfg.OnReject != nil {
		h.cfg.OnReject(ingress.ReaderSlow)
	}
	if err != nil {
		a.setReadDeadline(time.Now().Add(unreadBodyTimeout))
		var aborted *answerAborted
		if errors.As(err, &aborted) {
			h.abort(c, a, aborted)
		}
		h.writeError(w, r, c, a, err)
	}
}

// abort breaks off an answer that has begun. It does not return: net/http closes the connection of a
// handler that panics.
func (h *Handler) abort(c *Call, a *answer, aborted *answerAborted) {
	h.countRejected(c, fault.KindOf(aborted))
	err := aborted.err
	if resetErr := a.end.reset(); resetErr != nil {
		err = fmt.Errorf("%w; the connection cannot be reset: %w", err, resetErr)
	}
	h.recordBroken(a.open, breakReason(aborted.err, aborted.cause), err)
	panic(http.ErrAbortHandler)
}

// handle serves a request. It returns the error that the client is to get, and the call once the
// request has been read.
func (h *Handler) handle(r *http.Request, a *answer) (*Call, error) {
	c, team, err := h.admit(r, a)
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	if err == nil {
		c.readAt = time.Now()
		a.open.markRead(cancel)
		a.late = h.isLate(c)
		err = h.checkStop(c)
	}
	if err == nil {
		err = h.checkParts(c)
	}
	if err == nil {
		err = h.charge(ctx, c, team)
	}
	if err == nil {
		err = h.run(ctx, c, a)
		h.recordDuration(c, err)
	}
	if err == nil {
		err = a.complete()
	}
	return c, err
}

// admit finds the route and the team, and reads the complete request.
func (h *Handler) admit(r *http.Request, a *answer) (*Call, *catalogue.Team, error) {
	cfg, age := h.cfg.Catalogue.Current()
	if cfg == nil {
		return nil, nil, fault.New(fault.NotReady, "this VM knows no configuration yet")
	}
	route, ok := cfg.Match(hostname(r.Host), r.URL.Path)
	if !ok && !h.showsAbsence(age) {
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
	c.Route, c.received, c.Priority = route, a.timing.received, rank(route, team)
	c.allowedRegions[0] = route.AllowedRegions
	if team != nil {
		c.Team = team.ID
		c.allowedRegions[1] = team.AllowedRegions
	}
	if c.Body, err = a.readBody(r, cfg.Limits.BodyBytes, c.deadline()); err != nil {
		return c, team, err
	}
	c.fingerprint = quarantine.Fingerprint(c.Team, r.Method, hostname(r.Host), r.URL.Path, c.Body)
	c.quarantineParts = append([]fleet.PartID{c.fingerprint}, c.Parts...)
	if !a.space.GrowResponse() {
		return c, team, fault.New(fault.Overloaded, "%w", ingress.ErrNoSpace)
	}
	if conn := ingress.ConnOf(r.Context()); conn != nil && !conn.Run() {
		return c, team, fault.New(fault.InvalidRequest, "%w", ingress.ErrClosed)
	}
	return c, team, nil
}

// ranksPerTeam is how many ranks each priority of a team has, one for each priority of a route: 0, 1,
// and 2 or higher.
const ranksPerTeam = 3

// rank returns the rank of a request in the queues of engines: by the team's priority first, and
// then by the route's.
func rank(route *catalogue.Route, team *catalogue.Team) int {
	r := min(max(route.Priority, 0), ranksPerTeam-1)
	if team != nil && team.HasPriority {
		r += ranksPerTeam * max(team.Priority, 0)
	}
	return r
}

// showsAbsence reports whether a configuration of a staleness shows that what it lacks does not exist.
func (h *Handler) showsAbsence(age time.Duration) bool {
	return age < min(h.cfg.ConfigWithin, h.cfg.StaleAfter)
}

func staleError(age time.Duration) error {
	return fault.New(fault.ConfigStale, "the configuration was last proved to be the newest %s ago", age.Round(time.Millisecond))
}

// authenticate returns the team whose key the request carries, nil on a public route or if the
// configuration has no teams. An unknown key is a fault.Unauthenticated error, or a fault.ConfigStale error
// if the configuration is too stale to show that the key does not exist. From StaleAfter on it returns a
// fault.ConfigStale error for every key, because any key may have been withdrawn.
func (h *Handler) authenticate(cfg *catalogue.Config, route *catalogue.Route, r *http.Request, age time.Duration) (*catalogue.Team, error) {
	if route.Public || !cfg.HasTeams() {
		return nil, nil
	}
	if age >= h.cfg.StaleAfter {
		return nil, staleError(age)
	}
	team, ok := cfg.TeamOf(h.cfg.Wire.Key(r))
	if !ok && !h.showsAbsence(age) {
		return nil, staleError(age)
	}
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

// readBody reads a request's body until the deadline. A zero deadline means defaultBodyTimeout
// after the receipt of the request.
func (a *answer) readBody(r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = maxBodyBytes
	}
	if deadline.IsZero() {
		deadline = a.timing.received.Add(defaultBodyTimeout)
	}
	// After the body net/http reads on, to notice that the client disconnects.
	defer a.setReadDeadline(time.Time{})
	body := ingress.Body{Reader: r.Body, Length: r.ContentLength, Limit: limit, Deadline: deadline, SetReadDeadline: a.setReadDeadline}
	if conn := ingress.ConnOf(r.Context()); conn != nil {
		body.OnLarge = conn.EnlargeReadBuffer
	}
	b, err := ingress.ReadBody(body, a.space)
	switch {
	case err == nil:
		return b, nil
	case errors.Is(err, ingress.ErrTooLong):
		return nil, fault.New(fault.TooLarge, "%w: more than %d bytes", err, limit)
	case errors.Is(err, ingress.ErrNoSpace):
		return nil, fault.New(fault.Overloaded, "%w", err)
	case errors.Is(err, ingress.ErrTooSlow):
		return nil, fault.New(fault.SlowRequest, "%w", err)
	}
	return nil, fault.New(fault.InvalidRequest, "cannot read the body: %w", err)
}

// rejectionKind returns which bound of package ingress ended a request, "" if none did.
func rejectionKind(err error) ingress.Kind {
	switch {
	case errors.Is(err, ingress.ErrTooLong):
		return ingress.BodyLong
	case errors.Is(err, ingress.ErrNoSpace):
		return ingress.BodyNoSpace
	case errors.Is(err, ingress.ErrTooSlow):
		return ingress.BodySlow
	}
	return ""
}

// charge takes the tokens that the request may use from its team's limit.
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

// countRejected counts a request that failed, and refunds its charge if it has not run.
func (h *Handler) countRejected(c *Call, kind fault.Kind) {
	var route string
	var team fleet.TeamID
	if c != nil {
		route, team = c.Route.Kind.String(), c.Team
		if fault.Lookup(kind).NotRun && c.charged > 0 {
			h.cfg.Rates.Refund(c.Team, c.charged)
		}
	}
	h.cfg.Metrics.Rejected(route, team, string(kind))
}

// recordRejected records that a request failed.
func (h *Handler) recordRejected(r *http.Request, c *Call, err error) {
	kind := fault.KindOf(err)
	h.countRejected(c, kind)
	if k := rejectionKind(err); k != "" && h.cfg.OnReject != nil {
		h.cfg.OnReject(k) // These are logged by their number, because a flood has many.
		return
	}
	h.cfg.Events.Record(event.RequestRefused, timeline.Fields{"request": string(h.cfg.Wire.ID(r)), "kind": string(kind), "reason": err.Error(), "host": r.Host})
}

// writeError answers with an error.
func (h *Handler) writeError(w http.ResponseWriter, r *http.Request, c *Call, a *answer, err error) {
	h.recordRejected(r, c, err)
	if errors.Is(err, ingress.ErrClosed) {
		h.recordBroken(a.open, BreakClosed, err)
	}
	id := h.cfg.Wire.ID(r)
	// Closing a connection with unread bytes resets it, and the client loses the answer. A
	// read error is ignored: it harms only this client.
	_, _ = io.CopyN(io.Discard, r.Body, maxUnreadBytes)
	if rejectionKind(err) != "" || a.stopping() {
		w.Header().Set("Connection", "close")
	}
	status, after, body := fault.Describe(err, string(id))
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	a.open.begin(status)
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		h.recordBroken(a.open, BreakClientGone, err)
	}
}
