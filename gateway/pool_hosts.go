package gateway

import (
	"sync"

	"toucanfall/group"
	"toucanfall/ratelimit"
)

// Sizes of the pools of spare rate tokens.
const (
	// singlePoolMaxVMs is the largest fleet with one pool for all teams; a larger one
	// spreads the teams over largeFleetPools pools.
	singlePoolMaxVMs = 16
	largeFleetPools  = 4
	// hostsPerPool is how many VMs may host a pool, each in place of the one before it.
	hostsPerPool = 3
)

// poolHosts selects the VMs that may host the pools of rate tokens.
type poolHosts struct {
	members func() group.MemberList

	mu sync.Mutex
	// fingerprint is that of the member list from which cached was computed; mu guards both.
	fingerprint uint64
	cached      [][]ratelimit.PoolHost
}

func newPoolHosts(members func() group.MemberList) *poolHosts {
	return &poolHosts{members: members}
}

// pools returns the candidate hosts of each pool, the preferred one first. VMs with the
// same member list compute the same result. It is safe for concurrent use.
func (l *poolHosts) pools() [][]ratelimit.PoolHost {
	members := l.members()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cached == nil || l.fingerprint != members.Fingerprint {
		l.fingerprint, l.cached = members.Fingerprint, assignPoolHosts(members)
	}
	return l.cached
}

// assignPoolHosts spreads the hosts over the pools. In a fleet of more VMs than
// hostsPerPool the coordinator hosts none, so that its loss costs no tokens.
func assignPoolHosts(members group.MemberList) [][]ratelimit.PoolHost {
	n := largeFleetPools
	if len(members.Members) <= singlePoolMaxVMs {
		n = 1
	}
	ranked := members.Ranked("keepers", n*hostsPerPool, func(m group.Member) bool {
		return m.VM() != members.Coordinator.VM() || len(members.Members) <= hostsPerPool
	})
	out := make([][]ratelimit.PoolHost, min(n, len(ranked)))
	for i, m := range ranked {
		pool := i % len(out)
		out[pool] = append(out[pool], ratelimit.PoolHost{VM: m.VM(), Address: m.Address()})
	}
	return out
}
