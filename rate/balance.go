package rate

import (
	"context"
	"time"
)

// balanceFraction is the difference of levels, as a part of the burst share, from
// which on tokens are moved.
const balanceDivisor = 16

// BalanceWant returns how much a VM should fetch from the fullest lender, 0 if
// their levels are close. A VM whose bucket is full mints nothing, so one that
// has spent its tokens alone would recover at its own small rate only.
func (m *Minter) BalanceWant(now time.Time, key Key, fullest Lender) Amount {
	share := m.Minting(now, key)
	if share.Burst == 0 || fullest.Own.Burst == 0 {
		return 0
	}
	// With the same fill everywhere, a VM holds its part of what both have.
	fillLevel := m.Level(now, key)
	combinedFill := float64(fillLevel+fullest.Level) / float64(share.Burst+fullest.Own.Burst)
	want := Amount(combinedFill*float64(share.Burst)) - fillLevel
	if want < share.Burst/balanceDivisor {
		return 0
	}
	return want
}

// Balance fetches tokens of each key from the fullest VM, if that has more.
func (l *Limiter) Balance(ctx context.Context) {
	for _, key := range l.buckets.byKey.Keys() {
		l.balance(ctx, key)
	}
}

func (l *Limiter) balance(ctx context.Context, key Key) {
	share := l.buckets.Minting(time.Now(), key)
	if l.buckets.Level(time.Now(), key) > share.Burst-share.Burst/balanceDivisor {
		return
	}
	lenders := l.peers.Lenders(key)
	l.peerLevels.Estimate(time.Now(), key, lenders)
	if len(lenders) == 0 {
		return
	}
	want := l.buckets.BalanceWant(time.Now(), key, lenders[0])
	if want == 0 {
		return
	}
	g := l.buckets.Gather(time.Now(), l.newAskID(), key, want)
	answer, err := l.borrow(ctx, g, lenders[0].VM)
	if err == nil {
		l.peerLevels.Saw(time.Now(), lenders[0].VM, key, answer)
	}
	l.sendReturns(g.Keep(time.Now()))
}
