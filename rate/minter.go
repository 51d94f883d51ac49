package rate

import (
	"sync/atomic"
	"time"

	"toucanfall/fleet"
	"toucanfall/internal/shard"
)

// Minter holds the tokens of one VM. It decides and does no input or output;
// all methods may be called at once. A new minter has no lease and empty
// buckets, so that a restarted process brings no burst.
type Minter struct {
	vm    fleet.VMID
	byKey *shard.Map[Key, *bucket]
	lease atomic.Pointer[lease]
	loans *loans
	audit Audit
	// loaned is when tokens last left a bucket without being admitted.
	lastLoanAt atomic.Pointer[time.Time]
}

// Audit is told of every charge, and of every refund that was credited as a
// negative amount.
type Audit interface {
	Charged(now time.Time, key Key, a Amount)
}

// NewMinter returns the minter of a VM. The audit may be nil.
func NewMinter(vm fleet.VMID, audit Audit) *Minter {
	return &Minter{vm: vm, byKey: shard.New[Key, *bucket](), loans: newLoans(), audit: audit}
}

func (m *Minter) auditCharge(now time.Time, key Key, a Amount) {
	if m.audit != nil && a != 0 {
		m.audit.Charged(now, key, a)
	}
}

// SetTerms sets the VM's own share of a key, which is zero where it does not
// mint. A new key starts full if unspent is set, and empty otherwise. Only one
// goroutine may set terms.
func (m *Minter) SetTerms(now time.Time, key Key, share Limit, unspent bool) {
	b, ok := m.byKey.Get(key)
	if !ok {
		b = &bucket{refilledAt: now}
	}
	b.mu.Lock()
	b.advance(now, m.lease.Load())
	b.setShare(now, share)
	if !ok && unspent && m.Leased(now) {
		b.fillLevel = share.Burst
	}
	b.checkInvariants()
	b.mu.Unlock()
	if !ok {
		m.byKey.Put(key, b)
	}
}

// Renew sets the end of the lease, which may also come closer. If the lease has
// lapsed, a new one begins, under which all buckets are empty. Only one
// goroutine may renew.
func (m *Minter) Renew(now, until time.Time) {
	next := &lease{since: now, until: until}
	old := m.lease.Load()
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
	m.lease.Store(next)
}

// lastLoan returns the time of the last loan, zero if there was none. A loan that
// another goroutine gives at this moment counts as given now.
func (m *Minter) lastLoan(now time.Time) time.Time {
	last := m.lastLoanAt.Load()
	switch {
	case last == nil:
		return time.Time{}
	case last.After(now):
		return now
	default:
		return *last
	}
}

// Stop ends the lease and empties all buckets.
func (m *Minter) Stop(now time.Time) {
	old := m.lease.Load()
	if old == nil {
		return
	}
	m.lease.Store(&lease{number: old.number, since: old.since, until: now})
	for _, key := range m.byKey.Keys() {
		if b, ok := m.byKey.Get(key); ok {
			b.mu.Lock()
			b.advance(now, m.lease.Load())
			b.mu.Unlock()
		}
	}
}

// Leased reports whether the VM may mint.
func (m *Minter) Leased(now time.Time) bool {
	return m.lease.Load().valid(now)
}

// Take charges the whole amount to the VM's own tokens, or nothing.
func (m *Minter) Take(now time.Time, key Key, a Amount) (Grant, bool) {
	b, ok := m.byKey.Get(key)
	if !ok {
		return Grant{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, m.lease.Load())
	if b.fillLevel < a {
		return Grant{}, false
	}
	b.fillLevel -= a
	m.auditCharge(now, key, a)
	return Grant{Key: key, Charged: a, fromOwn: a}, true
}

// Level returns the VM's own tokens of a key.
func (m *Minter) Level(now time.Time, key Key) Amount {
	a, _ := m.fillState(now, key)
	return a
}

// level also returns for how long the VM mints nothing.
func (m *Minter) fillState(now time.Time, key Key) (Amount, time.Duration) {
	b, ok := m.byKey.Get(key)
	if !ok {
		return 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, m.lease.Load())
	return b.fillLevel, b.blocked(now)
}

// Grant is an admission that has to be settled.
type Grant struct {
	Key     Key
	Charged Amount
	// own is the part that came from the VM's own bucket; the rest is in parts.
	fromOwn  Amount
	borrowed []borrowedPart
}

// part is what one other VM lent.
type borrowedPart struct {
	vm     fleet.VMID
	id     AskID
	amount Amount
}

// Refund is a return to the VM that lent.
type Refund struct {
	To     fleet.VMID
	Return Return
}

// Settle refunds what a grant did not use. The own part goes back at once, up to
// the burst share; the rest goes to the lenders. A grant must be settled once.
func (m *Minter) Settle(now time.Time, g Grant, used Amount) []Refund {
	return m.settle(now, g, used, true)
}

func (m *Minter) settle(now time.Time, g Grant, used Amount, charged bool) []Refund {
	unused := g.Charged - min(max(0, used), g.Charged)
	if unused == 0 {
		return nil
	}
	// The own part goes back as far as there is room for it; of the rest, the
	// lenders get what they lent.
	fromOwn := min(unused, g.fromOwn)
	unused -= m.refund(now, g.Key, fromOwn, charged)
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

// refund puts the own part of a grant back. What belongs to a request that was
// not admitted was never charged.
func (m *Minter) refund(now time.Time, key Key, a Amount, charged bool) Amount {
	b, ok := m.byKey.Get(key)
	if !ok || a == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, m.lease.Load())
	credited := b.refund(a)
	b.checkInvariants()
	if charged {
		m.auditCharge(now, key, -credited)
	}
	return credited
}
