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

// EngineConfig describes a stand-in engine.
type EngineConfig struct {
	Capacity fleet.Bytes
	Slots    int
	// TokenTime is the time between two tokens.
	TokenTime time.Duration
	// LoadTime is the time from an order to load until the model is ready.
	LoadTime time.Duration
	// UnloadTime is the time from an order to unload until the memory is free.
	UnloadTime time.Duration
	// Fenced engines refuse orders with an old fencing number.
	Fenced bool
	// Unguarded engines carry out loads above their capacity, where a real
	// engine would run out of memory, and count them as violations.
	AllowOvercommit bool
}

// Engine is a stand-in for a model engine. Its answers are a fixed function of
// the request, so that a resumed answer can be compared with a whole one.
type Engine struct {
	cfg     EngineConfig
	rec     *timeline.Recorder
	started time.Time

	mu       sync.Mutex
	running  int
	leaving  bool
	memory   memory
	resident map[fleet.ModelID]*dialect.ResidentModel
	prefixes prefixCache
}

// NewEngine returns an engine with nothing resident.
func NewEngine(cfg EngineConfig, rec *timeline.Recorder) *Engine {
	return &Engine{
		cfg:      cfg,
		rec:      rec,
		started:  time.Now(),
		resident: make(map[fleet.ModelID]*dialect.ResidentModel),
	}
}

// ServeHTTP serves the engine's protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/chat/completions":
		e.serveGenerate(w, r)
	case "/v1/report":
		answer(w, http.StatusOK, e.Report())
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
	version, ok := e.begin(g.Model)
	if !ok {
		http.Error(w, fmt.Sprintf("model %q is not resident", g.Model), http.StatusNotFound)
		return
	}
	defer e.end()
	e.prefixes.touch(dialect.PrefixKeys(g))
	id := fleet.RequestID(r.Header.Get(dialect.HeaderRequestID))
	e.rec.Record(event.FakeServed, timeline.Fields{"request": string(id), "model": string(g.Model)})
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, id, version, g)
}

// stream writes the tokens of the answer until the client goes.
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
	// A chunk always encodes, and a failed write shows at the next flush.
	b, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
}

// AnswerTokens returns the tokens of an engine's answer to g: the words of the
// last message, numbered, up to the limit.
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

// PromptTokens counts the tokens of a prompt as the stand-in does: its words.
func PromptTokens(messages []dialect.Message) int {
	n := 0
	for _, m := range messages {
		n += len(strings.Fields(m.Content))
	}
	return n
}

// Leave makes the engine's reports say that it is leaving.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

func (e *Engine) begin(model fleet.ModelID) (version string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.resident[model]
	if !ok || !m.Ready {
		return "", false
	}
	e.running++
	return m.Version, true
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// Report returns the engine's load and what is resident.
func (e *Engine) Report() dialect.EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := dialect.EngineReport{
		Running:   e.running,
		Slots:     e.cfg.Slots,
		Fence:     e.memory.fence,
		Capacity:  e.cfg.Capacity,
		Used:      e.used(),
		StartedMS: e.started.UnixMilli(),
		Leaving:   e.leaving,
		TakenMS:   e.memory.take(),
	}
	for _, m := range e.resident {
		r.Resident = append(r.Resident, e.memory.report(m))
	}
	return r
}
