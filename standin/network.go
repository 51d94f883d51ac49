package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Network carries TCP-like connections in memory, so that whole processes run
// in one test under a paused clock. Each end belongs to a site, such as a VM;
// links between sites can be cut.
//
// Cutting a link makes its open connections silent for good, as if something
// between the two ends had lost track of them: nothing that is written arrives,
// and neither end is told. New connections fail until the link is healed.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	cuts      map[link]bool
	conns     map[*memoryConn]struct{}
}

// link is an unordered pair of sites.
type link struct {
	a, b string
}

func linkOf(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a: a, b: b}
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*memoryListener),
		cuts:      make(map[link]bool),
		conns:     make(map[*memoryConn]struct{}),
	}
}

// Listen opens a listener of a site at an address.
func (n *Network) Listen(site, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, fmt.Errorf("address %s is in use", address)
	}
	l := &memoryListener{network: n, site: site, address: memoryAddr(address), accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects a site to an address.
func (n *Network) Dial(ctx context.Context, site, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	cut := ok && n.cuts[linkOf(site, l.site)]
	n.mu.Unlock()
	switch {
	case !ok:
		return nil, dialError(address, errors.New("connection refused"))
	case cut:
		<-ctx.Done()
		return nil, dialError(address, ctx.Err())
	}
	near, far := n.pair(linkOf(site, l.site), l.address)
	select {
	case l.accept <- far:
		return near, nil
	case <-l.closed:
		return nil, dialError(address, errors.New("connection refused"))
	case <-ctx.Done():
		return nil, dialError(address, ctx.Err())
	}
}

func dialError(address string, err error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: memoryAddr(address), Err: err}
}

func (n *Network) pair(lk link, address memoryAddr) (near, far *memoryConn) {
	a, b := net.Pipe()
	near = newMemoryConn(a, n, lk, address)
	far = newMemoryConn(b, n, lk, "dialer")
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near] = struct{}{}
	n.conns[far] = struct{}{}
	return near, far
}

// Cut silences the open connections between two sites and refuses new ones.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[linkOf(a, b)] = true
	n.silence(linkOf(a, b))
}

// Silence makes the open connections between two sites silent for good; new
// ones work.
func (n *Network) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silence(linkOf(a, b))
}

// silence is called with the lock held.
func (n *Network) silence(lk link) {
	for c := range n.conns {
		if c.link == lk {
			c.hush()
		}
	}
}

// Heal lets two sites connect again.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, linkOf(a, b))
}

// Kill closes all listeners and connections of a site, as the end of its
// process does.
func (n *Network) Kill(site string) {
	n.mu.Lock()
	var listeners []*memoryListener
	for _, l := range n.listeners {
		if l.site == site {
			listeners = append(listeners, l)
		}
	}
	var conns []*memoryConn
	for c := range n.conns {
		if c.link.a == site || c.link.b == site {
			conns = append(conns, c)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

// memoryAddr is an address of the network.
type memoryAddr string

// Network returns the kind of the network.
func (a memoryAddr) Network() string { return "tcp" }

// String returns the address.
func (a memoryAddr) String() string { return string(a) }

type memoryListener struct {
	network *Network
	site    string
	address memoryAddr
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept waits for a connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.address))
	})
	return nil
}

// Addr returns the listener's address.
func (l *memoryListener) Addr() net.Addr { return l.address }

// memoryConn is one end of a connection.
type memoryConn struct {
	net.Conn
	network *Network
	link    link
	remote  memoryAddr

	mu       sync.Mutex
	hushed   bool
	silence  chan struct{}
	deadline time.Time // of reads
	writeBy  time.Time

	// out is the send buffer, which ends when closed is.
	out    chan []byte
	closed chan struct{}
}

// sendBuffer is the number of writes that a connection takes before the other
// end reads.
const sendBuffer = 256

// flushTimeout bounds the delivery of what was written before Close.
const flushTimeout = time.Second

func newMemoryConn(pipe net.Conn, n *Network, lk link, remote memoryAddr) *memoryConn {
	c := &memoryConn{
		Conn:    pipe,
		network: n,
		link:    lk,
		remote:  remote,
		silence: make(chan struct{}),
		out:     make(chan []byte, sendBuffer),
		closed:  make(chan struct{}),
	}
	go func() { c.deliver() }()
	return c
}

// deliver writes the send buffer to the other end until the connection is
// closed, and then what is left of it.
func (c *memoryConn) deliver() {
	defer func() { _ = c.Conn.Close() }()
	for {
		select {
		case b := <-c.out:
			// A failed write means that the connection is silent or gone.
			_, _ = c.Conn.Write(b)
		case <-c.closed:
			if !c.isHushed() {
				c.flush()
			}
			return
		}
	}
}

func (c *memoryConn) flush() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(flushTimeout))
	for {
		select {
		case b := <-c.out:
			_, _ = c.Conn.Write(b)
		default:
			return
		}
	}
}

// RemoteAddr returns the address of the other end.
func (c *memoryConn) RemoteAddr() net.Addr { return c.remote }

// hush makes the connection silent for good. A reader that waits is woken by a
// deadline of the pipe below and then waits for its own deadline.
func (c *memoryConn) hush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hushed {
		return
	}
	c.hushed = true
	_ = c.Conn.SetDeadline(time.Unix(1, 0))
}

func (c *memoryConn) isOver() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

func (c *memoryConn) isHushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hushed
}

// Read waits for its deadline or Close on a silent connection.
func (c *memoryConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && c.isOver() {
		return n, net.ErrClosed
	}
	if err != nil && c.isHushed() {
		return 0, c.waitSilent()
	}
	return n, err
}

// Write puts b into the send buffer and waits only while that is full. A silent
// connection drops everything.
func (c *memoryConn) Write(b []byte) (int, error) {
	if c.isHushed() {
		return len(b), nil
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	deadline, stop := c.writeDeadline()
	defer stop()
	select {
	case c.out <- bytes.Clone(b):
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	case <-deadline:
		return 0, os.ErrDeadlineExceeded
	}
}

// writeDeadline returns a channel that fires at the deadline of writes.
func (c *memoryConn) writeDeadline() (<-chan time.Time, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeBy.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(time.Until(c.writeBy))
	return t.C, func() { t.Stop() }
}

func (c *memoryConn) waitSilent() error {
	for {
		c.mu.Lock()
		deadline := c.deadline
		changed := c.silence
		c.mu.Unlock()
		if c.waitOnce(deadline, changed) {
			return os.ErrDeadlineExceeded
		}
		if c.isClosed(changed) {
			return net.ErrClosed
		}
	}
}

// waitOnce reports whether the deadline passed before a change.
func (c *memoryConn) waitOnce(deadline time.Time, changed <-chan struct{}) bool {
	if deadline.IsZero() {
		<-changed
		return false
	}
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-changed:
		return false
	}
}

// isClosed reports whether the change was Close: a new deadline replaces the
// channel, Close does not.
func (c *memoryConn) isClosed(changed chan struct{}) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silence == changed
}

// SetDeadline sets the deadlines of reads and writes.
func (c *memoryConn) SetDeadline(t time.Time) error {
	_ = c.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of writes to come.
func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBy = t
	return nil
}

// SetReadDeadline sets the deadline of reads. It keeps the deadline of a silent
// connection apart from the pipe's, which has passed.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if !c.hushed {
		return c.Conn.SetReadDeadline(t)
	}
	select {
	case <-c.silence:
		return net.ErrClosed
	default:
	}
	close(c.silence)
	c.silence = make(chan struct{})
	return nil
}

// Close ends the connection. The other end of a silent one is not told.
func (c *memoryConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.silence:
		return net.ErrClosed
	default:
		close(c.silence)
		close(c.closed)
	}
	if c.hushed {
		return nil
	}
	// A reader of this end is woken at once; the other end reads what is left.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return nil
}
