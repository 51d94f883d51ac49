package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"toucanfall/dialect"
	"toucanfall/draft"
	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/timeline"
)

// streamSink writes an answer as server-sent events.
type streamSink struct {
	c     echo.Context
	a     *admission
	rc    *http.ResponseController
	headerWritten bool
	// bounded is when the deadline of writes was last moved on.
	deadlineSetAt time.Time
	// head is what stands before the text in the event of a token.
	tokenPrefix []byte
	// line is the event in the making.
	buf []byte
}

// boundInterval is the least time between two moves of the deadline of writes.
const deadlineInterval = time.Second

// endTimeout bounds the write of an error after the end of a request's context.
const finalWriteTimeout = time.Second

// tail is what stands after the text in the event of a token.
const tokenSuffix = `},"finish_reason":null}]}` + "\n\n"

func newStreamSink(c echo.Context, a *admission) *streamSink {
	return &streamSink{c: c, a: a, rc: http.NewResponseController(c.Response().Writer), tokenPrefix: encodeTokenPrefix(a)}
}

// tokenHead encodes what all tokens of an answer share. Ids need no escapes.
func encodeTokenPrefix(a *admission) []byte {
	return []byte(`data: {"id":"` + string(a.request) + `","object":"chat.completion.chunk","model":"` + string(a.route.ID) +
		`","choices":[{"index":0,"delta":{"role":"assistant","content":`)
}

// Token writes a chunk to the buffer of the connection.
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

func (w *streamSink) sendData(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return w.write([]byte("data: " + string(b) + "\n\n"))
}

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

// cutAtEnd shortens the deadline of a write in progress when the request's
// context ends, so that a caller that reads nothing cannot hold a request after
// its deadline or after its key was withdrawn. The returned function ends that.
func (w *streamSink) limitWritesAfterContext() func() {
	stop := context.AfterFunc(w.a.ctx, func() {
		// A writer without deadlines, as in tests, is not bounded.
		_ = w.rc.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
	})
	return func() { stop() }
}

// bound moves the deadline of writes on. It does so at most once a second, since
// that costs as much as encoding a token.
func (w *streamSink) extendWriteDeadline() error {
	now := time.Now()
	if now.Sub(w.deadlineSetAt) < deadlineInterval || w.a.ctx.Err() != nil {
		return nil
	}
	w.deadlineSetAt = now
	return setWriteDeadline(w.c)
}

// Flush sends what was written.
func (w *streamSink) Flush() error {
	if err := w.extendWriteDeadline(); err != nil {
		return err
	}
	return w.rc.Flush()
}

// chatStream ends a whole answer by "[DONE]". An answer that failed after its
// first byte ends by an error event instead, so that a caller can tell them
// apart.
func (s *Server) chatStream(c echo.Context, a *admission, job draft.Job) (draft.Result, error) {
	sink := newStreamSink(c, a)
	stop := sink.limitWritesAfterContext()
	defer stop()
	result, err := s.Drafter.Run(a.ctx, job, sink)
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

func (s *Server) endWithError(sink *streamSink, err error) error {
	if !sink.headerWritten {
		return err
	}
	_, _, body := fault.Describe(err, string(sink.a.request))
	b, encodeErr := json.Marshal(body)
	if encodeErr == nil && sink.write([]byte("event: error\ndata: "+string(b)+"\n\n")) == nil {
		// If the caller is gone, nobody is left to tell.
		_ = sink.Flush()
	}
	s.Recorder.Record(event.CallerCut, timeline.Fields{"request": string(sink.a.request), "reason": err.Error()})
	return err
}
