// Package shares holds teams to their limits over all VMs.
//
// Every unit of a team's rate is minted by one VM: the store deals equal parts
// of all rates to the VMs of the fleet, and a VM mints what its parts allow for
// as long as the store has confirmed them lately. What a VM does not need goes
// to a pool that another VM keeps, and a VM that is short takes from the pool.
// Tokens are debited where they come from before they are sent, so a lost message
// loses tokens and never doubles them.
package shares

import (
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
)

// Tokens is an amount of tokens, or of requests where a team's limit counts
// these.
type Tokens float64

// split tells where the tokens of a burst may be, so that all levels together
// stay within it: a VM keeps at most its share of kept, has at most its share
// of spare on the way to a pool, and at most two pools hold its share of pool each.
type split struct{ kept, spare, pool Tokens }

// Parts of a burst.
const (
	// poolsCount is how many pools may hold a VM's share: one that it has left may count it
	// for a time yet.
	poolsCount = 2
	// nearShare is the share from which VMs keep keptBurst, if that does for whole requests.
	nearShare = 1.0 / 16
	keptBurst = 0.15
	// wholeRequest is about twice the tokens of a usual request by the sheets.
	wholeRequest = 1700
	// spareBurst is what is on the way to a pool: what is minted between two messages, each
	// 0.2 s, where a burst is a second's rate.
	spareBurst = 0.25
	// farShare is the share below which a pool holds farBurst, for nothing is kept, in place
	// of poolBurst. It is below nearShare, so that a share that grows slowly is kept of only
	// once pools hold less.
	farShare  = 1.0 / 20
	farBurst  = 0.37
	poolBurst = 0.3
)

// partsOf returns the parts of a burst for a VM with a share. A VM that is alone keeps its
// whole share, as no pool holds any of it then.
func partsOf(burst Tokens, share float64, alone bool) split {
	out := split{spare: spareBurst * burst, pool: poolBurst * burst}
	switch kept := keptBurst * burst; {
	case alone:
		return split{kept: burst}
	case share < farShare:
		out.pool = farBurst * burst
	case share >= nearShare && Tokens(share)*kept >= wholeRequest:
		out.kept = kept
	}
	return out
}

// Purse holds this VM's tokens of each team. It is safe for concurrent use.
type Buckets struct {
	now func() time.Duration

	mu sync.Mutex
	// share is the part of each rate that this VM mints until the time until.
	share float64
	until time.Duration
	// since is from when on it has minted that share.
	since  time.Duration
	levels map[fleet.TeamID]*level
	// configured is set once the first limits were known.
	configured bool
	// alone is set while no keeper answers, so that there is no pool.
	alone bool
}

// level is the state of one team.
type level struct {
	rate, burst Tokens
	have        Tokens
	// spare is above what this VM keeps, and goes to the pool.
	spare  Tokens
	minted time.Duration
}

// NewPurse returns a purse that mints nothing. The clock now must go on while
// the machine sleeps.
func NewBuckets(now func() time.Duration) *Buckets {
	return &Buckets{now: now, levels: make(map[fleet.TeamID]*level)}
}

// Configure takes over the limits of a configuration. Levels above a lowered
// limit are cut.
func (p *Buckets) Configure(cfg *catalogue.Config) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[fleet.TeamID]*level, len(cfg.Teams))
	began := now
	if !p.configured && p.share > 0 {
		began = p.since // What was minted before the first limits were known counts.
	}
	p.configured = true
	for _, t := range cfg.Teams {
		l, ok := p.levels[t.ID]
		if ok {
			p.mint(l, now)
		} else {
			l = &level{minted: began}
		}
		l.rate, l.burst = Tokens(t.Rate), Tokens(t.Burst)
		p.mint(l, now)
		p.cap(l)
		next[t.ID] = l
	}
	p.levels = next
}

// SetShare takes over this VM's share of all rates, which it mints until a
// time.
func (p *Buckets) SetShare(share float64, until time.Duration) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.levels {
		p.mint(l, now)
	}
	if share != p.share || now >= p.until {
		p.since = now
	}
	p.share, p.until = share, until
	for _, l := range p.levels {
		p.cap(l)
	}
}

// SetAlone tells whether no keeper answers.
func (p *Buckets) SetIsolated(alone bool) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.levels {
		p.mint(l, now)
	}
	p.alone = alone
	for _, l := range p.levels {
		p.cap(l)
	}
}

// Share returns the share of the rates that this VM mints now.
func (p *Buckets) Share() float64 {
	share, lapsed := p.dealt()
	if lapsed {
		return 0
	}
	return share
}

// Lapsed reports whether the store has not confirmed this VM's share lately. The VM mints
// nothing then.
func (p *Buckets) ShareExpired() bool {
	_, lapsed := p.dealt()
	return lapsed
}

// dealt returns the share that this VM was dealt last, and whether it has lapsed.
func (p *Buckets) dealt() (share float64, lapsed bool) {
	share, until := p.lease()
	return share, p.now() >= until
}

// lease returns the share that this VM was dealt last, and until when it mints it.
func (p *Buckets) lease() (share float64, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.share, p.until
}

// Room returns how many more tokens of a team this VM can keep.
func (p *Buckets) FreeCapacity(team fleet.TeamID) Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.levels[team]
	if !ok {
		return 0
	}
	p.mint(l, p.now())
	return max(Tokens(p.share)*partsOf(l.burst, p.share, p.alone).kept-l.have, 0)
}

// mint adds what was minted since the last time. The caller holds the lock.
func (p *Buckets) mint(l *level, now time.Duration) {
	if d := min(now, p.until) - l.minted; d > 0 {
		l.have += Tokens(d.Seconds()*p.share) * l.rate
		p.cap(l)
	}
	l.minted = now
}

// cap moves what is above this VM's part of the burst to the spare tokens, and
// drops what is above the share of it there.
func (p *Buckets) cap(l *level) {
	share, parts := Tokens(p.share), partsOf(l.burst, p.share, p.alone)
	if over := l.have - share*parts.kept; over > 0 {
		l.have -= over
		l.spare += over
	}
	l.spare = min(l.spare, share*parts.spare)
}

// Take takes n tokens of a team, and reports whether they were there.
func (p *Buckets) Take(team fleet.TeamID, n Tokens) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.levels[team]
	if !ok || n < 0 {
		return false
	}
	p.mint(l, p.now())
	if l.have+l.spare < n {
		return false
	}
	fromSpare := min(l.spare, n)
	l.spare -= fromSpare
	l.have -= n - fromSpare
	return true
}

// Put gives tokens back that were taken, or that came from the pool.
func (p *Buckets) Return(team fleet.TeamID, n Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.levels[team]; ok {
		l.have += n
		p.cap(l)
	}
}

// Spare takes out the spare tokens of the teams for which want holds, for the pool.
func (p *Buckets) TakeSpare(want func(fleet.TeamID) bool) map[fleet.TeamID]Tokens {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[fleet.TeamID]Tokens)
	for id, l := range p.levels {
		if !want(id) {
			continue
		}
		p.mint(l, now)
		if l.spare > 0 {
			out[id] = l.spare
			l.spare = 0
		}
	}
	return out
}

// Wait returns how long the fleet takes to mint n tokens of a team.
func (p *Buckets) RefillTime(team fleet.TeamID, n Tokens) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.levels[team]
	if !ok || l.rate <= 0 {
		return time.Second
	}
	return time.Duration(float64(n/l.rate) * float64(time.Second))
}
