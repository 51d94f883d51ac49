package entry

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"toucanfall/booking"
	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/settings"
	"toucanfall/timeline"
)

// headerIdempotencyKey makes a booking run at most once over all VMs.
const headerIdempotencyKey = "Idempotency-Key"

// service carries a request to a plain service. Of the caller's headers only
// the content type goes up.
func (s *Server) service(c echo.Context) error {
	a, err := s.admit(c, fleet.RouteID(c.Param("route")))
	if err != nil {
		return err
	}
	defer a.end()
	if a.route.Kind != fleet.RouteService {
		return fault.New(fault.InvalidRequest, "route %q is for drafts", a.route.ID)
	}
	body, err := readBody(c)
	if err != nil {
		return err
	}
	call := s.call(c, a, body)
	if err := a.guardCall(call); err != nil {
		return err
	}
	answer, err := s.Booker.Do(a.ctx, call)
	if err != nil {
		return a.explain(err)
	}
	return s.answerService(c, a, answer)
}

func (s *Server) call(c echo.Context, a *admission, body []byte) booking.Call {
	r := c.Request()
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+string(a.route.ID))
	return booking.Call{
		Request:        a.request,
		Team:           a.key.Team,
		Route:          a.route,
		Method:         r.Method,
		Path:           path,
		Query:          r.URL.RawQuery,
		ContentType:    r.Header.Get(echo.HeaderContentType),
		Body:           body,
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
		KeyRetention:         settings.Duration(s.State.Setting, s.scope(a), settings.BookingMemory),
	}
}

// guardCall looks for the key in what goes up, escaped or not.
func (a *admission) guardCall(call booking.Call) error {
	path, pathErr := url.PathUnescape(call.Path)
	query, queryErr := url.QueryUnescape(call.Query)
	if pathErr != nil || queryErr != nil {
		return fault.New(fault.InvalidRequest, "path or query is not escaped properly")
	}
	return a.guard(call.Path, path, call.Query, query, call.ContentType, call.Method, call.IdempotencyKey, string(call.Body))
}

func (s *Server) answerService(c echo.Context, a *admission, answer booking.Answer) error {
	s.provenance(c, a)
	h := c.Response().Header()
	h.Set(HeaderUpstream, string(answer.Upstream))
	h.Set(HeaderStored, strconv.FormatBool(answer.Stored))
	if answer.BodyOmitted {
		h.Set(HeaderBodyOmitted, "true")
	}
	s.Recorder.Record(event.RequestAnswered, timeline.Fields{"request": string(a.request), "upstream": string(answer.Upstream)})
	if err := boundWrite(c); err != nil {
		return err
	}
	return c.Blob(answer.Status, answer.ContentType, answer.Body)
}

// lookup serves GET /v1/bookings/:route/:key: what is known of a booking by its
// idempotency key. It never runs anything.
func (s *Server) lookup(c echo.Context) error {
	a, err := s.admit(c, fleet.RouteID(c.Param("route")))
	if err != nil {
		return err
	}
	defer a.end()
	if a.key.Team == "" {
		return fault.New(fault.Unauthenticated, "bookings are looked up with the key of the team")
	}
	key, err := bookingKey(c.Request(), a.route.ID)
	if err != nil {
		return err
	}
	answer, err := s.Booker.Lookup(a.key.Team, a.route.ID, key)
	if err != nil {
		return err
	}
	return s.answerService(c, a, answer)
}

// bookingKey returns the unescaped idempotency key of a path.
func bookingKey(r *http.Request, route fleet.RouteID) (string, error) {
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/bookings/"+string(route)+"/")
	key, err := url.PathUnescape(escaped)
	if err != nil {
		return "", fault.New(fault.InvalidRequest, "the key in the path is not escaped properly: %w", err)
	}
	return key, nil
}
