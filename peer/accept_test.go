package peer_test

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"toucanfall/internal/guard"
	"toucanfall/peer"
)

// failingListener fails its first accepts.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

// Accept returns EMFILE while failures are left.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a server that ends when the process has no free descriptor for a moment.
func TestServerOutlivesFailedAccept(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &failingListener{Listener: inner}
	l.failures.Store(1)
	s := peer.NewServer(func(string, *guard.Panic) {})
	is.NoErr(s.Register("Echo", &echoService{}))
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	client := peer.NewClient(nil)
	defer client.Close()
	sayErr := say(client, inner.Addr().String(), "text")
	is.NoErr(inner.Close())
	s.Close()
	is.NoErr(<-ended)
	is.NoErr(sayErr)
}
