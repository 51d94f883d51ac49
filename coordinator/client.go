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
	syncEvery = 200 * time.Millisecond
	syncFleet = 16
	// syncOver is how often a VM sends over a relay that answers with up to syncUpstreams
	// upstreams. With more the messages are fewer, for the relay's line.
	syncOver      = 300 * time.Millisecond
	syncUpstreams = 150
	// callTimeout bounds a call: the ways between data centres take 1 to 3 ms.
	callTimeout = 300 * time.Millisecond
	// wishTimeout leaves time for an adapter to make room first.
	wishTimeout = 1500 * time.Millisecond
)

// Caller calls peers.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	VM     fleet.VMID
	Local    *Coordinator
	Peers  Caller
	Roster *roster.Roster
	// Heard tells whether the VM that Where names has answered as the coordinator.
	OnAnswer func(answered bool)
	// Size returns the number of VMs of the fleet.
	FleetSize func() int
	// Where returns the VM that has the duty and its address, Via the address of a relay
	// that takes this VM's messages together with others', false if it sends them itself.
	Coordinator  func() (fleet.VMID, string, bool)
	Relay    func() (string, bool)
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
	held map[fleet.UpstreamID]heldAt
	lost bool
	// heard is when the coordinator's last answer came, others what it told of the
	// requests of VMs that do not send over this one.
	heard  time.Time
	others map[fleet.UpstreamID]int
	// words are what upstreams have said. Told is up to where the VM at the address toldTo
	// was told of them, heardWords up to where it told this one.
	words      *words
	told       Told
	toldTo     string
	heardWords Told
	// gathered are the requests of the VMs that send over this one.
	gathered map[fleet.VMID]vmTraffic
	wishes   map[wishKey]*pending
}

// heldAt is what an engine holds, with the version of the coordinator's answer that told.
type heldAt struct {
	EngineHoldings
	version uint64
}

// wishKey tells which requests can share a wish.
type wishKey struct {
	service catalogue.ServiceID
	adapter roster.Adapter
	avoid   string
}

// pending is a wish that several requests wait for.
type pending struct {
	done   chan struct{}
	answer WishAnswer
	err    error
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg: cfg, words: newWords(cfg.Roster, cfg.Events), demand: make(map[modelKey]fleet.Tokens), uses: make(map[Use]bool),
		held: make(map[fleet.UpstreamID]heldAt), wishes: make(map[wishKey]*pending), gathered: make(map[fleet.VMID]vmTraffic),
	}
}

// errNoCoordinator tells that no VM is known to have the duty.
var errNoCoordinator = errors.New("no VM is known to be the coordinator")

// call calls the coordinator, directly where it is this VM.
func (c *Client) call(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	vm, address, ok := c.cfg.Coordinator()
	if !ok {
		return errNoCoordinator
	}
	if vm == c.cfg.VM {
		return c.local(method, args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.cfg.Peers.Call(ctx, address, ServiceName+"."+method, args, reply)
}

// ServiceName is the name of the coordinator's service at peers.
const ServiceName = "Coordinator"

func (c *Client) local(method string, args, reply any) error {
	s := c.cfg.Local.Service()
	switch method {
	case "Sync":
		return s.Sync(args.(Sync), reply.(*SyncAnswer))
	default:
		return s.Wish(args.(Wish), reply.(*WishAnswer))
	}
}

// Run sends messages until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	t := time.NewTicker(syncEvery)
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
	if _, ok := c.cfg.Relay(); ok {
		return syncOver * time.Duration(max(len(c.cfg.Roster.Upstreams()), syncUpstreams)) / syncUpstreams
	}
	senders := c.cfg.FleetSize()
	if c.gathers() {
		senders = syncFleet // Others send over the relays.
	}
	return syncEvery * time.Duration(max(senders, syncFleet)) / syncFleet
}

// sync sends what happened since the last message.
func (c *Client) sync(ctx context.Context) {
	in := c.message()
	told := c.speak(&in)
	asked := time.Now()
	var out SyncAnswer
	err := c.send(ctx, in, &out)
	c.mu.Lock()
	changed := (err != nil) != c.lost
	c.lost = err != nil
	c.mu.Unlock()
	if changed && err != nil {
		c.cfg.Events.Record(event.CoordinatorLost, timeline.Fields{"reason": err.Error()})
	}
	if changed && err == nil {
		c.cfg.Events.Record(event.CoordinatorFound, nil)
	}
	c.cfg.OnAnswer(err == nil)
	if err == nil {
		c.learn(out)
		c.listen(out, told, asked)
	}
}

// speak puts the words into a message that its receiver has not been told, and returns up to
// where it is told with them.
func (c *Client) speak(in *Sync) (told Told) {
	to, ok := c.cfg.Relay()
	if !ok {
		_, to, _ = c.cfg.Coordinator()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if to != c.toldTo {
		c.toldTo, c.told = to, Told{}
	}
	in.Words, told = c.words.since(c.told)
	in.Told = c.heardWords
	return told
}

// listen takes over the words of an answer. Their ages count from the question, so that no
// delay makes them younger.
func (c *Client) listen(out SyncAnswer, told Told, asked time.Time) {
	c.words.learn(out.Words, c.toldTo, asked)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told, c.heardWords = told, out.Told
}

// send sends a message, over a relay if there is one.
func (c *Client) send(ctx context.Context, in Sync, out *SyncAnswer) error {
	address, ok := c.cfg.Relay()
	if !ok {
		return c.call(ctx, callTimeout, "Sync", in, out)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.cfg.Peers.Call(ctx, address, RelayServiceName+".Sync", in, out)
}

func (c *Client) message() Sync {
	in := Sync{VM: c.cfg.VM, Every: c.interval()}
	gathered := c.sum()
	for _, u := range c.cfg.Roster.Upstreams() {
		own, _ := u.InFlight()
		if own += gathered[u.ID]; own > 0 {
			in.Traffic = append(in.Traffic, Traffic{Upstream: u.ID, InFlight: own})
		}
		for _, a := range u.Running() {
			in.Uses = append(in.Uses, Use{Upstream: u.ID, Adapter: a})
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, tokens := range c.demand {
		in.Demand = append(in.Demand, Demand{Service: k.service, Model: k.model, Tokens: tokens})
	}
	for u := range c.uses {
		in.Uses = append(in.Uses, u)
	}
	clear(c.demand)
	clear(c.uses)
	in.Known = c.known
	return in
}

func (c *Client) learn(out SyncAnswer) {
	gathered := c.sum()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = time.Now()
	c.others = make(map[fleet.UpstreamID]int, len(out.Others))
	for _, t := range out.Others {
		c.others[t.Upstream] = t.InFlight
	}
	if out.Known.Term != c.known.Term {
		clear(c.held)
	}
	c.known = out.Known
	changed := make(map[fleet.UpstreamID]bool, len(out.Holdings))
	for _, e := range out.Holdings {
		c.held[e.Upstream], changed[e.Upstream] = heldAt{e, out.Known.Version}, true
	}
	for _, u := range c.cfg.Roster.Upstreams() {
		u.SetOthersInFlight(c.others[u.ID] + gathered[u.ID])
		if e, ok := c.held[u.ID]; ok && e.Born == u.StartTime() {
			if !u.ConfirmModels() || changed[u.ID] {
				u.SetAdapters(e.Adapters)
				u.SetModels(e.Models)
			}
		}
	}
	roster.Retain(c.cfg.Roster, c.held)
}

// Asked counts a request for a model, whether it is served or not.
func (c *Client) CountRequest(s catalogue.ServiceID, m fleet.ModelID, tokens fleet.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand[modelKey{s, m}] += tokens
}

// Used notes the use of an adapter at an engine.
func (c *Client) RecordUse(u fleet.UpstreamID, a roster.Adapter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses[Use{Upstream: u, Adapter: a}] = true
}

// Load returns an engine that has the adapter, once it can be used there, other
// than those to avoid. Requests that wait for the same adapter share one call.
func (c *Client) LoadAdapter(ctx context.Context, s catalogue.ServiceID, a roster.Adapter, avoid []fleet.UpstreamID) (fleet.UpstreamID, error) {
	w := Wish{VM: c.cfg.VM, Service: s, Adapter: a, Avoid: avoid}
	k := wishKey{service: s, adapter: a, avoid: fmt.Sprint(avoid)}
	c.mu.Lock()
	p, ok := c.wishes[k]
	if !ok {
		p = &pending{done: make(chan struct{})}
		c.wishes[k] = p
		go c.fetch(k, w, p)
	}
	c.mu.Unlock()
	select {
	case <-p.done:
		return p.answer.Upstream, p.err
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

func (c *Client) fetch(k wishKey, w Wish, p *pending) {
	p.err = c.call(context.Background(), wishTimeout, "Wish", w, &p.answer)
	if p.err == nil {
		time.Sleep(p.answer.ReadyIn)
		if u, ok := c.cfg.Roster.Get(p.answer.Upstream); ok {
			u.AddAdapter(w.Adapter, time.Now())
		}
	}
	c.mu.Lock()
	delete(c.wishes, k)
	c.mu.Unlock()
	close(p.done)
}
