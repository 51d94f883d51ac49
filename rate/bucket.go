package rate

import (
	"fmt"
	"sync"
	"time"
)

// hold is an amount that has left a bucket and may still be admitted until a
// time. It takes room in the bucket until then: otherwise the bucket could fill
// up again and burst at the same moment as a late loan.
type hold struct {
	ask    AskID
	until  time.Time
	amount Amount
}

// bucket holds the tokens of one key on one VM.
type bucket struct {
	mu    sync.Mutex
	own   Limit
	level Amount
	at    time.Time
	// lease is the number of the lease under which the level was minted.
	lease uint64
	// holds are in the order of their ends.
	holds []hold
	held  Amount
}

// touch brings the bucket up to now. Under no lease, or a new one, it is empty:
// what was minted under a lease that has lapsed may have been taken over.
func (b *bucket) touch(now time.Time, l *lease) {
	if !l.valid(now) {
		b.level = 0
		b.at = now
		return
	}
	if b.lease != l.number {
		b.lease = l.number
		b.level = 0
		b.at = l.since
	}
	for len(b.holds) > 0 && !now.Before(b.holds[0].until) {
		b.fill(b.holds[0].until)
		b.held -= b.holds[0].amount
		b.holds = b.holds[1:]
	}
	b.fill(now)
}

// fill mints up to now. Time that is too short to mint anything is kept.
func (b *bucket) fill(now time.Time) {
	minted := b.own.Accrued(now.Sub(b.at))
	if minted == 0 {
		return
	}
	b.at = now
	b.add(minted)
}

// add puts tokens in and drops those above the burst share.
func (b *bucket) add(a Amount) {
	b.level += min(a, max(0, b.own.Burst-b.held-b.level))
}

// blocked returns for how long loans leave no room to mint.
func (b *bucket) blocked(now time.Time) time.Duration {
	if len(b.holds) == 0 || b.level < b.own.Burst-b.held {
		return 0
	}
	return b.holds[0].until.Sub(now)
}

// change sets the share of the VM from now on. A lowered burst takes effect at
// once.
func (b *bucket) change(now time.Time, own Limit) {
	if b.own == own {
		return
	}
	b.own = own
	b.at = now
	b.level = min(b.level, max(0, own.Burst-b.held))
}

// take debits up to want.
func (b *bucket) take(want Amount) Amount {
	got := min(b.level, max(0, want))
	b.level -= got
	return got
}

// takeHeld debits up to want and keeps room for it until a time.
func (b *bucket) takeHeld(want Amount, ask AskID, until time.Time) Amount {
	got := b.take(want)
	if got == 0 {
		return 0
	}
	i := len(b.holds)
	for i > 0 && b.holds[i-1].until.After(until) {
		i--
	}
	b.holds = append(b.holds, hold{})
	copy(b.holds[i+1:], b.holds[i:])
	b.holds[i] = hold{ask: ask, until: until, amount: got}
	b.held += got
	return got
}

// drop ends a hold early and reports whether it still stood.
func (b *bucket) drop(ask AskID) bool {
	for i, h := range b.holds {
		if h.ask == ask {
			b.held -= h.amount
			b.holds = append(b.holds[:i], b.holds[i+1:]...)
			return true
		}
	}
	return false
}

// check panics if the level passes the burst share: then a refund or a loan
// was counted twice.
func (b *bucket) check() {
	if b.level < 0 || b.held < 0 || b.level > max(0, b.own.Burst-b.held) {
		panic(fmt.Sprintf("bucket holds %d and has lent %d of a burst share of %d", b.level, b.held, b.own.Burst))
	}
}

// refund returns tokens that were not used, up to the burst share, and reports
// how many were credited.
func (b *bucket) refund(a Amount) Amount {
	before := b.level
	b.add(a)
	return b.level - before
}
