package serving

import (
	"sync"
	"time"
)

// Budget bounds repeated sends over the fleet: each VM repeats at most a share
// of its own requests, and its part of the slack.
type RetryBudget struct {
	mu       sync.Mutex
	ratio    float64
	slack    float64
	window   time.Duration
	vms      func() int
	requests []time.Time
	repeats  []time.Time
}

// Parts of the permitted budget that are used: the judged windows are summed
// over VMs that count apart, and a request may be counted a window later.
const (
	ratioUsed = 0.7
	slackUsed = 0.5
)

// minVMs is among how many VMs the slack is divided at least: a VM that has just
// started does not know the others yet.
const minVMs = 8

// NewBudget returns a budget of ratio repeats for each request within a window,
// and slack more over the number of VMs that vms returns.
func NewRetryBudget(ratio, slack float64, window time.Duration, vms func() int) *RetryBudget {
	return &RetryBudget{ratio: ratio * ratioUsed, slack: slack * slackUsed, window: window, vms: vms}
}

// Request counts a request.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.recent(b.requests), time.Now())
}

// Allows reports whether a request may be sent once more.
func (b *RetryBudget) AllowsRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows()
}

func (b *RetryBudget) allows() bool {
	b.requests, b.repeats = b.recent(b.requests), b.recent(b.repeats)
	return float64(len(b.repeats)) < b.ratio*float64(len(b.requests))+b.slack/float64(max(b.vms(), minVMs))
}

// Repeat reports whether a request may be sent once more, and counts it.
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows() {
		return false
	}
	b.repeats = append(b.repeats, time.Now())
	return true
}

// recent drops the times before the window.
func (b *RetryBudget) recent(times []time.Time) []time.Time {
	start := time.Now().Add(-b.window)
	n := 0
	for n < len(times) && times[n].Before(start) {
		n++
	}
	return times[n:]
}
