// Package relay passes on among the VMs of a fleet what some of them have read from the
// platform's store: the directory of upstreams, the configuration, and who the members
// are, each with the age of the proof that nothing newer stands in the store.
//
// Few VMs ask the store: the coordinator, and whoever hears nothing from a relay. In a
// small fleet all others follow the coordinator. In a larger one some VMs of each data
// centre follow it and the rest follow these, so that what a change costs the store does
// not grow with the number of VMs. A [Service] answers the question of a VM once there
// is news for it, or a younger proof; a [Follower] asks. [Sources] says whom.
//
// A proof counts from the question at the store, along the whole way: an answer tells
// how old the proof was when the relay looked, and how long it had held the question
// until then. Both are measured by a clock of the relay that counts its pauses, so
// whoever asks reckons from the moment at which it asked, and never too young.
package relay

import (
	"errors"
	"time"

	"toucanfall/catalogue"
	"toucanfall/crew"
	"toucanfall/fleet"
	"toucanfall/roster"
)

// Position is how far the directory was read: two VMs at the same position have read the
// same entries. 0 is before everything.
type Position int64

// Mark tells when a VM had its proofs, on a clock of its own. A VM that asks again shows
// the mark of the last answer, and is answered once there is a younger proof.
type Mark struct {
	VM                fleet.VMID
	Directory, Config time.Duration
	// Print is that of the roll.
	Print uint64
}

// Ask is a question: what a VM knows already.
type Ask struct {
	Directory Position
	Config    catalogue.Version
	// Members is the print of the roll that it knows.
	Members uint64
	Mark    Mark
}

// News is the answer to an [Ask]. Ages are those at the moment when the relay looked,
// Held after it got the question. Unknown parts have the age Unknown.
type News struct {
	Held time.Duration
	Mark Mark

	Directory    Position
	DirectoryAge time.Duration
	// All is the packed list of all entries. What changed since the position asked about
	// is told otherwise.
	All     []byte
	Entries []roster.Entry
	Removed []fleet.UpstreamID

	// Config is 0 if there is none yet.
	Config    catalogue.Version
	ConfigAge time.Duration
	// Document is the packed configuration if the VM that asks has an older one.
	Document []byte

	// Coordinator and the members are as of RollAge ago. Members is empty if they are
	// those of the print asked about.
	Coordinator crew.Member
	Members     []crew.Member
	Print       uint64
	RollAge     time.Duration
}

// Unknown is the age of what is not known.
const UnknownAge = time.Duration(1<<63 - 1)

// Check returns an error if the news cannot be true.
func (n *News) Validate() error {
	for _, d := range []time.Duration{n.Held, n.DirectoryAge, n.ConfigAge, n.RollAge} {
		if d < 0 {
			return errors.New("a time is negative")
		}
	}
	if n.Directory < 0 || n.Config < 0 {
		return errors.New("a position is negative")
	}
	return nil
}

// Changes returns what the news tell of the directory.
func (n *News) Changes() (roster.Changes, error) {
	c := roster.Changes{Entries: n.Entries, Removed: n.Removed}
	if len(n.All) > 0 {
		c.Complete = true
		return c, unpack(n.All, &c.Entries)
	}
	return c, nil
}

// Configuration returns the configuration as the operators wrote it, nil if it is not
// told.
func (n *News) Configuration() ([]byte, error) {
	if len(n.Document) == 0 {
		return nil, nil
	}
	var b []byte
	err := unpack(n.Document, &b)
	return b, err
}

// Roll returns who holds parts, to a VM that knows a roll already.
func (n *News) MemberList(known crew.MemberList) crew.MemberList {
	if n.Print == known.Fingerprint {
		return known
	}
	return crew.MemberList{Coordinator: n.Coordinator, Members: n.Members, Fingerprint: n.Print}
}
