package ratelimit

import (
	"errors"
	"maps"
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
)

// Pool holds the spare tokens of VMs. Every VM has a Pool and hosts it for the VMs that choose
// it; a new one is empty. A Pool is safe for concurrent use.
type Pool struct {
	now func() time.Duration
	// ownShareExpired reports whether this VM's own share has expired.
	ownShareExpired func() bool
	// upstreamLimits grants permits for upstreams with an announced limit. It has its own
	// lock.
	upstreamLimits *upstreamLimits
	// retries is the limit of each service's retries.
	retries RetryLimit

	mu sync.Mutex
	// The fields below are guarded by mu. tokens holds the pool's tokens of each team, bursts
	// the teams' bursts.
	tokens map[fleet.TeamID]Tokens
	bursts map[fleet.TeamID]Tokens
	// earned holds what requests have earned for retry accounts, beside the pool's tokens.
	earned     map[fleet.TeamID]*earnings
	depositors map[fleet.VMID]depositor
	// maxTokens holds the bound on each team's tokens, as computed at recountedAt. stale is
	// set if it has to be computed again.
	maxTokens   map[fleet.TeamID]Tokens
	recountedAt time.Duration
	stale       bool
	// open is set from the first configuration until this VM leaves, left is set from then on.
	open, left bool
}

// ErrClosed is returned by a VM that hosts no pool, because it is leaving or has no
// configuration yet.
var ErrClosed = errors.New("this VM keeps no pool")

// depositor is a VM that has sent a deposit within depositorTTL. The other VMs keep their
// parts of the bursts themselves, or have them with another pool host.
type depositor struct {
	share        float64
	shareExpired bool
	expiry       time.Duration
}

// Times of a Pool.
const (
	// depositorTTL is how long a VM's share counts after its last message; several messages
	// are sent in that time.
	depositorTTL = 2500 * time.Millisecond
	// recountInterval is how often expired depositors are removed.
	recountInterval = 100 * time.Millisecond
)

// Deposit is a VM's regular message to the host of a pool. It also comes with each request for
// tokens.
type Deposit struct {
	VM fleet.VMID
	// Share is the VM's share of all rates, or 0 while other pool hosts may still count it.
	Share float64
	// Lapsed is set if the store has not confirmed the share recently. Such a share counts
	// only if the pool host's own share has expired too: during an outage of the store no
	// other VM can have been assigned it.
	Lapsed bool
	// Spare holds the tokens that the VM gives to the pool.
	Spare map[fleet.TeamID]Tokens
	// Earned holds the tokens that requests have recently earned for retry accounts. Earlier versions
	// ignore it.
	Earned map[fleet.TeamID]Tokens
	// Pool names the pool that the message is for. Bond binds the VM to its host.
	Pool PoolID
	Bond Bond
}

// NewPool returns an empty pool that is closed until Configure is called. The clock now must also
// count suspended time. ownShareExpired reports whether the store has not confirmed the share of
// this VM recently. The retries of each service are bounded by the given limit.
func NewPool(now func() time.Duration, ownShareExpired func() bool, retries RetryLimit) *Pool {
	return &Pool{
		now: now, ownShareExpired: ownShareExpired, retries: retries, upstreamLimits: newUpstreamLimits(now, ownShareExpired), tokens: make(map[fleet.TeamID]Tokens), bursts: make(map[fleet.TeamID]Tokens), earned: make(map[fleet.TeamID]*earnings),
		depositors: make(map[fleet.VMID]depositor), maxTokens: make(map[fleet.TeamID]Tokens),
	}
}

// Configure applies the limits of a configuration, and opens the pool unless it was closed by
// Close.
func (p *Pool) Configure(cfg *catalogue.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.bursts)
	limits := p.retries.accounts(cfg)
	for id, limit := range limits {
		p.bursts[id] = limit.burst
	}
	p.configureEarned(limits)
	p.stale, p.open = true, !p.left
	p.recount()
}

// Put applies a VM's deposit. It returns ErrClosed if this VM hosts no pool.
func (p *Pool) Put(in Deposit) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open {
		return ErrClosed
	}
	p.apply(in)
	return nil
}

// Permit grants permits for requests to an upstream with an announced limit. It returns
// ErrClosed if this VM hosts no pool, and another error if the request is invalid.
func (p *Pool) Permit(in IntakeRequest) (IntakeGrant, error) {
	if err := in.Check(); err != nil {
		return IntakeGrant{}, err
	}
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	if !open {
		return IntakeGrant{}, ErrClosed
	}
	return p.upstreamLimits.grant(in), nil
}

// Close makes the pool refuse all further messages. Its tokens can still be taken out by
// takeAll.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open, p.left = false, true
}

// takeAll removes and returns all tokens of the teams that match selects, to be moved to
// another pool host.
func (p *Pool) takeAll(match func(fleet.TeamID) bool) map[fleet.TeamID]Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[fleet.TeamID]Tokens)
	for id, n := range p.tokens {
		if n > 0 && match(id) {
			out[id] = n
			delete(p.tokens, id)
		}
	}
	return out
}

// apply applies a deposit: it records the VM's binding and share, and adds its spare tokens up to
// the bounds. The caller holds mu.
func (p *Pool) apply(in Deposit) {
	p.upstreamLimits.bind(in.VM, in.Pool, in.Bond)
	before, ok := p.depositors[in.VM]
	p.depositors[in.VM] = depositor{share: in.Share, shareExpired: in.Lapsed, expiry: p.now() + depositorTTL}
	p.stale = p.stale || !ok || before.share != in.Share || before.shareExpired != in.Lapsed
	p.recount()
	for id, n := range in.Spare {
		p.tokens[id] = min(p.tokens[id]+max(n, 0), p.maxTokens[id])
	}
	p.addEarned(in.Earned)
}

// Take applies a VM's deposit, then removes and returns up to want tokens of a team, or none
// if the pool has fewer than need. If need is more than the pool can ever hold, a full pool
// returns need tokens and goes into debt. Take returns ErrClosed if this VM hosts no pool.
func (p *Pool) Take(in Deposit, team fleet.TeamID, need, want Tokens) (Tokens, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open {
		return 0, ErrClosed
	}
	p.apply(in)
	have := p.tokens[team] + p.earnedSum(team)
	if need <= 0 || have < need && !p.overLimitAllowed(team, need) {
		return 0, nil
	}
	given := max(need, min(have, want))
	p.tokens[team] -= given - p.takeEarned(team, given)
	return given, nil
}

// fullThreshold is the fraction of its bound at which a pool counts as full.
const fullThreshold = 0.95

// overLimitAllowed reports whether a request for more tokens than the pool can ever hold is to
// be granted, which it is once the pool is full. The pool goes into debt for the rest;
// otherwise such a request could never run. Pools do not lend retries. The caller holds mu.
func (p *Pool) overLimitAllowed(team fleet.TeamID, need Tokens) bool {
	if isRetryAccount(team) {
		return false
	}
	limit := poolFraction * p.bursts[team]
	return limit > 0 && need > limit && p.tokens[team] >= fullThreshold*limit
}

// recount computes maxTokens if it is stale or recountInterval has passed, and drops tokens
// above it. The caller holds mu.
func (p *Pool) recount() {
	now := p.now()
	if !p.stale && now-p.recountedAt < recountInterval {
		return
	}
	p.stale, p.recountedAt = false, now
	maps.DeleteFunc(p.depositors, func(_ fleet.VMID, d depositor) bool { return now >= d.expiry })
	clear(p.maxTokens)
	ownExpired := p.ownShareExpired()
	for _, d := range p.depositors {
		if d.shareExpired && !ownExpired {
			continue
		}
		for id, burst := range p.bursts {
			p.maxTokens[id] += Tokens(d.share) * split(id, burst, d.share, false).pool
		}
	}
	for id, n := range p.tokens {
		p.tokens[id] = min(n, p.maxTokens[id])
	}
}
