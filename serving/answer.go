package serving

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/courier"
)

// Bounds of answers.
const (
	// wholeBytes is the longest answer that is read to its end before it goes
	// on, so that one that breaks off can be asked for again.
	wholeBytes = 64 << 10
	copyBuffer = 4 << 10
	// maxEvent is the longest event of a stream.
	maxEvent = 1 << 20
	// writeTimeout is how long a client may read nothing.
	writeTimeout = 10 * time.Second
)

// clientGone tells that the client takes no more bytes.
type clientGone struct{ err error }

// Error returns the reason.
func (e *clientGone) Error() string { return "the client takes no more bytes: " + e.err.Error() }

// answer is the answer to a client.
type answer struct {
	w      http.ResponseWriter
	rc     *http.ResponseController
	wire   Wire
	begun  bool
	pacing pacing

	mu sync.Mutex
	// lastEvent is the id of the last event that went to the client.
	lastEvent string
}

func newAnswer(w http.ResponseWriter, wire Wire, received time.Time) *answer {
	return &answer{w: w, rc: http.NewResponseController(w), wire: wire, pacing: pacing{began: received}}
}

// resumeAt returns the event after which the next attempt has to go on.
func (a *answer) resumeAt(c *Call) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastEvent != "" {
		return a.lastEvent
	}
	return c.LastEvent
}

// copy hands an upstream's answer on. Heard is called with each piece that
// comes.
func (a *answer) copy(c *Call, got *courier.Answer, heard func()) error {
	if c.Route.Kind == catalogue.Stream && got.Status == http.StatusOK {
		return a.copyEvents(got, heard)
	}
	if got.Length <= wholeBytes {
		return a.copyWhole(c, got, heard)
	}
	a.begin(got)
	return a.copyPieces(got.Body, heard)
}

// begin sends status and headers, unless a resumed stream has sent them.
func (a *answer) begin(got *courier.Answer) {
	if a.begun {
		return
	}
	a.begun = true
	h := a.w.Header()
	for name, values := range a.wire.AnswerHeader(got.Header) {
		h[name] = values
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	if got.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(got.Length, 10))
	}
	a.w.WriteHeader(got.Status)
}

// copyWhole reads an answer to its end before it begins its own, unless it is
// too long for that.
func (a *answer) copyWhole(c *Call, got *courier.Answer, heard func()) error {
	if c.Method == http.MethodHead {
		a.begin(got)
		return nil
	}
	b, err := io.ReadAll(io.LimitReader(got.Body, wholeBytes+1))
	if err != nil {
		return fmt.Errorf("the answer broke off: %w", err)
	}
	a.begin(got)
	if err := a.write(b, false); err != nil || len(b) <= wholeBytes {
		return err
	}
	return a.copyPieces(got.Body, heard)
}

func (a *answer) copyPieces(body io.Reader, heard func()) error {
	buf := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			heard()
			if err := a.write(buf[:n], true); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("the answer broke off: %w", err)
		}
	}
}

// copyEvents hands on whole events only, so that a stream that breaks off in
// the middle of one can go on after the last whole one.
func (a *answer) copyEvents(got *courier.Answer, heard func()) error {
	var held []byte
	buf := make([]byte, copyBuffer)
	for {
		n, err := got.Body.Read(buf)
		if n > 0 {
			held = append(held, buf[:n]...)
			end := wholeEvents(held)
			if progress(held[:end]) {
				heard()
			}
			if err := a.events(got, held[:end]); err != nil {
				return err
			}
			held = append(held[:0], held[end:]...)
		}
		if len(held) > maxEvent {
			return fmt.Errorf("the stream broke off: an event of more than %d bytes", maxEvent)
		}
		if errors.Is(err, io.EOF) {
			a.begin(got)
			return a.write(held, true)
		}
		if err != nil {
			return fmt.Errorf("the stream broke off: %w", err)
		}
	}
}

func (a *answer) events(got *courier.Answer, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	a.begin(got)
	if err := a.write(b, true); err != nil {
		return err
	}
	if id, ok := lastEventID(b); ok {
		a.mu.Lock()
		a.lastEvent = id
		a.mu.Unlock()
	}
	return nil
}

// readBy sets the deadline of reads from the caller, the zero time for none. Connections of
// net/http take one; the recorders of tests have nothing to wait for.
func (a *answer) readBy(t time.Time) {
	_ = a.rc.SetReadDeadline(t)
}

func (a *answer) write(b []byte, flush bool) error {
	if len(b) == 0 {
		return nil
	}
	// A connection without deadlines is bounded by the client's own patience.
	_ = a.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.w.Write(b); err != nil {
		return &clientGone{err}
	}
	a.pacing.piece(time.Now())
	if !flush {
		return nil
	}
	if err := a.rc.Flush(); err != nil {
		return &clientGone{err}
	}
	return nil
}
