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

var errLost = errors.New("the answer was lost")

// faultLog is a log in memory with faults.
type faultLog struct {
	mu      sync.Mutex
	records []Raw
	first   fleet.Offset
	next    fleet.Offset
	grown   chan struct{}
	appends int
	// down fails every call without effect, as a service that answers 503.
	down bool
	// losing is how many appends take effect and lose their answers.
	losing int
	// dropping is how many appends have no effect and lose their answers.
	dropping int
	// holding is how many appends lose their answers and take effect later.
	holding int
	held    [][][]byte
	// all keeps what trim drops.
	all []Raw
	// delay is how long an append takes.
	delay time.Duration
	// fail replaces the error of an append without effect.
	fail func(records [][]byte) error
}

func newFaultLog() *faultLog {
	return &faultLog{first: 1, next: 1, grown: make(chan struct{})}
}

// set changes faults under the lock.
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
	if l.fail != nil {
		if err := l.fail(records); err != nil {
			return 0, err
		}
	}
	if l.down {
		return 0, errors.New("status 503")
	}
	if l.dropping > 0 {
		l.dropping--
		return 0, errLost
	}
	if l.holding > 0 {
		l.holding--
		l.held = append(l.held, records)
		return 0, errLost
	}
	at := l.next
	l.add(records)
	if l.losing > 0 {
		l.losing--
		return 0, errLost
	}
	return at, nil
}

// add adds records. The caller holds the lock.
func (l *faultLog) add(records [][]byte) {
	for _, data := range records {
		l.records = append(l.records, Raw{Offset: l.next, Data: data})
		l.all = append(l.all, Raw{Offset: l.next, Data: data})
		l.next++
	}
	close(l.grown)
	l.grown = make(chan struct{})
}

func (l *faultLog) Peek(_ context.Context, from fleet.Offset) (Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
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
		grown := l.grown
		l.mu.Unlock()
		select {
		case <-grown:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// trim drops all records below an offset.
func (l *faultLog) trim(below fleet.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	below = max(l.first, min(below, l.next))
	l.records = append([]Raw(nil), l.records[below-l.first:]...)
	l.first = below
}

// end returns the offset that the next record will have.
func (l *faultLog) end() fleet.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}

func quietRecorder() *timeline.Recorder {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return timeline.New("test", 512, logger)
}

// follow starts a follower that the test closes at its end.
func follow(t *testing.T, l Log) *Follower {
	f := NewFollower(l, NewState(), quietRecorder())
	t.Cleanup(f.Close)
	return f
}
