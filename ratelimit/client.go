package ratelimit

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

// ServiceName is the net/rpc name of the pool service of a VM.
const ServiceName = "Pool"

// PoolHost is a VM that may host a pool.
type PoolHost struct {
	VM      fleet.VMID
	Address string
}

// Request asks a pool host for tokens of a team: Want of them if the pool has as many, and
// none if it has fewer than Need. [Pool.Take] describes the exception for a large Need.
type Request struct {
	Deposit    Deposit
	Team       fleet.TeamID
	Need, Want Tokens
}

// Grant answers a Request or a Deposit.
type Grant struct {
	Given Tokens
	// Mark is the time of the answer. The VM sends it back in its next Bond to this pool host.
	Mark Mark
}

// Service is the net/rpc service of a Pool.
type Service struct{ p *Pool }

// Service returns the net/rpc service of the pool.
func (p *Pool) Service() *Service {
	return &Service{p}
}

// Put applies a VM's deposit. It fails if this VM hosts no pool.
func (s *Service) Put(in Deposit, out *Grant) error {
	out.Mark = s.p.upstreamLimits.newMark()
	return s.p.Put(in)
}

// Take applies the deposit of a request and grants tokens. It fails if this VM hosts no pool.
func (s *Service) Take(in Request, out *Grant) error {
	given, err := s.p.Take(in.Deposit, in.Team, in.Need, in.Want)
	out.Given, out.Mark = given, s.p.upstreamLimits.newMark()
	return err
}

// Permit grants permits for requests to an upstream with an announced limit. It fails if the
// request is invalid or this VM hosts no pool.
func (s *Service) Permit(in IntakeRequest, out *IntakeGrant) error {
	grant, err := s.p.Permit(in)
	*out = grant
	return err
}

// Times of calls to pool hosts.
const (
	// depositInterval is how often a VM sends its spare tokens. It is short enough that the
	// spare part of a bucket does not fill up, after which accruing tokens are lost.
	depositInterval = 200 * time.Millisecond
	// callTimeout bounds a call to a pool host. A message takes 1 to 3 ms between data
	// centres.
	callTimeout = 150 * time.Millisecond
	// probeInterval is how often an unreachable pool host is called again.
	probeInterval = time.Second
	// shareRetention is how long a former pool host may still count this VM's share.
	shareRetention = depositorTTL + recountInterval + 400*time.Millisecond
	// emptyPoolBackoff is how long the pool is not asked again for a team whose tokens had run
	// out.
	emptyPoolBackoff = 40 * time.Millisecond
)

// Caller makes net/rpc calls to other VMs.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	VM      fleet.VMID
	OwnPool *Pool
	Buckets *Buckets
	Peers   Caller
	// PoolHosts returns for each pool its candidate hosts in order of preference. Teams and
	// upstreams are assigned to pools by a hash of their IDs.
	PoolHosts func() [][]PoolHost
	// Now is a monotonic clock that also counts suspended time.
	Now    func() time.Duration
	Events *timeline.Recorder
}

// Client charges teams from this VM's token buckets, and fetches tokens from the pools where
// these do not suffice. Any VM can host a pool: if the preferred host does not answer, the
// next one is called, whose pool is filled by the spare tokens of VMs. At most
// maxCountingHosts hosts count a VM's share at a time. A Client is safe for concurrent use.
type Client struct {
	cfg ClientConfig

	mu sync.Mutex
	// The fields below are guarded by mu. currentHosts holds the host that this VM uses for
	// each pool. countingHosts holds, for each pool, when this VM last reported its share to
	// each host; the host may count it for shareRetention after that.
	currentHosts  map[int]PoolHost
	countingHosts map[int]map[fleet.VMID]time.Duration
	// unreachable holds the pool hosts that did not answer, with the time of the next probe.
	unreachable map[fleet.VMID]time.Duration
	// lastAnswer is when a pool host last answered, 0 if none has.
	lastAnswer time.Duration
	// emptyPools holds when the pool last had too few tokens of a team.
	emptyPools map[fleet.TeamID]time.Duration
	// bindings holds this VM's bindings by the index of the pool, among poolCount pools.
	// Bindings that were made for another number of pools last until oldBindingsExpiry.
	bindings          map[int]*binding
	poolCount         int
	oldBindingsExpiry time.Duration
	permitStates      map[upstreamStart]*permitState
}

// NewClient returns a Client. Client.Run must be called to send its deposits.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg: cfg, currentHosts: make(map[int]PoolHost), countingHosts: make(map[int]map[fleet.VMID]time.Duration), unreachable: make(map[fleet.VMID]time.Duration), emptyPools: make(map[fleet.TeamID]time.Duration),
		bindings: make(map[int]*binding), permitStates: make(map[upstreamStart]*permitState),
	}
}

// Run deposits spare tokens every depositInterval until ctx ends, and returns the error of
// ctx.
func (c *Client) Run(ctx context.Context) error {
	loop.Every(ctx, depositInterval, c.syncPools)
	return ctx.Err()
}

// syncPools sends deposits to the hosts of all pools concurrently, and probes unreachable
// hosts.
func (c *Client) syncPools(ctx context.Context) {
	pools := c.cfg.PoolHosts()
	var calls sync.WaitGroup
	for i := range pools {
		calls.Go(func() {
			if host, counts, ok := c.hostOf(pools, i); ok {
				c.sendDeposit(ctx, host, c.newDeposit(len(pools), i, host, counts))
			}
		})
	}
	for _, host := range c.hostsToProbe(pools) {
		calls.Go(func() {
			c.sendDeposit(ctx, host, Deposit{VM: c.cfg.VM})
		})
	}
	calls.Wait()
	now := c.cfg.Now()
	c.mu.Lock()
	isolated := c.lastAnswer == 0 || now-c.lastAnswer > shareRetention
	c.mu.Unlock()
	c.cfg.Buckets.SetIsolated(isolated)
}

// sendDeposit sends a deposit to a pool host.
func (c *Client) sendDeposit(ctx context.Context, host PoolHost, in Deposit) {
	var out Grant
	if c.call(ctx, host, "Put", in, &out) {
		c.recordMark(in.Pool, host, out.Mark)
	}
}

// newDeposit removes this VM's spare tokens of a pool's teams from its buckets and returns a
// deposit of them for a pool host. It reports the share only if counts is set. If another VM
// hosts the pool, the tokens that this VM's own pool holds of these teams are included.
func (c *Client) newDeposit(pools, pool int, host PoolHost, counts bool) Deposit {
	inPool := func(t fleet.TeamID) bool { return poolOf(t, pools) == pool }
	d := Deposit{VM: c.cfg.VM, Spare: c.cfg.Buckets.TakeSpare(inPool), Earned: c.cfg.Buckets.takeYoung(inPool)}
	if host.VM != c.cfg.VM {
		for t, n := range c.cfg.OwnPool.takeAll(inPool) {
			d.Spare[t] += n
		}
	}
	if counts {
		d.Share, d.Lapsed = c.cfg.Buckets.lastShare()
	}
	d.Pool = PoolID{pool, pools}
	d.Bond = c.newBond(d.Pool, host)
	return d
}

// poolOf returns the index of the pool of a team or an upstream.
func poolOf[ID ~string](id ID, pools int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(pools))
}

// hostOf returns the host of a pool for this VM: the most preferred VM that is not known to be
// unreachable. counts reports whether this VM's share is to be reported to it, and ok whether
// there is a host.
func (c *Client) hostOf(pools [][]PoolHost, pool int) (host PoolHost, counts, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range pools[pool] {
		if _, down := c.unreachable[host.VM]; down {
			continue
		}
		if previous, known := c.currentHosts[pool]; known && previous.VM != host.VM {
			c.cfg.Events.Record(event.KeeperChanged, timeline.Fields{"vm": string(host.VM), "before": string(previous.VM)})
		}
		c.currentHosts[pool] = host
		return host, c.countsAt(pool, host), true
	}
	return PoolHost{}, false, false
}

// countsAt reports whether this VM's share may be reported to a pool host, and records that it
// is. It may unless maxCountingHosts others may still count the share. The caller holds mu.
func (c *Client) countsAt(pool int, host PoolHost) bool {
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

// hostsToProbe returns the unreachable pool hosts whose next probe is due, and schedules the
// probe after it.
func (c *Client) hostsToProbe(pools [][]PoolHost) []PoolHost {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []PoolHost
	for _, list := range pools {
		for _, host := range list {
			if at, down := c.unreachable[host.VM]; down && now >= at {
				c.unreachable[host.VM] = now + probeInterval
				out = append(out, host)
			}
		}
	}
	return out
}

// call calls a pool host and reports whether it answered without an error. A host that did not
// is marked as unreachable, unless ctx has ended.
func (c *Client) call(ctx context.Context, host PoolHost, method string, args, out any) bool {
	var err error
	if host.VM == c.cfg.VM {
		err = c.callLocal(args, out)
	} else {
		// The deadline of a request says nothing of the host, so it cancels the call, which keeps the
		// connection.
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		stop := context.AfterFunc(ctx, cancel)
		defer stop()
		err = c.cfg.Peers.Call(callCtx, host.Address, ServiceName+"."+method, args, out)
	}
	if err != nil && ctx.Err() != nil {
		return false // The caller has cancelled the call.
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

// callLocal passes a message to this VM's own pool.
func (c *Client) callLocal(args, out any) error {
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

// Leave stops hosting a pool on this VM, and deposits the tokens of its pool at the next
// hosts.
func (c *Client) Leave(ctx context.Context) {
	c.cfg.OwnPool.Close()
	c.mu.Lock()
	c.unreachable[c.cfg.VM] = c.cfg.Now() + probeInterval
	c.mu.Unlock()
	c.syncPools(ctx)
}

// Take charges a team n tokens, fetching tokens from its pool if this VM has too few. It
// reports whether the team was charged; if not, it also returns how long the tokens take to
// accrue, or 0 for a negative n.
func (c *Client) Take(ctx context.Context, t *catalogue.Team, n fleet.Tokens) (time.Duration, bool) {
	need := Tokens(n)
	if need < 0 {
		return 0, false
	}
	if c.take(ctx, t.ID, need) {
		return 0, true
	}
	return c.cfg.Buckets.RefillTime(t.ID, need), false
}

// take charges an account, fetching tokens from its pool if this VM has too few, and reports whether
// it was charged.
func (c *Client) take(ctx context.Context, id fleet.TeamID, need Tokens) bool {
	if c.cfg.Buckets.Take(id, need) {
		return true
	}
	if c.poolEmpty(id) {
		return false
	}
	if c.fetchTokens(ctx, id, need) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emptyPools[id] = c.cfg.Now()
	return false
}

// poolEmpty reports whether the pool had too few tokens of a team within poolBackoff.
func (c *Client) poolEmpty(t fleet.TeamID) bool {
	backoff := c.poolBackoff(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.emptyPools[t]
	return ok && c.cfg.Now()-at < backoff
}

// fetchTokens takes the tokens that a request needs from the team's pool, and as many as this
// VM can keep. It calls the next host if one does not answer, and reports whether the request
// got its tokens.
func (c *Client) fetchTokens(ctx context.Context, team fleet.TeamID, need Tokens) bool {
	pools := c.cfg.PoolHosts()
	if len(pools) == 0 {
		return false
	}
	pool := poolOf(team, len(pools))
	for range pools[pool] {
		host, counts, ok := c.hostOf(pools, pool)
		if !ok {
			return false
		}
		d := c.newDeposit(len(pools), pool, host, counts)
		if n := c.cfg.Buckets.takeEarned(team); n > 0 {
			d.Spare[team] += n // Less than one token, which is of use only with those of the pool.
		}
		in := Request{Deposit: d, Team: team, Need: need, Want: need + c.cfg.Buckets.FreeCapacity(team)}
		var out Grant
		if !c.call(ctx, host, "Take", in, &out) {
			continue
		}
		c.recordMark(in.Deposit.Pool, host, out.Mark)
		if out.Given < need {
			return false
		}
		c.cfg.Buckets.Return(team, out.Given-need)
		return true
	}
	return false
}

// Refund returns the tokens that were charged for a request that did not run.
func (c *Client) Refund(t fleet.TeamID, n fleet.Tokens) {
	c.cfg.Buckets.Return(t, Tokens(n))
}
