package standin_test

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/standin"
)

// connect returns both ends of a connection between the nodes a and b.
func connect(t *testing.T, n *standin.Network) (near, far net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := n.Listen("b", "10.0.0.2:1")
	is.NoErr(err)
	defer l.Close()
	accepted := make(chan net.Conn)
	go func() {
		c, _ := l.Accept()
		accepted <- c
	}()
	near, err = n.Dial(context.Background(), "a", "10.0.0.2:1")
	is.NoErr(err)
	return near, <-accepted
}

func TestSilentConnectionEndsByDeadlineOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := standin.NewNetwork()
		near, far := connect(t, n)
		begin := time.Now()
		read := make(chan error)
		go func() {
			_, err := far.Read(make([]byte, 1))
			read <- err
		}()
		synctest.Wait()
		n.Silence("a", "b")
		_, err := near.Write([]byte("x"))
		is.NoErr(err) // writes on a silenced connection succeed
		is.NoErr(far.SetReadDeadline(time.Now().Add(time.Minute)))
		is.True(errors.Is(<-read, os.ErrDeadlineExceeded))
		is.Equal(time.Since(begin), time.Minute)
		is.NoErr(near.Close())
		is.NoErr(far.Close())
		synctest.Wait()
	})
}

func TestCutRefusesNewConnectionsUntilHealed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := standin.NewNetwork()
		l, err := n.Listen("b", "10.0.0.2:1")
		is.NoErr(err)
		defer l.Close()
		n.Cut("a", "b")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = n.Dial(ctx, "a", "10.0.0.2:1")
		is.True(errors.Is(err, context.DeadlineExceeded))
		n.Heal("a", "b")
		go func() {
			c, _ := l.Accept()
			_ = c.Close()
		}()
		c, err := n.Dial(context.Background(), "a", "10.0.0.2:1")
		is.NoErr(err)
		is.NoErr(c.Close())
		synctest.Wait()
	})
}

func TestKilledNodeClosesItsConnections(t *testing.T) {
	is := is.New(t)
	n := standin.NewNetwork()
	near, _ := connect(t, n)
	n.Kill("b")
	_, err := near.Read(make([]byte, 1))
	is.True(err != nil)
	_, err = n.Dial(context.Background(), "a", "10.0.0.2:1")
	is.True(err != nil)
}
