// Package draft carries drafts: it sends a caller's chat to a model engine and
// hands the tokens of the answer to a [Sink].
//
// A draft may be repeated. If an engine fails, the answer is resumed on another
// one from the exact position, so that the sink sees each token once and in
// order. A chunk with another request's id or an unexpected position fails the
// attempt. Retries end at the deadline and have a budget.
package draft

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"toucanfall/dialect"
	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/timeline"
	"toucanfall/upstream"
)

// maxAttempts bounds the engines that one request is sent to.
const maxAttempts = 3

// The ends of a whole answer.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// Job is one admitted draft.
type Job struct {
	Request   fleet.RequestID
	Team      fleet.TeamID
	Route     fleet.Route
	Messages  []dialect.Message
	MaxTokens int
}

// Sink takes the tokens of an answer. An error of Token ends the draft: the
// caller is gone.
type Sink interface {
	Token(c dialect.Chunk) error
	// Flush sends on what Token may have kept back. It is called before the
	// draft waits for the engine.
	Flush() error
}

// Result describes an answer. After an error, Tokens counts what the sink took;
// PromptTokens is 0 if no engine finished.
type Result struct {
	Upstream     fleet.UpstreamID
	Version      string
	PromptTokens int
	Tokens       int
}

// Engines starts answers on engines.
type Generator interface {
	Generate(ctx context.Context, address string, id fleet.RequestID, p fleet.Priority, g dialect.GenerateRequest) (*dialect.Stream, error)
}

// Pool chooses engines.
type Pool interface {
	Engine(w upstream.Want) (*upstream.Lease, error)
}

// Drafter carries drafts.
type Drafter struct {
	pool    Pool
	engines Generator
	rec     *timeline.Recorder
	retries *budget
}

// New returns a drafter.
func New(pool Pool, engines Generator, rec *timeline.Recorder) *Drafter {
	return &Drafter{pool: pool, engines: engines, rec: rec, retries: newBudget()}
}

// errCaller marks errors of the sink.
var errCaller = errors.New("the caller is gone")

// answer is the state of a draft over its attempts.
type answer struct {
	job    Job
	sink   Sink
	text   strings.Builder
	result Result
}

// Run carries a draft to its end. The error is a fault.
func (d *Drafter) Run(ctx context.Context, job Job, sink Sink) (Result, error) {
	a := &answer{job: job, sink: sink}
	d.retries.earn()
	want := upstream.Want{Model: job.Route.Model, Adapter: job.Route.Adapter, Prefix: dialect.PrefixKeys(a.request())}
	lease, err := d.pool.Engine(want)
	if err != nil {
		return a.result, err
	}
	for n := 1; ; n++ {
		err = d.attempt(ctx, a, lease)
		lease.Release()
		switch {
		case err == nil:
			lease.Note(true)
			return a.result, nil
		case ctx.Err() != nil || errors.Is(err, errCaller):
			return a.result, err
		}
		if blames(err) {
			lease.Note(false)
		}
		d.noteFailure(job, lease, err)
		want.Avoid = append(want.Avoid, lease.Upstream.ID())
		next := d.next(ctx, a, want, n)
		if next == nil {
			return a.result, fault.New(fault.UpstreamFailed, "no engine finished the answer: %w", err)
		}
		lease = next
	}
}

// blames reports whether an error speaks against the engine's health. A refusal
// of the one request, such as of a model that was just unloaded, does not.
func blames(err error) bool {
	var status *dialect.StatusError
	return !errors.As(err, &status) || status.Status >= http.StatusInternalServerError
}

// Bounds of the wait for an engine that goes on with a begun answer.
const (
	resumeWait     = 2 * time.Second
	resumeInterval = 100 * time.Millisecond
)

// next returns the engine for another attempt after n, nil if there is none or
// the budget is spent. Once the caller has a part of the answer, a short wait
// for an engine is better than its loss.
func (d *Drafter) next(ctx context.Context, a *answer, want upstream.Want, n int) *upstream.Lease {
	if n >= maxAttempts || !d.retries.spend() {
		return nil
	}
	lease := d.other(want)
	for end := time.Now().Add(resumeWait); lease == nil && a.result.Tokens > 0 && time.Now().Before(end); lease = d.other(want) {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(resumeInterval):
		}
	}
	return lease
}

// other returns an engine, nil if there is none. One that failed is taken again
// if no other holds the model, since its connection may have failed alone.
func (d *Drafter) other(want upstream.Want) *upstream.Lease {
	lease, err := d.pool.Engine(want)
	if err == nil {
		return lease
	}
	want.Avoid = nil
	lease, err = d.pool.Engine(want)
	if err != nil {
		return nil
	}
	return lease
}

func (d *Drafter) noteFailure(job Job, lease *upstream.Lease, err error) {
	d.rec.Record(event.AttemptFailed, timeline.Fields{
		"request":  string(job.Request),
		"upstream": string(lease.Upstream.ID()),
		"reason":   err.Error(),
	})
}

// attempt takes the answer from one engine, from the position reached so far.
func (d *Drafter) attempt(ctx context.Context, a *answer, lease *upstream.Lease) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.rec.Record(event.AttemptStarted, timeline.Fields{
		"request":  string(a.job.Request),
		"upstream": string(lease.Upstream.ID()),
		"position": strconv.Itoa(a.result.Tokens),
	})
	g := newGuard(cancel, lease)
	defer g.stop()
	stream, err := d.engines.Generate(ctx, lease.Upstream.VM.Address, a.job.Request, a.job.Route.Priority, a.request())
	if err == nil {
		a.result.Upstream = lease.Upstream.ID()
		err = a.read(stream, g)
	}
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return errSilent
	}
	return err
}

// read takes chunks until the answer is whole.
func (a *answer) read(stream *dialect.Stream, g *guard) error {
	defer stream.Close()
	for {
		c, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		g.token()
		if err := a.take(c); err != nil {
			return err
		}
		// The writer flushes the end of the answer itself.
		if c.Finish != "" || stream.More() {
			continue
		}
		if err := a.sink.Flush(); err != nil {
			return fmt.Errorf("%w: %w", errCaller, err)
		}
	}
}

func (a *answer) request() dialect.GenerateRequest {
	return dialect.GenerateRequest{
		Model:      a.job.Route.Model,
		Adapter:    a.job.Route.Adapter,
		Messages:   a.job.Messages,
		MaxTokens:  a.job.MaxTokens,
		Stream:     true,
		CacheSalt:  string(a.job.Team),
		ResumeFrom: a.result.Tokens,
		ResumeText: a.text.String(),
	}
}

// take checks that a chunk is the next one of this answer and hands it on.
func (a *answer) take(c dialect.Chunk) error {
	if c.ID != a.job.Request {
		return fmt.Errorf("chunk belongs to request %q", c.ID)
	}
	if c.Position != a.result.Tokens {
		return fmt.Errorf("chunk has position %d, want %d", c.Position, a.result.Tokens)
	}
	if c.Finish != "" {
		if c.Finish != finishStop && c.Finish != finishLength {
			return fmt.Errorf("the engine ended the answer by %q", c.Finish)
		}
		a.result.Version = c.Version
		a.result.PromptTokens = c.PromptTokens
		return nil
	}
	if a.result.Tokens >= a.job.MaxTokens {
		return fmt.Errorf("the engine sent more than %d tokens", a.job.MaxTokens)
	}
	if err := a.sink.Token(c); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	a.text.WriteString(c.Text)
	a.result.Tokens++
	return nil
}
