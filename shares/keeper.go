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
type Keeper struct {
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
	out.Mark = s.p.upstreamLimits.newMark()
	return s.p.Put(in)
}

// Take gives tokens.
func (s *Service) Take(in Request, out *Grant) error {
	given, err := s.p.Take(in.Deposit, in.Team, in.Need, in.Want)
	out.Given, out.Mark = given, s.p.upstreamLimits.newMark()
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
	depositInterval = 200 * time.Millisecond
	// callTimeout bounds a call: the ways between data centres take 1 to 3 ms.
	callTimeout = 150 * time.Millisecond
	// probeEvery is how often a keeper is tried again that did not answer.
	probeInterval = time.Second
	// countedFor is how long a keeper that was left may still count a VM's share.
	shareRetention = depositorTTL + recountInterval + 400*time.Millisecond
	// dryTime is how long a team is not asked for again that had nothing left.
	emptyPoolBackoff = 40 * time.Millisecond
)

// Caller calls peers.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	VM    fleet.VMID
	Own   *Pool
	Purse *Purse
	Peers Caller
	// Keepers returns for each pool the VMs that may keep it, the best first. Teams are
	// spread over the pools.
	Keepers func() [][]Keeper
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
	currentHosts  map[int]Keeper
	countingHosts map[int]map[fleet.VMID]time.Duration
	// down are the keepers that did not answer, with the time to try them again.
	unreachable map[fleet.VMID]time.Duration
	// answered is when a keeper answered last.
	lastAnswer time.Duration
	emptyPools map[fleet.TeamID]time.Duration
	// bonds are this VM's promises to keepers, by pool of as many as poolsOf. Those that were
	// made for another number of pools last until unbound.
	bindings          map[int]*binding
	poolCount         int
	oldBindingsExpiry time.Duration
	permitStates      map[upstreamStart]*permitState
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg: cfg, currentHosts: make(map[int]Keeper), countingHosts: make(map[int]map[fleet.VMID]time.Duration), unreachable: make(map[fleet.VMID]time.Duration), emptyPools: make(map[fleet.TeamID]time.Duration),
		bindings: make(map[int]*binding), permitStates: make(map[upstreamStart]*permitState),
	}
}

// Run sends spare tokens until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	loop.Every(ctx, depositInterval, c.syncPools)
	return ctx.Err()
}

// turn sends the spare tokens to all pools at once, and tries keepers again.
func (c *Client) syncPools(ctx context.Context) {
	pools := c.cfg.Keepers()
	var calls sync.WaitGroup
	for i := range pools {
		calls.Go(func() {
			if k, counts, ok := c.hostOf(pools, i); ok {
				c.sendDeposit(ctx, k, c.newDeposit(len(pools), i, k, counts))
			}
		})
	}
	for _, k := range c.hostsToProbe(pools) {
		calls.Go(func() {
			c.sendDeposit(ctx, k, Deposit{VM: c.cfg.VM})
		})
	}
	calls.Wait()
	now := c.cfg.Now()
	c.mu.Lock()
	isolated := c.lastAnswer == 0 || now-c.lastAnswer > shareRetention
	c.mu.Unlock()
	c.cfg.Purse.SetAlone(isolated)
}

// put sends a message to a keeper.
func (c *Client) sendDeposit(ctx context.Context, host Keeper, in Deposit) {
	var out Grant
	if c.call(ctx, host, "Put", in, &out) {
		c.recordMark(in.Pool, host, out.Mark)
	}
}

// deposit takes this VM's spare tokens of a pool's teams out of its purse, for a keeper. The
// share counts if counts is set. What this VM's own pool holds of these teams goes along,
// once another VM keeps them.
func (c *Client) newDeposit(pools, pool int, host Keeper, counts bool) Deposit {
	inPool := func(t fleet.TeamID) bool { return poolOf(t, pools) == pool }
	d := Deposit{VM: c.cfg.VM, Spare: c.cfg.Purse.Spare(inPool)}
	if host.VM != c.cfg.VM {
		for t, n := range c.cfg.Own.takeAll(inPool) {
			d.Spare[t] += n
		}
	}
	if counts {
		d.Share, d.Lapsed = c.cfg.Purse.lastShare()
	}
	d.Pool = PoolID{pool, pools}
	d.Bond = c.newBond(d.Pool, host)
	return d
}

// poolOf returns the pool of a team, or of an upstream.
func poolOf[ID ~string](id ID, pools int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(pools))
}

// keeper returns who keeps a pool for this VM: the best VM that answers. It counts this
// VM's share unless two others may do so still.
func (c *Client) hostOf(pools [][]Keeper, pool int) (k Keeper, counts, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range pools[pool] {
		if _, down := c.unreachable[k.VM]; down {
			continue
		}
		if previous, known := c.currentHosts[pool]; known && previous.VM != k.VM {
			c.cfg.Events.Record(event.KeeperChanged, timeline.Fields{"vm": string(k.VM), "before": string(previous.VM)})
		}
		c.currentHosts[pool] = k
		return k, c.countsAt(pool, k), true
	}
	return Keeper{}, false, false
}

// show reports whether this VM's share is shown to a keeper, and notes that it is. The caller
// holds the lock.
func (c *Client) countsAt(pool int, host Keeper) bool {
	now := c.cfg.Now()
	hosts, ok := c.countingHosts[pool]
	if !ok {
		hosts = make(map[fleet.VMID]time.Duration)
		c.countingHosts[pool] = hosts
	}
	maps.DeleteFunc(hosts, func(_ fleet.VMID, at time.Duration) bool { return now-at >= shareRetention })
	if _, counting := hosts[host.VM]; !counting && len(hosts) >= maxCountingHosts {
		return false
	}
	hosts[host.VM] = now
	return true
}

// probes returns the keepers to try again.
func (c *Client) hostsToProbe(pools [][]Keeper) []Keeper {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Keeper
	for _, list := range pools {
		for _, k := range list {
			if at, down := c.unreachable[k.VM]; down && now >= at {
				c.unreachable[k.VM] = now + probeInterval
				out = append(out, k)
			}
		}
	}
	return out
}

// call calls a keeper, and reports whether it answered.
func (c *Client) call(ctx context.Context, host Keeper, method string, args, out any) bool {
	var err error
	if host.VM == c.cfg.VM {
		err = c.callLocal(args, out)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err = c.cfg.Peers.Call(callCtx, host.Address, ServiceName+"."+method, args, out)
	}
	if err != nil && ctx.Err() != nil {
		return false // The caller gave up.
	}
	if err != nil && err.Error() == ErrClosed.Error() {
		c.releaseHost(host)
	}
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	_, unreachable := c.unreachable[host.VM]
	if err == nil {
		c.lastAnswer = now
		delete(c.unreachable, host.VM)
		return true
	}
	if !unreachable {
		c.cfg.Events.Record(event.KeeperLost, timeline.Fields{"vm": string(host.VM), "reason": err.Error()})
		c.unreachable[host.VM] = now + probeInterval
	}
	return false
}

func (c *Client) callLocal(args, out any) error {
	s := c.cfg.Own.Service()
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
	c.cfg.Own.Close()
	c.mu.Lock()
	c.unreachable[c.cfg.VM] = c.cfg.Now() + probeInterval
	c.mu.Unlock()
	c.syncPools(ctx)
}

// Take charges a team, with tokens of its pool where this VM has too few.
func (c *Client) Take(ctx context.Context, t *catalogue.Team, n fleet.Tokens) (time.Duration, bool) {
	need := Tokens(n)
	if need < 0 {
		return 0, false
	}
	if c.cfg.Purse.Take(t.ID, need) {
		return 0, true
	}
	if !c.poolEmpty(t.ID) {
		if c.fetchTokens(ctx, t.ID, need) {
			return 0, true
		}
		c.mu.Lock()
		c.emptyPools[t.ID] = c.cfg.Now()
		c.mu.Unlock()
	}
	return c.cfg.Purse.Wait(t.ID, need), false
}

func (c *Client) poolEmpty(t fleet.TeamID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.emptyPools[t]
	return ok && c.cfg.Now()-at < emptyPoolBackoff
}

// fetch takes what a request needs from the team's pool, at another keeper where the
// first does not answer.
func (c *Client) fetchTokens(ctx context.Context, team fleet.TeamID, need Tokens) bool {
	pools := c.cfg.Keepers()
	if len(pools) == 0 {
		return false
	}
	pool := poolOf(team, len(pools))
	for range pools[pool] {
		host, counts, ok := c.hostOf(pools, pool)
		if !ok {
			return false
		}
		in := Request{Deposit: c.newDeposit(len(pools), pool, host, counts), Team: team, Need: need, Want: need + c.cfg.Purse.Room(team)}
		var out Grant
		if !c.call(ctx, host, "Take", in, &out) {
			continue
		}
		c.recordMark(in.Deposit.Pool, host, out.Mark)
		if out.Given < need {
			return false
		}
		c.cfg.Purse.Put(team, out.Given-need)
		return true
	}
	return false
}

// Refund gives back what a request that did not run was charged.
func (c *Client) Refund(t fleet.TeamID, n fleet.Tokens) {
	c.cfg.Purse.Put(t, Tokens(n))
}
