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
type Buckets struct {
	vm      fleet.VMID
	buckets *shard.Map[Key, *bucket]
	lease   atomic.Pointer[lease]
	loans   *loans
	audit   Audit
	// loaned is when tokens last left a bucket without being admitted.
	loaned atomic.Pointer[time.Time]
}

// Audit is told of every charge, and of every refund that was credited as a
// negative amount.
type Audit interface {
	RecordCharge(now time.Time, key Key, a Amount)
}

// NewMinter returns the minter of a VM. The audit may be nil.
func NewBuckets(vm fleet.VMID, audit Audit) *Buckets {
	return &Buckets{vm: vm, buckets: shard.New[Key, *bucket](), loans: newLoans(), audit: audit}
}

func (m *Buckets) charged(now time.Time, key Key, a Amount) {
	if m.audit != nil && a != 0 {
		m.audit.RecordCharge(now, key, a)
	}
}

// SetTerms sets the VM's own share of a key, which is zero where it does not
// mint. A new key starts full if unspent is set, and empty otherwise. Only one
// goroutine may set terms.
func (m *Buckets) SetShare(now time.Time, key Key, own Limit, unspent bool) {
	b, ok := m.buckets.Get(key)
	if !ok {
		b = &bucket{at: now}
	}
	b.mu.Lock()
	b.touch(now, m.lease.Load())
	b.change(now, own)
	if !ok && unspent && m.HasLease(now) {
		b.level = own.Burst
	}
	b.check()
	b.mu.Unlock()
	if !ok {
		m.buckets.Put(key, b)
	}
}

// Renew sets the end of the lease, which may also come closer. If the lease has
// lapsed, a new one begins, under which all buckets are empty. Only one
// goroutine may renew.
func (m *Buckets) RenewLease(now, until time.Time) {
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
func (m *Buckets) lastLoan(now time.Time) time.Time {
	last := m.loaned.Load()
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
func (m *Buckets) Stop(now time.Time) {
	old := m.lease.Load()
	if old == nil {
		return
	}
	m.lease.Store(&lease{number: old.number, since: old.since, until: now})
	for _, key := range m.buckets.Keys() {
		if b, ok := m.buckets.Get(key); ok {
			b.mu.Lock()
			b.touch(now, m.lease.Load())
			b.mu.Unlock()
		}
	}
}

// Leased reports whether the VM may mint.
func (m *Buckets) HasLease(now time.Time) bool {
	return m.lease.Load().valid(now)
}

// Take charges the whole amount to the VM's own tokens, or nothing.
func (m *Buckets) Take(now time.Time, key Key, a Amount) (Grant, bool) {
	b, ok := m.buckets.Get(key)
	if !ok {
		return Grant{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touch(now, m.lease.Load())
	if b.level < a {
		return Grant{}, false
	}
	b.level -= a
	m.charged(now, key, a)
	return Grant{Key: key, Charged: a, own: a}, true
}

// Level returns the VM's own tokens of a key.
func (m *Buckets) Level(now time.Time, key Key) Amount {
	a, _ := m.level(now, key)
	return a
}

// level also returns for how long the VM mints nothing.
func (m *Buckets) level(now time.Time, key Key) (Amount, time.Duration) {
	b, ok := m.buckets.Get(key)
	if !ok {
		return 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touch(now, m.lease.Load())
	return b.level, b.blocked(now)
}

// Grant is an admission that has to be settled.
type Grant struct {
	Key     Key
	Charged Amount
	// own is the part that came from the VM's own bucket; the rest is in parts.
	own   Amount
	parts []part
}

// part is what one other VM lent.
type part struct {
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
func (m *Buckets) Settle(now time.Time, g Grant, used Amount) []Refund {
	return m.settle(now, g, used, true)
}

func (m *Buckets) settle(now time.Time, g Grant, used Amount, charged bool) []Refund {
	left := g.Charged - min(max(0, used), g.Charged)
	if left == 0 {
		return nil
	}
	// The own part goes back as far as there is room for it; of the rest, the
	// lenders get what they lent.
	own := min(left, g.own)
	left -= m.refund(now, g.Key, own, charged)
	var out []Refund
	for _, p := range g.parts {
		back := min(left, p.amount)
		if back == 0 {
			break
		}
		left -= back
		out = append(out, Refund{To: p.vm, Return: Return{ID: p.id, Amount: back, Charged: charged}})
	}
	return out
}

// refund puts the own part of a grant back. What belongs to a request that was
// not admitted was never charged.
func (m *Buckets) refund(now time.Time, key Key, a Amount, charged bool) Amount {
	b, ok := m.buckets.Get(key)
	if !ok || a == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touch(now, m.lease.Load())
	credited := b.refund(a)
	b.check()
	if charged {
		m.charged(now, key, -credited)
	}
	return credited
}
