package rate

import "time"

// Durations of leases and loans. A VM that takes over a share first waits for the
// longest lease that may still be valid plus LoanLifetime, within which lent
// tokens may still be admitted. It adds a tenth of this for clocks that run at
// different speeds.
const (
	// ShortLease is how long a lease lasts after the VM has read the log to its
	// head, or after another share holder of its data centre has confirmed it.
	ShortLease = 30 * time.Second
	// LongLease bounds how long confirmations by other VMs can extend a lease
	// after the VM last read the log itself. A data centre that is cut off from
	// the log for longer stops refilling its buckets.
	LongLease = 30 * time.Minute
	// LoanLifetime is how long after the borrow request borrowed tokens may be
	// admitted.
	LoanLifetime = 300 * time.Millisecond

	clockMarginDivisor = 10
)

// expiryWait returns how long to wait until a lease of length d that began
// before now on another VM, and all loans made under it, have expired.
func expiryWait(d time.Duration) time.Duration {
	d += LoanLifetime
	return d + d/clockMarginDivisor
}

// passed reports whether t is not after now, by the monotonic or the wall clock.
// The wall clock covers a suspension of the VM, during which its monotonic clock
// stands still.
func passed(t, now time.Time) bool {
	return !now.Before(t) || !now.Round(0).Before(t.Round(0))
}

// lease is the right to refill buckets and to admit requests from them. Renewal
// before expiry keeps the number.
type lease struct {
	number uint64
	// since is when the first lease with the number started.
	since time.Time
	until time.Time
}

func (l *lease) valid(now time.Time) bool {
	return l != nil && !passed(l.until, now)
}
