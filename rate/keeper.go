package rate

import (
	"time"

	"toucanfall/fleet"
	"toucanfall/ledger"
)

// Proposal is a record that a keeper wants in the log.
type Proposal struct {
	Kind ledger.Kind
	Base fleet.Revision
	Body any
}

// Named is the limit of one key.
type KeyLimit struct {
	Key   Key
	Limit Limit
	// Born is the offset of the record that made or last changed the key, 0 if
	// it is not known.
	ChangedAt fleet.Offset
}

// Facts are what a keeper decides on in one round.
type Inputs struct {
	// Applied is an offset whose state List and Limits hold at least.
	Applied  fleet.Offset
	List     ledger.MintList
	Revision fleet.Revision
	Limits   []KeyLimit
	// Listed names the VMs on the platform's list. It is nil while the list
	// does not answer.
	Listed map[fleet.VMID]bool
}

// Keeper looks after a VM's place on its data centre's mint list and after its
// lease. It decides and does no input or output; see [Runner]. One goroutine
// calls it, except for Vouch.
type ShareManager struct {
	vm          fleet.VMID
	dc          fleet.DataCentre
	dataCentres int
	listLag     time.Duration
	minter      *Buckets

	read    time.Time
	vouched time.Time
	left    bool
	// acted is the offset of the facts that this process acted on last while it
	// held a lease, 0 before.
	acted fleet.Offset
	// changed is the last join or takeover that this VM acts on, and settled
	// the last loan that it gave before.
	changed fleet.Offset
	settled time.Time
	// absent tells since when a VM has been missing on the platform's list.
	absent map[fleet.VMID]time.Time
	// begun and consented tell since when a takeover has stood, and since when
	// it has had all confirmations, by the join that it ends.
	begun     map[fleet.Offset]time.Time
	consented map[fleet.Offset]time.Time
}

// NewKeeper returns the keeper of a VM. The platform's list lags by at most
// listLag; safety does not rest on that.
func NewShareManager(vm fleet.VMID, dc fleet.DataCentre, dataCentres int, listLag time.Duration, m *Buckets) *ShareManager {
	return &ShareManager{
		vm:          vm,
		dc:          dc,
		dataCentres: dataCentres,
		listLag:     listLag,
		minter:      m,
		absent:      make(map[fleet.VMID]time.Time),
		begun:       make(map[fleet.Offset]time.Time),
		consented:   make(map[fleet.Offset]time.Time),
	}
}

// ReadHead tells that the state holds everything that stood in the log when a
// request for its head began.
func (k *ShareManager) RecordHeadRead(begun time.Time) {
	if begun.After(k.read) {
		k.read = begun
	}
}

// Vouched tells that another VM of the mint list vouched for this one in a call
// that began at the given time.
func (k *ShareManager) RecordConfirmation(begun time.Time) {
	if begun.After(k.vouched) {
		k.vouched = begun
	}
}

// NeedsVoucher reports whether the log has not been read for so long that other
// VMs have to be asked.
func (k *ShareManager) NeedsConfirmation(now time.Time) bool {
	return !k.read.IsZero() && now.Sub(k.read) > ShortLease/3 && now.Sub(k.vouched) > ShortLease/3
}

// Vouch reports whether this VM vouches for another one: it holds a lease
// itself, and the list that it acts on holds no takeover of either. The
// confirmation of a takeover therefore ends vouching.
func Confirms(now time.Time, m *Buckets, list ledger.MintList, self, other fleet.VMID) bool {
	own, ok := list.Find(self)
	if !ok || own.Takeover != 0 || !m.HasLease(now) {
		return false
	}
	o, ok := list.Find(other)
	return ok && o.Takeover == 0
}

// Act puts the list and the limits into force on this VM and renews its lease.
// It must come before a confirmation of the list is proposed, since a longer
// list may shorten the lease.
func (k *ShareManager) Apply(now time.Time, f Inputs) {
	if k.left {
		return
	}
	k.minter.RenewLease(now, k.leaseEnd(f.List))
	for _, n := range f.Limits {
		own := ShareOf(f.List, k.vm, k.dataCentres, n.Key, n.Limit)
		k.minter.SetShare(now, n.Key, own, k.unspent(f, n))
	}
	if k.changed != f.List.Changed {
		// Loans that were given before the new terms are known by now.
		k.changed = f.List.Changed
		k.settled = k.minter.lastLoan(now)
	}
	if k.minter.HasLease(now) {
		k.acted = f.Applied
	}
}

// unspent reports whether nobody can have used tokens of a key that is new to
// this VM out of what is now its share: the key did not exist when this VM acted
// last, and the list has not changed since.
func (k *ShareManager) unspent(f Inputs, n KeyLimit) bool {
	return k.acted != 0 && n.ChangedAt > k.acted && fleet.Offset(f.Revision) <= k.acted
}

// leaseEnd returns the end of the lease. A VM that is alone on its list can ask
// nobody to vouch for it; its takeover therefore waits for the long lease.
func (k *ShareManager) leaseEnd(list ledger.MintList) time.Time {
	if k.read.IsZero() {
		return time.Time{}
	}
	last := k.read.Add(LongLease)
	if _, ok := list.Find(k.vm); ok && len(list.Minters) == 1 {
		return last
	}
	end := k.read.Add(ShortLease)
	if byVoucher := k.vouched.Add(ShortLease); byVoucher.After(end) {
		end = byVoucher
	}
	if end.After(last) {
		return last
	}
	return end
}

// Leave stops minting for good. Plan then proposes the release.
func (k *ShareManager) Leave(now time.Time) {
	k.left = true
	k.minter.Stop(now)
	k.settled = k.minter.lastLoan(now)
}

// Plan returns the records that this VM should propose now. The facts must have
// been put into force by Act before.
func (k *ShareManager) Plan(now time.Time, f Inputs) []Proposal {
	own, listed := f.List.Find(k.vm)
	switch {
	case !listed && k.left:
		return nil
	case !listed:
		return []Proposal{{Kind: ledger.KindMintJoin, Base: f.Revision, Body: ledger.MintJoin{DataCentre: k.dc, VM: k.vm}}}
	case now.Sub(k.settled) < waitOut(0):
		// Loans that this VM gave while its share was larger may still be
		// admitted elsewhere.
		return nil
	case k.left:
		return []Proposal{k.release(own, false)}
	}
	var out []Proposal
	if own.Confirmed < f.List.Changed && f.Applied >= f.List.Changed {
		out = append(out, Proposal{Kind: ledger.KindMintConfirm, Body: ledger.MintConfirm{
			DataCentre: k.dc, VM: k.vm, Joined: own.Joined, Through: f.Applied,
		}})
	}
	if own.Takeover != 0 {
		// This VM lives: its terms are zero already, so it makes room at once.
		return append(out, k.release(own, false))
	}
	return append(out, k.takeovers(now, f)...)
}

func (k *ShareManager) release(m ledger.Minter, long bool) Proposal {
	return Proposal{Kind: ledger.KindMintRelease, Body: ledger.MintRelease{
		DataCentre: k.dc, VM: m.VM, Joined: m.Joined, By: k.vm, Long: long,
	}}
}

// takeovers proposes to take the shares of VMs that the platform dropped, and
// ends takeovers whose time has come. If the VM that began one dies, another
// ends it.
func (k *ShareManager) takeovers(now time.Time, f Inputs) []Proposal {
	var out []Proposal
	for _, m := range f.List.Minters {
		switch {
		case m.VM == k.vm:
		case m.Takeover == 0:
			if k.missing(now, f, m.VM) {
				out = append(out, Proposal{Kind: ledger.KindMintTakeover, Body: ledger.MintTakeover{
					DataCentre: k.dc, VM: m.VM, Joined: m.Joined, By: k.vm,
				}})
			}
		case m.TakenBy == k.vm || k.missing(now, f, m.TakenBy):
			if p, ok := k.end(now, f.List, m); ok {
				out = append(out, p)
			}
		default:
			k.end(now, f.List, m)
		}
	}
	return out
}

// missing reports whether the platform's list has dropped a VM for longer than
// it lags. A VM that is back on the list, or a list that does not answer, starts
// the time anew.
func (k *ShareManager) missing(now time.Time, f Inputs, vm fleet.VMID) bool {
	if f.Listed == nil || f.Listed[vm] {
		delete(k.absent, vm)
		return false
	}
	since, ok := k.absent[vm]
	if !ok {
		k.absent[vm] = now
		return false
	}
	return now.Sub(since) > k.listLag
}

// end returns the release that ends a takeover, once the leases of the VM have
// run out. The times count from when this VM saw the records.
func (k *ShareManager) end(now time.Time, list ledger.MintList, m ledger.Minter) (Proposal, bool) {
	if list.Consented(m.VM) && elapsed(k.consented, m.Joined, now) >= waitOut(ShortLease) {
		return k.release(m, false), true
	}
	if elapsed(k.begun, m.Joined, now) >= waitOut(LongLease) {
		return k.release(m, true), true
	}
	return Proposal{}, false
}

// elapsed returns how long ago a thing was first seen.
func elapsed(seen map[fleet.Offset]time.Time, k fleet.Offset, now time.Time) time.Duration {
	since, ok := seen[k]
	if !ok {
		seen[k] = now
		return 0
	}
	return now.Sub(since)
}
