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

// Parameters of the measurement of propagation.
const (
	propagationVMs     = 7
	propagationChanges = 100
	propagationCuts    = 2
	cutDuration        = 2500 * time.Millisecond
	propagationTimeout = 10 * time.Second
	// pollInterval is the time between two checks whether a change is applied.
	pollInterval = 100 * time.Microsecond
)

// Propagation measures the time until a change is applied on all VMs.
var Propagation = Table{
	Name: "in_force",
	Goal: "Seconds at most from accepted to in force on the last of 7 VMs; 11 s at the target size.",
	Seed: 1,
	Run:  measurePropagation,
}

// changeFunc makes the n-th change at the first VM, and returns a function that reports
// whether the change is applied on a VM.
type changeFunc func(c *vmCluster, n int) (applied func(v *measuredVM) bool, err error)

func measurePropagation(uint64) (Result, error) {
	c, err := startVMs(propagationVMs, currentTeams)
	if err != nil {
		return Result{}, err
	}
	defer c.close()
	time.Sleep(heartbeatWarmUp)
	r := Result{Header: []string{"change", "case", "n", "median ms", "longest ms"}}
	for _, m := range []struct {
		name   string
		change changeFunc
	}{{"setting, from accepted", proposeTeam}, {"withdrawal in a log outage, from the command", withdrawKey}} {
		if err := r.measureChange(c, m.name, m.change); err != nil {
			return Result{}, err
		}
	}
	r.Notes = []string{
		"Real followers, membership, keyrings and net/rpc over loopback; the log is in memory, so an append costs nothing.",
		fmt.Sprintf("Cut: one VM reaches neither the log nor a peer for %v while the change is made; the time runs from the healing.", cutDuration),
	}
	return r, nil
}

// measureChange adds the rows of one kind of change.
func (r *Result) measureChange(c *vmCluster, name string, change changeFunc) error {
	var times []time.Duration
	for n := range propagationChanges {
		applied, err := change(c, n)
		if err != nil {
			return err
		}
		elapsed, err := c.awaitApplied(applied)
		if err != nil {
			return err
		}
		times = append(times, elapsed)
	}
	r.addTimes(name, "all reachable", times)
	times = nil
	for n := range propagationCuts {
		elapsed, err := c.cutAndHeal(change, propagationChanges+n)
		if err != nil {
			return err
		}
		times = append(times, elapsed)
	}
	r.addTimes(name, "one cut and healed", times)
	return nil
}

// addTimes adds a row with the median and the maximum of times.
func (r *Result) addTimes(name, condition string, times []time.Duration) {
	median, longest := medianAndMax(times)
	r.Rows = append(r.Rows, []string{name, condition, fmt.Sprint(len(times)), milliseconds(median), milliseconds(longest)})
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

// cutAndHeal makes a change while the last VM is cut off from its peers and the log,
// and returns the time from its reconnection until the change is applied on every VM.
func (c *vmCluster) cutAndHeal(change changeFunc, n int) (time.Duration, error) {
	last := c.vms[len(c.vms)-1]
	last.cut.Store(true)
	last.logCut.Store(true)
	time.Sleep(cutDuration / 2)
	applied, err := change(c, n)
	time.Sleep(cutDuration / 2)
	last.cut.Store(false)
	last.logCut.Store(false)
	if err != nil {
		return 0, err
	}
	return c.awaitApplied(applied)
}

// awaitApplied returns the time until a change is applied on every VM. It fails after
// propagationTimeout.
func (c *vmCluster) awaitApplied(applied func(*measuredVM) bool) (time.Duration, error) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), propagationTimeout)
	defer cancel()
	next := 0
	loop.Every(ctx, pollInterval, func(context.Context) {
		for next < len(c.vms) && applied(c.vms[next]) {
			next++
		}
		if next == len(c.vms) {
			cancel()
		}
	})
	if next < len(c.vms) {
		return 0, errors.New("a change was not applied on every VM before the timeout")
	}
	return time.Since(begin), nil
}

// proposeTeam creates a team at the first VM.
func proposeTeam(c *vmCluster, n int) (func(*measuredVM) bool, error) {
	first := c.vms[0]
	body := &fleet.Team{ID: fleet.TeamID(fmt.Sprintf("team-%d", n))}
	r, err := ledger.NewRecord(ledger.KindTeam, "measure", first.rec.Clock.Now(), 0, body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), propagationTimeout)
	defer cancel()
	v, err := first.follower.Propose(ctx, r)
	if err != nil {
		return nil, err
	}
	return func(vm *measuredVM) bool { return vm.follower.State.Applied() >= v.Offset }, v.Err()
}

// withdrawKey withdraws a key at the first VM, without waiting for the replication.
func withdrawKey(c *vmCluster, n int) (func(*measuredVM) bool, error) {
	w := keyring.Withdrawal{Key: fleet.KeyID(fmt.Sprintf("key-%d", n)), By: "measure"}
	go c.vms[0].replicator.Withdraw(context.Background(), w)
	return func(vm *measuredVM) bool { return vm.keys.Withdrawn(w.Key) }, nil
}
