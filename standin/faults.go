package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// FaultSettings are the faults that a stand-in injects.
type FaultSettings struct {
	// DelayMS delays every request by this many milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Outage answers every request with status 503.
	Outage bool `json:"outage,omitempty"`
	// DropAfterEffect is the number of requests that are executed, but whose
	// connection is closed instead of an answer.
	DropAfterEffect int `json:"drop_after_effect,omitempty"`
	// Silent accepts requests but never answers them.
	Silent bool `json:"silent,omitempty"`
}

// Faults wraps a handler and injects faults, which are set by POST /faults.
type Faults struct {
	next http.Handler

	mu     sync.Mutex // guards active
	active FaultSettings
}

// NewFaults returns a wrapper of next that injects no faults yet.
func NewFaults(next http.Handler) *Faults {
	return &Faults{next: next}
}

// Set replaces the injected faults.
func (f *Faults) Set(s FaultSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = s
}

// ServeHTTP handles POST /faults, and passes other requests to the wrapped
// handler after injecting the faults that are set.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" && r.Method == http.MethodPost {
		f.serveSet(w, r)
		return
	}
	s := f.nextRequestFaults()
	time.Sleep(time.Duration(s.DelayMS) * time.Millisecond)
	switch {
	case s.Outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case s.Silent:
		<-r.Context().Done()
	case s.DropAfterEffect > 0:
		f.next.ServeHTTP(discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	default:
		f.next.ServeHTTP(w, r)
	}
}

// nextRequestFaults returns the faults for one request and decrements
// DropAfterEffect.
func (f *Faults) nextRequestFaults() FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.active
	if f.active.DropAfterEffect > 0 {
		f.active.DropAfterEffect--
	}
	return s
}

func (f *Faults) serveSet(w http.ResponseWriter, r *http.Request) {
	var s FaultSettings
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(s)
	w.WriteHeader(http.StatusNoContent)
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct {
	header http.Header
}

// Header returns a header that is never sent.
func (d discardWriter) Header() http.Header { return d.header }

// Write discards b.
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader discards the status.
func (d discardWriter) WriteHeader(int) {}

// writeJSON writes a response with v as its JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client disconnected; it sends the request again.
	_ = json.NewEncoder(w).Encode(v)
}
