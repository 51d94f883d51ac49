package shares

import (
	"sync"

	"toucanfall/catalogue"
	"toucanfall/fleet"
)

// Pool holds the tokens that VMs can spare. The coordinator keeps one; a new
// coordinator starts with an empty one.
type Pool struct {
	mu     sync.Mutex
	levels map[fleet.TeamID]Tokens
	bursts map[fleet.TeamID]Tokens
	// reach is the share of the rates that is minted by VMs that tell the
	// coordinator so. The other VMs keep their shares of the bursts themselves.
	reach float64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{levels: make(map[fleet.TeamID]Tokens), bursts: make(map[fleet.TeamID]Tokens)}
}

// Configure takes over the limits of a configuration.
func (p *Pool) Configure(cfg *catalogue.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.bursts)
	for _, t := range cfg.Teams {
		p.bursts[t.ID] = partsOf(Tokens(t.Burst), false).pool
	}
	p.cut()
}

// SetReach takes over the share of the rates whose VMs speak to the coordinator.
func (p *Pool) SetReach(reach float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reach = min(max(reach, 0), 1)
	p.cut()
}

// limit returns the most that the pool holds of a team's tokens.
func (p *Pool) limit(team fleet.TeamID) Tokens {
	return Tokens(p.reach) * p.bursts[team]
}

// cut drops what is above the limits.
func (p *Pool) cut() {
	for id, n := range p.levels {
		p.levels[id] = min(n, p.limit(id))
	}
}

// Put adds tokens that VMs could spare.
func (p *Pool) Put(spare map[fleet.TeamID]Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range spare {
		p.levels[id] = min(p.levels[id]+max(n, 0), p.limit(id))
	}
}

// Take takes up to n tokens of a team, but nothing if there are fewer than
// need.
func (p *Pool) Take(team fleet.TeamID, need, n Tokens) Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	have := p.levels[team]
	// A request above what the pool can hold is given a full pool, which owes the
	// rest: it could never run otherwise.
	if need <= 0 || have < min(need, fullPool*p.limit(team)) {
		return 0
	}
	given := max(need, min(have, n))
	p.levels[team] = have - given
	return given
}

// fullPool is the part of its bound at which a pool counts as full.
const fullPool = 0.95

// Reset drops all tokens.
func (p *Pool) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.levels)
}
