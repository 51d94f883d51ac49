package relay

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucanfall/crew"
)

// Sizes of the tree of relays.
const (
	// directMaxVMs is the largest fleet in which all VMs follow the coordinator directly.
	directMaxVMs = 16
	// relaysPerDataCentre is how many VMs of a data centre follow the coordinator in a
	// larger fleet, so that the loss of one is covered.
	relaysPerDataCentre = 2
)

// Sources returns the VMs that self may follow, the preferred one first; none for the
// coordinator. The relays of a data centre are the VMs with the lowest hashes, so that all
// VMs with the same member list choose the same relays, and few change when a member joins
// or leaves.
func Sources(self crew.Member, r crew.MemberList) []crew.Member {
	if r.Coordinator.VM() == self.VM() {
		return nil
	}
	var coordinator []crew.Member
	if r.Coordinator != "" {
		coordinator = append(coordinator, r.Coordinator)
	}
	relays := relaysOf(self, r)
	if len(r.Members) <= directMaxVMs || slices.Contains(relays, self) {
		return coordinator
	}
	// The followers are spread over the relays.
	if n := uint64(len(relays)); n > 0 {
		first := int(hash(self) / 2 % n)
		relays = append(relays[first:], relays[:first]...)
	}
	return append(relays, coordinator...)
}

// Relays reports whether other VMs follow self as a relay, which itself follows the
// coordinator. In a small fleet no VM is a relay.
func IsRelay(self crew.Member, r crew.MemberList) bool {
	return len(r.Members) > directMaxVMs && self.VM() != r.Coordinator.VM() && slices.Contains(relaysOf(self, r), self)
}

// relaysOf returns the relays of a VM's data centre.
func relaysOf(self crew.Member, r crew.MemberList) []crew.Member {
	return r.Ranked("relays", relaysPerDataCentre, func(m crew.Member) bool {
		return m.DataCentre() == self.DataCentre() && m != r.Coordinator
	})
}

func hash(m crew.Member) uint64 {
	return xxhash.Sum64String(string(m))
}
