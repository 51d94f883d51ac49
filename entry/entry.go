// Package entry is the callers' listener. It checks key, route and limits and
// hands requests to package draft or package booking.
//
// Every answer names the request, and answers of upstreams name the upstream,
// the model version and the offset of the configuration that they ran under,
// so that a caller can keep it with the record that was drafted.
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
	"toucanfall/draft"
	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/httpx"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/settings"
	"toucanfall/timeline"
)

// Headers of answers.
const (
	HeaderUpstream = "X-Toucanfall-Upstream"
	HeaderVersion  = "X-Toucanfall-Model-Version"
	HeaderOffset   = "X-Toucanfall-Config-Offset"
	HeaderRoute    = "X-Toucanfall-Route"
	HeaderStored   = "X-Toucanfall-Stored"
	// HeaderOmitted marks a stored answer whose body was too large to keep.
	HeaderBodyOmitted = "X-Toucanfall-Body-Omitted"
)

var (
	requestsTotal = expvar.NewInt("entry_requests_total")
	refusedTotal  = expvar.NewMap("entry_refused_total")
)

// Drafter carries drafts.
type Drafter interface {
	Run(ctx context.Context, job draft.Job, sink draft.Sink) (draft.Result, error)
}

// Booker carries requests to plain services.
type Booker interface {
	Do(ctx context.Context, c booking.Call) (booking.Answer, error)
	Lookup(team fleet.TeamID, route fleet.RouteID, idempotencyKey string) (booking.Answer, error)
}

// Config holds what an entry server depends on.
type Config struct {
	DataCentre fleet.DataCentre
	State      *ledger.State
	Keyring    *keyring.Keyring
	Drafter    Drafter
	Booker     Booker
	Limiter    Limiter
	Queue      Queue
	Recorder   *timeline.Recorder
	// Ready returns a fault while the VM cannot serve.
	Ready func() error
	// Leaving reports whether a planned stop began. A leaving VM says that it
	// is not ready and still serves, until the balancer has moved on.
	Draining func() bool
}

// Server serves callers.
type Server struct {
	Config
	echo     *echo.Echo
	inFlight atomic.Int64
}

// New returns a server. Serve it by [Server.Handler].
func New(cfg Config) *Server {
	s := &Server{Config: cfg, echo: httpx.NewEcho()}
	s.echo.Use(s.identify)
	s.echo.GET("/healthz", s.health)
	s.echo.GET("/readyz", s.ready)
	s.echo.POST("/v1/chat/completions", s.chat)
	s.echo.Any("/v1/services/:route/*", s.service)
	s.echo.GET("/v1/bookings/:route/:key", s.lookup)
	return s
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	return s.echo
}

// InFlight counts requests that are being served.
func (s *Server) InFlight() int64 {
	return s.inFlight.Load()
}

// identify gives each request an id of its own.
func (s *Server) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		requestsTotal.Add(1)
		if s.Draining() {
			// The caller takes a new connection for its next request, by way of
			// the balancer, before this VM closes its connections.
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		c.Response().Header().Set(httpx.HeaderRequestID, uuid.NewString())
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBody)
		err := next(c)
		if err != nil {
			s.noteRefusal(c, err)
		}
		return err
	}
}

func (s *Server) noteRefusal(c echo.Context, err error) {
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

// admission is a request that passed key and route checks.
type admission struct {
	request fleet.RequestID
	key     fleet.Key
	route   fleet.Route
	offset  fleet.Offset
	// secret is the presented key, which must not go to an upstream.
	secret string
	ctx    context.Context
	end    func()
}

// admit checks the key and the route. The returned admission must be ended; its
// context ends at the route's deadline and when the key is withdrawn.
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
	s.bound(c.Request().Context(), a)
	s.Recorder.Record(event.RequestReceived, timeline.Fields{
		"request": string(a.request),
		"team":    string(a.key.Team),
		"route":   string(id),
	})
	return a, nil
}

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

// guard refuses a request that carries the caller's key in a part that goes to
// the upstream.
func (a *admission) guard(parts ...string) error {
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

// bound gives the admission its context.
func (s *Server) bound(ctx context.Context, a *admission) {
	scope := s.scope(a)
	ctx, cancelTime := context.WithTimeout(ctx, settings.Duration(s.State.Setting, scope, settings.Deadline))
	ctx, cancel := context.WithCancelCause(ctx)
	a.ctx = ctx
	a.end = func() {
		cancel(nil)
		cancelTime()
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

func (s *Server) scope(a *admission) settings.Scope {
	return settings.Scope{DataCentre: s.DataCentre, Team: a.key.Team, Model: a.route.Model, Route: a.route.ID}
}

// explain turns an error of a request whose context ended into the fault that
// caused it.
func (a *admission) explain(err error) error {
	kind := fault.KindOf(err)
	switch {
	case err == nil:
		return nil
	case kind == fault.OutcomeUnknown || fault.Lookup(kind).NotRun:
		// These say more about a repeat than why the context ended.
		return err
	case endedByKey(a.ctx):
		return context.Cause(a.ctx)
	case errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		return fault.New(fault.Timeout, "the deadline of route %q passed", a.route.ID)
	default:
		return err
	}
}

// endedByKey reports whether a context ended because the key was no longer good.
func endedByKey(ctx context.Context) bool {
	var f *fault.Error
	return errors.As(context.Cause(ctx), &f)
}

func (s *Server) provenance(c echo.Context, a *admission) {
	h := c.Response().Header()
	h.Set(HeaderRoute, string(a.route.ID))
	h.Set(HeaderOffset, strconv.FormatUint(uint64(a.offset), 10))
}
