package rate

import (
	"fmt"
	"sync"
	"time"
)

// Checker holds recorded admissions of one key against a limit: for every
// interval, what was charged in it less what was refunded in it is at most
// burst + rate * length. It looks at all intervals by keeping the worst one that
// ends now, so a record costs constant time.
type Checker struct {
	mu    sync.Mutex
	at    time.Time
	limit Limit
	// spans are the intervals that began under each limit.
	spans []span
	worst Amount
}

// span is the worst interval that began under one limit.
type span struct {
	// excess is the charge of that interval above what the rate yielded in it.
	excess Amount
	burst  Amount
}

// NewChecker returns a checker without admissions.
func NewChecker(now time.Time, l Limit) *Checker {
	return &Checker{at: now, limit: l, spans: []span{{burst: l.Burst}}}
}

// Limit changes the limit. Intervals that contain the change may have the
// larger burst, and of each time the rate that was in force.
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

// Record takes a charge, or a refund as a negative amount, and returns an error
// if any interval that ends now passes the limit. Calls must be in the order of
// their times.
func (c *Checker) Record(now time.Time, a Amount) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	for i := range c.spans {
		s := &c.spans[i]
		s.excess = max(0, s.excess) + a
		if s.excess > s.burst {
			c.worst = max(c.worst, s.excess-s.burst)
			return fmt.Errorf("an interval admits %d millionths of a token above its rate, but the burst is %d", s.excess, s.burst)
		}
	}
	return nil
}

// Excess returns by how much the worst interval passed the limit.
func (c *Checker) MaxExcess() Amount {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.worst
}

// advance lets the rate yield up to now, rounded up in favour of the admitted.
func (c *Checker) advance(now time.Time) {
	d := now.Sub(c.at)
	if d <= 0 {
		return
	}
	c.at = now
	for i := range c.spans {
		c.spans[i].excess -= c.limit.Accrued(d) + 1
	}
}

// CheckShares reports whether shares that are minted at one time add up to more
// than the limit.
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

// Minting returns the share of a key that the VM mints now.
func (m *Buckets) ActiveShare(now time.Time, key Key) Limit {
	b, ok := m.buckets.Get(key)
	if !ok || !m.HasLease(now) {
		return Limit{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own
}
