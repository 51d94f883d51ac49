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

// echoService answers with what it was asked, or never.
type echoService struct{ block chan struct{} }

// Say answers with text.
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

func say(links *peer.Client, address, text string) error {
	var reply string
	return links.Call(context.Background(), address, "Echo.Say", text, &reply)
}

// blackHole passes bytes on to an address until it loses track of the
// connections that are open, which stay open and silent. New ones work.
type blackHole struct {
	net.Listener
	to string

	mu    sync.Mutex
	lost  chan struct{}
	conns int
}

func newBlackHole(t *testing.T, to string) *blackHole {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	b := &blackHole{Listener: l, to: to, lost: make(chan struct{})}
	go b.run()
	t.Cleanup(func() { _ = l.Close() })
	return b
}

func (b *blackHole) run() {
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
		lost := b.lost
		b.conns++
		b.mu.Unlock()
		go carry(near, far, lost)
		go carry(far, near, lost)
	}
}

// carry copies until the connection is lost; then it swallows what comes.
func carry(to io.Writer, from io.Reader, lost chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-lost:
		default:
			_, _ = to.Write(buf[:n])
		}
	}
}

func (b *blackHole) lose() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.lost)
	b.lost = make(chan struct{})
}

func (b *blackHole) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns
}

func TestSilentLinkIsDialledAnew(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	serve(t, l)
	hole := newBlackHole(t, l.Addr().String())
	links := peer.NewClient(nil)
	defer links.Close()
	is.NoErr(say(links, hole.Addr().String(), "one"))
	is.NoErr(say(links, hole.Addr().String(), "two"))
	is.Equal(hole.count(), 1) // one connection for all calls

	hole.lose()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	var reply string
	err = links.Call(ctx, hole.Addr().String(), "Echo.Say", "three", &reply)
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.NoErr(say(links, hole.Addr().String(), "four"))
	is.Equal(hole.count(), 2)
}

// inMemory runs f with links to a server at "b" over a network in memory.
func inMemory(t *testing.T, f func(is *is.I, n *standin.Network, links *peer.Client, dials *atomic.Int64)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := standin.NewNetwork()
		l, err := n.Listen("b", "b")
		is.NoErr(err)
		serve(t, l)
		var dials atomic.Int64
		links := peer.NewClientWithDial(func(ctx context.Context, address string) (net.Conn, error) {
			dials.Add(1)
			return n.Dial(ctx, "a", address)
		})
		defer links.Close()
		f(is, n, links, &dials)
	})
}

func TestCallWithoutDeadlineEnds(t *testing.T) {
	inMemory(t, func(is *is.I, _ *standin.Network, links *peer.Client, _ *atomic.Int64) {
		is.True(errors.Is(say(links, "b", "block"), context.DeadlineExceeded))
		is.NoErr(say(links, "b", "again"))
	})
}

// TestGivenUpCallKeepsTheLink has one caller give up while another waits.
func TestGivenUpCallKeepsTheLink(t *testing.T) {
	inMemory(t, func(is *is.I, _ *standin.Network, links *peer.Client, dials *atomic.Int64) {
		is.NoErr(say(links, "b", "first"))
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		var reply string
		err := links.Call(ctx, "b", "Echo.Say", "block", &reply)
		is.True(errors.Is(err, context.Canceled))
		is.NoErr(say(links, "b", "same link"))
		is.Equal(dials.Load(), int64(1))
	})
}

// TestLateAnswerChangesNothing lets an answer come after its call was given up.
func TestLateAnswerChangesNothing(t *testing.T) {
	inMemory(t, func(is *is.I, _ *standin.Network, links *peer.Client, _ *atomic.Int64) {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		var reply string
		err := links.Call(ctx, "b", "Echo.Say", "late", &reply)
		is.True(errors.Is(err, context.Canceled))
		time.Sleep(2 * time.Second)
		is.Equal(reply, "")
	})
}

func TestCutLinkFailsUntilHealed(t *testing.T) {
	inMemory(t, func(is *is.I, n *standin.Network, links *peer.Client, _ *atomic.Int64) {
		is.NoErr(say(links, "b", "one"))
		n.Cut("a", "b")
		is.True(say(links, "b", "two") != nil)
		is.True(say(links, "b", "three") != nil)
		n.Heal("a", "b")
		is.NoErr(say(links, "b", "four"))
	})
}

// TestServerDropsIdlePeer connects and sends nothing.
func TestServerDropsIdlePeer(t *testing.T) {
	inMemory(t, func(is *is.I, n *standin.Network, _ *peer.Client, _ *atomic.Int64) {
		conn, err := n.Dial(context.Background(), "a", "b")
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Hour)))
		_, err = conn.Read(make([]byte, 1))
		is.True(errors.Is(err, io.EOF))
	})
}
