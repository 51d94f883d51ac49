package rate

import (
	"context"
	"time"
)

// balanceDivisor sets the smallest amount that is moved: the burst share divided
// by balanceDivisor.
const balanceDivisor = 16

// BalanceAmount returns how much the VM should borrow from the fullest lender,
// or 0 if their fill levels are close. Balancing is needed because a full bucket
// discards its refill: a VM that alone has spent its tokens would otherwise
// recover only at the rate of its own small share.
func (bs *Buckets) BalanceAmount(now time.Time, key Key, fullest Lender) Amount {
	share := bs.ActiveShare(now, key)
	if share.Burst == 0 || fullest.Own.Burst == 0 {
		return 0
	}
	// When balanced, both buckets are filled to the same fraction of their burst
	// shares.
	fillLevel := bs.Level(now, key)
	combinedFill := float64(fillLevel+fullest.Level) / float64(share.Burst+fullest.Own.Burst)
	want := Amount(combinedFill*float64(share.Burst)) - fillLevel
	if want < share.Burst/balanceDivisor {
		return 0
	}
	return want
}

// Balance borrows tokens of each key from the VM with the highest fill level, if
// that level is sufficiently higher.
func (l *Limiter) Balance(ctx context.Context) {
	for _, key := range l.buckets.byKey.Keys() {
		l.balance(ctx, key)
	}
}

func (l *Limiter) balance(ctx context.Context, key Key) {
	share := l.buckets.ActiveShare(time.Now(), key)
	if l.buckets.Level(time.Now(), key) > share.Burst-share.Burst/balanceDivisor {
		return
	}
	lenders := l.peers.Lenders(key)
	l.peerLevels.Estimate(time.Now(), key, lenders)
	if len(lenders) == 0 {
		return
	}
	want := l.buckets.BalanceAmount(time.Now(), key, lenders[0])
	if want == 0 {
		return
	}
	g := l.buckets.StartAcquisition(time.Now(), l.newAskID(), key, want)
	answer, err := l.borrow(ctx, g, lenders[0].VM)
	if err == nil {
		l.peerLevels.ReceiveAnswer(time.Now(), lenders[0].VM, key, answer)
	}
	l.sendReturns(g.Deposit(time.Now()))
}
