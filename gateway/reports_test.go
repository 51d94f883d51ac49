package gateway

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/internal/loop"
	"toucanfall/platform"
	"toucanfall/quarantine"
	"toucanfall/relay"
	"toucanfall/timeline"
)

// reportStore is a log of reports that counts the reads.
type reportStore struct {
	mu      sync.Mutex
	reports []quarantine.Report
	down    bool
	reads   int
	added   chan struct{}
}

func newReportStore() *reportStore {
	return &reportStore{added: make(chan struct{})}
}

func (s *reportStore) add(r quarantine.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, r)
	close(s.added)
	s.added = make(chan struct{})
}

func (s *reportStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *reportStore) ReadReports(ctx context.Context, from platform.Cursor, wait time.Duration) ([]quarantine.Report, platform.Cursor, error, error) {
	s.mu.Lock()
	s.reads++
	down, added, known := s.down, s.added, int64(len(s.reports)) > from.Position()
	s.mu.Unlock()
	if down {
		return nil, from, nil, errors.New("the store is down")
	}
	if !known && wait > 0 && from != (platform.Cursor{}) {
		select {
		case <-added:
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, from, nil, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]quarantine.Report(nil), s.reports[from.Position():]...), platform.CursorAt(int64(len(s.reports))), nil, nil
}

// reportVM is a VM that follows the reports; got holds the numbers of those that it applied.
type reportVM struct {
	*reportFollower
	mu  sync.Mutex
	got map[uint64]time.Duration
}

// receivedAt returns when the VM first applied a report, 0 if it has not.
func (v *reportVM) receivedAt(number uint64) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.got[number]
}

func newReportVM(store ReportStore, now func() time.Duration, coordinator bool) *reportVM {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	v := &reportVM{got: make(map[uint64]time.Duration)}
	v.reportFollower = newReportFollower(reportConfig{
		Store: store, Now: now, ConfigWithin: 2 * time.Second, OnUpdate: func() {}, IsCoordinator: func() bool { return coordinator }, IsRelay: never, Events: timeline.New("test", 8, logger),
		Apply: func(reports []quarantine.Report) {
			v.mu.Lock()
			defer v.mu.Unlock()
			for _, r := range reports {
				if _, ok := v.got[r.Number]; !ok {
					v.got[r.Number] = now()
				}
			}
		},
	})
	return v
}

// follow passes the news of the coordinator on to a VM each 150 ms until ctx ends.
func (v *reportVM) follow(ctx context.Context, source *reportVM) {
	for ctx.Err() == nil {
		from, _ := v.state()
		reports, at, confirmedAt := source.Since(from)
		if now := v.Now(); confirmedAt > 0 {
			v.ApplyNews(&relay.News{Reports: reports, ReportsAt: at, ReportsAge: now - confirmedAt, HasReports: true}, now)
		}
		loop.Sleep(ctx, 150*time.Millisecond)
	}
}

// Guards against VMs that learn of crashes too late to keep the users' bound of 3 s, or that each ask
// the store: a VM that the coordinator keeps up to date reads nothing, and reads the store itself
// within the bound once the coordinator has failed.
func TestReportsReachVMsThatFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := clockOf(time.Now())
		coordinatorStore, store := newReportStore(), newReportStore()
		add := func(n uint64) {
			r := quarantine.Report{VM: "other", Number: n, Kind: quarantine.Vouch, Parts: []quarantine.PartCount{{Part: "a"}}}
			coordinatorStore.add(r)
			store.add(r)
		}
		add(0)
		ctx, cancel := context.WithCancel(t.Context())
		coordinatorCtx, fail := context.WithCancel(ctx)
		coordinator, v := newReportVM(coordinatorStore, now, true), newReportVM(store, now, false)
		go func() { _ = coordinator.run(coordinatorCtx) }()
		time.Sleep(10 * time.Millisecond)
		go v.follow(coordinatorCtx, coordinator)
		time.Sleep(10 * time.Millisecond)
		go func() { _ = v.run(ctx) }()
		time.Sleep(10 * time.Second)
		is.Equal(store.readCount(), 0)
		is.True(coordinatorStore.readCount() < 20) // one each 0.7 s
		at := now()
		add(1)
		time.Sleep(time.Second)
		is.True(v.receivedAt(1)-at <= 150*time.Millisecond)
		fail()
		synctest.Wait()
		at = now()
		add(2)
		time.Sleep(3 * time.Second)
		is.True(v.receivedAt(2) > 0 && v.receivedAt(2)-at < 2500*time.Millisecond)
		store.mu.Lock()
		store.down = true
		store.mu.Unlock()
		time.Sleep(10 * time.Second)
		store.mu.Lock()
		store.down = false
		store.mu.Unlock()
		add(3)
		time.Sleep(2500 * time.Millisecond)
		is.True(v.receivedAt(3) > 0)
		cancel()
		synctest.Wait()
	})
}

// News of a VM of an earlier version, which has no reports, confirm nothing.
func TestNewsWithoutReportsConfirmNothing(t *testing.T) {
	is := is.New(t)
	v := newReportVM(newReportStore(), func() time.Duration { return time.Hour }, false)
	v.ApplyNews(&relay.News{}, time.Hour)
	_, confirmedAt := v.state()
	is.Equal(confirmedAt, time.Duration(0))
}

// Guards against a VM that asks the store without a pause once it is the coordinator: a relay had told it
// that there are no reports, so that it had not read the store before.
func TestNewCoordinatorWaitsForReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := clockOf(time.Now())
		store := &emptyReportStore{}
		v := newReportVM(store, now, true)
		v.ApplyNews(&relay.News{HasReports: true}, now())
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = v.run(ctx) }()
		time.Sleep(7 * time.Second)
		cancel()
		synctest.Wait()
		is.True(store.reads.Load() <= 12) // One each 0.7 s, and one from the zero cursor.
	})
}

// emptyReportStore is a log without reports, which answers reads from the zero cursor immediately.
type emptyReportStore struct{ reads atomic.Int64 }

func (s *emptyReportStore) ReadReports(ctx context.Context, from platform.Cursor, wait time.Duration) ([]quarantine.Report, platform.Cursor, error, error) {
	if s.reads.Add(1) > 1000 {
		return nil, from, nil, errors.New("too many reads")
	}
	if from != (platform.Cursor{}) {
		loop.Sleep(ctx, wait)
	}
	return nil, platform.CursorAtStart(), nil, ctx.Err()
}
