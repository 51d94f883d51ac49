package group

import (
	"testing"

	"github.com/matryer/is"
)

// A name consists of four parts, the fourth of which processes of earlier versions lack.
func TestMemberNames(t *testing.T) {
	is := is.New(t)
	m := NewMember("vm-1", "192.0.2.1:1", "dc-1", "0123456789abcdef")
	is.Equal(m, Member("vm-1@192.0.2.1:1@dc-1@0123456789abcdef"))
	for _, m := range []Member{m, "vm-1@192.0.2.1:1@dc-1"} {
		is.Equal(string(m.VM()), "vm-1")
		is.Equal(m.Address(), "192.0.2.1:1")
		is.Equal(string(m.DataCentre()), "dc-1")
		is.Equal(m.WithoutProcess(), "vm-1@192.0.2.1:1@dc-1")
	}
	is.Equal(m.Process(), Process("0123456789abcdef"))
	is.Equal(Member("vm-1@192.0.2.1:1@dc-1").Process(), Process(""))
	p := NewProcess()
	is.Equal(len(p), 16)
	is.True(p != NewProcess())
}

// Guards against a VM that counts twice, in the size of the fleet and as a host, while its former
// process is still a member.
func TestMemberListCountsVMOnce(t *testing.T) {
	is := is.New(t)
	a1, a2 := NewMember("vm-a", "192.0.2.1:1", "dc-1", "1"), NewMember("vm-a", "192.0.2.1:1", "dc-1", "2")
	b1, b2 := NewMember("vm-b", "192.0.2.2:1", "dc-1", "1"), Member("vm-b@192.0.2.2:1@dc-1")
	owners := map[Partition]Member{0: b1, 1: a1, 2: a2, 3: b2}
	is.Equal(newMemberList(a2, owners).Members, []Member{a2, b1})
	is.Equal(newMemberList(a1, owners).Members, []Member{a1, b1})
	is.Equal(newMemberList("vm-c@192.0.2.3:1@dc-1@1", owners).Members, []Member{a1, b1})
	is.Equal(newMemberList(b2, owners).Members, []Member{a1, b2})
	is.Equal(newMemberList(b2, owners).Coordinator, b1)
	is.Equal(formerMembers(a2, owners), []Member{a1})
	is.Equal(formerMembers(b1, owners), []Member{b2})
	is.Equal(len(formerMembers(NewMember("vm-a", "192.0.2.9:1", "dc-1", "3"), owners)), 0)
	relayed := MemberList{Coordinator: b1, Members: []Member{a1, a2, b2, b1}, Fingerprint: 7}.withoutDuplicates(a2)
	is.Equal(relayed.Members, []Member{a2, b1})
	is.Equal(relayed.Fingerprint, uint64(7))
}

// The order of hosts does not change when VMs restart.
func TestRankIgnoresProcesses(t *testing.T) {
	is := is.New(t)
	var before, after MemberList
	for _, vm := range []string{"vm-a", "vm-b", "vm-c", "vm-d"} {
		before.Members = append(before.Members, Member(vm+"@192.0.2.1:1@dc-1@1"))
		after.Members = append(after.Members, Member(vm+"@192.0.2.1:1@dc-1@2"))
	}
	all := func(Member) bool { return true }
	ranked := after.Ranked("salt", 3, all)
	for i, m := range before.Ranked("salt", 3, all) {
		is.Equal(m.VM(), ranked[i].VM())
	}
}

// Guards against a release that ends the claim of another process: only the claim's own process
// can release it.
func TestOnlyOwnReleaseEndsClaim(t *testing.T) {
	is := is.New(t)
	p1, p2, old := Claimant{VM: "vm-a", Process: "1"}, Claimant{VM: "vm-a", Process: "2"}, Claimant{VM: "vm-a"}
	is.True(Claim{}.ended())
	is.True(!Claim{Holder: p1}.ended())
	is.True(Claim{Holder: p1, Released: true, Claimed: p1}.ended())
	is.True(!Claim{Holder: p1, Released: true, Claimed: p2}.ended())
	is.True(!Claim{Holder: old, Released: true, Claimed: p1}.ended())
	is.True(!Claim{Holder: p1, Released: true}.ended()) // The claim before it is not known.
	is.True(Claim{Holder: old, Released: true, Claimed: old}.ended())
}

// Guards against a VM that gives orders at once although its former process may have given some:
// the holder of the record before the history is unknown, unless that was a claim whose release is
// retained.
func TestMayHaveHeldClaim(t *testing.T) {
	is := is.New(t)
	a, b, old := Claimant{VM: "vm-a", Process: "1"}, Claimant{VM: "vm-b", Process: "1"}, Claimant{VM: "vm-a"}
	is.True(mayHaveHeldClaim("vm-a", nil, 0))
	is.True(!mayHaveHeldClaim("vm-a", []ClaimRecord{{Holder: b}}, 0))
	is.True(mayHaveHeldClaim("vm-a", []ClaimRecord{{Holder: b, Offset: 1}}, 0))
	is.True(!mayHaveHeldClaim("vm-a", []ClaimRecord{{Holder: b, Released: true, Offset: 1}}, 0))
	for _, own := range []Claimant{a, old} {
		is.True(mayHaveHeldClaim("vm-a", []ClaimRecord{{Holder: own}, {Holder: b, Offset: 1}}, 0))
		is.True(mayHaveHeldClaim("vm-a", []ClaimRecord{{Holder: own, Released: true, Offset: 1}, {Holder: b, Offset: 2}}, 0))
	}
}
