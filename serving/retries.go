package serving

import (
	"context"
	"strconv"
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/event"
	"toucanfall/metric"
	"toucanfall/timeline"
)

// RetryBudget bounds how often requests for a service are sent beyond the first time, over all VMs
// together.
type RetryBudget interface {
	// CountRequest counts a request for a service, which permits a part of a retry.
	CountRequest(s catalogue.ServiceID)
	// TakeRetry reports whether a request for a service may be sent once more, and if so counts a
	// retry.
	TakeRetry(ctx context.Context, s catalogue.ServiceID) bool
	// ReturnRetry returns a retry that was counted but not sent.
	ReturnRetry(s catalogue.ServiceID)
}

// retries takes retries from the budget, and records them.
type retries struct {
	budget  RetryBudget
	metrics *metric.Set
	events  *timeline.Recorder

	// mu guards denials.
	mu      sync.Mutex
	denials map[catalogue.ServiceID]*denials
}

// denials are the denied retries of a service since they were recorded last.
type denials struct {
	count      int
	recordedAt time.Time
}

// denialInterval is how often denied retries of a service are recorded at most.
const denialInterval = time.Second

func newRetries(cfg Config) *retries {
	return &retries{budget: cfg.Budget, metrics: cfg.Metrics, events: cfg.Events, denials: make(map[catalogue.ServiceID]*denials)}
}

// countRequest counts a request for a service.
func (r *retries) countRequest(s catalogue.ServiceID) {
	r.budget.CountRequest(s)
	r.metrics.RetryBudget(string(s), metric.RetryRequest)
}

// take reports whether a request for a service may be sent once more, and if so counts a retry.
func (r *retries) take(ctx context.Context, s catalogue.ServiceID) bool {
	if r.budget.TakeRetry(ctx, s) {
		r.metrics.RetryBudget(string(s), metric.RetryTaken)
		return true
	}
	r.metrics.RetryBudget(string(s), metric.RetryDenied)
	r.recordDenied(s)
	return false
}

// giveBack returns a retry that was not sent.
func (r *retries) giveBack(s catalogue.ServiceID) {
	r.budget.ReturnRetry(s)
	r.metrics.RetryBudget(string(s), metric.RetryReturned)
}

// recordDenied counts a denied retry, and records the counted ones if none were recorded within
// denialInterval.
func (r *retries) recordDenied(s catalogue.ServiceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.denials[s]
	if !ok {
		d = &denials{}
		r.denials[s] = d
	}
	d.count++
	if now := time.Now(); now.Sub(d.recordedAt) >= denialInterval {
		r.events.Record(event.RetriesDenied, timeline.Fields{"service": string(s), "count": strconv.Itoa(d.count)})
		d.count, d.recordedAt = 0, now
	}
}
