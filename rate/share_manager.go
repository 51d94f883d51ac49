package rate

import (
	"time"

	"toucanfall/fleet"
	"toucanfall/ledger"
)

// Proposal is a record that a [ShareManager] proposes to append to the log.
type Proposal struct {
	Kind ledger.Kind
	// Base is the revision of the mint list that a join is based on, and 0 for the
	// other kinds.
	Base fleet.Revision
	Body any
}

// KeyLimit is the limit of a key.
type KeyLimit struct {
	Key   Key
	Limit Limit
	// ChangedAt is the offset of the record that created or last changed the key,
	// or 0 if it is unknown.
	ChangedAt fleet.Offset
}

// Inputs are the inputs of a [ShareManager] for one round.
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

// ShareManager manages a VM's shares: its entry on the mint list of its data
// centre and its lease. It does no I/O: its caller supplies [Inputs] and appends
// the proposals. It is not safe for concurrent use.
type ShareManager struct {
	vm          fleet.VMID
	dataCentre  fleet.DataCentre
	dataCentres int
	vmListLag   time.Duration
	buckets     *Buckets

	lastRead      time.Time
	lastConfirmed time.Time
	leaving       bool
	// appliedUnderLease is the offset of the inputs that this process last applied
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

// NewShareManager returns the share manager of a VM. vmListLag is how far the
// platform's VM list is expected to lag; the invariants do not depend on it.
func NewShareManager(vm fleet.VMID, dataCentre fleet.DataCentre, dataCentres int, vmListLag time.Duration, buckets *Buckets) *ShareManager {
	return &ShareManager{
		vm:           vm,
		dataCentre:   dataCentre,
		dataCentres:  dataCentres,
		vmListLag:    vmListLag,
		buckets:      buckets,
		missingSince: make(map[fleet.VMID]time.Time),
		takeoverSeen: make(map[fleet.Offset]time.Time),
		consentSeen:  make(map[fleet.Offset]time.Time),
	}
}

// RecordHeadRead records that the state contains everything that was in the log
// when a request for its head started.
func (sm *ShareManager) RecordHeadRead(started time.Time) {
	if started.After(sm.lastRead) {
		sm.lastRead = started
	}
}

// RecordConfirmation records that another VM on the mint list confirmed this one
// in a call that started at the given time.
func (sm *ShareManager) RecordConfirmation(started time.Time) {
	if started.After(sm.lastConfirmed) {
		sm.lastConfirmed = started
	}
}

// NeedsConfirmation reports whether the last read of the log and the last
// confirmation are so old that this VM must ask other share holders to confirm
// it.
func (sm *ShareManager) NeedsConfirmation(now time.Time) bool {
	return !sm.lastRead.IsZero() && now.Sub(sm.lastRead) > ShortLease/3 && now.Sub(sm.lastConfirmed) > ShortLease/3
}

// Confirms reports whether this VM can confirm another one. It can if it holds a
// lease itself and the list that it has applied contains both VMs and no
// takeover of either. A VM that has confirmed a takeover in the log therefore no
// longer confirms the VM that is taken over.
func Confirms(now time.Time, buckets *Buckets, list ledger.MintList, self, other fleet.VMID) bool {
	own, ok := list.Find(self)
	if !ok || own.Takeover != 0 || !buckets.HasLease(now) {
		return false
	}
	o, ok := list.Find(other)
	return ok && o.Takeover == 0
}

// Apply applies the list and the limits on this VM and renews its lease. It must
// be called before a confirmation of the list is proposed, since a longer list
// may shorten the lease.
func (sm *ShareManager) Apply(now time.Time, in Inputs) {
	if sm.leaving {
		return
	}
	sm.buckets.RenewLease(now, sm.leaseEnd(in.List))
	for _, limit := range in.Limits {
		share := ShareOf(in.List, sm.vm, sm.dataCentres, limit.Key, limit.Limit)
		sm.buckets.SetShare(now, limit.Key, share, sm.unspent(in, limit))
	}
	if sm.listChanged != in.List.Changed {
		// All loans made under the previous shares are recorded by now.
		sm.listChanged = in.List.Changed
		sm.lastLoanBeforeChange = sm.buckets.lastLoan(now)
	}
	if sm.buckets.HasLease(now) {
		sm.appliedUnderLease = in.Applied
	}
}

// unspent reports whether no VM can have used tokens from this VM's share of a
// key that is new to it: the key was created or changed after this VM last
// applied inputs under a lease, and the list has not changed since.
func (sm *ShareManager) unspent(in Inputs, limit KeyLimit) bool {
	return sm.appliedUnderLease != 0 && limit.ChangedAt > sm.appliedUnderLease && fleet.Offset(in.Revision) <= sm.appliedUnderLease
}

// leaseEnd returns the end of the lease. A VM that is alone on its list has no
// other VM to confirm it, so it gets a long lease; its takeover therefore waits
// for the long lease to expire.
func (sm *ShareManager) leaseEnd(list ledger.MintList) time.Time {
	if sm.lastRead.IsZero() {
		return time.Time{}
	}
	latest := sm.lastRead.Add(LongLease)
	if _, ok := list.Find(sm.vm); ok && len(list.Minters) == 1 {
		return latest
	}
	end := sm.lastRead.Add(ShortLease)
	if byConfirmation := sm.lastConfirmed.Add(ShortLease); byConfirmation.After(end) {
		end = byConfirmation
	}
	if end.After(latest) {
		return latest
	}
	return end
}

// Leave permanently stops the use of this VM's shares. Plan then proposes their
// release.
func (sm *ShareManager) Leave(now time.Time) {
	sm.leaving = true
	sm.buckets.Stop(now)
	sm.lastLoanBeforeChange = sm.buckets.lastLoan(now)
}

// Plan returns the records that this VM should propose now. Apply must have been
// called with the same inputs before.
func (sm *ShareManager) Plan(now time.Time, in Inputs) []Proposal {
	own, listed := in.List.Find(sm.vm)
	switch {
	case !listed && sm.leaving:
		return nil
	case !listed:
		return []Proposal{{Kind: ledger.KindMintJoin, Base: in.Revision, Body: ledger.MintJoin{DataCentre: sm.dataCentre, VM: sm.vm}}}
	case now.Sub(sm.lastLoanBeforeChange) < expiryWait(0):
		// Loans that this VM made while its share was larger may still be
		// admitted by other VMs.
		return nil
	case sm.leaving:
		return []Proposal{sm.release(own, false)}
	}
	var out []Proposal
	if own.Confirmed < in.List.Changed && in.Applied >= in.List.Changed {
		out = append(out, Proposal{Kind: ledger.KindMintConfirm, Body: ledger.MintConfirm{
			DataCentre: sm.dataCentre, VM: sm.vm, Joined: own.Joined, Through: in.Applied,
		}})
	}
	if own.Takeover != 0 {
		// This VM is alive and its shares are already zero, so it can release
		// them without waiting.
		return append(out, sm.release(own, false))
	}
	return append(out, sm.takeovers(now, in)...)
}

func (sm *ShareManager) release(m ledger.Minter, long bool) Proposal {
	return Proposal{Kind: ledger.KindMintRelease, Body: ledger.MintRelease{
		DataCentre: sm.dataCentre, VM: m.VM, Joined: m.Joined, By: sm.vm, Long: long,
	}}
}

// takeovers proposes to take over the shares of VMs that are missing from the
// platform's VM list, and to end takeovers after the required wait. If the VM
// that started a takeover is missing too, any other VM ends it.
func (sm *ShareManager) takeovers(now time.Time, in Inputs) []Proposal {
	var out []Proposal
	for _, m := range in.List.Minters {
		switch {
		case m.VM == sm.vm:
		case m.Takeover == 0:
			if sm.missing(now, in, m.VM) {
				out = append(out, Proposal{Kind: ledger.KindMintTakeover, Body: ledger.MintTakeover{
					DataCentre: sm.dataCentre, VM: m.VM, Joined: m.Joined, By: sm.vm,
				}})
			}
		case m.TakenBy == sm.vm || sm.missing(now, in, m.TakenBy):
			if p, ok := sm.endTakeover(now, in.List, m); ok {
				out = append(out, p)
			}
		default:
			// Another VM ends this takeover. The call only notes when this VM first
			// saw the records, in case it has to end the takeover later.
			sm.endTakeover(now, in.List, m)
		}
	}
	return out
}

// missing reports whether a VM has been missing from the platform's VM list for
// longer than the list may lag. The time restarts when the VM is listed again or
// the list is unavailable.
func (sm *ShareManager) missing(now time.Time, in Inputs, vm fleet.VMID) bool {
	if in.Listed == nil || in.Listed[vm] {
		delete(sm.missingSince, vm)
		return false
	}
	since, ok := sm.missingSince[vm]
	if !ok {
		sm.missingSince[vm] = now
		return false
	}
	return now.Sub(since) > sm.vmListLag
}

// endTakeover returns the release that ends a takeover, once the leases of the
// VM that is taken over have expired. The times count from when this VM first
// saw the records.
func (sm *ShareManager) endTakeover(now time.Time, list ledger.MintList, m ledger.Minter) (Proposal, bool) {
	if list.TakeoverConfirmed(m.VM) && sinceFirstSeen(sm.consentSeen, m.Joined, now) >= expiryWait(ShortLease) {
		return sm.release(m, false), true
	}
	if sinceFirstSeen(sm.takeoverSeen, m.Joined, now) >= expiryWait(LongLease) {
		return sm.release(m, true), true
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
