package relay

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucanfall/group"
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
func Sources(self group.Member, members group.MemberList) []group.Member {
	if members.Coordinator.VM() == self.VM() {
		return nil
	}
	var coordinator []group.Member
	if members.Coordinator != "" {
		coordinator = append(coordinator, members.Coordinator)
	}
	relays := relaysOf(self, members)
	if len(members.Members) <= directMaxVMs || containsVM(relays, self) {
		return coordinator
	}
	// The followers are spread over the relays.
	if n := uint64(len(relays)); n > 0 {
		first := int(hash(self) / 2 % n)
		relays = append(relays[first:], relays[:first]...)
	}
	return append(relays, coordinator...)
}

// IsRelay reports whether other VMs follow self as a relay, which itself follows the
// coordinator. In a small fleet no VM is a relay.
func IsRelay(self group.Member, members group.MemberList) bool {
	return len(members.Members) > directMaxVMs && self.VM() != members.Coordinator.VM() && containsVM(relaysOf(self, members), self)
}

// relaysOf returns the relays of a VM's data centre.
func relaysOf(self group.Member, members group.MemberList) []group.Member {
	return members.Ranked("relays", relaysPerDataCentre, func(m group.Member) bool {
		return m.DataCentre() == self.DataCentre() && m.VM() != members.Coordinator.VM()
	})
}

// containsVM reports whether one of the members is a process of self's VM.
func containsVM(members []group.Member, self group.Member) bool {
	return slices.ContainsFunc(members, func(m group.Member) bool { return m.VM() == self.VM() })
}

// hash returns a hash of a member that stays the same when its VM restarts.
func hash(m group.Member) uint64 {
	return xxhash.Sum64String(m.WithoutProcess())
}
