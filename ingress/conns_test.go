package ingress_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/ingress"
)

// fakeConn is a connection from an address that records whether it was closed.
type fakeConn struct {
	net.Conn
	from   string
	closed bool
}

// RemoteAddr returns the client's address.
func (c *fakeConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(c.from), Port: 1} }

// Close records the call.
func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// clock is a clock that a test sets.
type clock struct{ at time.Time }

func (c *clock) now() time.Time {
	c.at = c.at.Add(time.Millisecond)
	return c.at
}

// Guards against an ordinary client that is not admitted, or whose connection is closed, while
// another address holds all connections.
func TestNewClientTakesThePlaceOfTheLongestWaiting(t *testing.T) {
	is := is.New(t)
	c := &clock{at: time.Now()}
	set := ingress.NewConns(5, c.now)
	ordinary, _ := set.Add(&fakeConn{from: "10.0.0.1"})
	var flood []*ingress.Conn
	for range 4 {
		added, evicted := set.Add(&fakeConn{from: "10.0.0.2"})
		is.True(added != nil && evicted == nil)
		flood = append(flood, added)
	}
	is.True(flood[0].Begin() && flood[0].Run())
	added, evicted := set.Add(&fakeConn{from: "10.0.0.3"})
	is.True(added != nil)
	is.True(evicted == flood[1]) // The first has a request in progress.
	is.True(!flood[1].Begin())   // A request on an evicted connection must not run.
	is.True(ordinary.Begin())
	flood[2].Run()
	flood[3].Run()
	added, evicted = set.Add(&fakeConn{from: "10.0.0.2"})
	is.True(added == nil && evicted == nil) // All of the address are running.
	flood[2].End()
	flood[3].End()
	_, evicted = set.Add(&fakeConn{from: "10.0.0.2"})
	is.True(evicted == flood[2]) // It waits since its request ended, before the third one's.
	is.Equal(set.Open(), 5)
}

// Guards against a listener that is full of requests whose bodies do not arrive, and against the close of
// one whose body has only begun.
func TestStoppedBodyIsReplaced(t *testing.T) {
	is := is.New(t)
	c := &clock{at: time.Now()}
	set := ingress.NewConns(2, c.now)
	stopped, _ := set.Add(&fakeConn{from: "10.0.0.2"})
	is.True(stopped.Begin())
	c.at = c.at.Add(2 * time.Second)
	begun, _ := set.Add(&fakeConn{from: "10.0.0.2"})
	is.True(begun.Begin())
	added, evicted := set.Add(&fakeConn{from: "10.0.0.1"})
	is.True(added != nil && evicted == stopped)
	is.True(!stopped.Run()) // Its body may have become complete in the meantime.
	added.Run()
	added, evicted = set.Add(&fakeConn{from: "10.0.0.2"})
	is.True(added == nil && evicted == nil)
	is.True(begun.Run())
}

// Guards against clients that use many addresses of one IPv6 network to count as many clients.
func TestAddressesOfOneNetworkCountAsOne(t *testing.T) {
	is := is.New(t)
	set := ingress.NewConns(3, time.Now)
	set.Add(&fakeConn{from: "2001:db8::1"})
	first, _ := set.Add(&fakeConn{from: "2001:db8:0:1::1"})
	set.Add(&fakeConn{from: "2001:db8:0:1::2"})
	_, evicted := set.Add(&fakeConn{from: "2001:db8::1"})
	is.True(evicted == first)
}

// randomSet is a set of connections, with those of them that are open.
type randomSet struct {
	*ingress.Conns
	all  []*ingress.Conn
	open map[*ingress.Conn]bool
}

func (s *randomSet) add(t *rapid.T) {
	added, evicted := s.Add(&fakeConn{from: fmt.Sprintf("10.0.0.%d", rapid.IntRange(1, 3).Draw(t, "address"))})
	delete(s.open, evicted)
	if added != nil {
		s.all, s.open[added] = append(s.all, added), true
	}
}

// act does something on one of the connections.
func (s *randomSet) act(t *rapid.T) {
	conn := s.all[rapid.IntRange(0, len(s.all)-1).Draw(t, "which")]
	switch rapid.IntRange(0, 3).Draw(t, "action") {
	case 0:
		if conn.Begin() != s.open[conn] {
			t.Fatal("Begin does not tell whether the connection is open")
		}
	case 1:
		if conn.Run() != s.open[conn] {
			t.Fatal("Run does not tell whether the connection is open")
		}
	case 2:
		conn.End()
	default:
		_ = conn.Close()
		delete(s.open, conn)
	}
}

// Guards against a set that counts connections which are closed, and then rejects clients permanently:
// connections of random addresses do anything in any order, also after their close.
func TestClosedConnectionsAreNotCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{at: time.Now()}
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		s := &randomSet{Conns: ingress.NewConns(limit, c.now), open: make(map[*ingress.Conn]bool)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(s.all) == 0 || rapid.IntRange(0, 2).Draw(t, "add") == 0 {
				s.add(t)
			} else {
				s.act(t)
			}
			if s.Open() != len(s.open) || s.Open() > limit {
				t.Fatalf("%d connections are counted, %d are open, the limit is %d", s.Open(), len(s.open), limit)
			}
		}
		for _, conn := range s.all {
			_ = conn.Close()
		}
		if s.Open() != 0 {
			t.Fatalf("%d closed connections are counted", s.Open())
		}
	})
}

// Guards against connections to engines that are counted after they were closed, or not opened although
// unused ones could be closed.
func TestDialsAreCounted(t *testing.T) {
	is := is.New(t)
	a := newAdmission(ingress.Config{Descriptors: 300})
	d := a.ToEngines
	var idle []net.Conn
	dial := d.Wrap(func(_ context.Context, address string) (net.Conn, error) {
		if address == "" {
			return nil, errors.New("no address")
		}
		return &fakeConn{}, nil
	})
	for range d.Limit() {
		_, err := dial(t.Context(), "")
		is.True(err != nil)
		conn, err := dial(t.Context(), "engine")
		is.NoErr(err)
		idle = append(idle, conn)
	}
	_, err := dial(t.Context(), "engine")
	is.True(err != nil)
	d.OnFull = func() { _ = idle[0].Close() }
	_, err = dial(t.Context(), "engine")
	is.NoErr(err)
	_ = idle[0].Close() // A second close does not count.
	is.Equal(d.Open(), d.Limit())
}

func newAdmission(cfg ingress.Config) *ingress.Admission {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Count == nil {
		cfg.Count = func(ingress.Kind) {}
	}
	if cfg.Report == nil {
		cfg.Report = func(map[ingress.Kind]int) {}
	}
	if cfg.HeaderTimeout == nil {
		cfg.HeaderTimeout = func() time.Duration { return 0 }
	}
	return ingress.New(cfg)
}

// Guards against shares that exceed the descriptors of the process, on the smallest and the largest
// machines, and against connections whose memory exceeds that of the machine.
func TestSharesFitTheMachine(t *testing.T) {
	for _, m := range []struct{ memoryMB, descriptors int }{{144, 3075}, {536, 10250}, {144, 1200}, {0, 300}} {
		is := is.New(t)
		a := newAdmission(ingress.Config{MemoryMB: m.memoryMB, Descriptors: m.descriptors})
		sum := a.Clients.Limit() + a.VMs.Limit() + a.Readiness.Limit() + a.Metrics.Limit() + a.ToEngines.Limit() + a.ToVMs.Limit()
		is.True(sum <= m.descriptors-200)
		is.True(a.Clients.Limit() >= 45)
		is.True(a.Bytes.Limit() <= int64(m.memoryMB)<<20/4)
	}
}

// Guards against a client that counts as having accepted all bytes while it reads none, or that never does.
func TestDrainedWhenClientHasReadAll(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	accepted, err := l.Accept()
	is.NoErr(err)
	conn, _ := ingress.NewConns(1, time.Now).Add(accepted)
	defer func() { _ = conn.Close() }()
	is.True(conn.Drained())
	is.NoErr(conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)))
	written := 0
	for err = nil; err == nil; {
		var n int
		n, err = conn.Write(make([]byte, 64<<10)) // Until the buffers of both ends are full.
		written += n
	}
	is.True(!conn.Drained())
	_, err = io.CopyN(io.Discard, client, int64(written))
	is.NoErr(err)
	for !conn.Drained() {
		time.Sleep(time.Millisecond) // The acknowledgement takes some time. The test fails by its timeout.
	}
}
