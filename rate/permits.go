package rate

import (
	"context"
	"time"
)

// Permits limits work in flight over the whole fleet, by a key whose rate is 0:
// a permit that was taken becomes available again only when the work is done. A
// permit is collected from several shares like the tokens of a request.
//
// Permits are lost, but never duplicated, when a VM restarts, a lease expires, a
// share is taken over, or the process that took them fails. Restore restores
// them, once the caller knows that the work that they were taken for has ended.
type Permits struct {
	limiter *Limiter
	key     Key
}

// NewPermits returns the permits of a key, taken through the limiter.
func NewPermits(l *Limiter, key Key) *Permits {
	return &Permits{limiter: l, key: key}
}

// Take takes one permit. It fails with rate_limited if none is available, and
// with too_large if the burst of the key's limit is below one permit. The
// permit must be returned by Release once the work is known to have ended.
func (p *Permits) Take(ctx context.Context) (Grant, error) {
	return p.limiter.take(ctx, p.key, One)
}

// Release returns a permit.
func (p *Permits) Release(g Grant) {
	p.limiter.sendReturns(p.limiter.buckets.Settle(time.Now(), g, 0))
}

// Restore puts the amount a of lost permits back into this VM's bucket, up to its
// burst share. The caller must know that their work has ended: the work still in
// flight under this share, on any VM, must be at most the part of the share that
// is not available after the call.
func (p *Permits) Restore(a Amount) {
	p.limiter.buckets.refund(time.Now(), p.key, a, false)
}
