package gateway

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"toucanfall/catalogue"
	"toucanfall/event"
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
	// configTimeout is when a question is given up and asked on a new
	// connection.
	configTimeout = configWait + 600*time.Millisecond
	// directoryReads is how often the directory is read within the time in which
	// a leaving upstream has to be left alone. The many heartbeats are read
	// together, since each would otherwise wake every VM.
	directoryReads   = 2
	directoryTimeout = 800 * time.Millisecond
	// storeRetry is the pause after a failed question.
	storeRetry = 100 * time.Millisecond
	// outage is how long the store must have been away for vanished entries to
	// be doubted: longer than any answer takes while the store is well.
	outage = 1200 * time.Millisecond
)

// ConfigStore gives the operators' configuration.
type ConfigStore interface {
	ReadConfig(ctx context.Context, from platform.Cursor, wait time.Duration) (*catalogue.Config, platform.Cursor, bool, error)
}

// configFollower keeps the catalogue up to date.
type configFollower struct {
	store   ConfigStore
	holder  *catalogue.Holder
	now     func() time.Duration
	events  *timeline.Recorder
	failing bool
}

// run follows the configuration until ctx ends.
func (f *configFollower) run(ctx context.Context) error {
	var cursor platform.Cursor
	for ctx.Err() == nil {
		next, err := f.turn(ctx, cursor)
		if errors.Is(err, platform.ErrExpired) {
			next, err = f.turn(ctx, platform.Cursor{})
		}
		if ctx.Err() != nil {
			break
		}
		f.note(err)
		if err != nil {
			pause(ctx, storeRetry)
			continue
		}
		cursor = next
	}
	return ctx.Err()
}

// turn asks once, and takes over what is newer.
func (f *configFollower) turn(ctx context.Context, from platform.Cursor) (platform.Cursor, error) {
	asked := f.now()
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	cfg, next, complete, err := f.store.ReadConfig(ctx, from, configWait)
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
	failing := err != nil
	if failing == f.failing {
		return
	}
	f.failing = failing
	if failing {
		f.events.Record(event.StoreLost, timeline.Fields{"reason": err.Error()})
		return
	}
	f.events.Record(event.StoreFound, nil)
}

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

	cursor   platform.Cursor
	answered time.Duration
	// doubtUntil is until when vanished entries are doubted.
	doubtUntil time.Duration
}

// doubtFor is how long after an outage of the store vanished entries are
// doubted: upstreams that live are back within about two seconds.
const doubtFor = 2 * time.Second

// run follows the directory until ctx ends.
func (f *directoryFollower) run(ctx context.Context) error {
	t := time.NewTicker(f.every)
	defer t.Stop()
	for {
		f.turn(ctx)
		f.roster.Expire(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (f *directoryFollower) turn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	changes, next, err := f.store.ReadDirectory(ctx, f.cursor)
	if errors.Is(err, platform.ErrExpired) {
		changes, next, err = f.store.ReadDirectory(ctx, platform.Cursor{})
	}
	if err != nil {
		return // The configuration's follower tells that the store is lost.
	}
	now := f.now()
	if f.answered != 0 && now-f.answered > outage {
		f.doubtUntil = now + doubtFor
	}
	f.answered, f.cursor = now, next
	f.take(changes, now < f.doubtUntil)
}

func (f *directoryFollower) take(c platform.Changes, doubtful bool) {
	for _, err := range c.Odd {
		f.events.Record(event.EntryOdd, timeline.Fields{"reason": err.Error()})
	}
	if c.Whole {
		f.roster.Replace(c.Entries, doubtful)
		return
	}
	for _, e := range c.Entries {
		f.roster.Put(e)
	}
	for _, id := range c.Removed {
		f.roster.Remove(id, doubtful)
	}
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
