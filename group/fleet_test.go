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
}

// topic returns the topic of a partition; each topic has 8.
func topic(p int) string { return fmt.Sprintf("t%d", p/8) }

func (s *testStore) Join(_ context.Context, m group.Member, n int, sessionTimeout time.Duration, generation int64) (group.Dealt, error) {
	if s.vm.disconnected.Load() {
		return group.Dealt{}, errUnreachable
	}
	var topics []string
	for p := 0; p < n; p += 8 {
		topics = append(topics, topic(p))
	}
	g, assigned := s.group.Join(string(m), topics, sessionTimeout, generation)
	out := group.Dealt{Generation: g}
	for _, p := range assigned {
		out.Parts = append(out.Parts, group.Partition(slices.Index(topics, p.Topic)*8+p.Index))
	}
	return out, nil
}

func (s *testStore) Leave(_ context.Context, m group.Member) error {
	s.group.Leave(string(m))
	return nil
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
		c.Next = int64(n)
		return c, nil
	}
	return group.Claim{}, nil
}

func (s *testStore) WriteClaim(_ context.Context, holder fleet.VMID, released bool, offset int64) (int64, error) {
	if s.vm.disconnected.Load() {
		return 0, errUnreachable
	}
	s.claims.mu.Lock()
	defer s.claims.mu.Unlock()
	if offset != int64(len(s.claims.list)) {
		return 0, errors.New("another claim came first")
	}
	s.claims.list = append(s.claims.list, group.Claim{Holder: holder, Released: released})
	return offset, nil
}

// testVM is a VM with its membership.
type testVM struct {
	id           fleet.VMID
	disconnected atomic.Bool
	// informed is set while a relay informs the VM of the members.
	informed atomic.Bool
	// ownerReads counts the reads of the owners of partitions.
	ownerReads atomic.Int64
	membership *group.Membership
	stop       context.CancelFunc
	mu         sync.Mutex
	share      float64
	until      time.Duration
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
}

func newTestFleet() *testFleet {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &testFleet{start: time.Now(), group: standin.NewGroup(), claims: &claimLog{}, events: timeline.New("test", 16, logger)}
}

func (f *testFleet) now() time.Duration { return time.Since(f.start) }

func (f *testFleet) add() *testVM {
	return f.addAs(fleet.VMID(fmt.Sprintf("vm-%d", len(f.vms))))
}

// addAs adds a VM with an id. Partitions are assigned in the order of the ids.
func (f *testFleet) addAs(id fleet.VMID) *testVM {
	v := &testVM{id: id}
	v.membership = group.New(group.Config{
		Self: group.NewMember(v.id, "192.0.2.1:1", "dc-1"), Store: &testStore{group: f.group, vm: v, claims: f.claims},
		Partitions: parts, Lease: lease, Fenced: true, Now: f.now, Events: f.events, Informed: v.informed.Load,
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
