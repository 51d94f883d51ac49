package draft

import "sync"

// Bounds of the retry budget of a VM.
const (
	// retryShare is the fraction of requests that may be sent again.
	retryShare = 0.1
	// maxSavedRetries bounds the retries that are saved up while nothing fails.
	maxSavedRetries = 100.0
)

// budget bounds retries to a share of the requests, so that a failure of many
// engines at once does not multiply the load on the others.
type budget struct {
	mu    sync.Mutex
	saved float64
}

func newBudget() *budget {
	return &budget{saved: maxSavedRetries}
}

// earn counts a request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+retryShare, maxSavedRetries)
}

// spend reports whether a retry is allowed, and counts it.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
