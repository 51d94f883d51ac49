package draft

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds on silence of an engine.
const (
	// firstBound is the wait for the first token of an engine at which nothing
	// queues, and queuedBound that of one where requests wait.
	firstBound  = 3 * time.Second
	queuedBound = 15 * time.Second
	// betweenBound is the wait between two tokens.
	betweenBound = 2 * time.Second
	// guardInterval is the time between two looks.
	guardInterval = 250 * time.Millisecond
	// pauseBound is the time between two looks that shows a pause of this VM.
	pauseBound = time.Second
)

// errSilent is the cause of an attempt that was ended for silence.
var errSilent = errors.New("the engine or its connection went silent")

// liveness tells what reports say of an engine meanwhile.
type liveness interface {
	Silent() bool
	Queueing() bool
}

// guard ends an attempt whose engine or connection went silent. Reports come
// over other connections, so that a lost connection to a live engine shows only
// in the missing tokens.
type guard struct {
	cancel context.CancelCauseFunc
	engine liveness
	// last is when the last token came, as time since begun; 0 before the
	// first one.
	begun time.Time
	last  atomic.Int64

	mu    sync.Mutex
	timer *time.Timer
	over  bool
	// looked is the time of the last look.
	looked time.Time
}

func newGuard(cancel context.CancelCauseFunc, engine liveness) *guard {
	g := &guard{cancel: cancel, engine: engine, begun: time.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.looked = g.begun
	g.timer = time.AfterFunc(guardInterval, g.look)
	return g
}

// token notes that the engine is alive.
func (g *guard) token() {
	g.last.Store(int64(time.Since(g.begun)))
}

func (g *guard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.over = true
	g.timer.Stop()
}

func (g *guard) look() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.over {
		return
	}
	now := time.Now()
	if now.Sub(g.looked) > pauseBound {
		// This VM was paused, which says nothing of the engine.
		g.token()
	}
	g.looked = now
	if g.silent() {
		g.cancel(errSilent)
		return
	}
	g.timer.Reset(guardInterval)
}

func (g *guard) silent() bool {
	last := time.Duration(g.last.Load())
	quiet := time.Since(g.begun) - last
	return quiet > g.bound(last) || (quiet > betweenBound && g.engine.Silent())
}

func (g *guard) bound(last time.Duration) time.Duration {
	switch {
	case last > 0:
		return betweenBound
	case g.engine.Queueing():
		return queuedBound
	default:
		return firstBound
	}
}
