package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// Times of messages to the coordinator.
const (
	// syncEvery is how often a VM of a small fleet sends what it does. In a
	// larger one the messages are fewer, so that the coordinator gets no more
	// than syncFleet VMs would send it at that interval.
	syncInterval  = 200 * time.Millisecond
	syncFleetSize = 16
	// syncOver is how often a VM sends over a relay that answers with up to syncUpstreams
	// upstreams. With more the messages are fewer, for the relay's line.
	relayedSyncInterval  = 300 * time.Millisecond
	relayedSyncUpstreams = 150
	// callTimeout bounds a call: the ways between data centres take 1 to 3 ms.
	callTimeout = 300 * time.Millisecond
	// wishTimeout leaves time for an adapter to make room first.
	adapterRequestTimeout = 1500 * time.Millisecond
)

// Caller calls peers.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	VM     fleet.VMID
	Own    *Coordinator
	Peers  Caller
	Roster *roster.Roster
	// Heard tells whether the VM that Where names has answered as the coordinator.
	Heard func(answered bool)
	// Size returns the number of VMs of the fleet.
	Size func() int
	// Where returns the VM that has the duty and its address, Via the address of a relay
	// that takes this VM's messages together with others', false if it sends them itself.
	Where  func() (fleet.VMID, string, bool)
	Via    func() (string, bool)
	Events *timeline.Recorder
}

// Client speaks for its VM to the coordinator.
type Client struct {
	cfg ClientConfig

	mu     sync.Mutex
	demand map[modelKey]fleet.Tokens
	uses   map[Use]bool
	known  Known
	// held is what the coordinator told of each engine. This VM may hear only
	// later that the engine was started.
	holdings        map[fleet.UpstreamID]versionedHoldings
	coordinatorLost bool
	// heard is when the coordinator's last answer came, others what it told of the
	// requests of VMs that do not send over this one.
	lastReceived time.Time
	others       map[fleet.UpstreamID]int
	// words are what upstreams have said. Told is up to where the VM at the address toldTo
	// was told of them, heardWords up to where it told this one.
	notices          *noticeLog
	sentPosition     Told
	sentTo           string
	receivedPosition Told
	// gathered are the requests of the VMs that send over this one.
	relayedTraffic  map[fleet.VMID]vmTraffic
	adapterRequests map[adapterRequestKey]*pendingRequest
}

// heldAt is what an engine holds, with the version of the coordinator's answer that told.
type versionedHoldings struct {
	EngineHoldings
	version uint64
}

// wishKey tells which requests can share a wish.
type adapterRequestKey struct {
	service catalogue.ServiceID
	adapter roster.Adapter
	avoid   string
}

// pending is a wish that several requests wait for.
type pendingRequest struct {
	done   chan struct{}
	answer WishAnswer
	err    error
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg: cfg, notices: newNoticeLog(cfg.Roster, cfg.Events), demand: make(map[modelKey]fleet.Tokens), uses: make(map[Use]bool),
		holdings: make(map[fleet.UpstreamID]versionedHoldings), adapterRequests: make(map[adapterRequestKey]*pendingRequest), relayedTraffic: make(map[fleet.VMID]vmTraffic),
	}
}

// errNoCoordinator tells that no VM is known to have the duty.
var errNoCoordinator = errors.New("no VM is known to be the coordinator")

// call calls the coordinator, directly where it is this VM.
func (c *Client) call(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	vm, address, ok := c.cfg.Where()
	if !ok {
		return errNoCoordinator
	}
	if vm == c.cfg.VM {
		return c.callLocal(method, args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.cfg.Peers.Call(ctx, address, ServiceName+"."+method, args, reply)
}

// ServiceName is the name of the coordinator's service at peers.
const ServiceName = "Coordinator"

func (c *Client) callLocal(method string, args, reply any) error {
	s := c.cfg.Own.Service()
	switch method {
	case "Sync":
		return s.Sync(args.(Sync), reply.(*SyncAnswer))
	default:
		return s.Wish(args.(Wish), reply.(*WishAnswer))
	}
}

// Run sends messages until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	t := time.NewTicker(syncInterval)
	defer t.Stop()
	for {
		c.sync(ctx)
		t.Reset(c.interval())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// interval returns how often this VM sends messages. Over a relay it does not grow with
// the fleet, but with the upstreams that an answer lists.
func (c *Client) interval() time.Duration {
	if _, ok := c.cfg.Via(); ok {
		return relayedSyncInterval * time.Duration(max(len(c.cfg.Roster.Upstreams()), relayedSyncUpstreams)) / relayedSyncUpstreams
	}
	senders := c.cfg.Size()
	if c.isRelay() {
		senders = syncFleetSize // Others send over the relays.
	}
	return syncInterval * time.Duration(max(senders, syncFleetSize)) / syncFleetSize
}

// sync sends what happened since the last message.
func (c *Client) sync(ctx context.Context) {
	msg := c.buildSync()
	position := c.addNotices(&msg)
	requestedAt := time.Now()
	var answer SyncAnswer
	err := c.send(ctx, msg, &answer)
	c.mu.Lock()
	changed := (err != nil) != c.coordinatorLost
	c.coordinatorLost = err != nil
	c.mu.Unlock()
	if changed && err != nil {
		c.cfg.Events.Record(event.CoordinatorLost, timeline.Fields{"reason": err.Error()})
	}
	if changed && err == nil {
		c.cfg.Events.Record(event.CoordinatorFound, nil)
	}
	c.cfg.Heard(err == nil)
	if err == nil {
		c.applyAnswer(answer)
		c.receiveNotices(answer, position, requestedAt)
	}
}

// speak puts the words into a message that its receiver has not been told, and returns up to
// where it is told with them.
func (c *Client) addNotices(msg *Sync) (position Told) {
	to, ok := c.cfg.Via()
	if !ok {
		_, to, _ = c.cfg.Where()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if to != c.sentTo {
		c.sentTo, c.sentPosition = to, Told{}
	}
	msg.Words, position = c.notices.since(c.sentPosition)
	msg.Told = c.receivedPosition
	return position
}

// listen takes over the words of an answer. Their ages count from the question, so that no
// delay makes them younger.
func (c *Client) receiveNotices(answer SyncAnswer, position Told, requestedAt time.Time) {
	c.notices.apply(answer.Words, c.sentTo, requestedAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentPosition, c.receivedPosition = position, answer.Told
}

// send sends a message, over a relay if there is one.
func (c *Client) send(ctx context.Context, in Sync, out *SyncAnswer) error {
	address, ok := c.cfg.Via()
	if !ok {
		return c.call(ctx, callTimeout, "Sync", in, out)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.cfg.Peers.Call(ctx, address, GatherName+".Sync", in, out)
}

func (c *Client) buildSync() Sync {
	msg := Sync{VM: c.cfg.VM, Every: c.interval()}
	relayed := c.relayedInFlight()
	for _, u := range c.cfg.Roster.Upstreams() {
		own, _ := u.InFlight()
		if own += relayed[u.ID]; own > 0 {
			msg.Traffic = append(msg.Traffic, Traffic{Upstream: u.ID, InFlight: own})
		}
		for _, a := range u.Running() {
			msg.Uses = append(msg.Uses, Use{Upstream: u.ID, Adapter: a})
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, tokens := range c.demand {
		msg.Demand = append(msg.Demand, Demand{Service: k.service, Model: k.model, Tokens: tokens})
	}
	for u := range c.uses {
		msg.Uses = append(msg.Uses, u)
	}
	clear(c.demand)
	clear(c.uses)
	msg.Known = c.known
	return msg
}

func (c *Client) applyAnswer(answer SyncAnswer) {
	relayed := c.relayedInFlight()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReceived = time.Now()
	c.others = make(map[fleet.UpstreamID]int, len(answer.Others))
	for _, t := range answer.Others {
		c.others[t.Upstream] = t.InFlight
	}
	if answer.Known.Term != c.known.Term {
		clear(c.holdings)
	}
	c.known = answer.Known
	changed := make(map[fleet.UpstreamID]bool, len(answer.Holdings))
	for _, e := range answer.Holdings {
		c.holdings[e.Upstream], changed[e.Upstream] = versionedHoldings{e, answer.Known.Version}, true
	}
	for _, u := range c.cfg.Roster.Upstreams() {
		u.SetOthers(c.others[u.ID] + relayed[u.ID])
		if e, ok := c.holdings[u.ID]; ok && e.Born == u.Born() {
			if !u.Confirm() || changed[u.ID] {
				u.SetAdapters(e.Adapters)
				u.SetModels(e.Models)
			}
		}
	}
	roster.Retain(c.cfg.Roster, c.holdings)
}

// Asked counts a request for a model, whether it is served or not.
func (c *Client) Asked(s catalogue.ServiceID, m fleet.ModelID, tokens fleet.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand[modelKey{s, m}] += tokens
}

// Used notes the use of an adapter at an engine.
func (c *Client) Used(u fleet.UpstreamID, a roster.Adapter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses[Use{Upstream: u, Adapter: a}] = true
}

// Load returns an engine that has the adapter, once it can be used there, other
// than those to avoid. Requests that wait for the same adapter share one call.
func (c *Client) Load(ctx context.Context, s catalogue.ServiceID, a roster.Adapter, avoid []fleet.UpstreamID) (fleet.UpstreamID, error) {
	req := Wish{VM: c.cfg.VM, Service: s, Adapter: a, Avoid: avoid}
	k := adapterRequestKey{service: s, adapter: a, avoid: fmt.Sprint(avoid)}
	c.mu.Lock()
	p, ok := c.adapterRequests[k]
	if !ok {
		p = &pendingRequest{done: make(chan struct{})}
		c.adapterRequests[k] = p
		go c.requestAdapter(k, req, p)
	}
	c.mu.Unlock()
	select {
	case <-p.done:
		return p.answer.Upstream, p.err
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

func (c *Client) requestAdapter(k adapterRequestKey, req Wish, p *pendingRequest) {
	p.err = c.call(context.Background(), adapterRequestTimeout, "Wish", req, &p.answer)
	if p.err == nil {
		time.Sleep(p.answer.ReadyIn)
		if u, ok := c.cfg.Roster.Get(p.answer.Upstream); ok {
			u.AddAdapter(req.Adapter, time.Now())
		}
	}
	c.mu.Lock()
	delete(c.adapterRequests, k)
	c.mu.Unlock()
	close(p.done)
}
