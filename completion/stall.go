package completion

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Time limits for an engine that sends no tokens.
const (
	// firstTokenTimeout is the time limit for the first token from an engine
	// with an empty queue, and queuedFirstTokenTimeout from one with waiting
	// requests.
	firstTokenTimeout       = 3 * time.Second
	queuedFirstTokenTimeout = 15 * time.Second
	// interTokenTimeout is the time limit between two tokens.
	interTokenTimeout = 2 * time.Second
	// stallCheckInterval is the time between two checks.
	stallCheckInterval = 250 * time.Millisecond
	// pauseThreshold is the time between two checks above which this VM itself
	// must have been paused.
	pauseThreshold = time.Second
)

// errStalled is the cancellation cause of an attempt whose engine stalled.
var errStalled = errors.New("the engine or its connection went silent")

// engineStatus is the state of an engine according to its reports, which arrive
// during the attempt. It is implemented by [upstream.Lease].
type engineStatus interface {
	// Silent reports whether the engine has stopped sending reports.
	Silent() bool
	// Queueing reports whether requests wait in the engine's queue.
	Queueing() bool
}

// stallTimer cancels an attempt whose engine or connection has stalled. Reports
// arrive over other connections, so a lost connection to a healthy engine shows
// only by the missing tokens.
type stallTimer struct {
	cancel context.CancelCauseFunc
	engine engineStatus
	// lastToken is when the last token arrived or a pause of this VM was
	// detected, in nanoseconds since start; 0 before the first of these.
	start     time.Time
	lastToken atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// lastCheck is the time of the last check.
	lastCheck time.Time
}

// newStallTimer starts a timer that calls cancel with errStalled when engine
// stalls. The caller must call stop.
func newStallTimer(cancel context.CancelCauseFunc, engine engineStatus) *stallTimer {
	s := &stallTimer{cancel: cancel, engine: engine, start: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCheck = s.start
	s.timer = time.AfterFunc(stallCheckInterval, s.check)
	return s
}

// tokenReceived restarts the time limit.
func (s *stallTimer) tokenReceived() {
	s.lastToken.Store(int64(time.Since(s.start)))
}

// stop stops the timer. cancel is not called after it returns.
func (s *stallTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}

// check cancels the attempt if it has stalled, else schedules the next check.
func (s *stallTimer) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	now := time.Now()
	if now.Sub(s.lastCheck) > pauseThreshold {
		// This VM was paused: the missing tokens say nothing about the engine.
		s.tokenReceived()
	}
	s.lastCheck = now
	if s.stalled() {
		s.cancel(errStalled)
		return
	}
	s.timer.Reset(stallCheckInterval)
}

// stalled reports whether the time limit has passed. An engine that has also
// stopped sending reports gets only interTokenTimeout for its first token.
func (s *stallTimer) stalled() bool {
	lastToken := time.Duration(s.lastToken.Load())
	idle := time.Since(s.start) - lastToken
	return idle > s.tokenTimeout(lastToken) || (idle > interTokenTimeout && s.engine.Silent())
}

// tokenTimeout returns the time limit for the next token, given the time of the
// last one.
func (s *stallTimer) tokenTimeout(lastToken time.Duration) time.Duration {
	switch {
	case lastToken > 0:
		return interTokenTimeout
	case s.engine.Queueing():
		return queuedFirstTokenTimeout
	default:
		return firstTokenTimeout
	}
}
