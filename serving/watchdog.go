package serving

import (
	"sync"
	"time"
)

// watchdog ends an attempt in which nothing was heard for too long. Without a
// limit it does nothing.
type watchdog struct {
	limit time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// barked is set once the attempt was ended, stopped once it is over.
	barked, stopped bool
}

// recheck is how often it is looked again whether a silent attempt can be ended.
const recheck = 100 * time.Millisecond

// start has the attempt cancelled at the limit, or later, once may allows it.
func (w *watchdog) start(may func() bool, cancel func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.limit, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.stopped:
		case may():
			w.barked = true
			cancel()
		default:
			w.timer.Reset(recheck)
		}
	})
}

func (w *watchdog) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.stopped {
		w.timer.Reset(w.limit)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// fired reports whether the attempt was ended.
func (w *watchdog) fired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.barked
}
