package dialect_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/dialect"
	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/standin"
)

// appendRecords appends each record by a call of its own.
func appendRecords(is *is.I, l ledger.Log, records ...string) {
	for _, r := range records {
		_, err := l.Append(context.Background(), [][]byte{[]byte(r)})
		is.NoErr(err)
	}
}

// TestTrimmedLogOverHTTP guards against a client that does not report trimmed
// offsets, or cannot find the oldest offset that is kept.
func TestTrimmedLogOverHTTP(t *testing.T) {
	is := is.New(t)
	logStandin := standin.NewLog()
	server := httptest.NewServer(logStandin)
	defer server.Close()
	l := dialect.NewLog(server.URL, dialect.NewTransport())
	appendRecords(is, l, "a", "b", "c", "d")
	logStandin.KeepNewest(2)

	_, err := l.Read(context.Background(), 1)
	is.Equal(err, ledger.ErrTrimmed)
	page, err := l.Peek(context.Background(), 1)
	is.NoErr(err)
	is.Equal(page.First, fleet.Offset(3))
	is.Equal(len(page.Records), 2)
	page, err = l.Peek(context.Background(), 5)
	is.NoErr(err)
	is.Equal(page, ledger.Page{First: 3})
}

// TestUnansweredReadClosesConnection guards against reusing a connection on
// which a read got no answer. The server leaves the second read unanswered; the
// third must use a new connection.
func TestUnansweredReadClosesConnection(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var remotes []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		remotes = append(remotes, r.RemoteAddr)
		silent := len(remotes) == 2
		mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write([]byte(`{"first":1}`))
	}))
	defer server.Close()
	l := dialect.NewLog(server.URL, dialect.NewTransport())
	for i := range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, err := l.Read(ctx, 1)
		cancel()
		is.Equal(err != nil, i == 1)
	}
	is.Equal(remotes[0], remotes[1])
	is.True(remotes[1] != remotes[2]) // the unanswered connection is not reused
}
