package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/ingress"
	"toucanfall/internal/guard"
	"toucanfall/peer"
)

// failingService has a method that panics.
type failingService struct{}

// Fail panics.
func (failingService) Fail(string, *string) error { panic("a fault of the program") }

// Say returns the text.
func (failingService) Say(text string, reply *string) error {
	*reply = text
	return nil
}

// serveFailing serves a failingService, and returns its address and a function that returns the
// methods whose panics were reported.
func serveFailing(t *testing.T) (address string, panicked func() []string) {
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

// Guards against a message of a peer that crashes the process: a method that panics must fail
// only its own call.
func TestPanicEndsOneCall(t *testing.T) {
	is := is.New(t)
	address, panicked := serveFailing(t)
	client := peer.NewClient(nil)
	defer client.Close()
	var reply string
	err := client.Call(t.Context(), address, "Failing.Fail", "x", &reply)
	is.True(err != nil)
	is.Equal(err.Error(), "panic: a fault of the program")
	is.NoErr(client.Call(t.Context(), address, "Failing.Say", "after", &reply))
	is.Equal(reply, "after")
	is.Equal(panicked(), []string{"Failing.Fail"})
}

// oversizedPrefix is the length prefix of a message of nearly 1 GB.
var oversizedPrefix = []byte{0xfc, 0x3f, 0xff, 0xff, 0xff}

// maxAccepted is how many bytes a peer can send before its connection is closed: one message of
// the maximum size, plus the maximum that the kernel buffers of both ends hold.
const maxAccepted = 16<<20 + 36<<20

// sendEndlessly writes bytes until the connection fails or 4*maxAccepted were sent, and returns
// how many were sent.
func sendEndlessly(conn net.Conn) int {
	sent, _ := conn.Write(oversizedPrefix)
	b := make([]byte, 64<<10)
	for sent < 4*maxAccepted {
		n, err := conn.Write(b)
		sent += n
		if err != nil {
			break
		}
	}
	return sent
}

// Guards against a faulty peer that sends an endless request: it must not be buffered, and its
// connection must be closed.
func TestEndlessRequestClosesConnection(t *testing.T) {
	is := is.New(t)
	address, _ := serveFailing(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.True(sendEndlessly(conn) < maxAccepted)
}

// Guards against an endless response of a called peer: the call must fail.
func TestEndlessResponseFailsCall(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	sent := make(chan int)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return // The listener was closed.
		}
		sent <- sendEndlessly(conn)
		_ = conn.Close()
	}()
	defer func() { _ = l.Close() }()
	client := peer.NewClient(nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var reply string
	err = client.Call(ctx, l.Addr().String(), "Failing.Say", "x", &reply)
	is.True(err != nil)
	is.True(!errors.Is(err, context.DeadlineExceeded))
	is.True(<-sent < maxAccepted)
}

// Checks that no bytes sent by a peer crash the process.
func FuzzMessages(f *testing.F) {
	f.Add(oversizedPrefix)
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0x03, 0x01, 0x02, 0xff})
	f.Add(encodedCall())
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

// encodedCall returns the bytes of a call on the wire.
func encodedCall() []byte {
	near, far := net.Pipe()
	client := peer.NewClientWithDial(func(context.Context, string) (net.Conn, error) { return near, nil })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	go func() {
		var reply string
		_ = client.Call(ctx, "a", "Echo.Say", "x", &reply) // The call gets no answer.
		_ = near.Close()
	}()
	b, _ := io.ReadAll(far) // The bytes up to the close.
	return b
}

// Guards against peers that together send more than the memory for messages, and against space that is
// not returned when their connections end.
func TestMessagesTakeSpace(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	space, noSpace := ingress.NewBytes(2<<20), make(chan struct{}, 1)
	s := peer.NewServer(func(string, *guard.Panic) {})
	s.LimitMessages(space, func() { noSpace <- struct{}{} })
	is.NoErr(s.Register("Echo", &echoService{}))
	ended := make(chan error)
	go func() { ended <- s.Serve(l) }()
	client := peer.NewClient(nil)
	defer client.Close()
	is.NoErr(say(client, l.Addr().String(), strings.Repeat("t", 300<<10)))
	is.True(say(client, l.Addr().String(), strings.Repeat("t", 3<<20)) != nil)
	<-noSpace
	other := peer.NewClient(nil)
	is.NoErr(say(other, l.Addr().String(), "text"))
	other.Close()
	client.Close()
	for space.Used() > 0 {
		time.Sleep(time.Millisecond) // The connection ends in the background. The test fails by its timeout.
	}
	is.NoErr(l.Close())
	s.Close()
	is.NoErr(<-ended)
}

// Guards against peers whose responses together take more than the memory for them, as those of a faulty
// VM do, and against space that is not returned after a response or at the end of a connection.
func TestResponsesTakeSpace(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := peer.NewServer(func(string, *guard.Panic) {})
	is.NoErr(s.Register("Echo", &echoService{}))
	ended := make(chan error)
	go func() { ended <- s.Serve(l) }()
	space, noSpace := ingress.NewBytes(2<<20), make(chan struct{}, 1)
	client := peer.NewClient(nil)
	client.LimitMessages(space, func() { noSpace <- struct{}{} })
	for range 3 {
		is.NoErr(say(client, l.Addr().String(), strings.Repeat("t", 300<<10)))
		for space.Used() > 0 {
			time.Sleep(time.Millisecond) // The space is returned after the call. The test fails by its timeout.
		}
	}
	is.True(say(client, l.Addr().String(), strings.Repeat("t", 3<<20)) != nil)
	<-noSpace
	for space.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(say(client, l.Addr().String(), "text")) // On another connection.
	client.Close()
	is.NoErr(l.Close())
	s.Close()
	is.NoErr(<-ended)
}
