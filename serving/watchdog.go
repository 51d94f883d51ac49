package serving

import (
	"sync/atomic"
	"time"
)

// watchdog ends an attempt in which nothing was heard for too long. Without a
// limit it does nothing.
type watchdog struct {
	limit  time.Duration
	timer  *time.Timer
	barked atomic.Bool
}

func (w *watchdog) start(cancel func()) {
	w.timer = time.AfterFunc(w.limit, func() {
		w.barked.Store(true)
		cancel()
	})
}

func (w *watchdog) heard() {
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// fired reports whether the attempt was ended.
func (w *watchdog) fired() bool {
	return w.barked.Load()
}
