// Package draft carries drafts: it sends a caller's chat to a model engine and
// hands the tokens of the answer to a [Sink].
//
// A draft may be repeated. If an engine fails, the answer is resumed on another
// one from the exact position, so that the sink sees each token once and in
// order. A chunk with another request's id or an unexpected position fails the
// attempt.
package draft

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/platform"
	"toucanfall/timeline"
	"toucanfall/upstream"
)

// maxAttempts bounds the engines that one request is sent to.
const maxAttempts = 3

// Job is one admitted draft.
type Job struct {
	Request   fleet.RequestID
	Team      fleet.TeamID
	Route     fleet.Route
	Messages  []platform.Message
	MaxTokens int
}

// Sink takes the tokens of an answer. An error of Token ends the draft: the
// caller is gone.
type Sink interface {
	Token(c platform.Chunk) error
}

// Result describes a whole answer.
type Result struct {
	Upstream     fleet.UpstreamID
	Version      string
	PromptTokens int
	Tokens       int
}

// Engines starts answers on engines.
type Engines interface {
	Generate(ctx context.Context, address string, id fleet.RequestID, p fleet.Priority, g platform.GenerateRequest) (*platform.Stream, error)
}

// Pool chooses engines.
type Pool interface {
	Engine(model fleet.ModelID, avoid []fleet.UpstreamID) (*upstream.Lease, error)
}

// Drafter carries drafts.
type Drafter struct {
	pool    Pool
	engines Engines
	rec     *timeline.Recorder
}

// New returns a drafter.
func New(pool Pool, engines Engines, rec *timeline.Recorder) *Drafter {
	return &Drafter{pool: pool, engines: engines, rec: rec}
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
	var avoid []fleet.UpstreamID
	var last error
	for range maxAttempts {
		lease, err := d.pool.Engine(job.Route.Model, avoid)
		if err != nil {
			if last != nil {
				break
			}
			return a.result, err
		}
		avoid = append(avoid, lease.Upstream.ID())
		last = d.attempt(ctx, a, lease)
		lease.Release()
		if last == nil {
			return a.result, nil
		}
		if ctx.Err() != nil || errors.Is(last, errCaller) {
			return a.result, last
		}
		d.noteFailure(job, lease, last)
	}
	return a.result, fault.New(fault.UpstreamFailed, "no engine finished the answer: %w", last)
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
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.rec.Record(event.AttemptStarted, timeline.Fields{
		"request":  string(a.job.Request),
		"upstream": string(lease.Upstream.ID()),
		"position": fmt.Sprint(a.result.Tokens),
	})
	stream, err := d.engines.Generate(ctx, lease.Upstream.VM.Address, a.job.Request, a.job.Route.Priority, a.request())
	if err != nil {
		return err
	}
	defer stream.Close()
	a.result.Upstream = lease.Upstream.ID()
	for {
		c, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.take(c); err != nil {
			return err
		}
	}
}

func (a *answer) request() platform.GenerateRequest {
	return platform.GenerateRequest{
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
func (a *answer) take(c platform.Chunk) error {
	if c.ID != a.job.Request {
		return fmt.Errorf("chunk belongs to request %q", c.ID)
	}
	if c.Position != a.result.Tokens {
		return fmt.Errorf("chunk has position %d, want %d", c.Position, a.result.Tokens)
	}
	if c.Finish != "" {
		a.result.Version = c.Version
		a.result.PromptTokens = c.PromptTokens
		return nil
	}
	if err := a.sink.Token(c); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	a.text.WriteString(c.Text)
	a.result.Tokens++
	return nil
}
