package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"toucanfall/dialect"
	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// EngineConfig configures a stand-in engine.
type EngineConfig struct {
	// Capacity is the accelerator memory.
	Capacity fleet.Bytes
	// Slots is the number of concurrent requests that the engine reports. It
	// is not enforced.
	Slots int
	// TokenTime is the time between two tokens.
	TokenTime time.Duration
	// LoadTime is the time from a load order until the model is ready.
	LoadTime time.Duration
	// UnloadTime is the time from an unload order until the memory is free.
	UnloadTime time.Duration
	// Fenced makes the engine reject orders with an old fencing token.
	Fenced bool
	// AllowOvercommit makes the engine accept loads that exceed its capacity,
	// where a real engine would run out of memory. Overcommits counts them.
	AllowOvercommit bool
}

// Engine is a stand-in for a model engine. Its answers depend only on the
// request, so that a resumed answer can be compared with a complete one. It is
// safe for concurrent use.
type Engine struct {
	cfg     EngineConfig
	rec     *timeline.Recorder
	started time.Time

	mu       sync.Mutex // guards running, leaving, state and resident
	running  int
	leaving  bool
	state    engineState
	resident map[fleet.ModelID]*dialect.ResidentModel
	prefixes prefixCache
}

// NewEngine returns an engine without resident models.
func NewEngine(cfg EngineConfig, rec *timeline.Recorder) *Engine {
	return &Engine{
		cfg:      cfg,
		rec:      rec,
		started:  time.Now(),
		resident: make(map[fleet.ModelID]*dialect.ResidentModel),
	}
}

// ServeHTTP serves the engine protocol of package dialect.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/chat/completions":
		e.serveGenerate(w, r)
	case "/v1/report":
		writeJSON(w, http.StatusOK, e.Report())
	case "/v1/cache_events":
		e.serveCacheEvents(w, r)
	case "/v1/orders":
		e.serveOrder(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var g dialect.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, ok := e.beginRequest(g.Model)
	if !ok {
		http.Error(w, fmt.Sprintf("model %q is not resident", g.Model), http.StatusNotFound)
		return
	}
	defer e.endRequest()
	e.prefixes.touch(dialect.PrefixKeys(g))
	id := fleet.RequestID(r.Header.Get(dialect.HeaderRequestID))
	e.rec.Record(event.FakeServed, timeline.Fields{"request": string(id), "model": string(g.Model)})
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, id, version, g)
}

// stream writes the tokens of the answer from g.ResumeFrom on, until the answer
// is complete or the client disconnects.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id fleet.RequestID, version string, g dialect.GenerateRequest) {
	rc := http.NewResponseController(w)
	tokens := AnswerTokens(g)
	for i := g.ResumeFrom; i < len(tokens); i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.cfg.TokenTime):
		}
		writeChunk(w, dialect.Chunk{ID: id, Position: i, Text: tokens[i]})
		if rc.Flush() != nil {
			return
		}
	}
	last := dialect.Chunk{ID: id, Position: len(tokens), Finish: "stop", Version: version, PromptTokens: PromptTokens(g.Messages)}
	writeChunk(w, last)
}

func writeChunk(w http.ResponseWriter, c dialect.Chunk) {
	// Encoding a chunk never fails, and the next flush reports a failed write.
	b, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
}

// AnswerTokens returns the tokens of a stand-in engine's complete answer to g:
// g.MaxTokens numbered words, which cycle through those of the last message.
func AnswerTokens(g dialect.GenerateRequest) []string {
	var words []string
	if len(g.Messages) > 0 {
		words = strings.Fields(g.Messages[len(g.Messages)-1].Content)
	}
	if len(words) == 0 {
		words = []string{"empty"}
	}
	tokens := make([]string, g.MaxTokens)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%s-%d ", words[i%len(words)], i)
	}
	return tokens
}

// PromptTokens returns the number of tokens that the stand-in counts in a
// prompt, which is its number of words.
func PromptTokens(messages []dialect.Message) int {
	n := 0
	for _, m := range messages {
		n += len(strings.Fields(m.Content))
	}
	return n
}

// SetLeaving makes the engine's reports announce that it is leaving.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// beginRequest counts a request as running and returns the model's version. It
// reports false if the model is not ready.
func (e *Engine) beginRequest(model fleet.ModelID) (version string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.resident[model]
	if !ok || !m.Ready {
		return "", false
	}
	e.running++
	return m.Version, true
}

func (e *Engine) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// Report returns the engine's load and resident models.
func (e *Engine) Report() dialect.EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := dialect.EngineReport{
		Running:   e.running,
		Slots:     e.cfg.Slots,
		Fence:     e.state.fence,
		Capacity:  e.cfg.Capacity,
		Used:      e.usedLocked(),
		StartedMS: e.started.UnixMilli(),
		Leaving:   e.leaving,
		TakenMS:   e.state.nextReportMS(),
	}
	for _, m := range e.resident {
		r.Resident = append(r.Resident, e.state.residentModel(m))
	}
	return r
}
