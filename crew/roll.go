package crew

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucanfall/fleet"
)

// Roll is who holds parts.
type MemberList struct {
	// Coordinator holds part 0, "" if nobody does.
	Coordinator Member
	// Members are all that hold parts, each once, in their order.
	Members []Member
	// Print is the same for two rolls that say the same.
	Fingerprint uint64
}

func newRoll(owners map[Partition]Member) MemberList {
	r := MemberList{Coordinator: owners[0]}
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
	r.Fingerprint = h.Sum64()
	return r
}

// has reports whether a VM is a member.
func (r MemberList) has(vm fleet.VMID) bool {
	return slices.ContainsFunc(r.Members, func(m Member) bool { return m.VM() == vm })
}

// Ranked returns up to n of the members for which may holds, in an order that the salt
// decides: the same for all that know the same members, and little changed by one that
// comes or goes.
func (r MemberList) Ranked(salt string, n int, may func(Member) bool) []Member {
	type ranked struct {
		Member
		rank uint64
	}
	var list []ranked
	for _, m := range r.Members {
		if may(m) {
			list = append(list, ranked{m, xxhash.Sum64String(salt + string(m))})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]Member, 0, n)
	for _, m := range list[:min(len(list), n)] {
		out = append(out, m.Member)
	}
	return out
}
