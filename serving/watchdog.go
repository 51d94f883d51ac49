package serving

import (
	"context"
	"sync"
	"time"
)

// watchdog replaces an attempt that has been silent for the time limit, once another attempt has
// been answered. The zero value does nothing. All methods are safe for concurrent use.
type watchdog struct {
	// limit is how long the attempt may be silent.
	limit time.Duration
	// findReplacement makes another attempt, and returns nil if there is none that was answered.
	// attempted is false if no upstream could be tried, and the next search may follow soon.
	findReplacement func(ctx context.Context) (next *attempt, attempted bool)
	// onReplace cancels the silent attempt in favour of next; onDiscard cancels next. Both are
	// called with mu held.
	onReplace, onDiscard func(next *attempt)

	mu sync.Mutex
	// timer calls fire; it is nil until start. Guarded by mu.
	timer *time.Timer
	// cancelSearch cancels a running findReplacement; searchDone is closed once it has ended.
	// Both are guarded by mu.
	cancelSearch context.CancelFunc
	searchDone   chan struct{}
	// replaced is set once the attempt was replaced, stopped once it has ended. Both are
	// guarded by mu.
	replaced, stopped bool
}

// recheckInterval is the pause before another search if no request was sent in the last one.
const recheckInterval = 100 * time.Millisecond

func (w *watchdog) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.limit, w.fire)
}

// fire searches for a replacement for the silent attempt. It is called by the timer.
func (w *watchdog) fire() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	done := make(chan struct{})
	w.cancelSearch, w.searchDone = cancel, done
	w.mu.Unlock()
	next, attempted := w.findReplacement(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	defer close(done)
	w.cancelSearch = nil
	switch {
	case next != nil && ctx.Err() == nil && !w.stopped:
		w.replaced = true
		w.onReplace(next)
	case next != nil:
		w.onDiscard(next) // The silent attempt has progressed or ended meanwhile.
	}
	if w.replaced || w.stopped {
		return
	}
	pause := recheckInterval
	if attempted {
		pause = w.limit
	}
	w.timer.Reset(pause)
}

// activity must be called on each progress of the attempt. It cancels a running search and restarts
// the time limit.
func (w *watchdog) activity() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelSearch != nil {
		w.cancelSearch()
		return // fire resets the timer once the search has ended.
	}
	if w.timer != nil && !w.stopped && !w.replaced {
		w.timer.Reset(w.limit)
	}
}

// stop stops the watchdog, and waits until a running search has ended.
func (w *watchdog) stop() {
	w.mu.Lock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.cancelSearch != nil {
		w.cancelSearch()
	}
	done := w.searchDone
	w.mu.Unlock()
	if done != nil {
		<-done
	}
}

// fired reports whether the attempt was replaced.
func (w *watchdog) fired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replaced
}
