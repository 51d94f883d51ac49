package serving

import (
	"sync"
	"time"
)

// RetryBudget is the retry budget of one VM. Together the budgets of all VMs bound the retries
// of the fleet: each VM retries at most a fraction of its own requests, plus its share of the
// slack. It is safe for concurrent use; mu guards requests and retries, which hold the times within
// the window, oldest first.
type RetryBudget struct {
	mu       sync.Mutex
	ratio    float64
	slack    float64
	window   time.Duration
	vmCount  func() int
	requests []time.Time
	retries  []time.Time
}

// Fractions of the permitted budget that are used. The limit applies to windows that are summed
// over VMs that count separately, and a request may be counted one window late.
const (
	ratioFraction = 0.7
	slackFraction = 0.5
)

// minVMCount is the least number of VMs that the slack is divided by: a VM that has just
// started does not know the others yet.
const minVMCount = 8

// NewRetryBudget returns a budget that stays below the permitted one: ratio retries for each request
// within a window, plus slack retries divided by the number of VMs. It uses ratioFraction of the
// ratio and slackFraction of the slack. vms returns the number of VMs, which counts as minVMCount at
// least; it is called with the lock of the budget held.
func NewRetryBudget(ratio, slack float64, window time.Duration, vms func() int) *RetryBudget {
	return &RetryBudget{ratio: ratio * ratioFraction, slack: slack * slackFraction, window: window, vmCount: vms}
}

// CountRequest counts a request.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.recent(b.requests), time.Now())
}

// AllowsRetry reports whether a request may be retried now, without counting a retry.
func (b *RetryBudget) AllowsRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows()
}

// allows is AllowsRetry for a caller that holds mu.
func (b *RetryBudget) allows() bool {
	b.requests, b.retries = b.recent(b.requests), b.recent(b.retries)
	return float64(len(b.retries)) < b.ratio*float64(len(b.requests))+b.slack/float64(max(b.vmCount(), minVMCount))
}

// TakeRetry reports whether a request may be retried now, and if so counts the retry.
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows() {
		return false
	}
	b.retries = append(b.retries, time.Now())
	return true
}

// recent returns the times that lie within the window. The caller holds mu.
func (b *RetryBudget) recent(times []time.Time) []time.Time {
	start := time.Now().Add(-b.window)
	n := 0
	for n < len(times) && times[n].Before(start) {
		n++
	}
	return times[n:]
}
