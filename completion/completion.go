// Package completion sends completion requests to model engines and passes the
// tokens of the answers to a [Sink].
//
// Completion requests can be retried. If an engine fails, another one resumes
// the answer from the exact position, so that the sink gets each token once and
// in order. A chunk with another request's id or an unexpected position fails
// the attempt. Retries are limited by the deadline, a number of attempts and a
// retry budget.
package completion

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

// maxAttempts is the largest number of attempts for one request.
const maxAttempts = 3

// Finish reasons of a complete answer.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// Job is one admitted completion request. MaxTokens limits the tokens of the
// answer.
type Job struct {
	Request   fleet.RequestID
	Team      fleet.TeamID
	Route     fleet.Route
	Messages  []dialect.Message
	MaxTokens int
}

// Sink receives the tokens of an answer. Its methods are called by one
// goroutine. An error of Token or Flush means that the caller cannot be
// reached, and ends the request without a retry.
type Sink interface {
	// Token takes the next token.
	Token(c dialect.Chunk) error
	// Flush sends the tokens that Token has buffered. It is called before the
	// request waits for the engine.
	Flush() error
}

// Result describes an answer. Upstream is the last engine that accepted the
// request, "" if none did. Version, the model version, and PromptTokens are set
// only if an engine completed the answer. Tokens is the number of tokens that
// the sink received, also after an error.
type Result struct {
	Upstream     fleet.UpstreamID
	Version      string
	PromptTokens int
	Tokens       int
}

// Generator sends completion requests to engines.
type Generator interface {
	// Generate starts an answer on the engine at address. The stream ends when
	// ctx does.
	Generate(ctx context.Context, address string, id fleet.RequestID, p fleet.Priority, g dialect.GenerateRequest) (*dialect.Stream, error)
}

// Pool selects engines.
type Pool interface {
	// Engine leases an engine. It returns a fault if none is available.
	Engine(w upstream.Requirements) (*upstream.Lease, error)
}

// Client runs completion requests. It is safe for concurrent use.
type Client struct {
	pool        Pool
	generator   Generator
	rec         *timeline.Recorder
	retryBudget *retryBudget
}

// New returns a client that records its attempts in rec.
func New(pool Pool, generator Generator, rec *timeline.Recorder) *Client {
	return &Client{pool: pool, generator: generator, rec: rec, retryBudget: newRetryBudget()}
}

// errSinkFailed wraps errors of the sink.
var errSinkFailed = errors.New("cannot write to the caller")

// answer is the state of a request across its attempts.
type answer struct {
	job    Job
	sink   Sink
	text   strings.Builder
	result Result
}

// Run runs a job and passes the answer to sink. The error is a fault if no
// engine was available or none completed the answer; if ctx ended or the sink
// failed, it is the error of the attempt. The result is valid also after an
// error.
func (c *Client) Run(ctx context.Context, job Job, sink Sink) (Result, error) {
	a := &answer{job: job, sink: sink}
	c.retryBudget.deposit()
	want := upstream.Requirements{Model: job.Route.Model, Adapter: job.Route.Adapter, Prefix: dialect.PrefixKeys(a.request())}
	lease, err := c.pool.Engine(want)
	if err != nil {
		return a.result, err
	}
	for n := 1; ; n++ {
		err = c.attempt(ctx, a, lease)
		lease.Release()
		switch {
		case err == nil:
			lease.ReportResult(true)
			return a.result, nil
		case ctx.Err() != nil || errors.Is(err, errSinkFailed):
			return a.result, err
		}
		if countsAgainstHealth(err) {
			lease.ReportResult(false)
		}
		c.recordFailure(job, lease, err)
		want.Avoid = append(want.Avoid, lease.Upstream.ID())
		next := c.nextLease(ctx, a, want, n)
		if next == nil {
			return a.result, fault.New(fault.UpstreamFailed, "no engine finished the answer: %w", err)
		}
		lease = next
	}
}

// countsAgainstHealth reports whether an error indicates that the engine is
// unhealthy. A rejection of this request alone, for example because the model
// was just unloaded, does not.
func countsAgainstHealth(err error) bool {
	var status *dialect.StatusError
	return !errors.As(err, &status) || status.Status >= http.StatusInternalServerError
}

// Limits of the wait for an engine that can resume a partial answer.
const (
	maxResumeWait      = 2 * time.Second
	resumePollInterval = 100 * time.Millisecond
)

// nextLease returns a lease for the next attempt, or nil if there is no engine,
// the given number of attempts is the maximum or the retry budget is exhausted.
// If the caller already has a part of the answer, it waits up to maxResumeWait
// for an engine, since otherwise the partial answer would be lost.
func (c *Client) nextLease(ctx context.Context, a *answer, want upstream.Requirements, attempts int) *upstream.Lease {
	if attempts >= maxAttempts || !c.retryBudget.tryWithdraw() {
		return nil
	}
	lease := c.leaseOther(want)
	for end := time.Now().Add(maxResumeWait); lease == nil && a.result.Tokens > 0 && time.Now().Before(end); lease = c.leaseOther(want) {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(resumePollInterval):
		}
	}
	return lease
}

// leaseOther leases an engine that has not failed yet, or returns nil if there
// is none. If no other engine holds the model it leases one that failed, since
// only the connection to it may have failed.
func (c *Client) leaseOther(want upstream.Requirements) *upstream.Lease {
	lease, err := c.pool.Engine(want)
	if err == nil {
		return lease
	}
	want.Avoid = nil
	lease, err = c.pool.Engine(want)
	if err != nil {
		return nil
	}
	return lease
}

// recordFailure records a failed attempt.
func (c *Client) recordFailure(job Job, lease *upstream.Lease, err error) {
	c.rec.Record(event.AttemptFailed, timeline.Fields{
		"request":  string(job.Request),
		"upstream": string(lease.Upstream.ID()),
		"reason":   err.Error(),
	})
}

// attempt requests the rest of the answer, from the position reached so far,
// from one engine. It returns errStalled if the engine stalled.
func (c *Client) attempt(ctx context.Context, a *answer, lease *upstream.Lease) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.rec.Record(event.AttemptStarted, timeline.Fields{
		"request":  string(a.job.Request),
		"upstream": string(lease.Upstream.ID()),
		"position": strconv.Itoa(a.result.Tokens),
	})
	timer := newStallTimer(cancel, lease)
	defer timer.stop()
	stream, err := c.generator.Generate(ctx, lease.Upstream.VM.Address, a.job.Request, a.job.Route.Priority, a.request())
	if err == nil {
		a.result.Upstream = lease.Upstream.ID()
		err = a.readStream(stream, timer)
	}
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		return errStalled
	}
	return err
}

// readStream reads chunks until the answer is complete.
func (a *answer) readStream(stream *dialect.Stream, timer *stallTimer) error {
	defer stream.Close()
	for {
		c, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		timer.tokenReceived()
		if err := a.accept(c); err != nil {
			return err
		}
		// The sink's owner flushes the end of the answer.
		if c.Finish != "" || stream.HasBufferedChunk() {
			continue
		}
		if err := a.sink.Flush(); err != nil {
			return fmt.Errorf("%w: %w", errSinkFailed, err)
		}
	}
}

// request returns the request for the tokens that are still missing. The team
// is the cache salt, which keeps the cached prefixes of teams apart.
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

// accept checks that a chunk is the next one of this answer and passes its
// token to the sink. The last chunk, which carries no token, completes the
// result.
func (a *answer) accept(c dialect.Chunk) error {
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
		return fmt.Errorf("%w: %w", errSinkFailed, err)
	}
	a.text.WriteString(c.Text)
	a.result.Tokens++
	return nil
}
