package ingress

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"toucanfall/internal/tcp"
)

// Conns is the set of open connections of one listener. It handles the load of clients that open
// more connections than the process has descriptors for, and leave them open: at the limit a new
// connection takes the place of one that waits without a request in progress, or whose body does not
// arrive, of the address with the most connections. So clients with few connections are admitted and
// keep theirs, however many others have. It is safe for concurrent use.
type Conns struct {
	limit int
	now   func() time.Time

	mu sync.Mutex // guards the fields below and those of the connections
	// addresses holds the connections of each client address.
	addresses map[netip.Addr]map[*Conn]struct{}
	open      int
}

// NewConns returns an empty set of at most limit connections.
func NewConns(limit int, now func() time.Time) *Conns {
	return &Conns{limit: limit, now: now, addresses: make(map[netip.Addr]map[*Conn]struct{})}
}

// Open returns the number of open connections.
func (s *Conns) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Limit returns the greatest number of open connections.
func (s *Conns) Limit() int { return s.limit }

// state is what a connection does.
type state int

// The states.
const (
	// waiting connections wait for a request or for the rest of its head.
	waiting state = iota
	// reading connections have read a head, and may be reading a body. The request is not running.
	reading
	// running connections have a request in progress.
	running
)

// readingGrace is how long a connection may read a body before it can be closed for a new one: an
// ordinary body arrives in a fraction of it.
const readingGrace = time.Second

// Conn is a connection of a set.
type Conn struct {
	net.Conn
	set     *Conns
	address netip.Addr
	// awaitsHead is set until the first byte of the next request has been read.
	awaitsHead atomic.Bool

	// The fields below are guarded by set.mu.
	state  state
	closed bool
	// since is when the state began.
	since time.Time
	// headSince is when the first byte of a head arrived that is not complete, or the zero time.
	headSince time.Time
}

// Add adds a connection. It returns nil if there is no space for it, and the connection that has to be
// closed in its place if there is one.
func (s *Conns) Add(conn net.Conn) (added, evicted *Conn) {
	c := &Conn{Conn: conn, set: s, address: clientAddress(conn.RemoteAddr())}
	c.awaitsHead.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.limit {
		evicted = s.replaceable()
		if evicted == nil {
			return nil, nil
		}
		s.remove(evicted)
	}
	c.since = s.now()
	own := s.addresses[c.address]
	if own == nil {
		own = make(map[*Conn]struct{}, 1)
		s.addresses[c.address] = own
	}
	own[c] = struct{}{}
	s.open++
	return c, evicted
}

// replaceable returns the connection to close for a new one, of those of the address with the most
// connections: that which has waited longest, or if none waits that which has been reading a body for
// longest. It returns nil if all are running, or have begun to read within readingGrace. The caller must
// hold s.mu.
func (s *Conns) replaceable() *Conn {
	var most map[*Conn]struct{}
	for _, conns := range s.addresses {
		if len(conns) > len(most) {
			most = conns
		}
	}
	var longest [running]*Conn
	for c := range most {
		if c.state < running && (longest[c.state] == nil || c.since.Before(longest[c.state].since)) {
			longest[c.state] = c
		}
	}
	if c := longest[reading]; longest[waiting] == nil && c != nil && s.now().Sub(c.since) > readingGrace {
		return c
	}
	return longest[waiting]
}

// remove removes a connection. The caller must hold s.mu.
func (s *Conns) remove(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	s.open--
	own := s.addresses[c.address]
	delete(own, c)
	if len(own) == 0 {
		delete(s.addresses, c.address)
	}
}

// HeadsOlderThan returns the connections that have been reading a head for longer than d.
func (s *Conns) HeadsOlderThan(d time.Duration) []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*Conn
	now := s.now()
	for _, conns := range s.addresses {
		for c := range conns {
			if c.state == waiting && !c.headSince.IsZero() && now.Sub(c.headSince) > d {
				out = append(out, c)
			}
		}
	}
	return out
}

// Close removes the connection from its set and closes it.
func (c *Conn) Close() error {
	c.set.mu.Lock()
	c.set.remove(c)
	c.set.mu.Unlock()
	return c.Conn.Close()
}

// Read reads from the connection, and records when the first byte of a request arrives.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.awaitsHead.CompareAndSwap(true, false) {
		c.headBegun()
	}
	return n, err
}

func (c *Conn) headBegun() {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.state == waiting {
		c.headSince = c.set.now()
	}
}

// Begin records that the head of a request is complete. It returns false if the connection has been
// closed in the meantime: the request must not be run.
func (c *Conn) Begin() bool { return c.enter(reading) }

// Run records that a request is in progress, whose body is complete. It returns false if the connection
// has been closed in the meantime: the request must not be run.
func (c *Conn) Run() bool { return c.enter(running) }

func (c *Conn) enter(s state) bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.state, c.since, c.headSince = s, c.set.now(), time.Time{}
	return !c.closed
}

// End records that the connection waits for its next request.
func (c *Conn) End() {
	c.awaitsHead.Store(true)
	c.enter(waiting)
}

// expire closes a connection whose head is not complete, unless it has become so. It returns whether it
// has closed it.
func (c *Conn) expire() bool {
	c.set.mu.Lock()
	expired := c.state == waiting && !c.closed
	if expired {
		c.headSince = time.Time{}
		c.set.remove(c)
	}
	c.set.mu.Unlock()
	return expired
}

// headBroken reports whether the connection was closed by its server or its client while a head was
// read.
func (c *Conn) headBroken() bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	broken := c.state == waiting && !c.headSince.IsZero()
	c.headSince = time.Time{}
	return broken
}

// CloseWrite closes the sending side, if the connection has one. net/http needs it so that clients get
// a response that precedes the close.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Drained reports whether the client's side has acknowledged all that was written.
func (c *Conn) Drained() bool {
	n, err := tcp.Unacknowledged(c.Conn)
	return err == nil && n == 0
}

// SetLinger sets what becomes of unsent bytes at the close.
func (c *Conn) SetLinger(sec int) error {
	if inner, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return inner.SetLinger(sec)
	}
	return nil
}

// addressBits is the length of the prefix of an IPv6 address that counts as one client: what one
// subscriber usually has.
const addressBits = 64

// clientAddress returns the address by which connections are counted.
func clientAddress(a net.Addr) netip.Addr {
	tcpAddr, ok := a.(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	ip := tcpAddr.AddrPort().Addr().Unmap().WithZone("")
	if !ip.Is6() {
		return ip
	}
	prefix, err := ip.Prefix(addressBits)
	if err != nil {
		return ip
	}
	return prefix.Addr()
}
