package dialect

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"toucanfall/fleet"
)

// Headers that go up to engines and services with each request.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// GenerateRequest asks an engine for an answer as a stream.
type GenerateRequest struct {
	Model     fleet.ModelID   `json:"model"`
	Adapter   fleet.AdapterID `json:"adapter,omitempty"`
	Messages  []Message       `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	// CacheSalt separates the prefix caches of teams.
	CacheSalt string `json:"cache_salt,omitempty"`
	// ResumeFrom continues an answer after this many tokens, whose text is
	// ResumeText.
	ResumeFrom int    `json:"resume_from,omitempty"`
	ResumeText string `json:"resume_text,omitempty"`
}

// Chunk is one token of an engine's answer.
type Chunk struct {
	ID fleet.RequestID `json:"id"`
	// Position counts the tokens of the answer from 0.
	Position int    `json:"position"`
	Text     string `json:"text"`
	// Finish is set on the last chunk, which carries no token.
	Finish  string `json:"finish,omitempty"`
	Version string `json:"version,omitempty"`
	// PromptTokens is set on the last chunk.
	PromptTokens int `json:"prompt_tokens,omitempty"`
}

// EngineReport is what an engine says of itself. It lags.
type EngineReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Fence is the highest fencing number that the engine has seen.
	Fence     fleet.Offset    `json:"fence"`
	Capacity  fleet.Bytes     `json:"capacity_bytes"`
	Used      fleet.Bytes     `json:"used_bytes"`
	Resident  []ResidentModel `json:"resident"`
	Leaving   bool            `json:"leaving,omitempty"`
	StartedMS int64           `json:"started_ms"`
	// TakenMS is when the report was taken, by the engine's clock. A later
	// report of one start has a higher one.
	TakenMS int64 `json:"taken_ms"`
}

// ResidentModel is a model in an engine's memory.
type ResidentModel struct {
	Model    fleet.ModelID     `json:"model"`
	Version  string            `json:"version"`
	Size     fleet.Bytes       `json:"size_bytes"`
	Ready    bool              `json:"ready"`
	Adapters []fleet.AdapterID `json:"adapters,omitempty"`
}

// OrderKind is what an order tells an engine to do.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel     OrderKind = "load_model"
	OrderUnloadModel   OrderKind = "unload_model"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
)

// Order tells an engine to change what it holds.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Fence is the fencing number: the offset of the newest accepted intent
	// for the engine. Engines that check it refuse a lower one than they saw.
	Fence   fleet.Offset    `json:"fence"`
	Model   fleet.ModelID   `json:"model"`
	Version string          `json:"version,omitempty"`
	Size    fleet.Bytes     `json:"size_bytes,omitempty"`
	Adapter fleet.AdapterID `json:"adapter,omitempty"`
}

// ServiceReport is what a plain service says of its load. It lags.
type ServiceReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving,omitempty"`
}

// Engines is a client of model engines, which it reaches by host:port.
type Engines struct {
	hc *http.Client
}

// NewEngines returns a client over rt.
func NewEngines(rt http.RoundTripper) *Engines {
	return &Engines{hc: &http.Client{Transport: rt, CheckRedirect: refuseRedirect}}
}

// refuseRedirect hands a redirect on as an answer, so that no request goes to
// an address that the VM list does not name.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Report asks an engine for its load and what is resident.
func (e *Engines) Report(ctx context.Context, address string) (EngineReport, error) {
	var r EngineReport
	err := doJSON(ctx, e.hc, http.MethodGet, "http://"+address+"/v1/report", nil, &r)
	return r, err
}

// ServiceReport asks a plain service for its load.
func (e *Engines) ServiceReport(ctx context.Context, address string) (ServiceReport, error) {
	var r ServiceReport
	err := doJSON(ctx, e.hc, http.MethodGet, "http://"+address+"/report", nil, &r)
	return r, err
}

// CacheEvents asks an engine for the changes of its prefix cache from a number
// on.
func (e *Engines) CacheEvents(ctx context.Context, address string, from uint64) (CacheEvents, error) {
	var c CacheEvents
	url := fmt.Sprintf("http://%s/v1/cache_events?from=%d", address, from)
	err := doJSON(ctx, e.hc, http.MethodGet, url, nil, &c)
	return c, err
}

// Order sends an order. An error does not mean that it had no effect.
func (e *Engines) Order(ctx context.Context, address string, o Order) error {
	return doJSON(ctx, e.hc, http.MethodPost, "http://"+address+"/v1/orders", o, nil)
}

// Generate starts an answer. The stream ends when ctx does.
func (e *Engines) Generate(ctx context.Context, address string, id fleet.RequestID, p fleet.Priority, g GenerateRequest) (*Stream, error) {
	b, err := json.Marshal(g)
	if err != nil {
		return nil, fmt.Errorf("cannot encode request: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(b))
	if err != nil {
		cancel()
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, string(id))
	req.Header.Set(HeaderPriority, string(p))
	resp, err := e.hc.Do(req)
	if err != nil {
		cancel()
		return nil, MarkNotSent(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer resp.Body.Close()
		return nil, newStatusError(resp)
	}
	return NewStream(resp.Body, cancel), nil
}
