package rate

import (
	"context"
	"time"
)

// Permits bounds work in flight over the whole fleet by a key whose rate is 0:
// what is taken comes back only when the work is over. A permit is gathered from
// shares like the tokens of a request.
//
// Shares of permits are lost, never doubled, when a VM restarts, a lease lapses,
// a share is taken over, or a holder dies. They come back by Recover, once the
// caller knows that the work that they stood for is over.
type Permits struct {
	l   *Limiter
	key Key
}

// NewPermits returns the permits of a key.
func NewPermits(l *Limiter, key Key) *Permits {
	return &Permits{l: l, key: key}
}

// Take takes one permit, or refuses with rate_limited. It must be given back by
// Done when the work is known to be over.
func (p *Permits) Take(ctx context.Context) (Grant, error) {
	return p.l.take(ctx, p.key, One)
}

// Done gives a permit back.
func (p *Permits) Release(g Grant) {
	p.l.giveBack(p.l.minter.Settle(time.Now(), g, 0))
}

// Recover puts permits back into this VM's share, never above it. The caller
// must know that the work of the lost permits is over: that no more than what
// is left of the share is in flight under it, on any VM.
func (p *Permits) Restore(a Amount) {
	p.l.minter.refund(time.Now(), p.key, a, false)
}
