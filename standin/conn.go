package standin

import (
	"bytes"
	"net"
	"os"
	"sync"
	"time"
)

// memoryConn is one end of a connection.
type memoryConn struct {
	net.Conn
	network *Network
	link    link
	remote  memoryAddr

	mu            sync.Mutex
	silenced      bool
	changed       chan struct{}
	readDeadline  time.Time // of reads
	writeDeadline time.Time

	// out is the send buffer, which ends when closed is.
	sendQueue chan []byte
	closed    chan struct{}
}

// sendBuffer is the number of writes that a connection takes before the other
// end reads.
const sendQueueWrites = 256

// flushTimeout bounds the delivery of what was written before Close.
const flushTimeout = time.Second

func newMemoryConn(pipe net.Conn, n *Network, lk link, remote memoryAddr) *memoryConn {
	c := &memoryConn{
		Conn:      pipe,
		network:   n,
		link:      lk,
		remote:    remote,
		changed:   make(chan struct{}),
		sendQueue: make(chan []byte, sendQueueWrites),
		closed:    make(chan struct{}),
	}
	go func() { c.sendLoop() }()
	return c
}

// deliver writes the send buffer to the other end until the connection is
// closed, and then what is left of it.
func (c *memoryConn) sendLoop() {
	defer func() { _ = c.Conn.Close() }()
	for {
		select {
		case b := <-c.sendQueue:
			// A failed write means that the connection is silent or gone.
			_, _ = c.Conn.Write(b)
		case <-c.closed:
			if !c.isSilenced() {
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
		case b := <-c.sendQueue:
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
func (c *memoryConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silenced {
		return
	}
	c.silenced = true
	_ = c.Conn.SetDeadline(time.Unix(1, 0))
}

func (c *memoryConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

func (c *memoryConn) isSilenced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silenced
}

// Read waits for its deadline or Close on a silent connection.
func (c *memoryConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && c.isClosed() {
		return n, net.ErrClosed
	}
	if err != nil && c.isSilenced() {
		return 0, c.waitReadDeadline()
	}
	return n, err
}

// Write puts b into the send buffer and waits only while that is full. A silent
// connection drops everything.
func (c *memoryConn) Write(b []byte) (int, error) {
	if c.isSilenced() {
		return len(b), nil
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	deadline, stop := c.writeTimer()
	defer stop()
	select {
	case c.sendQueue <- bytes.Clone(b):
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	case <-deadline:
		return 0, os.ErrDeadlineExceeded
	}
}

// writeDeadline returns a channel that fires at the deadline of writes.
func (c *memoryConn) writeTimer() (<-chan time.Time, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeDeadline.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(time.Until(c.writeDeadline))
	return t.C, func() { t.Stop() }
}

func (c *memoryConn) waitReadDeadline() error {
	for {
		c.mu.Lock()
		deadline := c.readDeadline
		changed := c.changed
		c.mu.Unlock()
		if c.waitDeadlineOrChange(deadline, changed) {
			return os.ErrDeadlineExceeded
		}
		if c.changedByClose(changed) {
			return net.ErrClosed
		}
	}
}

// waitOnce reports whether the deadline passed before a change.
func (c *memoryConn) waitDeadlineOrChange(deadline time.Time, changed <-chan struct{}) bool {
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
func (c *memoryConn) changedByClose(changed chan struct{}) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed == changed
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
	c.writeDeadline = t
	return nil
}

// SetReadDeadline sets the deadline of reads. It keeps the deadline of a silent
// connection apart from the pipe's, which has passed.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if !c.silenced {
		return c.Conn.SetReadDeadline(t)
	}
	select {
	case <-c.changed:
		return net.ErrClosed
	default:
	}
	close(c.changed)
	c.changed = make(chan struct{})
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
	case <-c.changed:
		return net.ErrClosed
	default:
		close(c.changed)
		close(c.closed)
	}
	if c.silenced {
		return nil
	}
	// A reader of this end is woken at once; the other end reads what is left.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return nil
}
