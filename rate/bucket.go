package rate

import (
	"fmt"
	"sync"
	"time"
)

// reservation is an amount that has left a bucket and may still be admitted
// before the time until. Until then it reduces the capacity of the bucket;
// otherwise the bucket could refill, and a full burst could be admitted together
// with a delayed loan.
type reservation struct {
	ask    AskID
	until  time.Time
	amount Amount
}

// bucket is the token bucket of one key on one VM. All fields are guarded by mu,
// which callers of the methods must hold.
type bucket struct {
	mu         sync.Mutex
	share      Limit
	fillLevel  Amount
	refilledAt time.Time
	// leaseNumber is the number of the lease under which fillLevel accrued.
	leaseNumber uint64
	// reservations are sorted by until. reserved is the sum of their amounts.
	reservations []reservation
	reserved     Amount
}

// advance refills the bucket up to now and ends reservations that have expired.
// Without a valid lease the bucket is emptied, and it starts empty under a new
// lease, since the share may have been taken over after the old one expired.
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

// refill adds what has accrued since refilledAt. If that rounds down to zero,
// refilledAt is left unchanged, so that the time counts at the next refill.
func (b *bucket) refill(now time.Time) {
	accrued := b.share.Accrued(now.Sub(b.refilledAt))
	if accrued == 0 {
		return
	}
	b.refilledAt = now
	b.credit(accrued)
}

// credit adds tokens and discards what exceeds the burst share less the
// reservations.
func (b *bucket) credit(a Amount) {
	b.fillLevel += min(a, max(0, b.share.Burst-b.reserved-b.fillLevel))
}

// blocked returns for how long reservations leave no capacity to refill.
func (b *bucket) blocked(now time.Time) time.Duration {
	if len(b.reservations) == 0 || b.fillLevel < b.share.Burst-b.reserved {
		return 0
	}
	return b.reservations[0].until.Sub(now)
}

// setShare sets the VM's share as of now. A lowered burst takes effect
// immediately.
func (b *bucket) setShare(now time.Time, share Limit) {
	if b.share == share {
		return
	}
	b.share = share
	b.refilledAt = now
	b.fillLevel = min(b.fillLevel, max(0, share.Burst-b.reserved))
}

// take debits up to want and returns the amount taken.
func (b *bucket) take(want Amount) Amount {
	taken := min(b.fillLevel, max(0, want))
	b.fillLevel -= taken
	return taken
}

// takeReserved debits up to want, reserves that capacity until the given time,
// and returns the amount taken.
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

// release ends a reservation early. It reports false if the reservation had
// already expired.
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

// checkInvariants panics if the fill level or the reserved amount is negative, or
// if the fill level exceeds the burst share less the reserved amount. This
// happens if a refund or a loan is counted twice.
func (b *bucket) checkInvariants() {
	if b.fillLevel < 0 || b.reserved < 0 || b.fillLevel > max(0, b.share.Burst-b.reserved) {
		panic(fmt.Sprintf("invariant violated: fill level %d and reserved %d of a burst share of %d", b.fillLevel, b.reserved, b.share.Burst))
	}
}

// refund puts back unused tokens, up to the burst share, and returns the amount
// credited.
func (b *bucket) refund(a Amount) Amount {
	before := b.fillLevel
	b.credit(a)
	return b.fillLevel - before
}
