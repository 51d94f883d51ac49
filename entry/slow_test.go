package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/dialect"
	"toucanfall/fleet"
	"toucanfall/keyring"
)

// TestSlowReader streams to a caller that reads nothing. The server must apply
// backpressure to the engine instead of buffering the answer, and disconnect
// the caller when its key is withdrawn.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	var sent atomic.Int64
	handlerDone := make(chan struct{})
	f.engineHandler.setNext(func(rw http.ResponseWriter, r *http.Request) {
		defer close(handlerDone)
		id := fleet.RequestID(r.Header.Get(dialect.HeaderRequestID))
		text := strings.Repeat("x", 32<<10)
		for i := 0; r.Context().Err() == nil; i++ {
			sendChunk(rw, dialect.Chunk{ID: id, Position: i, Text: text})
			sent.Add(int64(len(text)))
		}
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	body := `{"model":"textdesk","stream":true,"messages":[{"role":"user","content":"x"}]}`
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", string(secret), len(body), body)
	is.NoErr(err)

	stalled := func() bool {
		before := sent.Load()
		time.Sleep(300 * time.Millisecond)
		return before > 0 && sent.Load() == before
	}
	for range 20 {
		if stalled() {
			break
		}
	}
	// The kernel's socket buffers hold what was sent.
	is.True(sent.Load() < 64<<20)
	is.Equal(f.inFlight(), int64(1))
	f.keyring.Withdraw(keyring.Withdrawal{Key: "k1", By: "test"})
	select {
	case <-handlerDone:
	case <-time.After(5 * time.Second):
		t.Fatal("the engine's request was not canceled after the key was withdrawn")
	}
	for range 50 {
		if f.inFlight() == 0 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("the request is still in flight 5 s after the engine's request ended")
}

// TestServiceAnswerHasLength guards against an answer whose part looks complete to a caller of HTTP/1.0 when the
// process is killed: without a length its end is the end of the connection.
func TestServiceAnswerHasLength(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	text := strings.Repeat("long text ", 1000)
	f.serviceHandler.setNext(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) })
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/services/orderdesk/x HTTP/1.0\r\nHost: vm\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", string(secret))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(resp.ContentLength, int64(len(text)))
}
