package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"toucanfall/dialect"
	"toucanfall/fleet"
	"toucanfall/ledger"
)

// Bounds of one read of the log.
const (
	maxReadRecords = 1000
	maxReadWait    = 10 * time.Second
)

// Log is a stand-in for the platform's log. It implements [ledger.Log]
// directly and serves it over HTTP.
type Log struct {
	mu      sync.Mutex
	records []ledger.Raw
	first   fleet.Offset
	next    fleet.Offset
	grown   chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{first: 1, next: 1, grown: make(chan struct{})}
}

// Append adds records.
func (l *Log) Append(_ context.Context, records [][]byte) (fleet.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.next
	for _, data := range records {
		l.records = append(l.records, ledger.Raw{Offset: l.next, Data: data})
		l.next++
	}
	close(l.grown)
	l.grown = make(chan struct{})
	return at, nil
}

// Read returns records from an offset on, or waits until ctx ends.
func (l *Log) Read(ctx context.Context, from fleet.Offset) ([]ledger.Raw, error) {
	for {
		l.mu.Lock()
		if from < l.first {
			l.mu.Unlock()
			return nil, ledger.ErrTrimmed
		}
		if from < l.next {
			tail := l.records[from-l.first:]
			out := append([]ledger.Raw(nil), tail[:min(len(tail), maxReadRecords)]...)
			l.mu.Unlock()
			return out, nil
		}
		grown := l.grown
		l.mu.Unlock()
		select {
		case <-grown:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// Peek returns the records from an offset on that are there now.
func (l *Log) Peek(_ context.Context, from fleet.Offset) (ledger.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := ledger.Page{First: l.first}
	from = max(from, l.first)
	if from < l.next {
		tail := l.records[from-l.first:]
		page.Records = append([]ledger.Raw(nil), tail[:min(len(tail), maxReadRecords)]...)
	}
	return page, nil
}

// Keep drops all records but the newest n.
func (l *Log) KeepNewest(n int) {
	l.mu.Lock()
	below := l.next - min(l.next, fleet.Offset(max(n, 0)))
	l.mu.Unlock()
	l.Trim(below)
}

func (l *Log) oldest() fleet.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first
}

// Trim drops all records below an offset.
func (l *Log) Trim(below fleet.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if below <= l.first {
		return
	}
	below = min(below, l.next)
	l.records = append([]ledger.Raw(nil), l.records[below-l.first:]...)
	l.first = below
}

// ServeHTTP serves appends and reads.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/records" && r.Method == http.MethodPost:
		l.serveAppend(w, r)
	case r.URL.Path == "/v1/records" && r.Method == http.MethodGet:
		l.serveRead(w, r)
	case r.URL.Path == "/v1/trim" && r.Method == http.MethodPost:
		l.serveTrim(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var in dialect.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	at, _ := l.Append(r.Context(), in.Records)
	answer(w, http.StatusOK, dialect.AppendResponse{FirstOffset: at})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("from: %v", err), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, fmt.Sprintf("wait: %v", err), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxReadWait))
	defer cancel()
	records, err := l.Read(ctx, fleet.Offset(from))
	if err != nil {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	answer(w, http.StatusOK, dialect.ReadResponse{Records: records, First: l.oldest()})
}

// serveTrim drops the records below the offset in the query, or all but the
// number of records that keep gives.
func (l *Log) serveTrim(w http.ResponseWriter, r *http.Request) {
	name, trim := "below", func(n uint64) { l.Trim(fleet.Offset(n)) }
	if r.URL.Query().Has("keep") {
		name, trim = "keep", func(n uint64) { l.KeepNewest(int(n)) }
	}
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 32)
	if err != nil {
		http.Error(w, fmt.Sprintf("%s: %v", name, err), http.StatusBadRequest)
		return
	}
	trim(n)
	w.WriteHeader(http.StatusNoContent)
}
