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
type Named struct {
	Key   Key
	Limit Limit
	// Born is the offset of the record that made or last changed the key, 0 if
	// it is not known.
	Born fleet.Offset
}

// Facts are what a keeper decides on in one round.
type Facts struct {
	// Applied is an offset whose state List and Limits hold at least.
	Applied  fleet.Offset
	List     ledger.MintList
	Revision fleet.Revision
	Limits   []Named
	// Listed names the VMs on the platform's list. It is nil while the list
	// does not answer.
	Listed map[fleet.VMID]bool
}

// Keeper looks after a VM's place on its data centre's mint list and after its
// lease. It decides and does no input or output; see [Runner]. One goroutine
// calls it, except for Vouch.
type Keeper struct {
	vm          fleet.VMID
	dataCentre  fleet.DataCentre
	dataCentres int
	vmListLag   time.Duration
	buckets     *Minter

	lastRead      time.Time
	lastConfirmed time.Time
	leaving       bool
	// acted is the offset of the facts that this process acted on last while it
	// held a lease, 0 before.
	appliedUnderLease fleet.Offset
	// changed is the last join or takeover that this VM acts on, and settled
	// the last loan that it gave before.
	listChanged          fleet.Offset
	lastLoanBeforeChange time.Time
	// absent tells since when a VM has been missing on the platform's list.
	missingSince map[fleet.VMID]time.Time
	// begun and consented tell since when a takeover has stood, and since when
	// it has had all confirmations, by the join that it ends.
	takeoverSeen map[fleet.Offset]time.Time
	consentSeen  map[fleet.Offset]time.Time
}

// NewKeeper returns the keeper of a VM. The platform's list lags by at most
// listLag; safety does not rest on that.
func NewKeeper(vm fleet.VMID, dataCentre fleet.DataCentre, dataCentres int, vmListLag time.Duration, m *Minter) *Keeper {
	return &Keeper{
		vm:           vm,
		dataCentre:   dataCentre,
		dataCentres:  dataCentres,
		vmListLag:    vmListLag,
		buckets:      m,
		missingSince: make(map[fleet.VMID]time.Time),
		takeoverSeen: make(map[fleet.Offset]time.Time),
		consentSeen:  make(map[fleet.Offset]time.Time),
	}
}

// ReadHead tells that the state holds everything that stood in the log when a
// request for its head began.
func (k *Keeper) ReadHead(started time.Time) {
	if started.After(k.lastRead) {
		k.lastRead = started
	}
}

// Vouched tells that another VM of the mint list vouched for this one in a call
// that began at the given time.
func (k *Keeper) Vouched(started time.Time) {
	if started.After(k.lastConfirmed) {
		k.lastConfirmed = started
	}
}

// NeedsVoucher reports whether the log has not been read for so long that other
// VMs have to be asked.
func (k *Keeper) NeedsVoucher(now time.Time) bool {
	return !k.lastRead.IsZero() && now.Sub(k.lastRead) > ShortLease/3 && now.Sub(k.lastConfirmed) > ShortLease/3
}

// Vouch reports whether this VM vouches for another one: it holds a lease
// itself, and the list that it acts on holds no takeover of either. The
// confirmation of a takeover therefore ends vouching.
func Vouch(now time.Time, m *Minter, list ledger.MintList, self, other fleet.VMID) bool {
	own, ok := list.Find(self)
	if !ok || own.Takeover != 0 || !m.Leased(now) {
		return false
	}
	o, ok := list.Find(other)
	return ok && o.Takeover == 0
}

// Act puts the list and the limits into force on this VM and renews its lease.
// It must come before a confirmation of the list is proposed, since a longer
// list may shorten the lease.
func (k *Keeper) Act(now time.Time, f Facts) {
	if k.leaving {
		return
	}
	k.buckets.Renew(now, k.leaseEnd(f.List))
	for _, n := range f.Limits {
		share := Terms(f.List, k.vm, k.dataCentres, n.Key, n.Limit)
		k.buckets.SetTerms(now, n.Key, share, k.unspent(f, n))
	}
	if k.listChanged != f.List.Changed {
		// Loans that were given before the new terms are known by now.
		k.listChanged = f.List.Changed
		k.lastLoanBeforeChange = k.buckets.lastLoan(now)
	}
	if k.buckets.Leased(now) {
		k.appliedUnderLease = f.Applied
	}
}

// unspent reports whether nobody can have used tokens of a key that is new to
// this VM out of what is now its share: the key did not exist when this VM acted
// last, and the list has not changed since.
func (k *Keeper) unspent(f Facts, n Named) bool {
	return k.appliedUnderLease != 0 && n.Born > k.appliedUnderLease && fleet.Offset(f.Revision) <= k.appliedUnderLease
}

// leaseEnd returns the end of the lease. A VM that is alone on its list can ask
// nobody to vouch for it; its takeover therefore waits for the long lease.
func (k *Keeper) leaseEnd(list ledger.MintList) time.Time {
	if k.lastRead.IsZero() {
		return time.Time{}
	}
	latest := k.lastRead.Add(LongLease)
	if _, ok := list.Find(k.vm); ok && len(list.Minters) == 1 {
		return latest
	}
	end := k.lastRead.Add(ShortLease)
	if byConfirmation := k.lastConfirmed.Add(ShortLease); byConfirmation.After(end) {
		end = byConfirmation
	}
	if end.After(latest) {
		return latest
	}
	return end
}

// Leave stops minting for good. Plan then proposes the release.
func (k *Keeper) Leave(now time.Time) {
	k.leaving = true
	k.buckets.Stop(now)
	k.lastLoanBeforeChange = k.buckets.lastLoan(now)
}

// Plan returns the records that this VM should propose now. The facts must have
// been put into force by Act before.
func (k *Keeper) Plan(now time.Time, f Facts) []Proposal {
	own, listed := f.List.Find(k.vm)
	switch {
	case !listed && k.leaving:
		return nil
	case !listed:
		return []Proposal{{Kind: ledger.KindMintJoin, Base: f.Revision, Body: ledger.MintJoin{DataCentre: k.dataCentre, VM: k.vm}}}
	case now.Sub(k.lastLoanBeforeChange) < expiryWait(0):
		// Loans that this VM gave while its share was larger may still be
		// admitted elsewhere.
		return nil
	case k.leaving:
		return []Proposal{k.release(own, false)}
	}
	var out []Proposal
	if own.Confirmed < f.List.Changed && f.Applied >= f.List.Changed {
		out = append(out, Proposal{Kind: ledger.KindMintConfirm, Body: ledger.MintConfirm{
			DataCentre: k.dataCentre, VM: k.vm, Joined: own.Joined, Through: f.Applied,
		}})
	}
	if own.Takeover != 0 {
		// This VM lives: its terms are zero already, so it makes room at once.
		return append(out, k.release(own, false))
	}
	return append(out, k.takeovers(now, f)...)
}

func (k *Keeper) release(m ledger.Minter, long bool) Proposal {
	return Proposal{Kind: ledger.KindMintRelease, Body: ledger.MintRelease{
		DataCentre: k.dataCentre, VM: m.VM, Joined: m.Joined, By: k.vm, Long: long,
	}}
}

// takeovers proposes to take the shares of VMs that the platform dropped, and
// ends takeovers whose time has come. If the VM that began one dies, another
// ends it.
func (k *Keeper) takeovers(now time.Time, f Facts) []Proposal {
	var out []Proposal
	for _, m := range f.List.Minters {
		switch {
		case m.VM == k.vm:
		case m.Takeover == 0:
			if k.missing(now, f, m.VM) {
				out = append(out, Proposal{Kind: ledger.KindMintTakeover, Body: ledger.MintTakeover{
					DataCentre: k.dataCentre, VM: m.VM, Joined: m.Joined, By: k.vm,
				}})
			}
		case m.TakenBy == k.vm || k.missing(now, f, m.TakenBy):
			if p, ok := k.endTakeover(now, f.List, m); ok {
				out = append(out, p)
			}
		default:
			k.endTakeover(now, f.List, m)
		}
	}
	return out
}

// missing reports whether the platform's list has dropped a VM for longer than
// it lags. A VM that is back on the list, or a list that does not answer, starts
// the time anew.
func (k *Keeper) missing(now time.Time, f Facts, vm fleet.VMID) bool {
	if f.Listed == nil || f.Listed[vm] {
		delete(k.missingSince, vm)
		return false
	}
	since, ok := k.missingSince[vm]
	if !ok {
		k.missingSince[vm] = now
		return false
	}
	return now.Sub(since) > k.vmListLag
}

// end returns the release that ends a takeover, once the leases of the VM have
// run out. The times count from when this VM saw the records.
func (k *Keeper) endTakeover(now time.Time, list ledger.MintList, m ledger.Minter) (Proposal, bool) {
	if list.Consented(m.VM) && sinceFirstSeen(k.consentSeen, m.Joined, now) >= expiryWait(ShortLease) {
		return k.release(m, false), true
	}
	if sinceFirstSeen(k.takeoverSeen, m.Joined, now) >= expiryWait(LongLease) {
		return k.release(m, true), true
	}
	return Proposal{}, false
}

// elapsed returns how long ago a thing was first seen.
func sinceFirstSeen(seen map[fleet.Offset]time.Time, joined fleet.Offset, now time.Time) time.Duration {
	since, ok := seen[joined]
	if !ok {
		seen[joined] = now
		return 0
	}
	return now.Sub(since)
}
