package serving

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/ingress"
	"toucanfall/transport"
)

// Bounds of answers.
const (
	// maxBufferedBytes is the longest answer that is read completely before any of it is
	// sent to the client, so that the request can be retried if the answer breaks off.
	maxBufferedBytes = 64 << 10
	copyBufferSize   = 4 << 10
	// maxEventBytes is the longest event of a stream.
	maxEventBytes = 1 << 20
	// writeTimeout is how long the client may take to accept a block of writeBlock bytes: a third of the
	// speed at which it must send a head (16 KiB in 3 s).
	writeTimeout = 10 * time.Second
	writeBlock   = 16 << 10
	// writeSlack is what a write may take without counting as blocked: a process with a part of a core
	// may be paused for this long.
	writeSlack = 250 * time.Millisecond
)

// clientDisconnected is the error of a write to a client that accepts no more bytes.
type clientDisconnected struct{ err error }

// Error returns the cause with a prefix that operators' tools match.
func (e *clientDisconnected) Error() string {
	return "the client takes no more bytes: " + e.err.Error()
}

// slow reports whether the client did not accept bytes in time.
func (e *clientDisconnected) slow() bool { return errors.Is(e.err, os.ErrDeadlineExceeded) }

// answer writes the answer to one client. A resumed stream may take it from several upstreams.
// Only lastEvent is read outside the goroutine that serves the call, by the watchdog.
type answer struct {
	w          http.ResponseWriter
	rc         *http.ResponseController
	wire       Wire
	headerSent bool
	// late is set if a planned stop must not cut the answer (see Handler.isLate): unless it is a stream of events,
	// it is read completely before any of it is sent.
	late bool
	// end marks the end of an answer that the client gets without a frame; nil if the client's protocol has
	// frames for answers of unknown length.
	end    *connectionEnd
	timing answerTiming
	// stopping, if not nil, reports whether a planned stop has begun: the connection then takes no further
	// request.
	stopping func() bool
	// open is the request's entry among those in progress.
	open *openRequest
	// space is what is reserved for the request and its response.
	space *ingress.Reservation
	// blockedFor is how long the writes of the last written bytes took, at most a block of them.
	blockedFor time.Duration
	written    int
	// drained, if not nil, reports whether the client has accepted all bytes that were written.
	drained func() bool
	// readerSlow is set if the client did not accept bytes in time.
	readerSlow bool
	// pendingReserved is what is reserved for an incomplete event beyond ingress.ResponseBytes.
	pendingReserved int

	mu sync.Mutex
	// lastEvent is the id of the last event sent to the client, "" before the first. Guarded by mu.
	lastEvent string
}

func newAnswer(w http.ResponseWriter, wire Wire, open *openRequest) *answer {
	return &answer{w: w, rc: http.NewResponseController(w), wire: wire, timing: answerTiming{received: open.received}, space: new(ingress.Reservation), open: open}
}

// resumeEventID returns the id of the event after which the next attempt must resume the stream.
func (a *answer) resumeEventID(c *Call) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastEvent != "" {
		return a.lastEvent
	}
	return c.LastEvent
}

// copy sends an upstream's answer to the client. The end of the client's frame follows once copy has returned
// without an error, so that it must not do so before something shows that the answer is whole.
func (a *answer) copy(c *Call, resp *incomingAnswer) error {
	if c.Route.Kind == catalogue.Stream && isEventStream(resp.Answer) {
		return a.copyEvents(resp)
	}
	if resp.Length <= maxBufferedBytes || a.late {
		return a.copyBuffered(c, resp)
	}
	if a.open.isStopped() {
		return errStopped
	}
	a.sendHeader(resp, resp.Length)
	return a.copyChunks(resp)
}

// sendHeader sends the status and headers, unless an earlier attempt of a resumed stream has. length is that of
// the body, -1 if it is not known.
func (a *answer) sendHeader(resp *incomingAnswer, length int64) {
	if a.headerSent {
		return
	}
	a.headerSent = true
	a.open.begin(resp.Status)
	h := a.w.Header()
	for name, values := range a.wire.AnswerHeader(resp.Header) {
		h[name] = values
	}
	if a.stopping != nil && a.stopping() {
		h.Set("Connection", "close")
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	} else {
		a.end.withhold()
	}
	a.w.WriteHeader(resp.Status)
}

// copyBuffered reads the answer completely before it sends any of it. If the answer is longer
// than maxBufferedBytes, the rest is sent as it is received, unless it must not be cut.
func (a *answer) copyBuffered(c *Call, resp *incomingAnswer) error {
	if c.Method == http.MethodHead {
		a.sendHeader(resp, resp.Length)
		return nil
	}
	b, err := a.readBuffered(resp)
	if err != nil {
		return fmt.Errorf("the answer broke off: %w", err)
	}
	if !a.late && len(b) > maxBufferedBytes {
		a.sendHeader(resp, resp.Length)
		if err := a.write(b, false); err != nil {
			return err
		}
		return a.copyChunks(resp)
	}
	if err := resp.checkWhole(b); err != nil {
		return err
	}
	a.sendHeader(resp, int64(len(b)))
	return a.write(b, false)
}

// readBuffered reads the part of an answer that is received before any of it is sent: all of one that must not
// be cut, and otherwise maxBufferedBytes and, if there is more, one byte.
func (a *answer) readBuffered(resp *incomingAnswer) ([]byte, error) {
	if !a.late {
		return io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	}
	// The context of the request bounds the time.
	b, err := ingress.ReadBody(ingress.Body{Reader: resp.Body, Length: resp.Length, Limit: math.MaxInt64}, a.space)
	if errors.Is(err, ingress.ErrNoSpace) {
		return nil, &breakError{BreakNoMemory, errors.New("no memory for an answer that must not be cut")}
	}
	return b, err
}

// copyChunks sends the rest of an answer of which a part was sent.
func (a *answer) copyChunks(resp *incomingAnswer) error {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			resp.onProgress()
			if err := a.write(buf[:n], true); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return resp.confirmEnd()
		}
		if err != nil {
			return fmt.Errorf("the answer broke off: %w", err)
		}
	}
}

// copyEvents sends only complete events, so that a stream that breaks off in the middle of an
// event can be resumed after the last complete one. Bytes after the last complete event are sent only
// when the upstream has ended the stream properly.
func (a *answer) copyEvents(resp *incomingAnswer) error {
	var pending []byte
	hasEvents, resumed := false, a.headerSent
	buf := make([]byte, copyBufferSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			pending = append(pending, buf[:n]...)
			end := completeEvents(pending)
			if hasProgress(pending[:end]) {
				hasEvents = true
				resp.onProgress()
			}
			events := pending[:end]
			if resumed && end > 0 {
				events, resumed = bytes.TrimPrefix(events, byteOrderMark), false
			}
			if err := a.writeEvents(resp, events); err != nil {
				return err
			}
			pending = append(pending[:0], pending[end:]...)
		}
		if err := a.reservePending(pending); err != nil {
			return fmt.Errorf("the stream broke off: %w", err)
		}
		if errors.Is(err, io.EOF) {
			return a.endEvents(resp, pending, hasEvents)
		}
		if err != nil {
			return fmt.Errorf("the stream broke off: %w", err)
		}
	}
}

// reservePending reserves space for an incomplete event, as far as it exceeds what every response has.
func (a *answer) reservePending(pending []byte) error {
	if len(pending) > maxEventBytes {
		return fmt.Errorf("an event of more than %d bytes", maxEventBytes)
	}
	more := cap(pending) - ingress.ResponseBytes - a.pendingReserved
	if more <= 0 {
		return nil
	}
	if !a.space.Grow(int64(more)) {
		return &breakError{BreakNoMemory, errors.New("no memory for an event")}
	}
	a.pendingReserved += more
	return nil
}

// endEvents ends a stream that its upstream has ended after rest, which follows the last complete event. A
// stream may be whole only if it ends with an event, and one without a frame only if it has any. A framed answer
// that does not say that it is a stream of events ends where its frame ends.
func (a *answer) endEvents(resp *incomingAnswer, rest []byte, hasEvents bool) error {
	switch {
	case resp.Framing != transport.Unframed && resp.Header.Get("Content-Type") == "":
	case insideEvent(rest):
		return errors.New("the stream broke off inside an event")
	case resp.Framing == transport.Unframed && !hasEvents:
		return errors.New("the stream broke off before its first event")
	}
	if err := resp.confirmEnd(); err != nil {
		return err
	}
	a.sendHeader(resp, resp.Length)
	return a.write(rest, true)
}

// byteOrderMark may stand at the beginning of a stream, and nowhere else.
var byteOrderMark = []byte("\ufeff")

func (a *answer) writeEvents(resp *incomingAnswer, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if !a.headerSent && a.open.isStopped() {
		return errStopped
	}
	a.sendHeader(resp, resp.Length)
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

// complete ends an answer that is whole.
func (a *answer) complete() error {
	if err := a.end.complete(); err != nil {
		return &answerAborted{a.disconnected(err), nil}
	}
	return nil
}

// setReadDeadline sets the deadline for reads from the client, or none if t is zero. The error is
// ignored: connections of net/http support deadlines, and test recorders never block.
func (a *answer) setReadDeadline(t time.Time) {
	_ = a.rc.SetReadDeadline(t)
}

// disconnected returns the error of a failed write.
func (a *answer) disconnected(err error) error {
	disconnected := &clientDisconnected{err}
	a.readerSlow = disconnected.slow()
	return disconnected
}

func (a *answer) write(b []byte, flush bool) error {
	if len(b) == 0 {
		return nil
	}
	if a.blockedFor > 0 && a.drained != nil && a.drained() {
		a.blockedFor, a.written = 0, 0 // The process was paused, or the client has caught up.
	}
	began := time.Now()
	// Connections without deadlines are bounded by the client's own timeout.
	_ = a.rc.SetWriteDeadline(began.Add(writeTimeout - a.blockedFor))
	if _, err := a.w.Write(b); err != nil {
		return a.disconnected(err)
	}
	a.timing.recordChunk(time.Now())
	if !flush {
		return nil
	}
	if err := a.rc.Flush(); err != nil {
		return a.disconnected(err)
	}
	a.blockedFor += max(time.Since(began)-writeSlack, 0)
	if a.written += len(b); a.written >= writeBlock {
		a.blockedFor, a.written = 0, 0
	}
	return nil
}
