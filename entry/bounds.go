package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"toucanfall/fault"
)

// Bounds of a request and its answer.
const (
	// maxBody bounds a caller's body in bytes.
	maxBodyBytes = 4 << 20
	// bodyTimeout bounds the time in which a body must arrive.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds one write of an answer. A caller that reads more
	// slowly is cut off, so that it holds neither memory nor an engine.
	writeTimeout = 10 * time.Second
)

// readBody reads the body within the bounds of size and time. The deadline is
// lifted afterwards, because net/http goes on reading to notice that the caller
// is gone.
func readBody(c echo.Context) ([]byte, error) {
	rc := http.NewResponseController(c.Response().Writer)
	// A writer without deadlines, as in tests, is not bounded.
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return nil, bodyFault(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// boundWrite bounds the next write of the answer.
func setWriteDeadline(c echo.Context) error {
	err := http.NewResponseController(c.Response().Writer).SetWriteDeadline(time.Now().Add(writeTimeout))
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

func bodyFault(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.New(fault.TooLarge, "the body has more than %d bytes", tooLarge.Limit)
	}
	return fault.New(fault.InvalidRequest, "cannot read the body: %w", err)
}
