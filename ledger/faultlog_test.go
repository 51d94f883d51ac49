package ledger

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"toucanfall/fleet"
	"toucanfall/timeline"
)

var errAnswerLost = errors.New("the answer was lost")

// faultLog is an in-memory log with injected faults.
type faultLog struct {
	mu       sync.Mutex
	records  []Raw
	first    fleet.Offset  // of the oldest retained record
	next     fleet.Offset  // of the next record to be appended
	appended chan struct{} // closed by the next append
	appends  int
	peeks    int
	// down makes every call fail without effect, like a service that answers 503.
	down bool
	// answersToLose is how many appends take effect but return an error.
	answersToLose int
	// appendsToDrop is how many appends have no effect and return the same error.
	appendsToDrop int
	// appendsToDelay is how many appends return the same error and are added to
	// delayed, to take effect later.
	appendsToDelay int
	delayed        [][][]byte
	// history contains all records, including those that trim removed.
	history []Raw
	// delay is the duration of an append.
	delay time.Duration
	// appendError, if set, may return an error for an append, which then has no
	// effect.
	appendError func(records [][]byte) error
}

func newFaultLog() *faultLog {
	return &faultLog{first: 1, next: 1, appended: make(chan struct{})}
}

// set calls f while it holds l.mu.
func (l *faultLog) set(f func(l *faultLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

func (l *faultLog) Append(_ context.Context, records [][]byte) (fleet.Offset, error) {
	time.Sleep(l.delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.appendError != nil {
		if err := l.appendError(records); err != nil {
			return 0, err
		}
	}
	if l.down {
		return 0, errors.New("status 503")
	}
	if l.appendsToDrop > 0 {
		l.appendsToDrop--
		return 0, errAnswerLost
	}
	if l.appendsToDelay > 0 {
		l.appendsToDelay--
		l.delayed = append(l.delayed, records)
		return 0, errAnswerLost
	}
	at := l.next
	l.add(records)
	if l.answersToLose > 0 {
		l.answersToLose--
		return 0, errAnswerLost
	}
	return at, nil
}

// add appends records. The caller must hold l.mu.
func (l *faultLog) add(records [][]byte) {
	for _, data := range records {
		l.records = append(l.records, Raw{Offset: l.next, Data: data})
		l.history = append(l.history, Raw{Offset: l.next, Data: data})
		l.next++
	}
	close(l.appended)
	l.appended = make(chan struct{})
}

func (l *faultLog) Peek(_ context.Context, from fleet.Offset) (Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peeks++
	if l.down {
		return Page{}, errors.New("status 503")
	}
	from = max(from, l.first)
	page := Page{First: l.first}
	if from < l.next {
		tail := l.records[from-l.first:]
		page.Records = append(page.Records, tail[:min(len(tail), 10)]...)
	}
	return page, nil
}

func (l *faultLog) Read(ctx context.Context, from fleet.Offset) ([]Raw, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	for {
		page, err := l.Peek(ctx, from)
		if err == nil && page.First > from {
			err = ErrTrimmed
		}
		if err != nil || len(page.Records) > 0 {
			return page.Records, err
		}
		l.mu.Lock()
		appended := l.appended
		l.mu.Unlock()
		select {
		case <-appended:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// trim removes all records below an offset.
func (l *faultLog) trim(firstKept fleet.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	firstKept = max(l.first, min(firstKept, l.next))
	l.records = append([]Raw(nil), l.records[firstKept-l.first:]...)
	l.first = firstKept
}

// end returns the offset that the next record will have.
func (l *faultLog) end() fleet.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}

func (l *faultLog) peekCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peeks
}

func newTestRecorder() *timeline.Recorder {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return timeline.New("test", 512, logger)
}

// startFollower starts a follower that is closed when the test ends.
func startFollower(t *testing.T, l Log) *Follower {
	f := NewFollower(l, NewState(), newTestRecorder())
	t.Cleanup(f.Close)
	return f
}
