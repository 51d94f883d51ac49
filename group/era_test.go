package group_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
	"toucanfall/group"
)

func (l *claimLog) currentEra() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

// restore returns the claims and the group to their state of a time ago, in a new era.
func (f *testFleet) restore(age time.Duration) {
	f.claims.mu.Lock()
	defer f.claims.mu.Unlock()
	at := time.Now().Add(-age)
	f.claims.era++
	for n := len(f.claims.list); n > 0 && f.claims.written[n-1].After(at); n-- {
		f.claims.list, f.claims.written = f.claims.list[:n-1], f.claims.written[:n-1]
	}
	f.group.Restore(at)
}

// fenceWatch holds the highest fencing token and its holder.
type fenceWatch struct {
	fence int64
	vm    fleet.VMID
}

// check returns an error if a VM may give orders with a token that is not higher than those of others.
func (w *fenceWatch) check(f *testFleet) error {
	for _, v := range f.vms {
		fence, ok := v.membership.FencingToken()
		if !ok || v.dead.Load() {
			continue
		}
		if fence < w.fence || fence == w.fence && v.id != w.vm {
			return fmt.Errorf("%s has the fencing token %d after %d of %s", v.id, fence, w.fence, w.vm)
		}
		w.fence, w.vm = fence, v.id
	}
	return nil
}

// watchRestored checks the turns, the tokens and the shares during a period.
func (f *testFleet) watchRestored(w *fenceWatch, d time.Duration) error {
	for end := f.now() + d; f.now() < end; time.Sleep(20 * time.Millisecond) {
		for _, check := range []func() error{f.checkTurns, func() error { return w.check(f) }, f.checkSharesOfAlive} {
			if err := check(); err != nil {
				return fmt.Errorf("at %s: %w", f.now(), err)
			}
		}
	}
	return nil
}

// checkSharesOfAlive returns an error if the shares of the processes that have not ended add up to over 1.
func (f *testFleet) checkSharesOfAlive() error {
	var sum float64
	for _, v := range f.vms {
		if !v.dead.Load() {
			sum += v.activeShare(f.now())
		}
	}
	if sum > 1+1e-9 {
		return fmt.Errorf("shares add up to %v", sum)
	}
	return nil
}

// Guards against a coordinator that acts under a claim that is gone with the copy, beside one that the copy
// names: the claim of the second VM is lost, and the copy names the first, which claimed again at once.
func TestLostClaimIsWaitedFor(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced=%t", fenced), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTestFleet()
				f.fenced = fenced
				defer f.close()
				first, second := f.startTwo()
				var w fenceWatch
				is.NoErr(f.watchRestored(&w, time.Second))
				before := f.now()
				time.Sleep(time.Millisecond)
				f.group.SetRotation(1)
				f.group.Leave("nobody") // A new assignment.
				is.NoErr(f.watchRestored(&w, 10*time.Second))
				_, ok := second.membership.FencingToken()
				is.True(ok)
				f.restore(f.now() - before)
				is.NoErr(f.watchRestored(&w, 10*time.Second))
				_, ok = first.membership.FencingToken()
				is.True(ok)
				_, ok = second.membership.FencingToken()
				is.True(!ok)
			})
		})
	}
}

// Guards against a share of a former era that is still refilled from once the new era is known.
func TestShareOfFormerEraEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet()
		defer f.close()
		first, _ := f.startTwo()
		is.True(first.activeShare(f.now()) > 0)
		first.disconnected.Store(true)
		first.membership.ObserveEra(1)
		is.Equal(first.activeShare(f.now()), 0.0)
		_, ok := first.membership.FencingToken()
		is.True(!ok)
		first.disconnected.Store(false)
		f.restore(0)
		time.Sleep(400 * time.Millisecond)
		is.True(first.activeShare(f.now()) > 0)
	})
}

// Guards against tokens of teams that are dropped on all VMs at once when the store was restored: the
// share of the former era no longer accrues, but bounds what a VM may keep until its next join.
func TestShareOfFormerEraKeepsTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet()
		defer f.close()
		first, _ := f.startTwo()
		first.disconnected.Store(true)
		first.membership.ObserveEra(1)
		first.mu.Lock()
		defer first.mu.Unlock()
		is.True(first.share > 0)
		is.True(first.until <= f.now())
	})
}

// Guards against two coordinators, a lower fencing token after a higher one, and VMs that use the same
// partition, while the store is restored again and again and VMs are killed and restarted.
func TestRandomRestoresKeepOneCoordinator(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rng := rand.New(rand.NewPCG(seed, 1))
				f := newTestFleet()
				f.fenced = rng.IntN(2) == 0
				defer f.close()
				f.addAndElect(2 + rng.IntN(4))
				var w fenceWatch
				for range 15 {
					is.NoErr(f.randomStep(rng))
					is.NoErr(f.watchRestored(&w, time.Duration(200+rng.IntN(6000))*time.Millisecond))
				}
				time.Sleep(10 * time.Second)
				is.NoErr(f.checkTurns())
			})
		})
	}
}

// randomStep restores the store, changes the assignment, or kills a VM and starts its next process.
func (f *testFleet) randomStep(rng *rand.Rand) error {
	switch v := f.vms[rng.IntN(len(f.vms))]; rng.IntN(4) {
	case 0, 1:
		f.restore(time.Duration(rng.IntN(10_000)) * time.Millisecond)
	case 2:
		f.group.SetRotation(rng.IntN(len(f.vms)))
		f.group.Leave("nobody")
	case 3:
		if v.dead.Load() {
			return nil
		}
		v.kill()
		time.Sleep(group.SessionTimeout)
		f.addAs(v.id)
	}
	return nil
}
