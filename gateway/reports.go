package gateway

import (
	"context"
	"sync"
	"time"

	"toucanfall/event"
	"toucanfall/internal/loop"
	"toucanfall/platform"
	"toucanfall/quarantine"
	"toucanfall/relay"
	"toucanfall/timeline"
)

// Times of following the crash reports, as parts of the time within which a configuration must be
// applied: a VM must know the reports a little later than that.
const (
	// reportWaitPercent is how long the store holds a read until there is a report.
	reportWaitPercent = 35
	// reportMarginPercent is how much later a read is cancelled.
	reportMarginPercent = 20
	// relayReportAgePercent and informedReportAgePercent are the ages of the last confirmation from
	// which a relay, and a VM that is kept up to date, read the store themselves.
	relayReportAgePercent    = 70
	informedReportAgePercent = 90
)

// maxKeptReports is how many reports a VM keeps for the VMs that follow it.
const maxKeptReports = 512

// ReportStore is the part of the store that holds the crash reports.
type ReportStore interface {
	ReadReports(ctx context.Context, from platform.Cursor, wait time.Duration) (reports []quarantine.Report, next platform.Cursor, malformed, err error)
}

// reportConfig holds the dependencies of a reportFollower.
type reportConfig struct {
	Store ReportStore
	Now   func() time.Duration
	// ConfigWithin is the time within which a configuration must be applied.
	ConfigWithin time.Duration
	// Apply is called with reports in the order of the log, some of them more than once.
	Apply func([]quarantine.Report)
	// OnUpdate is called after each answer of the store and each update from a relay.
	OnUpdate func()
	// IsCoordinator and IsRelay are as in configFollower.
	IsCoordinator, IsRelay func() bool
	Events                 *timeline.Recorder
}

// reportFollower follows the log of crash reports, through relays where these are up to date, and
// keeps the newest ones for the VMs that follow this one.
type reportFollower struct {
	reportConfig

	mu sync.Mutex
	// The fields below are guarded by mu. kept holds the newest reports, with the position after
	// each. position is up to where the log was read; 0 is before the first record.
	kept     []positionedReport
	position relay.Position
	// cursor continues the reads of the store at position. It is the zero Cursor until the log was first
	// read.
	cursor platform.Cursor
	// confirmedAt is when the newest read of the store was requested, 0 if there was none.
	confirmedAt time.Duration
}

type positionedReport struct {
	report   quarantine.Report
	position relay.Position
}

func newReportFollower(cfg reportConfig) *reportFollower {
	return &reportFollower{reportConfig: cfg}
}

// run reads the store whenever no relay has confirmed the reports recently, until ctx ends, and
// returns its error.
func (f *reportFollower) run(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		if d := f.untilDue(); d > 0 {
			loop.Sleep(ctx, d)
			continue
		}
		err := f.read(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			f.Events.Record(event.GatewayFault, timeline.Fields{"reason": "crash reports cannot be read: " + err.Error()})
		}
		if failing = err != nil; failing {
			loop.Sleep(ctx, maxRetryPause)
		}
	}
	return ctx.Err()
}

// untilDue returns the time until this VM has to read the store, at most 0 if that is now.
func (f *reportFollower) untilDue() time.Duration {
	_, confirmedAt := f.state()
	if confirmedAt == 0 || f.IsCoordinator() {
		return 0
	}
	percent := informedReportAgePercent
	if f.IsRelay() {
		percent = relayReportAgePercent
	}
	return confirmedAt + f.percent(percent) - f.Now()
}

func (f *reportFollower) percent(n int) time.Duration {
	return f.ConfigWithin / 100 * time.Duration(n)
}

// read reads the store once. Only the coordinator waits for reports there: the others read because
// it may have failed.
func (f *reportFollower) read(ctx context.Context) error {
	requestedAt := f.Now()
	f.mu.Lock()
	from := f.cursor
	f.mu.Unlock()
	var wait time.Duration
	if f.IsCoordinator() {
		wait = f.percent(reportWaitPercent)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.percent(reportMarginPercent))
	defer cancel()
	reports, next, malformed, err := f.Store.ReadReports(ctx, from, wait)
	if err != nil {
		return err
	}
	if malformed != nil {
		f.Events.Record(event.EntryOdd, timeline.Fields{"reason": malformed.Error()})
	}
	f.update(reports, next, requestedAt)
	return nil
}

// update applies reports up to a cursor, confirmed at a time of the clock Now. Those of a former era of the
// store confirm nothing: the log may hold others since.
func (f *reportFollower) update(reports []quarantine.Report, cursor platform.Cursor, confirmedAt time.Duration) {
	f.Apply(reports)
	f.mu.Lock()
	if position := relay.Position(cursor.Position()); position > f.position || f.cursor == (platform.Cursor{}) {
		f.position, f.cursor = position, cursor
		for _, r := range reports {
			f.kept = append(f.kept, positionedReport{r, position})
		}
		f.kept = f.kept[max(len(f.kept)-maxKeptReports, 0):]
	}
	if relay.Position(cursor.Position()).Era() == f.position.Era() {
		f.confirmedAt = max(f.confirmedAt, confirmedAt)
	}
	f.mu.Unlock()
	f.OnUpdate()
}

// ApplyNews applies the reports in the news of a relay that took them from its state at checkedAt or
// later.
func (f *reportFollower) ApplyNews(n *relay.News, checkedAt time.Duration) {
	if !n.HasReports {
		return
	}
	cursor := platform.CursorAt(int64(n.ReportsAt))
	if n.ReportsAt == 0 {
		cursor = platform.CursorAtStart()
	}
	f.update(n.Reports, cursor, checkedAt-n.ReportsAge)
}

// state returns the position up to which the log was read, and when it was last confirmed on the clock
// Now, 0 if never.
func (f *reportFollower) state() (relay.Position, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position, f.confirmedAt
}

// Since returns the reports after a position, and the state.
func (f *reportFollower) Since(from relay.Position) ([]quarantine.Report, relay.Position, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from >= f.position {
		return nil, f.position, f.confirmedAt
	}
	var out []quarantine.Report
	for _, k := range f.kept {
		if k.position > from {
			out = append(out, k.report)
		}
	}
	return out, f.position, f.confirmedAt
}
