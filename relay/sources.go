package relay

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucanfall/crew"
)

// Sizes of the tree of relays.
const (
	// direct is up to how many VMs all follow the coordinator.
	directMaxVMs = 16
	// relaysEach is how many VMs of a data centre follow the coordinator in a larger
	// fleet, so that the loss of one is covered.
	relaysPerDataCentre = 2
)

// Sources returns the VMs that one may follow, the best first; none for the coordinator.
// Relays of a data centre are those of the lowest hashes, so that all VMs that know the
// same members name the same relays, and few change with a member.
func Sources(self crew.Member, r crew.Roll) []crew.Member {
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
	// The VMs that follow are spread over the relays.
	if n := uint64(len(relays)); n > 0 {
		first := int(hash(self) / 2 % n)
		relays = append(relays[first:], relays[:first]...)
	}
	return append(relays, coordinator...)
}

// Relays reports whether others of a larger fleet follow a VM that follows the
// coordinator.
func Relays(self crew.Member, r crew.Roll) bool {
	return len(r.Members) > directMaxVMs && self.VM() != r.Coordinator.VM() && slices.Contains(relaysOf(self, r), self)
}

// relaysOf returns the relays of a VM's data centre.
func relaysOf(self crew.Member, r crew.Roll) []crew.Member {
	return r.Ranked("relays", relaysPerDataCentre, func(m crew.Member) bool {
		return m.DataCentre() == self.DataCentre() && m != r.Coordinator
	})
}

func hash(m crew.Member) uint64 {
	return xxhash.Sum64String(string(m))
}
