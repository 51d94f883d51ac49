package transport

import (
	"slices"
	"time"

	"toucanfall/internal/tcp"
)

// Bounds of an observation.
const (
	// transitTime is how long bytes that an upstream had sent before it was killed may still arrive, on another
	// connection than the one that has ended: several round trips on these network paths, so that the system of the
	// upstream has sent a lost tail again.
	transitTime = 100 * time.Millisecond
	// maxSilence is how long a connection may have received nothing for its bytes not to have been held up by a cut of
	// the path: events come every 200 ms at least. What was held up arrives on each connection at another time.
	maxSilence = 300 * time.Millisecond
)

// Observation watches the connections of a pool that were open at a time. The system ends all connections of a process
// that was killed, so that bytes of an answer that was in progress show, later than transitTime, that the process lives
// on. Other answers may be those of another process that was started in its place. It is not safe for concurrent use.
type Observation struct {
	conns []*conn
	// inProgress holds the connections that carried a request.
	inProgress map[*conn]*progress
}

// progress is what was seen of a connection.
type progress struct {
	// requests is the number of requests on the connection, the last one included.
	requests int64
	// received is how many bytes had been read when the connection was last looked at, or was seen quiet.
	received int64
	// from is when bytes can no longer be on their way, the zero time if they may be held up.
	from time.Time
	// quiet is set once the connection has been seen open and without unread bytes, later than from.
	quiet bool
}

// Observe starts an observation of the connections that are open now.
func (p *Pool) Observe() *Observation {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	o := &Observation{inProgress: make(map[*conn]*progress)}
	for c := range p.conns {
		o.conns = append(o.conns, c)
		if slices.Contains(p.idle, c) {
			continue
		}
		o.inProgress[c] = &progress{requests: c.requests.Load(), received: c.received.Load()}
		if c.silence(now) < maxSilence {
			o.inProgress[c].from = now.Add(transitTime)
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
	now := time.Now()
	for c, seen := range o.inProgress {
		received := c.received.Load()
		more := received > seen.received
		switch {
		case c.requests.Load() != seen.requests:
			delete(o.inProgress, c) // The bytes may be those of the next answer.
		case seen.from.IsZero() && more:
			seen.from, seen.received = now.Add(transitTime), received
		case seen.from.IsZero() || now.Before(seen.from):
		case seen.quiet && more:
			return true
		case !seen.quiet:
			seen.quiet, seen.received = isQuiet(c), received
		}
	}
	return false
}

// isQuiet reports whether a connection is open and has no unread bytes. Bytes that wait for a slow reader may be old.
func isQuiet(c *conn) bool {
	unread, err := tcp.Peek(c.Conn)
	return err == nil && unread == tcp.NothingUnread
}
