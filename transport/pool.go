// Package transport sends requests to upstreams over HTTP/1.1 connections that it pools itself.
//
// Unlike the transport of net/http it never repeats a request, reports whether a failed request may
// have run, and closes a connection on which bytes arrived that belong to no request.
package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"toucanfall/ingress"
)

// Bounds of connections to upstreams.
const (
	// dialTimeout is longer than connecting to any upstream takes, and leaves time to try another.
	dialTimeout = 500 * time.Millisecond
	// lossTimeout is how long sent bytes may stay unacknowledged before the connection counts as
	// lost: a few times the longest retransmission timeout on these network paths.
	lossTimeout = 2 * time.Second
	// defaultIdle is how long an idle connection is kept if the upstream does not say how long it
	// keeps it.
	defaultIdle = 20 * time.Second
	// idleMargin is how much earlier than the upstream this side stops using an idle connection, so
	// that no request is sent while the upstream closes it.
	idleMargin = 700 * time.Millisecond
	// maxIdleConns is the most idle connections to one upstream.
	maxIdleConns = 64
	// readBufferSize is small because many streams are open at the same time.
	readBufferSize = 4 << 10
)

// Pool holds the connections to one upstream. It is safe for concurrent use; mu guards idle, conns and closed.
type Pool struct {
	address string
	dial    Dialer
	onHead  func(status int, h http.Header)
	// answers is the budget for the answers to calls, nil if there is none.
	answers *ingress.Bytes

	mu   sync.Mutex
	idle []*conn
	// conns holds all connections, those that carry a request too.
	conns  map[*conn]struct{}
	closed bool
}

// NewPool returns an empty pool for the upstream at address. onHead, if not nil, is called with the
// status and headers of each answer to a request, before the answer is returned.
func NewPool(address string, dial Dialer, onHead func(status int, h http.Header)) *Pool {
	return &Pool{address: address, dial: dial, onHead: onHead, conns: make(map[*conn]struct{})}
}

// LimitAnswers sets the budget for the answers to calls of the VM itself, of all pools that have it. A call
// whose answer has no space fails. It must be called before the first call.
func (p *Pool) LimitAnswers(budget *ingress.Bytes) { p.answers = budget }

// Close closes the idle connections once no connection carries a request, and all others after their request. Until
// then the idle ones show whether the upstream still lives (see [Pool.Observe]).
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	unused := p.takeUnused()
	p.mu.Unlock()
	closeAll(unused)
}

// takeUnused removes and returns the idle connections of a closed pool of which no connection carries a request. The
// caller holds mu.
func (p *Pool) takeUnused() []*conn {
	if !p.closed || len(p.conns) > len(p.idle) {
		return nil
	}
	idle := p.idle
	p.idle = nil
	return idle
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// add records a new connection.
func (p *Pool) add(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

// forget drops a connection that has been closed.
func (p *Pool) forget(c *conn) {
	p.mu.Lock()
	delete(p.conns, c)
	unused := p.takeUnused()
	p.mu.Unlock()
	closeAll(unused)
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(idle)
}

// get returns the idle connection that was used last, or a new one if none is reusable. An exclusive
// request gets none whose last request was exclusive too.
func (p *Pool) get(ctx context.Context, exclusive bool) (*conn, error) {
	for {
		c := p.pop(exclusive)
		if c == nil {
			return p.open(ctx)
		}
		if c.reusable(time.Now()) {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(exclusive bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !exclusive || !c.exclusive {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// errBorrowed is the error of a request that needs a new connection of a pool that opens none.
var errBorrowed = errors.New("no connection is open")

// Borrow takes the connection that has been idle for longest, which the next requests need least, out of the pool.
// The returned pool has only this connection, and opens no other; giveBack returns it if it is still open. kept is nil
// if no connection is idle.
func (p *Pool) Borrow() (kept *Pool, giveBack func()) {
	for {
		p.mu.Lock()
		if len(p.idle) == 0 {
			p.mu.Unlock()
			return nil, nil
		}
		c := p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
		p.mu.Unlock()
		if !c.reusable(time.Now()) {
			_ = c.Close()
			continue
		}
		kept = NewPool(p.address, func(context.Context, string) (net.Conn, error) { return nil, errBorrowed }, nil)
		kept.answers, kept.idle = p.answers, []*conn{c}
		return kept, func() {
			if c := kept.pop(false); c != nil {
				p.put(c)
			}
		}
	}
}

// HasIdle reports whether the idle connection that was used last, which the next request gets, is
// probably still kept open by the upstream. It is false if there is none.
func (p *Pool) HasIdle() bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && (p.idle[n-1].idleUntil.IsZero() || now.Before(p.idle[n-1].idleUntil))
}

// put makes a connection idle, or closes it if there are enough.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	unused := []*conn{c}
	if len(p.idle) < maxIdleConns {
		p.idle = append(p.idle, c)
		unused = p.takeUnused()
	}
	p.mu.Unlock()
	closeAll(unused)
}
