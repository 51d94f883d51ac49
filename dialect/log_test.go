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

func appendTo(is *is.I, l ledger.Log, records ...string) {
	for _, r := range records {
		_, err := l.Append(context.Background(), [][]byte{[]byte(r)})
		is.NoErr(err)
	}
}

func TestTrimmedLogOverHTTP(t *testing.T) {
	is := is.New(t)
	stand := standin.NewLog()
	server := httptest.NewServer(stand)
	defer server.Close()
	l := dialect.NewLog(server.URL, dialect.NewTransport())
	appendTo(is, l, "a", "b", "c", "d")
	stand.KeepNewest(2)

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

// TestSilentReadGivesUpItsConnection leaves a read unanswered and looks for the
// connection of the next one.
func TestSilentReadGivesUpItsConnection(t *testing.T) {
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
	is.True(remotes[1] != remotes[2]) // the silent connection is not used again
}
