package serving

import (
	"maps"
	"net/http"
	"slices"
	"sync"

	"toucanfall/ingress"
	"toucanfall/roster"
	"toucanfall/transport"
)

// pools holds a connection pool for each upstream until the upstream is removed.
type pools struct {
	dial transport.Dialer
	// onHead is called with the status and headers of each answer of an upstream.
	onHead func(u *roster.Upstream, status int, h http.Header)
	// answers is the budget for the answers of upstreams to the VM itself, nil if there is none.
	answers *ingress.Bytes

	mu         sync.Mutex
	byUpstream map[*roster.Upstream]*transport.Pool // Guarded by mu.
}

func newPools(dial transport.Dialer, onHead func(*roster.Upstream, int, http.Header), answers *ingress.Bytes) *pools {
	return &pools{dial: dial, onHead: onHead, answers: answers, byUpstream: make(map[*roster.Upstream]*transport.Pool)}
}

// get returns the connection pool of an upstream, and creates it on first use.
func (p *pools) get(u *roster.Upstream) *transport.Pool {
	p.mu.Lock()
	pool, ok := p.byUpstream[u]
	if ok {
		p.mu.Unlock()
		return pool
	}
	pool = transport.NewPool(u.Address(), p.dial, func(status int, h http.Header) { p.onHead(u, status, h) })
	pool.LimitAnswers(p.answers)
	p.byUpstream[u] = pool
	p.mu.Unlock()
	u.OnRemoved(func() { p.drop(u) })
	return pool
}

// connected reports whether there is an idle connection to an upstream. It creates no pool.
func (p *pools) connected(u *roster.Upstream) bool {
	p.mu.Lock()
	pool := p.byUpstream[u]
	p.mu.Unlock()
	return pool != nil && pool.HasIdle()
}

// closeIdle closes the idle connections of all pools.
func (p *pools) closeIdle() {
	p.mu.Lock()
	all := slices.Collect(maps.Values(p.byUpstream))
	p.mu.Unlock()
	for _, pool := range all {
		pool.CloseIdle()
	}
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
