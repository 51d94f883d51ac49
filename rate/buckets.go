package rate

import (
	"sync/atomic"
	"time"

	"toucanfall/fleet"
	"toucanfall/internal/shard"
)

// Buckets holds the token buckets of one VM, one for each key. It does no I/O and
// is safe for concurrent use, except that SetShare, RenewLease and Stop must not
// be called concurrently with each other. It starts without a lease and with
// empty buckets, so that a restarted process cannot admit a second burst.
type Buckets struct {
	vm    fleet.VMID
	byKey *shard.Map[Key, *bucket]
	lease atomic.Pointer[lease]
	loans *loans
	audit Audit
	// lastLoanAt is when tokens last left a bucket without being admitted
	// immediately.
	lastLoanAt atomic.Pointer[time.Time]
}

// Audit records every charge, and every credited refund as a negative amount. It
// is called concurrently and while locks of [Buckets] are held, so it must not
// call Buckets.
type Audit interface {
	RecordCharge(now time.Time, key Key, a Amount)
}

// NewBuckets returns the token buckets of a VM. The audit may be nil.
func NewBuckets(vm fleet.VMID, audit Audit) *Buckets {
	return &Buckets{vm: vm, byKey: shard.New[Key, *bucket](), loans: newLoans(), audit: audit}
}

func (bs *Buckets) auditCharge(now time.Time, key Key, a Amount) {
	if bs.audit != nil && a != 0 {
		bs.audit.RecordCharge(now, key, a)
	}
}

// SetShare sets the VM's share of a key, which is zero if it holds none. The
// bucket of a new key starts full if the VM holds a lease and unspent is set,
// which means that no VM can have used tokens of this share; otherwise it starts
// empty.
func (bs *Buckets) SetShare(now time.Time, key Key, share Limit, unspent bool) {
	b, ok := bs.byKey.Get(key)
	if !ok {
		b = &bucket{refilledAt: now}
	}
	b.mu.Lock()
	b.advance(now, bs.lease.Load())
	b.setShare(now, share)
	if !ok && unspent && bs.HasLease(now) {
		b.fillLevel = share.Burst
	}
	b.checkInvariants()
	b.mu.Unlock()
	if !ok {
		bs.byKey.Put(key, b)
	}
}

// RenewLease sets the end of the lease, which may be earlier than before. If the
// lease has expired, a new one starts, under which all buckets start empty.
func (bs *Buckets) RenewLease(now, until time.Time) {
	next := &lease{since: now, until: until}
	old := bs.lease.Load()
	switch {
	case old.valid(now):
		next.number = old.number
		next.since = old.since
	case passed(until, now):
		return
	case old != nil:
		next.number = old.number + 1
	default:
		next.number = 1
	}
	bs.lease.Store(next)
}

// lastLoan returns the time of the last loan, or zero if there was none. A time
// after now, from a loan made concurrently, is returned as now.
func (bs *Buckets) lastLoan(now time.Time) time.Time {
	last := bs.lastLoanAt.Load()
	switch {
	case last == nil:
		return time.Time{}
	case last.After(now):
		return now
	default:
		return *last
	}
}

// Stop ends the lease and empties all buckets. A later RenewLease starts a new
// lease.
func (bs *Buckets) Stop(now time.Time) {
	old := bs.lease.Load()
	if old == nil {
		return
	}
	bs.lease.Store(&lease{number: old.number, since: old.since, until: now})
	for _, key := range bs.byKey.Keys() {
		if b, ok := bs.byKey.Get(key); ok {
			b.mu.Lock()
			b.advance(now, bs.lease.Load())
			b.mu.Unlock()
		}
	}
}

// HasLease reports whether the VM holds a valid lease.
func (bs *Buckets) HasLease(now time.Time) bool {
	return bs.lease.Load().valid(now)
}

// Take charges the complete amount to the VM's own bucket, or nothing if there
// are too few tokens.
func (bs *Buckets) Take(now time.Time, key Key, a Amount) (Grant, bool) {
	b, ok := bs.byKey.Get(key)
	if !ok {
		return Grant{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, bs.lease.Load())
	if b.fillLevel < a {
		return Grant{}, false
	}
	b.fillLevel -= a
	bs.auditCharge(now, key, a)
	return Grant{Key: key, Charged: a, fromOwn: a}, true
}

// Level returns the fill level of the VM's bucket for a key.
func (bs *Buckets) Level(now time.Time, key Key) Amount {
	a, _ := bs.fillState(now, key)
	return a
}

// fillState returns the fill level, and for how long reservations keep the bucket
// from refilling.
func (bs *Buckets) fillState(now time.Time, key Key) (Amount, time.Duration) {
	b, ok := bs.byKey.Get(key)
	if !ok {
		return 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, bs.lease.Load())
	return b.fillLevel, b.blocked(now)
}

// Grant is an admission. It must be settled once.
type Grant struct {
	Key     Key
	Charged Amount
	// fromOwn came from the VM's own bucket, and the rest from other VMs.
	fromOwn  Amount
	borrowed []borrowedPart
}

// borrowedPart is the amount that one other VM lent.
type borrowedPart struct {
	vm     fleet.VMID
	id     AskID
	amount Amount
}

// Refund is a [Return] that must be sent to the lender To.
type Refund struct {
	To     fleet.VMID
	Return Return
}

// Settle refunds the tokens of a grant that were not used. Tokens from the VM's
// own bucket are credited immediately, up to the burst share; the caller must
// send the returned refunds to the lenders. A grant must be settled only once.
func (bs *Buckets) Settle(now time.Time, g Grant, used Amount) []Refund {
	return bs.settle(now, g, used, true)
}

func (bs *Buckets) settle(now time.Time, g Grant, used Amount, charged bool) []Refund {
	unused := g.Charged - min(max(0, used), g.Charged)
	if unused == 0 {
		return nil
	}
	// The VM's own bucket is credited first, as far as it has capacity. The
	// lenders get the rest, each at most what it lent.
	fromOwn := min(unused, g.fromOwn)
	unused -= bs.refund(now, g.Key, fromOwn, charged)
	var out []Refund
	for _, p := range g.borrowed {
		returned := min(unused, p.amount)
		if returned == 0 {
			break
		}
		unused -= returned
		out = append(out, Refund{To: p.vm, Return: Return{ID: p.id, Amount: returned, Charged: charged}})
	}
	return out
}

// refund puts tokens back into the VM's own bucket and returns the amount
// credited. charged is false for tokens that were never charged, because their
// request was not admitted.
func (bs *Buckets) refund(now time.Time, key Key, a Amount, charged bool) Amount {
	b, ok := bs.byKey.Get(key)
	if !ok || a == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, bs.lease.Load())
	credited := b.refund(a)
	b.checkInvariants()
	if charged {
		bs.auditCharge(now, key, -credited)
	}
	return credited
}
