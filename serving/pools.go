package serving

import (
	"net/http"
	"sync"

	"toucanfall/courier"
	"toucanfall/roster"
)

// pools keeps the connections to each upstream for as long as it is known.
type pools struct {
	dial courier.Dialer
	// heard is called with the head of each answer of an upstream.
	heard func(u *roster.Upstream, status int, h http.Header)

	mu         sync.Mutex
	byUpstream map[*roster.Upstream]*courier.Pool
}

func newPools(dial courier.Dialer, heard func(*roster.Upstream, int, http.Header)) *pools {
	return &pools{dial: dial, heard: heard, byUpstream: make(map[*roster.Upstream]*courier.Pool)}
}

// of returns the connections to an upstream.
func (p *pools) of(u *roster.Upstream) *courier.Pool {
	p.mu.Lock()
	pool, ok := p.byUpstream[u]
	if ok {
		p.mu.Unlock()
		return pool
	}
	pool = courier.NewPool(u.Address(), p.dial, func(status int, h http.Header) { p.heard(u, status, h) })
	p.byUpstream[u] = pool
	p.mu.Unlock()
	u.OnRemoved(func() { p.drop(u) })
	return pool
}

// connected reports whether there is an idle connection to an upstream.
func (p *pools) connected(u *roster.Upstream) bool {
	p.mu.Lock()
	pool := p.byUpstream[u]
	p.mu.Unlock()
	return pool != nil && pool.HasIdle()
}

func (p *pools) drop(u *roster.Upstream) {
	p.mu.Lock()
	pool := p.byUpstream[u]
	delete(p.byUpstream, u)
	p.mu.Unlock()
	if pool != nil {
		pool.Close()
	}
}
