package ledger

import (
	"errors"
	"slices"

	"toucanfall/fault"
	"toucanfall/fleet"
)

// The kinds of records about share holders, the VMs that hold a share of a data
// centre's rates.
const (
	KindMintJoin     Kind = "mint_join"
	KindMintConfirm  Kind = "mint_confirm"
	KindMintRelease  Kind = "mint_release"
	KindMintTakeover Kind = "mint_takeover"
)

// MintJoin adds a VM to the list of a data centre's share holders. Its record is
// based on the revision of the list, so that a delayed copy cannot add a VM
// again after it has left.
type MintJoin struct {
	DataCentre fleet.DataCentre `json:"data_centre"`
	VM         fleet.VMID       `json:"vm"`
}

// UnmarshalJSON decodes and checks a join.
func (j *MintJoin) UnmarshalJSON(b []byte) error {
	type plain MintJoin
	return fleet.DecodeChecked(b, (*plain)(j), j.check)
}

func (j *MintJoin) check() error {
	if j.DataCentre == "" {
		return errors.New("mint join needs a data centre")
	}
	return fleet.CheckID("vm", j.VM)
}

// MintConfirm states that a share holder has applied the list as of an offset: it
// has released the shares that the list no longer assigns to it, and confirms no
// VM whose takeover began at or before that offset.
type MintConfirm struct {
	DataCentre fleet.DataCentre `json:"data_centre"`
	VM         fleet.VMID       `json:"vm"`
	// Joined is the offset of the VM's join. It identifies the VM's entry, since a
	// VM may leave and join again.
	Joined fleet.Offset `json:"joined"`
	// Through is the offset up to which the VM has applied the list.
	Through fleet.Offset `json:"through"`
}

// UnmarshalJSON decodes and checks a confirmation.
func (c *MintConfirm) UnmarshalJSON(b []byte) error {
	type plain MintConfirm
	return fleet.DecodeChecked(b, (*plain)(c), c.check)
}

func (c *MintConfirm) check() error {
	if c.Joined == 0 || c.Through < c.Joined {
		return errors.New("mint confirmation must name an offset from its join on")
	}
	return fleet.CheckID("vm", c.VM)
}

// MintTakeover starts the takeover of the share of a VM that is believed to have
// failed. Until a MintRelease, the VM stays on the list and nobody uses its
// share.
type MintTakeover struct {
	DataCentre fleet.DataCentre `json:"data_centre"`
	VM         fleet.VMID       `json:"vm"`
	// Joined is the offset of the VM's join, and By the VM that takes over.
	Joined fleet.Offset `json:"joined"`
	By     fleet.VMID   `json:"by"`
}

// UnmarshalJSON decodes and checks a takeover.
func (t *MintTakeover) UnmarshalJSON(b []byte) error {
	type plain MintTakeover
	return fleet.DecodeChecked(b, (*plain)(t), t.check)
}

func (t *MintTakeover) check() error {
	if t.Joined == 0 || t.By == t.VM {
		return errors.New("mint takeover must name a join and another VM")
	}
	return fleet.CheckID("vm", t.VM)
}

// MintRelease removes a VM from the list. The VM itself appends it after it has
// stopped using its share. The VM that started a takeover appends it after the
// leases of the failed VM have expired.
type MintRelease struct {
	DataCentre fleet.DataCentre `json:"data_centre"`
	VM         fleet.VMID       `json:"vm"`
	// Joined is the offset of the VM's join, and By the VM that proposes the
	// release: the VM itself or another one.
	Joined fleet.Offset `json:"joined"`
	By     fleet.VMID   `json:"by"`
	// Long is set if the proposer waited for the long lease to expire, which makes
	// confirmations of the other share holders unnecessary.
	Long bool `json:"long,omitempty"`
}

// UnmarshalJSON decodes and checks a release.
func (r *MintRelease) UnmarshalJSON(b []byte) error {
	type plain MintRelease
	return fleet.DecodeChecked(b, (*plain)(r), r.check)
}

func (r *MintRelease) check() error {
	if r.Joined == 0 || r.By == "" {
		return errors.New("mint release must name a join and its proposer")
	}
	return fleet.CheckID("vm", r.VM)
}

// Minter is a share holder: a VM on a data centre's list.
type Minter struct {
	VM fleet.VMID `json:"vm"`
	// Joined is the offset of the VM's join.
	Joined fleet.Offset `json:"joined"`
	// Confirmed is the offset up to which the VM has applied the list.
	Confirmed fleet.Offset `json:"confirmed"`
	// Takeover is the offset of the record that started the takeover of the VM's
	// share, 0 if there is none, and TakenBy the VM that proposed it.
	Takeover fleet.Offset `json:"takeover,omitempty"`
	TakenBy  fleet.VMID   `json:"taken_by,omitempty"`
}

// MintList lists the share holders of a data centre, sorted by VM ID. The data
// centre's share of every rate is split among them.
type MintList struct {
	DataCentre fleet.DataCentre `json:"data_centre"`
	Minters    []Minter         `json:"minters"`
	// Changed is the offset of the last join or takeover, which the other share
	// holders must confirm.
	Changed fleet.Offset `json:"changed"`
}

// Find returns the entry of a VM.
func (l MintList) Find(vm fleet.VMID) (Minter, bool) {
	i := l.index(vm)
	if i < 0 {
		return Minter{}, false
	}
	return l.Minters[i], true
}

func (l MintList) index(vm fleet.VMID) int {
	return slices.IndexFunc(l.Minters, func(m Minter) bool { return m.VM == vm })
}

// Active reports whether the VM may use its share: every other VM of the list has
// confirmed its join, and no takeover of its share has started. Confirmations
// are never lost, because their offsets only grow.
func (l MintList) Active(vm fleet.VMID) bool {
	entry, ok := l.Find(vm)
	return ok && entry.Takeover == 0 && l.confirmedByOthers(vm, entry.Joined)
}

// TakeoverConfirmed reports whether a takeover of the VM only needs to wait for
// the short lease: all other VMs have confirmed the takeover, and one of them
// is active, so that the VM knows that it is not the only share holder.
func (l MintList) TakeoverConfirmed(vm fleet.VMID) bool {
	entry, ok := l.Find(vm)
	if !ok || entry.Takeover == 0 || !l.confirmedByOthers(vm, entry.Takeover) {
		return false
	}
	return slices.ContainsFunc(l.Minters, func(m Minter) bool {
		return m.VM != vm && l.Active(m.VM)
	})
}

func (l MintList) confirmedByOthers(vm fleet.VMID, offset fleet.Offset) bool {
	for _, m := range l.Minters {
		if m.VM != vm && m.Confirmed < offset {
			return false
		}
	}
	return true
}

// mintList returns the list of a data centre with a copy of its entries, since
// concurrent readers may use the stored ones.
func (s *State) mintList(dc fleet.DataCentre) (MintList, fleet.Revision) {
	e, ok := s.Minters.Get(dc)
	if !ok {
		return MintList{DataCentre: dc}, 0
	}
	l := e.Value
	l.Minters = slices.Clone(l.Minters)
	return l, e.Revision
}

func applyMintJoin(s *State, offset fleet.Offset, r Record, b MintJoin) Verdict {
	l, _ := s.mintList(b.DataCentre)
	if _, ok := l.Find(b.VM); ok {
		return reject(offset, fault.Conflict, "vm %q is on the list of data centre %q", b.VM, b.DataCentre)
	}
	l.Minters = append(l.Minters, Minter{VM: b.VM, Joined: offset, Confirmed: offset})
	slices.SortFunc(l.Minters, func(x, y Minter) int {
		if x.VM < y.VM {
			return -1
		}
		return 1
	})
	l.Changed = offset
	return s.Minters.put(offset, r, b.DataCentre, l)
}

func applyMintConfirm(s *State, offset fleet.Offset, r Record, b MintConfirm) Verdict {
	l, revision := s.mintList(b.DataCentre)
	i := l.index(b.VM)
	if i < 0 || l.Minters[i].Joined != b.Joined {
		return reject(offset, fault.NotFound, "vm %q did not join at offset %d", b.VM, b.Joined)
	}
	if b.Through >= offset {
		return reject(offset, fault.InvalidRequest, "confirmation of offset %d comes before it", b.Through)
	}
	l.Minters[i].Confirmed = max(l.Minters[i].Confirmed, b.Through)
	r.Base = revision
	return s.Minters.put(offset, r, b.DataCentre, l)
}

// applyMintTakeover accepts the first takeover of a share.
func applyMintTakeover(s *State, offset fleet.Offset, r Record, b MintTakeover) Verdict {
	l, revision := s.mintList(b.DataCentre)
	i := l.index(b.VM)
	if i < 0 || l.Minters[i].Joined != b.Joined {
		return reject(offset, fault.NotFound, "vm %q did not join at offset %d", b.VM, b.Joined)
	}
	if by := l.Minters[i].TakenBy; by != "" {
		return reject(offset, fault.Conflict, "vm %q is being taken over by %q", b.VM, by)
	}
	l.Minters[i].Takeover = offset
	l.Minters[i].TakenBy = b.By
	l.Changed = offset
	r.Base = revision
	return s.Minters.put(offset, r, b.DataCentre, l)
}

// applyMintRelease removes a VM from the list. A duplicate is rejected because no
// entry has the same join any more.
func applyMintRelease(s *State, offset fleet.Offset, r Record, b MintRelease) Verdict {
	l, revision := s.mintList(b.DataCentre)
	i := l.index(b.VM)
	if i < 0 || l.Minters[i].Joined != b.Joined {
		return reject(offset, fault.NotFound, "vm %q did not join at offset %d", b.VM, b.Joined)
	}
	if b.By != b.VM {
		if l.Minters[i].Takeover == 0 {
			return reject(offset, fault.Conflict, "vm %q is not being taken over", b.VM)
		}
		if !b.Long && !l.TakeoverConfirmed(b.VM) {
			return reject(offset, fault.Conflict, "not all minting VMs confirmed the takeover of %q", b.VM)
		}
	}
	l.Minters = slices.Delete(l.Minters, i, i+1)
	r.Base = revision
	return s.Minters.put(offset, r, b.DataCentre, l)
}
