package transport

import (
	"slices"
	"time"

	"toucanfall/internal/tcp"
)

// transitTime is how long bytes that an upstream had sent before it was killed may still arrive, on another connection
// than the one that has ended: several round trips on these network paths, so that the system of the upstream has sent a
// lost tail again. A retransmission timeout, 200 ms and more, is needed only if that is lost too.
const transitTime = 100 * time.Millisecond

// Observation watches the connections of a pool that were open at a time. The system ends all connections of a process
// that was killed, so that bytes of an answer that was in progress show, later than transitTime, that the process lives
// on. Other answers may be those of another process that was started in its place. It is not safe for concurrent use.
type Observation struct {
	began time.Time
	conns []*conn
	// inProgress holds the number of requests on each connection that carried one, the last one included.
	inProgress map[*conn]int64
	// quiet holds how many bytes had been read from each of these when it was seen open and without unread bytes,
	// later than transitTime.
	quiet map[*conn]int64
}

// Observe starts an observation of the connections that are open now.
func (p *Pool) Observe() *Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := &Observation{began: time.Now(), inProgress: make(map[*conn]int64), quiet: make(map[*conn]int64)}
	for c := range p.conns {
		o.conns = append(o.conns, c)
		if !slices.Contains(p.idle, c) {
			o.inProgress[c] = c.requests.Load()
		}
	}
	return o
}

// IsOpen reports whether the upstream has not ended one of the connections yet, or has ended it after bytes that were
// not read.
func (o *Observation) IsOpen() bool {
	return slices.ContainsFunc(o.conns, func(c *conn) bool {
		unread, err := tcp.Peek(c.Conn)
		return err == nil && unread != tcp.EndUnread
	})
}

// HasProgress reports whether bytes have arrived that the process of the upstream must have sent after the beginning of
// the observation. Between two calls bytes must have time to arrive.
func (o *Observation) HasProgress() bool {
	if time.Since(o.began) < transitTime {
		return false
	}
	for c, request := range o.inProgress {
		received := c.received.Load()
		before, ok := o.quiet[c]
		switch {
		case c.requests.Load() != request:
			delete(o.inProgress, c) // The bytes may be those of the next answer.
		case ok && received > before:
			return true
		case !ok && isQuiet(c):
			o.quiet[c] = received
		}
	}
	return false
}

// isQuiet reports whether a connection is open and has no unread bytes. Bytes that wait for a slow reader may be old.
func isQuiet(c *conn) bool {
	unread, err := tcp.Peek(c.Conn)
	return err == nil && unread == tcp.NothingUnread
}
