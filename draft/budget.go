package draft

import "sync"

// Bounds of the retry budget of a VM.
const (
	// retryShare is the fraction of requests that may be sent again.
	retryRatio = 0.1
	// maxSavedRetries bounds the retries that are saved up while nothing fails.
	maxSavedRetries = 100.0
)

// budget bounds retries to a share of the requests, so that a failure of many
// engines at once does not multiply the load on the others.
type retryBudget struct {
	mu    sync.Mutex
	balance float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{balance: maxSavedRetries}
}

// earn counts a request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+retryRatio, maxSavedRetries)
}

// spend reports whether a retry is allowed, and counts it.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
