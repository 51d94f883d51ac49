package shares

import (
	"context"
	"slices"
	"sync"
	"time"

	"toucanfall/fleet"
	"toucanfall/roster"
)

// Permit allows one request at an upstream that names its intake.
type Permit struct {
	now    func() time.Duration
	expiry time.Duration
}

// Valid reports whether the permit can still be used.
func (p *Permit) Valid() bool {
	return p.now() < p.expiry
}

// PermitRequest is a request that is to be sent to an upstream that names its intake.
type PermitRequest struct {
	Upstream fleet.UpstreamID
	Born     int64
	// Intake is what the upstream named Age ago.
	Intake roster.Intake
	Age    time.Duration
	Claimant
}

// gate is this VM's side of an upstream's permits.
type permitState struct {
	// turn holds a token while a request of this VM asks the keeper.
	requestSlot chan struct{}

	mu sync.Mutex
	// waiting counts the requests that want a permit.
	waiting int
	// spare are permits that came with another request's, by when they run out.
	spare []time.Duration
	// closed is until when no permit is to be had. Kept is set if the next one is kept for
	// those that go before its claimant.
	closedUntil time.Duration
	reservedFor *Claimant
	// last is the team that got the last permit here, turned are the requests that got none
	// since the keeper was asked last.
	lastTeam fleet.TeamID
	rejected []Claimant
	lastUsed time.Duration
}

// maxTurned bounds the requests of which the keeper is told that they got no permit.
const maxRejected = 4

// Permit returns a permit, or after which time there may be one.
func (c *Client) Permit(ctx context.Context, r PermitRequest) (*Permit, time.Duration) {
	s := c.permitStateOf(upstreamStart{r.Upstream, r.Born})
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

// gate returns this VM's side of an upstream's permits, and forgets those that are not in
// use any more.
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

func (s *permitState) idle(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting == 0 && now-s.lastUsed > upstreamIdleTTL
}

func (s *permitState) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += n
}

// known returns a spare permit, or when to ask again if there is none to be had before.
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
	if at < s.closedUntil && (s.reservedFor == nil || !claimant.precedes(*s.reservedFor, s.lastTeam)) {
		if len(s.rejected) < maxRejected && !slices.Contains(s.rejected, claimant) {
			s.rejected = append(s.rejected, claimant)
		}
		return nil, s.closedUntil - at, true
	}
	return nil, 0, false
}

// ask asks the keeper for permits for all requests of this VM that wait.
func (c *Client) requestPermits(ctx context.Context, r PermitRequest, s *permitState) (*Permit, time.Duration) {
	requestedAt := c.cfg.Now()
	s.mu.Lock()
	in := IntakeRequest{
		VM: c.cfg.VM, Upstream: r.Upstream, Born: r.Born, Intake: r.Intake, Age: r.Age,
		First: r.Claimant, Want: s.waiting, Turned: s.rejected,
	}
	s.rejected = nil
	s.mu.Unlock()
	out := c.fetchPermits(ctx, in)
	s.mu.Lock()
	defer s.mu.Unlock()
	if out.Given < 1 {
		retryAfter := max(out.After, time.Millisecond)
		s.closedUntil, s.reservedFor = c.cfg.Now()+retryAfter, nil
		if out.Yields {
			s.reservedFor = &r.Claimant
		}
		return nil, retryAfter
	}
	s.lastTeam = r.Team
	for range out.Given - 1 {
		s.spare = append(s.spare, requestedAt+permitTTL)
	}
	return &Permit{now: c.cfg.Now, expiry: requestedAt + permitTTL}, 0
}

// unboundAfter is when to ask again where no keeper gives permits now.
const unboundRetryAfter = 200 * time.Millisecond

// fetchPermits asks the keeper to which this VM is bound.
func (c *Client) fetchPermits(ctx context.Context, in IntakeRequest) (out IntakeGrant) {
	pools := c.cfg.Keepers()
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

// bonding is to which keeper this VM is bound for a pool.
type binding struct {
	host Keeper
	mark Mark
	// promised is when the last promise was sent, free from when on one may be sent to the
	// keeper.
	lastSent, freeAt time.Duration
}

// bond returns this VM's promise to a keeper, an empty one while the keeper before may count
// this VM still.
func (c *Client) newBond(id PoolID, host Keeper) Bond {
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
	share, expiry := c.cfg.Purse.shareLease()
	return Bond{Share: share, Left: max(expiry-now, 0), Lapsed: now >= expiry, Mark: b.mark}
}

// lasts returns until when the last promise may count.
func (b *binding) expiry() time.Duration {
	if b.lastSent == 0 {
		return 0
	}
	return b.lastSent + bindingTTL
}

// bondOf returns the bonding for a pool. When the fleet has another number of pools, all
// promises that were made before have to run out. The caller holds the lock.
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

// bound takes over the mark of a keeper's answer.
func (c *Client) recordMark(id PoolID, host Keeper, m Mark) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b, ok := c.bindings[id.Index]; ok && c.poolCount == id.Of && b.host.VM == host.VM {
		b.mark = m
	}
}

// released tells that a keeper keeps no pool any more, so that it counts nobody.
func (c *Client) releaseHost(host Keeper) {
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

// boundTo returns the keeper to which this VM is bound for a pool, unless it does not answer.
func (c *Client) boundHost(id PoolID) (Keeper, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.bindings[id.Index]
	if !ok || c.poolCount != id.Of || b.lastSent == 0 {
		return Keeper{}, false
	}
	_, unreachable := c.unreachable[b.host.VM]
	return b.host, !unreachable
}
