package completion

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"toucanfall/dialect"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/standin"
	"toucanfall/timeline"
	"toucanfall/upstream"
)

// defect is the way in which an engine's answer goes wrong at one position.
type defect string

const (
	defectNone         defect = "none"
	defectTruncated    defect = "truncated"
	defectDuplicate    defect = "duplicate"
	defectSkip         defect = "skip"
	defectOtherRequest defect = "other_request"
	defectGarbage      defect = "garbage"
	defectLongLine     defect = "long_line"
	defectSilent       defect = "silent"
	defectRefused      defect = "refused"
	defectAborted      defect = "aborted"
	defectEarlyStop    defect = "early_stop"
	defectTooMany      defect = "too_many"
)

var defects = []defect{defectNone, defectTruncated, defectDuplicate, defectSkip, defectOtherRequest, defectGarbage, defectLongLine, defectSilent, defectRefused, defectAborted, defectEarlyStop, defectTooMany}

// plan is the defect of one attempt and the position at which it occurs.
type plan struct {
	defect defect
	at     int
}

// scriptedEngines are engines that follow one plan per attempt, and answer
// without a defect once all plans are used.
type scriptedEngines struct {
	plans         []plan
	requests      []dialect.GenerateRequest
	closedStreams atomic.Int64
}

func (s *scriptedEngines) Generate(ctx context.Context, _ string, id fleet.RequestID, _ fleet.Priority, g dialect.GenerateRequest) (*dialect.Stream, error) {
	p := plan{defect: defectNone}
	if len(s.plans) > 0 {
		p, s.plans = s.plans[0], s.plans[1:]
	}
	s.requests = append(s.requests, g)
	if p.defect == defectRefused {
		return nil, &dialect.StatusError{Status: 503}
	}
	r, w := io.Pipe()
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(ctx, func() { _ = r.CloseWithError(ctx.Err()) })
	go writeAnswer(ctx, w, id, g, p)
	return dialect.NewStream(&closeCounter{ReadCloser: r, engines: s}, cancel), nil
}

// closeCounter counts the streams that are closed.
type closeCounter struct {
	io.ReadCloser
	engines *scriptedEngines
}

func (c *closeCounter) Close() error {
	c.engines.closedStreams.Add(1)
	return c.ReadCloser.Close()
}

// writeAnswer writes the answer to a request with the defect of the plan.
func writeAnswer(ctx context.Context, w *io.PipeWriter, id fleet.RequestID, g dialect.GenerateRequest, p plan) {
	defer func() { _ = w.Close() }()
	tokens := standin.AnswerTokens(g)
	for i := g.ResumeFrom; i < len(tokens); i++ {
		c := dialect.Chunk{ID: id, Position: i, Text: tokens[i]}
		if i != p.at {
			writeChunk(w, c)
			continue
		}
		switch p.defect {
		case defectTruncated:
			_, _ = io.WriteString(w, `data: {"id":"`)
			return
		case defectDuplicate:
			writeChunk(w, c)
		case defectSkip:
			continue
		case defectOtherRequest:
			c.ID, c.Text = "another", "not yours "
		case defectGarbage:
			_, _ = io.WriteString(w, "data: {]\n\n")
		case defectLongLine:
			_, _ = io.WriteString(w, "data: "+strings.Repeat("x", 70<<10)+"\n")
		case defectSilent:
			<-ctx.Done()
			return
		case defectAborted:
			c.Finish = "abort"
		case defectEarlyStop:
			c = dialect.Chunk{ID: id, Position: i + 1, Finish: "stop"}
		}
		writeChunk(w, c)
	}
	n := len(tokens)
	if p.defect == defectTooMany {
		writeChunk(w, dialect.Chunk{ID: id, Position: n, Text: "more "})
		n++
	}
	writeChunk(w, dialect.Chunk{ID: id, Position: n, Finish: "stop", Version: "v1", PromptTokens: 3})
}

// writeChunk writes a chunk as a server-sent event.
func writeChunk(w io.Writer, c dialect.Chunk) {
	b, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
}

// enginePool is a pool of three engines.
type enginePool struct{}

func (enginePool) Engine(w upstream.Requirements) (*upstream.Lease, error) {
	for _, id := range []fleet.VMID{"e1", "e2", "e3"} {
		if !slices.Contains(w.Avoid, fleet.UpstreamID(id)) {
			return upstream.NewLease(fleet.VM{ID: id}), nil
		}
	}
	return nil, fault.New(fault.NoUpstream, "none left")
}

// callerSink is a caller that fails at the token with the number failAt,
// counted from 1; 0 means never.
type callerSink struct {
	text           strings.Builder
	tokens, failAt int
	flushedBytes   int
}

func (s *callerSink) Token(c dialect.Chunk) error {
	s.tokens++
	if s.tokens == s.failAt {
		return errors.New("disconnected")
	}
	s.text.WriteString(c.Text)
	return nil
}

func (s *callerSink) Flush() error {
	s.flushedBytes = s.text.Len()
	return nil
}

func newClient(s *scriptedEngines) *Client {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(enginePool{}, s, timeline.New("test", 16, logger))
}

// newJob returns a job for an answer of n tokens.
func newJob(n int) Job {
	return Job{
		Request:   "r1",
		Team:      "quotes",
		Route:     fleet.Route{ID: "textdesk", Model: "m", Priority: fleet.PriorityBatch},
		Messages:  []dialect.Message{{Role: "user", Content: "ten fine sieves"}},
		MaxTokens: n,
	}
}

// TestRandomDefects checks that, whatever defects the engines have, the caller
// gets the complete answer, or an error after a prefix of it, and that the
// result counts the tokens that the caller got.
func TestRandomDefects(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(rt, "tokens")
		s := &scriptedEngines{plans: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) plan {
			return plan{rapid.SampledFrom(defects).Draw(t, "defect"), rapid.IntRange(0, n).Draw(t, "at")}
		}), 0, 4).Draw(rt, "plans")}
		var failure string
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			sink := &callerSink{}
			result, err := newClient(s).Run(ctx, newJob(n), sink)
			complete := strings.Join(standin.AnswerTokens((&answer{job: newJob(n)}).request()), "")
			got := sink.text.String()
			switch {
			case err == nil && got != complete:
				failure = fmt.Sprintf("answer %q is not complete", got)
			case !strings.HasPrefix(complete, got):
				failure = fmt.Sprintf("answer %q is not a prefix of the complete answer", got)
			case result.Tokens != sink.tokens:
				failure = fmt.Sprintf("result counts %d tokens, caller got %d", result.Tokens, sink.tokens)
			}
			synctest.Wait()
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// TestResume checks that another engine resumes an answer at the exact
// position, both after a stall and after a truncated stream.
func TestResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &scriptedEngines{plans: []plan{{defectSilent, 5}, {defectTruncated, 9}}}
		sink := &callerSink{}
		result, err := newClient(s).Run(context.Background(), newJob(12), sink)
		is.NoErr(err)
		is.Equal(result.Upstream, fleet.UpstreamID("e3"))
		is.Equal(s.requests[1].ResumeFrom, 5)
		is.Equal(s.requests[2].ResumeFrom, 9)
		is.True(strings.HasPrefix(sink.text.String(), s.requests[2].ResumeText))
		is.Equal(s.requests[0].CacheSalt, "quotes")
	})
}

// TestCallerDisconnected checks that the stream is closed and no other engine is tried
// when the caller disconnects.
func TestCallerDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &scriptedEngines{}
		result, err := newClient(s).Run(context.Background(), newJob(12), &callerSink{failAt: 4})
		is.True(errors.Is(err, errSinkFailed))
		is.Equal(result.Tokens, 3)
		is.Equal(len(s.requests), 1)
		is.Equal(s.closedStreams.Load(), int64(1))
	})
}

// TestRetryBudget checks that the retry budget limits retries when every
// attempt fails.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &scriptedEngines{}
		c := newClient(s)
		const n = 1000
		for range n {
			s.plans = []plan{{defectRefused, 0}, {defectRefused, 0}, {defectRefused, 0}}
			_, err := c.Run(context.Background(), newJob(1), &callerSink{})
			is.Equal(fault.KindOf(err), fault.UpstreamFailed)
		}
		is.True(len(s.requests) <= n+maxSavedRetries+n/10)
	})
}

// TestDeadlineEndsRetries checks that no attempt starts or continues after the
// deadline.
func TestDeadlineEndsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &scriptedEngines{plans: []plan{{defectSilent, 0}, {defectSilent, 0}}}
		ctx, cancel := context.WithTimeout(context.Background(), firstTokenTimeout+time.Second)
		defer cancel()
		begin := time.Now()
		_, err := newClient(s).Run(ctx, newJob(1), &callerSink{})
		is.True(err != nil)
		is.Equal(len(s.requests), 2)
		is.Equal(time.Since(begin), firstTokenTimeout+time.Second)
	})
}

// outagePool has no engine from the second call until availableAt.
type outagePool struct {
	enginePool
	calls       int
	availableAt time.Time
}

func (p *outagePool) Engine(w upstream.Requirements) (*upstream.Lease, error) {
	p.calls++
	if p.calls > 1 && time.Now().Before(p.availableAt) {
		return nil, fault.New(fault.NoUpstream, "none yet")
	}
	return p.enginePool.Engine(w)
}

// TestPartialAnswerWaitsForEngine checks that a request waits for an engine to become
// available only if the caller already has a part of the answer.
func TestPartialAnswerWaitsForEngine(t *testing.T) {
	for _, at := range []int{0, 2} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedEngines{plans: []plan{{defectTruncated, at}}}
			c := newClient(s)
			c.pool = &outagePool{availableAt: time.Now().Add(time.Second)}
			_, err := c.Run(context.Background(), newJob(4), &callerSink{})
			is.Equal(err == nil, at > 0)
		})
	}
}
