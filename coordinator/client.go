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

const (
	// syncInterval is the interval between the messages of a VM in a fleet of up to
	// syncFleetSize VMs. In a larger fleet the interval grows with the fleet, so that the
	// coordinator never gets more messages than from syncFleetSize VMs.
	syncInterval  = 200 * time.Millisecond
	syncFleetSize = 16
	// relayedSyncInterval is the interval between the messages of a VM through a relay
	// whose answers list up to relayedSyncUpstreams upstreams. With more upstreams the
	// interval grows, to limit the load on the relay's network link.
	relayedSyncInterval  = 300 * time.Millisecond
	relayedSyncUpstreams = 150
	// callTimeout bounds a call. The latency between data centres is 1 to 3 ms.
	callTimeout = 300 * time.Millisecond
	// adapterRequestTimeout allows for another adapter being unloaded first.
	adapterRequestTimeout = 1500 * time.Millisecond
)

// Caller calls net/rpc methods of other VMs.
type Caller interface {
	// Call calls a method of the VM at an address and waits for the reply, until ctx ends.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	VM fleet.VMID
	// Local is the coordinator of this VM, called directly while this VM holds the
	// leadership.
	Local  *Coordinator
	Peers  Caller
	Roster *roster.Roster
	// OnAnswer is called after each message with whether it was answered.
	OnAnswer func(answered bool)
	// FleetSize returns the number of VMs in the fleet.
	FleetSize func() int
	// Coordinator returns the VM that is the coordinator and its address, false if none is
	// known. Relay returns the address of the relay that forwards this VM's messages, false
	// if it sends them itself.
	Coordinator func() (fleet.VMID, string, bool)
	Relay       func() (string, bool)
	Events      *timeline.Recorder
}

// Client sends its VM's messages and adapter requests to the coordinator, and applies the
// answers to the roster.
type Client struct {
	cfg ClientConfig

	// mu guards the fields below, except notices, which has its own lock.
	mu sync.Mutex
	// demand and uses collect what the next message reports.
	demand map[modelKey]fleet.Tokens
	uses   map[Use]bool
	// known is the version of the holdings that this VM has received.
	known Known
	// holdings are the holdings of each engine that this VM has received. They are kept for
	// engines that the roster does not list yet, or lists with another start.
	holdings map[fleet.UpstreamID]versionedHoldings
	// coordinatorLost is set if the last message had no answer.
	coordinatorLost bool
	// lastReceived is when the coordinator's last answer was applied. others are the
	// requests in flight, by upstream, of the VMs that do not send through this one.
	lastReceived time.Time
	others       map[fleet.UpstreamID]int
	// notices are the shared notices that this VM knows. sentPosition is the position up to
	// which the VM at the address sentTo has received them, receivedPosition the position
	// up to which this VM has received that VM's. Only sync changes these fields, so it may
	// read them without mu.
	notices          *noticeLog
	sentPosition     Told
	sentTo           string
	receivedPosition Told
	// relayedTraffic holds the requests in flight of the VMs that send through this one.
	relayedTraffic map[fleet.VMID]vmTraffic
	// adapterRequests are the calls in progress.
	adapterRequests map[adapterRequestKey]*pendingRequest
}

// versionedHoldings are an engine's holdings and the version of the answer that held them.
type versionedHoldings struct {
	EngineHoldings
	version uint64
}

// adapterRequestKey identifies adapter requests that can share a call.
type adapterRequestKey struct {
	service catalogue.ServiceID
	adapter roster.Adapter
	avoid   string
}

// pendingRequest is an adapter request in progress. answer and err may be read once done is
// closed.
type pendingRequest struct {
	done   chan struct{}
	answer WishAnswer
	err    error
}

// NewClient returns a Client. Run must be called for it to send messages.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg: cfg, notices: newNoticeLog(cfg.Roster, cfg.Events), demand: make(map[modelKey]fleet.Tokens), uses: make(map[Use]bool),
		holdings: make(map[fleet.UpstreamID]versionedHoldings), adapterRequests: make(map[adapterRequestKey]*pendingRequest), relayedTraffic: make(map[fleet.VMID]vmTraffic),
	}
}

// errNoCoordinator means that no coordinator is known, or that its last answer is older
// than maxRelayedAge.
var errNoCoordinator = errors.New("no VM is known to be the coordinator")

// call calls a method of the coordinator, directly if this VM is the coordinator.
func (c *Client) call(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	vm, address, ok := c.cfg.Coordinator()
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

// ServiceName is the name under which net/rpc serves the methods of Service.
const ServiceName = "Coordinator"

func (c *Client) callLocal(method string, args, reply any) error {
	s := c.cfg.Local.Service()
	switch method {
	case "Sync":
		return s.Sync(args.(Sync), reply.(*SyncAnswer))
	default:
		return s.Wish(args.(Wish), reply.(*WishAnswer))
	}
}

// Run sends messages at intervals until ctx ends, and returns ctx's error.
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

// interval returns the interval between this VM's messages. For direct messages it grows
// with the fleet, for messages through a relay with the number of upstreams that an answer
// lists.
func (c *Client) interval() time.Duration {
	if _, ok := c.cfg.Relay(); ok {
		return relayedSyncInterval * time.Duration(max(len(c.cfg.Roster.Upstreams()), relayedSyncUpstreams)) / relayedSyncUpstreams
	}
	senders := c.cfg.FleetSize()
	if c.isRelay() {
		senders = syncFleetSize // The other VMs send through relays.
	}
	return syncInterval * time.Duration(max(senders, syncFleetSize)) / syncFleetSize
}

// sync sends one message and applies the answer.
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
	c.cfg.OnAnswer(err == nil)
	if err == nil {
		c.applyAnswer(answer)
		c.receiveNotices(answer, position, requestedAt)
	}
}

// addNotices adds to a message the shared notices that its receiver does not have yet, and
// returns the position after them.
func (c *Client) addNotices(msg *Sync) (position Told) {
	to, ok := c.cfg.Relay()
	if !ok {
		_, to, _ = c.cfg.Coordinator()
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

// receiveNotices applies the shared notices of an answer. Their ages count from when the
// message was sent, so that a delay of the answer can't make them newer.
func (c *Client) receiveNotices(answer SyncAnswer, position Told, requestedAt time.Time) {
	c.notices.apply(answer.Words, c.sentTo, requestedAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentPosition, c.receivedPosition = position, answer.Told
}

// send sends a message, through a relay if there is one.
func (c *Client) send(ctx context.Context, in Sync, out *SyncAnswer) error {
	address, ok := c.cfg.Relay()
	if !ok {
		return c.call(ctx, callTimeout, "Sync", in, out)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.cfg.Peers.Call(ctx, address, RelayServiceName+".Sync", in, out)
}

// buildSync returns the next message, and resets the demand and uses that it reports.
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

// applyAnswer applies the traffic and holdings of an answer to the roster.
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
		u.SetOthersInFlight(c.others[u.ID] + relayed[u.ID])
		if e, ok := c.holdings[u.ID]; ok && e.Born == u.StartTime() {
			if !u.ConfirmModels() || changed[u.ID] {
				u.SetAdapters(e.Adapters)
				u.SetModels(e.Models)
			}
		}
	}
	roster.Retain(c.cfg.Roster, c.holdings)
}

// CountRequest adds the tokens of a request to the demand for a model, whether the request
// is served or not.
func (c *Client) CountRequest(s catalogue.ServiceID, m fleet.ModelID, tokens fleet.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand[modelKey{s, m}] += tokens
}

// RecordUse records the use of an adapter at an engine for the next message.
func (c *Client) RecordUse(u fleet.UpstreamID, a roster.Adapter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses[Use{Upstream: u, Adapter: a}] = true
}

// LoadAdapter requests an adapter from the coordinator, and returns an engine that is not
// in avoid once the adapter can be used there. Concurrent requests for the same adapter
// share one call. It fails if the coordinator can't be reached, if no engine can take the
// adapter, or when ctx ends. The end of ctx doesn't cancel the call, as other requests may
// wait for it.
func (c *Client) LoadAdapter(ctx context.Context, s catalogue.ServiceID, a roster.Adapter, avoid []fleet.UpstreamID) (fleet.UpstreamID, error) {
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

// requestAdapter makes the call of a pending request, waits until the adapter can be used,
// and ends the request.
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
