package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"toucanfall/completion"
	"toucanfall/dialect"
	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/timeline"
)

// streamSink writes an answer as server-sent events. It implements
// [completion.Sink].
type streamSink struct {
	c             echo.Context
	a             *admission
	rc            *http.ResponseController
	headerWritten bool
	// deadlineSetAt is when the write deadline was last extended.
	deadlineSetAt time.Time
	// tokenPrefix precedes the text in the event of a token.
	tokenPrefix []byte
	// buf holds the event being encoded, and is reused.
	buf []byte
}

// deadlineInterval is the minimum time between two extensions of the write
// deadline.
const deadlineInterval = time.Second

// finalWriteTimeout limits a write that is in progress when the request's
// context ends, and the write of the error after it.
const finalWriteTimeout = time.Second

// tokenSuffix follows the text in the event of a token.
const tokenSuffix = `},"finish_reason":null}]}` + "\n\n"

func newStreamSink(c echo.Context, a *admission) *streamSink {
	return &streamSink{c: c, a: a, rc: http.NewResponseController(c.Response().Writer), tokenPrefix: encodeTokenPrefix(a)}
}

// encodeTokenPrefix encodes the start of the event that all tokens of an answer
// share. The ids need no escaping.
func encodeTokenPrefix(a *admission) []byte {
	return []byte(`data: {"id":"` + string(a.request) + `","object":"chat.completion.chunk","model":"` + string(a.route.ID) +
		`","choices":[{"index":0,"delta":{"role":"assistant","content":`)
}

// Token writes a chunk to the connection's buffer.
func (w *streamSink) Token(c dialect.Chunk) error {
	text, err := json.Marshal(c.Text)
	if err != nil {
		return err
	}
	w.buf = append(w.buf[:0], w.tokenPrefix...)
	w.buf = append(w.buf, text...)
	w.buf = append(w.buf, tokenSuffix...)
	return w.write(w.buf)
}

// sendData writes v as JSON in a data event.
func (w *streamSink) sendData(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return w.write([]byte("data: " + string(b) + "\n\n"))
}

// write writes an encoded event, after the headers if it is the first one.
func (w *streamSink) write(b []byte) error {
	r := w.c.Response()
	if !w.headerWritten {
		w.headerWritten = true
		r.Header().Set(echo.HeaderContentType, "text/event-stream")
		r.WriteHeader(http.StatusOK)
	}
	if err := w.extendWriteDeadline(); err != nil {
		return err
	}
	_, err := r.Write(b)
	return err
}

// limitWritesAfterContext shortens the write deadline to finalWriteTimeout when
// the request's context ends. Otherwise a caller that stops reading could keep
// the request open after its deadline or after its key was withdrawn. The
// returned function undoes the registration.
func (w *streamSink) limitWritesAfterContext() func() {
	stop := context.AfterFunc(w.a.ctx, func() {
		// Writers that do not support deadlines, as in tests, have no time
		// limit.
		_ = w.rc.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
	})
	return func() { stop() }
}

// extendWriteDeadline extends the write deadline, unless the request's context
// has ended. It does so at most once per deadlineInterval, because setting a
// deadline costs as much as encoding a token.
func (w *streamSink) extendWriteDeadline() error {
	now := time.Now()
	if now.Sub(w.deadlineSetAt) < deadlineInterval || w.a.ctx.Err() != nil {
		return nil
	}
	w.deadlineSetAt = now
	return setWriteDeadline(w.c)
}

// Flush sends the buffered events to the caller.
func (w *streamSink) Flush() error {
	if err := w.extendWriteDeadline(); err != nil {
		return err
	}
	return w.rc.Flush()
}

// chatStream runs the job and streams the answer. A complete answer ends with
// "[DONE]"; one that failed after its first byte ends with an error event
// instead, so that a caller can distinguish the two.
func (s *Server) chatStream(c echo.Context, a *admission, job completion.Job) (completion.Result, error) {
	sink := newStreamSink(c, a)
	stop := sink.limitWritesAfterContext()
	defer stop()
	result, err := s.Completer.Run(a.ctx, job, sink)
	if err != nil {
		return result, s.endWithError(sink, a.contextFault(err))
	}
	if err := sink.sendData(a.lastChunk(result)); err != nil {
		return result, err
	}
	s.recordAnswered(a, result)
	if err := sink.write([]byte("data: [DONE]\n\n")); err != nil {
		return result, err
	}
	return result, sink.Flush()
}

// endWithError ends a started stream with an error event and records that the
// caller was cut off. Before the first byte it only returns err, which is then
// answered with an HTTP status.
func (s *Server) endWithError(sink *streamSink, err error) error {
	if !sink.headerWritten {
		return err
	}
	_, _, body := fault.Describe(err, string(sink.a.request))
	b, encodeErr := json.Marshal(body)
	if encodeErr == nil && sink.write([]byte("event: error\ndata: "+string(b)+"\n\n")) == nil {
		// The error is ignored: the caller has disconnected.
		_ = sink.Flush()
	}
	s.Recorder.Record(event.CallerCut, timeline.Fields{"request": string(sink.a.request), "reason": err.Error()})
	return err
}
