package standin

import (
	"bytes"
	"net"
	"os"
	"sync"
	"time"
)

// memoryConn is one end of a connection of a Network. Writes go through a queue,
// so that they do not wait for the reader as those of a net.Pipe do.
type memoryConn struct {
	net.Conn
	network *Network
	link    link
	remote  memoryAddr

	mu       sync.Mutex // guards the fields down to writeDeadline
	silenced bool
	// changed is closed by Close, and by a new read deadline of a silenced
	// connection, which also replaces it.
	changed       chan struct{}
	readDeadline  time.Time
	writeDeadline time.Time

	// sendQueue holds the writes that sendLoop has not delivered yet. It is
	// never closed; closed ends it.
	sendQueue chan []byte
	closed    chan struct{}
}

// sendQueueWrites is the number of writes that a connection buffers until the
// other end reads them.
const sendQueueWrites = 256

// flushTimeout bounds the delivery of pending writes after Close.
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

// sendLoop delivers queued writes to the other end until the connection is
// closed, and then flushes the rest.
func (c *memoryConn) sendLoop() {
	defer func() { _ = c.Conn.Close() }()
	for {
		select {
		case b := <-c.sendQueue:
			// A write fails only if the connection is silenced or closed.
			_, _ = c.Conn.Write(b)
		case <-c.closed:
			if !c.isSilenced() {
				c.flush()
			}
			return
		}
	}
}

// flush delivers the writes that are still queued, within flushTimeout.
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

// silence makes the connection drop all data from now on, without an error. It
// wakes a waiting reader by a past deadline on the underlying pipe; the reader
// then waits for its own deadline.
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

// Read reads from the other end. On a silenced connection it waits for its
// deadline or for Close.
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

// Write queues b for delivery and blocks only while the queue is full. On a
// silenced connection it drops b and reports success.
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

// writeTimer returns a channel that fires at the write deadline, or nil if there
// is none, and a function that stops the timer.
func (c *memoryConn) writeTimer() (<-chan time.Time, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeDeadline.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(time.Until(c.writeDeadline))
	return t.C, func() { t.Stop() }
}

// waitReadDeadline blocks a read of a silenced connection until the read
// deadline passes or the connection is closed, and returns the error for it.
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

// waitDeadlineOrChange reports whether the deadline passed before changed was
// closed. A zero deadline never passes.
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

// changedByClose reports whether Close closed the channel changed. A new read
// deadline replaces c.changed, while Close does not.
func (c *memoryConn) changedByClose(changed chan struct{}) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed == changed
}

// SetDeadline sets the read and write deadlines.
func (c *memoryConn) SetDeadline(t time.Time) error {
	_ = c.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of future writes.
func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return nil
}

// SetReadDeadline sets the deadline of reads. On a silenced connection it does
// not change the deadline of the pipe, which must remain in the past.
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

// Close closes the connection. The other end of a silenced connection does not
// observe it.
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
	// The past deadline wakes a reader of this end. The other end can still read
	// the queued writes.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return nil
}
