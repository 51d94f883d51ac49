package booking

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"toucanfall/dialect"
	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/httpfield"
	"toucanfall/internal/httpstatus"
	"toucanfall/ledger"
	"toucanfall/timeline"
	"toucanfall/upstream"
)

const (
	// maxAnswerBytes is the largest body of a service's answer, in bytes.
	maxAnswerBytes = 4 << 20
	// maxUpstreams is the largest number of upstreams that one request is
	// attempted on.
	maxUpstreams = 3
)

// attempt sends the request to one upstream. It tries another one only if the
// request was not sent, because no connection was made, or if the route is
// repeatable.
func (b *Booker) attempt(ctx context.Context, c Call) (Answer, error) {
	var avoid []fleet.UpstreamID
	var lastErr error
	for range maxUpstreams {
		lease, err := b.pool.Service(c.Route.Service, avoid)
		if err != nil {
			if lastErr == nil {
				lastErr = err
			}
			break
		}
		avoid = append(avoid, lease.Upstream.ID())
		a, err := b.attemptOn(ctx, c, lease)
		if err == nil {
			return a, nil
		}
		lastErr = leastCertain(lastErr, err)
		notSent := fault.Lookup(fault.KindOf(err)).NotRun
		if ctx.Err() != nil || (!notSent && !c.Route.Repeatable) {
			break
		}
	}
	return Answer{}, lastErr
}

// leastCertain returns the error to report after two attempts, of which a may
// be nil: if the first may have run, the request must not be reported as not
// run because the second found no upstream.
func leastCertain(a, b error) error {
	if a != nil && !fault.Lookup(fault.KindOf(a)).NotRun {
		return a
	}
	return b
}

// attemptOn sends the request to the leased upstream, once, and releases the
// lease.
func (b *Booker) attemptOn(ctx context.Context, c Call, lease *upstream.Lease) (Answer, error) {
	defer lease.Release()
	id := lease.Upstream.ID()
	b.rec.Record(event.AttemptStarted, timeline.Fields{"request": string(c.Request), "upstream": string(id)})
	a, err := b.sender.Send(ctx, lease.Upstream.VM.Address, c)
	if err != nil {
		b.rec.Record(event.AttemptFailed, timeline.Fields{"request": string(c.Request), "upstream": string(id), "reason": err.Error()})
		return Answer{}, err
	}
	a.Upstream = id
	return a, nil
}

// Client sends requests to services over HTTP. It implements [Sender].
type Client struct {
	hc *http.Client
}

// NewClient returns a client that uses rt and adds a timeline stamp of rec to
// each request. It disables keep-alives on rt, because net/http retries a
// request on its own if a reused connection turns out to be closed. The client
// follows no redirects, since each would be another attempt.
func NewClient(rt *http.Transport, rec *timeline.Recorder) *Client {
	rt.DisableKeepAlives = true
	return &Client{hc: &http.Client{
		Transport:     timeline.StampRequests(httpfield.NewTransport(rt), rec),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Send sends the request once. The error is a fault, which says that the
// request did not run only if no connection was made.
func (cl *Client) Send(ctx context.Context, address string, c Call) (Answer, error) {
	url := "http://" + address + c.Path
	if c.Query != "" {
		url += "?" + c.Query
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return Answer{}, fault.New(fault.InvalidRequest, "cannot make the request: %w", err)
	}
	// Without GetBody the transport cannot send the body a second time.
	req.GetBody = nil
	if c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	req.Header.Set(dialect.HeaderRequestID, string(c.Request))
	req.Header.Set(dialect.HeaderPriority, string(c.Route.Priority))
	resp, err := cl.hc.Do(req)
	if err != nil {
		return Answer{}, sendFault(err)
	}
	defer resp.Body.Close()
	return readAnswer(c, resp)
}

// readAnswer reads an answer. It returns outcome_unknown if the answer is
// incomplete, exceeds maxAnswerBytes or belongs to another request.
func readAnswer(c Call, resp *http.Response) (Answer, error) {
	if got := resp.Header.Get(dialect.HeaderRequestID); got != "" && got != string(c.Request) {
		return Answer{}, fault.New(fault.OutcomeUnknown, "the service answered request %q", got)
	}
	if err := httpstatus.CheckFinal(resp); err != nil {
		return Answer{}, fault.New(fault.OutcomeUnknown, "the service did not answer: %w", err)
	}
	if c.Method != http.MethodHead && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return Answer{}, fault.New(fault.OutcomeUnknown, "the answer has neither a length nor chunks, so that its end cannot be told")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, fault.New(fault.OutcomeUnknown, "the answer was cut short: %w", err)
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, fault.New(fault.OutcomeUnknown, "the service answered status %d with more than %d bytes", resp.StatusCode, maxAnswerBytes)
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// sendFault returns no_upstream for an error before the first byte was sent,
// and outcome_unknown for any other.
func sendFault(err error) error {
	if errors.Is(dialect.MarkNotSent(err), ledger.ErrNotSent) {
		return fault.New(fault.NoUpstream, "the service cannot be reached: %w", err)
	}
	return fault.New(fault.OutcomeUnknown, "the service did not answer: %w", err)
}
