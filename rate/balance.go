package rate

import (
	"context"
	"time"
)

// balanceFraction is the difference of levels, as a part of the burst share, from
// which on tokens are moved.
const balanceFraction = 16

// BalanceWant returns how much a VM should fetch from the fullest lender, 0 if
// their levels are close. A VM whose bucket is full mints nothing, so one that
// has spent its tokens alone would recover at its own small rate only.
func (m *Buckets) BalanceAmount(now time.Time, key Key, fullest Lender) Amount {
	own := m.ActiveShare(now, key)
	if own.Burst == 0 || fullest.Own.Burst == 0 {
		return 0
	}
	// With the same fill everywhere, a VM holds its part of what both have.
	level := m.Level(now, key)
	both := float64(level+fullest.Level) / float64(own.Burst+fullest.Own.Burst)
	want := Amount(both*float64(own.Burst)) - level
	if want < own.Burst/balanceFraction {
		return 0
	}
	return want
}

// Balance fetches tokens of each key from the fullest VM, if that has more.
func (l *Limiter) Balance(ctx context.Context) {
	for _, key := range l.minter.buckets.Keys() {
		l.balance(ctx, key)
	}
}

func (l *Limiter) balance(ctx context.Context, key Key) {
	own := l.minter.ActiveShare(time.Now(), key)
	if l.minter.Level(time.Now(), key) > own.Burst-own.Burst/balanceFraction {
		return
	}
	lenders := l.peers.Lenders(key)
	l.book.Estimate(time.Now(), key, lenders)
	if len(lenders) == 0 {
		return
	}
	want := l.minter.BalanceAmount(time.Now(), key, lenders[0])
	if want == 0 {
		return
	}
	g := l.minter.StartAcquisition(time.Now(), l.askID(), key, want)
	answer, err := l.ask(ctx, g, lenders[0].VM)
	if err == nil {
		l.book.ReceiveAnswer(time.Now(), lenders[0].VM, key, answer)
	}
	l.giveBack(g.Deposit(time.Now()))
}
