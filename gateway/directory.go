package gateway

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"sync/atomic"
	"time"

	"toucanfall/event"
	"toucanfall/internal/loop"
	"toucanfall/platform"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// Times of reading the directory. The many heartbeats are read together, since each
// would otherwise wake every VM.
const (
	// sendWithin is how long a request may take to an upstream after it was last
	// checked that the upstream has not left.
	sendWithin = 300 * time.Millisecond
	// directoryTimeout is how long an answer is waited for, a hundred times what the
	// store takes when it is well. It grows up to slowTimeout while answers take long.
	directoryTimeout = 400 * time.Millisecond
	slowTimeout      = 4 * directoryTimeout
	// directoryRetry is the pause before a failed question is asked again.
	directoryRetry = 20 * time.Millisecond
	// directoryPause is the longest pause between two looks whether the directory is to
	// be read, and the pause between questions while the store is away.
	directoryPause = 250 * time.Millisecond
	// awayAfter is how long the store must have been waited for without an answer to
	// count as away: two questions.
	awayAfter = 2 * directoryTimeout
	// leaderReads is how often the coordinator reads within the bound. Its word reaches
	// the others a message later, which in a large fleet is most of a second.
	leaderReads = 4
	// outage is how long reads must have failed for vanished entries to be doubted
	// after them: longer than any answer takes while the store is well.
	outage = 700 * time.Millisecond
	// doubtFor is how long after the store's return vanished entries are doubted:
	// upstreams that live are back within about two seconds. It counts from the return
	// for all entries, for one that vanishes later is not due to the outage.
	doubtFor = 2 * time.Second
	// stall is by how much something comes too late where this VM has stood still.
	stall = 200 * time.Millisecond
	// awaitCheck is how often a request that waits for the directory looks again.
	awaitCheck = 5 * time.Millisecond
)

// DirectoryStore gives the entries of upstreams.
type DirectoryStore interface {
	ReadDirectory(ctx context.Context, from platform.Cursor) (platform.Changes, platform.Cursor, error)
}

// directoryConfig holds the dependencies and the bound of a directoryFollower.
type directoryConfig struct {
	Store  DirectoryStore
	Roster *roster.Roster
	// Now is a clock that goes on while the machine sleeps.
	Now func() time.Duration
	// Within is when a leaving upstream must get nothing new any more.
	Within time.Duration
	// Vouched tells whether the coordinator has read the same as this VM, and whether
	// it has read something else, later.
	Vouched func() (same, newer bool)
	// Leads reports whether this VM is the coordinator.
	Leads  func() bool
	Events *timeline.Recorder
}

// directoryFollower keeps the roster up to date, and tells whether requests may be
// sent by it.
type directoryFollower struct {
	directoryConfig
	// most is how old the directory may be for that, vouched at what age it is asked
	// for where the coordinator vouches for it: two questions fit in between. A VM that
	// nobody vouches to asks at the age alone, the coordinator at the age lead.
	most, vouched, alone, lead time.Duration

	cursor  platform.Cursor
	timeout time.Duration
	// failing is when the first of the reads failed that have failed since the
	// last one that did not, 0 if none has, or if this VM has stood still since.
	failing time.Duration
	// waited is how long the store was waited for in these reads.
	waited time.Duration
	// expected is by when the next look is due.
	expected time.Duration
	// doubtUntil is until when vanished entries are doubted.
	doubtUntil time.Duration
	// away is set while the store does not answer.
	away atomic.Bool
	// wake is filled to have it looked at once whether the directory is to be read.
	wake chan struct{}

	// late is how old the directory has become above its bound, 0 while it is in time.
	late time.Duration
	// why is the error of the last read, cause why the directory is read now.
	why   error
	cause string
	// told holds the leaving upstreams that the log names already.
	told map[*roster.Upstream]bool
}

func newDirectoryFollower(cfg directoryConfig) *directoryFollower {
	f := &directoryFollower{directoryConfig: cfg, timeout: directoryTimeout, wake: make(chan struct{}, 1), told: make(map[*roster.Upstream]bool)}
	f.most = max(cfg.Within-sendWithin, cfg.Within/2)
	f.vouched = max(f.most-2*(directoryTimeout+directoryRetry), f.most/4)
	f.alone = min(f.vouched, cfg.Within/2)
	f.lead = min(f.alone, cfg.Within/leaderReads)
	return f
}

// run follows the directory until ctx ends.
func (f *directoryFollower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.look(ctx)
		pause := f.pause()
		f.expected = f.Now() + pause
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-time.After(pause):
		}
	}
	return ctx.Err()
}

// look reads the directory if that is due.
func (f *directoryFollower) look(ctx context.Context) {
	_, proved := f.Roster.Proof()
	if f.Now()-f.expected > stall || proved > f.failing {
		f.recount()
	}
	if f.due() {
		f.turn(ctx)
	}
	f.watch()
	f.Roster.Expire(time.Now())
}

// recount begins the count of failed reads anew. The time of a pause is none in which
// the store failed, nor is it an outage where the coordinator knew the directory.
func (f *directoryFollower) recount() {
	f.failing, f.waited = 0, 0
	f.away.Store(false)
}

// pause returns how long to wait until the next look.
func (f *directoryFollower) pause() time.Duration {
	switch {
	case f.away.Load():
		return directoryPause
	case f.failing != 0:
		return directoryRetry
	}
	return min(max(f.asksAt()-f.Age(), directoryRetry), directoryPause)
}

// asksAt returns the age at which the directory is asked for.
func (f *directoryFollower) asksAt() time.Duration {
	if f.Leads() {
		return f.lead
	}
	if same, _ := f.Vouched(); same {
		return f.vouched
	}
	return f.alone
}

// due reports whether the directory is to be read now: at its age, and after a read
// that failed, unless the coordinator has told since what it is.
func (f *directoryFollower) due() bool {
	f.cause = "interval"
	if _, newer := f.Vouched(); newer {
		f.cause = "coordinator"
		return true
	}
	return f.failing != 0 || f.Age() >= f.asksAt()
}

// Age returns how long ago the directory is known to have been what the roster is.
func (f *directoryFollower) Age() time.Duration {
	_, proved := f.Roster.Proof()
	return f.Now() - proved
}

// InTime reports whether requests may be sent by the directory: it is young enough, or
// the store is away, and what is known has to do.
func (f *directoryFollower) InTime() bool {
	return f.Age() <= f.most || f.away.Load()
}

// Await waits until requests may be sent by the directory, or until ctx ends.
func (f *directoryFollower) Await(ctx context.Context) {
	for !f.InTime() && ctx.Err() == nil {
		f.hurry()
		loop.Pause(ctx, awaitCheck)
	}
}

// hurry has it looked at once whether the directory is to be read.
func (f *directoryFollower) hurry() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// watch records when the directory becomes too old, and when it is in time again.
func (f *directoryFollower) watch() {
	_, proved := f.Roster.Proof()
	age := f.Now() - proved
	switch {
	case proved == 0:
		// It was never read.
	case age > f.most:
		if f.late == 0 {
			f.Events.Record(event.DirectoryLate, timeline.Fields{"age_ms": millis(age), "reason": fmt.Sprint(f.why)})
		}
		f.late = max(f.late, age)
	case f.late != 0:
		f.Events.Record(event.DirectoryInTime, timeline.Fields{"late_ms": millis(f.late)})
		f.late = 0
	}
}

// millis writes a duration in milliseconds for the log.
func millis(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// turn reads the directory once.
func (f *directoryFollower) turn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	asked, before := f.Now(), f.Age()
	changes, next, err := f.Store.ReadDirectory(ctx, f.cursor)
	now := f.Now()
	took := now - asked
	f.why = err
	stalled := took > f.timeout+stall
	switch {
	case stalled:
		f.recount()
	case err != nil:
		f.failed(now, took)
	default:
		f.timeout = min(max(2*took, directoryTimeout), slowTimeout)
	}
	if err != nil {
		return
	}
	if f.failing != 0 && now-f.failing > outage {
		f.doubtUntil = now + doubtFor
	}
	f.failing, f.waited = 0, 0
	f.cursor = next
	known := f.Roster.Upstreams()
	f.take(changes, f.doubtUntil-now)
	f.Roster.Prove(asked)
	f.away.Store(false)
	f.tell(known, took, before)
}

// failed counts a read that failed. The configuration's follower tells that the store
// is lost.
func (f *directoryFollower) failed(now, took time.Duration) {
	if f.failing == 0 {
		f.failing = now
	}
	f.waited += max(took, directoryTimeout)
	if f.waited >= awayAfter {
		f.away.Store(true)
		f.timeout = min(2*f.timeout, slowTimeout)
	}
}

// tell records which of the upstreams that were known get nothing new any more.
func (f *directoryFollower) tell(known []*roster.Upstream, asked, before time.Duration) {
	for _, u := range known {
		how, doubted := u.Leaving()
		if how == "" || f.told[u] {
			continue
		}
		f.told[u] = true
		f.Events.Record(event.UpstreamLeaving, timeline.Fields{
			"upstream": string(u.ID), "how": how, "doubted_ms": millis(doubted), "cause": f.cause,
			"asked_ms": millis(asked), "before_ms": millis(before),
		})
	}
	maps.DeleteFunc(f.told, func(u *roster.Upstream, _ bool) bool {
		now, ok := f.Roster.Get(u.ID)
		return !ok || now != u
	})
}

// take takes over what was read. Entries that have vanished are doubted for a time,
// if it is above 0.
func (f *directoryFollower) take(c platform.Changes, doubt time.Duration) {
	for _, err := range c.Odd {
		f.Events.Record(event.EntryOdd, timeline.Fields{"reason": err.Error()})
	}
	if c.Whole {
		f.Roster.Replace(c.Entries, doubt)
		return
	}
	for _, e := range c.Entries {
		f.Roster.Put(e)
	}
	for _, id := range c.Removed {
		f.Roster.Remove(id, doubt)
	}
}
