package serving

import (
	"context"
	"sync"
	"time"
)

// watchdog replaces an attempt in which nothing was heard for too long, once another one is
// ready to take its place. Without a limit it does nothing.
type watchdog struct {
	limit time.Duration
	// replace prepares another attempt, nil if there is none to be had. Again tells that one
	// was tried.
	findReplacement func(ctx context.Context) (next *attempt, again bool)
	// use ends the silent attempt in favour of the other one, drop ends the other one.
	onReplace, onDiscard func(next *attempt)

	mu    sync.Mutex
	timer *time.Timer
	// trying ends the search for another attempt, which is over once done is closed.
	cancelSearch context.CancelFunc
	searchDone   chan struct{}
	// barked is set once the attempt was replaced, stopped once it is over.
	replaced, stopped bool
}

// recheck is how often it is looked again whether a silent attempt can be replaced.
const recheckInterval = 100 * time.Millisecond

func (w *watchdog) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.limit, w.fire)
}

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
		w.onDiscard(next) // The silent attempt was heard meanwhile, or is over.
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

func (w *watchdog) activity() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelSearch != nil {
		w.cancelSearch()
		return // The timer is set once the search has ended.
	}
	if w.timer != nil && !w.stopped && !w.replaced {
		w.timer.Reset(w.limit)
	}
}

// stop ends the watch, and waits until nothing is prepared any more.
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
