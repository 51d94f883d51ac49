package crew

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucanfall/fleet"
)

// Roll is who holds parts.
type Roll struct {
	// Coordinator holds part 0, "" if nobody does.
	Coordinator Member
	// Members are all that hold parts, each once, in their order.
	Members []Member
	// Print is the same for two rolls that say the same.
	Print uint64
}

func newRoll(owners map[Part]Member) Roll {
	r := Roll{Coordinator: owners[0]}
	for _, m := range owners {
		r.Members = append(r.Members, m)
	}
	slices.SortFunc(r.Members, cmp.Compare)
	r.Members = slices.Compact(r.Members)
	h := xxhash.New()
	for _, m := range append(slices.Clone(r.Members), r.Coordinator) {
		// A hash takes every write.
		_, _ = h.WriteString(string(m) + "\n")
	}
	r.Print = h.Sum64()
	return r
}

// has reports whether a VM is a member.
func (r Roll) has(vm fleet.VMID) bool {
	return slices.ContainsFunc(r.Members, func(m Member) bool { return m.VM() == vm })
}
