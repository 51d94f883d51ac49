// Package courier carries requests to upstreams over HTTP/1.1 connections of
// its own.
//
// Unlike the transport of net/http it never repeats a request, tells whether a
// failed one may have run, and trusts no byte that belongs to no request: a
// connection on which something unexpected came is closed.
package courier

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Bounds of connections to upstreams.
const (
	// dialTimeout is longer than any way to an upstream takes, and leaves time
	// for another one.
	dialTimeout = 500 * time.Millisecond
	// lossTimeout is how long an upstream may leave sent bytes without an
	// acknowledgement: a few times the longest retransmission on these ways.
	lossTimeout = 2 * time.Second
	// defaultIdle is how long a connection is kept idle where the upstream does
	// not say how long it keeps it.
	defaultIdle = 20 * time.Second
	// idleMargin is how much earlier than the upstream the idle connection is
	// given up, so that a request does not cross its close.
	idleMargin = 700 * time.Millisecond
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 64
	// readBuffer is small because many streams are open at once.
	readBuffer = 4 << 10
)

// Pool holds the idle connections to one upstream.
type Pool struct {
	address string
	dial    Dialer
	heard   func(status int, h http.Header)

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns a pool without connections to an upstream, which dial opens. Heard, if it is
// not nil, is called with the head of each answer, before that is returned.
func NewPool(address string, dial Dialer, heard func(status int, h http.Header)) *Pool {
	return &Pool{address: address, dial: dial, heard: heard}
}

// Close closes the idle connections. Requests in flight go on.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// get returns the connection that was used last, or a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.open(ctx)
		}
		if c.clean(time.Now()) {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// Idle reports whether there is an idle connection that the upstream is likely to keep.
func (p *Pool) HasIdle() bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && (p.idle[n-1].until.IsZero() || now.Before(p.idle[n-1].until))
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}
