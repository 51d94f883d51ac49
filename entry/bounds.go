package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"toucanfall/fault"
)

// Limits on a request and its answer.
const (
	// maxBodyBytes is the largest request body, in bytes.
	maxBodyBytes = 4 << 20
	// bodyTimeout is the time within which a request body must arrive.
	bodyTimeout = 30 * time.Second
	// writeTimeout limits one write of an answer. A caller that reads more
	// slowly is disconnected, so that it occupies neither memory nor an engine.
	writeTimeout = 10 * time.Second
)

// readBody reads the request body within its size and time limits. The read
// deadline is cleared afterwards, because net/http keeps reading to detect that
// the caller has disconnected.
func readBody(c echo.Context) ([]byte, error) {
	rc := http.NewResponseController(c.Response().Writer)
	// Writers that do not support deadlines, as in tests, have no time limit.
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return nil, bodyFault(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// setWriteDeadline limits the next write of the answer to writeTimeout. It does
// nothing if the writer does not support deadlines.
func setWriteDeadline(c echo.Context) error {
	err := http.NewResponseController(c.Response().Writer).SetWriteDeadline(time.Now().Add(writeTimeout))
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// bodyFault converts an error of reading or decoding the body to a fault:
// fault.TooLarge or fault.InvalidRequest.
func bodyFault(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.New(fault.TooLarge, "the body has more than %d bytes", tooLarge.Limit)
	}
	return fault.New(fault.InvalidRequest, "cannot read the body: %w", err)
}
