package measure

import (
	"context"
	"errors"
	"fmt"
	"time"

	"toucanfall/fleet"
	"toucanfall/internal/loop"
	"toucanfall/keyring"
	"toucanfall/ledger"
)

// Sizes of the measurement of changes.
const (
	inForceVMs     = 7
	inForceChanges = 100
	inForceCuts    = 2
	cutFor         = 2500 * time.Millisecond
	inForceTimeout = 10 * time.Second
	// lookInterval is how often it is looked whether a change is in force.
	lookInterval = 100 * time.Microsecond
)

// InForce is the table of how long changes take to be in force on all VMs.
var InForce = Table{
	Name: "in_force",
	Goal: "Seconds at most from accepted to in force on the last of 7 VMs; 11 s at the target size.",
	Seed: 1,
	Run:  measureInForce,
}

// change makes one change at a VM and returns how to see that it is in force on
// another.
type change func(f *vms, n int) (inForce func(v *measuredVM) bool, err error)

func measureInForce(uint64) (Result, error) {
	f, err := startVMs(inForceVMs, todayTeams)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	time.Sleep(heartbeatWarmUp)
	r := Result{Header: []string{"change", "case", "n", "median ms", "longest ms"}}
	for _, c := range []struct {
		name string
		do   change
	}{{"setting, from accepted", putTeam}, {"withdrawal in a log outage, from the command", withdrawKey}} {
		if err := r.measure(f, c.name, c.do); err != nil {
			return Result{}, err
		}
	}
	r.Notes = []string{
		"Real followers, membership, keyrings and net/rpc over loopback; the log is in memory, so an append costs nothing.",
		fmt.Sprintf("Cut: one VM reaches neither the log nor a peer for %v while the change is made; the time runs from the healing.", cutFor),
	}
	return r, nil
}

func (r *Result) measure(f *vms, name string, do change) error {
	var times []time.Duration
	for n := range inForceChanges {
		inForce, err := do(f, n)
		if err != nil {
			return err
		}
		took, err := f.await(inForce)
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	r.add(name, "all reachable", times)
	times = nil
	for n := range inForceCuts {
		took, err := f.cutAndHeal(do, inForceChanges+n)
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	r.add(name, "one cut and healed", times)
	return nil
}

func (r *Result) add(name, kind string, times []time.Duration) {
	median, longest := medianAndMax(times)
	r.Rows = append(r.Rows, []string{name, kind, fmt.Sprint(len(times)), milliseconds(median), milliseconds(longest)})
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

// cutAndHeal makes a change while the last VM is cut off, and returns the time
// from the healing until it is in force there.
func (f *vms) cutAndHeal(do change, n int) (time.Duration, error) {
	last := f.all[len(f.all)-1]
	last.cut.Store(true)
	last.logCut.Store(true)
	time.Sleep(cutFor / 2)
	inForce, err := do(f, n)
	time.Sleep(cutFor / 2)
	last.cut.Store(false)
	last.logCut.Store(false)
	if err != nil {
		return 0, err
	}
	return f.await(inForce)
}

// await returns how long it takes until a change is in force on every VM.
func (f *vms) await(inForce func(*measuredVM) bool) (time.Duration, error) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
	defer cancel()
	next := 0
	loop.Every(ctx, lookInterval, func(context.Context) {
		for next < len(f.all) && inForce(f.all[next]) {
			next++
		}
		if next == len(f.all) {
			cancel()
		}
	})
	if next < len(f.all) {
		return 0, errors.New("a change did not come into force in time")
	}
	return time.Since(begin), nil
}

// putTeam makes a team at the first VM.
func putTeam(f *vms, n int) (func(*measuredVM) bool, error) {
	first := f.all[0]
	body := &fleet.Team{ID: fleet.TeamID(fmt.Sprintf("team-%d", n))}
	r, err := ledger.NewRecord(ledger.KindTeam, "measure", first.rec.Clock.Now(), 0, body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
	defer cancel()
	v, err := first.follower.Propose(ctx, r)
	if err != nil {
		return nil, err
	}
	return func(vm *measuredVM) bool { return vm.follower.State.Applied() >= v.Offset }, v.Err()
}

// withdrawKey withdraws a key at the first VM.
func withdrawKey(f *vms, n int) (func(*measuredVM) bool, error) {
	w := keyring.Withdrawal{Key: fleet.KeyID(fmt.Sprintf("key-%d", n)), By: "measure"}
	go f.all[0].spread.Withdraw(context.Background(), w)
	return func(vm *measuredVM) bool { return vm.ring.Withdrawn(w.Key) }, nil
}
