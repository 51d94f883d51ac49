// Package group maintains this VM's membership of the fleet, and determines which VMs are
// members and which of them is the coordinator. A member is a process of a VM: the membership and
// the claims of a former process never count for a later one of the same VM.
//
// The platform's store assigns a fixed number of partitions to the VMs that keep joining. Each
// partition stands for an equal part of every team's rate, and the VM that holds partition 0
// is to be the coordinator. The store takes a partition from a VM only after that VM has been
// informed in an answer to a join, or has not joined for its session timeout. The coordinator
// gives orders under a claim in the store, whose offset is the basis of the fencing token. It
// makes the claim only once the previous one has been released or its lease has expired.
package group

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/internal/logpos"
	"toucanfall/timeline"
)

// Member identifies a process of a VM with its address and data centre, in the form in which it
// joins: VM@ADDRESS@DATACENTRE@PROCESS. The fourth part is missing in the names of processes of
// earlier versions.
type Member string

// Process identifies a process among those of its VM: 16 hexadecimal digits, "" for a process
// of an earlier version.
type Process string

// NewProcess returns a random Process. Each process of a VM must have its own.
func NewProcess() Process {
	return Process(fmt.Sprintf("%016x", rand.Uint64()))
}

// NewMember returns the Member of a process of a VM in a data centre. address is that of the
// listener for other VMs.
func NewMember(vm fleet.VMID, address string, dc fleet.DataCentre, process Process) Member {
	return Member(string(vm) + "@" + address + "@" + string(dc) + "@" + string(process))
}

// split returns the parts that NewMember joined. Parts that are missing are "".
func (m Member) split() (parts [4]string) {
	copy(parts[:], strings.SplitN(string(m), "@", len(parts)))
	return parts
}

// VM returns the ID of the member's VM.
func (m Member) VM() fleet.VMID { return fleet.VMID(m.split()[0]) }

// Address returns the address of the member's listener for other VMs.
func (m Member) Address() string { return m.split()[1] }

// DataCentre returns the data centre of the member's VM.
func (m Member) DataCentre() fleet.DataCentre { return fleet.DataCentre(m.split()[2]) }

// Process returns the member's process.
func (m Member) Process() Process { return Process(m.split()[3]) }

// WithoutProcess returns what the names of all processes of the member's VM have in common, as
// long as its address stays the same.
func (m Member) WithoutProcess() string {
	parts := m.split()
	return strings.Join(parts[:3], "@")
}

// Partition is the number of one of the equal partitions that the store assigns to the VMs.
type Partition int

// Dealt holds the partitions assigned to a VM in a generation of the group.
type Dealt struct {
	// Era is the era of the store. It rises by one each time that the store was restored from a copy.
	// Generations of different eras cannot be compared.
	Era        int64
	Generation int64
	Parts      []Partition
}

// Claimant is the process that wrote a claim, or the release of one. The zero Claimant is nobody.
type Claimant struct {
	VM      fleet.VMID
	Process Process
}

// Claim is the newest record of the claims to be the coordinator.
type Claim struct {
	// Holder made the claim. It is zero if there is no claim.
	Holder Claimant
	// Released is set if the record is a release. Claimed is then the holder of the claim before
	// it, which the release ends if both are the same; zero if that claim is not known.
	Released bool
	Claimed  Claimant
	// Era is the era of the store in which the record was written.
	Era int64
	// Next is the position at which the next claim has to be written, in the present era of the store.
	Next int64
}

// copied reports whether the record is none of the present era of the store: other claims that were made
// since may be lost.
func (c Claim) copied() bool {
	return c.Era != logpos.Position(c.Next).Era()
}

// ClaimRecord is a claim, or the release of one, as it stands in the store.
type ClaimRecord struct {
	Holder   Claimant
	Released bool
	Offset   int64
	// Era is the era of the store in which the record was written.
	Era int64
}

// ended reports whether the claim no longer binds anyone: there is none, or its own process has
// released it.
func (c Claim) ended() bool {
	return c.Holder == Claimant{} || c.Released && c.Claimed == c.Holder
}

// Store is the part of the platform's store that a Membership uses.
type Store interface {
	// Join joins or renews a membership for sessionTimeout and returns the partitions assigned to
	// the member, out of the given number. generation is the last one that the member has seen.
	Join(ctx context.Context, m Member, partitions int, sessionTimeout time.Duration, generation int64) (Dealt, error)
	// Leave ends a membership and releases its partitions.
	Leave(ctx context.Context, m Member) error
	// Owners returns the member that holds each partition, out of the given number.
	Owners(ctx context.Context, partitions int) (map[Partition]Member, error)
	// ReadClaim returns the newest claim, or one without a holder if there is none.
	ReadClaim(ctx context.Context) (Claim, error)
	// ReadClaimHistory returns the records that are retained before the position end, or the last
	// of them if there are many, in the order of their offsets. It fails if the last is missing.
	// The store retains all records of the last 20 s.
	ReadClaimHistory(ctx context.Context, end int64) ([]ClaimRecord, error)
	// WriteClaim appends a claim, or the release of one, at a position and returns that position.
	// Positions rise over all eras of the store. It fails if another claim was appended there.
	WriteClaim(ctx context.Context, holder Claimant, released bool, offset int64) (int64, error)
}

// Times of memberships.
const (
	// joinInterval is how often a VM joins again that is the coordinator or belongs to a fleet
	// of up to joinIntervalFleetSize VMs. In larger fleets the other VMs join less often, up
	// to maxJoinInterval, because each call has a price and uses part of the store's capacity.
	joinInterval          = 300 * time.Millisecond
	joinIntervalFleetSize = 16
	maxJoinInterval       = 1200 * time.Millisecond
	// joinTimeout bounds a call to the store, which normally answers within milliseconds.
	joinTimeout = 600 * time.Millisecond
	// CoordinatorSessionTimeout is the session timeout of the coordinator: how long after its
	// last join the store keeps its partitions. It allows four lost joins.
	CoordinatorSessionTimeout = 1500 * time.Millisecond
	// SessionTimeout is the session timeout of the other VMs of a large fleet: it allows three
	// lost joins. In a smaller fleet, whose VMs join more often, it is shorter, down to
	// minSessionTimeout, so that the shares of lost VMs are assigned to others sooner. It is
	// also how long buckets are still refilled in an outage of the store.
	SessionTimeout    = 4500 * time.Millisecond
	minSessionTimeout = 2400 * time.Millisecond
	// leadershipLease is how long after the last confirmed join a VM still acts as the
	// coordinator. It is well below CoordinatorSessionTimeout, after which a successor may be
	// named.
	leadershipLease = 900 * time.Millisecond
	// commandFlight is how long after its last check of the fencing token a coordinator's command
	// may still arrive at an engine.
	commandFlight = 300 * time.Millisecond
	// lateJoinPeriod is how long after a join without an answer the store may execute it.
	lateJoinPeriod = 6 * time.Second
)

// Config holds the dependencies of a Membership.
type Config struct {
	Self  Member
	Store Store
	// Partitions is the number of partitions that are assigned: several for each VM, so that
	// the VMs' shares differ little.
	Partitions int
	// Lease is the time within which engines must not get orders from one VM, then another, then
	// the first again.
	Lease time.Duration
	// Fenced is set if engines check fencing tokens.
	Fenced bool
	// Now is a monotonic clock that also counts suspended time.
	Now    func() time.Duration
	Events *timeline.Recorder
	// Informed reports whether a relay currently informs this VM of the members.
	Informed func() bool
	// OnShare is called with this VM's share of the rates, and when the share expires on the
	// clock Now. It is called with the lock of the Membership held.
	OnShare func(share float64, until time.Duration)
}

// Membership maintains this VM's membership. Create it with [New] and call [Membership.Run].
// It is safe for concurrent use.
type Membership struct {
	cfg Config
	// wake ends the pause before the next join.
	wake chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu. generation is the group's generation as of the last
	// confirmed join, which was requested at confirmedAt.
	generation  int64
	confirmedAt time.Duration
	// memberList is the member list that this VM has last read from the store or received.
	// memberListGeneration is the generation it was read for, memberListAt the time at which
	// it was valid.
	memberList           MemberList
	memberListGeneration int64
	memberListAt         time.Duration
	// era is the highest known era of the store, eraSeenAt when it was first known, 0 if it is the
	// first one. joinedEra is the era of the last confirmed join.
	era, joinedEra int64
	eraSeenAt      time.Duration
	// ownClaimAllowedAt is ordersAllowedAt as of before the last change of the era. It counts if the newest
	// claim in the copy is this VM's own: none has acted since it gave that up.
	ownClaimAllowedAt time.Duration
	// formerShare is this VM's share in the former era, and formerUntil when the shares of the former
	// era have ended on all VMs.
	formerShare float64
	formerUntil time.Duration
	// rereadOwners is set if the owners are to be read again. coordinatorLostAt is since when
	// no VM answers as the coordinator, 0 while one does.
	rereadOwners      bool
	coordinatorLostAt time.Duration
	// leaderSince is when partition 0 was assigned to this VM, 0 if it does not hold it.
	leaderSince time.Duration
	// fence is the fencing token of this VM's claim, 0 if it has none.
	fence int64
	// ordersAllowedAt is when this process may give orders after the loss of a claim, if another
	// VM has made the newest claim. startWaitUntil is the same for the orders of this VM's former
	// processes; it is not valid before started is set, by the first join. historyRead is set once
	// the claim history has shown whether they may have given any.
	ordersAllowedAt time.Duration
	startWaitUntil  time.Duration
	started         bool
	historyRead     bool
	// claimAt is when the wait before the next claim ends, 0 if none is in progress.
	claimAt     time.Duration
	leaving     bool
	joinFailing bool
	// share is this VM's share of the rates, which it has until shareUntil.
	share      float64
	shareUntil time.Duration
	// lostJoins are the joins without an answer that the store may still execute.
	lostJoins []lostJoin
	// ownersRead is set once this process has read the owners from the store. former holds the
	// members of this VM's former processes whose memberships it has yet to end. formerCoordinator
	// is the one of them that holds partition 0 and whose claim is yet to be released, or "".
	ownersRead        bool
	former            []Member
	formerCoordinator Member
}

// lostJoin is a join without an answer.
type lostJoin struct {
	requestedAt    time.Duration
	sessionTimeout time.Duration
}

// New returns a Membership that has not joined yet.
func New(cfg Config) *Membership {
	return &Membership{cfg: cfg, wake: make(chan struct{}, 1)}
}

// Run joins repeatedly until ctx ends, and returns the error of ctx.
func (m *Membership) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		m.joinOnce(ctx)
		select {
		case <-ctx.Done():
		case <-m.wake:
		case <-time.After(m.pause()):
		}
	}
	return ctx.Err()
}

// pause returns the time until the next join. A failed join is repeated after joinInterval. The
// next join is earlier if this VM may claim the leadership then.
func (m *Membership) pause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.joinFailing {
		return joinInterval
	}
	if wait := m.claimAt - m.cfg.Now(); m.claimAt != 0 && wait > 0 {
		return min(m.interval(), wait)
	}
	return m.interval()
}

// interval returns how often this VM joins. The caller holds mu.
func (m *Membership) interval() time.Duration {
	if m.leaderSince != 0 {
		return joinInterval
	}
	return m.followerInterval()
}

// followerInterval is interval of a VM that is not to be the coordinator. The caller holds mu.
func (m *Membership) followerInterval() time.Duration {
	byFleet := joinInterval * time.Duration(len(m.memberList.Members)) / joinIntervalFleetSize
	return min(max(byFleet, joinInterval), maxJoinInterval)
}

// joinOnce joins once and applies the assigned partitions of the answer. It then reads the
// owners of the partitions and writes a claim, if either is needed. It does nothing if this
// VM is leaving.
func (m *Membership) joinOnce(ctx context.Context) {
	requestedAt := m.cfg.Now()
	m.mu.Lock()
	if !m.started {
		// The VM's former process may have given orders until just before the start.
		m.started, m.startWaitUntil = true, m.ordersAllowedAfter(requestedAt)
	}
	leaving := m.leaving
	generation, timeout := m.generation, m.sessionTimeout()
	if m.joinedEra != m.era {
		// A generation of the former era might confirm revocations that this VM has not seen.
		generation = 0
	}
	m.mu.Unlock()
	if leaving {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	assigned, err := m.cfg.Store.Join(callCtx, m.cfg.Self, m.cfg.Partitions, timeout, generation)
	cancel()
	if m.recordJoinResult(err); err != nil {
		m.recordLostJoin(lostJoin{requestedAt, timeout})
		return
	}
	m.applyAssignment(assigned, requestedAt, timeout)
	m.readOwners(ctx, assigned.Generation)
	m.endFormerMemberships(ctx)
	m.claim(ctx)
}

// recordJoinResult records an event for the first of several consecutive failed joins.
func (m *Membership) recordJoinResult(err error) {
	m.mu.Lock()
	first := err != nil && !m.joinFailing
	m.joinFailing = err != nil
	m.mu.Unlock()
	if first {
		m.cfg.Events.Record(event.JoinFailed, timeline.Fields{"reason": err.Error()})
	}
}

// sessionTimeout returns how long the store is to keep this VM's partitions after a join. The
// caller holds mu.
func (m *Membership) sessionTimeout() time.Duration {
	if m.leaderSince != 0 {
		return CoordinatorSessionTimeout
	}
	return m.followerSessionTimeout()
}

// followerSessionTimeout is sessionTimeout of a VM that is not to be the coordinator. The caller holds mu.
func (m *Membership) followerSessionTimeout() time.Duration {
	return max(SessionTimeout*m.followerInterval()/maxJoinInterval, minSessionTimeout)
}

// applyAssignment applies the partitions that the store has assigned in a join, at least for
// sessionTimeout or, if an earlier join without an answer is executed late and replaces that
// session timeout, for its shorter one.
func (m *Membership) applyAssignment(d Dealt, requestedAt, sessionTimeout time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		return // The partitions were released while the call was in progress.
	}
	if d.Era < m.era {
		return // The store was restored after it had answered.
	}
	m.enterEra(d.Era)
	if d.Generation != m.generation {
		m.cfg.Events.Record(event.PartsDealt, timeline.Fields{
			"generation": fmt.Sprint(d.Generation), "parts": fmt.Sprint(len(d.Parts)),
		})
	}
	if m.cfg.Now()-m.confirmedAt >= m.sessionTimeout() {
		// The membership may have ended, and another VM may have been the coordinator since.
		m.loseLeadership(m.confirmedAt + leadershipLease)
	}
	m.generation, m.confirmedAt, m.joinedEra = d.Generation, requestedAt, d.Era
	m.setLeader(slices.Contains(d.Parts, 0))
	m.lostJoins = m.recentLostJoins(requestedAt)
	for _, j := range m.lostJoins {
		sessionTimeout = min(sessionTimeout, j.sessionTimeout)
	}
	share, until := float64(len(d.Parts))/float64(m.cfg.Partitions), requestedAt+sessionTimeout
	if m.cfg.Now() < m.formerUntil {
		share = min(share, m.formerShare)
	}
	m.setShare(share, until)
}

// setShare sets this VM's share of the rates and when it expires. The caller holds mu.
func (m *Membership) setShare(share float64, until time.Duration) {
	m.share, m.shareUntil = share, until
	m.cfg.OnShare(share, until)
}

// recordLostJoin records a join without an answer. It may have been executed, and have set a session
// timeout that ends before the one of the last confirmed join.
func (m *Membership) recordLostJoin(j lostJoin) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lostJoins = append(m.recentLostJoins(j.requestedAt), j)
	if until := j.requestedAt + j.sessionTimeout; until < m.shareUntil && !m.leaving {
		m.setShare(m.share, until)
	}
}

// recentLostJoins returns the joins without an answer that the store may still execute at a time.
// The caller holds mu.
func (m *Membership) recentLostJoins(now time.Duration) []lostJoin {
	return slices.DeleteFunc(m.lostJoins, func(j lostJoin) bool { return now-j.requestedAt > joinTimeout+lateJoinPeriod })
}

// setLeader records whether this VM holds partition 0 and is to be the coordinator. The caller
// holds mu.
func (m *Membership) setLeader(leader bool) {
	switch {
	case !leader:
		m.loseLeadership(m.cfg.Now())
	case m.leaderSince == 0:
		m.leaderSince = m.cfg.Now()
	}
}

// loseLeadership records that this VM does not hold partition 0 any more and has given no orders
// since the time at. The caller holds mu.
func (m *Membership) loseLeadership(at time.Duration) {
	m.loseClaim(at)
	m.leaderSince, m.claimAt = 0, 0
}

// loseClaim records that this VM has no claim any more and has given no orders since the time at.
// The caller holds mu.
func (m *Membership) loseClaim(at time.Duration) {
	if m.fence != 0 {
		m.ordersAllowedAt = max(m.ordersAllowedAt, m.ordersAllowedAfter(at))
	}
	m.fence = 0
}

// ReportCoordinator reports whether the VM that is to be the coordinator has answered as such.
// If it has not, the owners of the partitions are read again.
func (m *Membership) ReportCoordinator(answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case answered:
		m.coordinatorLostAt = 0
	case m.coordinatorLostAt == 0:
		m.coordinatorLostAt = m.cfg.Now()
	}
	m.rereadOwners = m.rereadOwners || !answered
}

// Times of reading the owners of partitions.
const (
	// ownersInterval is the minimum time between two reads of the owners, since each call has
	// a price. It does not apply to a VM that knows no members, nor in a new generation to the
	// VM that is to be the coordinator. The owners are read again even within a generation,
	// because a partition can be handed over without a new one.
	ownersInterval = time.Second
	// informedWait is how long a VM that is informed by a relay waits for it to name the next
	// coordinator. Relays know it once the membership of the previous one has ended.
	informedWait = 2 * CoordinatorSessionTimeout
)

// readOwners reads the owners of the partitions when they may have changed, and once for each
// generation if this VM is to be the coordinator or no coordinator answers. Other VMs only
// need the coordinator's address, which has not changed as long as it answers, or are informed
// by a relay.
func (m *Membership) readOwners(ctx context.Context, generation int64) {
	now := m.cfg.Now()
	informed := m.cfg.Informed()
	m.mu.Lock()
	known := m.ownersKnown(generation, now, informed)
	m.mu.Unlock()
	if known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	owners, err := m.cfg.Store.Owners(ctx, m.cfg.Partitions)
	if err != nil {
		m.cfg.Events.Record(event.JoinFailed, timeline.Fields{"reason": "owners: " + err.Error()})
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.memberList, m.memberListGeneration, m.memberListAt = newMemberList(m.cfg.Self, owners), generation, now
	m.ownersRead, m.former, m.formerCoordinator = true, formerMembers(m.cfg.Self, owners), ""
	if slices.Contains(m.former, owners[0]) {
		m.formerCoordinator = owners[0]
	}
}

// endFormerMemberships ends the memberships of this VM's former processes, whose partitions would
// otherwise be unused until their session timeouts. Their processes are dead, because this one has
// opened their listeners' addresses before it joined. A call that fails is repeated after the next
// join. The claim of a former coordinator is released first, because its successor may claim as
// soon as the membership has ended.
func (m *Membership) endFormerMemberships(ctx context.Context) {
	m.mu.Lock()
	former := m.former
	m.mu.Unlock()
	if len(former) == 0 {
		return
	}
	m.releaseFormerClaim(ctx)
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var failed []Member
	for _, f := range former {
		if err := m.cfg.Store.Leave(ctx, f); err != nil {
			failed = append(failed, f)
			m.cfg.Events.Record(event.JoinFailed, timeline.Fields{"reason": "leave of a former process: " + err.Error()})
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.former = failed
}

// ownersKnown reports whether the owners need not be read now. It resets rereadOwners if they
// are to be read. The caller holds mu.
func (m *Membership) ownersKnown(generation int64, now time.Duration, informed bool) bool {
	leader := m.leaderSince != 0
	if len(m.memberList.Members) == 0 || !m.ownersRead {
		return false
	}
	if informed && !leader && (m.coordinatorLostAt == 0 || now-m.coordinatorLostAt < informedWait) {
		return true
	}
	stale := m.memberListGeneration != generation && (leader || m.coordinatorLostAt != 0)
	if stale && leader {
		return false
	}
	if (stale || m.rereadOwners) && now-m.memberListAt >= ownersInterval {
		m.rereadOwners = false
		return false
	}
	return true
}

// storeContactTimeout is how long after the last confirmed join this VM still counts as being
// in contact with the store. It is three fifths of the 5 s within which withdrawn keys have to
// stop working; after 5 s this VM can no longer serve requests with keys.
const storeContactTimeout = 3 * time.Second

// InContact reports whether the store has confirmed a join of this VM within
// storeContactTimeout, or this VM is leaving.
func (m *Membership) InContact() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving || m.cfg.Now()-m.confirmedAt < storeContactTimeout
}

// Coordinator returns the member that is to be the coordinator, and whether one is known.
func (m *Membership) Coordinator() (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.memberList.Coordinator, m.memberList.Coordinator != ""
}

// Size returns the number of VMs that hold partitions, at least 1.
func (m *Membership) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.memberList.Members), 1)
}

// MemberList returns the member list, and the time on the clock Now at which it was valid. The
// caller must not modify it.
func (m *Membership) MemberList() (MemberList, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.memberList, m.memberListAt
}

// UpdateMembers applies a member list received from another VM, valid at a time on the clock
// Now. It ignores an empty list and one that is not newer than the current list.
func (m *Membership) UpdateMembers(members MemberList, at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at > m.memberListAt && len(members.Members) > 0 {
		m.memberList, m.memberListAt = members.withoutDuplicates(m.cfg.Self), at
	}
}

// Leave releases the leadership and the partitions, and ends the membership. It returns the
// errors of the calls to the store.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	fence := m.fence
	m.loseLeadership(m.cfg.Now())
	m.setShare(0, 0)
	m.mu.Unlock()
	var released error
	if fence != 0 {
		// The claim is at position fence-1, so its release must be written at the next one.
		_, released = m.cfg.Store.WriteClaim(ctx, m.claimant(), true, fence)
	}
	return errors.Join(released, m.cfg.Store.Leave(ctx, m.cfg.Self))
}
