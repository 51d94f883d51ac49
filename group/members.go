package group

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucanfall/fleet"
)

// MemberList is a list of the members that hold partitions.
type MemberList struct {
	// Coordinator holds partition 0; it is "" if nobody does.
	Coordinator Member
	// Members are all holders of partitions, each once, sorted.
	Members []Member
	// Fingerprint is a hash: it is equal for two lists with the same members and coordinator.
	Fingerprint uint64
}

// newMemberList returns the member list of the owners of partitions.
func newMemberList(owners map[Partition]Member) MemberList {
	members := MemberList{Coordinator: owners[0]}
	for _, m := range owners {
		members.Members = append(members.Members, m)
	}
	slices.SortFunc(members.Members, cmp.Compare)
	members.Members = slices.Compact(members.Members)
	h := xxhash.New()
	for _, m := range append(slices.Clone(members.Members), members.Coordinator) {
		// Writes to a hash never fail.
		_, _ = h.WriteString(string(m) + "\n")
	}
	members.Fingerprint = h.Sum64()
	return members
}

// contains reports whether a VM is a member.
func (l MemberList) contains(vm fleet.VMID) bool {
	return slices.ContainsFunc(l.Members, func(m Member) bool { return m.VM() == vm })
}

// Ranked returns up to n of the eligible members by rendezvous hashing with the salt: the
// order is the same on all VMs that know the same members, and changes little when one joins
// or leaves.
func (l MemberList) Ranked(salt string, n int, eligible func(Member) bool) []Member {
	type ranked struct {
		Member
		rank uint64
	}
	var list []ranked
	for _, m := range l.Members {
		if eligible(m) {
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
