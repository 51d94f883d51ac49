package prefill

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// Times of messages to hosts.
const (
	// callTimeout is how long an answer may take beyond the time that the request waits at the
	// host. A message takes 1 to 3 ms between data centres.
	callTimeout = 60 * time.Millisecond
	// returnDelay is how long a returned credit may wait for another message to the host.
	returnDelay = 4 * time.Millisecond
	// probeInterval is how often a host that did not answer is called again.
	probeInterval = time.Second
)

// Caller makes net/rpc calls to other VMs.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// HostVM is a VM that may host an engine's account.
type HostVM struct {
	VM      fleet.VMID
	Address string
}

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	VM    fleet.VMID
	Own   *Host
	Peers Caller
	// Hosts returns the VMs that may host the account of an engine, in order of preference.
	Hosts func(fleet.UpstreamID) []HostVM
	// OnAnswer, if not nil, is called with each answer of an engine's host.
	OnAnswer func(fleet.UpstreamID, Answer)
	Events   *timeline.Recorder
}

// Client acquires credits for the requests of its VM. It is safe for concurrent use.
type Client struct {
	cfg     ClientConfig
	process uint64
	number  atomic.Uint64

	mu sync.Mutex
	// The fields below are guarded by mu. returned holds the credits that have not been
	// returned to their host yet, by the host's address. unreachable holds the hosts that did
	// not answer, with the time of the next probe.
	returned    map[HostVM][]Return
	unreachable map[HostVM]time.Time
	// scheduled holds the hosts to which returned is sent after returnDelay.
	scheduled map[HostVM]bool
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, process: rand.Uint64(), returned: make(map[HostVM][]Return), unreachable: make(map[HostVM]time.Time), scheduled: make(map[HostVM]bool)}
}

// Credit allows one prompt to be sent. Its methods may be called on a nil Credit, which stands
// for a prompt that needs none.
type Credit struct {
	c        *Client
	host     HostVM
	id       CreditID
	upstream fleet.UpstreamID
	granted  time.Time
	// hasRun is set if the run is accounted for, and so is returned too.
	hasRun bool

	mu sync.Mutex
	// The fields below are guarded by mu. read is set after FirstEvent, ended after Release.
	read, ended bool
	load        int
	loadAt      time.Time
}

// ReportLoad records the number of requests that run and wait at the engine, as its answer states it.
// The host gets it with the next return.
func (cr *Credit) ReportLoad(n int) {
	if cr == nil || !cr.hasRun {
		return
	}
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.load, cr.loadAt = n, time.Now()
}

// FirstEvent returns the credit because the prompt has been read. Later calls do nothing. A run that is
// accounted for goes on.
func (cr *Credit) FirstEvent() {
	if cr == nil {
		return
	}
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if cr.read || cr.ended {
		return
	}
	cr.read = true
	cr.giveBack(max(time.Since(cr.granted), 1))
}

// Release returns the credit of a prompt that was not read, and ends the run. Without an account of the
// run it does nothing after FirstEvent.
func (cr *Credit) Release() {
	if cr == nil {
		return
	}
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if cr.ended || cr.read && !cr.hasRun {
		return
	}
	cr.ended = true
	cr.giveBack(0)
}

// giveBack returns the credit. The caller holds mu.
func (cr *Credit) giveBack(firstEvent time.Duration) {
	r := Return{ID: cr.id, Upstream: cr.upstream, FirstEvent: firstEvent}
	if !cr.loadAt.IsZero() {
		r.HasLoad, r.Load, r.LoadAge = true, cr.load, time.Since(cr.loadAt)
		cr.loadAt = time.Time{}
	}
	cr.c.giveBack(cr.host, r)
}

// Denial says why a request was not granted a credit.
type Denial struct {
	// Wait is the forecast of how long the request has to wait.
	Wait time.Duration
	// Reason is what it lacked, "" where runs are not accounted for.
	Reason Reason
}

// Acquire returns a credit, or false and a forecast of how long it has to wait for one. The
// credit is nil if no host of the engine answers. It returns false without a forecast if ctx
// ends.
func (c *Client) Acquire(ctx context.Context, r Request) (*Credit, Denial, bool) {
	r.ID = CreditID{c.process, c.number.Add(1)}
	for _, host := range c.cfg.Hosts(r.Upstream) {
		if !c.usable(host) {
			continue
		}
		r.Returned = c.takeReturned(host)
		var out Answer
		answered := c.call(ctx, host, r.Wait, "Acquire", r, &out)
		if !answered {
			c.keepReturned(host, r.Returned)
		}
		// The request may still be granted. A return that is lost too leaves a run until its lifetime ends.
		own := Return{ID: r.ID, Upstream: r.Upstream}
		if ctx.Err() != nil {
			c.giveBack(host, own)
			return nil, Denial{}, false
		}
		if !answered {
			c.keepReturned(host, []Return{own})
			continue
		}
		if c.cfg.OnAnswer != nil {
			c.cfg.OnAnswer(r.Upstream, out)
		}
		if !out.Granted {
			return nil, Denial{Wait: out.Wait, Reason: out.Reason}, false
		}
		hasRun := out.HasRuns && r.Capacity != Capacity{}
		return &Credit{c: c, host: host, id: r.ID, upstream: r.Upstream, granted: time.Now(), hasRun: hasRun}, Denial{}, true
	}
	return nil, Denial{}, true
}

// usable reports whether a host has answered its last call. It probes one that has not, once
// in probeInterval.
func (c *Client) usable(host HostVM) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	probeAt, down := c.unreachable[host]
	if down && !now.Before(probeAt) {
		c.unreachable[host] = now.Add(probeInterval)
		go func() { c.deliver(host, c.takeReturned(host)) }()
	}
	return !down
}

// call calls a method of a host and reports whether it answered without an error.
func (c *Client) call(ctx context.Context, host HostVM, wait time.Duration, method string, args, out any) bool {
	if host.VM == c.cfg.VM {
		return c.callLocal(args, out) == nil
	}
	// The call is cancelled instead of given a deadline, because a deadline would close the
	// connection for the calls of other packages too.
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer time.AfterFunc(wait+callTimeout, cancel).Stop()
	err := c.cfg.Peers.Call(callCtx, host.Address, ServiceName+"."+method, args, out)
	if err != nil && ctx.Err() != nil {
		return false
	}
	c.recordOutcome(host, err)
	return err == nil
}

func (c *Client) recordOutcome(host HostVM, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, down := c.unreachable[host]
	switch {
	case err == nil:
		delete(c.unreachable, host)
	case !down:
		c.unreachable[host] = time.Now().Add(probeInterval)
		c.cfg.Events.Record(event.PrefillHostLost, timeline.Fields{"vm": string(host.VM), "reason": err.Error()})
	}
}

// callLocal passes a message to this VM's own host.
func (c *Client) callLocal(args, out any) error {
	if in, ok := args.(Request); ok {
		return c.cfg.Own.Service().Acquire(in, out.(*Answer))
	}
	return c.cfg.Own.Service().Return(args.(Returns), out.(*struct{}))
}

// deliver returns credits to a host. If it does not answer they are kept for the next message.
func (c *Client) deliver(host HostVM, list []Return) {
	if !c.call(context.Background(), host, 0, "Return", Returns{Returned: list}, &struct{}{}) {
		c.keepReturned(host, list)
	}
}

// giveBack queues a returned credit for the next message to its host, which is sent after
// returnDelay at the latest.
func (c *Client) giveBack(host HostVM, r Return) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returned[host] = append(c.returned[host], r)
	if !c.scheduled[host] {
		c.scheduled[host] = true
		time.AfterFunc(returnDelay, func() { c.sendReturned(host) })
	}
}

// maxKept is how many returns are kept for a host that does not answer. Others end there with their
// lifetimes.
const maxKept = 1000

// keepReturned queues returns that could not be delivered, for the next message or probe. Loads are left
// out, because they are too old by then.
func (c *Client) keepReturned(host HostVM, list []Return) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range list {
		if len(c.returned[host]) >= maxKept {
			return
		}
		r.HasLoad = false
		c.returned[host] = append(c.returned[host], r)
	}
}

func (c *Client) takeReturned(host HostVM) []Return {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.returned[host]
	delete(c.returned, host)
	return list
}

// sendReturned delivers the credits that are queued for a host.
func (c *Client) sendReturned(host HostVM) {
	c.mu.Lock()
	delete(c.scheduled, host)
	c.mu.Unlock()
	if list := c.takeReturned(host); len(list) > 0 {
		c.deliver(host, list)
	}
}
