// Package entry serves the callers' HTTP API. It checks the key, the route and
// the limits of a request and passes it to package completion or package booking.
//
// Every answer names the request. Answers from upstreams also name the
// upstream, the model version and the offset of the configuration that applied,
// so that a caller can store them with the generated record.
package entry

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"toucanfall/booking"
	"toucanfall/completion"
	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/httpx"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/settings"
	"toucanfall/timeline"
)

// Response headers.
const (
	// HeaderUpstream is the id of the upstream that answered. It is not set on
	// streams and empty on stored answers.
	HeaderUpstream = "X-Toucanfall-Upstream"
	// HeaderVersion is the version of the model that answered. It is not set on
	// streams, whose last chunk has both.
	HeaderVersion = "X-Toucanfall-Model-Version"
	// HeaderOffset is the offset of the configuration that applied.
	HeaderOffset = "X-Toucanfall-Config-Offset"
	// HeaderRoute is the id of the route.
	HeaderRoute = "X-Toucanfall-Route"
	// HeaderStored is "true" if the answer was stored by an earlier run of the
	// booking, else "false".
	HeaderStored = "X-Toucanfall-Stored"
	// HeaderBodyOmitted is "true" on a stored answer whose body was too large
	// to store.
	HeaderBodyOmitted = "X-Toucanfall-Body-Omitted"
)

var (
	requestsTotal = expvar.NewInt("entry_requests_total")
	refusedTotal  = expvar.NewMap("entry_refused_total")
)

// Completer runs completion requests on model engines.
type Completer interface {
	// Run sends the tokens of the answer to sink. The error is a fault, unless
	// ctx ended or the sink failed.
	Run(ctx context.Context, job completion.Job, sink completion.Sink) (completion.Result, error)
}

// Booker sends requests to plain services and looks up stored answers.
type Booker interface {
	// Do sends the request or returns the stored answer. The error is a fault.
	Do(ctx context.Context, c booking.Call) (booking.Answer, error)
	// Lookup returns the stored answer of a booking. The error is a fault.
	Lookup(team fleet.TeamID, route fleet.RouteID, idempotencyKey string) (booking.Answer, error)
}

// Config holds the dependencies of a [Server].
type Config struct {
	// DataCentre is the VM's data centre, for which settings are looked up.
	DataCentre fleet.DataCentre
	State      *ledger.State
	Keyring    *keyring.Keyring
	Completer  Completer
	Booker     Booker
	Limiter    Limiter
	Queue      Queue
	Recorder   *timeline.Recorder
	// Ready returns a fault while the VM cannot serve requests.
	Ready func() error
	// Draining reports whether a planned shutdown has begun. The VM then fails
	// its readiness check but keeps serving, until the load balancer stops
	// sending it requests.
	Draining func() bool
}

// Server serves the HTTP API for callers. It is safe for concurrent use.
type Server struct {
	Config
	echo     *echo.Echo
	inFlight atomic.Int64
}

// New returns a server, whose API is served by [Server.Handler].
func New(cfg Config) *Server {
	s := &Server{Config: cfg, echo: httpx.NewEcho()}
	s.echo.Use(s.trackRequest)
	s.echo.GET("/healthz", s.health)
	s.echo.GET("/readyz", s.ready)
	s.echo.POST("/v1/chat/completions", s.chat)
	s.echo.Any("/v1/services/:route/*", s.service)
	s.echo.GET("/v1/bookings/:route/:key", s.lookup)
	return s
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	return s.echo
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// trackRequest is the middleware that assigns each request an id, counts it,
// limits its body and records its refusal.
func (s *Server) trackRequest(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		requestsTotal.Add(1)
		if s.Draining() {
			// The caller opens a new connection through the load balancer for
			// its next request, before this VM closes its connections.
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		c.Response().Header().Set(httpx.HeaderRequestID, uuid.NewString())
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
		err := next(c)
		if err != nil {
			s.recordRefusal(c, err)
		}
		return err
	}
}

// recordRefusal counts and records a request that ended with err.
func (s *Server) recordRefusal(c echo.Context, err error) {
	kind := fault.KindOf(err)
	refusedTotal.Add(string(kind), 1)
	s.Recorder.Record(event.RequestRefused, timeline.Fields{
		"request": string(requestID(c)),
		"kind":    string(kind),
		"reason":  err.Error(),
	})
}

func requestID(c echo.Context) fleet.RequestID {
	return fleet.RequestID(c.Response().Header().Get(httpx.HeaderRequestID))
}

func (s *Server) health(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

func (s *Server) ready(c echo.Context) error {
	if err := s.Ready(); err != nil {
		return err
	}
	if s.Draining() {
		return fault.New(fault.Stopping, "the VM is about to stop")
	}
	return c.String(http.StatusOK, "ready\n")
}

// admission is a request that passed the checks of its key and route. cancel
// must be called when the request ends.
type admission struct {
	request fleet.RequestID
	// key is the zero value for a request without a key on an open route.
	key    fleet.Key
	route  fleet.Route
	offset fleet.Offset
	// secret is the caller's key, which must not be sent to an upstream.
	secret string
	ctx    context.Context
	cancel func()
}

// admit checks the key and the route. The caller must call cancel of the
// returned admission. Its context ends at the route's deadline, when the key is
// withdrawn or no longer accepted, and when the caller disconnects. The error
// is a fault.
func (s *Server) admit(c echo.Context, id fleet.RouteID) (*admission, error) {
	if err := s.Ready(); err != nil {
		return nil, err
	}
	e, ok := s.State.Routes.Get(id)
	if !ok {
		return nil, fault.New(fault.NotFound, "route %q does not exist", string(id))
	}
	a := &admission{request: requestID(c), route: e.Value, offset: s.State.Applied()}
	if err := s.authorize(c, a); err != nil {
		return nil, err
	}
	s.startContext(c.Request().Context(), a)
	s.Recorder.Record(event.RequestReceived, timeline.Fields{
		"request": string(a.request),
		"team":    string(a.key.Team),
		"route":   string(id),
	})
	return a, nil
}

// authorize checks the key, which may be missing only on an open route, and
// sets key and secret of the admission.
func (s *Server) authorize(c echo.Context, a *admission) error {
	header := c.Request().Header.Get(echo.HeaderAuthorization)
	if a.route.Open && header == "" {
		return nil
	}
	key, err := s.Keyring.Authenticate(header)
	if err != nil {
		return err
	}
	if !a.route.Open && !a.route.Allows(key.Team) {
		return fault.New(fault.Forbidden, "team %q may not use route %q", key.Team, a.route.ID)
	}
	a.key = key
	secret, _ := fleet.ParseBearer(header)
	a.secret = string(secret)
	return nil
}

// checkNoSecret returns a fault if one of the parts, which are sent to the
// upstream, contains the caller's key.
func (a *admission) checkNoSecret(parts ...string) error {
	if a.secret == "" {
		return nil
	}
	for _, part := range parts {
		if strings.Contains(part, a.secret) {
			return fault.New(fault.InvalidRequest, "the key must stand only in the Authorization header, for it does not go to upstreams")
		}
	}
	return nil
}

// startContext sets ctx and cancel of the admission. The context has the
// route's deadline. It is canceled, with a fault as its cause, when the key is
// withdrawn or is no longer accepted.
func (s *Server) startContext(ctx context.Context, a *admission) {
	scope := s.scope(a)
	ctx, cancelTimeout := context.WithTimeout(ctx, settings.Duration(s.State.Setting, scope, settings.Deadline))
	ctx, cancel := context.WithCancelCause(ctx)
	a.ctx = ctx
	a.cancel = func() {
		cancel(nil)
		cancelTimeout()
	}
	if a.key.ID == "" {
		return
	}
	w := s.Keyring.Watch(a.key)
	go func() {
		defer w.Stop()
		select {
		case <-w.Done():
			cancel(w.Err())
		case <-ctx.Done():
		}
	}()
}

// scope returns the scope in which the settings of the request are looked up.
func (s *Server) scope(a *admission) settings.Scope {
	return settings.Scope{DataCentre: s.DataCentre, Team: a.key.Team, Model: a.route.Model, Route: a.route.ID}
}

// contextFault returns the fault that ended the request's context in place of
// err, if the context has ended. Errors that say whether the request ran are
// returned unchanged.
func (a *admission) contextFault(err error) error {
	kind := fault.KindOf(err)
	switch {
	case err == nil:
		return nil
	case kind == fault.OutcomeUnknown || fault.Lookup(kind).NotRun:
		// Whether a retry is safe matters more to the caller than why the
		// context ended.
		return err
	case endedByKeyWatch(a.ctx):
		return context.Cause(a.ctx)
	case errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		return fault.New(fault.Timeout, "the deadline of route %q passed", a.route.ID)
	default:
		return err
	}
}

// endedByKeyWatch reports whether a context ended because the key was withdrawn
// or is no longer accepted: only then is the cause a fault.
func endedByKeyWatch(ctx context.Context) bool {
	var f *fault.Error
	return errors.As(context.Cause(ctx), &f)
}

// setProvenanceHeaders sets the headers for the route and the configuration
// offset.
func (s *Server) setProvenanceHeaders(c echo.Context, a *admission) {
	h := c.Response().Header()
	h.Set(HeaderRoute, string(a.route.ID))
	h.Set(HeaderOffset, strconv.FormatUint(uint64(a.offset), 10))
}
