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
type burstSplit struct{ kept, spare, pool Tokens }

// Parts of a burst.
const (
	// poolsCount is how many pools may hold a VM's share: one that it has left may count it
	// for a time yet.
	maxCountingHosts = 2
	// nearShare is the share from which VMs keep keptBurst, if that does for whole requests.
	minKeepingShare = 1.0 / 16
	keptFraction    = 0.15
	// wholeRequest is about twice the tokens of a usual request by the sheets.
	minKeptTokens = 1700
	// spareBurst is what is on the way to a pool: what is minted between two messages, each
	// 0.2 s, where a burst is a second's rate.
	spareFraction = 0.25
	// farShare is the share below which a pool holds farBurst, for nothing is kept, in place
	// of poolBurst. It is below nearShare, so that a share that grows slowly is kept of only
	// once pools hold less.
	smallShare             = 1.0 / 20
	smallSharePoolFraction = 0.37
	poolFraction           = 0.3
)

// partsOf returns the parts of a burst for a VM with a share. A VM that is alone keeps its
// whole share, as no pool holds any of it then.
func splitBurst(burst Tokens, share float64, isolated bool) burstSplit {
	out := burstSplit{spare: spareFraction * burst, pool: poolFraction * burst}
	switch kept := keptFraction * burst; {
	case isolated:
		return burstSplit{kept: burst}
	case share < smallShare:
		out.pool = smallSharePoolFraction * burst
	case share >= minKeepingShare && Tokens(share)*kept >= minKeptTokens:
		out.kept = kept
	}
	return out
}

// Purse holds this VM's tokens of each team. It is safe for concurrent use.
type Purse struct {
	now func() time.Duration

	mu sync.Mutex
	// share is the part of each rate that this VM mints until the time until.
	share       float64
	shareExpiry time.Duration
	// since is from when on it has minted that share.
	accruesFrom time.Duration
	buckets     map[fleet.TeamID]*bucket
	// configured is set once the first limits were known.
	configured bool
	// alone is set while no keeper answers, so that there is no pool.
	isolated bool
}

// level is the state of one team.
type bucket struct {
	rate, burst Tokens
	kept        Tokens
	// spare is above what this VM keeps, and goes to the pool.
	spare      Tokens
	refilledAt time.Duration
}

// NewPurse returns a purse that mints nothing. The clock now must go on while
// the machine sleeps.
func NewPurse(now func() time.Duration) *Purse {
	return &Purse{now: now, buckets: make(map[fleet.TeamID]*bucket)}
}

// Configure takes over the limits of a configuration. Levels above a lowered
// limit are cut.
func (p *Purse) Configure(cfg *catalogue.Config) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[fleet.TeamID]*bucket, len(cfg.Teams))
	accruesFrom := now
	if !p.configured && p.share > 0 {
		accruesFrom = p.accruesFrom // What was minted before the first limits were known counts.
	}
	p.configured = true
	for _, t := range cfg.Teams {
		b, ok := p.buckets[t.ID]
		if ok {
			p.refill(b, now)
		} else {
			b = &bucket{refilledAt: accruesFrom}
		}
		b.rate, b.burst = Tokens(t.Rate), Tokens(t.Burst)
		p.refill(b, now)
		p.clamp(b)
		next[t.ID] = b
	}
	p.buckets = next
}

// SetShare takes over this VM's share of all rates, which it mints until a
// time.
func (p *Purse) SetShare(share float64, expiry time.Duration) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.buckets {
		p.refill(b, now)
	}
	if share != p.share || now >= p.shareExpiry {
		p.accruesFrom = now
	}
	p.share, p.shareExpiry = share, expiry
	for _, b := range p.buckets {
		p.clamp(b)
	}
}

// SetAlone tells whether no keeper answers.
func (p *Purse) SetAlone(isolated bool) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.buckets {
		p.refill(b, now)
	}
	p.isolated = isolated
	for _, b := range p.buckets {
		p.clamp(b)
	}
}

// Share returns the share of the rates that this VM mints now.
func (p *Purse) Share() float64 {
	share, expired := p.lastShare()
	if expired {
		return 0
	}
	return share
}

// Lapsed reports whether the store has not confirmed this VM's share lately. The VM mints
// nothing then.
func (p *Purse) Lapsed() bool {
	_, expired := p.lastShare()
	return expired
}

// dealt returns the share that this VM was dealt last, and whether it has lapsed.
func (p *Purse) lastShare() (share float64, expired bool) {
	share, expiry := p.shareLease()
	return share, p.now() >= expiry
}

// lease returns the share that this VM was dealt last, and until when it mints it.
func (p *Purse) shareLease() (share float64, expiry time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.share, p.shareExpiry
}

// Room returns how many more tokens of a team this VM can keep.
func (p *Purse) Room(team fleet.TeamID) Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.buckets[team]
	if !ok {
		return 0
	}
	p.refill(b, p.now())
	return max(Tokens(p.share)*splitBurst(b.burst, p.share, p.isolated).kept-b.kept, 0)
}

// mint adds what was minted since the last time. The caller holds the lock.
func (p *Purse) refill(b *bucket, now time.Duration) {
	if accruing := min(now, p.shareExpiry) - b.refilledAt; accruing > 0 {
		b.kept += Tokens(accruing.Seconds()*p.share) * b.rate
		p.clamp(b)
	}
	b.refilledAt = now
}

// cap moves what is above this VM's part of the burst to the spare tokens, and
// drops what is above the share of it there.
func (p *Purse) clamp(b *bucket) {
	share, fractions := Tokens(p.share), splitBurst(b.burst, p.share, p.isolated)
	if excess := b.kept - share*fractions.kept; excess > 0 {
		b.kept -= excess
		b.spare += excess
	}
	b.spare = min(b.spare, share*fractions.spare)
}

// Take takes n tokens of a team, and reports whether they were there.
func (p *Purse) Take(team fleet.TeamID, n Tokens) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.buckets[team]
	if !ok || n < 0 {
		return false
	}
	p.refill(b, p.now())
	if b.kept+b.spare < n {
		return false
	}
	fromSpare := min(b.spare, n)
	b.spare -= fromSpare
	b.kept -= n - fromSpare
	return true
}

// Put gives tokens back that were taken, or that came from the pool.
func (p *Purse) Put(team fleet.TeamID, n Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, ok := p.buckets[team]; ok {
		b.kept += n
		p.clamp(b)
	}
}

// Spare takes out the spare tokens of the teams for which want holds, for the pool.
func (p *Purse) Spare(match func(fleet.TeamID) bool) map[fleet.TeamID]Tokens {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[fleet.TeamID]Tokens)
	for id, b := range p.buckets {
		if !match(id) {
			continue
		}
		p.refill(b, now)
		if b.spare > 0 {
			out[id] = b.spare
			b.spare = 0
		}
	}
	return out
}

// Wait returns how long the fleet takes to mint n tokens of a team.
func (p *Purse) Wait(team fleet.TeamID, n Tokens) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.buckets[team]
	if !ok || b.rate <= 0 {
		return time.Second
	}
	return time.Duration(float64(n/b.rate) * float64(time.Second))
}
