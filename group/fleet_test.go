package group_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"toucanfall/fleet"
	"toucanfall/group"
	"toucanfall/internal/logpos"
	"toucanfall/platform/standin"
	"toucanfall/timeline"
)

// testStore is a group and a claim log in memory. Calls of disconnected VMs fail.
type testStore struct {
	group *standin.Group
	vm    *testVM

	claims *claimLog
}

// claimLog holds the claims in the order of their offsets.
type claimLog struct {
	mu   sync.Mutex
	list []group.Claim
	// written holds the time of each claim. If retention is not 0, claims that are older have
	// expired, except the newest.
	written   []time.Time
	retention time.Duration
	// era counts the restores.
	era int64
}

// first returns the offset of the first claim that has not expired. The caller holds mu.
func (l *claimLog) first() int {
	if l.retention == 0 {
		return 0
	}
	i := slices.IndexFunc(l.written, func(at time.Time) bool { return time.Since(at) <= l.retention })
	if i < 0 {
		return len(l.list)
	}
	return i
}

// topic returns the topic of a partition; each topic has 8.
func topic(p int) string { return fmt.Sprintf("t%d", p/8) }

// fate is what becomes of a call to the store.
type fate int

const (
	answered fate = iota
	lost          // It is not executed.
	unanswered
	late // It has no answer, and is executed after the VM's lateAfter.
)

// unansweredFor is how long a call without an answer takes: the timeout of the calls.
const unansweredFor = 600 * time.Millisecond

// call executes a write of this VM as fate says. It fails if the write has no answer.
func (s *testStore) call(ctx context.Context, name string, execute, executeLate func()) error {
	f := answered
	if of := s.vm.fate.Load(); of != nil {
		f = (*of)(name)
	}
	switch {
	case s.vm.disconnected.Load() || f == lost:
	case f == answered:
		execute()
		return nil
	case f == unanswered:
		execute()
	case f == late:
		executeLate()
	}
	select {
	case <-ctx.Done():
	case <-time.After(unansweredFor):
	}
	return errUnreachable
}

// callLater is call for a write that a timer executes if it is late.
func (s *testStore) callLater(ctx context.Context, name string, execute func()) error {
	return s.call(ctx, name, execute, func() { time.AfterFunc(s.vm.lateAfter, execute) })
}

func (s *testStore) Join(ctx context.Context, m group.Member, n int, sessionTimeout time.Duration, generation int64) (group.Dealt, error) {
	var topics []string
	for p := 0; p < n; p += 8 {
		topics = append(topics, topic(p))
	}
	var out group.Dealt
	err := s.callLater(ctx, "join", func() {
		g, assigned := s.group.Join(string(m), topics, sessionTimeout, generation)
		d := group.Dealt{Era: s.claims.currentEra(), Generation: g}
		for _, p := range assigned {
			d.Parts = append(d.Parts, group.Partition(slices.Index(topics, p.Topic)*8+p.Index))
		}
		out = d
	})
	if err != nil {
		return group.Dealt{}, err
	}
	return out, nil
}

func (s *testStore) Leave(ctx context.Context, m group.Member) error {
	return s.call(ctx, "leave", func() { s.group.Leave(string(m)) }, func() { s.group.LeaveLate(string(m), s.vm.lateAfter) })
}

func (s *testStore) Owners(context.Context, int) (map[group.Partition]group.Member, error) {
	s.vm.ownerReads.Add(1)
	if s.vm.disconnected.Load() {
		return nil, errUnreachable
	}
	out := make(map[group.Partition]group.Member)
	for p, m := range s.group.Owners() {
		var n int
		_, _ = fmt.Sscanf(p.Topic, "t%d", &n) // The topics are this test's own.
		out[group.Partition(n*8+p.Index)] = group.Member(m)
	}
	return out, nil
}

func (s *testStore) ReadClaim(context.Context) (group.Claim, error) {
	if s.vm.disconnected.Load() {
		return group.Claim{}, errUnreachable
	}
	s.claims.mu.Lock()
	defer s.claims.mu.Unlock()
	if n := len(s.claims.list); n > 0 {
		c := s.claims.list[n-1]
		c.Next = int64(logpos.At(s.claims.era, int64(n)))
		if s.claims.first() > n-2 && c.Released {
			c.Claimed = c.Holder // The claim has expired.
		}
		return c, nil
	}
	return group.Claim{Next: int64(logpos.At(s.claims.era, 0))}, nil
}

func (s *testStore) ReadClaimHistory(_ context.Context, end int64) (out []group.ClaimRecord, err error) {
	s.vm.historyReads.Add(1)
	if s.vm.disconnected.Load() || s.vm.historyFails.Load() {
		return nil, errUnreachable
	}
	s.claims.mu.Lock()
	defer s.claims.mu.Unlock()
	for i := s.claims.first(); i < len(s.claims.list); i++ {
		c := s.claims.list[i]
		out = append(out, group.ClaimRecord{Holder: c.Holder, Released: c.Released, Offset: int64(i), Era: c.Era})
	}
	if len(out) == 0 || out[len(out)-1].Offset < logpos.Position(end).Offset()-1 {
		return nil, errors.New("the newest claim has expired")
	}
	return out, nil
}

func (s *testStore) WriteClaim(ctx context.Context, holder group.Claimant, released bool, position int64) (int64, error) {
	at, conflict := logpos.Position(position), false
	err := s.callLater(ctx, "claim", func() {
		s.claims.mu.Lock()
		defer s.claims.mu.Unlock()
		var claimed group.Claimant
		if n := len(s.claims.list); released && n > 0 && s.claims.list[n-1].Era == at.Era() {
			claimed = s.claims.list[n-1].Holder
		}
		// The store knows only offsets: the condition can hold again in a later era.
		if conflict = at.Offset() != int64(len(s.claims.list)); !conflict {
			s.claims.written = append(s.claims.written, time.Now())
			s.claims.list = append(s.claims.list, group.Claim{Holder: holder, Released: released, Claimed: claimed, Era: at.Era()})
			conflict = at.Era() != s.claims.era
		}
	})
	if err == nil && conflict {
		err = errors.New("another claim came first")
	}
	return position, err
}

// testVM is a VM with its membership.
type testVM struct {
	id           fleet.VMID
	self         group.Member
	disconnected atomic.Bool
	// dead is set once the process has ended: it issues no commands.
	dead atomic.Bool
	// fate, if set, says what becomes of a write by its name: join, leave or claim.
	fate atomic.Pointer[func(name string) fate]
	// lateAfter is when late writes are executed. It does not change once fate is set.
	lateAfter time.Duration
	// informed is set while a relay informs the VM of the members.
	informed atomic.Bool
	// ownerReads counts the reads of the owners of partitions.
	ownerReads atomic.Int64
	// historyReads counts the reads of the claim history.
	historyReads atomic.Int64
	// historyFails is set while these reads fail.
	historyFails atomic.Bool
	membership   *group.Membership
	stop         context.CancelFunc
	mu           sync.Mutex
	share        float64
	until        time.Duration
}

// activeShare returns the VM's share at a time, 0 if it has expired.
func (v *testVM) activeShare(now time.Duration) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now >= v.until {
		return 0
	}
	return v.share
}

// testFleet is a fleet of VMs that use one store.
type testFleet struct {
	start  time.Time
	group  *standin.Group
	claims *claimLog
	vms    []*testVM
	events *timeline.Recorder
	fenced bool
	// partitions is the number of partitions of each VM's configuration.
	partitions int
	// acted holds the VMs that may issue commands, in their order, each with the time of the
	// last check at which it might.
	acted []turn
}

// turn is a period in which one VM was the coordinator.
type turn struct {
	vm   fleet.VMID
	last time.Duration
}

func newTestFleet() *testFleet {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &testFleet{start: time.Now(), group: standin.NewGroup(), claims: &claimLog{}, events: timeline.New("test", 16, logger), fenced: true, partitions: parts}
}

func (f *testFleet) now() time.Duration { return time.Since(f.start) }

func (f *testFleet) add() *testVM {
	return f.addAs(fleet.VMID(fmt.Sprintf("vm-%d", len(f.vms))))
}

// addAs adds a VM with an id. Partitions are assigned in the order of the ids.
func (f *testFleet) addAs(id fleet.VMID) *testVM {
	return f.startProcess(&testVM{id: id})
}

// setFate sets what becomes of the writes of a process from now on.
func (v *testVM) setFate(of func(name string) fate, lateAfter time.Duration) {
	v.lateAfter = lateAfter
	v.fate.Store(&of)
}

// kill ends the process of a VM without a leave.
func (v *testVM) kill() {
	v.dead.Store(true)
	v.stop()
}

// startProcess starts the process v.
func (f *testFleet) startProcess(v *testVM) *testVM {
	v.self = group.NewMember(v.id, "192.0.2.1:1", "dc-1", group.NewProcess())
	v.membership = group.New(group.Config{
		Self: v.self, Store: &testStore{group: f.group, vm: v, claims: f.claims},
		Partitions: f.partitions, Lease: lease, Fenced: f.fenced, Now: f.now, Events: f.events, Informed: v.informed.Load,
		OnShare: func(share float64, until time.Duration) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.share, v.until = share, until
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	f.vms = append(f.vms, v)
	go func() { _ = v.membership.Run(ctx) }()
	return v
}

// addAndElect adds VMs and waits until one of them is the coordinator and all of them know it.
func (f *testFleet) addAndElect(n int) {
	for range n {
		f.add()
	}
	time.Sleep(2 * lease)
	for _, v := range f.vms {
		v.membership.ReportCoordinator(false) // As a client does whose call was refused.
	}
	time.Sleep(2 * time.Second)
	for _, v := range f.vms {
		v.membership.ReportCoordinator(true)
	}
}

// coordinator returns the VM that another one considers the coordinator.
func (f *testFleet) coordinator(seenBy *testVM) *testVM {
	m, _ := seenBy.membership.Coordinator()
	return f.vms[slices.IndexFunc(f.vms, func(v *testVM) bool { return v.id == m.VM() })]
}

// close stops all VMs.
func (f *testFleet) close() {
	for _, v := range f.vms {
		v.stop()
	}
}

// checkTurns returns an error if two processes may issue commands now, or if a VM may that did so
// before another one, less than the lease ago.
func (f *testFleet) checkTurns() error {
	var holder *testVM
	for _, v := range f.vms {
		if _, ok := v.membership.FencingToken(); !ok || v.dead.Load() {
			continue
		}
		if holder != nil {
			return fmt.Errorf("%s and %s are the coordinator at the same time", holder.id, v.id)
		}
		holder = v
	}
	if holder == nil {
		return nil
	}
	if n := len(f.acted); n > 0 && f.acted[n-1].vm == holder.id {
		f.acted[n-1].last = f.now()
		return nil
	}
	for _, t := range f.acted {
		if t.vm == holder.id && f.now()-t.last < lease {
			return fmt.Errorf("%s is the coordinator again %s after it last was, and another VM was in between", holder.id, f.now()-t.last)
		}
	}
	f.acted = append(f.acted, turn{holder.id, f.now()})
	return nil
}

// watchTurns checks the turns during a period. It ends at the first error.
func (f *testFleet) watchTurns(d time.Duration) error {
	for end := f.now() + d; f.now() < end; time.Sleep(20 * time.Millisecond) {
		if err := f.checkTurns(); err != nil {
			return fmt.Errorf("at %s: %w", f.now(), err)
		}
	}
	return nil
}

// checkInvariants returns an error if an invariant is violated now: all shares add up to at
// most 1, and at most one VM holds the leadership.
func (f *testFleet) checkInvariants() error {
	var sum float64
	var holders []fleet.VMID
	for _, v := range f.vms {
		sum += v.activeShare(f.now())
		if _, ok := v.membership.FencingToken(); ok {
			holders = append(holders, v.id)
		}
	}
	if sum > 1+1e-9 {
		return fmt.Errorf("shares add up to %v", sum)
	}
	if len(holders) > 1 {
		return fmt.Errorf("%v hold the leadership at the same time", holders)
	}
	return nil
}
