package transport_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"toucanfall/transport"
)

// maxRead is the most bytes that the test reads of an answer.
const maxRead = 1 << 20

// No answer of an upstream, whatever its bytes, crashes the process or delays a request past its
// deadline.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 99999 \r\nKeep-Alive: timeout=99999999999999999999, timeout=-1\r\n\r\n",
		"", "\x00", "HTTP/0.9",
	} {
		f.Add([]byte(s), false)
		f.Add([]byte(s), true)
	}
	f.Fuzz(func(_ *testing.T, b []byte, own bool) {
		dial := func(context.Context, string) (net.Conn, error) {
			clientConn, upstreamConn := net.Pipe()
			go func() {
				go func() { _, _ = io.Copy(io.Discard, upstreamConn) }() // Ends when the connection is closed.
				_, _ = upstreamConn.Write(b)                             // The pool may close the connection at any byte.
				_ = upstreamConn.Close()
			}()
			return clientConn, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		p := transport.NewPool("a", dial, nil)
		defer p.Close()
		a, err := p.Do(ctx, &transport.Request{
			Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
			IsAnswer: func(int, http.Header, bool) bool { return own },
		})
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxRead)) // Only termination is tested.
		_ = a.Body.Close()
	})
}
