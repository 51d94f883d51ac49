package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"toucanfall/catalogue"
	"toucanfall/event"
	"toucanfall/internal/loop"
	"toucanfall/platform"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// Times of reading the store.
const (
	// configWait is how long the store keeps a question for a newer
	// configuration. Each answer proves the one in force, so that its proof is
	// at most twice as old, well within the time in which keys are withdrawn.
	configWait = 1300 * time.Millisecond
	// leaderWait is the same at the coordinator, whose proof others go by.
	leaderWait = 600 * time.Millisecond
	// vouchedWait is the same while the coordinator vouches for the configuration
	// in force: the question is asked for what changes only.
	vouchedWait = 10 * time.Second
	// configMargin is how much later than that a question is given up and asked
	// on a new connection.
	configMargin = 600 * time.Millisecond
	// vouchCheck is how often it is checked that the coordinator still vouches.
	vouchCheck = 200 * time.Millisecond
	// directoryReads is how often the directory is read within the time in which
	// a leaving upstream has to be left alone. The many heartbeats are read
	// together, since each would otherwise wake every VM.
	directoryReads   = 2
	directoryTimeout = 800 * time.Millisecond
	// storeRetry is the pause after a failed question. It doubles with each one
	// that fails, up to slowRetry: the store prices refused calls too, and may turn
	// some VMs away for long.
	storeRetry = 100 * time.Millisecond
	slowRetry  = 800 * time.Millisecond
	// outage is how long reads must have failed for vanished entries to be doubted
	// after them: longer than any answer takes while the store is well.
	outage = 700 * time.Millisecond
	// stall is by how much something comes too late where this VM has stood still.
	stall = 200 * time.Millisecond
)

// ConfigStore gives the operators' configuration.
type ConfigStore interface {
	ReadConfig(ctx context.Context, from platform.Cursor, wait time.Duration) (*catalogue.Config, platform.Cursor, bool, error)
}

// configFollower keeps the catalogue up to date.
type configFollower struct {
	store  ConfigStore
	holder *catalogue.Holder
	now    func() time.Duration
	events *timeline.Recorder
	// vouched tells whether the coordinator vouches for the configuration in
	// force, leads whether this VM is the coordinator.
	vouched func() bool
	leads   func() bool
	// hurried is set after the coordinator stopped vouching.
	hurried bool
	// failures counts the questions that have failed since the last answer.
	failures int
}

// wait returns how long the store is to keep the next question.
func (f *configFollower) wait() time.Duration {
	switch {
	case f.hurried:
		f.hurried = false
		return 0
	case f.vouched():
		return vouchedWait
	case f.leads():
		return leaderWait
	}
	return configWait
}

// run follows the configuration until ctx ends.
func (f *configFollower) run(ctx context.Context) error {
	var cursor platform.Cursor
	for ctx.Err() == nil {
		next, err := f.turn(ctx, cursor)
		if ctx.Err() != nil {
			break
		}
		f.note(err)
		if err != nil {
			loop.Pause(ctx, min(storeRetry<<min(f.failures-1, maxDoublings), slowRetry))
			continue
		}
		cursor = next
	}
	return ctx.Err()
}

// turn asks once, and takes over what is newer.
func (f *configFollower) turn(ctx context.Context, from platform.Cursor) (platform.Cursor, error) {
	asked, wait := f.now(), f.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+configMargin)
	defer cancel()
	if wait == vouchedWait {
		go f.whileVouched(ctx, cancel)
	}
	cfg, next, complete, err := f.store.ReadConfig(ctx, from, wait)
	if wait == vouchedWait && errors.Is(ctx.Err(), context.Canceled) {
		f.hurried = true
		return from, nil // Nobody vouches any more: it is asked again at once.
	}
	if err != nil {
		return from, err
	}
	if cfg != nil && f.holder.Apply(cfg) {
		f.events.Record(event.ConfigApplied, timeline.Fields{"version": fmt.Sprint(cfg.Version), "limits": limitsOf(cfg)})
	}
	if complete {
		f.holder.Prove(asked)
	}
	return next, nil
}

// whileVouched cancels a long question once the coordinator no longer vouches for
// the configuration in force.
func (f *configFollower) whileVouched(ctx context.Context, cancel func()) {
	t := time.NewTicker(vouchCheck)
	defer t.Stop()
	for f.vouched() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
	cancel()
}

// limitsOf lists the limits of the teams for the log.
func limitsOf(cfg *catalogue.Config) string {
	var b strings.Builder
	for _, t := range cfg.Teams {
		fmt.Fprintf(&b, "%s:%g+%d ", t.ID, float64(t.Rate), t.Burst)
	}
	return strings.TrimSpace(b.String())
}

// note records when the store is lost and found.
func (f *configFollower) note(err error) {
	before := f.failures
	if err == nil {
		f.failures = 0
	} else {
		f.failures++
	}
	switch {
	case err != nil && before == 0:
		f.events.Record(event.StoreLost, timeline.Fields{"reason": err.Error()})
	case err == nil && before > 0:
		f.events.Record(event.StoreFound, nil)
	}
}

// maxDoublings keeps the pause within its type; slowRetry bounds it before.
const maxDoublings = 6

// DirectoryStore gives the entries of upstreams.
type DirectoryStore interface {
	ReadDirectory(ctx context.Context, from platform.Cursor) (platform.Changes, platform.Cursor, error)
}

// directoryFollower keeps the roster up to date.
type directoryFollower struct {
	store  DirectoryStore
	roster *roster.Roster
	now    func() time.Duration
	events *timeline.Recorder
	every  time.Duration

	// vouched tells whether the coordinator has read the same as this VM, and whether
	// it has read something else, later.
	vouched func() (same, newer bool)

	cursor platform.Cursor
	// failing is when the first of the reads failed that have failed since the
	// last one that did not, 0 if none has, or if this VM has stood still since.
	failing time.Duration
	// looked is when it was last looked whether the directory is to be read.
	looked time.Duration
	// doubtUntil is until when vanished entries are doubted.
	doubtUntil time.Duration
	// within is how old the directory may become, late how old it has become above
	// that, 0 while it is in time. Why is the error of the last read, cause why the
	// directory is read now.
	within time.Duration
	late   time.Duration
	why    error
	cause  string
	// told holds the leaving upstreams that the log names already.
	told map[*roster.Upstream]bool
}

// doubtFor is how long after the store's return vanished entries are doubted:
// upstreams that live are back within about two seconds. It counts from the return
// for all entries, for one that vanishes later is not due to the outage.
const doubtFor = 2 * time.Second

// directoryChecks is how many times it is looked, between two reads, whether the
// coordinator knows other upstreams.
const directoryChecks = 4

// run follows the directory until ctx ends.
func (f *directoryFollower) run(ctx context.Context) error {
	loop.Every(ctx, f.every/directoryChecks, func(ctx context.Context) {
		if f.now()-f.looked > f.every/directoryChecks+stall {
			f.failing = 0
		}
		if f.due() {
			f.turn(ctx)
		}
		f.watch()
		f.roster.Expire(time.Now())
		f.looked = f.now()
	})
	return ctx.Err()
}

// due reports whether the directory is to be read now: at the usual interval, or
// half as often again where the coordinator reads it and knows the same.
func (f *directoryFollower) due() bool {
	same, newer := f.vouched()
	f.cause = "interval"
	if newer {
		f.cause = "coordinator"
	}
	if same {
		return f.age() >= f.every*3/2
	}
	return newer || f.age() >= f.every-f.every/(2*directoryChecks)
}

// age returns how long ago the directory is known to have been what the roster is.
func (f *directoryFollower) age() time.Duration {
	_, proved := f.roster.Proof()
	return f.now() - proved
}

// watch records when the directory becomes too old, and when it is in time again.
func (f *directoryFollower) watch() {
	_, proved := f.roster.Proof()
	age := f.now() - proved
	switch {
	case proved == 0:
		// It was never read.
	case age > f.within:
		if f.late == 0 {
			f.events.Record(event.DirectoryLate, timeline.Fields{"age_ms": millis(age), "reason": fmt.Sprint(f.why)})
		}
		f.late = max(f.late, age)
	case f.late != 0:
		f.events.Record(event.DirectoryInTime, timeline.Fields{"late_ms": millis(f.late)})
		f.late = 0
	}
}

// millis writes a duration in milliseconds for the log.
func millis(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

func (f *directoryFollower) turn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	asked, before := f.now(), f.age()
	changes, next, err := f.store.ReadDirectory(ctx, f.cursor)
	now := f.now()
	f.why = err
	if err != nil {
		// The configuration's follower tells that the store is lost.
		switch {
		case now-asked > directoryTimeout+stall:
			f.failing = 0
		case f.failing == 0:
			f.failing = now
		}
		return
	}
	if f.failing != 0 && now-f.failing > outage {
		f.doubtUntil = now + doubtFor
	}
	f.failing = 0
	f.cursor = next
	known := f.roster.Upstreams()
	f.take(changes, f.doubtUntil-now)
	f.roster.Prove(asked)
	f.tell(known, now-asked, before)
}

// tell records which of the upstreams that were known get nothing new any more.
func (f *directoryFollower) tell(known []*roster.Upstream, asked, before time.Duration) {
	for _, u := range known {
		how, doubted := u.Leaving()
		if how == "" || f.told[u] {
			continue
		}
		f.told[u] = true
		f.events.Record(event.UpstreamLeaving, timeline.Fields{
			"upstream": string(u.ID), "how": how, "doubted_ms": millis(doubted), "cause": f.cause,
			"asked_ms": millis(asked), "before_ms": millis(before),
		})
	}
	maps.DeleteFunc(f.told, func(u *roster.Upstream, _ bool) bool {
		now, ok := f.roster.Get(u.ID)
		return !ok || now != u
	})
}

// take takes over what was read. Entries that have vanished are doubted for a time,
// if it is above 0.
func (f *directoryFollower) take(c platform.Changes, doubt time.Duration) {
	for _, err := range c.Odd {
		f.events.Record(event.EntryOdd, timeline.Fields{"reason": err.Error()})
	}
	if c.Whole {
		f.roster.Replace(c.Entries, doubt)
		return
	}
	for _, e := range c.Entries {
		f.roster.Put(e)
	}
	for _, id := range c.Removed {
		f.roster.Remove(id, doubt)
	}
}
