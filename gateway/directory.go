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

// Times of reading the directory. The many heartbeats are read together, since each
// would otherwise wake every VM.
const (
	// sendWithin is how long a request may take to an upstream after it was last
	// checked that the upstream has not left.
	maxSendDelay = 300 * time.Millisecond
	// secondAfter is how long an answer is waited for, many times what the store takes
	// when it is well, before the directory is asked for again on another connection.
	repeatReadAfter = 300 * time.Millisecond
	// awayAfter is how long the store must have answered no question to count as away.
	unreachableAfter = 800 * time.Millisecond
	// questionTimeout is when a question is given up.
	readTimeout = 1600 * time.Millisecond
	// maxQuestions bounds the questions without an answer.
	maxPendingReads = 2
	// maxRefused is how many questions in a row must have failed for the store to count
	// as away.
	maxFailedReads = 2
	// directoryRetry is the pause before a question that failed is asked again.
	readRetryPause = 20 * time.Millisecond
	// directoryPause is the longest pause between two looks whether the directory is to
	// be read, and the pause between questions while the store is away.
	maxCheckPause = 250 * time.Millisecond
	// leaderReads is how often the coordinator reads within the bound. Its word reaches
	// the others a message later, which in a large fleet is most of a second.
	coordinatorReadsPerBound = 4
	// relayPart is the part of the bound, in hundredths, at which a relay reads that the
	// coordinator does not tell in time.
	relayReadPercent = 40
	// owedPause is the longest pause while the store owes an answer: so finely are
	// pauses of this VM told from silence of the store.
	pendingCheckPause = 50 * time.Millisecond
	// outage is how long the store must have answered nothing for vanished entries to be
	// doubted after that: entries expire after three heartbeats, of 1.2 s by the sheets.
	outageThreshold = 1200 * time.Millisecond
	// doubtFor is how long after the store's return vanished entries are doubted:
	// upstreams that live are back within about two seconds. It counts from the return
	// for all entries, for one that vanishes later is not due to the outage.
	suspicionPeriod = 2 * time.Second
	// stall is by how much a look comes too late where this VM has stood still.
	stallThreshold = 100 * time.Millisecond
	// awaitCheck is how often a request that waits for the directory looks again.
	awaitPollInterval = 5 * time.Millisecond
)

// DirectoryStore gives the entries of upstreams.
type DirectoryStore interface {
	ReadDirectory(ctx context.Context, from platform.Cursor) (roster.Changes, platform.Cursor, error)
}

// directoryConfig holds the dependencies and the bound of a directoryFollower.
type directoryConfig struct {
	Store  DirectoryStore
	Roster *roster.Roster
	// Now is a clock that goes on while the machine sleeps.
	Now func() time.Duration
	// Within is when a leaving upstream must get nothing new any more.
	DrainWithin time.Duration
	// Replica keeps what was read for other VMs; Learned is called after each change.
	Replica  *relay.Directory
	OnUpdate func()
	// Told reports whether a relay tells this VM of the directory all the time, Awaited
	// whether one is likely to, to a VM that has just started.
	Informed, UpdateExpected func() bool
	// Leads reports whether this VM is the coordinator, Relays whether others follow it
	// besides.
	IsCoordinator, IsRelay func() bool
	Events                 *timeline.Recorder
}

// question is a read of the directory that is under way.
type directoryRead struct {
	requestedAt time.Duration
	cancel      context.CancelFunc
	// cause is why it was asked, before how old the directory was then.
	cause     string
	ageBefore time.Duration
}

// directoryAnswer is the answer to a question.
type readResult struct {
	read    *directoryRead
	changes roster.Changes
	next    platform.Cursor
	err     error
}

// directoryFollower keeps the roster up to date, and tells whether requests may be
// sent by it.
type directoryFollower struct {
	directoryConfig
	// most is how old the directory may be for that, told at what age it is asked for
	// where a relay tells of it: so long before that the store can be found to be away.
	// A VM that no relay tells asks at the age alone, the coordinator at the age lead,
	// and a relay at the age relay, before those that follow it would.
	maxAge, informedAge, standaloneAge, coordinatorAge, relayAge time.Duration

	results chan readResult
	updates chan directoryUpdate
	// out are the questions without an answer, in their order.
	pending []*directoryRead
	// silent is since when the store has answered nothing, 0 if nothing is owed. The
	// time of a pause of this VM does not count.
	silentSince time.Duration
	// refused counts the questions that have failed since, retry is when to ask again.
	failedReads int
	retryAt     time.Duration
	// doubtUntil is until when vanished entries are doubted.
	suspectUntil time.Duration
	// away is set while the store does not answer.
	unreachable atomic.Bool
	// wake is filled to have it looked at once whether the directory is to be read.
	wake chan struct{}

	// late is how old the directory has become above its bound, 0 while it is in time.
	overdueAge time.Duration
	// why is the error of the last question that failed.
	lastError error
	// named holds the leaving upstreams that the log names already.
	logged map[*roster.Upstream]bool
}

func newDirectoryFollower(cfg directoryConfig) *directoryFollower {
	f := &directoryFollower{
		directoryConfig: cfg, results: make(chan readResult), updates: make(chan directoryUpdate), wake: make(chan struct{}, 1), logged: make(map[*roster.Upstream]bool),
	}
	f.maxAge = max(cfg.DrainWithin-maxSendDelay, cfg.DrainWithin/2)
	f.informedAge = max(f.maxAge-unreachableAfter-readRetryPause, f.maxAge/4)
	f.standaloneAge = min(f.informedAge, cfg.DrainWithin/2)
	f.coordinatorAge = min(f.standaloneAge, cfg.DrainWithin/coordinatorReadsPerBound)
	f.relayAge = min(f.informedAge, cfg.DrainWithin*relayReadPercent/100)
	return f
}

// run follows the directory until ctx ends.
func (f *directoryFollower) run(ctx context.Context) error {
	var reads sync.WaitGroup
	defer reads.Wait()
	for now := f.Now(); ctx.Err() == nil; {
		if q := f.nextRead(now); q != nil {
			f.startRead(ctx, q, &reads)
		}
		pause := f.checkPause(now)
		select {
		case <-ctx.Done():
		case a := <-f.results:
			now = f.checkStall(now + pause)
			f.handleResult(a, now)
			continue
		case t := <-f.updates:
			now = f.checkStall(now + pause)
			f.applyUpdate(t, now)
			continue
		case <-f.wake:
		case <-time.After(pause):
		}
		now = f.checkStall(now + pause)
	}
	return ctx.Err()
}

// woke returns the time, and notices whether this VM has stood still past the time at
// which it was to go on.
func (f *directoryFollower) checkStall(expected time.Duration) time.Duration {
	now := f.Now()
	if now-expected > stallThreshold {
		f.resetSilence(now)
	}
	return now
}

// look returns the next question, nil if none is to be asked.
func (f *directoryFollower) nextRead(now time.Duration) *directoryRead {
	confirmedAt := f.Roster.Proved()
	if f.silentSince != 0 && confirmedAt > f.silentSince {
		f.resetSilence(now)
	}
	f.unreachable.Store(f.silentSince != 0 && (now-f.silentSince >= unreachableAfter || f.failedReads >= maxFailedReads))
	f.recordOverdue(now)
	f.Roster.Expire(time.Now())
	cause := f.dueCause(now)
	if cause == "" {
		return nil
	}
	read := &directoryRead{requestedAt: now, cause: cause, ageBefore: now - confirmedAt}
	if f.silentSince == 0 {
		f.silentSince = now
	}
	f.pending = append(f.pending, read)
	return read
}

// recount begins to count anew for how long the store answers nothing. The time of a
// pause is none in which it did not, nor is one in which the coordinator knew the
// directory.
func (f *directoryFollower) resetSilence(now time.Duration) {
	f.silentSince, f.failedReads = 0, 0
	if len(f.pending) > 0 {
		f.silentSince = now
	}
}

// pause returns how long to wait until the next look.
func (f *directoryFollower) checkPause(now time.Duration) time.Duration {
	switch {
	case f.silentSince == 0:
		return min(max(f.readAge()-f.age(now), readRetryPause), maxCheckPause)
	case len(f.pending) == 0:
		return max(f.retryAt-now, 0)
	}
	return pendingCheckPause
}

// asksAt returns the age at which the directory is asked for.
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

// due returns why the directory is to be asked for now, "" if it is not: at its age, or
// because the store owes an answer.
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
	if f.age(now) < f.readAge() || f.Roster.Proved() == 0 && f.UpdateExpected() {
		return ""
	}
	return "interval"
}

// ask puts a question to the store. Its answer comes through the channel.
func (f *directoryFollower) startRead(ctx context.Context, read *directoryRead, reads *sync.WaitGroup) {
	var readCtx context.Context
	readCtx, read.cancel = context.WithTimeout(ctx, readTimeout)
	a := readResult{read: read, next: platform.CursorAt(int64(f.position()))}
	reads.Go(func() {
		defer read.cancel()
		a.changes, a.next, a.err = f.Store.ReadDirectory(readCtx, a.next)
		select {
		case f.results <- a:
		case <-ctx.Done():
		}
	})
}

// hear takes over an answer. One to an older question than was answered already tells
// nothing new.
func (f *directoryFollower) handleResult(a readResult, now time.Duration) {
	read := a.read
	i := slices.Index(f.pending, read)
	if i < 0 {
		return
	}
	f.pending = slices.Delete(f.pending, i, i+1)
	if a.err != nil {
		f.lastError = a.err
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
	f.applyRead(a.changes, relay.Position(a.next.Position()), read, now)
	f.failedReads, f.retryAt, f.silentSince = 0, 0, 0
	f.unreachable.Store(false)
}

// position returns how far the directory was read.
func (f *directoryFollower) position() relay.Position {
	at, _ := f.Replica.Proof()
	return at
}

// read takes over what was read up to a position, unless a relay has told more meanwhile.
func (f *directoryFollower) applyRead(c roster.Changes, position relay.Position, read *directoryRead, now time.Duration) {
	if f.Replica.Take(c, position, read.requestedAt) {
		known := f.Roster.Upstreams()
		f.applyChanges(c, f.suspectUntil-now)
		defer f.recordLeaving(known, read, now)
	}
	f.Roster.Prove(read.requestedAt)
	f.OnUpdate()
}

// endOutage notes that something is known of the store again.
func (f *directoryFollower) endOutage(now time.Duration) {
	if f.silentSince != 0 && now-f.silentSince > outageThreshold {
		f.suspectUntil = now + suspicionPeriod
	}
}

// Age returns how long ago the directory is known to have been what the roster is.
func (f *directoryFollower) Age() time.Duration {
	return f.age(f.Now())
}

func (f *directoryFollower) age(now time.Duration) time.Duration {
	return now - f.Roster.Proved()
}

// InTime reports whether requests may be sent by the directory: it is young enough, or
// the store is away, and what is known has to do.
func (f *directoryFollower) InTime() bool {
	return f.Age() <= f.maxAge || f.unreachable.Load()
}

// Await waits until requests may be sent by the directory, or until ctx ends.
func (f *directoryFollower) Await(ctx context.Context) {
	for !f.InTime() && ctx.Err() == nil {
		f.wakeUp()
		loop.Pause(ctx, awaitPollInterval)
	}
}

// hurry has it looked at once whether the directory is to be read.
func (f *directoryFollower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// take takes over what was read. Entries that have vanished are doubted for a time,
// if it is above 0.
func (f *directoryFollower) applyChanges(c roster.Changes, suspectFor time.Duration) {
	for _, err := range c.Odd {
		f.Events.Record(event.EntryOdd, timeline.Fields{"reason": err.Error()})
	}
	if c.Whole {
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
