// Package caller provides a client of the callers' listener, and toucanload, which uses it
// for demos and load tests.
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
	base       string
	key        fleet.Secret
	httpClient *http.Client
}

// New returns a client of the listener at a base URL. An empty key sends none.
func New(base string, key fleet.Secret, rt http.RoundTripper) *Client {
	return &Client{base: base, key: key, httpClient: &http.Client{Transport: rt}}
}

// Completion is the result of a completion request.
type Completion struct {
	Request  fleet.RequestID
	Upstream string
	Text     string
	Tokens   int
}

// completionRequest is the body of an OpenAI-compatible chat completion request.
type completionRequest struct {
	Model     fleet.RouteID     `json:"model"`
	Messages  []dialect.Message `json:"messages"`
	MaxTokens int               `json:"max_tokens,omitempty"`
	Stream    bool              `json:"stream,omitempty"`
}

// completionResponse holds the fields of a response, or of a chunk of a stream, that the client
// uses.
type completionResponse struct {
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

// Complete sends a completion request for at most maxTokens tokens. It returns an error unless
// the answer is complete; the result then holds what was received before the error. If onToken
// is not nil, the answer is streamed and onToken is called for each token.
func (c *Client) Complete(ctx context.Context, route fleet.RouteID, prompt string, maxTokens int, onToken func(string)) (Completion, error) {
	in := completionRequest{
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
	var a completionResponse
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return d, fmt.Errorf("cannot decode the answer: %w", err)
	}
	d.Text = a.Choices[0].Message.Content
	d.Tokens = a.Usage.CompletionTokens
	d.Upstream = a.Provenance.Upstream
	return d, nil
}

// readStream reads server-sent events until "[DONE]". It fails if the stream ends before that or
// holds an error event.
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
			if err := d.addChunk(data, onToken); err != nil {
				return err
			}
		}
	}
	return fmt.Errorf("the stream ended before [DONE]: %w", lines.Err())
}

func (d *Completion) addChunk(data string, onToken func(string)) error {
	var a completionResponse
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

// ServiceAnswer is the response of a plain service. Stored reports whether it is the stored
// response of an earlier request with the same idempotency key.
type ServiceAnswer struct {
	Request fleet.RequestID
	Status  int
	Stored  bool
	Body    []byte
}

// Service sends a request to a plain service. An empty idempotency key is not sent.
func (c *Client) Service(ctx context.Context, route fleet.RouteID, method, path, idempotencyKey string, body []byte) (ServiceAnswer, error) {
	return c.service(ctx, method, "/v1/services/"+string(route)+path, idempotencyKey, body)
}

// Booking returns the stored response of a booking by its idempotency key, without sending a
// request to the service.
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
	return c.httpClient.Do(req)
}

func readFault(r io.Reader) error {
	var f fault.Body
	if err := json.NewDecoder(r).Decode(&f); err != nil {
		return fmt.Errorf("cannot decode the error: %w", err)
	}
	return fault.New(f.Error.Code, "%s", f.Error.Message)
}
