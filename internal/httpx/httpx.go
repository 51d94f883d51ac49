// Package httpx holds what the callers' and the operators' listeners share: error responses,
// limits of the HTTP server, and the configuration of echo.
package httpx

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"toucanfall/fault"
)

// Limits of a listener.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
)

// HeaderRequestID is the response header that carries the request id assigned by the system.
const HeaderRequestID = "X-Toucanfall-Request"

// NewEcho returns an echo instance without banner that answers errors by [AnswerFault].
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		// A failed write means that the client has disconnected.
		_ = AnswerFault(c, err)
	}
	return e
}

// NewServer returns a server with header and idle timeouts and a limit on header size.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// AnswerFault writes the error response for err, with Retry-After in whole seconds, rounded
// up, if the fault has one. It does nothing if the response has already started.
func AnswerFault(c echo.Context, err error) error {
	if c.Response().Committed {
		return nil
	}
	status, after, body := fault.Describe(fromEcho(err), c.Response().Header().Get(HeaderRequestID))
	if after > 0 {
		seconds := int64(math.Ceil(after.Seconds()))
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	return c.JSON(status, body)
}

// fromEcho converts echo's own errors, such as an unknown path, to faults.
func fromEcho(err error) error {
	var he *echo.HTTPError
	if !errors.As(err, &he) {
		return err
	}
	switch he.Code {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return fault.New(fault.NotFound, "%v", he.Message)
	case http.StatusRequestEntityTooLarge:
		return fault.New(fault.TooLarge, "%v", he.Message)
	case http.StatusInternalServerError:
		return fault.New(fault.Internal, "%v", he.Message)
	default:
		return fault.New(fault.InvalidRequest, "%v", he.Message)
	}
}
