// Package logline writes log lines without blocking the caller. Lines beyond a rate limit,
// or beyond what a blocked reader leaves space for, are dropped and counted.
package logline

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of the log.
const (
	// LinesPerSecond is the sustained limit in lines per second. The busiest simulated
	// day logs about 60 lines per second, four per request.
	LinesPerSecond = 300
	// BurstLines is the capacity of the token bucket, in lines.
	BurstLines = 1500
	// queueSize is the number of lines queued while the reader is blocked.
	queueSize = 2048
	// closeTimeout bounds how long Close waits for queued lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// Writer queues lines for a writing goroutine and counts those that it drops. It is safe
// for concurrent use.
type Writer struct {
	lines chan []byte
	done  chan struct{}
	// droppedLine formats the line that states how many lines were dropped.
	droppedLine func(n int) []byte

	// mu guards the fields below and sends to lines.
	mu         sync.Mutex
	closed     bool
	tokens     float64
	refilledAt time.Time
	dropped    int
}

// New returns a writer to out. After it has dropped lines, the next line that it accepts
// is preceded by the one that droppedLine returns for their number.
func New(out io.Writer, droppedLine func(n int) []byte) *Writer {
	w := &Writer{lines: make(chan []byte, queueSize), done: make(chan struct{}), droppedLine: droppedLine, tokens: BurstLines, refilledAt: time.Now()}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			// A failed write of the log cannot be reported anywhere.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write queues a copy of line or drops it, and never blocks. It returns an error only after
// Close.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return 0, fmt.Errorf("log is closed: %w", io.ErrClosedPipe)
	}
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.refilledAt).Seconds()*LinesPerSecond, BurstLines)
	w.refilledAt = now
	// Reserve space for two lines: this one and the count of dropped lines.
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

// Close waits up to closeTimeout until the queued lines are written. It returns an error if
// some remain.
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
		return fmt.Errorf("%d log lines were not written within %s", len(w.lines), closeTimeout)
	}
}
