package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// FaultSettings are the faults that a stand-in shows.
type FaultSettings struct {
	// DelayMS delays every request.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Outage refuses every request with 503.
	Outage bool `json:"outage,omitempty"`
	// DropAfterEffect performs a number of requests but cuts the connection
	// instead of answering.
	DropAfterEffect int `json:"drop_after_effect,omitempty"`
	// Silent accepts requests and never answers them.
	Silent bool `json:"silent,omitempty"`
}

// Faults wraps a handler so that it fails as ordered by POST /faults.
type Faults struct {
	next http.Handler

	mu     sync.Mutex
	active FaultSettings
}

// NewFaults wraps next.
func NewFaults(next http.Handler) *Faults {
	return &Faults{next: next}
}

// Set changes the faults.
func (f *Faults) Set(s FaultSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = s
}

// ServeHTTP shows the faults that are set, or passes the request on.
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

// take returns the faults for one request and counts down those with a number.
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

// discard is a ResponseWriter that drops the answer.
type discardWriter struct {
	header http.Header
}

// Header returns headers that nobody sends.
func (d discardWriter) Header() http.Header { return d.header }

// Write drops b.
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader drops the status.
func (d discardWriter) WriteHeader(int) {}

// answer writes v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client is gone; it asks again.
	_ = json.NewEncoder(w).Encode(v)
}
