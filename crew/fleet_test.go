package crew_test

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

	"toucanfall/crew"
	"toucanfall/fleet"
	"toucanfall/platform/standin"
	"toucanfall/timeline"
)

// store is a group and a claim log in memory. VMs that are cut get errors.
type store struct {
	group *standin.Group
	vm    *vm

	claims *claims
}

type claims struct {
	mu   sync.Mutex
	list []crew.Claim
}

func topic(p int) string { return fmt.Sprintf("t%d", p/8) }

func (s *store) Join(_ context.Context, m crew.Member, n int, life time.Duration, generation int64) (crew.Dealt, error) {
	if s.vm.cut.Load() {
		return crew.Dealt{}, errCut
	}
	var topics []string
	for p := 0; p < n; p += 8 {
		topics = append(topics, topic(p))
	}
	g, dealt := s.group.Join(string(m), topics, life, generation)
	out := crew.Dealt{Generation: g}
	for _, p := range dealt {
		out.Parts = append(out.Parts, crew.Partition(slices.Index(topics, p.Topic)*8+p.Index))
	}
	return out, nil
}

func (s *store) Leave(_ context.Context, m crew.Member) error {
	s.group.Leave(string(m))
	return nil
}

func (s *store) Owners(context.Context, int) (map[crew.Partition]crew.Member, error) {
	s.vm.reads.Add(1)
	if s.vm.cut.Load() {
		return nil, errCut
	}
	out := make(map[crew.Partition]crew.Member)
	for p, m := range s.group.Owners() {
		var n int
		_, _ = fmt.Sscanf(p.Topic, "t%d", &n) // The topics are this test's own.
		out[crew.Partition(n*8+p.Index)] = crew.Member(m)
	}
	return out, nil
}

func (s *store) ReadClaim(context.Context) (crew.Claim, error) {
	if s.vm.cut.Load() {
		return crew.Claim{}, errCut
	}
	s.claims.mu.Lock()
	defer s.claims.mu.Unlock()
	if n := len(s.claims.list); n > 0 {
		c := s.claims.list[n-1]
		c.Next = int64(n)
		return c, nil
	}
	return crew.Claim{}, nil
}

func (s *store) WriteClaim(_ context.Context, holder fleet.VMID, released bool, at int64) (int64, error) {
	if s.vm.cut.Load() {
		return 0, errCut
	}
	s.claims.mu.Lock()
	defer s.claims.mu.Unlock()
	if at != int64(len(s.claims.list)) {
		return 0, errors.New("another claim came first")
	}
	s.claims.list = append(s.claims.list, crew.Claim{Holder: holder, Released: released})
	return at, nil
}

// vm is a VM with its crew.
type vm struct {
	id  fleet.VMID
	cut atomic.Bool
	// told is set while a relay tells the VM of the members.
	told atomic.Bool
	// reads counts the questions for the owners of parts.
	reads atomic.Int64
	crew  *crew.Crew
	stop  context.CancelFunc
	mu    sync.Mutex
	share float64
	until time.Duration
}

// minting returns the share that the VM mints at a time.
func (v *vm) minting(now time.Duration) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now >= v.until {
		return 0
	}
	return v.share
}

// fleetOf is a fleet of VMs under one store.
type fleetOf struct {
	start  time.Time
	group  *standin.Group
	claims *claims
	vms    []*vm
	events *timeline.Recorder
}

func newFleet() *fleetOf {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &fleetOf{start: time.Now(), group: standin.NewGroup(), claims: &claims{}, events: timeline.New("test", 16, logger)}
}

func (f *fleetOf) now() time.Duration { return time.Since(f.start) }

func (f *fleetOf) add() *vm {
	return f.addAs(fleet.VMID(fmt.Sprintf("vm-%d", len(f.vms))))
}

// addAs adds a VM with an id; parts are dealt in the order of the ids.
func (f *fleetOf) addAs(id fleet.VMID) *vm {
	v := &vm{id: id}
	v.crew = crew.New(crew.Config{
		Self: crew.NewMember(v.id, "192.0.2.1:1", "dc-1"), Store: &store{group: f.group, vm: v, claims: f.claims},
		Partitions: parts, Lease: lease, Fenced: true, Now: f.now, Events: f.events, Informed: v.told.Load,
		OnShare: func(share float64, until time.Duration) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.share, v.until = share, until
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	f.vms = append(f.vms, v)
	go func() { _ = v.crew.Run(ctx) }()
	return v
}

// settle adds VMs and waits until one of them is the coordinator and all know of it.
func (f *fleetOf) settle(n int) {
	for range n {
		f.add()
	}
	time.Sleep(2 * lease)
	for _, v := range f.vms {
		v.crew.ReportCoordinator(false) // As its client does whose call was refused.
	}
	time.Sleep(2 * time.Second)
	for _, v := range f.vms {
		v.crew.ReportCoordinator(true)
	}
}

// coordinator returns the VM that another one takes for the coordinator.
func (f *fleetOf) coordinator(seenBy *vm) *vm {
	m, _ := seenBy.crew.Coordinator()
	return f.vms[slices.IndexFunc(f.vms, func(v *vm) bool { return v.id == m.VM() })]
}

// close ends all VMs.
func (f *fleetOf) close() {
	for _, v := range f.vms {
		v.stop()
	}
}

// check reports a rule that does not hold now: all shares together are at most
// one, and at most one VM has the duty.
func (f *fleetOf) check() error {
	var sum float64
	var holders []fleet.VMID
	for _, v := range f.vms {
		sum += v.minting(f.now())
		if _, ok := v.crew.FencingToken(); ok {
			holders = append(holders, v.id)
		}
	}
	if sum > 1+1e-9 {
		return fmt.Errorf("shares add up to %v", sum)
	}
	if len(holders) > 1 {
		return fmt.Errorf("%v have the duty at once", holders)
	}
	return nil
}
