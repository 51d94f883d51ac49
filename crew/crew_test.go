package crew_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/crew"
	"toucanfall/internal/bubble"
)

const (
	parts = 16
	lease = 3 * time.Second
)

var errCut = errors.New("the store cannot be reached")

// A fleet that starts has one coordinator, and mints all of the rates.
func TestFleetStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		defer f.close()
		for range 5 {
			f.add()
		}
		time.Sleep(2*lease + crew.CoordinatorSessionTimeout)
		is.NoErr(f.check())
		var sum float64
		for _, v := range f.vms {
			sum += v.minting(f.now())
		}
		is.Equal(sum, 1.0)
		f.vms[4].crew.ReportCoordinator(false) // As its client does whose call was refused.
		time.Sleep(2 * time.Second)
		_, has := f.coordinator(f.vms[4]).crew.FencingToken()
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
		f.settle(3)
		dead := f.coordinator(f.vms[0])
		before, ok := dead.crew.FencingToken()
		is.True(ok)
		dead.stop()
		dead.cut.Store(true)
		time.Sleep(crew.CoordinatorSessionTimeout - 500*time.Millisecond)
		for _, v := range f.vms {
			_, has := v.crew.FencingToken()
			is.True(v == dead || !has) // too early
		}
		time.Sleep(crew.CoordinatorSessionTimeout)
		var after int64
		for _, v := range f.vms {
			if fence, has := v.crew.FencingToken(); has {
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
		if _, ok := first.crew.FencingToken(); !ok {
			leaver = f.vms[1]
		}
		is.NoErr(leaver.crew.Leave(t.Context()))
		time.Sleep(1500 * time.Millisecond)
		has := 0
		for _, v := range f.vms {
			if _, ok := v.crew.FencingToken(); ok && v != leaver {
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
		first.crew.ReportCoordinator(false)
		second := f.addAs("vm-1")
		var lost, taken time.Duration
		for f.now() < 20*time.Second {
			time.Sleep(100 * time.Millisecond)
			is.NoErr(f.check())
			if _, has := first.crew.FencingToken(); !has && lost == 0 {
				lost = f.now()
			}
			if _, has := second.crew.FencingToken(); has && taken == 0 {
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
		time.Sleep(crew.SessionTimeout + 2*time.Second)
		var sum float64
		has := 0
		for _, v := range f.vms[4:] {
			sum += v.minting(f.now())
			if _, ok := v.crew.FencingToken(); ok {
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
		f.settle(3)
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
		_, still := coordinator.crew.FencingToken()
		is.True(still)
		is.Equal(reads(), before)
	})
}

// Guards against orders under a fencing token after a higher one (ONE): a coordinator whose
// membership has ended while it was cut off, and to which the duty comes back, claims it anew.
func TestDutyThatComesBackIsClaimedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		defer f.close()
		first := f.add()
		time.Sleep(time.Second)
		second := f.add()
		time.Sleep(2 * lease)
		if _, ok := first.crew.FencingToken(); !ok {
			first, second = second, first
		}
		before, ok := first.crew.FencingToken()
		is.True(ok)
		first.cut.Store(true)
		time.Sleep(2 * lease)
		between, ok := second.crew.FencingToken()
		is.True(ok)
		is.True(between > before)
		second.stop()
		second.cut.Store(true)
		time.Sleep(crew.SessionTimeout)
		first.cut.Store(false)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			if fence, ok := first.crew.FencingToken(); ok {
				is.True(fence > between)
			}
		}
		_, ok = first.crew.FencingToken()
		is.True(ok)
	})
}
