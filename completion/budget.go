package completion

import "sync"

// Limits of the retry budget of a VM.
const (
	// retryRatio is the number of retries allowed per request.
	retryRatio = 0.1
	// maxSavedRetries is the largest number of retries that accumulate while
	// nothing fails, and the initial balance.
	maxSavedRetries = 100.0
)

// retryBudget limits retries to a fraction of the requests, so that a
// simultaneous failure of many engines does not multiply the load on the
// others. mu guards balance, the number of retries that are allowed now.
type retryBudget struct {
	mu      sync.Mutex
	balance float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{balance: maxSavedRetries}
}

// deposit adds the retryRatio of one request to the balance.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+retryRatio, maxSavedRetries)
}

// tryWithdraw reports whether a retry is allowed, and takes it from the
// balance.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
