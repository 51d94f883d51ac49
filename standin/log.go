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

// Limits of one read of the log.
const (
	maxReadRecords = 1000
	maxReadWait    = 10 * time.Second
)

// Log is an in-memory stand-in for the platform's log. It implements
// [ledger.Log] and serves the log protocol of package dialect over HTTP. It is
// safe for concurrent use.
type Log struct {
	mu      sync.Mutex // guards the fields below
	records []ledger.Raw
	// first is the offset of records[0], and next that of the next record.
	first fleet.Offset
	next  fleet.Offset
	// appended is closed and replaced by each append.
	appended chan struct{}
}

// NewLog returns an empty log, whose first record gets offset 1.
func NewLog() *Log {
	return &Log{first: 1, next: 1, appended: make(chan struct{})}
}

// Append adds records and returns the offset of the first. It never fails.
func (l *Log) Append(_ context.Context, records [][]byte) (fleet.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.next
	for _, data := range records {
		l.records = append(l.records, ledger.Raw{Offset: l.next, Data: data})
		l.next++
	}
	close(l.appended)
	l.appended = make(chan struct{})
	return at, nil
}

// Read returns at most maxReadRecords records starting at an offset. If there is
// none yet, it waits, and returns none without an error when ctx ends. It fails
// with [ledger.ErrTrimmed] if the offset is no longer kept.
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
		appended := l.appended
		l.mu.Unlock()
		select {
		case <-appended:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// Peek returns at most maxReadRecords records that exist now, starting at an
// offset or the oldest that is kept.
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

// KeepNewest drops all records but the newest n.
func (l *Log) KeepNewest(n int) {
	l.mu.Lock()
	below := l.next - min(l.next, fleet.Offset(max(n, 0)))
	l.mu.Unlock()
	l.Trim(below)
}

// firstOffset returns the oldest offset that is kept.
func (l *Log) firstOffset() fleet.Offset {
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

// ServeHTTP serves appends, reads and trims.
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
	writeJSON(w, http.StatusOK, dialect.AppendResponse{FirstOffset: at})
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
	writeJSON(w, http.StatusOK, dialect.ReadResponse{Records: records, First: l.firstOffset()})
}

// serveTrim drops the records below the offset in the query parameter "below",
// or all but the newest as counted by the parameter "keep".
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
