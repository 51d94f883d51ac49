package rate

import "time"

// Times of leases and loans. A VM that takes a share over waits longer than any
// lease by clockMargin, which covers clocks that run at different speeds, and by
// the life of a loan, within which debited tokens may still be admitted.
const (
	// ShortLease is how long a VM may mint after it read the log to its head, or
	// after another minting VM of its data centre vouched for it.
	ShortLease = 30 * time.Second
	// LongLease is how long a VM may mint without having read the log itself.
	// A data centre that is cut off for longer stops minting.
	LongLease = 30 * time.Minute
	// LoanLife is how long borrowed tokens may be admitted after the ask.
	LoanLifetime = 300 * time.Millisecond

	marginFraction = 10
)

// waitOut returns how long to wait until a lease of length d that began before
// now, and loans given under it, have certainly ended on another VM.
func waitOut(d time.Duration) time.Duration {
	d += LoanLifetime
	return d + d/marginFraction
}

// passed reports whether t is behind now by either clock. The wall clock notices
// a pause during which the monotonic clock of a suspended VM stood still.
func passed(t, now time.Time) bool {
	return !now.Before(t) || !now.Round(0).Before(t.Round(0))
}

// lease is a right to mint. A lease that was renewed in time keeps its number.
type lease struct {
	number uint64
	since  time.Time
	until  time.Time
}

func (l *lease) valid(now time.Time) bool {
	return l != nil && !passed(l.until, now)
}
