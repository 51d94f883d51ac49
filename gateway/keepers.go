package gateway

import (
	"sync"

	"toucanfall/crew"
	"toucanfall/shares"
)

// Sizes of the keeping of rate tokens.
const (
	// onePool is up to how many VMs one VM keeps the tokens of all teams, manyPools over
	// how many the teams of a larger fleet are spread.
	singlePoolMaxVMs = 16
	largeFleetPools  = 4
	// keepersEach is how many VMs may keep a pool, one after the other.
	hostsPerPool = 3
)

// keeperList names the VMs that may keep the rate tokens.
type poolHosts struct {
	members func() crew.Roll

	mu          sync.Mutex
	fingerprint uint64
	cached      [][]shares.Keeper
}

func newPoolHosts(members func() crew.Roll) *poolHosts {
	return &poolHosts{members: members}
}

// pools returns the VMs that may keep each pool, the best first. All VMs that know the
// same members name the same.
func (l *poolHosts) pools() [][]shares.Keeper {
	r := l.members()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cached == nil || l.fingerprint != r.Print {
		l.fingerprint, l.cached = r.Print, assignPoolHosts(r)
	}
	return l.cached
}

// keepersOf spreads keepers over the pools. The coordinator is none of them in a fleet of
// more VMs than a pool may have, so that its loss costs no tokens.
func assignPoolHosts(r crew.Roll) [][]shares.Keeper {
	n := largeFleetPools
	if len(r.Members) <= singlePoolMaxVMs {
		n = 1
	}
	ranked := r.Ranked("keepers", n*hostsPerPool, func(m crew.Member) bool {
		return m != r.Coordinator || len(r.Members) <= hostsPerPool
	})
	out := make([][]shares.Keeper, min(n, len(ranked)))
	for i, m := range ranked {
		pool := i % len(out)
		out[pool] = append(out[pool], shares.Keeper{VM: m.VM(), Address: m.Address()})
	}
	return out
}
