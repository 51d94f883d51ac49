package booking

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"toucanfall/dialect"
	"toucanfall/fault"
	"toucanfall/ledger"
)

// abortingServer answers the first request, and closes the connection after
// reading each later one. It returns its address and the number of requests
// that it read.
func abortingServer(t *testing.T) (string, *atomic.Int64) {
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if n.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	s.Config.ErrorLog = nil
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), &n
}

// TestClientDisablesTransportRetries checks that a default net/http client retries a
// request on its own, and that [Client] does not.
func TestClientDisablesTransportRetries(t *testing.T) {
	for _, tt := range []struct{ name, method, idempotencyKey string }{
		{"idempotency key", http.MethodPost, "k"},
		{"no body", http.MethodGet, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address, n := abortingServer(t)
			hc := &http.Client{Transport: &http.Transport{}}
			for range 2 {
				req, err := http.NewRequest(tt.method, "http://"+address, strings.NewReader(""))
				is.NoErr(err)
				if tt.idempotencyKey != "" {
					req.Header.Set("Idempotency-Key", tt.idempotencyKey)
				}
				if resp, err := hc.Do(req); err == nil {
					is.NoErr(resp.Body.Close())
				}
			}
			is.Equal(n.Load(), int64(3)) // the second request was sent twice

			address, n = abortingServer(t)
			cl := NewClient(dialect.NewTransport(), newRecorder())
			c := newCall("r1", tt.idempotencyKey)
			c.Method, c.Body = tt.method, nil
			_, err := cl.Send(context.Background(), address, c)
			is.NoErr(err)
			_, err = cl.Send(context.Background(), address, c)
			is.Equal(fault.KindOf(err), fault.OutcomeUnknown)
			is.Equal(n.Load(), int64(2))
		})
	}
}

// rawServer reads one request per connection, answers with the given bytes and
// closes the connection. It returns its address.
func rawServer(t *testing.T, answer string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = conn.Write([]byte(answer))
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

// TestSendAcceptsOnlyCompleteAnswers checks that Send accepts only complete answers to
// its own request, and says that the request did not run only if nothing was
// sent.
func TestSendAcceptsOnlyCompleteAnswers(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	is.New(t).NoErr(closed.Close())
	for _, tt := range []struct {
		name, address string
		want          fault.Kind
	}{
		{"complete", rawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: r1\r\n\r\nok"), ""},
		{"no id", rawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), ""},
		{"another's", rawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: r2\r\n\r\nok"), fault.OutcomeUnknown},
		{"cut body", rawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok"), fault.OutcomeUnknown},
		{"cut chunks", rawServer(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), fault.OutcomeUnknown},
		{"no end", rawServer(t, "HTTP/1.1 200 OK\r\n\r\nok"), fault.OutcomeUnknown},
		{"cut header", rawServer(t, "HTTP/1.1 200 OK\r\nConte"), fault.OutcomeUnknown},
		{"nothing", rawServer(t, ""), fault.OutcomeUnknown},
		{"too long", rawServer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", maxAnswerBytes+1, strings.Repeat("x", maxAnswerBytes+1))), fault.OutcomeUnknown},
		{"redirect", rawServer(t, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n"), ""},
		{"status 000", rawServer(t, "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok"), fault.OutcomeUnknown},
		{"status 101", rawServer(t, "HTTP/1.1 101 X\r\nContent-Length: 2\r\n\r\nok"), fault.OutcomeUnknown},
		{"status 600", rawServer(t, "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok"), fault.OutcomeUnknown},
		{"status 599", rawServer(t, "HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nok"), ""},
		{"blank in a name", rawServer(t, "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok"), fault.OutcomeUnknown},
		{"blank after a name", rawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id : r2\r\n\r\nok"), fault.OutcomeUnknown},
		{"blank in a name of the trailer", rawServer(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n"), fault.OutcomeUnknown},
		{"control byte in a name", rawServer(t, "HTTP/1.1 200 OK\r\nX\x01: 1\r\nContent-Length: 2\r\n\r\nok"), fault.OutcomeUnknown},
		{"refused", closed.Addr().String(), fault.NoUpstream},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, err := NewClient(dialect.NewTransport(), newRecorder()).Send(context.Background(), tt.address, newCall("r1", ""))
			is.Equal(fault.KindOf(err), tt.want)
			if tt.name == "redirect" {
				is.Equal(a.Status, http.StatusTemporaryRedirect)
			}
		})
	}
}

// TestLargeAnswer checks that a body above the limit is not stored and is
// marked as omitted.
func TestLargeAnswer(t *testing.T) {
	is := is.New(t)
	o := outcomeOf(ledger.BookingClaim{}, Answer{Status: 201, Body: make([]byte, maxStoredBodyBytes+1)}, nil)
	is.True(o.BodyOmitted)
	is.Equal(len(o.Body), 0)
	is.Equal(o.HTTPStatus, 201)
}
