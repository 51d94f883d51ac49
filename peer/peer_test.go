package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/internal/guard"
	"toucanfall/peer"
	"toucanfall/standin"
)

// echoService echoes texts, some of them late or not until block is closed.
type echoService struct{ block chan struct{} }

// Say returns text.
func (e *echoService) Say(text string, reply *string) error {
	switch text {
	case "block":
		<-e.block
	case "late":
		time.Sleep(2 * time.Second)
	}
	*reply = text
	return nil
}

// serve runs a server on l until the test ends.
func serve(t *testing.T, l net.Listener) {
	t.Helper()
	s := peer.NewServer(func(_ string, p *guard.Panic) { t.Error(p) })
	e := &echoService{block: make(chan struct{})}
	is.New(t).NoErr(s.Register("Echo", e))
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() {
		close(e.block)
		_ = l.Close()
		s.Close()
		wg.Wait()
	})
}

func say(client *peer.Client, address, text string) error {
	var reply string
	return client.Call(context.Background(), address, "Echo.Say", text, &reply)
}

// stallingProxy forwards connections to an address. stall makes it discard the bytes of
// the connections that are open, without closing them. New connections work.
type stallingProxy struct {
	net.Listener
	to string

	mu      sync.Mutex
	stalled chan struct{}
	conns   int
}

func newStallingProxy(t *testing.T, to string) *stallingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	b := &stallingProxy{Listener: l, to: to, stalled: make(chan struct{})}
	go b.serve()
	t.Cleanup(func() { _ = l.Close() })
	return b
}

func (b *stallingProxy) serve() {
	for {
		near, err := b.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", b.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		b.mu.Lock()
		stalled := b.stalled
		b.conns++
		b.mu.Unlock()
		go forward(near, far, stalled)
		go forward(far, near, stalled)
	}
}

// forward copies until the connection is stalled; after that it discards what it reads.
func forward(to io.Writer, from io.Reader, stalled chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-stalled:
		default:
			_, _ = to.Write(buf[:n])
		}
	}
}

func (b *stallingProxy) stall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.stalled)
	b.stalled = make(chan struct{})
}

func (b *stallingProxy) connCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns
}

func TestSilentConnectionIsRedialled(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	serve(t, l)
	proxy := newStallingProxy(t, l.Addr().String())
	client := peer.NewClient(nil)
	defer client.Close()
	is.NoErr(say(client, proxy.Addr().String(), "one"))
	is.NoErr(say(client, proxy.Addr().String(), "two"))
	is.Equal(proxy.connCount(), 1) // one connection for all calls

	proxy.stall()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	var reply string
	err = client.Call(ctx, proxy.Addr().String(), "Echo.Say", "three", &reply)
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.NoErr(say(client, proxy.Addr().String(), "four"))
	is.Equal(proxy.connCount(), 2)
}

// runInMemory runs f with a client of a server at "b" over an in-memory network.
func runInMemory(t *testing.T, f func(is *is.I, n *standin.Network, client *peer.Client, dials *atomic.Int64)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := standin.NewNetwork()
		l, err := n.Listen("b", "b")
		is.NoErr(err)
		serve(t, l)
		var dials atomic.Int64
		client := peer.NewClientWithDial(func(ctx context.Context, address string) (net.Conn, error) {
			dials.Add(1)
			return n.Dial(ctx, "a", address)
		})
		defer client.Close()
		f(is, n, client, &dials)
	})
}

func TestCallWithoutDeadlineEnds(t *testing.T) {
	runInMemory(t, func(is *is.I, _ *standin.Network, client *peer.Client, _ *atomic.Int64) {
		is.True(errors.Is(say(client, "b", "block"), context.DeadlineExceeded))
		is.NoErr(say(client, "b", "again"))
	})
}

// A call that its caller cancels must not close the connection.
func TestCancelledCallKeepsConnection(t *testing.T) {
	runInMemory(t, func(is *is.I, _ *standin.Network, client *peer.Client, dials *atomic.Int64) {
		is.NoErr(say(client, "b", "first"))
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		var reply string
		err := client.Call(ctx, "b", "Echo.Say", "block", &reply)
		is.True(errors.Is(err, context.Canceled))
		is.NoErr(say(client, "b", "same link"))
		is.Equal(dials.Load(), int64(1))
	})
}

// An answer that arrives after its call was cancelled must not modify the reply.
func TestLateAnswerDoesNotModifyReply(t *testing.T) {
	runInMemory(t, func(is *is.I, _ *standin.Network, client *peer.Client, _ *atomic.Int64) {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		var reply string
		err := client.Call(ctx, "b", "Echo.Say", "late", &reply)
		is.True(errors.Is(err, context.Canceled))
		time.Sleep(2 * time.Second)
		is.Equal(reply, "")
	})
}

func TestCutLinkFailsUntilHealed(t *testing.T) {
	runInMemory(t, func(is *is.I, n *standin.Network, client *peer.Client, _ *atomic.Int64) {
		is.NoErr(say(client, "b", "one"))
		n.Cut("a", "b")
		is.True(say(client, "b", "two") != nil)
		is.True(say(client, "b", "three") != nil)
		n.Heal("a", "b")
		is.NoErr(say(client, "b", "four"))
	})
}

// The server must close a connection on which nothing is sent.
func TestServerDropsIdlePeer(t *testing.T) {
	runInMemory(t, func(is *is.I, n *standin.Network, _ *peer.Client, _ *atomic.Int64) {
		conn, err := n.Dial(context.Background(), "a", "b")
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Hour)))
		_, err = conn.Read(make([]byte, 1))
		is.True(errors.Is(err, io.EOF))
	})
}
