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
	firstTokenTimeout  = 3 * time.Second
	queuedFirstTokenTimeout = 15 * time.Second
	// betweenBound is the wait between two tokens.
	interTokenTimeout = 2 * time.Second
	// guardInterval is the time between two looks.
	stallCheckInterval = 250 * time.Millisecond
	// pauseBound is the time between two looks that shows a pause of this VM.
	pauseThreshold = time.Second
)

// errSilent is the cause of an attempt that was ended for silence.
var errSilent = errors.New("the engine or its connection went silent")

// liveness tells what reports say of an engine meanwhile.
type engineStatus interface {
	Silent() bool
	Queueing() bool
}

// guard ends an attempt whose engine or connection went silent. Reports come
// over other connections, so that a lost connection to a live engine shows only
// in the missing tokens.
type stallTimer struct {
	cancel context.CancelCauseFunc
	engine engineStatus
	// last is when the last token came, as time since begun; 0 before the
	// first one.
	start time.Time
	lastToken  atomic.Int64

	mu    sync.Mutex
	timer *time.Timer
	stopped  bool
	// looked is the time of the last look.
	lastCheck time.Time
}

func newStallTimer(cancel context.CancelCauseFunc, engine engineStatus) *stallTimer {
	g := &stallTimer{cancel: cancel, engine: engine, start: time.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastCheck = g.start
	g.timer = time.AfterFunc(stallCheckInterval, g.check)
	return g
}

// token notes that the engine is alive.
func (g *stallTimer) tokenReceived() {
	g.lastToken.Store(int64(time.Since(g.start)))
}

func (g *stallTimer) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.timer.Stop()
}

func (g *stallTimer) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	now := time.Now()
	if now.Sub(g.lastCheck) > pauseThreshold {
		// This VM was paused, which says nothing of the engine.
		g.tokenReceived()
	}
	g.lastCheck = now
	if g.stalled() {
		g.cancel(errSilent)
		return
	}
	g.timer.Reset(stallCheckInterval)
}

func (g *stallTimer) stalled() bool {
	lastToken := time.Duration(g.lastToken.Load())
	idle := time.Since(g.start) - lastToken
	return idle > g.tokenTimeout(lastToken) || (idle > interTokenTimeout && g.engine.Silent())
}

func (g *stallTimer) tokenTimeout(lastToken time.Duration) time.Duration {
	switch {
	case lastToken > 0:
		return interTokenTimeout
	case g.engine.Queueing():
		return queuedFirstTokenTimeout
	default:
		return firstTokenTimeout
	}
}
