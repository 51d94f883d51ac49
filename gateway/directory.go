package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"toucanfall/event"
	"toucanfall/internal/loop"
	"toucanfall/platform"
	"toucanfall/relay"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// Times of reading the directory. Heartbeats are read in batches, because reading each one
// separately would wake every VM.
const (
	// maxSendDelay is how long a request may take to reach an upstream after the last check
	// that the upstream is not leaving.
	maxSendDelay = 300 * time.Millisecond
	// repeatReadAfter is how long a read may stay unanswered before it is repeated on
	// another connection. It is many times what a healthy store takes.
	repeatReadAfter = 300 * time.Millisecond
	// unreachableAfter is how long the store must have left all reads unanswered to count
	// as unreachable.
	unreachableAfter = 800 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = 1600 * time.Millisecond
	// maxPendingReads bounds the concurrent reads.
	maxPendingReads = 2
	// maxFailedReads is how many consecutive reads must fail for the store to count as
	// unreachable.
	maxFailedReads = 2
	// readRetryPause is the pause after a failed read.
	readRetryPause = 20 * time.Millisecond
	// maxCheckPause is the longest pause between two checks whether a read is due, and the
	// pause between reads while the store is unreachable.
	maxCheckPause = 250 * time.Millisecond
	// coordinatorReadsPerBound is how often the coordinator reads the directory within the
	// drain bound. What it reads reaches the other VMs one message later, which in a large
	// fleet takes most of a second.
	coordinatorReadsPerBound = 4
	// relayReadPercent is the age of the directory, in percent of the drain bound, at which
	// a relay reads it itself because the coordinator has not reported in time.
	relayReadPercent = 40
	// pendingCheckPause is the longest pause between checks while a read is pending. It is
	// the resolution at which a pause of this VM is distinguished from a store that does
	// not answer.
	pendingCheckPause = 50 * time.Millisecond
	// outageThreshold is how long the store must have been silent for vanished entries to
	// be suspected rather than removed afterwards. Entries expire after three heartbeats,
	// which are 1.2 s apart by the capacity documentation.
	outageThreshold = 1200 * time.Millisecond
	// suspicionPeriod is how long vanished entries are suspected after the store has
	// answered again: live upstreams register again within about two seconds. It counts
	// from the store's return for all entries, because an entry that vanishes later is not
	// due to the outage.
	suspicionPeriod = 2 * time.Second
	// stallThreshold is how late a check must be for this VM to count as paused in between.
	stallThreshold = 100 * time.Millisecond
	// awaitPollInterval is how often a request that waits for the directory checks again.
	awaitPollInterval = 5 * time.Millisecond
)

// DirectoryStore reads the directory of upstreams: ReadDirectory returns what changed after
// the cursor from, and the cursor of the next read, without waiting for a change. If it
// fails, it returns the cursor unchanged.
type DirectoryStore interface {
	ReadDirectory(ctx context.Context, from platform.Cursor) (roster.Changes, platform.Cursor, error)
}

// directoryConfig holds the dependencies and the drain bound of a directoryFollower.
type directoryConfig struct {
	Store  DirectoryStore
	Roster *roster.Roster
	// Now is a monotonic clock that also counts suspended time.
	Now func() time.Duration
	// DrainWithin is how long after an upstream starts to leave it may still get new
	// requests.
	DrainWithin time.Duration
	// Replica keeps what was read for the VMs that follow this one. OnUpdate is called
	// after each successful read and each update from a relay.
	Replica  *relay.Directory
	OnUpdate func()
	// Informed reports whether a relay currently keeps this VM up to date, UpdateExpected
	// whether a VM that has just started is likely to get an update from a relay soon.
	Informed, UpdateExpected func() bool
	// IsCoordinator reports whether this VM is the coordinator, IsRelay whether other VMs
	// follow it although it is not.
	IsCoordinator, IsRelay func() bool
	Events                 *timeline.Recorder
}

// directoryRead is a read of the directory that is in progress.
type directoryRead struct {
	requestedAt time.Duration
	cancel      context.CancelFunc
	// cause is why the read was started, ageBefore how old the directory was then.
	cause     string
	ageBefore time.Duration
	// all is set if the whole directory is read, and not only its changes.
	all bool
}

// readResult is the outcome of a directoryRead.
type readResult struct {
	read    *directoryRead
	changes roster.Changes
	next    platform.Cursor
	err     error
}

// directoryFollower keeps the roster up to date with the directory in the store, and
// decides whether the roster is fresh enough to send requests by it. Fields that change,
// other than unreachable, are used only by the goroutine of run.
type directoryFollower struct {
	directoryConfig
	// maxAge is the greatest age of the directory at which requests may be sent. The others
	// are the ages at which it is read: informedAge on a VM that a relay keeps up to date,
	// early enough to find out before maxAge that the store is unreachable; standaloneAge
	// on a VM without a relay; coordinatorAge on the coordinator; relayAge on a relay,
	// before its followers would read.
	maxAge, informedAge, standaloneAge, coordinatorAge, relayAge time.Duration

	results chan readResult
	updates chan directoryUpdate
	// pending holds the reads in progress, oldest first.
	pending []*directoryRead
	// silentSince is when the first read after the store's last answer was started, 0 after
	// an answer. A pause of this VM restarts it, because that time does not count.
	silentSince time.Duration
	// failedReads counts the failed reads since silentSince, retryAt is the earliest time
	// of the next one.
	failedReads int
	retryAt     time.Duration
	// suspectUntil is the time until which vanished entries are suspected rather than
	// removed.
	suspectUntil time.Duration
	// restored holds what is not trusted of a directory that was restored.
	restored *restoredFilter
	// unreachable is set while the store does not answer.
	unreachable atomic.Bool
	// wake makes run check immediately whether a read is due.
	wake chan struct{}

	// overdueAge is the greatest age of the directory since it exceeded maxAge, 0 while it
	// is within maxAge.
	overdueAge time.Duration
	// lastError is the error of the last read that failed.
	lastError error
	// logged holds the leaving upstreams that have been logged, loggedCold the cold ones.
	logged, loggedCold map[*roster.Upstream]bool
}

func newDirectoryFollower(cfg directoryConfig) *directoryFollower {
	f := &directoryFollower{
		directoryConfig: cfg, results: make(chan readResult), updates: make(chan directoryUpdate), wake: make(chan struct{}, 1), restored: newRestoredFilter(), logged: make(map[*roster.Upstream]bool), loggedCold: make(map[*roster.Upstream]bool),
	}
	f.maxAge = max(cfg.DrainWithin-maxSendDelay, cfg.DrainWithin/2)
	f.informedAge = max(f.maxAge-unreachableAfter-readRetryPause, f.maxAge/4)
	f.standaloneAge = min(f.informedAge, cfg.DrainWithin/2)
	f.coordinatorAge = min(f.standaloneAge, cfg.DrainWithin/coordinatorReadsPerBound)
	f.relayAge = min(f.informedAge, cfg.DrainWithin*relayReadPercent/100)
	return f
}

// run keeps the roster up to date until ctx is cancelled, and returns its error.
func (f *directoryFollower) run(ctx context.Context) error {
	var reads sync.WaitGroup
	defer reads.Wait()
	for now := f.Now(); ctx.Err() == nil; {
		if read := f.nextRead(now); read != nil {
			f.startRead(ctx, read, &reads)
		}
		pause := f.checkPause(now)
		select {
		case <-ctx.Done():
		case result := <-f.results:
			now = f.checkStall(now + pause)
			f.handleResult(result, now)
			continue
		case update := <-f.updates:
			now = f.checkStall(now + pause)
			f.applyUpdate(update, now)
			continue
		case <-f.wake:
		case <-time.After(pause):
		}
		now = f.checkStall(now + pause)
	}
	return ctx.Err()
}

// checkStall returns the current time. If this VM was paused well past the time at which
// the loop was due to continue, it restarts the measurement of the store's silence.
func (f *directoryFollower) checkStall(expected time.Duration) time.Duration {
	now := f.Now()
	if now-expected > stallThreshold {
		f.resetSilence(now)
	}
	return now
}

// nextRead returns the read to start now, nil if none is due. It also updates unreachable,
// logs an overdue directory and removes suspected entries whose time is over.
func (f *directoryFollower) nextRead(now time.Duration) *directoryRead {
	confirmedAt := f.Roster.ConfirmedAt()
	if f.silentSince != 0 && confirmedAt > f.silentSince {
		f.resetSilence(now)
	}
	f.unreachable.Store(f.silentSince != 0 && (now-f.silentSince >= unreachableAfter || f.failedReads >= maxFailedReads))
	f.recordOverdue(now)
	f.expireEntries(now)
	cause := f.dueCause(now)
	if cause == "" {
		return nil
	}
	read := &directoryRead{requestedAt: now, cause: cause, ageBefore: now - confirmedAt, all: f.restored.overdue(now)}
	if f.silentSince == 0 {
		f.silentSince = now
	}
	f.pending = append(f.pending, read)
	return read
}

// resetSilence restarts the measurement of how long the store has been silent. Time in
// which this VM was paused, or in which the directory was confirmed by a relay, does not
// count as silence of the store.
func (f *directoryFollower) resetSilence(now time.Duration) {
	f.silentSince, f.failedReads = 0, 0
	if len(f.pending) > 0 {
		f.silentSince = now
	}
}

// checkPause returns how long to wait until the next check.
func (f *directoryFollower) checkPause(now time.Duration) time.Duration {
	switch {
	case f.silentSince == 0:
		return min(max(f.readAge()-f.stalenessAt(now), readRetryPause), maxCheckPause)
	case len(f.pending) == 0:
		return max(f.retryAt-now, 0)
	}
	return pendingCheckPause
}

// readAge returns the age at which this VM reads the directory.
func (f *directoryFollower) readAge() time.Duration {
	switch {
	case f.IsCoordinator():
		return f.coordinatorAge
	case f.IsRelay():
		return f.relayAge
	case f.Informed():
		return f.informedAge
	}
	return f.standaloneAge
}

// dueCause returns why a read is due now, "" if none is: the directory has reached its read
// age, or the store has not answered.
func (f *directoryFollower) dueCause(now time.Duration) string {
	switch {
	case len(f.pending) >= maxPendingReads, now < f.retryAt:
		return ""
	case f.silentSince != 0:
		if len(f.pending) > 0 && now-f.silentSince < repeatReadAfter {
			return ""
		}
		return "repeat"
	}
	if f.restored.overdue(now) {
		return "restored"
	}
	if f.stalenessAt(now) < f.readAge() || f.Roster.ConfirmedAt() == 0 && f.UpdateExpected() {
		return ""
	}
	return "interval"
}

// startRead starts a read in a goroutine of reads. Its result arrives on f.results.
func (f *directoryFollower) startRead(ctx context.Context, read *directoryRead, reads *sync.WaitGroup) {
	var readCtx context.Context
	readCtx, read.cancel = context.WithTimeout(ctx, readTimeout)
	result := readResult{read: read, next: platform.CursorAt(int64(f.position()))}
	if read.all {
		result.next = platform.Cursor{}
	}
	reads.Go(func() {
		defer read.cancel()
		result.changes, result.next, result.err = f.Store.ReadDirectory(readCtx, result.next)
		select {
		case f.results <- result:
		case <-ctx.Done():
		}
	})
}

// handleResult applies the result of a read. Reads older than one that has been answered
// are cancelled, and their results ignored.
func (f *directoryFollower) handleResult(result readResult, now time.Duration) {
	read := result.read
	i := slices.Index(f.pending, read)
	if i < 0 {
		return
	}
	f.pending = slices.Delete(f.pending, i, i+1)
	if result.err != nil {
		f.lastError = result.err
		f.failedReads++
		f.retryAt = now + readRetryPause
		if f.failedReads >= maxFailedReads {
			f.retryAt = now + maxCheckPause
		}
		return
	}
	f.endOutage(now)
	for _, older := range f.pending[:i] {
		older.cancel()
	}
	f.pending = f.pending[i:]
	f.applyRead(result.changes, relay.Position(result.next.Position()), read, now)
	f.failedReads, f.retryAt, f.silentSince = 0, 0, 0
	f.unreachable.Store(false)
}

// position returns the position up to which the directory was read.
func (f *directoryFollower) position() relay.Position {
	at, _ := f.Replica.ConfirmedPosition()
	return at
}

// applyRead applies what was read up to a position, unless a relay has reported a later one
// in the meantime. The read confirms the directory as of its request time either way, unless it is of a
// former era.
//
// Entries that a restored directory lacks are suspected: live upstreams write theirs again.
func (f *directoryFollower) applyRead(c roster.Changes, position relay.Position, read *directoryRead, now time.Duration) {
	before := f.position()
	if position.Era() < before.Era() {
		return
	}
	if position >= before {
		restored := f.isRestored(position)
		if restored {
			f.suspectUntil = now + suspicionPeriod
		}
		if read.all {
			f.restored.release(read.requestedAt)
		}
		c = f.restored.apply(c, restored, f.knownEntry, now)
	}
	if f.Replica.ApplyChanges(c, position, read.requestedAt) {
		known := f.Roster.Upstreams()
		f.applyChanges(c, f.suspectUntil-now)
		f.recordGone(known, now)
		defer f.recordLeaving(known, read, now)
		f.recordCold()
	}
	f.Roster.Confirm(read.requestedAt)
	f.OnUpdate()
}

// endOutage starts the suspicion period if the store was silent for longer than
// outageThreshold.
func (f *directoryFollower) endOutage(now time.Duration) {
	if f.silentSince != 0 && now-f.silentSince > outageThreshold {
		f.suspectUntil = now + suspicionPeriod
	}
}

// Staleness returns the time since the roster was last confirmed to match the directory in
// the store.
func (f *directoryFollower) Staleness() time.Duration {
	return f.stalenessAt(f.Now())
}

func (f *directoryFollower) stalenessAt(now time.Duration) time.Duration {
	return now - f.Roster.ConfirmedAt()
}

// Fresh reports whether requests may be sent by the roster: it is fresh enough, or the
// store is unreachable, so that the last known state has to serve. It is safe for
// concurrent use.
func (f *directoryFollower) Fresh() bool {
	return f.Staleness() <= f.maxAge || f.unreachable.Load()
}

// AwaitFresh blocks until Fresh returns true or ctx is cancelled. It is safe for concurrent
// use.
func (f *directoryFollower) AwaitFresh(ctx context.Context) {
	for !f.Fresh() && ctx.Err() == nil {
		f.wakeUp()
		loop.Sleep(ctx, awaitPollInterval)
	}
}

// wakeUp makes run check immediately whether a read is due.
func (f *directoryFollower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// applyChanges applies what was read to the roster. Vanished entries are suspected for
// suspectFor, or removed immediately if it is not positive.
func (f *directoryFollower) applyChanges(c roster.Changes, suspectFor time.Duration) {
	for _, err := range c.Malformed {
		f.Events.Record(event.EntryOdd, timeline.Fields{"reason": err.Error()})
	}
	if c.Complete {
		f.Roster.Replace(c.Entries, suspectFor)
		return
	}
	for _, e := range c.Entries {
		f.Roster.Put(e)
	}
	for _, id := range c.Removed {
		f.Roster.Remove(id, suspectFor)
	}
}
