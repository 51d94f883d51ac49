// Package crew knows which VMs make up the fleet and which of them is the
// coordinator.
//
// The platform's store deals a fixed number of parts to the VMs that keep
// joining. A part stands for an equal part of every team's rate; whoever holds
// part 0 is to be the coordinator. The store takes a part from a VM only once
// that VM has heard so, or has not joined for the life of a membership. The
// coordinator gives orders under a claim in the store, whose offset is the
// fencing token; while the one before may live, the claim is made after its lease
// has run out.
package crew

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
	"toucanfall/timeline"
)

// Member names a VM with its address, as it joins.
type Member string

// NewMember returns the member of a VM whose peers' listener has an address.
func NewMember(vm fleet.VMID, address string) Member {
	return Member(string(vm) + "@" + address)
}

// VM returns the VM of a member.
func (m Member) VM() fleet.VMID {
	vm, _, _ := strings.Cut(string(m), "@")
	return fleet.VMID(vm)
}

// Address returns the address of the member's peers' listener.
func (m Member) Address() string {
	_, a, _ := strings.Cut(string(m), "@")
	return a
}

// Part is one of the equal parts that are dealt to the VMs.
type Part int

// Dealt are the parts of a VM, in a generation of the group.
type Dealt struct {
	Generation int64
	Parts      []Part
}

// Claim is the newest claim on the coordinator's duty.
type Claim struct {
	Holder   fleet.VMID
	Released bool
	// Next is the offset at which the next claim has to stand.
	Next int64
}

// Store is what the crew needs of the platform's store.
type Store interface {
	Join(ctx context.Context, m Member, parts int, life time.Duration, generation int64) (Dealt, error)
	Leave(ctx context.Context, m Member) error
	Owners(ctx context.Context, parts int) (map[Part]Member, error)
	ReadClaim(ctx context.Context) (Claim, error)
	WriteClaim(ctx context.Context, holder fleet.VMID, released bool, at int64) (int64, error)
}

// Times of membership.
const (
	// joinEvery is how often a VM joins again; a call counts as a tenth of one.
	joinEvery = 300 * time.Millisecond
	// joinTimeout bounds a call to the store, which answers within milliseconds
	// when it is well.
	joinTimeout = 600 * time.Millisecond
	// Life is how long the store keeps the parts of a VM that has not joined
	// again: time for three lost joins.
	Life = 1500 * time.Millisecond
	// dutyLife is how long after the last confirmed join a VM still acts as the
	// coordinator. It ends well before Life, when a successor may be named.
	dutyLife = 900 * time.Millisecond
)

// Config holds the dependencies of a Crew.
type Config struct {
	Self  Member
	Store Store
	// Parts is the number of parts that are dealt; several for each VM, so that
	// VMs differ little.
	Parts int
	// Lease is how long nobody else may give orders after a coordinator that
	// lives.
	Lease time.Duration
	// Fenced is set where engines check fencing tokens.
	Fenced bool
	// Now is a clock that goes on while the machine sleeps.
	Now    func() time.Duration
	Events *timeline.Recorder
	// OnShare is told the share of the rates that this VM mints, and until when
	// on the clock Now. It is called under the crew's lock.
	OnShare func(share float64, until time.Duration)
}

// Crew keeps this VM a member. Create it by [New] and call [Crew.Run].
type Crew struct {
	cfg Config

	mu         sync.Mutex
	generation int64
	confirmed  time.Duration
	owners     map[Part]Member
	// size counts the members among the owners, for every request asks for it.
	size     int
	ownersOf int64
	ownersAt time.Duration
	// doubted asks for the owners to be read again, lost is set while no VM
	// answers as the coordinator.
	doubted bool
	lost    bool
	// dutySince is when part 0 was dealt to this VM, 0 if it is not.
	dutySince time.Duration
	fence     int64
	leaving   bool
	failing   bool
}

// New returns a crew that has not joined yet.
func New(cfg Config) *Crew {
	return &Crew{cfg: cfg}
}

// Run joins until ctx ends.
func (c *Crew) Run(ctx context.Context) error {
	loop.Every(ctx, joinEvery, c.turn)
	return ctx.Err()
}

// turn joins once, and does what follows from the answer.
func (c *Crew) turn(ctx context.Context) {
	c.mu.Lock()
	leaving := c.leaving
	generation := c.generation
	c.mu.Unlock()
	if leaving {
		return
	}
	asked := c.cfg.Now()
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	dealt, err := c.cfg.Store.Join(callCtx, c.cfg.Self, c.cfg.Parts, Life, generation)
	cancel()
	if c.note(err); err != nil {
		return
	}
	c.take(dealt, asked)
	c.learnOwners(ctx, dealt.Generation)
	c.claim(ctx)
}

// note records the first of several joins that fail.
func (c *Crew) note(err error) {
	c.mu.Lock()
	first := err != nil && !c.failing
	c.failing = err != nil
	c.mu.Unlock()
	if first {
		c.cfg.Events.Record(event.JoinFailed, timeline.Fields{"reason": err.Error()})
	}
}

// take takes over the parts that the store dealt.
func (c *Crew) take(d Dealt, asked time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return // The parts were given back while the answer was on its way.
	}
	if d.Generation != c.generation {
		c.cfg.Events.Record(event.PartsDealt, timeline.Fields{
			"generation": fmt.Sprint(d.Generation), "parts": fmt.Sprint(len(d.Parts)),
		})
	}
	c.generation, c.confirmed = d.Generation, asked
	c.setDuty(slices.Contains(d.Parts, 0))
	c.cfg.OnShare(float64(len(d.Parts))/float64(c.cfg.Parts), asked+Life)
}

// setDuty notes whether this VM is to be the coordinator. The caller holds the
// lock.
func (c *Crew) setDuty(mine bool) {
	switch {
	case !mine:
		c.dutySince, c.fence = 0, 0
	case c.dutySince == 0:
		c.dutySince = c.cfg.Now()
	}
}

// Heard tells whether the VM that is to be the coordinator has answered as such.
// If it has not, it is read again who holds which part.
func (c *Crew) Heard(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = !answered
	c.doubted = c.doubted || !answered
}

// ownersEvery bounds how often it is read who holds which part, since each call
// is priced. A part that is handed over moves without a new generation.
const ownersEvery = time.Second

// learnOwners reads who holds which part: when in doubt, and once for each
// generation where this VM is to be the coordinator or hears of none. The others
// need no more than the coordinator's address, and that has not changed while it
// answers.
func (c *Crew) learnOwners(ctx context.Context, generation int64) {
	now := c.cfg.Now()
	c.mu.Lock()
	settled := c.dutySince == 0 && !c.lost
	known := len(c.owners) > 0 && (c.ownersOf == generation || settled)
	if known && c.doubted && now-c.ownersAt >= ownersEvery {
		known, c.doubted = false, false
	}
	c.mu.Unlock()
	if known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	owners, err := c.cfg.Store.Owners(ctx, c.cfg.Parts)
	if err != nil {
		c.cfg.Events.Record(event.JoinFailed, timeline.Fields{"reason": "owners: " + err.Error()})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners, c.ownersOf, c.ownersAt = owners, generation, now
	members := make(map[Member]bool)
	for _, m := range owners {
		members[m] = true
	}
	c.size = len(members)
}

// claim makes the claim on the coordinator's duty when it is this VM's turn.
func (c *Crew) claim(ctx context.Context) {
	c.mu.Lock()
	waiting := c.dutySince != 0 && c.fence == 0
	since := c.dutySince
	c.mu.Unlock()
	if !waiting {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	last, err := c.cfg.Store.ReadClaim(ctx)
	if err != nil {
		c.cfg.Events.Record(event.ClaimFailed, timeline.Fields{"reason": err.Error()})
		return
	}
	own := last.Holder == c.cfg.Self.VM() || last.Holder == ""
	if !own && !last.Released && c.cfg.Now()-since < c.wait(last.Holder) {
		return
	}
	at, err := c.cfg.Store.WriteClaim(ctx, c.cfg.Self.VM(), false, last.Next)
	if err != nil {
		c.cfg.Events.Record(event.ClaimFailed, timeline.Fields{"reason": err.Error()})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dutySince == since {
		// Offsets begin at 0, which is no fence.
		c.fence = at + 1
		c.cfg.Events.Record(event.DutyTaken, timeline.Fields{"fence": fmt.Sprint(c.fence)})
	}
}

// wait returns how long to wait after the duty was dealt to this VM, until its
// claim. A holder that is no member any more has not joined for its Life and has
// given no order for some time: it was stopped, or is out of touch, and engines
// that check fencing tokens refuse what it may still send. One that is still a
// member has lost its duty to a new deal, and its lease has to run out.
func (c *Crew) wait(before fleet.VMID) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cfg.Fenced {
		return c.cfg.Lease
	}
	for _, m := range c.owners {
		if m.VM() == before {
			return c.cfg.Lease
		}
	}
	return 0
}

// Duty returns the fencing token under which this VM may give orders now, and
// false if it may not.
func (c *Crew) Duty() (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fence == 0 || c.cfg.Now()-c.confirmed > dutyLife {
		return 0, false
	}
	return c.fence, true
}

// Refused tells that an engine has seen a higher fencing token than this VM's:
// the duty has to be claimed anew.
func (c *Crew) Refused(fence int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fence == fence {
		c.fence = 0
		c.dutySince = c.cfg.Now()
	}
}

// touchLife is how long ago the store must have answered a join for this VM to
// be in touch with it: three fifths of the 5 s in which withdrawn keys have to
// stop, after which requests with keys are worth nothing here.
const touchLife = 3 * time.Second

// InTouch reports whether the store has answered this VM lately.
func (c *Crew) InTouch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving || c.cfg.Now()-c.confirmed < touchLife
}

// Coordinator returns the member that is to be the coordinator.
func (c *Crew) Coordinator() (Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.owners[0]
	return m, ok
}

// Size returns the number of VMs that hold parts, at least 1.
func (c *Crew) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.size, 1)
}

// Leave gives duty and parts back.
func (c *Crew) Leave(ctx context.Context) error {
	c.mu.Lock()
	c.leaving = true
	fence := c.fence
	c.fence, c.dutySince = 0, 0
	c.cfg.OnShare(0, 0)
	c.mu.Unlock()
	var released error
	if fence != 0 {
		// The claim stands at fence-1, so its release must stand after it.
		_, released = c.cfg.Store.WriteClaim(ctx, c.cfg.Self.VM(), true, fence)
	}
	return errors.Join(released, c.cfg.Store.Leave(ctx, c.cfg.Self))
}
