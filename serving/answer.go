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
	maxBufferedBytes = 64 << 10
	copyBufferSize   = 4 << 10
	// maxEvent is the longest event of a stream.
	maxEventBytes = 1 << 20
	// writeTimeout is how long a client may read nothing.
	writeTimeout = 10 * time.Second
)

// clientGone tells that the client takes no more bytes.
type clientDisconnected struct{ err error }

// Error returns the reason.
func (e *clientDisconnected) Error() string {
	return "the client takes no more bytes: " + e.err.Error()
}

// answer is the answer to a client.
type answer struct {
	w          http.ResponseWriter
	rc         *http.ResponseController
	wire       Wire
	headerSent bool
	timing     answerTiming

	mu sync.Mutex
	// lastEvent is the id of the last event that went to the client.
	lastEvent string
}

func newAnswer(w http.ResponseWriter, wire Wire, received time.Time) *answer {
	return &answer{w: w, rc: http.NewResponseController(w), wire: wire, timing: answerTiming{received: received}}
}

// resumeAt returns the event after which the next attempt has to go on.
func (a *answer) resumeEventID(c *Call) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastEvent != "" {
		return a.lastEvent
	}
	return c.LastEvent
}

// copy hands an upstream's answer on. Heard is called with each piece that
// comes.
func (a *answer) copy(c *Call, resp *courier.Answer, onProgress func()) error {
	if c.Route.Kind == catalogue.Stream && resp.Status == http.StatusOK {
		return a.copyEvents(resp, onProgress)
	}
	if resp.Length <= maxBufferedBytes {
		return a.copyBuffered(c, resp, onProgress)
	}
	a.sendHeader(resp)
	return a.copyChunks(resp.Body, onProgress)
}

// begin sends status and headers, unless a resumed stream has sent them.
func (a *answer) sendHeader(resp *courier.Answer) {
	if a.headerSent {
		return
	}
	a.headerSent = true
	h := a.w.Header()
	for name, values := range a.wire.AnswerHeader(resp.Header) {
		h[name] = values
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	if resp.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	a.w.WriteHeader(resp.Status)
}

// copyWhole reads an answer to its end before it begins its own, unless it is
// too long for that.
func (a *answer) copyBuffered(c *Call, resp *courier.Answer, onProgress func()) error {
	if c.Method == http.MethodHead {
		a.sendHeader(resp)
		return nil
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err != nil {
		return fmt.Errorf("the answer broke off: %w", err)
	}
	a.sendHeader(resp)
	if err := a.write(b, false); err != nil || len(b) <= maxBufferedBytes {
		return err
	}
	return a.copyChunks(resp.Body, onProgress)
}

func (a *answer) copyChunks(body io.Reader, onProgress func()) error {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			onProgress()
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
func (a *answer) copyEvents(resp *courier.Answer, onProgress func()) error {
	var pending []byte
	buf := make([]byte, copyBufferSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			pending = append(pending, buf[:n]...)
			end := completeEvents(pending)
			if hasProgress(pending[:end]) {
				onProgress()
			}
			if err := a.writeEvents(resp, pending[:end]); err != nil {
				return err
			}
			pending = append(pending[:0], pending[end:]...)
		}
		if len(pending) > maxEventBytes {
			return fmt.Errorf("the stream broke off: an event of more than %d bytes", maxEventBytes)
		}
		if errors.Is(err, io.EOF) {
			a.sendHeader(resp)
			return a.write(pending, true)
		}
		if err != nil {
			return fmt.Errorf("the stream broke off: %w", err)
		}
	}
}

func (a *answer) writeEvents(resp *courier.Answer, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	a.sendHeader(resp)
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
func (a *answer) setReadDeadline(t time.Time) {
	_ = a.rc.SetReadDeadline(t)
}

func (a *answer) write(b []byte, flush bool) error {
	if len(b) == 0 {
		return nil
	}
	// A connection without deadlines is bounded by the client's own patience.
	_ = a.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.w.Write(b); err != nil {
		return &clientDisconnected{err}
	}
	a.timing.recordChunk(time.Now())
	if !flush {
		return nil
	}
	if err := a.rc.Flush(); err != nil {
		return &clientDisconnected{err}
	}
	return nil
}
