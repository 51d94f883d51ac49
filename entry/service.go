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

// headerIdempotencyKey is the header with which a booking runs at most once
// across all VMs.
const headerIdempotencyKey = "Idempotency-Key"

// service serves /v1/services/:route/*: it sends the request to a plain
// service. Of the caller's headers, only Content-Type is forwarded.
func (s *Server) service(c echo.Context) error {
	a, err := s.admit(c, fleet.RouteID(c.Param("route")))
	if err != nil {
		return err
	}
	defer a.cancel()
	if a.route.Kind != fleet.RouteService {
		return fault.New(fault.InvalidRequest, "route %q is for drafts", a.route.ID)
	}
	body, err := readBody(c)
	if err != nil {
		return err
	}
	call := s.newCall(c, a, body)
	if err := a.checkCallHasNoSecret(call); err != nil {
		return err
	}
	answer, err := s.Booker.Do(a.ctx, call)
	if err != nil {
		return a.contextFault(err)
	}
	return s.writeServiceAnswer(c, a, answer)
}

// newCall returns the call to the service for an admitted request.
func (s *Server) newCall(c echo.Context, a *admission, body []byte) booking.Call {
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
		KeyRetention:   settings.Duration(s.State.Setting, s.scope(a), settings.BookingMemory),
	}
}

// checkCallHasNoSecret returns a fault if the call contains the caller's key,
// escaped or not.
func (a *admission) checkCallHasNoSecret(call booking.Call) error {
	path, pathErr := url.PathUnescape(call.Path)
	query, queryErr := url.QueryUnescape(call.Query)
	if pathErr != nil || queryErr != nil {
		return fault.New(fault.InvalidRequest, "path or query is not escaped properly")
	}
	return a.checkNoSecret(call.Path, path, call.Query, query, call.ContentType, call.Method, call.IdempotencyKey, string(call.Body))
}

// writeServiceAnswer sends a service's answer, or a stored one, to the caller.
func (s *Server) writeServiceAnswer(c echo.Context, a *admission, answer booking.Answer) error {
	s.setProvenanceHeaders(c, a)
	h := c.Response().Header()
	h.Set(HeaderUpstream, string(answer.Upstream))
	h.Set(HeaderStored, strconv.FormatBool(answer.Stored))
	if answer.BodyOmitted {
		h.Set(HeaderBodyOmitted, "true")
	}
	s.Recorder.Record(event.RequestAnswered, timeline.Fields{"request": string(a.request), "upstream": string(answer.Upstream)})
	if n := len(answer.Body); n > 0 {
		// Without a length the answer to a caller of HTTP/1.0 ends with its connection, like one of a process
		// that was killed.
		h.Set(echo.HeaderContentLength, strconv.Itoa(n))
	}
	if err := setWriteDeadline(c); err != nil {
		return err
	}
	return c.Blob(answer.Status, answer.ContentType, answer.Body)
}

// lookup serves GET /v1/bookings/:route/:key: the stored answer of a booking,
// or its state as a fault. It never runs the booking.
func (s *Server) lookup(c echo.Context) error {
	a, err := s.admit(c, fleet.RouteID(c.Param("route")))
	if err != nil {
		return err
	}
	defer a.cancel()
	if a.key.Team == "" {
		return fault.New(fault.Unauthenticated, "bookings are looked up with the key of the team")
	}
	key, err := idempotencyKeyFromPath(c.Request(), a.route.ID)
	if err != nil {
		return err
	}
	answer, err := s.Booker.Lookup(a.key.Team, a.route.ID, key)
	if err != nil {
		return err
	}
	return s.writeServiceAnswer(c, a, answer)
}

// idempotencyKeyFromPath returns the unescaped idempotency key from the path of
// a lookup.
func idempotencyKeyFromPath(r *http.Request, route fleet.RouteID) (string, error) {
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/bookings/"+string(route)+"/")
	key, err := url.PathUnescape(escaped)
	if err != nil {
		return "", fault.New(fault.InvalidRequest, "the key in the path is not escaped properly: %w", err)
	}
	return key, nil
}
