// Package relay distributes among the VMs of a fleet what some of them have read from the
// platform's store: the directory of upstreams, the configuration and the member list,
// each with the age of the confirmation that the store held nothing newer.
//
// Few VMs read the store: the coordinator, and VMs that get no updates from a relay. In a
// small fleet all other VMs follow the coordinator. In a larger one some VMs of each data
// centre follow it as relays and the rest follow these, so that the load that a change puts
// on the store does not grow with the number of VMs. A [Service] answers the request of a
// VM once there is an update for it or a newer confirmation; a [Follower] sends the
// requests. [Sources] returns the VMs to follow.
//
// The age of a confirmation counts from the read of the store, along the whole path: an
// answer contains the age at the moment when the relay took its state, and how long the
// relay had held the request until then. Both are measured on a clock of the relay that
// also counts its pauses. The requester takes the time at which it sent the request, plus
// the time held, less the age, so a confirmation never looks newer than it is.
package relay

import (
	"errors"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/group"
	"toucanfall/internal/logpos"
	"toucanfall/quarantine"
	"toucanfall/roster"
)

// Position is how far the directory was read: two VMs at the same position have read the
// same entries. 0 is before the first entry.
type Position = logpos.Position

// Mark holds the times of a VM's confirmations, on its own clock. A VM sends the mark of
// the last answer with its next request, which is answered once there is a newer
// confirmation.
type Mark struct {
	VM                fleet.VMID
	Directory, Config time.Duration
	// Print is the fingerprint of the member list.
	Print uint64
}

// Ask is a request for an update. It contains what the VM already has: the position of its
// directory, the version of its configuration, 0 for none, and its member list.
type Ask struct {
	Directory Position
	Config    catalogue.Version
	// Members is the fingerprint of the VM's member list.
	Members uint64
	// Reports is the position up to which the VM has the crash reports. It is valid if WantsReports
	// is set, which VMs of earlier versions never do.
	Reports      Position
	WantsReports bool
	// Evacuations is the position up to which the VM knows the evacuations. It is valid if
	// WantsEvacuations is set, which VMs of earlier versions never do.
	Evacuations      catalogue.Position
	WantsEvacuations bool
	// VM identifies the requester, which VMs of earlier versions do not.
	VM fleet.VMID
	// KnowsEras is set if the VM knows that positions hold the era of the store. VMs of earlier
	// versions never set it: they send and get offsets only.
	KnowsEras bool
	// Document is the packed configuration of the VM, set if the last news were of a lower version: the
	// relay may have started while the store held only an older one, and follow no VM itself.
	Document []byte
	Mark     Mark
}

// Configuration is like [News.Configuration].
func (a *Ask) Configuration() ([]byte, error) {
	return unpackDocument(a.Document)
}

// News is the answer to an [Ask]. Ages are as of the moment when the relay took its state,
// which is Held after it received the request. The age of state that the relay does not have
// is UnknownAge.
type News struct {
	Held time.Duration
	Mark Mark

	// Directory is the position up to which the relay's directory was read, DirectoryAge the
	// age of its last confirmation.
	Directory    Position
	DirectoryAge time.Duration
	// All is the packed list of all entries. If it is empty, Entries and Removed hold the
	// changes since the position of the request.
	All     []byte
	Entries []roster.Entry
	Removed []fleet.UpstreamID

	// Config is the version of the configuration, 0 if there is none yet.
	Config    catalogue.Version
	ConfigAge time.Duration
	// Document is the packed configuration, set if the requester has an older one.
	Document []byte

	// Evacuated lists the evacuated data centres as of the position EvacuationsAt. ConfigAge is the
	// age of their confirmation too. Both are valid if HasEvacuations is set, which VMs of earlier
	// versions never do.
	Evacuated      []fleet.DataCentre
	EvacuationsAt  catalogue.Position
	HasEvacuations bool

	// Coordinator and Members are as of RollAge ago. Members is empty if the requester's
	// fingerprint equals Print.
	Coordinator group.Member
	Members     []group.Member
	Print       uint64
	RollAge     time.Duration

	// Reports are the crash reports after the position of the request, up to ReportsAt. They were
	// confirmed ReportsAge ago. All are valid if HasReports is set, which VMs of earlier versions
	// never do. Requests that do not want reports get none.
	Reports    []quarantine.Report
	ReportsAt  Position
	ReportsAge time.Duration
	HasReports bool

	// Busy is set if a large part is left out because other VMs are receiving theirs. Without
	// entries of the directory DirectoryAge is UnknownAge.
	Busy bool
}

// UnknownAge is the age of state that the relay does not have.
const UnknownAge = time.Duration(1<<63 - 1)

// Validate returns an error if a time, position or version is negative, which would make a
// confirmation look newer than it is.
func (n *News) Validate() error {
	for _, d := range []time.Duration{n.Held, n.DirectoryAge, n.ConfigAge, n.RollAge, n.ReportsAge} {
		if d < 0 {
			return errors.New("the news contain a negative time")
		}
	}
	if n.Directory < 0 || n.Config < 0 || n.ReportsAt < 0 || n.EvacuationsAt < 0 {
		return errors.New("the news contain a negative position or version")
	}
	return nil
}

// entrySize is an estimate of the size of an entry that is not packed, in bytes.
const entrySize = 200

// size returns about how many bytes the news have on the wire.
func (n *News) size() int {
	return len(n.All) + len(n.Document) + entrySize*len(n.Entries)
}

// withholdLarge leaves out the configuration document and the entries of the directory. What remains
// confirms nothing that the requester does not have, in earlier versions too.
func (n *News) withholdLarge() {
	n.Busy, n.Document = true, nil
	if len(n.All)+len(n.Entries) > 0 {
		n.All, n.Entries, n.Removed = nil, nil, nil
		n.Directory, n.DirectoryAge, n.Mark.Directory = 0, UnknownAge, 0
	}
}

// Changes returns the changes of the directory. It fails if the packed entries cannot be
// decoded.
func (n *News) Changes() (roster.Changes, error) {
	c := roster.Changes{Entries: n.Entries, Removed: n.Removed}
	if len(n.All) > 0 {
		c.Complete = true
		return c, unpack(n.All, &c.Entries)
	}
	return c, nil
}

// Configuration returns the configuration document as the operators wrote it, nil if the
// news contain none. It fails if the document cannot be unpacked.
func (n *News) Configuration() ([]byte, error) {
	return unpackDocument(n.Document)
}

func unpackDocument(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	var b []byte
	err := unpack(packed, &b)
	return b, err
}

// MemberList returns the member list of the news for a VM that has the member list known:
// known itself if it has not changed.
func (n *News) MemberList(known group.MemberList) group.MemberList {
	if n.Print == known.Fingerprint {
		return known
	}
	return group.MemberList{Coordinator: n.Coordinator, Members: n.Members, Fingerprint: n.Print}
}
