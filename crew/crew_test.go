package crew_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"toucanfall/crew"
	"toucanfall/fleet"
	"toucanfall/internal/bubble"
	"toucanfall/platform/standin"
	"toucanfall/timeline"
)

const (
	parts = 16
	lease = 3 * time.Second
)

var errCut = errors.New("the store cannot be reached")

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
		out.Parts = append(out.Parts, crew.Part(slices.Index(topics, p.Topic)*8+p.Index))
	}
	return out, nil
}

func (s *store) Leave(_ context.Context, m crew.Member) error {
	s.group.Leave(string(m))
	return nil
}

func (s *store) Owners(context.Context, int) (map[crew.Part]crew.Member, error) {
	s.vm.reads.Add(1)
	if s.vm.cut.Load() {
		return nil, errCut
	}
	out := make(map[crew.Part]crew.Member)
	for p, m := range s.group.Owners() {
		var n int
		_, _ = fmt.Sscanf(p.Topic, "t%d", &n) // The topics are this test's own.
		out[crew.Part(n*8+p.Index)] = crew.Member(m)
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
		Self: crew.NewMember(v.id, "192.0.2.1:1"), Store: &store{group: f.group, vm: v, claims: f.claims},
		Parts: parts, Lease: lease, Fenced: true, Now: f.now, Events: f.events,
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
		if _, ok := v.crew.Duty(); ok {
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

// A fleet that starts has one coordinator, and mints all of the rates.
func TestFleetStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		defer f.close()
		for range 5 {
			f.add()
		}
		time.Sleep(2*lease + crew.Life)
		is.NoErr(f.check())
		var sum float64
		for _, v := range f.vms {
			sum += v.minting(f.now())
		}
		is.Equal(sum, 1.0)
		f.vms[4].crew.Heard(false) // As its client does whose call was refused.
		time.Sleep(2 * time.Second)
		_, has := f.coordinator(f.vms[4]).crew.Duty()
		is.True(has)
	})
}

// After the coordinator was killed another VM takes its duty once its membership
// has ended, under a higher fence.
func TestDutyOfDeadCoordinatorIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		defer f.close()
		for range 3 {
			f.add()
		}
		time.Sleep(2 * lease)
		f.vms[0].crew.Heard(false)
		time.Sleep(2 * time.Second)
		dead := f.coordinator(f.vms[0])
		before, ok := dead.crew.Duty()
		is.True(ok)
		dead.stop()
		dead.cut.Store(true)
		time.Sleep(crew.Life - 500*time.Millisecond)
		for _, v := range f.vms {
			_, has := v.crew.Duty()
			is.True(v == dead || !has) // too early
		}
		time.Sleep(crew.Life)
		var after int64
		for _, v := range f.vms {
			if fence, has := v.crew.Duty(); has {
				after = fence
			}
		}
		is.True(after > before)
	})
}

// A coordinator that leaves hands its duty over at once.
func TestDutyIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		defer f.close()
		first := f.add()
		time.Sleep(time.Second)
		f.add()
		time.Sleep(2 * lease)
		leaver := first
		if _, ok := first.crew.Duty(); !ok {
			leaver = f.vms[1]
		}
		is.NoErr(leaver.crew.Leave(t.Context()))
		time.Sleep(1500 * time.Millisecond)
		has := 0
		for _, v := range f.vms {
			if _, ok := v.crew.Duty(); ok && v != leaver {
				has++
			}
		}
		is.Equal(has, 1)
	})
}

// A coordinator that is dealt another VM's duty while that VM lives waits for
// its lease.
func TestDutyOfLivingCoordinatorWaitsForLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		defer f.close()
		first := f.addAs("vm-9")
		time.Sleep(2 * time.Second)
		first.crew.Heard(false)
		second := f.addAs("vm-1")
		var lost, taken time.Duration
		for f.now() < 20*time.Second {
			time.Sleep(100 * time.Millisecond)
			is.NoErr(f.check())
			if _, has := first.crew.Duty(); !has && lost == 0 {
				lost = f.now()
			}
			if _, has := second.crew.Duty(); has && taken == 0 {
				taken = f.now()
			}
		}
		is.True(lost > 0 && taken > 0) // The duty was dealt anew.
		is.True(taken-lost >= lease)
	})
}

// After all VMs have died at once, those that are started mint all of the rates
// again and have a coordinator, as soon as the memberships of the dead have ended.
func TestFleetStartsAgainAfterAllDied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		defer f.close()
		for range 4 {
			f.add()
		}
		time.Sleep(2 * lease)
		for _, v := range f.vms {
			v.stop()
			v.cut.Store(true)
		}
		for range 4 {
			f.add()
		}
		time.Sleep(crew.Life + 2*time.Second)
		var sum float64
		has := 0
		for _, v := range f.vms[4:] {
			sum += v.minting(f.now())
			if _, ok := v.crew.Duty(); ok {
				has++
			}
		}
		is.Equal(sum, 1.0)
		is.Equal(has, 1)
	})
}

// Whatever joins, leaves, is killed or cut, the shares never add up to more than
// all, and never two VMs have the duty.
func TestRandomCrew(t *testing.T) {
	bubble.Check(t, func(t *rapid.T) {
		f := newFleet()
		defer f.close()
		for range rapid.IntRange(2, 6).Draw(t, "vms") {
			f.add()
		}
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			v := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")]
			switch rapid.SampledFrom([]string{"cut", "heal", "kill", "leave", "add", "wait", "wait"}).Draw(t, "what") {
			case "cut":
				v.cut.Store(true)
			case "heal":
				v.cut.Store(false)
			case "kill":
				v.stop()
			case "leave":
				if !v.cut.Load() {
					_ = v.crew.Leave(context.Background()) // The stand-in does not fail.
				}
			case "add":
				f.add()
			}
			for range rapid.IntRange(1, 40).Draw(t, "ticks") {
				time.Sleep(100 * time.Millisecond)
				if err := f.check(); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// While the coordinator answers, VMs that come and go cost the others no question
// for the owners of parts.
func TestNewGenerationsCostNoReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		defer f.close()
		for range 3 {
			f.add()
		}
		time.Sleep(2 * lease)
		f.vms[0].crew.Heard(false)
		f.vms[1].crew.Heard(false)
		f.vms[2].crew.Heard(false)
		time.Sleep(2 * time.Second)
		for _, v := range f.vms {
			v.crew.Heard(true)
		}
		coordinator := f.coordinator(f.vms[0])
		reads := func() (n int64) {
			for _, v := range f.vms[:3] {
				if v != coordinator { // It tells the others how many VMs there are.
					n += v.reads.Load()
				}
			}
			return n
		}
		before := reads()
		for range 5 {
			v := f.add()
			time.Sleep(time.Second)
			is.NoErr(v.crew.Leave(t.Context()))
			time.Sleep(time.Second)
		}
		_, still := coordinator.crew.Duty()
		is.True(still)
		is.Equal(reads(), before)
	})
}
