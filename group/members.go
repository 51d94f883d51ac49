package group

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucanfall/fleet"
)

// MemberList is a list of the members that hold partitions.
type MemberList struct {
	// Coordinator holds partition 0; it is "" if nobody does.
	Coordinator Member
	// Members are all holders of partitions, sorted, and only one of each VM, also while its
	// former process is still a member.
	Members []Member
	// Fingerprint is a hash: it is equal for two lists with the same members and coordinator.
	Fingerprint uint64
}

// newMemberList returns the member list of the owners of partitions, as seen by self.
func newMemberList(self Member, owners map[Partition]Member) MemberList {
	members := MemberList{Coordinator: owners[0]}
	for _, m := range owners {
		members.Members = append(members.Members, m)
	}
	slices.Sort(members.Members)
	members = members.withoutDuplicates(self)
	h := xxhash.New()
	for _, m := range append(slices.Clone(members.Members), members.Coordinator) {
		// Writes to a hash never fail.
		_, _ = h.WriteString(string(m) + "\n")
	}
	members.Fingerprint = h.Sum64()
	return members
}

// withoutDuplicates returns the list with one member of each VM: self, or the coordinator, or else
// the first. It keeps the fingerprint, which belongs to the list as it was read from the store.
func (l MemberList) withoutDuplicates(self Member) MemberList {
	chosen := make(map[fleet.VMID]Member, len(l.Members))
	for _, m := range l.Members {
		vm := m.VM()
		if _, ok := chosen[vm]; !ok || m == self || m == l.Coordinator && chosen[vm] != self {
			chosen[vm] = m
		}
	}
	if len(chosen) == len(l.Members) {
		return l
	}
	l.Members = slices.SortedFunc(maps.Values(chosen), cmp.Compare[Member])
	return l
}

// formerMembers returns the members among the owners that are former processes of self's VM, at
// self's address. At another address a process of that VM might still be running.
func formerMembers(self Member, owners map[Partition]Member) []Member {
	var former []Member
	for _, m := range owners {
		if m != self && m.WithoutProcess() == self.WithoutProcess() && !slices.Contains(former, m) {
			former = append(former, m)
		}
	}
	slices.Sort(former)
	return former
}

// Ranked returns up to n of the eligible members by rendezvous hashing with the salt: the
// order is the same on all VMs that know the same members, and changes little when one joins
// or leaves. It does not depend on the members' processes, so it stays when a VM restarts.
func (l MemberList) Ranked(salt string, n int, eligible func(Member) bool) []Member {
	type ranked struct {
		Member
		rank uint64
	}
	var list []ranked
	for _, m := range l.Members {
		if eligible(m) {
			list = append(list, ranked{m, xxhash.Sum64String(salt + m.WithoutProcess())})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]Member, 0, n)
	for _, m := range list[:min(len(list), n)] {
		out = append(out, m.Member)
	}
	return out
}
