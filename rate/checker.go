package rate

import (
	"fmt"
	"sync"
	"time"
)

// Checker checks recorded admissions of one key against a limit: in every
// interval, charges less refunds must be at most burst + rate * length. It
// covers all intervals by tracking the one with the highest excess that ends
// now, so Record takes constant time for each limit that has been set. It is
// safe for concurrent use: mu guards all fields.
type Checker struct {
	mu         sync.Mutex
	advancedTo time.Time
	limit      Limit
	// spans has one entry for each limit that has been set.
	spans     []span
	maxExcess Amount
}

// span is the interval with the highest excess that began under one limit.
type span struct {
	// excess is the net charge in the interval less what accrued in it.
	excess Amount
	burst  Amount
}

// NewChecker returns a checker without recorded admissions.
func NewChecker(now time.Time, l Limit) *Checker {
	return &Checker{advancedTo: now, limit: l, spans: []span{{burst: l.Burst}}}
}

// Limit changes the limit. An interval that contains the change is allowed the
// larger burst, and at each time the rate that was active then.
func (c *Checker) Limit(now time.Time, l Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	c.limit = l
	for i := range c.spans {
		c.spans[i].burst = max(c.spans[i].burst, l.Burst)
	}
	c.spans = append(c.spans, span{burst: l.Burst})
}

// Record records a charge, or a refund as a negative amount. It returns an error
// if any interval that ends now exceeds the limit. Calls must be in order of
// time.
func (c *Checker) Record(now time.Time, a Amount) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	for i := range c.spans {
		s := &c.spans[i]
		s.excess = max(0, s.excess) + a
		if s.excess > s.burst {
			c.maxExcess = max(c.maxExcess, s.excess-s.burst)
			return fmt.Errorf("an interval admits %d millionths of a token above its rate, but the burst is %d", s.excess, s.burst)
		}
	}
	return nil
}

// MaxExcess returns the most by which any interval has exceeded the limit.
func (c *Checker) MaxExcess() Amount {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxExcess
}

// advance deducts what accrued up to now, rounded up so that rounding causes no
// false error.
func (c *Checker) advance(now time.Time) {
	d := now.Sub(c.advancedTo)
	if d <= 0 {
		return
	}
	c.advancedTo = now
	for i := range c.spans {
		c.spans[i].excess -= c.limit.Accrued(d) + 1
	}
}

// CheckShares returns an error if shares that are active at the same time add up
// to more than the limit.
func CheckShares(limit Limit, shares []Limit) error {
	var sum Limit
	for _, s := range shares {
		sum.Rate += s.Rate
		sum.Burst += s.Burst
	}
	if sum.Rate > limit.Rate || sum.Burst > limit.Burst {
		return fmt.Errorf("shares add up to %d a second with a burst of %d, above the limit of %d and %d", sum.Rate, sum.Burst, limit.Rate, limit.Burst)
	}
	return nil
}

// ActiveShare returns the VM's active share of a key, which is zero without a
// lease.
func (bs *Buckets) ActiveShare(now time.Time, key Key) Limit {
	b, ok := bs.byKey.Get(key)
	if !ok || !bs.HasLease(now) {
		return Limit{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share
}
