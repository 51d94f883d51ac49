package ingress_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"toucanfall/ingress"
)

// pipeListener accepts one end of each pipe that is sent to it.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
}

// Accept returns the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close ends Accept.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.conns) })
	return nil
}

// Addr returns an empty address.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// No bytes of a client, as heads or as chunks, crash the server, keep a connection counted, or leave
// space reserved. A body is never longer than its limit.
func FuzzRequest(f *testing.F) {
	const maxBody = 100
	for _, s := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nX: y\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 200),
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9223372036854775807\r\n\r\nx",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\nTransfer-Encoding: chunked\r\n\r\n",
		strings.Repeat("\r\n", 100), "GET / HTTP/1.1\r\n" + strings.Repeat("X: y\r\n", 10_000), "\x00", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "",
	} {
		f.Add([]byte(s))
	}
	a := newAdmission(ingress.Config{Descriptors: 300, MemoryMB: 1})
	l := &pipeListener{conns: make(chan net.Conn)}
	server := &http.Server{MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		space := a.Bytes.Reservation()
		defer space.Release()
		b, err := ingress.ReadBody(ingress.Body{
			Reader: r.Body, Length: r.ContentLength, Limit: maxBody, Deadline: time.Now().Add(time.Second), SetReadDeadline: func(time.Time) {},
		}, space)
		if len(b) > maxBody || len(b) > 0 && err != nil {
			panic(errors.New("a body over the limit, or with an error"))
		}
		_, _ = w.Write(b)
	})}
	a.Configure(server)
	go func() { _ = server.Serve(a.Listener(l, a.Clients)) }()
	f.Cleanup(func() { _ = server.Close() })
	f.Fuzz(func(t *testing.T, b []byte) {
		near, far := net.Pipe()
		l.conns <- far
		go func() { _, _ = io.Copy(io.Discard, near) }() // Ends when the connection is closed.
		_ = near.SetWriteDeadline(time.Now().Add(5 * time.Second))
		_, _ = near.Write(b) // The server may close the connection at any byte.
		_ = near.Close()
		for end := time.Now().Add(10 * time.Second); a.Clients.Open() > 0 || a.Bytes.Used() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d connections and %d bytes are held", a.Clients.Open(), a.Bytes.Used())
			}
		}
	})
}
