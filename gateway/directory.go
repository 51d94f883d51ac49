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
	sendWithin = 300 * time.Millisecond
	// secondAfter is how long an answer is waited for, many times what the store takes
	// when it is well, before the directory is asked for again on another connection.
	secondAfter = 300 * time.Millisecond
	// awayAfter is how long the store must have answered no question to count as away.
	awayAfter = 800 * time.Millisecond
	// questionTimeout is when a question is given up.
	questionTimeout = 1600 * time.Millisecond
	// maxQuestions bounds the questions without an answer.
	maxQuestions = 2
	// maxRefused is how many questions in a row must have failed for the store to count
	// as away.
	maxRefused = 2
	// directoryRetry is the pause before a question that failed is asked again.
	directoryRetry = 20 * time.Millisecond
	// directoryPause is the longest pause between two looks whether the directory is to
	// be read, and the pause between questions while the store is away.
	directoryPause = 250 * time.Millisecond
	// leaderReads is how often the coordinator reads within the bound. Its word reaches
	// the others a message later, which in a large fleet is most of a second.
	leaderReads = 4
	// relayPart is the part of the bound, in hundredths, at which a relay reads that the
	// coordinator does not tell in time.
	relayPart = 40
	// owedPause is the longest pause while the store owes an answer: so finely are
	// pauses of this VM told from silence of the store.
	owedPause = 50 * time.Millisecond
	// outage is how long the store must have answered nothing for vanished entries to be
	// doubted after that: entries expire after three heartbeats, of 1.2 s by the sheets.
	outage = 1200 * time.Millisecond
	// doubtFor is how long after the store's return vanished entries are doubted:
	// upstreams that live are back within about two seconds. It counts from the return
	// for all entries, for one that vanishes later is not due to the outage.
	doubtFor = 2 * time.Second
	// stall is by how much a look comes too late where this VM has stood still.
	stall = 100 * time.Millisecond
	// awaitCheck is how often a request that waits for the directory looks again.
	awaitCheck = 5 * time.Millisecond
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
	Within time.Duration
	// Replica keeps what was read for other VMs; Learned is called after each change.
	Replica *relay.Directory
	Learned func()
	// Told reports whether a relay tells this VM of the directory all the time, Awaited
	// whether one is likely to, to a VM that has just started.
	Told, Awaited func() bool
	// Leads reports whether this VM is the coordinator, Relays whether others follow it
	// besides.
	Leads, Relays func() bool
	Events        *timeline.Recorder
}

// question is a read of the directory that is under way.
type question struct {
	asked  time.Duration
	cancel context.CancelFunc
	// cause is why it was asked, before how old the directory was then.
	cause  string
	before time.Duration
}

// directoryAnswer is the answer to a question.
type directoryAnswer struct {
	to      *question
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
	most, told, alone, lead, relay time.Duration

	answers chan directoryAnswer
	news    chan told
	// out are the questions without an answer, in their order.
	out []*question
	// silent is since when the store has answered nothing, 0 if nothing is owed. The
	// time of a pause of this VM does not count.
	silent time.Duration
	// refused counts the questions that have failed since, retry is when to ask again.
	refused int
	retry   time.Duration
	// doubtUntil is until when vanished entries are doubted.
	doubtUntil time.Duration
	// away is set while the store does not answer.
	away atomic.Bool
	// wake is filled to have it looked at once whether the directory is to be read.
	wake chan struct{}

	// late is how old the directory has become above its bound, 0 while it is in time.
	late time.Duration
	// why is the error of the last question that failed.
	why error
	// named holds the leaving upstreams that the log names already.
	named map[*roster.Upstream]bool
}

func newDirectoryFollower(cfg directoryConfig) *directoryFollower {
	f := &directoryFollower{
		directoryConfig: cfg, answers: make(chan directoryAnswer), news: make(chan told), wake: make(chan struct{}, 1), named: make(map[*roster.Upstream]bool),
	}
	f.most = max(cfg.Within-sendWithin, cfg.Within/2)
	f.told = max(f.most-awayAfter-directoryRetry, f.most/4)
	f.alone = min(f.told, cfg.Within/2)
	f.lead = min(f.alone, cfg.Within/leaderReads)
	f.relay = min(f.told, cfg.Within*relayPart/100)
	return f
}

// run follows the directory until ctx ends.
func (f *directoryFollower) run(ctx context.Context) error {
	var asking sync.WaitGroup
	defer asking.Wait()
	for now := f.Now(); ctx.Err() == nil; {
		if q := f.look(now); q != nil {
			f.ask(ctx, q, &asking)
		}
		pause := f.pause(now)
		select {
		case <-ctx.Done():
		case a := <-f.answers:
			now = f.woke(now + pause)
			f.hear(a, now)
			continue
		case t := <-f.news:
			now = f.woke(now + pause)
			f.learn(t, now)
			continue
		case <-f.wake:
		case <-time.After(pause):
		}
		now = f.woke(now + pause)
	}
	return ctx.Err()
}

// woke returns the time, and notices whether this VM has stood still past the time at
// which it was to go on.
func (f *directoryFollower) woke(expected time.Duration) time.Duration {
	now := f.Now()
	if now-expected > stall {
		f.recount(now)
	}
	return now
}

// look returns the next question, nil if none is to be asked.
func (f *directoryFollower) look(now time.Duration) *question {
	proved := f.Roster.ConfirmedAt()
	if f.silent != 0 && proved > f.silent {
		f.recount(now)
	}
	f.away.Store(f.silent != 0 && (now-f.silent >= awayAfter || f.refused >= maxRefused))
	f.watch(now)
	f.Roster.Expire(time.Now())
	cause := f.due(now)
	if cause == "" {
		return nil
	}
	q := &question{asked: now, cause: cause, before: now - proved}
	if f.silent == 0 {
		f.silent = now
	}
	f.out = append(f.out, q)
	return q
}

// recount begins to count anew for how long the store answers nothing. The time of a
// pause is none in which it did not, nor is one in which the coordinator knew the
// directory.
func (f *directoryFollower) recount(now time.Duration) {
	f.silent, f.refused = 0, 0
	if len(f.out) > 0 {
		f.silent = now
	}
}

// pause returns how long to wait until the next look.
func (f *directoryFollower) pause(now time.Duration) time.Duration {
	switch {
	case f.silent == 0:
		return min(max(f.asksAt()-f.age(now), directoryRetry), directoryPause)
	case len(f.out) == 0:
		return max(f.retry-now, 0)
	}
	return owedPause
}

// asksAt returns the age at which the directory is asked for.
func (f *directoryFollower) asksAt() time.Duration {
	switch {
	case f.Leads():
		return f.lead
	case f.Relays():
		return f.relay
	case f.Told():
		return f.told
	}
	return f.alone
}

// due returns why the directory is to be asked for now, "" if it is not: at its age, or
// because the store owes an answer.
func (f *directoryFollower) due(now time.Duration) string {
	switch {
	case len(f.out) >= maxQuestions, now < f.retry:
		return ""
	case f.silent != 0:
		if len(f.out) > 0 && now-f.silent < secondAfter {
			return ""
		}
		return "repeat"
	}
	if f.age(now) < f.asksAt() || f.Roster.ConfirmedAt() == 0 && f.Awaited() {
		return ""
	}
	return "interval"
}

// ask puts a question to the store. Its answer comes through the channel.
func (f *directoryFollower) ask(ctx context.Context, q *question, asking *sync.WaitGroup) {
	var limited context.Context
	limited, q.cancel = context.WithTimeout(ctx, questionTimeout)
	a := directoryAnswer{to: q, next: platform.CursorAt(int64(f.position()))}
	asking.Go(func() {
		defer q.cancel()
		a.changes, a.next, a.err = f.Store.ReadDirectory(limited, a.next)
		select {
		case f.answers <- a:
		case <-ctx.Done():
		}
	})
}

// hear takes over an answer. One to an older question than was answered already tells
// nothing new.
func (f *directoryFollower) hear(a directoryAnswer, now time.Duration) {
	q := a.to
	i := slices.Index(f.out, q)
	if i < 0 {
		return
	}
	f.out = slices.Delete(f.out, i, i+1)
	if a.err != nil {
		f.why = a.err
		f.refused++
		f.retry = now + directoryRetry
		if f.refused >= maxRefused {
			f.retry = now + directoryPause
		}
		return
	}
	f.endOutage(now)
	for _, older := range f.out[:i] {
		older.cancel()
	}
	f.out = f.out[i:]
	f.read(a.changes, relay.Position(a.next.Position()), q, now)
	f.refused, f.retry, f.silent = 0, 0, 0
	f.away.Store(false)
}

// position returns how far the directory was read.
func (f *directoryFollower) position() relay.Position {
	at, _ := f.Replica.ConfirmedPosition()
	return at
}

// read takes over what was read up to a position, unless a relay has told more meanwhile.
func (f *directoryFollower) read(c roster.Changes, position relay.Position, q *question, now time.Duration) {
	if f.Replica.ApplyChanges(c, position, q.asked) {
		known := f.Roster.Upstreams()
		f.take(c, f.doubtUntil-now)
		defer f.tell(known, q, now)
	}
	f.Roster.Confirm(q.asked)
	f.Learned()
}

// endOutage notes that something is known of the store again.
func (f *directoryFollower) endOutage(now time.Duration) {
	if f.silent != 0 && now-f.silent > outage {
		f.doubtUntil = now + doubtFor
	}
}

// Age returns how long ago the directory is known to have been what the roster is.
func (f *directoryFollower) Staleness() time.Duration {
	return f.age(f.Now())
}

func (f *directoryFollower) age(now time.Duration) time.Duration {
	return now - f.Roster.ConfirmedAt()
}

// InTime reports whether requests may be sent by the directory: it is young enough, or
// the store is away, and what is known has to do.
func (f *directoryFollower) Fresh() bool {
	return f.Staleness() <= f.most || f.away.Load()
}

// Await waits until requests may be sent by the directory, or until ctx ends.
func (f *directoryFollower) AwaitFresh(ctx context.Context) {
	for !f.Fresh() && ctx.Err() == nil {
		f.hurry()
		loop.Sleep(ctx, awaitCheck)
	}
}

// hurry has it looked at once whether the directory is to be read.
func (f *directoryFollower) hurry() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// take takes over what was read. Entries that have vanished are doubted for a time,
// if it is above 0.
func (f *directoryFollower) take(c roster.Changes, doubt time.Duration) {
	for _, err := range c.Malformed {
		f.Events.Record(event.EntryOdd, timeline.Fields{"reason": err.Error()})
	}
	if c.Complete {
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
