package serving

import (
	"sync"
	"time"
)

// Budget bounds repeated sends over the fleet: each VM repeats at most a share
// of its own requests, and its part of the slack.
type Budget struct {
	mu       sync.Mutex
	ratio    float64
	slack    float64
	window   time.Duration
	vmCount  func() int
	requests []time.Time
	retries  []time.Time
}

// Parts of the permitted budget that are used: the judged windows are summed
// over VMs that count apart, and a request may be counted a window later.
const (
	ratioFraction = 0.7
	slackFraction = 0.5
)

// minVMs is among how many VMs the slack is divided at least: a VM that has just
// started does not know the others yet.
const minVMCount = 8

// NewBudget returns a budget of ratio repeats for each request within a window,
// and slack more over the number of VMs that vms returns.
func NewBudget(ratio, slack float64, window time.Duration, vms func() int) *Budget {
	return &Budget{ratio: ratio * ratioFraction, slack: slack * slackFraction, window: window, vmCount: vms}
}

// Request counts a request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.recent(b.requests), time.Now())
}

// Allows reports whether a request may be sent once more.
func (b *Budget) Allows() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows()
}

func (b *Budget) allows() bool {
	b.requests, b.retries = b.recent(b.requests), b.recent(b.retries)
	return float64(len(b.retries)) < b.ratio*float64(len(b.requests))+b.slack/float64(max(b.vmCount(), minVMCount))
}

// Repeat reports whether a request may be sent once more, and counts it.
func (b *Budget) Repeat() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows() {
		return false
	}
	b.retries = append(b.retries, time.Now())
	return true
}

// recent drops the times before the window.
func (b *Budget) recent(times []time.Time) []time.Time {
	start := time.Now().Add(-b.window)
	n := 0
	for n < len(times) && times[n].Before(start) {
		n++
	}
	return times[n:]
}
