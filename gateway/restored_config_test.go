package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/catalogue"
)

// restoredConfigs is a fleet that follows configurations while the store is restored.
type restoredConfigs struct {
	*configFleet
	nodes []*configNode
	// highest holds the highest version that each VM has had.
	highest map[*configNode]catalogue.Version
}

// watch checks for a time that no VM goes back.
func (r *restoredConfigs) watch(d time.Duration) error {
	for end := r.now() + d; r.now() < end; time.Sleep(10 * time.Millisecond) {
		for i, n := range r.nodes {
			v := n.version()
			if v < r.highest[n] {
				return fmt.Errorf("VM %d went back from version %d to %d", i, r.highest[n], v)
			}
			r.highest[n] = v
		}
	}
	return nil
}

// awaitAll waits for the bound of a configuration and checks that all VMs have a version then.
func (r *restoredConfigs) awaitAll(bound time.Duration, want catalogue.Version) error {
	if err := r.watch(bound); err != nil {
		return err
	}
	for i, n := range r.nodes {
		if n.version() < want {
			return fmt.Errorf("VM %d has version %d, want %d", i, n.version(), want)
		}
	}
	return nil
}

// setVersion restores the log to a version, in a new era, or writes a version again.
func (r *restoredConfigs) setVersion(v catalogue.Version, restore bool) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	if restore {
		r.log.era++
	}
	r.log.set(v)
}

// Guards against a version that was confirmed and is not in force in time, or comes back older, while the
// store is restored to an older one again and again, on the coordinator, on relays and on a VM that follows
// these, and against a coordinator that starts with the older one and keeps it.
func TestRandomRestoresKeepConfigBound(t *testing.T) {
	const bound = 2 * time.Second
	for _, vms := range []int{2, fleetSize} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(vms, "/", seed), func(t *testing.T) {
				withFakeClock(t, func(ctx context.Context, is *is.I) {
					rng := rand.New(rand.NewPCG(seed, 1))
					f, nodes := startFleet(ctx, vms, newConfigTimes(bound, 4*bound))
					r := &restoredConfigs{f, nodes, make(map[*configNode]catalogue.Version)}
					time.Sleep(5 * time.Second)
					for range 5 {
						f.log.write()
						is.NoErr(r.watch(time.Duration(rng.IntN(3000)) * time.Millisecond))
						f.log.write()
						newest, _, _ := f.log.state()
						is.NoErr(r.awaitAll(bound, newest))
						r.setVersion(max(1, newest-catalogue.Version(rng.IntN(4))), true)
						if rng.IntN(2) == 0 {
							r.restartCoordinator(ctx)
							is.NoErr(r.awaitAll(bound, newest))
						}
						is.NoErr(r.watch(time.Duration(rng.IntN(2000)) * time.Millisecond))
						r.setVersion(newest, false)
						is.NoErr(r.awaitAll(bound, newest))
					}
				})
			})
		}
	}
}

// restartCoordinator replaces the coordinator by a process that knows nothing.
func (r *restoredConfigs) restartCoordinator(ctx context.Context) {
	r.nodes[0].reader.partitioned.Store(true)
	r.nodes[0].reader.storeLost.Store(true)
	r.nodes[0] = r.startMember(ctx, r.members.Coordinator)
}
