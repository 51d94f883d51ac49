package shares

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanfall/catalogue"
	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
	"toucanfall/timeline"
)

// ServiceName is the name of the keeper's service at peers.
const ServiceName = "Pool"

// Keeper is a VM that may keep a pool.
type PoolHost struct {
	VM      fleet.VMID
	Address string
}

// Request asks for tokens of a pool.
type Request struct {
	Deposit    Deposit
	Team       fleet.TeamID
	Need, Want Tokens
}

// Grant gives tokens.
type Grant struct {
	Given Tokens
	// Mark is the moment of the answer, for the next promise to the keeper.
	Mark Mark
}

// Service is a pool as peers call it.
type Service struct{ p *Pool }

// Service returns what peers may call.
func (p *Pool) Service() *Service {
	return &Service{p}
}

// Put takes a VM's message.
func (s *Service) Put(in Deposit, out *Grant) error {
	out.Mark = s.p.intakes.mark()
	return s.p.Put(in)
}

// Take gives tokens.
func (s *Service) Take(in Request, out *Grant) error {
	given, err := s.p.Take(in.Deposit, in.Team, in.Need, in.Want)
	out.Given, out.Mark = given, s.p.intakes.mark()
	return err
}

// Permit gives permits for requests at an upstream that names its intake.
func (s *Service) Permit(in IntakeRequest, out *IntakeGrant) error {
	grant, err := s.p.Permit(in)
	*out = grant
	return err
}

// Times of messages to keepers.
const (
	// putEvery is how often a VM sends its spare tokens: before its part of them is full,
	// and what it mints is lost.
	putEvery = 200 * time.Millisecond
	// callTimeout bounds a call: the ways between data centres take 1 to 3 ms.
	callTimeout = 150 * time.Millisecond
	// probeEvery is how often a keeper is tried again that did not answer.
	probeEvery = time.Second
	// countedFor is how long a keeper that was left may still count a VM's share.
	countedFor = poolLife + countEvery + 400*time.Millisecond
	// dryTime is how long a team is not asked for again that had nothing left.
	dryTime = 40 * time.Millisecond
)

// Caller calls peers.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	VM    fleet.VMID
	OwnPool   *Pool
	Buckets *Buckets
	Peers Caller
	// Keepers returns for each pool the VMs that may keep it, the best first. Teams are
	// spread over the pools.
	PoolHosts func() [][]PoolHost
	// Now is a clock that goes on while the machine sleeps.
	Now    func() time.Duration
	Events *timeline.Recorder
}

// Client charges teams at this VM's purse, with tokens of the pools where it has too few.
// Any VM can keep a pool: where the best one does not answer the next is asked, which
// begins with what VMs can spare. At most two keepers count a VM's share at a time.
type Client struct {
	cfg ClientConfig

	mu sync.Mutex
	// kept is who keeps each pool for this VM, shown when it last showed its share to each
	// keeper of a pool: the keeper may count it for countedFor.
	kept  map[int]PoolHost
	shown map[int]map[fleet.VMID]time.Duration
	// down are the keepers that did not answer, with the time to try them again.
	down map[fleet.VMID]time.Duration
	// answered is when a keeper answered last.
	answered time.Duration
	dry      map[fleet.TeamID]time.Duration
	// bonds are this VM's promises to keepers, by pool of as many as poolsOf. Those that were
	// made for another number of pools last until unbound.
	bonds   map[int]*bonding
	poolsOf int
	unbound time.Duration
	gates   map[intakeKey]*gate
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg: cfg, kept: make(map[int]PoolHost), shown: make(map[int]map[fleet.VMID]time.Duration), down: make(map[fleet.VMID]time.Duration), dry: make(map[fleet.TeamID]time.Duration),
		bonds: make(map[int]*bonding), gates: make(map[intakeKey]*gate),
	}
}

// Run sends spare tokens until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	loop.Every(ctx, putEvery, c.turn)
	return ctx.Err()
}

// turn sends the spare tokens to all pools at once, and tries keepers again.
func (c *Client) turn(ctx context.Context) {
	pools := c.cfg.PoolHosts()
	var calls sync.WaitGroup
	for i := range pools {
		calls.Go(func() {
			if k, counts, ok := c.keeper(pools, i); ok {
				c.put(ctx, k, c.deposit(len(pools), i, k, counts))
			}
		})
	}
	for _, k := range c.probes(pools) {
		calls.Go(func() {
			c.put(ctx, k, Deposit{VM: c.cfg.VM})
		})
	}
	calls.Wait()
	now := c.cfg.Now()
	c.mu.Lock()
	alone := c.answered == 0 || now-c.answered > countedFor
	c.mu.Unlock()
	c.cfg.Buckets.SetIsolated(alone)
}

// put sends a message to a keeper.
func (c *Client) put(ctx context.Context, k PoolHost, in Deposit) {
	var out Grant
	if c.call(ctx, k, "Put", in, &out) {
		c.bound(in.Pool, k, out.Mark)
	}
}

// deposit takes this VM's spare tokens of a pool's teams out of its purse, for a keeper. The
// share counts if counts is set. What this VM's own pool holds of these teams goes along,
// once another VM keeps them.
func (c *Client) deposit(pools, pool int, k PoolHost, counts bool) Deposit {
	of := func(t fleet.TeamID) bool { return poolOf(t, pools) == pool }
	d := Deposit{VM: c.cfg.VM, Spare: c.cfg.Buckets.TakeSpare(of)}
	if k.VM != c.cfg.VM {
		for t, n := range c.cfg.OwnPool.empty(of) {
			d.Spare[t] += n
		}
	}
	if counts {
		d.Share, d.Lapsed = c.cfg.Buckets.dealt()
	}
	d.Pool = PoolID{pool, pools}
	d.Bond = c.bond(d.Pool, k)
	return d
}

// poolOf returns the pool of a team, or of an upstream.
func poolOf[ID ~string](id ID, pools int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(pools))
}

// keeper returns who keeps a pool for this VM: the best VM that answers. It counts this
// VM's share unless two others may do so still.
func (c *Client) keeper(pools [][]PoolHost, pool int) (k PoolHost, counts, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range pools[pool] {
		if _, down := c.down[k.VM]; down {
			continue
		}
		if before, had := c.kept[pool]; had && before.VM != k.VM {
			c.cfg.Events.Record(event.KeeperChanged, timeline.Fields{"vm": string(k.VM), "before": string(before.VM)})
		}
		c.kept[pool] = k
		return k, c.show(pool, k), true
	}
	return PoolHost{}, false, false
}

// show reports whether this VM's share is shown to a keeper, and notes that it is. The caller
// holds the lock.
func (c *Client) show(pool int, k PoolHost) bool {
	now := c.cfg.Now()
	shown, ok := c.shown[pool]
	if !ok {
		shown = make(map[fleet.VMID]time.Duration)
		c.shown[pool] = shown
	}
	maps.DeleteFunc(shown, func(_ fleet.VMID, at time.Duration) bool { return now-at >= countedFor })
	if _, again := shown[k.VM]; !again && len(shown) >= poolsCount {
		return false
	}
	shown[k.VM] = now
	return true
}

// probes returns the keepers to try again.
func (c *Client) probes(pools [][]PoolHost) []PoolHost {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []PoolHost
	for _, list := range pools {
		for _, k := range list {
			if at, down := c.down[k.VM]; down && now >= at {
				c.down[k.VM] = now + probeEvery
				out = append(out, k)
			}
		}
	}
	return out
}

// call calls a keeper, and reports whether it answered.
func (c *Client) call(ctx context.Context, k PoolHost, method string, args, out any) bool {
	var err error
	if k.VM == c.cfg.VM {
		err = c.local(args, out)
	} else {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err = c.cfg.Peers.Call(limited, k.Address, ServiceName+"."+method, args, out)
	}
	if err != nil && ctx.Err() != nil {
		return false // The caller gave up.
	}
	if err != nil && err.Error() == ErrClosed.Error() {
		c.released(k)
	}
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	_, down := c.down[k.VM]
	if err == nil {
		c.answered = now
		delete(c.down, k.VM)
		return true
	}
	if !down {
		c.cfg.Events.Record(event.KeeperLost, timeline.Fields{"vm": string(k.VM), "reason": err.Error()})
		c.down[k.VM] = now + probeEvery
	}
	return false
}

func (c *Client) local(args, out any) error {
	s := c.cfg.OwnPool.Service()
	switch in := args.(type) {
	case Request:
		return s.Take(in, out.(*Grant))
	case IntakeRequest:
		return s.Permit(in, out.(*IntakeGrant))
	default:
		return s.Put(args.(Deposit), out.(*Grant))
	}
}

// Leave hands what this VM's pool holds over to the next keepers, and keeps none any more.
func (c *Client) Leave(ctx context.Context) {
	c.cfg.OwnPool.Close()
	c.mu.Lock()
	c.down[c.cfg.VM] = c.cfg.Now() + probeEvery
	c.mu.Unlock()
	c.turn(ctx)
}

// Take charges a team, with tokens of its pool where this VM has too few.
func (c *Client) Take(ctx context.Context, t *catalogue.Team, n fleet.Tokens) (time.Duration, bool) {
	need := Tokens(n)
	if need < 0 {
		return 0, false
	}
	if c.cfg.Buckets.Take(t.ID, need) {
		return 0, true
	}
	if !c.isDry(t.ID) {
		if c.fetch(ctx, t.ID, need) {
			return 0, true
		}
		c.mu.Lock()
		c.dry[t.ID] = c.cfg.Now()
		c.mu.Unlock()
	}
	return c.cfg.Buckets.RefillTime(t.ID, need), false
}

func (c *Client) isDry(t fleet.TeamID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.dry[t]
	return ok && c.cfg.Now()-at < dryTime
}

// fetch takes what a request needs from the team's pool, at another keeper where the
// first does not answer.
func (c *Client) fetch(ctx context.Context, team fleet.TeamID, need Tokens) bool {
	pools := c.cfg.PoolHosts()
	if len(pools) == 0 {
		return false
	}
	pool := poolOf(team, len(pools))
	for range pools[pool] {
		k, counts, ok := c.keeper(pools, pool)
		if !ok {
			return false
		}
		in := Request{Deposit: c.deposit(len(pools), pool, k, counts), Team: team, Need: need, Want: need + c.cfg.Buckets.FreeCapacity(team)}
		var out Grant
		if !c.call(ctx, k, "Take", in, &out) {
			continue
		}
		c.bound(in.Deposit.Pool, k, out.Mark)
		if out.Given < need {
			return false
		}
		c.cfg.Buckets.Return(team, out.Given-need)
		return true
	}
	return false
}

// Refund gives back what a request that did not run was charged.
func (c *Client) Refund(t fleet.TeamID, n fleet.Tokens) {
	c.cfg.Buckets.Return(t, Tokens(n))
}
