// Package control implements toucanctl, which sends operators' commands and queries to the
// operators' listener of any VM.
package control

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"toucanfall/dialect"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/operator"
)

// clientTimeout bounds one request to an operators' listener.
const clientTimeout = 15 * time.Second

// Client calls the operators' listener of one VM.
type Client struct {
	base       string
	credential fleet.Secret
	httpClient *http.Client
}

// NewClient returns a client of the listener at a base URL. config is used for HTTPS; nil
// means the defaults with the certificate authorities of the system.
func NewClient(base string, credential fleet.Secret, config *tls.Config) *Client {
	return NewClientOver(base, credential, &http.Transport{TLSClientConfig: config})
}

// NewClientOver is like [NewClient], but sends requests through rt.
func NewClientOver(base string, credential fleet.Secret, rt http.RoundTripper) *Client {
	return &Client{base: base, credential: credential, httpClient: &http.Client{Timeout: clientTimeout, Transport: rt}}
}

// Command proposes a change that is based on revision base. It returns a [*RejectedError] if
// the change is rejected, and a fault of kind outcome_unknown if the VM may have applied it
// without answering.
func (c *Client) Command(ctx context.Context, kind ledger.Kind, base fleet.Revision, body any) (operator.Outcome, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return operator.Outcome{}, fmt.Errorf("cannot encode the command: %w", err)
	}
	cmd, err := json.Marshal(operator.Command{Base: base, Body: b})
	if err != nil {
		return operator.Outcome{}, fmt.Errorf("cannot encode the command: %w", err)
	}
	var outcome operator.Outcome
	answer, err := c.do(ctx, http.MethodPost, "/v1/commands/"+string(kind), cmd)
	if err != nil {
		return outcome, err
	}
	if err := json.Unmarshal(answer, &outcome); err != nil {
		return outcome, fmt.Errorf("cannot decode the verdict: %w", err)
	}
	if !outcome.Accepted() {
		return outcome, &RejectedError{Verdict: outcome.Verdict}
	}
	return outcome, nil
}

// RejectedError is returned for a rejected change.
type RejectedError struct {
	Verdict ledger.Verdict
}

// Error returns the reason, and after a conflict also the current value.
func (e *RejectedError) Error() string {
	text := fmt.Sprintf("%s: %s", e.Verdict.Fault, e.Verdict.Message)
	if len(e.Verdict.Current) > 0 {
		text += fmt.Sprintf("\ncurrent value at revision %d: %s", e.Verdict.Revision, e.Verdict.Current)
	}
	return text
}

// Query sends a query and decodes the JSON answer into out.
func (c *Client) Query(ctx context.Context, name string, params url.Values, out any) error {
	b, err := c.do(ctx, http.MethodGet, "/v1/queries/"+name+"?"+params.Encode(), nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, out)
}

// do sends a request and returns the body of the response. A fault in the body is returned as
// an error.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+string(c.credential))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, callError(method, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, callError(method, err)
	}
	var f fault.Body
	if json.Unmarshal(b, &f) == nil && f.Error.Code != "" {
		return nil, fault.New(f.Error.Code, "%s", f.Error.Message)
	}
	return b, nil
}

// callError returns the fault for a failed call: store_unavailable if it had no effect, because
// it was a query or was not sent, else outcome_unknown.
func callError(method string, err error) error {
	if method == http.MethodGet || errors.Is(dialect.MarkNotSent(err), ledger.ErrNotSent) {
		return fault.New(fault.StoreUnavailable, "cannot reach the VM: %w", err)
	}
	return fault.New(fault.OutcomeUnknown, "the VM did not answer; look whether the change is in force before you repeat it: %w", err)
}
