// Package logline writes log lines without ever making the caller wait: for a
// reader that stands still, or for a flood of lines.
package logline

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of the log.
const (
	// PerSecond is how many lines a process writes in a second at most, over a
	// while: the heaviest played day makes some 60, four for each request.
	PerSecond = 300
	// Burst is how many more it may write at once.
	Burst = 1500
	// waiting is how many lines wait for a reader that stands still.
	queueSize = 2048
	// lastWait is how long the end of the process waits for the last lines.
	closeTimeout = 200 * time.Millisecond
)

// Writer passes lines on, and counts those that it leaves out. It is safe for
// concurrent use.
type Writer struct {
	lines chan []byte
	done  chan struct{}
	// left makes the line that tells how many lines were left out.
	droppedLine func(n int) []byte

	mu         sync.Mutex
	closed     bool
	tokens     float64
	refilledAt time.Time
	dropped    int
}

// New returns a writer to out. It writes the line that left makes once there is
// room again after lines were left out.
func New(out io.Writer, droppedLine func(n int) []byte) *Writer {
	w := &Writer{lines: make(chan []byte, queueSize), done: make(chan struct{}), droppedLine: droppedLine, tokens: Burst, refilledAt: time.Now()}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			// There is nowhere to tell that the log itself cannot be written.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write takes a line, or leaves it out. It fails only after Close.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return 0, fmt.Errorf("the log is closed: %w", io.ErrClosedPipe)
	}
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.refilledAt).Seconds()*PerSecond, Burst)
	w.refilledAt = now
	// Two lines have to fit where one tells of those that were left out.
	if w.tokens < 2 || len(w.lines) > cap(w.lines)-2 {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		w.enqueue(w.droppedLine(w.dropped))
		w.dropped = 0
	}
	w.enqueue(append([]byte(nil), line...))
	return len(line), nil
}

func (w *Writer) enqueue(line []byte) {
	w.tokens--
	w.lines <- line
}

// Close writes what waits, for a short time at most.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	w.closed = true
	close(w.lines)
	select {
	case <-w.done:
		return nil
	case <-time.After(closeTimeout):
		return fmt.Errorf("%d lines of the log were not read within %s", len(w.lines), closeTimeout)
	}
}
