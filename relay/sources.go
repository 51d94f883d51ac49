package relay

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucanfall/crew"
)

// Sizes of the tree of relays.
const (
	// direct is up to how many VMs all follow the coordinator.
	direct = 16
	// relaysEach is how many VMs of a data centre follow the coordinator in a larger
	// fleet, so that the loss of one is covered.
	relaysEach = 2
)

// Sources returns the VMs that one may follow, the best first; none for the coordinator.
// Relays of a data centre are those of the lowest hashes, so that all VMs that know the
// same members name the same relays, and few change with a member.
func Sources(self crew.Member, r crew.MemberList) []crew.Member {
	if r.Coordinator.VM() == self.VM() {
		return nil
	}
	var head []crew.Member
	if r.Coordinator != "" {
		head = append(head, r.Coordinator)
	}
	relays := relaysOf(self, r)
	if len(r.Members) <= direct || slices.Contains(relays, self) {
		return head
	}
	// The VMs that follow are spread over the relays.
	if n := uint64(len(relays)); n > 0 {
		first := int(hash(self) / 2 % n)
		relays = append(relays[first:], relays[:first]...)
	}
	return append(relays, head...)
}

// Relays reports whether others of a larger fleet follow a VM that follows the
// coordinator.
func IsRelay(self crew.Member, r crew.MemberList) bool {
	return len(r.Members) > direct && self.VM() != r.Coordinator.VM() && slices.Contains(relaysOf(self, r), self)
}

// relaysOf returns the relays of a VM's data centre.
func relaysOf(self crew.Member, r crew.MemberList) []crew.Member {
	return r.Ranked("relays", relaysEach, func(m crew.Member) bool {
		return m.DataCentre() == self.DataCentre() && m != r.Coordinator
	})
}

func hash(m crew.Member) uint64 {
	return xxhash.Sum64String(string(m))
}
