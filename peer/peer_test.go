package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
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

// Fill returns n bytes.
func (e *echoService) Fill(n int, reply *[]byte) error {
	*reply = make([]byte, n)
	return nil
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

// testConn is a connection that takes a time for each byte that it receives, and calls onClose once
// when it is closed.
type testConn struct {
	net.Conn
	perByte time.Duration
	onClose func()
}

// Read reads at most a packet.
func (c testConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), 1500)])
	time.Sleep(time.Duration(n) * c.perByte)
	return n, err
}

// Close calls onClose.
func (c testConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// runInMemory runs f with a client of a server at "b" over an in-memory network.
func runInMemory(t *testing.T, f func(is *is.I, n *standin.Network, client *peer.Client, dials *atomic.Int64)) {
	runOverLink(t, 0, func(is *is.I, n *standin.Network, client *peer.Client, dials, _ *atomic.Int64) {
		f(is, n, client, dials)
	})
}

// runOverLink is like runInMemory, over a link that takes perByte for each byte that the client
// receives. open counts the client's open connections.
func runOverLink(t *testing.T, perByte time.Duration, f func(is *is.I, n *standin.Network, client *peer.Client, dials, open *atomic.Int64)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := standin.NewNetwork()
		l, err := n.Listen("b", "b")
		is.NoErr(err)
		serve(t, l)
		var dials, open atomic.Int64
		client := peer.NewClientWithDial(func(ctx context.Context, address string) (net.Conn, error) {
			dials.Add(1)
			conn, err := n.Dial(ctx, "a", address)
			if err != nil {
				return nil, err
			}
			open.Add(1)
			return testConn{conn, perByte, sync.OnceFunc(func() { open.Add(-1) })}, nil
		})
		defer func() {
			client.Close()
			time.Sleep(time.Second) // Reads that are delayed by the link end.
		}()
		f(is, n, client, &dials, &open)
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

// sayIn calls Echo.Say with a timeout.
func sayIn(client *peer.Client, timeout time.Duration, text string) (reply string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err = client.Call(ctx, "b", "Echo.Say", text, &reply)
	return reply, err
}

// Guards against a call with a short timeout that ends the other calls to the same peer: all VMs of a
// data centre lost their relay by "use of closed network connection".
func TestUnansweredCallEndsNoOtherCall(t *testing.T) {
	runInMemory(t, func(is *is.I, _ *standin.Network, client *peer.Client, dials *atomic.Int64) {
		late := make(chan error, 1)
		go func() {
			_, err := sayIn(client, 3*time.Second, "late")
			late <- err
		}()
		time.Sleep(1900 * time.Millisecond) // The answer comes after 2 s.
		_, err := sayIn(client, 50*time.Millisecond, "block")
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.NoErr(say(client, "b", "next"))
		is.Equal(dials.Load(), int64(2)) // The next call doesn't trust the connection.
		is.NoErr(<-late)
	})
}

// Guards against an answer that is cut although its bytes arrive, because a small call behind it on the
// same connection has timed out.
func TestArrivingAnswerIsNotCut(t *testing.T) {
	const size = 1 << 20
	runOverLink(t, 2*time.Microsecond, func(is *is.I, _ *standin.Network, client *peer.Client, _, _ *atomic.Int64) {
		large := make(chan error, 1)
		go func() {
			var b []byte
			err := client.Call(context.Background(), "b", "Echo.Fill", size, &b)
			if err == nil && len(b) != size {
				err = errors.New("the answer is not whole")
			}
			large <- err
		}()
		time.Sleep(100 * time.Millisecond)
		_, err := sayIn(client, 150*time.Millisecond, "small")
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.NoErr(<-large)
	})
}

// Guards against calls that wait for their own deadlines on a connection that another call has found
// dead.
func TestCallsOnDeadConnectionFailEarly(t *testing.T) {
	runInMemory(t, func(is *is.I, n *standin.Network, client *peer.Client, _ *atomic.Int64) {
		held := make(chan error, 1)
		go func() { held <- say(client, "b", "block") }()
		synctest.Wait()
		n.Cut("a", "b")
		began := time.Now()
		_, err := sayIn(client, 150*time.Millisecond, "lost")
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(<-held != nil)
		is.True(time.Since(began) < time.Second)
	})
}

// Guards against retired connections that stay open: they end with their last call, and with the client.
func TestRetiredConnectionsAreClosed(t *testing.T) {
	runOverLink(t, 0, func(is *is.I, _ *standin.Network, client *peer.Client, dials, open *atomic.Int64) {
		held := make(chan error, 1)
		go func() { held <- say(client, "b", "block") }()
		synctest.Wait()
		for range 3 {
			_, err := sayIn(client, 50*time.Millisecond, "block")
			is.True(errors.Is(err, context.DeadlineExceeded))
		}
		is.Equal(dials.Load(), int64(3))
		is.Equal(open.Load(), int64(1)) // The one with the held call.
		client.Close()
		is.True(<-held != nil)
		is.Equal(open.Load(), int64(0))
	})
}

// Guards against a call that fails because the peer had closed the connection before, as servers do with
// idle ones: a VM then lost a relay or a pool host that worked.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	runInMemory(t, func(is *is.I, _ *standin.Network, client *peer.Client, dials *atomic.Int64) {
		is.NoErr(say(client, "b", "first"))
		time.Sleep(20 * time.Second)
		is.NoErr(say(client, "b", "after the idle timeout"))
		is.Equal(dials.Load(), int64(2))
	})
}

// Guards against an answer that is given up although its bytes arrive, and against a call that waits for
// its whole deadline when none do. The error states how much has arrived.
func TestReceivingCallIsBoundedBySilence(t *testing.T) {
	runOverLink(t, 2*time.Microsecond, func(is *is.I, n *standin.Network, client *peer.Client, _, _ *atomic.Int64) {
		var b []byte
		began := time.Now()
		is.NoErr(client.CallReceiving(context.Background(), "b", "Echo.Fill", 1<<20, &b, 700*time.Millisecond))
		is.True(time.Since(began) > 2*time.Second)
		time.AfterFunc(time.Second, func() { n.Silence("a", "b") })
		began = time.Now()
		err := client.CallReceiving(context.Background(), "b", "Echo.Fill", 1<<20, &b, 700*time.Millisecond)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(time.Since(began) < 1800*time.Millisecond)
		is.True(strings.HasPrefix(err.Error(), "Echo.Fill at b: 50"))
		is.True(strings.Contains(err.Error(), " bytes received in 1.7"))
	})
}
