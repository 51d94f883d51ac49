package dialect

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"toucanfall/fleet"
	"toucanfall/internal/httpfield"
)

// Headers of each request to an engine or a service.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// GenerateRequest requests a streamed answer from an engine.
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

// Chunk carries one token of an engine's answer, or ends the answer.
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

// EngineReport is an engine's report on its load and memory. It may be stale.
type EngineReport struct {
	// Running and Waiting count requests; Slots is the number that can run at
	// the same time.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Fence is the highest fencing token that the engine has seen.
	Fence     fleet.Offset    `json:"fence"`
	Capacity  fleet.Bytes     `json:"capacity_bytes"`
	Used      fleet.Bytes     `json:"used_bytes"`
	Resident  []ResidentModel `json:"resident"`
	Leaving   bool            `json:"leaving,omitempty"`
	StartedMS int64           `json:"started_ms"`
	// StartedMS is when the engine started and TakenMS when the report was
	// taken, in Unix milliseconds by the engine's clock. TakenMS increases
	// with each report of one start.
	TakenMS int64 `json:"taken_ms"`
}

// ResidentModel is a model in an engine's memory. It serves requests once Ready
// is set.
type ResidentModel struct {
	Model    fleet.ModelID     `json:"model"`
	Version  string            `json:"version"`
	Size     fleet.Bytes       `json:"size_bytes"`
	Ready    bool              `json:"ready"`
	Adapters []fleet.AdapterID `json:"adapters,omitempty"`
}

// OrderKind is the operation that an order requests from an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel     OrderKind = "load_model"
	OrderUnloadModel   OrderKind = "unload_model"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
)

// Order instructs an engine to load or unload a model or an adapter.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Fence is the fencing token: the offset of the newest accepted intent for
	// the engine. Engines that check it reject tokens lower than the highest
	// that they have seen.
	Fence   fleet.Offset    `json:"fence"`
	Model   fleet.ModelID   `json:"model"`
	Version string          `json:"version,omitempty"`
	Size    fleet.Bytes     `json:"size_bytes,omitempty"`
	Adapter fleet.AdapterID `json:"adapter,omitempty"`
}

// ServiceReport is a plain service's report on its load, in requests. It may be
// stale.
type ServiceReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving,omitempty"`
}

// Engines is a client of model engines and plain services, which are addressed
// by host:port.
type Engines struct {
	hc *http.Client
}

// NewEngines returns a client that sends its requests by rt.
func NewEngines(rt http.RoundTripper) *Engines {
	return &Engines{hc: &http.Client{Transport: httpfield.NewTransport(rt), CheckRedirect: refuseRedirect}}
}

// refuseRedirect makes the client return redirects as responses, so that it
// sends no request to an address that is not on the VM list.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Report returns an engine's load and resident models.
func (e *Engines) Report(ctx context.Context, address string) (EngineReport, error) {
	var r EngineReport
	err := doJSON(ctx, e.hc, http.MethodGet, "http://"+address+"/v1/report", nil, &r)
	return r, err
}

// ServiceReport returns a plain service's load.
func (e *Engines) ServiceReport(ctx context.Context, address string) (ServiceReport, error) {
	var r ServiceReport
	err := doJSON(ctx, e.hc, http.MethodGet, "http://"+address+"/report", nil, &r)
	return r, err
}

// CacheEvents returns the changes of an engine's prefix cache, starting with the
// event numbered from or the oldest that the engine keeps.
func (e *Engines) CacheEvents(ctx context.Context, address string, from uint64) (CacheEvents, error) {
	var c CacheEvents
	url := fmt.Sprintf("http://%s/v1/cache_events?from=%d", address, from)
	err := doJSON(ctx, e.hc, http.MethodGet, url, nil, &c)
	return c, err
}

// Order sends an order to an engine. The order may have taken effect even if
// Order returns an error.
func (e *Engines) Order(ctx context.Context, address string, o Order) error {
	return doJSON(ctx, e.hc, http.MethodPost, "http://"+address+"/v1/orders", o, nil)
}

// Generate requests an answer from an engine and returns its stream, which the
// caller must close. Cancelling ctx aborts the stream. Generate fails with a
// [StatusError] if the status is not 200, and with an error that wraps
// ledger.ErrNotSent if dialling failed.
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
