// Package ratelimit enforces rate limits of teams across all VMs, bounds the retries of each service
// over all VMs, and hands out permits for upstreams that announce a request rate limit.
//
// Each VM refills its own token buckets with its share of every team's rate. The store assigns
// equal partitions of all rates to the VMs, and a VM refills for as long as the store has
// recently confirmed its partitions. Tokens that a VM does not need go to a pool, which
// another VM hosts, and a VM that runs short takes tokens from the pool. Tokens are debited at
// their source before they are sent, so a lost message loses tokens but never duplicates them.
package ratelimit

import (
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
)

// Tokens is a number of tokens, or of requests for teams whose limit counts requests.
type Tokens float64

// burstSplit divides a burst among the places where its tokens may be, so that all of them
// together stay within the burst. A VM keeps at most its share of kept and has at most its
// share of spare in transit to a pool. At most maxCountingHosts pools hold its share of pool
// each.
type burstSplit struct{ kept, spare, pool Tokens }

// Fractions of a burst, and the shares from which they apply.
const (
	// maxCountingHosts is how many pool hosts may count a VM's share: the current one and a
	// former one that has not forgotten the VM yet.
	maxCountingHosts = 2
	// minKeepingShare is the smallest share at which a VM keeps keptFraction of its share of
	// the burst, provided that this is at least minKeptTokens and so covers whole requests.
	minKeepingShare = 1.0 / 16
	keptFraction    = 0.15
	// minKeptTokens is about twice the tokens of a typical request according to the capacity
	// documentation.
	minKeptTokens = 1700
	// spareFraction covers what accrues between two deposits, which are 0.2 s apart, where a
	// burst is one second's rate.
	spareFraction = 0.25
	// smallShare is the share below which a pool holds smallSharePoolFraction instead of
	// poolFraction, since such VMs keep no tokens. It is below minKeepingShare so that a VM
	// whose share grows slowly starts to keep tokens only after pools have reduced what they
	// hold for it.
	smallShare             = 1.0 / 20
	smallSharePoolFraction = 0.37
	poolFraction           = 0.3
)

// splitBurst returns the split of a burst for a VM with the given share. An isolated VM keeps
// its whole share, because no pool holds any of it.
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

// Buckets holds this VM's token buckets, one for each team and one for the retries of each service. It
// is safe for concurrent use.
type Buckets struct {
	now     func() time.Duration
	retries RetryLimit

	mu sync.Mutex
	// The fields below are guarded by mu. share is the fraction of each team's rate that this
	// VM refills with, until shareExpiry on the clock now.
	share       float64
	shareExpiry time.Duration
	// accruesFrom is when this VM began to accrue tokens at the current share.
	accruesFrom time.Duration
	buckets     map[fleet.TeamID]*bucket
	// configured is set once Configure has been called.
	configured bool
	// isolated is set while no pool host answers, so that there is no pool.
	isolated bool
}

// bucket is the token bucket of one account. It is guarded by Buckets.mu.
type bucket struct {
	id fleet.TeamID
	// rate is in tokens per second.
	rate, burst Tokens
	// kept holds the tokens that this VM keeps, spare those beyond, which go to the pool.
	kept       Tokens
	spare      Tokens
	refilledAt time.Duration
	// earned holds the tokens that requests have earned; nil for teams.
	earned *earnings
}

// NewBuckets returns a Buckets without accounts and with a share of 0. The clock now must also
// count suspended time. The retries of each service are bounded by the given limit.
func NewBuckets(now func() time.Duration, retries RetryLimit) *Buckets {
	return &Buckets{now: now, retries: retries, buckets: make(map[fleet.TeamID]*bucket)}
}

// Configure applies the teams, services and limits of a configuration. Tokens above a lowered burst
// are dropped.
func (p *Buckets) Configure(cfg *catalogue.Config) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	limits := p.retries.accounts(cfg)
	next := make(map[fleet.TeamID]*bucket, len(limits))
	accruesFrom := now
	if !p.configured && p.share > 0 {
		accruesFrom = p.accruesFrom // Include what accrued before the first limits were known.
	}
	p.configured = true
	for id, limit := range limits {
		b, ok := p.buckets[id]
		if ok {
			p.refill(b, now)
		} else {
			b = p.newBucket(id, accruesFrom)
		}
		b.rate, b.burst = limit.rate, limit.burst
		p.refill(b, now)
		p.clamp(b)
		next[id] = b
	}
	p.buckets = next
}

// newBucket returns an empty bucket that accrues tokens from a time on.
func (p *Buckets) newBucket(id fleet.TeamID, accruesFrom time.Duration) *bucket {
	b := &bucket{id: id, refilledAt: accruesFrom}
	if isRetryAccount(id) {
		b.earned = p.retries.newEarnings(unusableTokens)
	}
	return b
}

// SetShare sets this VM's share of all rates, between 0 and 1, and when it expires on the
// clock given to NewBuckets.
func (p *Buckets) SetShare(share float64, expiry time.Duration) {
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

// SetIsolated sets whether this VM is isolated: no pool host answers. While none does, this VM
// keeps its whole share of each burst.
func (p *Buckets) SetIsolated(isolated bool) {
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

// Share returns this VM's current share of all rates, 0 if it has expired.
func (p *Buckets) Share() float64 {
	share, expired := p.lastShare()
	if expired {
		return 0
	}
	return share
}

// ShareExpired reports whether this VM's share has expired because the store has not confirmed
// it recently. Buckets are not refilled then.
func (p *Buckets) ShareExpired() bool {
	_, expired := p.lastShare()
	return expired
}

// lastShare returns the share that was set last, and whether it has expired.
func (p *Buckets) lastShare() (share float64, expired bool) {
	share, expiry := p.shareLease()
	return share, p.now() >= expiry
}

// shareLease returns the share that was set last, and when it expires.
func (p *Buckets) shareLease() (share float64, expiry time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.share, p.shareExpiry
}

// FreeCapacity returns how many more tokens of a team this VM can keep, 0 for an unknown team.
func (p *Buckets) FreeCapacity(team fleet.TeamID) Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.buckets[team]
	if !ok {
		return 0
	}
	p.refill(b, p.now())
	return max(Tokens(p.share)*split(b.id, b.burst, p.share, p.isolated).kept-b.kept, 0)
}

// refill adds the tokens that have accrued since the last refill. The caller holds mu.
func (p *Buckets) refill(b *bucket, now time.Duration) {
	if accruing := min(now, p.shareExpiry) - b.refilledAt; accruing > 0 {
		b.kept += Tokens(accruing.Seconds()*p.share) * b.rate
		p.clamp(b)
	}
	b.refilledAt = now
	if b.earned != nil {
		b.earned.advance(now)
	}
}

// clamp moves tokens above this VM's part of the burst to the spare tokens, and drops spare
// tokens above their bound. The caller holds mu.
func (p *Buckets) clamp(b *bucket) {
	share, fractions := Tokens(p.share), split(b.id, b.burst, p.share, p.isolated)
	if excess := b.kept - share*fractions.kept; excess > 0 {
		b.kept -= excess
		b.spare += excess
	}
	b.spare = min(b.spare, share*fractions.spare)
}

// Take removes n tokens of a team and reports whether it had that many. It removes none
// otherwise, and none for an unknown team or a negative n.
func (p *Buckets) Take(team fleet.TeamID, n Tokens) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.buckets[team]
	if !ok || n < 0 {
		return false
	}
	p.refill(b, p.now())
	if b.available() < n {
		return false
	}
	if b.earned != nil {
		n -= b.earned.take(n)
	}
	fromSpare := min(b.spare, n)
	b.spare -= fromSpare
	b.kept -= n - fromSpare
	return true
}

// available returns the number of tokens in the bucket.
func (b *bucket) available() Tokens {
	if b.earned == nil {
		return b.kept + b.spare
	}
	return b.kept + b.spare + b.earned.sum()
}

// Return puts back tokens that were taken before, or adds tokens that came from the pool. It
// ignores unknown teams.
func (p *Buckets) Return(team fleet.TeamID, n Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, ok := p.buckets[team]; ok {
		b.kept += n
		p.clamp(b)
	}
}

// TakeSpare removes and returns the spare tokens of the teams that match selects, to be sent
// to the pool.
func (p *Buckets) TakeSpare(match func(fleet.TeamID) bool) map[fleet.TeamID]Tokens {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[fleet.TeamID]Tokens)
	for id, b := range p.buckets {
		if !match(id) {
			continue
		}
		p.refill(b, now)
		if n := b.takeSpare(); n > 0 {
			out[id] = n
		}
	}
	return out
}

// takeSpare removes the tokens that are for the pool, and returns their number.
func (b *bucket) takeSpare() Tokens {
	n := b.spare
	b.spare = 0
	if b.earned != nil {
		n = shorten(n + b.earned.takeSlots(ownSlots, earningSlots))
	}
	return n
}

// RefillTime returns how long all VMs together take to accrue n tokens of a team, or one
// second if the team is unknown or its rate is 0.
func (p *Buckets) RefillTime(team fleet.TeamID, n Tokens) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.buckets[team]
	if !ok || b.rate <= 0 {
		return time.Second
	}
	return time.Duration(float64(n/b.rate) * float64(time.Second))
}
