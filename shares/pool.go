package shares

import (
	"errors"
	"maps"
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
)

// Pool holds the tokens that VMs can spare. Every VM has one, and keeps it for those that
// choose it; a new one is empty.
type Pool struct {
	now func() time.Duration
	// lapsed reports whether this VM's own share has lapsed.
	ownShareExpired func() bool
	// intakes gives out what upstreams take that name their intake.
	upstreamLimits *upstreamLimits

	mu         sync.Mutex
	tokens     map[fleet.TeamID]Tokens
	bursts     map[fleet.TeamID]Tokens
	depositors map[fleet.VMID]depositor
	// limits are the most that the pool holds of each team's tokens, as of counted;
	// stale is set once they have to be counted anew.
	maxTokens   map[fleet.TeamID]Tokens
	recountedAt time.Duration
	stale       bool
	// open is set from the first configuration until this VM leaves, left from then on.
	open, left bool
}

// ErrClosed tells that this VM keeps no pool: it leaves, or knows no limits yet.
var ErrClosed = errors.New("this VM keeps no pool")

// depositor is a VM that has told its share lately. The other VMs keep theirs of the
// bursts themselves, or with another keeper.
type depositor struct {
	share        float64
	shareExpired bool
	expiry       time.Duration
}

// Times of a pool.
const (
	// poolLife is how long a VM counts after its last message: several of them.
	depositorTTL = 2500 * time.Millisecond
	// countEvery is how often it is looked which VMs still count.
	recountInterval = 100 * time.Millisecond
)

// Deposit is a VM's regular message to the keeper of a pool, and comes with each of its
// requests for tokens.
type Deposit struct {
	VM fleet.VMID
	// Share is the share of all rates that the VM mints, 0 while other keepers may still
	// count it.
	Share float64
	// Lapsed is set if the store has not confirmed the share lately. It counts only where
	// the keeper's own has lapsed too, for nobody is dealt it in an outage of the store.
	Lapsed bool
	// Spare are tokens that the VM gives to the pool.
	Spare map[fleet.TeamID]Tokens
	// Pool is the pool that the message is for, Bond the VM's promise to its keeper.
	Pool PoolID
	Bond Bond
}

// NewPool returns an empty pool of a VM, and lapsed tells whether the store has not
// confirmed that VM's share lately. The clock now must go on while the machine sleeps.
func NewPool(now func() time.Duration, ownShareExpired func() bool) *Pool {
	return &Pool{
		now: now, ownShareExpired: ownShareExpired, upstreamLimits: newUpstreamLimits(now, ownShareExpired), tokens: make(map[fleet.TeamID]Tokens), bursts: make(map[fleet.TeamID]Tokens),
		depositors: make(map[fleet.VMID]depositor), maxTokens: make(map[fleet.TeamID]Tokens),
	}
}

// Configure takes over the limits of a configuration.
func (p *Pool) Configure(cfg *catalogue.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.bursts)
	for _, t := range cfg.Teams {
		p.bursts[t.ID] = Tokens(t.Burst)
	}
	p.stale, p.open = true, !p.left
	p.recount()
}

// Put takes a VM's message.
func (p *Pool) Put(in Deposit) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open {
		return ErrClosed
	}
	p.apply(in)
	return nil
}

// Permit gives permits for requests at an upstream that names its intake.
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

// Close lets the pool take no more messages. What it holds can be taken out.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open, p.left = false, true
}

// empty takes out all tokens of the teams for which want holds, for another keeper.
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

func (p *Pool) apply(in Deposit) {
	p.upstreamLimits.bind(in.VM, in.Pool, in.Bond)
	before, ok := p.depositors[in.VM]
	p.depositors[in.VM] = depositor{share: in.Share, shareExpired: in.Lapsed, expiry: p.now() + depositorTTL}
	p.stale = p.stale || !ok || before.share != in.Share || before.shareExpired != in.Lapsed
	p.recount()
	for id, n := range in.Spare {
		p.tokens[id] = min(p.tokens[id]+max(n, 0), p.maxTokens[id])
	}
}

// Take takes a VM's message and gives it up to n tokens of a team, but nothing if there
// are fewer than need.
func (p *Pool) Take(in Deposit, team fleet.TeamID, need, want Tokens) (Tokens, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open {
		return 0, ErrClosed
	}
	p.apply(in)
	have := p.tokens[team]
	if need <= 0 || have < need && !p.overLimitAllowed(team, need) {
		return 0, nil
	}
	given := max(need, min(have, want))
	p.tokens[team] = have - given
	return given, nil
}

// fullPool is the part of its bound at which a pool counts as full.
const fullThreshold = 0.95

// full reports whether a request is above what the pool can ever hold, and the pool is
// full. It is given, and the pool owes the rest: it could never run otherwise.
func (p *Pool) overLimitAllowed(team fleet.TeamID, need Tokens) bool {
	limit := poolFraction * p.bursts[team]
	return limit > 0 && need > limit && p.tokens[team] >= fullThreshold*limit
}

// count works out the limits, and drops what is above them. The caller holds the lock.
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
			p.maxTokens[id] += Tokens(d.share) * splitBurst(burst, d.share, false).pool
		}
	}
	for id, n := range p.tokens {
		p.tokens[id] = min(n, p.maxTokens[id])
	}
}
