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
	lapsed func() bool
	// intakes gives out what upstreams take that name their intake.
	intakes *intakes

	mu     sync.Mutex
	levels map[fleet.TeamID]Tokens
	bursts map[fleet.TeamID]Tokens
	vms    map[fleet.VMID]depositor
	// limits are the most that the pool holds of each team's tokens, as of counted;
	// stale is set once they have to be counted anew.
	limits  map[fleet.TeamID]Tokens
	counted time.Duration
	stale   bool
	// open is set from the first configuration until this VM leaves, left from then on.
	open, left bool
}

// ErrClosed tells that this VM keeps no pool: it leaves, or knows no limits yet.
var ErrClosed = errors.New("this VM keeps no pool")

// depositor is a VM that has told its share lately. The other VMs keep theirs of the
// bursts themselves, or with another keeper.
type depositor struct {
	share  float64
	lapsed bool
	until  time.Duration
}

// Times of a pool.
const (
	// poolLife is how long a VM counts after its last message: several of them.
	poolLife = 2500 * time.Millisecond
	// countEvery is how often it is looked which VMs still count.
	countEvery = 100 * time.Millisecond
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
func NewPool(now func() time.Duration, lapsed func() bool) *Pool {
	return &Pool{
		now: now, lapsed: lapsed, intakes: newIntakes(now, lapsed), levels: make(map[fleet.TeamID]Tokens), bursts: make(map[fleet.TeamID]Tokens),
		vms: make(map[fleet.VMID]depositor), limits: make(map[fleet.TeamID]Tokens),
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
	p.count()
}

// Put takes a VM's message.
func (p *Pool) Put(in Deposit) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open {
		return ErrClosed
	}
	p.put(in)
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
	return p.intakes.take(in), nil
}

// Close lets the pool take no more messages. What it holds can be taken out.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open, p.left = false, true
}

// empty takes out all tokens of the teams for which want holds, for another keeper.
func (p *Pool) empty(want func(fleet.TeamID) bool) map[fleet.TeamID]Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[fleet.TeamID]Tokens)
	for id, n := range p.levels {
		if n > 0 && want(id) {
			out[id] = n
			delete(p.levels, id)
		}
	}
	return out
}

func (p *Pool) put(in Deposit) {
	p.intakes.bind(in.VM, in.Pool, in.Bond)
	before, ok := p.vms[in.VM]
	p.vms[in.VM] = depositor{share: in.Share, lapsed: in.Lapsed, until: p.now() + poolLife}
	p.stale = p.stale || !ok || before.share != in.Share || before.lapsed != in.Lapsed
	p.count()
	for id, n := range in.Spare {
		p.levels[id] = min(p.levels[id]+max(n, 0), p.limits[id])
	}
}

// Take takes a VM's message and gives it up to n tokens of a team, but nothing if there
// are fewer than need.
func (p *Pool) Take(in Deposit, team fleet.TeamID, need, n Tokens) (Tokens, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open {
		return 0, ErrClosed
	}
	p.put(in)
	have := p.levels[team]
	if need <= 0 || have < need && !p.full(team, need) {
		return 0, nil
	}
	given := max(need, min(have, n))
	p.levels[team] = have - given
	return given, nil
}

// fullPool is the part of its bound at which a pool counts as full.
const fullPool = 0.95

// full reports whether a request is above what the pool can ever hold, and the pool is
// full. It is given, and the pool owes the rest: it could never run otherwise.
func (p *Pool) full(team fleet.TeamID, need Tokens) bool {
	most := poolBurst * p.bursts[team]
	return most > 0 && need > most && p.levels[team] >= fullPool*most
}

// count works out the limits, and drops what is above them. The caller holds the lock.
func (p *Pool) count() {
	now := p.now()
	if !p.stale && now-p.counted < countEvery {
		return
	}
	p.stale, p.counted = false, now
	maps.DeleteFunc(p.vms, func(_ fleet.VMID, d depositor) bool { return now >= d.until })
	clear(p.limits)
	lapsed := p.lapsed()
	for _, d := range p.vms {
		if d.lapsed && !lapsed {
			continue
		}
		for id, burst := range p.bursts {
			p.limits[id] += Tokens(d.share) * partsOf(burst, d.share, false).pool
		}
	}
	for id, n := range p.levels {
		p.levels[id] = min(n, p.limits[id])
	}
}
