package rate

import (
	"time"

	"toucanfall/fleet"
	"toucanfall/ledger"
)

// Proposal is a record that a [Keeper] proposes to append to the log.
type Proposal struct {
	Kind ledger.Kind
	Base fleet.Revision
	Body any
}

// Named is the limit of a key.
type KeyLimit struct {
	Key   Key
	Limit Limit
	// Born is the offset of the record that created or last changed the key, or
	// 0 if it is unknown.
	ChangedAt fleet.Offset
}

// Facts are the inputs of a [Keeper] for one round.
type Inputs struct {
	// Applied is an offset of the log that List and Limits are at least as new as.
	Applied fleet.Offset
	List    ledger.MintList
	// Revision is the revision of List.
	Revision fleet.Revision
	Limits   []KeyLimit
	// Listed is the set of VMs on the platform's VM list. It is nil while the
	// list is unavailable.
	Listed map[fleet.VMID]bool
}

// Keeper manages a VM's shares: its entry on the mint list of its data centre
// and its lease. It does no I/O: its caller supplies [Facts] and appends the
// proposals. It is not safe for concurrent use.
type ShareManager struct {
	vm          fleet.VMID
	dataCentre  fleet.DataCentre
	dataCentres int
	vmListLag   time.Duration
	buckets     *Buckets

	lastRead      time.Time
	lastConfirmed time.Time
	leaving       bool
	// appliedUnderLease is the offset of the facts that this process last applied
	// while it held a lease, or 0 if it has not yet.
	appliedUnderLease fleet.Offset
	// listChanged is the offset of the last join or takeover that this VM has
	// applied, and lastLoanBeforeChange the time of its last loan before that or
	// before Leave.
	listChanged          fleet.Offset
	lastLoanBeforeChange time.Time
	// missingSince is when each VM was first found missing from the platform's VM
	// list.
	missingSince map[fleet.VMID]time.Time
	// takeoverSeen and consentSeen are when this VM first saw a takeover, and
	// first saw it confirmed by all share holders. The key is the offset of the
	// join record of the VM that is taken over.
	takeoverSeen map[fleet.Offset]time.Time
	consentSeen  map[fleet.Offset]time.Time
}

// NewKeeper returns the keeper of a VM. vmListLag is how far the platform's VM
// list is expected to lag; the invariants do not depend on it.
func NewShareManager(vm fleet.VMID, dataCentre fleet.DataCentre, dataCentres int, vmListLag time.Duration, m *Buckets) *ShareManager {
	return &ShareManager{
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

// ReadHead records that the state contains everything that was in the log when
// a request for its head started.
func (k *ShareManager) RecordHeadRead(started time.Time) {
	if started.After(k.lastRead) {
		k.lastRead = started
	}
}

// Vouched records that another VM on the mint list confirmed this one in a call
// that started at the given time.
func (k *ShareManager) RecordConfirmation(started time.Time) {
	if started.After(k.lastConfirmed) {
		k.lastConfirmed = started
	}
}

// NeedsVoucher reports whether the last read of the log and the last
// confirmation are so old that this VM must ask other share holders to confirm
// it.
func (k *ShareManager) NeedsConfirmation(now time.Time) bool {
	return !k.lastRead.IsZero() && now.Sub(k.lastRead) > ShortLease/3 && now.Sub(k.lastConfirmed) > ShortLease/3
}

// Vouch reports whether this VM can confirm another one. It can if it holds a
// lease itself and the list that it has applied contains both VMs and no
// takeover of either. A VM that has confirmed a takeover in the log therefore no
// longer confirms the VM that is taken over.
func Confirms(now time.Time, m *Buckets, list ledger.MintList, self, other fleet.VMID) bool {
	own, ok := list.Find(self)
	if !ok || own.Takeover != 0 || !m.HasLease(now) {
		return false
	}
	o, ok := list.Find(other)
	return ok && o.Takeover == 0
}

// Act applies the list and the limits on this VM and renews its lease. It must
// be called before a confirmation of the list is proposed, since a longer list
// may shorten the lease.
func (k *ShareManager) Apply(now time.Time, f Inputs) {
	if k.leaving {
		return
	}
	k.buckets.RenewLease(now, k.leaseEnd(f.List))
	for _, n := range f.Limits {
		share := ShareOf(f.List, k.vm, k.dataCentres, n.Key, n.Limit)
		k.buckets.SetShare(now, n.Key, share, k.unspent(f, n))
	}
	if k.listChanged != f.List.Changed {
		// All loans made under the previous shares are recorded by now.
		k.listChanged = f.List.Changed
		k.lastLoanBeforeChange = k.buckets.lastLoan(now)
	}
	if k.buckets.HasLease(now) {
		k.appliedUnderLease = f.Applied
	}
}

// unspent reports whether no VM can have used tokens from this VM's share of a
// key that is new to it: the key was created or changed after this VM last
// applied facts under a lease, and the list has not changed since.
func (k *ShareManager) unspent(f Inputs, n KeyLimit) bool {
	return k.appliedUnderLease != 0 && n.ChangedAt > k.appliedUnderLease && fleet.Offset(f.Revision) <= k.appliedUnderLease
}

// leaseEnd returns the end of the lease. A VM that is alone on its list has no
// other VM to confirm it, so it gets a long lease; its takeover therefore waits
// for the long lease to expire.
func (k *ShareManager) leaseEnd(list ledger.MintList) time.Time {
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

// Leave permanently stops the use of this VM's shares. Plan then proposes their
// release.
func (k *ShareManager) Leave(now time.Time) {
	k.leaving = true
	k.buckets.Stop(now)
	k.lastLoanBeforeChange = k.buckets.lastLoan(now)
}

// Plan returns the records that this VM should propose now. Act must have been
// called with the same facts before.
func (k *ShareManager) Plan(now time.Time, f Inputs) []Proposal {
	own, listed := f.List.Find(k.vm)
	switch {
	case !listed && k.leaving:
		return nil
	case !listed:
		return []Proposal{{Kind: ledger.KindMintJoin, Base: f.Revision, Body: ledger.MintJoin{DataCentre: k.dataCentre, VM: k.vm}}}
	case now.Sub(k.lastLoanBeforeChange) < expiryWait(0):
		// Loans that this VM made while its share was larger may still be
		// admitted by other VMs.
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
		// This VM is alive and its shares are already zero, so it can release
		// them without waiting.
		return append(out, k.release(own, false))
	}
	return append(out, k.takeovers(now, f)...)
}

func (k *ShareManager) release(m ledger.Minter, long bool) Proposal {
	return Proposal{Kind: ledger.KindMintRelease, Body: ledger.MintRelease{
		DataCentre: k.dataCentre, VM: m.VM, Joined: m.Joined, By: k.vm, Long: long,
	}}
}

// takeovers proposes to take over the shares of VMs that are missing from the
// platform's VM list, and to end takeovers after the required wait. If the VM
// that started a takeover is missing too, any other VM ends it.
func (k *ShareManager) takeovers(now time.Time, f Inputs) []Proposal {
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

// missing reports whether a VM has been missing from the platform's VM list for
// longer than the list may lag. The time restarts when the VM is listed again or
// the list is unavailable.
func (k *ShareManager) missing(now time.Time, f Inputs, vm fleet.VMID) bool {
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

// endTakeover returns the release that ends a takeover, once the leases of the
// VM that is taken over have expired. The times count from when this VM first
// saw the records.
func (k *ShareManager) endTakeover(now time.Time, list ledger.MintList, m ledger.Minter) (Proposal, bool) {
	if list.TakeoverConfirmed(m.VM) && sinceFirstSeen(k.consentSeen, m.Joined, now) >= expiryWait(ShortLease) {
		return k.release(m, false), true
	}
	if sinceFirstSeen(k.takeoverSeen, m.Joined, now) >= expiryWait(LongLease) {
		return k.release(m, true), true
	}
	return Proposal{}, false
}

// sinceFirstSeen returns the time since its first call with the same seen and
// joined.
func sinceFirstSeen(seen map[fleet.Offset]time.Time, joined fleet.Offset, now time.Time) time.Duration {
	since, ok := seen[joined]
	if !ok {
		seen[joined] = now
		return 0
	}
	return now.Sub(since)
}
