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
	LinesPerSecond = 300
	// Burst is how many more it may write at once.
	BurstLines = 1500
	// waiting is how many lines wait for a reader that stands still.
	waiting = 2048
	// lastWait is how long the end of the process waits for the last lines.
	lastWait = 200 * time.Millisecond
)

// Writer passes lines on, and counts those that it leaves out. It is safe for
// concurrent use.
type Writer struct {
	lines chan []byte
	ended chan struct{}
	// left makes the line that tells how many lines were left out.
	left func(n int) []byte

	mu      sync.Mutex
	closed  bool
	level   float64
	at      time.Time
	dropped int
}

// New returns a writer to out. It writes the line that left makes once there is
// room again after lines were left out.
func New(out io.Writer, left func(n int) []byte) *Writer {
	w := &Writer{lines: make(chan []byte, waiting), ended: make(chan struct{}), left: left, level: BurstLines, at: time.Now()}
	go func() {
		defer close(w.ended)
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
	w.level = min(w.level+now.Sub(w.at).Seconds()*LinesPerSecond, BurstLines)
	w.at = now
	// Two lines have to fit where one tells of those that were left out.
	if w.level < 2 || len(w.lines) > cap(w.lines)-2 {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		w.send(w.left(w.dropped))
		w.dropped = 0
	}
	w.send(append([]byte(nil), line...))
	return len(line), nil
}

func (w *Writer) send(line []byte) {
	w.level--
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
	case <-w.ended:
		return nil
	case <-time.After(lastWait):
		return fmt.Errorf("%d lines of the log were not read within %s", len(w.lines), lastWait)
	}
}
