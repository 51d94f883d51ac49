// Package caller is a client of the callers' listener, for the demo, for tests
// and for measured load.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"toucanfall/dialect"
	"toucanfall/entry"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/httpx"
)

// Client calls the callers' listener of one VM.
type Client struct {
	base string
	key  fleet.Secret
	hc   *http.Client
}

// New returns a client of the listener at a base URL.
func New(base string, key fleet.Secret, rt http.RoundTripper) *Client {
	return &Client{base: base, key: key, hc: &http.Client{Transport: rt}}
}

// Draft is what a caller keeps of a draft.
type Completion struct {
	Request  fleet.RequestID
	Upstream string
	Text     string
	Tokens   int
}

// draftRequest is an OpenAI-style request.
type draftRequest struct {
	Model     fleet.RouteID     `json:"model"`
	Messages  []dialect.Message `json:"messages"`
	MaxTokens int               `json:"max_tokens,omitempty"`
	Stream    bool              `json:"stream,omitempty"`
}

// draftAnswer is the part of an answer or a chunk that a caller needs.
type draftAnswer struct {
	Choices []struct {
		Message dialect.Message `json:"message"`
		Delta   dialect.Message `json:"delta"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Provenance struct {
		Upstream string `json:"upstream"`
	} `json:"toucanfall"`
}

// Draft asks for a draft. It returns an error unless the answer is whole; what
// came before the error is in the draft. A nil onToken asks for no stream.
func (c *Client) Complete(ctx context.Context, route fleet.RouteID, prompt string, maxTokens int, onToken func(string)) (Completion, error) {
	in := draftRequest{
		Model:     route,
		Messages:  []dialect.Message{{Role: "user", Content: prompt}},
		MaxTokens: maxTokens,
		Stream:    onToken != nil,
	}
	b, err := json.Marshal(in)
	if err != nil {
		return Completion{}, err
	}
	resp, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", "", b)
	if err != nil {
		return Completion{}, err
	}
	defer resp.Body.Close()
	d := Completion{Request: fleet.RequestID(resp.Header.Get(httpx.HeaderRequestID))}
	if resp.StatusCode != http.StatusOK {
		return d, readFault(resp.Body)
	}
	if in.Stream {
		return d, d.readStream(resp.Body, onToken)
	}
	var a draftAnswer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return d, fmt.Errorf("the answer was cut short: %w", err)
	}
	d.Text = a.Choices[0].Message.Content
	d.Tokens = a.Usage.CompletionTokens
	d.Upstream = a.Provenance.Upstream
	return d, nil
}

// readStream reads server-sent events up to "[DONE]".
func (d *Completion) readStream(r io.Reader, onToken func(string)) error {
	lines := bufio.NewScanner(r)
	isError := false
	for lines.Scan() {
		line := lines.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			isError = true
		case !isData:
		case isError:
			return readFault(strings.NewReader(data))
		case data == "[DONE]":
			return nil
		default:
			if err := d.takeChunk(data, onToken); err != nil {
				return err
			}
		}
	}
	return fmt.Errorf("the stream ended before [DONE]: %w", lines.Err())
}

func (d *Completion) takeChunk(data string, onToken func(string)) error {
	var a draftAnswer
	if err := json.Unmarshal([]byte(data), &a); err != nil {
		return fmt.Errorf("cannot decode a chunk: %w", err)
	}
	if a.Provenance.Upstream != "" {
		d.Upstream = a.Provenance.Upstream
	}
	if text := a.Choices[0].Delta.Content; text != "" {
		d.Text += text
		d.Tokens++
		onToken(text)
	}
	return nil
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Request fleet.RequestID
	Status  int
	Stored  bool
	Body    []byte
}

// Service sends a request to a plain service. An empty idempotency key sends
// none.
func (c *Client) Service(ctx context.Context, route fleet.RouteID, method, path, idempotencyKey string, body []byte) (ServiceAnswer, error) {
	return c.service(ctx, method, "/v1/services/"+string(route)+path, idempotencyKey, body)
}

// Booking looks a booking up by its idempotency key, without running anything.
func (c *Client) Booking(ctx context.Context, route fleet.RouteID, idempotencyKey string) (ServiceAnswer, error) {
	return c.service(ctx, http.MethodGet, "/v1/bookings/"+string(route)+"/"+url.PathEscape(idempotencyKey), "", nil)
}

func (c *Client) service(ctx context.Context, method, path, idempotencyKey string, body []byte) (ServiceAnswer, error) {
	resp, err := c.send(ctx, method, path, idempotencyKey, body)
	if err != nil {
		return ServiceAnswer{}, err
	}
	defer resp.Body.Close()
	a := ServiceAnswer{
		Request: fleet.RequestID(resp.Header.Get(httpx.HeaderRequestID)),
		Status:  resp.StatusCode,
		Stored:  resp.Header.Get(entry.HeaderStored) == "true",
	}
	if resp.Header.Get(entry.HeaderStored) == "" {
		return a, readFault(resp.Body)
	}
	a.Body, err = io.ReadAll(resp.Body)
	return a, err
}

func (c *Client) send(ctx context.Context, method, path, idempotencyKey string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+string(c.key))
	}
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return c.hc.Do(req)
}

func readFault(r io.Reader) error {
	var f fault.Body
	if err := json.NewDecoder(r).Decode(&f); err != nil {
		return fmt.Errorf("cannot decode the error: %w", err)
	}
	return fault.New(f.Error.Code, "%s", f.Error.Message)
}
