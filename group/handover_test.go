package group_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/fleet"
	"toucanfall/group"
	"toucanfall/internal/bubble"
)

// startTwo starts two VMs, of which the first is the coordinator, and waits until both may
// hold a claim again after a loss.
func (f *testFleet) startTwo() (first, second *testVM) {
	first = f.addAs("vm-0")
	time.Sleep(time.Second)
	second = f.addAs("vm-1")
	time.Sleep(3 * lease)
	return first, second
}

// always returns a fate for all writes of a kind.
func always(name string, what fate) func(string) fate {
	return func(n string) fate {
		if n == name {
			return what
		}
		return answered
	}
}

// Guards against commands of A, B and A again within the lease: the leave of a stopped
// coordinator had no answer and was executed after its VM's next process had joined. The
// leave ended the membership of that process, and the other VM claimed at once.
func TestLateLeaveOfFormerProcess(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		// The failure needs the leave shortly before a join of the other VM.
		for after := time.Duration(1030); after <= 6000; after += 130 {
			t.Run(fmt.Sprintf("fenced=%t/%d", fenced, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newTestFleet()
					f.fenced = fenced
					defer f.close()
					first, _ := f.startTwo()
					is.NoErr(f.checkTurns())
					first.setFate(always("leave", late), after*time.Millisecond)
					is.True(first.membership.Leave(t.Context()) != nil)
					first.kill()
					is.NoErr(f.watchTurns(200 * time.Millisecond))
					next := f.addAs(first.id)
					is.NoErr(f.watchTurns(20 * time.Second))
					_, own := f.vms[1].membership.FencingToken()
					_, again := next.membership.FencingToken()
					is.True(own != again) // One of them is the coordinator.
				})
			})
		}
	}
}

// Guards against a late join of a former process that takes the membership, or the confirmed
// partitions, of the next process.
func TestLateJoinOfFormerProcess(t *testing.T) {
	for _, after := range []time.Duration{1000, 2500, 5600} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet()
			defer f.close()
			first, second := f.startTwo()
			first.setFate(always("join", late), after*time.Millisecond)
			is.NoErr(f.watchTurns(unansweredFor))
			first.kill()
			next := f.addAs(first.id)
			is.NoErr(f.watchTurns(20 * time.Second))
			is.Equal(next.activeShare(f.now())+second.activeShare(f.now()), 1.0)
			is.True(second.membership.Size() <= 2)
			is.Equal(next.membership.Size(), 2)
		})
	}
}

// Guards against a late claim, or the late release of one, that counts for another process
// than the one that sent it.
func TestLateClaimAndRelease(t *testing.T) {
	for _, after := range []time.Duration{1000, 2500, 5600} {
		for _, phase := range []string{"claim", "release"} {
			t.Run(fmt.Sprintf("%s/%d", phase, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newTestFleet()
					defer f.close()
					first := f.addAs("vm-0")
					if phase == "claim" {
						first.setFate(always("claim", late), after*time.Millisecond)
						is.NoErr(f.watchTurns(2 * time.Second))
						first.kill()
					} else {
						is.NoErr(f.watchTurns(2 * lease))
						first.setFate(always("claim", late), after*time.Millisecond)
						is.True(first.membership.Leave(t.Context()) != nil)
						first.kill()
					}
					second := f.addAs("vm-1")
					next := f.addAs(first.id)
					is.NoErr(f.watchTurns(20 * time.Second))
					_, ok := second.membership.FencingToken()
					_, again := next.membership.FencingToken()
					is.True(ok != again)
				})
			})
		}
	}
}

// randomFleet is a fleet whose writes are lost, unanswered or late at random.
type randomFleet struct {
	*testFleet
	t *rapid.T
	// fates are used in turn, from next on.
	fates []int
	share int
	// evicts is set if the store may end the memberships of processes that are alive. Their
	// shares then add up to more than 1 until their next joins.
	evicts bool
	// rotates is set if the partitions are also assigned in other orders. Then no VM has two live
	// processes: a coordinator that lives on after the start of the next process of its VM is
	// impossible, because the next one holds its address.
	rotates bool
	next    atomic.Int64
}

// fate returns the next fate: not answered in share of 100 cases.
func (f *randomFleet) fate(string) fate {
	n := f.fates[int(f.next.Add(1))%len(f.fates)]
	if n >= f.share {
		return answered
	}
	return []fate{lost, unanswered, late}[n%3]
}

// add starts a process of a VM. A former one must be dead by then, as in each VM.
func (f *randomFleet) add(id fleet.VMID) {
	for _, v := range f.vms {
		if v.id == id {
			v.kill()
		}
	}
	v := &testVM{id: id}
	v.setFate(f.fate, time.Duration(rapid.IntRange(1000, 6000).Draw(f.t, "late"))*time.Millisecond)
	f.startProcess(v)
}

// step does one thing with a VM that is drawn.
func (f *randomFleet) step() {
	alive := slices.DeleteFunc(slices.Clone(f.vms), func(v *testVM) bool { return v.dead.Load() })
	v := alive[rapid.IntRange(0, len(alive)-1).Draw(f.t, "vm")]
	switch rapid.SampledFrom([]string{"restart", "crash", "cut", "heal", "fenced", "evict", "add", "restart all", "rotate", "wait", "wait"}).Draw(f.t, "what") {
	case "restart":
		_ = v.membership.Leave(context.Background()) // It fails if a call has no answer.
		v.kill()
		f.add(v.id)
	case "crash":
		v.kill()
		f.watch(rapid.SampledFrom([]int{0, 3000}).Draw(f.t, "downMs"))
		f.add(v.id)
	case "cut":
		v.disconnected.Store(true)
	case "heal":
		v.disconnected.Store(false)
	case "fenced":
		if fence, ok := v.membership.FencingToken(); ok {
			v.membership.FenceRejected(fence)
		}
	case "evict":
		if f.evicts {
			f.group.Leave(string(v.self))
		}
	case "restart all":
		f.restart(alive)
	case "rotate":
		f.rotate()
	case "add":
		// A name before the others' moves partition 0.
		id := fleet.VMID(fmt.Sprintf("vm-%d", rapid.IntRange(-9, 9).Draw(f.t, "id")*10+100))
		f.killBefore(id, alive)
		f.add(id)
	}
}

// restart kills processes and starts the next ones of their VMs at once.
func (f *randomFleet) restart(all []*testVM) {
	for _, v := range all {
		v.kill()
	}
	for _, v := range all {
		f.add(v.id)
	}
}

// rotate changes the order in which partitions are assigned, if this fleet rotates.
func (f *randomFleet) rotate() {
	if f.rotates {
		f.group.SetRotation(rapid.IntRange(0, 3).Draw(f.t, "rotation"))
	}
}

// killBefore kills the processes of a VM that is to be added, if this fleet rotates.
func (f *randomFleet) killBefore(id fleet.VMID, alive []*testVM) {
	for _, v := range alive {
		if f.rotates && v.id == id {
			v.kill()
		}
	}
}

// watch checks the turns during a period, and the shares of the processes that are alive.
func (f *randomFleet) watch(ms int) {
	for end := f.now() + time.Duration(ms)*time.Millisecond; f.now() < end; {
		if err := errors.Join(f.watchTurns(20*time.Millisecond), f.checkShares()); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *randomFleet) checkShares() error {
	var sum float64
	for _, v := range f.vms {
		if !v.dead.Load() {
			sum += v.activeShare(f.now())
		}
	}
	if sum > 1+1e-9 && !f.evicts {
		return fmt.Errorf("at %s: shares add up to %v", f.now(), sum)
	}
	return nil
}

// Whichever processes are restarted, whichever calls are lost or executed late and however the
// partitions are reassigned, no two processes are the coordinator at once, no VM is the coordinator
// twice within the lease with another one in between, and the shares add up to at most 1.
func TestRandomHandovers(t *testing.T) {
	bubble.Check(t, func(t *rapid.T) {
		f := &randomFleet{testFleet: newTestFleet(), t: t}
		defer f.close()
		f.fenced, f.evicts = rapid.Bool().Draw(t, "fenced"), rapid.Bool().Draw(t, "evicts")
		f.rotates = rapid.Bool().Draw(t, "rotates")
		f.claims.retention = rapid.SampledFrom([]time.Duration{0, 20 * time.Second}).Draw(t, "retention")
		f.share = rapid.IntRange(0, 35).Draw(t, "lossPercent")
		f.fates = rapid.SliceOfN(rapid.IntRange(0, 99), 64, 64).Draw(t, "fates")
		for i := range rapid.IntRange(2, 4).Draw(t, "vms") {
			f.add(fleet.VMID(fmt.Sprintf("vm-%d", i)))
		}
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			f.step()
			f.watch(rapid.IntRange(50, 4000).Draw(t, "ms"))
		}
	})
}

// Guards against partitions that stay unused until the session timeout of a crashed process whose
// VM is running again.
func TestPartitionsOfFormerProcessAreUsedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet()
		defer f.close()
		_, second := f.startTwo()
		second.kill()
		next := f.addAs(second.id)
		time.Sleep(time.Second)
		is.Equal(next.activeShare(f.now()), 0.5)
		is.Equal(next.membership.Size(), 2)
		_, ok := f.vms[0].membership.FencingToken()
		is.True(ok) // The coordinator stays the same.
	})
}

// Guards against a share that is used after the store's session timeout: a join without an answer may
// have set a shorter one, since the VM has become the coordinator.
func TestUnansweredJoinShortensShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet()
		defer f.close()
		time.Sleep(time.Second)
		v := f.addAs("vm-0")
		time.Sleep(10 * time.Millisecond) // The first join had the session timeout of other VMs.
		v.setFate(always("join", unanswered), 0)
		time.Sleep(300*time.Millisecond + unansweredFor)
		v.disconnected.Store(true)
		v.mu.Lock()
		defer v.mu.Unlock()
		is.Equal(v.until, 1300*time.Millisecond+group.CoordinatorSessionTimeout)
	})
}

// Guards against a share that is used after the store's session timeout: a late join replaces the
// session timeout of a later join by its own, which is shorter if the VM was the coordinator then.
func TestLateJoinShortensShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet()
		defer f.close()
		first := f.addAs("vm-1")
		time.Sleep(2 * time.Second)
		first.setFate(always("join", lost), 0) // Sent with the session timeout of the coordinator.
		time.Sleep(unansweredFor)
		first.setFate(always("join", answered), 0)
		time.Sleep(200 * time.Millisecond)
		f.addAs("vm-0") // Takes partition 0.
		time.Sleep(time.Second)
		_, ok := first.membership.FencingToken()
		is.True(!ok)
		first.mu.Lock()
		is.True(first.until-f.now() <= group.CoordinatorSessionTimeout)
		first.mu.Unlock()
		time.Sleep(8 * time.Second)
		first.mu.Lock()
		is.True(first.until-f.now() > group.CoordinatorSessionTimeout)
		first.mu.Unlock()
	})
}

// holders returns the processes that may issue commands.
func (f *testFleet) holders() (out []*testVM) {
	for _, v := range f.vms {
		if _, ok := v.membership.FencingToken(); ok && !v.dead.Load() {
			out = append(out, v)
		}
	}
	return out
}

// Measures the time without a coordinator after a crash and after a planned stop, and guards
// against a longer one than the design note states.
func TestTimeWithoutCoordinator(t *testing.T) {
	for _, c := range []struct {
		what   string
		fenced bool
		vms    int
		limit  time.Duration
	}{
		// The limits are the session timeout after a crash, the successor's join interval, which
		// is 300 ms or 750 ms, and its wait after a crash, which is 1.2 s or the lease.
		{"crash", true, 2, 3000 * time.Millisecond}, {"crash", true, 40, 3450 * time.Millisecond},
		{"crash", false, 2, 4800 * time.Millisecond}, {"crash", false, 40, 5250 * time.Millisecond},
		// The limits are the time of the restart and the successor's join interval.
		{"restart", true, 2, 400 * time.Millisecond}, {"restart", true, 40, 850 * time.Millisecond},
		{"restart", false, 2, 400 * time.Millisecond}, {"restart", false, 40, 850 * time.Millisecond},
		{"restart all", true, 2, 400 * time.Millisecond}, {"restart all", true, 40, 850 * time.Millisecond},
		{"restart all", false, 2, 400 * time.Millisecond}, {"restart all", false, 40, 850 * time.Millisecond},
		{"stop", true, 2, 300 * time.Millisecond}, {"stop", true, 40, 750 * time.Millisecond},
		{"stop", false, 2, 300 * time.Millisecond}, {"stop", false, 40, 750 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			var times []time.Duration
			for run := range 8 {
				times = append(times, timeWithoutCoordinator(t, c.what, c.fenced, c.vms, time.Duration(run)*90*time.Millisecond))
			}
			shortest, longest := slices.Min(times), slices.Max(times)
			t.Logf("%s, fencing tokens checked: %t, %d VMs: %s to %s", c.what, c.fenced, c.vms, shortest, longest)
			if longest > c.limit {
				t.Errorf("%s, fencing tokens checked: %t, %d VMs: %s without a coordinator, want at most %s", c.what, c.fenced, c.vms, longest, c.limit)
			}
		})
	}
}

// timeWithoutCoordinator returns how long a new fleet has no coordinator after a crash, a planned
// stop or a restart of the first one, or a restart of all VMs, which happens offset after a moment
// in the interval of the joins. The successor is another VM.
func timeWithoutCoordinator(t *testing.T, what string, fenced bool, vms int, offset time.Duration) time.Duration {
	f := newTestFleet()
	defer f.close()
	f.fenced, f.partitions = fenced, 8*vms
	f.addAndElect(vms)
	first := f.holders()[0]
	list, _ := first.membership.MemberList()
	for _, v := range f.vms {
		v.membership.UpdateMembers(list, f.now()) // As a relay does.
	}
	time.Sleep(2*lease + offset)
	if what == "stop" {
		_ = first.membership.Leave(t.Context()) // The fake store answers.
	}
	restarted := map[string][]*testVM{"restart": {first}, "restart all": slices.Clone(f.vms)}[what]
	begin := f.now()
	first.kill()
	for _, v := range restarted {
		v.kill()
	}
	if restarted != nil {
		f.group.SetRotation(1)
		time.Sleep(restartTime)
	}
	for _, v := range restarted {
		f.addAs(v.id)
	}
	for len(f.holders()) == 0 {
		time.Sleep(5 * time.Millisecond)
		if f.now()-begin > time.Minute {
			t.Fatal("no process became the coordinator")
		}
	}
	if restarted != nil && f.holders()[0].id == first.id {
		t.Fatal("the VM of the former coordinator is the successor")
	}
	return f.now() - begin
}

// restartTime is how long a process takes to start again after it was killed.
const restartTime = 50 * time.Millisecond

// Guards against a successor that waits for the lease although the former process of the
// coordinator's VM is dead, and against a release that counts for a later claim when the store
// executes it late.
func TestClaimOfFormerCoordinatorIsReleased(t *testing.T) {
	for _, what := range []fate{answered, lost, unanswered, late} {
		for after := time.Duration(1000); after <= 6000; after += 500 {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTestFleet()
				f.fenced = false
				defer f.close()
				first, second := f.startTwo()
				is.NoErr(f.checkTurns())
				first.kill()
				f.group.SetRotation(1)
				next := &testVM{id: first.id}
				next.setFate(always("claim", what), after*time.Millisecond)
				f.startProcess(next)
				is.NoErr(f.watchTurns(1300 * time.Millisecond))
				_, ok := second.membership.FencingToken()
				released := what == answered || what == unanswered
				is.True(ok == released || what == late)
				is.NoErr(f.watchTurns(20 * time.Second))
				_, ok = second.membership.FencingToken()
				is.True(ok)
				claims := f.claims.list
				former := group.Claimant{VM: first.id, Process: first.self.Process()}
				is.Equal(claims[0].Holder, former)
				if released {
					is.Equal(claims[1], group.Claim{Holder: former, Released: true, Claimed: former})
				}
				is.Equal(next.historyReads.Load(), int64(0)) // It is not about to claim.
			})
		}
	}
}

// Guards against A, B and A again within the lease where A has started just before: its former
// process made a claim so long ago that the store has deleted it, but gave orders until the end.
func TestExpiredClaimOfFormerProcessStillCounts(t *testing.T) {
	for _, heldFor := range []time.Duration{5 * time.Second, 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet()
			f.claims.retention = 20 * time.Second
			defer f.close()
			first, second := f.startTwo()
			is.NoErr(f.watchTurns(heldFor))
			first.kill()
			f.group.Leave(string(first.self)) // As after a leave whose release was lost.
			is.NoErr(f.watchTurns(1600 * time.Millisecond))
			_, ok := second.membership.FencingToken()
			is.True(ok)
			next := f.addAs(first.id)
			is.NoErr(f.watchTurns(100 * time.Millisecond))
			is.NoErr(second.membership.Leave(t.Context()))
			second.kill()
			is.NoErr(f.watchTurns(10 * time.Second))
			_, ok = next.membership.FencingToken()
			is.True(ok)
		})
	}
}

// A VM that has just started reads the claim history once if it is about to claim, and the others
// do not read it at all. It does not wait if its VM has given no orders.
func TestNewVMClaimsAfterOneReadOfHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet()
		defer f.close()
		first, second := f.startTwo()
		third := f.addAs("vm-0a") // Gets partition 0 after vm-0.
		time.Sleep(time.Second)
		is.NoErr(first.membership.Leave(t.Context()))
		first.kill()
		is.NoErr(f.watchTurns(time.Second))
		_, ok := third.membership.FencingToken()
		is.True(ok)
		is.NoErr(f.watchTurns(10 * time.Second))
		is.Equal(third.historyReads.Load(), int64(1))
		is.Equal(first.historyReads.Load()+second.historyReads.Load(), int64(0))
	})
}

// Guards against a VM that claims at once after its start although it could not read the claim
// history.
func TestUnknownHistoryKeepsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet()
		defer f.close()
		first, _ := f.startTwo()
		begin := f.now()
		third := &testVM{id: "vm-0a"}
		third.historyFails.Store(true)
		f.startProcess(third)
		time.Sleep(time.Second)
		is.NoErr(first.membership.Leave(t.Context()))
		first.kill()
		is.NoErr(f.watchTurns(lease - time.Second))
		_, ok := third.membership.FencingToken()
		is.True(!ok)
		is.True(third.historyReads.Load() > 0)
		for !ok && f.now()-begin < 10*time.Second {
			time.Sleep(20 * time.Millisecond)
			_, ok = third.membership.FencingToken()
		}
		is.True(ok && f.now()-begin >= lease)
	})
}
