package ratelimit

import (
	"context"
	"slices"
	"sync"
	"time"

	"toucanfall/fleet"
	"toucanfall/roster"
)

// Permit allows one request to an upstream with an announced limit, until it expires.
type Permit struct {
	now    func() time.Duration
	expiry time.Duration
}

// Valid reports whether the permit can still be used.
func (p *Permit) Valid() bool {
	return p.now() < p.expiry
}

// PermitRequest asks for a permit for one request to an upstream with an announced limit.
// StartTime identifies the upstream's start.
type PermitRequest struct {
	Upstream  fleet.UpstreamID
	StartTime int64
	// Intake is the limit that the upstream announced Age ago, in requests per second.
	Intake roster.Intake
	Age    time.Duration
	// Cold, ColdFor and OnlyCold are as in IntakeRequest.
	Cold     roster.Intake
	ColdFor  time.Duration
	OnlyCold bool
	Claimant
}

// permitState is what this VM knows of the permits of one start of an upstream.
type permitState struct {
	// requestSlot holds an element while a request of this VM calls the pool host, so that
	// only one does at a time.
	requestSlot chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu. waiting is the number of requests that wait for a
	// permit.
	waiting int
	// spare holds the expiry times of unused permits, which came with another request's.
	spare []time.Duration
	// closedUntil is until when the pool host grants no permit. yieldingClaimant is set if the
	// next permit is reserved for requests that have precedence over it.
	closedUntil      time.Duration
	yieldingClaimant *Claimant
	// lastTeam is the team that got the last permit on this VM, rejected holds the requests
	// that got none since the last call to the pool host.
	lastTeam fleet.TeamID
	rejected []Claimant
	lastUsed time.Duration
}

// maxRejected bounds the rejected requests that are reported to the pool host.
const maxRejected = 4

// Permit returns a permit, or nil and the time after which to ask again. It waits for a
// concurrent call for the same upstream until ctx ends.
func (c *Client) Permit(ctx context.Context, r PermitRequest) (*Permit, time.Duration) {
	s := c.permitStateOf(upstreamStart{r.Upstream, r.StartTime})
	s.addWaiting(1)
	defer s.addWaiting(-1)
	if p, retryAfter, ok := s.cached(c.cfg.Now, r.Claimant); ok {
		return p, retryAfter
	}
	select {
	case s.requestSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, maxRetryAfter
	}
	defer func() { <-s.requestSlot }()
	if p, retryAfter, ok := s.cached(c.cfg.Now, r.Claimant); ok {
		return p, retryAfter
	}
	return c.requestPermits(ctx, r, s)
}

// permitStateOf returns the permit state of an upstream's start. When it adds one, it removes
// those that are idle.
func (c *Client) permitStateOf(id upstreamStart) *permitState {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.permitStates[id]
	if !ok {
		for other, old := range c.permitStates {
			if old.idle(now) {
				delete(c.permitStates, other)
			}
		}
		s = &permitState{requestSlot: make(chan struct{}, 1)}
		c.permitStates[id] = s
	}
	s.mu.Lock()
	s.lastUsed = now
	s.mu.Unlock()
	return s
}

// idle reports whether no request waits and the state has not been used for upstreamIdleTTL.
func (s *permitState) idle(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting == 0 && now-s.lastUsed > upstreamIdleTTL
}

// addWaiting adds n to the number of waiting requests.
func (s *permitState) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += n
}

// cached returns a spare permit, or how long to wait if the pool host is known to grant none
// until then. ok reports whether either is known without a call.
func (s *permitState) cached(now func() time.Duration, claimant Claimant) (p *Permit, retryAfter time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now()
	for len(s.spare) > 0 {
		expiry := s.spare[0]
		s.spare = s.spare[1:]
		if at < expiry {
			return &Permit{now: now, expiry: expiry}, 0, true
		}
	}
	if at < s.closedUntil && (s.yieldingClaimant == nil || !claimant.precedes(*s.yieldingClaimant, s.lastTeam)) {
		if len(s.rejected) < maxRejected && !slices.Contains(s.rejected, claimant) {
			s.rejected = append(s.rejected, claimant)
		}
		return nil, s.closedUntil - at, true
	}
	return nil, 0, false
}

// requestPermits calls the pool host for permits for all waiting requests of this VM, returns
// one and stores the others as spare.
func (c *Client) requestPermits(ctx context.Context, r PermitRequest, s *permitState) (*Permit, time.Duration) {
	requestedAt := c.cfg.Now()
	s.mu.Lock()
	in := IntakeRequest{
		VM: c.cfg.VM, Upstream: r.Upstream, Born: r.StartTime, Intake: r.Intake, Age: r.Age,
		Cold: r.Cold, ColdFor: r.ColdFor, OnlyCold: r.OnlyCold,
		First: r.Claimant, Want: s.waiting, Turned: s.rejected,
	}
	s.rejected = nil
	s.mu.Unlock()
	out := c.fetchPermits(ctx, in)
	s.mu.Lock()
	defer s.mu.Unlock()
	if out.Given < 1 {
		retryAfter := max(out.After, time.Millisecond)
		s.closedUntil, s.yieldingClaimant = c.cfg.Now()+retryAfter, nil
		if out.Yields {
			s.yieldingClaimant = &r.Claimant
		}
		return nil, retryAfter
	}
	s.lastTeam = r.Team
	for range out.Given - 1 {
		s.spare = append(s.spare, requestedAt+permitTTL)
	}
	return &Permit{now: c.cfg.Now, expiry: requestedAt + permitTTL}, 0
}

// unboundRetryAfter is how long to wait if no pool host grants permits now.
const unboundRetryAfter = 200 * time.Millisecond

// fetchPermits calls the pool host to which this VM is bound.
func (c *Client) fetchPermits(ctx context.Context, in IntakeRequest) (out IntakeGrant) {
	pools := c.cfg.PoolHosts()
	if len(pools) == 0 {
		return IntakeGrant{After: unboundRetryAfter}
	}
	in.Pool = PoolID{poolOf(in.Upstream, len(pools)), len(pools)}
	host, ok := c.boundHost(in.Pool)
	if !ok {
		return IntakeGrant{After: unboundRetryAfter}
	}
	if !c.call(ctx, host, "Permit", in, &out) {
		return IntakeGrant{After: unboundRetryAfter}
	}
	return out
}

// binding is this VM's binding to the host of a pool. It is guarded by Client.mu.
type binding struct {
	host PoolHost
	mark Mark
	// lastSent is when the last Bond was sent, 0 if it no longer counts. freeAt is from when
	// on one may be sent to host.
	lastSent, freeAt time.Duration
}

// newBond returns a Bond to a pool host, or an empty one while the previous host may still
// count this VM as bound.
func (c *Client) newBond(id PoolID, host PoolHost) Bond {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.bindingOf(id, now)
	if b.host.VM != host.VM {
		b.freeAt, b.mark, b.host = max(b.freeAt, b.expiry()), Mark{}, host
	}
	if now < b.freeAt {
		return Bond{}
	}
	b.lastSent = now
	share, expiry := c.cfg.Buckets.shareLease()
	return Bond{Share: share, Left: max(expiry-now, 0), Lapsed: now >= expiry, Mark: b.mark}
}

// expiry returns until when the last Bond may count, 0 if none does.
func (b *binding) expiry() time.Duration {
	if b.lastSent == 0 {
		return 0
	}
	return b.lastSent + bindingTTL
}

// bindingOf returns the binding for a pool. If the number of pools has changed, all earlier
// bindings have to expire before a new Bond is sent. The caller holds mu.
func (c *Client) bindingOf(id PoolID, now time.Duration) *binding {
	if c.poolCount != id.Of {
		for _, b := range c.bindings {
			c.oldBindingsExpiry = max(c.oldBindingsExpiry, b.expiry())
		}
		clear(c.bindings)
		c.poolCount = id.Of
	}
	b, ok := c.bindings[id.Index]
	if !ok {
		b = &binding{freeAt: max(c.oldBindingsExpiry, now)}
		c.bindings[id.Index] = b
	}
	return b
}

// recordMark stores the Mark of a pool host's answer, unless this VM is bound to another host
// now.
func (c *Client) recordMark(id PoolID, host PoolHost, m Mark) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b, ok := c.bindings[id.Index]; ok && c.poolCount == id.Of && b.host.VM == host.VM {
		b.mark = m
	}
}

// releaseHost ends all bindings to a VM that hosts no pool any more and so counts no VM as
// bound.
func (c *Client) releaseHost(host PoolHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.bindings {
		if b.host.VM == host.VM {
			b.lastSent = 0
		}
	}
	for _, hosts := range c.countingHosts {
		delete(hosts, host.VM)
	}
}

// boundHost returns the host to which this VM is bound for a pool, and whether there is one
// that is not known to be unreachable.
func (c *Client) boundHost(id PoolID) (PoolHost, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.bindings[id.Index]
	if !ok || c.poolCount != id.Of || b.lastSent == 0 {
		return PoolHost{}, false
	}
	_, unreachable := c.unreachable[b.host.VM]
	return b.host, !unreachable
}
