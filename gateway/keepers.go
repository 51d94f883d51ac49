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
	onePool   = 16
	manyPools = 4
	// keepersEach is how many VMs may keep a pool, one after the other.
	keepersEach = 3
)

// keeperList names the VMs that may keep the rate tokens.
type keeperList struct {
	roll func() crew.MemberList

	mu    sync.Mutex
	print uint64
	known [][]shares.PoolHost
}

func newKeeperList(roll func() crew.MemberList) *keeperList {
	return &keeperList{roll: roll}
}

// pools returns the VMs that may keep each pool, the best first. All VMs that know the
// same members name the same.
func (l *keeperList) pools() [][]shares.PoolHost {
	r := l.roll()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known == nil || l.print != r.Fingerprint {
		l.print, l.known = r.Fingerprint, keepersOf(r)
	}
	return l.known
}

// keepersOf spreads keepers over the pools. The coordinator is none of them in a fleet of
// more VMs than a pool may have, so that its loss costs no tokens.
func keepersOf(r crew.MemberList) [][]shares.PoolHost {
	n := manyPools
	if len(r.Members) <= onePool {
		n = 1
	}
	ranked := r.Ranked("keepers", n*keepersEach, func(m crew.Member) bool {
		return m != r.Coordinator || len(r.Members) <= keepersEach
	})
	out := make([][]shares.PoolHost, min(n, len(ranked)))
	for i, m := range ranked {
		pool := i % len(out)
		out[pool] = append(out[pool], shares.PoolHost{VM: m.VM(), Address: m.Address()})
	}
	return out
}
