package serving

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conn  chan net.Conn
	ended chan struct{}
}

// Accept returns the connection once.
func (l *oneConn) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conn:
		return conn, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *oneConn) Close() error {
	close(l.ended)
	return nil
}

// Addr returns an empty address.
func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// sendSlowly writes a response of 64 chunks of 2 KiB to a client that reads 512 bytes in each interval. It
// returns how many chunks were accepted, and whether the client counts as slow.
func sendSlowly(interval time.Duration) (accepted int, slow bool) {
	near, far := net.Pipe()
	l := &oneConn{conn: make(chan net.Conn, 1), ended: make(chan struct{})}
	l.conn <- far
	done := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(done)
		a := newAnswer(w, nil, new(openRequests).add("", time.Now()))
		for range 64 {
			if a.write(make([]byte, 2<<10), true) != nil {
				break
			}
			accepted++
		}
		slow = a.readerSlow
	})}
	go func() { _ = server.Serve(l) }()
	go func() {
		_, _ = io.WriteString(near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		for {
			time.Sleep(interval)
			if _, err := io.CopyN(io.Discard, near, 512); err != nil {
				return
			}
		}
	}()
	<-done
	_, _ = near.Close(), server.Close()
	time.Sleep(time.Minute) // Ends the client.
	return accepted, slow
}

// Guards against a client that holds a response by reading a little before each write would time out.
func TestSlowReaderEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		accepted, slow := sendSlowly(time.Second)
		is.True(accepted < 5)
		is.True(slow)
	})
}

// Guards against the end of a response to a client that reads as slowly as permitted.
func TestPermittedReaderGetsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		accepted, slow := sendSlowly(250 * time.Millisecond)
		is.Equal(accepted, 64)
		is.True(!slow)
	})
}
