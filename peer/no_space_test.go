package peer_test

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanfall/ingress"
	"toucanfall/internal/guard"
	"toucanfall/peer"
)

// delayedService answers once release is closed.
type delayedService struct{ started, release chan struct{} }

// Fill returns n bytes.
func (d *delayedService) Fill(n int, reply *[]byte) error {
	close(d.started)
	<-d.release
	*reply = make([]byte, n)
	return nil
}

// serveWithSpace runs a server and returns a client of it with 1 MiB for responses, the server's address, and
// a channel that gets a value for each response without space.
func serveWithSpace(t *testing.T, services map[string]any) (client *peer.Client, address string, noSpace chan struct{}) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := peer.NewServer(func(string, *guard.Panic) {})
	for name, service := range services {
		is.NoErr(s.Register(name, service))
	}
	ended := make(chan error)
	go func() { ended <- s.Serve(l) }()
	client, noSpace = peer.NewClient(nil), make(chan struct{}, 1)
	client.LimitMessages(ingress.NewBytes(1<<20), func() { noSpace <- struct{}{} })
	t.Cleanup(func() {
		client.Close()
		_ = l.Close()
		s.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return client, l.Addr().String(), noSpace
}

// Guards against a response without space in the budget that ends the other calls to the same peer: a pool
// host or coordinator that works is then recorded as lost.
func TestResponseWithoutSpaceEndsNoOtherCall(t *testing.T) {
	is := is.New(t)
	e := &echoService{block: make(chan struct{})}
	client, address, _ := serveWithSpace(t, map[string]any{"Echo": e})
	is.NoErr(say(client, address, "first"))
	held := make(chan error, 1)
	go func() { held <- say(client, address, "block") }()
	is.True(say(client, address, strings.Repeat("t", 3<<20)) != nil)
	close(e.block)
	is.NoErr(<-held)
}

// Guards against a connection that is used again after a response of a cancelled call had no space: the next
// call fails by "connection is shut down" although the peer works.
func TestConnectionWithoutSpaceIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	d := &delayedService{started: make(chan struct{}), release: make(chan struct{})}
	client, address, noSpace := serveWithSpace(t, map[string]any{"Echo": &echoService{}, "Delayed": d})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		var reply []byte
		ended <- client.Call(ctx, address, "Delayed.Fill", 3<<20, &reply)
	}()
	<-d.started
	cancel()
	is.True(<-ended != nil)
	close(d.release)
	<-noSpace
	is.NoErr(say(client, address, "next"))
}
