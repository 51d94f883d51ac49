package transport

import (
	"time"

	"toucanfall/internal/tcp"
)

// transitTime is how long bytes that an upstream had sent before it was killed may still arrive, on another connection
// than the one that has ended: several round trips on these network paths, so that the system of the upstream has sent a
// lost tail again. A retransmission timeout, 200 ms and more, is needed only if that is lost too.
const transitTime = 100 * time.Millisecond

// Observation watches the connections of a pool that were open at a time. The system ends all connections of a process
// that was killed, so that bytes which arrive on one of them later than transitTime show that the process lives on.
// Other connections than these may be those of another process, which was started in its place. It is not safe for
// concurrent use.
type Observation struct {
	began time.Time
	conns []*conn
	// quiet holds how many bytes had been read from each connection when it was seen open and without unread bytes,
	// later than transitTime.
	quiet map[*conn]int64
}

// Observe starts an observation of the connections that are open now.
func (p *Pool) Observe() *Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := &Observation{began: time.Now(), quiet: make(map[*conn]int64)}
	for c := range p.conns {
		o.conns = append(o.conns, c)
	}
	return o
}

// IsOpen reports whether the upstream has not ended one of the connections yet, or has ended it after bytes that were
// not read.
func (o *Observation) IsOpen() bool {
	for _, c := range o.conns {
		if unread, err := tcp.Peek(c.Conn); err == nil && unread != tcp.EndUnread {
			return true
		}
	}
	return false
}

// HasProgress reports whether bytes have arrived on one of the connections that the process of the upstream must have
// sent after the beginning of the observation. Between two calls bytes must have time to arrive.
func (o *Observation) HasProgress() bool {
	if time.Since(o.began) < transitTime {
		return false
	}
	for _, c := range o.conns {
		received := c.received.Load()
		if before, ok := o.quiet[c]; ok {
			if received > before {
				return true
			}
			continue
		}
		// Bytes that wait for a slow reader may be older.
		if unread, err := tcp.Peek(c.Conn); err == nil && unread == tcp.NothingUnread {
			o.quiet[c] = received
		}
	}
	return false
}
