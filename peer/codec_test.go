package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/internal/guard"
	"toucanfall/peer"
)

// failingService has a method with a fault.
type failingService struct{}

// Fail panics.
func (failingService) Fail(string, *string) error { panic("a fault of the program") }

// Say returns the text.
func (failingService) Say(text string, reply *string) error {
	*reply = text
	return nil
}

// serveFailing serves a failingService, and returns its address and what was told of panics.
func serveFailing(t *testing.T) (address string, told func() []string) {
	t.Helper()
	var mu sync.Mutex
	var methods []string
	s := peer.NewServer(func(method string, p *guard.Panic) {
		mu.Lock()
		defer mu.Unlock()
		if len(p.Stack) > 0 {
			methods = append(methods, method)
		}
	})
	is.New(t).NoErr(s.Register("Failing", failingService{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() { _ = s.Serve(l) }() // It ends with the listener.
	t.Cleanup(func() { _ = l.Close(); s.Close() })
	return l.Addr().String(), func() []string {
		mu.Lock()
		defer mu.Unlock()
		return methods
	}
}

// Guards against a message of a peer that takes the process down: a method that panics ends its
// own call.
func TestPanicEndsOneCall(t *testing.T) {
	is := is.New(t)
	address, told := serveFailing(t)
	links := peer.NewClient(nil)
	defer links.Close()
	var reply string
	err := links.Call(t.Context(), address, "Failing.Fail", "x", &reply)
	is.True(err != nil)
	is.Equal(err.Error(), "panic: a fault of the program")
	is.NoErr(links.Call(t.Context(), address, "Failing.Say", "after", &reply))
	is.Equal(reply, "after")
	is.Equal(told(), []string{"Failing.Fail"})
}

// endless is the beginning of a message of nearly a gigabyte.
var endless = []byte{0xfc, 0x3f, 0xff, 0xff, 0xff}

// mostOfPeer is how much a peer may get rid of before its connection is closed: a message of the
// longest kind, and what the kernel's buffers of both ends hold at most.
const mostOfPeer = 16<<20 + 36<<20

// flood writes bytes without end, and returns how many the other end took.
func flood(conn net.Conn) int {
	sent, _ := conn.Write(endless)
	b := make([]byte, 64<<10)
	for sent < 4*mostOfPeer {
		n, err := conn.Write(b)
		sent += n
		if err != nil {
			break
		}
	}
	return sent
}

// Guards against a peer in trouble that sends bytes without end: they are not kept, and its
// connection is closed.
func TestBytesWithoutEndOfACallerAreGivenUp(t *testing.T) {
	is := is.New(t)
	address, _ := serveFailing(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.True(flood(conn) < mostOfPeer)
}

// The same from a peer that is called: the call fails.
func TestBytesWithoutEndOfACalledPeerAreGivenUp(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	sent := make(chan int)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return // The listener was closed.
		}
		sent <- flood(conn)
		_ = conn.Close()
	}()
	defer func() { _ = l.Close() }()
	links := peer.NewClient(nil)
	defer links.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var reply string
	err = links.Call(ctx, l.Addr().String(), "Failing.Say", "x", &reply)
	is.True(err != nil)
	is.True(!errors.Is(err, context.DeadlineExceeded))
	is.True(<-sent < mostOfPeer)
}

// No bytes that a peer sends take the process down.
func FuzzMessages(f *testing.F) {
	f.Add(endless)
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0x03, 0x01, 0x02, 0xff})
	f.Add(call())
	f.Fuzz(func(t *testing.T, b []byte) {
		s := peer.NewServer(func(_ string, p *guard.Panic) { t.Error(p) })
		if err := s.Register("Echo", &echoService{}); err != nil {
			t.Fatal(err)
		}
		near, far := net.Pipe()
		go func() {
			_, _ = near.Write(b) // The server may close it at any byte.
			_ = near.Close()
		}()
		s.ServeConn(far)
	})
}

// call returns the bytes of a call.
func call() []byte {
	near, far := net.Pipe()
	links := peer.NewClientWithDial(func(context.Context, string) (net.Conn, error) { return near, nil })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	go func() {
		var reply string
		_ = links.Call(ctx, "a", "Echo.Say", "x", &reply) // Nobody answers it.
		_ = near.Close()
	}()
	b, _ := io.ReadAll(far) // What came before the end.
	return b
}
