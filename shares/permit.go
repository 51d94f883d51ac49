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
	now   func() time.Duration
	until time.Duration
}

// Valid reports whether the permit can still be used.
func (p *Permit) Valid() bool {
	return p.now() < p.until
}

// PermitRequest is a request that is to be sent to an upstream that names its intake.
type PermitRequest struct {
	Upstream fleet.UpstreamID
	StartTime     int64
	// Intake is what the upstream named Age ago.
	Intake roster.Intake
	Age    time.Duration
	Claimant
}

// gate is this VM's side of an upstream's permits.
type gate struct {
	// turn holds a token while a request of this VM asks the keeper.
	turn chan struct{}

	mu sync.Mutex
	// waiting counts the requests that want a permit.
	waiting int
	// spare are permits that came with another request's, by when they run out.
	spare []time.Duration
	// closed is until when no permit is to be had. Kept is set if the next one is kept for
	// those that go before its claimant.
	closed time.Duration
	kept   *Claimant
	// last is the team that got the last permit here, turned are the requests that got none
	// since the keeper was asked last.
	last   fleet.TeamID
	turned []Claimant
	used   time.Duration
}

// maxTurned bounds the requests of which the keeper is told that they got no permit.
const maxTurned = 4

// Permit returns a permit, or after which time there may be one.
func (c *Client) Permit(ctx context.Context, r PermitRequest) (*Permit, time.Duration) {
	g := c.gate(intakeKey{r.Upstream, r.StartTime})
	g.wait(1)
	defer g.wait(-1)
	if p, after, ok := g.known(c.cfg.Now, r.Claimant); ok {
		return p, after
	}
	select {
	case g.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, longestAfter
	}
	defer func() { <-g.turn }()
	if p, after, ok := g.known(c.cfg.Now, r.Claimant); ok {
		return p, after
	}
	return c.ask(ctx, r, g)
}

// gate returns this VM's side of an upstream's permits, and forgets those that are not in
// use any more.
func (c *Client) gate(k intakeKey) *gate {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.gates[k]
	if !ok {
		for other, old := range c.gates {
			if old.idle(now) {
				delete(c.gates, other)
			}
		}
		g = &gate{turn: make(chan struct{}, 1)}
		c.gates[k] = g
	}
	g.mu.Lock()
	g.used = now
	g.mu.Unlock()
	return g
}

func (g *gate) idle(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting == 0 && now-g.used > intakeMemory
}

func (g *gate) wait(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting += n
}

// known returns a spare permit, or when to ask again if there is none to be had before.
func (g *gate) known(now func() time.Duration, of Claimant) (p *Permit, after time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := now()
	for len(g.spare) > 0 {
		until := g.spare[0]
		g.spare = g.spare[1:]
		if at < until {
			return &Permit{now: now, until: until}, 0, true
		}
	}
	if at < g.closed && (g.kept == nil || !of.before(*g.kept, g.last)) {
		if len(g.turned) < maxTurned && !slices.Contains(g.turned, of) {
			g.turned = append(g.turned, of)
		}
		return nil, g.closed - at, true
	}
	return nil, 0, false
}

// ask asks the keeper for permits for all requests of this VM that wait.
func (c *Client) ask(ctx context.Context, r PermitRequest, g *gate) (*Permit, time.Duration) {
	asked := c.cfg.Now()
	g.mu.Lock()
	in := IntakeRequest{
		VM: c.cfg.VM, Upstream: r.Upstream, Born: r.StartTime, Intake: r.Intake, Age: r.Age,
		First: r.Claimant, Want: g.waiting, Turned: g.turned,
	}
	g.turned = nil
	g.mu.Unlock()
	out := c.fetchPermits(ctx, in)
	g.mu.Lock()
	defer g.mu.Unlock()
	if out.Given < 1 {
		after := max(out.After, time.Millisecond)
		g.closed, g.kept = c.cfg.Now()+after, nil
		if out.Yields {
			g.kept = &r.Claimant
		}
		return nil, after
	}
	g.last = r.Team
	for range out.Given - 1 {
		g.spare = append(g.spare, asked+permitLife)
	}
	return &Permit{now: c.cfg.Now, until: asked + permitLife}, 0
}

// unboundAfter is when to ask again where no keeper gives permits now.
const unboundAfter = 200 * time.Millisecond

// fetchPermits asks the keeper to which this VM is bound.
func (c *Client) fetchPermits(ctx context.Context, in IntakeRequest) (out IntakeGrant) {
	pools := c.cfg.PoolHosts()
	if len(pools) == 0 {
		return IntakeGrant{After: unboundAfter}
	}
	in.Pool = PoolID{poolOf(in.Upstream, len(pools)), len(pools)}
	k, ok := c.boundTo(in.Pool)
	if !ok {
		return IntakeGrant{After: unboundAfter}
	}
	if !c.call(ctx, k, "Permit", in, &out) {
		return IntakeGrant{After: unboundAfter}
	}
	return out
}

// bonding is to which keeper this VM is bound for a pool.
type bonding struct {
	to   PoolHost
	mark Mark
	// promised is when the last promise was sent, free from when on one may be sent to the
	// keeper.
	promised, free time.Duration
}

// bond returns this VM's promise to a keeper, an empty one while the keeper before may count
// this VM still.
func (c *Client) bond(id PoolID, k PoolHost) Bond {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.bondOf(id, now)
	if b.to.VM != k.VM {
		b.free, b.mark, b.to = max(b.free, b.lasts()), Mark{}, k
	}
	if now < b.free {
		return Bond{}
	}
	b.promised = now
	share, until := c.cfg.Buckets.lease()
	return Bond{Share: share, Left: max(until-now, 0), Lapsed: now >= until, Mark: b.mark}
}

// lasts returns until when the last promise may count.
func (b *bonding) lasts() time.Duration {
	if b.promised == 0 {
		return 0
	}
	return b.promised + bondLife
}

// bondOf returns the bonding for a pool. When the fleet has another number of pools, all
// promises that were made before have to run out. The caller holds the lock.
func (c *Client) bondOf(id PoolID, now time.Duration) *bonding {
	if c.poolsOf != id.Of {
		for _, b := range c.bonds {
			c.unbound = max(c.unbound, b.lasts())
		}
		clear(c.bonds)
		c.poolsOf = id.Of
	}
	b, ok := c.bonds[id.Index]
	if !ok {
		b = &bonding{free: max(c.unbound, now)}
		c.bonds[id.Index] = b
	}
	return b
}

// bound takes over the mark of a keeper's answer.
func (c *Client) bound(id PoolID, k PoolHost, m Mark) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b, ok := c.bonds[id.Index]; ok && c.poolsOf == id.Of && b.to.VM == k.VM {
		b.mark = m
	}
}

// released tells that a keeper keeps no pool any more, so that it counts nobody.
func (c *Client) released(k PoolHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.bonds {
		if b.to.VM == k.VM {
			b.promised = 0
		}
	}
	for _, shown := range c.shown {
		delete(shown, k.VM)
	}
}

// boundTo returns the keeper to which this VM is bound for a pool, unless it does not answer.
func (c *Client) boundTo(id PoolID) (PoolHost, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.bonds[id.Index]
	if !ok || c.poolsOf != id.Of || b.promised == 0 {
		return PoolHost{}, false
	}
	_, down := c.down[b.to.VM]
	return b.to, !down
}
