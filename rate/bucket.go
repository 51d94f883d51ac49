package rate

import (
	"fmt"
	"sync"
	"time"
)

// hold is an amount that has left a bucket and may still be admitted until a
// time. It takes room in the bucket until then: otherwise the bucket could fill
// up again and burst at the same moment as a late loan.
type reservation struct {
	ask    AskID
	until  time.Time
	amount Amount
}

// bucket holds the tokens of one key on one VM.
type bucket struct {
	mu         sync.Mutex
	share      Limit
	fillLevel  Amount
	refilledAt time.Time
	// lease is the number of the lease under which the level was minted.
	leaseNumber uint64
	// holds are in the order of their ends.
	reservations []reservation
	reserved     Amount
}

// touch brings the bucket up to now. Under no lease, or a new one, it is empty:
// what was minted under a lease that has lapsed may have been taken over.
func (b *bucket) advance(now time.Time, l *lease) {
	if !l.valid(now) {
		b.fillLevel = 0
		b.refilledAt = now
		return
	}
	if b.leaseNumber != l.number {
		b.leaseNumber = l.number
		b.fillLevel = 0
		b.refilledAt = l.since
	}
	for len(b.reservations) > 0 && !now.Before(b.reservations[0].until) {
		b.refill(b.reservations[0].until)
		b.reserved -= b.reservations[0].amount
		b.reservations = b.reservations[1:]
	}
	b.refill(now)
}

// fill mints up to now. Time that is too short to mint anything is kept.
func (b *bucket) refill(now time.Time) {
	accrued := b.share.Minted(now.Sub(b.refilledAt))
	if accrued == 0 {
		return
	}
	b.refilledAt = now
	b.credit(accrued)
}

// add puts tokens in and drops those above the burst share.
func (b *bucket) credit(a Amount) {
	b.fillLevel += min(a, max(0, b.share.Burst-b.reserved-b.fillLevel))
}

// blocked returns for how long loans leave no room to mint.
func (b *bucket) blocked(now time.Time) time.Duration {
	if len(b.reservations) == 0 || b.fillLevel < b.share.Burst-b.reserved {
		return 0
	}
	return b.reservations[0].until.Sub(now)
}

// change sets the share of the VM from now on. A lowered burst takes effect at
// once.
func (b *bucket) setShare(now time.Time, share Limit) {
	if b.share == share {
		return
	}
	b.share = share
	b.refilledAt = now
	b.fillLevel = min(b.fillLevel, max(0, share.Burst-b.reserved))
}

// take debits up to want.
func (b *bucket) take(want Amount) Amount {
	taken := min(b.fillLevel, max(0, want))
	b.fillLevel -= taken
	return taken
}

// takeHeld debits up to want and keeps room for it until a time.
func (b *bucket) takeReserved(want Amount, ask AskID, until time.Time) Amount {
	taken := b.take(want)
	if taken == 0 {
		return 0
	}
	i := len(b.reservations)
	for i > 0 && b.reservations[i-1].until.After(until) {
		i--
	}
	b.reservations = append(b.reservations, reservation{})
	copy(b.reservations[i+1:], b.reservations[i:])
	b.reservations[i] = reservation{ask: ask, until: until, amount: taken}
	b.reserved += taken
	return taken
}

// drop ends a hold early and reports whether it still stood.
func (b *bucket) release(ask AskID) bool {
	for i, r := range b.reservations {
		if r.ask == ask {
			b.reserved -= r.amount
			b.reservations = append(b.reservations[:i], b.reservations[i+1:]...)
			return true
		}
	}
	return false
}

// check panics if the level passes the burst share: then a refund or a loan
// was counted twice.
func (b *bucket) checkInvariants() {
	if b.fillLevel < 0 || b.reserved < 0 || b.fillLevel > max(0, b.share.Burst-b.reserved) {
		panic(fmt.Sprintf("bucket holds %d and has lent %d of a burst share of %d", b.fillLevel, b.reserved, b.share.Burst))
	}
}

// refund returns tokens that were not used, up to the burst share, and reports
// how many were credited.
func (b *bucket) refund(a Amount) Amount {
	before := b.fillLevel
	b.credit(a)
	return b.fillLevel - before
}
