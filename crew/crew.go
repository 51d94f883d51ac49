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

// NewMember returns the member of a VM in a data centre whose peers' listener has an
// address.
func NewMember(vm fleet.VMID, address string, dc fleet.DataCentre) Member {
	return Member(string(vm) + "@" + address + "@" + string(dc))
}

// cut splits a member into what it was made of.
func (m Member) cut() (vm, address, dc string) {
	vm, rest, _ := strings.Cut(string(m), "@")
	address, dc, _ = strings.Cut(rest, "@")
	return vm, address, dc
}

// VM returns the VM of a member.
func (m Member) VM() fleet.VMID {
	vm, _, _ := m.cut()
	return fleet.VMID(vm)
}

// Address returns the address of the member's peers' listener.
func (m Member) Address() string {
	_, address, _ := m.cut()
	return address
}

// DataCentre returns the data centre of the member's VM.
func (m Member) DataCentre() fleet.DataCentre {
	_, _, dc := m.cut()
	return fleet.DataCentre(dc)
}

// Part is one of the equal parts that are dealt to the VMs.
type Partition int

// Dealt are the parts of a VM, in a generation of the group.
type Dealt struct {
	Generation int64
	Parts      []Partition
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
	Owners(ctx context.Context, parts int) (map[Partition]Member, error)
	ReadClaim(ctx context.Context) (Claim, error)
	WriteClaim(ctx context.Context, holder fleet.VMID, released bool, at int64) (int64, error)
}

// Times of membership.
const (
	// joinEvery is how often a VM joins again that is the coordinator, or belongs to a
	// fleet of up to joinFleet VMs. The VMs of a larger one join less often, up to
	// slowJoin, for each call is priced and part of what the store takes.
	joinEvery = 300 * time.Millisecond
	joinFleet = 16
	slowJoin  = 1200 * time.Millisecond
	// joinTimeout bounds a call to the store, which answers within milliseconds
	// when it is well.
	joinTimeout = 600 * time.Millisecond
	// Life is how long the store keeps the parts of the coordinator that has not joined
	// again: time for four lost joins.
	CoordinatorSessionTimeout = 1500 * time.Millisecond
	// PartLife is the same for other VMs: time for three lost joins of a large fleet, and
	// so long the rates are minted in an outage of the store.
	SessionTimeout = 4500 * time.Millisecond
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
	Partitions int
	// Lease is how long nobody else may give orders after a coordinator that
	// lives.
	Lease time.Duration
	// Fenced is set where engines check fencing tokens.
	Fenced bool
	// Now is a clock that goes on while the machine sleeps.
	Now    func() time.Duration
	Events *timeline.Recorder
	// Told reports whether another VM tells this one of the members all the time.
	Informed func() bool
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
	// roll is who holds parts, as this VM has read or been told last; rollOf is the
	// generation that it was read for, rollAt when it held.
	roll   MemberList
	rollOf int64
	rollAt time.Duration
	// doubted asks for the owners to be read again. Lost is since when no VM answers
	// as the coordinator, 0 while one does.
	doubted bool
	lost    time.Duration
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
	for ctx.Err() == nil {
		c.turn(ctx)
		loop.Sleep(ctx, c.pause())
	}
	return ctx.Err()
}

// pause returns the time to the next join. One that failed is soon tried again.
func (c *Crew) pause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing {
		return joinEvery
	}
	return c.interval()
}

// interval returns how often this VM joins. The caller holds the lock.
func (c *Crew) interval() time.Duration {
	if c.dutySince != 0 {
		return joinEvery
	}
	byFleet := joinEvery * time.Duration(len(c.roll.Members)) / joinFleet
	return min(max(byFleet, joinEvery), slowJoin)
}

// turn joins once, and does what follows from the answer.
func (c *Crew) turn(ctx context.Context) {
	c.mu.Lock()
	leaving := c.leaving
	generation, life := c.generation, c.life()
	c.mu.Unlock()
	if leaving {
		return
	}
	asked := c.cfg.Now()
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	dealt, err := c.cfg.Store.Join(callCtx, c.cfg.Self, c.cfg.Partitions, life, generation)
	cancel()
	if c.note(err); err != nil {
		return
	}
	c.take(dealt, asked, asked+life)
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

// life returns how long the store is to keep this VM's parts. The caller holds the lock.
func (c *Crew) life() time.Duration {
	if c.dutySince != 0 {
		return CoordinatorSessionTimeout
	}
	return SessionTimeout
}

// take takes over the parts that the store dealt until a time.
func (c *Crew) take(d Dealt, asked, until time.Duration) {
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
	if c.cfg.Now()-c.confirmed >= c.life() {
		// The membership may have ended, and another VM may have had the duty since.
		c.dutySince, c.fence = 0, 0
	}
	c.generation, c.confirmed = d.Generation, asked
	c.setDuty(slices.Contains(d.Parts, 0))
	c.cfg.OnShare(float64(len(d.Parts))/float64(c.cfg.Partitions), until)
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
func (c *Crew) ReportCoordinator(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case answered:
		c.lost = 0
	case c.lost == 0:
		c.lost = c.cfg.Now()
	}
	c.doubted = c.doubted || !answered
}

// Times of reading who holds which part.
const (
	// ownersEvery bounds how often it is read, since each call is priced. A part that
	// is handed over moves without a new generation.
	ownersEvery = time.Second
	// toldWait is for how long a VM that relays tell leaves it to them to find the next
	// coordinator. They know it once the membership of the one before has ended.
	toldWait = 2 * CoordinatorSessionTimeout
)

// learnOwners reads who holds which part: when in doubt, and once for each
// generation where this VM is to be the coordinator or hears of none. The others
// need no more than the coordinator's address, and that has not changed while it
// answers; or a relay tells them.
func (c *Crew) learnOwners(ctx context.Context, generation int64) {
	now := c.cfg.Now()
	told := c.cfg.Informed()
	c.mu.Lock()
	known := c.knows(generation, now, told)
	c.mu.Unlock()
	if known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	owners, err := c.cfg.Store.Owners(ctx, c.cfg.Partitions)
	if err != nil {
		c.cfg.Events.Record(event.JoinFailed, timeline.Fields{"reason": "owners: " + err.Error()})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roll, c.rollOf, c.rollAt = newRoll(owners), generation, now
}

// knows reports whether the roll need not be read. The caller holds the lock.
func (c *Crew) knows(generation int64, now time.Duration, told bool) bool {
	duty := c.dutySince != 0
	if len(c.roll.Members) == 0 {
		return false
	}
	if told && !duty && (c.lost == 0 || now-c.lost < toldWait) {
		return true
	}
	stale := c.rollOf != generation && (duty || c.lost != 0)
	if stale && duty {
		return false
	}
	if (stale || c.doubted) && now-c.rollAt >= ownersEvery {
		c.doubted = false
		return false
	}
	return true
}

// touchLife is how long ago the store must have answered a join for this VM to
// be in touch with it: three fifths of the 5 s in which withdrawn keys have to
// stop, after which requests with keys are worth nothing here.
const touchLife = 3 * time.Second

// InTouch reports whether the store has answered this VM lately.
func (c *Crew) InContact() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving || c.cfg.Now()-c.confirmed < touchLife
}

// Coordinator returns the member that is to be the coordinator.
func (c *Crew) Coordinator() (Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roll.Coordinator, c.roll.Coordinator != ""
}

// Size returns the number of VMs that hold parts, at least 1.
func (c *Crew) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(len(c.roll.Members), 1)
}

// Roll returns who holds parts, and when that was known to be so. The caller must not
// change it.
func (c *Crew) MemberList() (MemberList, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roll, c.rollAt
}

// Tell takes over what another VM knows of the members, as of a time on the clock Now,
// unless this VM knows better.
func (c *Crew) UpdateMembers(r MemberList, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at > c.rollAt && len(r.Members) > 0 {
		c.roll, c.rollAt = r, at
	}
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
