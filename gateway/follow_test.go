package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/catalogue"
	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/platform"
	"toucanfall/relay"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// never is a question whose answer is no.
func never() bool { return false }

// clockOf returns a clock that began an hour before start.
func clockOf(start time.Time) func() time.Duration {
	return func() time.Duration { return time.Since(start) + time.Hour }
}

// times are those of the smallest bounds of the sites.
var times = newConfigTimes(2*time.Second, 5*time.Second)

// directory is a directory with one upstream until it is removed. It tells each
// change once, as the store does to those that read on.
type directory struct {
	down    atomic.Bool
	removed atomic.Bool
	// told counts the changes that were read.
	told atomic.Int64
	// silent is set while reads get no answer.
	silent atomic.Bool
	// slow is how long answers take. They tell what stood there when they began.
	slow atomic.Int64
}

func (d *directory) ReadDirectory(ctx context.Context, _ platform.Cursor) (roster.Changes, platform.Cursor, error) {
	changes, err := d.changes(ctx)
	select {
	case <-time.After(time.Duration(d.slow.Load())):
		return changes, platform.Cursor{}, err
	case <-ctx.Done():
		return roster.Changes{}, platform.Cursor{}, ctx.Err()
	}
}

func (d *directory) changes(ctx context.Context) (roster.Changes, error) {
	switch {
	case d.silent.Load():
		<-ctx.Done()
		return roster.Changes{}, ctx.Err()
	case d.down.Load():
		return roster.Changes{}, errors.New("the store is down")
	case d.removed.Load() && d.told.CompareAndSwap(1, 2):
		return roster.Changes{Removed: []fleet.UpstreamID{"u"}}, nil
	case d.told.CompareAndSwap(0, 1):
		return roster.Changes{Entries: []roster.Entry{{ID: "u", Address: "192.0.2.1:80"}}}, nil
	}
	return roster.Changes{}, nil
}

// A vanished entry is believed at once, however seldom the directory is read and
// though this VM was frozen, unless the store was away just before.
func TestVanishedEntryIsBelieved(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 1500 * time.Millisecond, 4 * time.Second} {
		for _, before := range []string{"nothing", "outage", "freeze"} {
			synctest.Test(t, func(t *testing.T) { vanish(t, every, before) })
		}
	}
}

// vanish lets an entry vanish after something else has happened.
func vanish(t *testing.T, every time.Duration, before string) {
	is := is.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	d, start := &directory{}, time.Now()
	var frozen atomic.Int64
	f := newDirectoryFollower(directoryConfig{
		Store: d, Roster: roster.New(), Events: timeline.New("test", 16, logger), Within: 2 * every,
		Now:     func() time.Duration { return time.Since(start) + time.Hour + time.Duration(frozen.Load()) },
		Replica: relay.NewDirectory(), Learned: func() {},
		Told: never, Awaited: never, Leads: never, Relays: never,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.run(ctx) }()
	time.Sleep(5 * every)
	is.Equal(len(f.Roster.Upstreams()), 1)
	d.down.Store(before == "outage")
	time.Sleep(2*every + time.Second)
	if before == "freeze" {
		frozen.Store(int64(4 * time.Second))
	}
	d.down.Store(false)
	d.removed.Store(true)
	if before == "outage" {
		time.Sleep(every/2 + time.Millisecond) // It is read as soon as it can be.
		is.Equal(len(f.Roster.Upstreams()), 1)
		time.Sleep(doubtFor)
	}
	time.Sleep(every + every/4)
	is.Equal(len(f.Roster.Upstreams()), 0)
	cancel()
	is.Equal(<-ended, context.Canceled)
}

// away is a store that answers nothing.
type away struct{ asked atomic.Int64 }

func (a *away) ReadConfig(context.Context, platform.Cursor, time.Duration) (*catalogue.Config, platform.Cursor, bool, error) {
	a.asked.Add(1)
	return nil, platform.Cursor{}, false, errors.New("the store turns this VM away")
}

// A store that turns a VM away for long is asked ever more seldom, down to some
// once a second.
func TestStoreThatTurnsAwayIsAskedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		a, start := &away{}, time.Now()
		f := &configFollower{
			store: a, events: timeline.New("test", 16, logger), now: func() time.Duration { return time.Since(start) },
			holder: catalogue.NewHolder(clockOf(start)), times: times,
			told: never, awaited: never, leads: never, relays: never, learned: func() {},
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.Equal(f.run(ctx), context.DeadlineExceeded)
		is.True(a.asked.Load() <= 80)
	})
}

// The log tells when this VM has read that an upstream leaves, and how old what it
// knew was; and when the directory is older than upstreams may leave in.
func TestLogTellsWhenLeavingWasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		d, events, start := &directory{}, timeline.New("test", 16, logger), time.Now()
		f := newDirectoryFollower(directoryConfig{
			Store: d, Roster: roster.New(), Events: events, Within: 2 * time.Second,
			Now:     func() time.Duration { return time.Since(start) + time.Hour },
			Replica: relay.NewDirectory(), Learned: func() {},
			Told: never, Awaited: never, Leads: never, Relays: never,
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- f.run(ctx) }()
		time.Sleep(1500 * time.Millisecond)
		d.removed.Store(true)
		time.Sleep(time.Second)
		told := events.Entries(timeline.Filter{Name: event.UpstreamLeaving.Name})
		is.Equal(len(told), 1)
		is.Equal(told[0].Fields["upstream"], "u")
		is.Equal(told[0].Fields["how"], "removed")
		is.Equal(told[0].Fields["before_ms"], "880") // the age at which it is asked for
		is.Equal(told[0].Fields["cause"], "interval")
		d.down.Store(true)
		time.Sleep(3 * time.Second)
		late := events.Entries(timeline.Filter{Name: event.DirectoryLate.Name})
		is.Equal(len(late), 1)
		is.Equal(late[0].Fields["reason"], "the store is down")
		d.down.Store(false)
		time.Sleep(time.Second)
		is.Equal(len(events.Entries(timeline.Filter{Name: event.DirectoryInTime.Name})), 1)
		cancel()
		is.Equal(<-ended, context.Canceled)
	})
}

// windDown is how long questions go on that are held after the end of a test.
const windDown = 5 * time.Second

// paused runs a test under the paused clock. Its context ends with it.
func paused(t *testing.T, test func(ctx context.Context, is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(windDown)
		defer cancel()
		test(ctx, is.New(t))
	})
}

// followed is a follower of a directory, under the paused clock.
type followed struct {
	*directoryFollower
	d      *directory
	frozen atomic.Int64
}

// follow starts a follower that no relay tells. Its VM may be frozen.
func follow(ctx context.Context) *followed {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f, start := &followed{d: &directory{}}, time.Now()
	f.directoryFollower = newDirectoryFollower(directoryConfig{
		Store: f.d, Roster: roster.New(), Events: timeline.New("test", 64, logger), Within: 2 * time.Second,
		Now:     func() time.Duration { return time.Since(start) + time.Hour + time.Duration(f.frozen.Load()) },
		Replica: relay.NewDirectory(), Learned: func() {},
		Told: never, Awaited: never, Leads: never, Relays: never,
	})
	go func() { _ = f.run(ctx) }() // It ends with ctx.
	return f
}

// usable reports whether requests may be sent to the upstream.
func (f *followed) usable() bool {
	u, ok := f.Roster.Get("u")
	return ok && u.Usable()
}

// Guards against a removed upstream that is used for long because the VM was cut from
// the store before: what is missing 2 s after the store's return is gone.
func TestDoubtEndsAfterOutage(t *testing.T) {
	for _, removed := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond, 1900 * time.Millisecond} {
		paused(t, func(ctx context.Context, is *is.I) {
			f := follow(ctx)
			time.Sleep(3 * time.Second)
			f.d.down.Store(true)
			time.Sleep(3 * time.Second)
			f.d.down.Store(false)
			time.Sleep(removed)
			f.d.removed.Store(true)
			// The return is noticed within a quarter of a second, the removal within a
			// read's interval.
			time.Sleep(max(doubtFor+300*time.Millisecond-removed, 1300*time.Millisecond))
			is.True(!f.usable())
		})
	}
}

// Guards against a removed upstream that is used for long because the VM stood still
// twice: the time of a pause is none in which the store failed.
func TestPausesAreNoOutage(t *testing.T) {
	paused(t, func(ctx context.Context, is *is.I) {
		f := follow(ctx)
		time.Sleep(3100 * time.Millisecond)
		f.d.silent.Store(true)
		time.Sleep(1400 * time.Millisecond)
		f.frozen.Add(int64(2 * time.Second)) // in the middle of a read
		time.Sleep(400 * time.Millisecond)
		f.d.silent.Store(false)
		f.frozen.Add(int64(2 * time.Second)) // before the next one
		time.Sleep(300 * time.Millisecond)
		f.d.removed.Store(true)
		time.Sleep(1300 * time.Millisecond)
		is.True(!f.usable())
	})
}

// Guards against a directory that is taken for younger than it is: an answer tells
// what held when the question was asked, not when it arrived.
func TestDirectoryAgeCountsFromQuestion(t *testing.T) {
	paused(t, func(ctx context.Context, is *is.I) {
		f := follow(ctx)
		f.d.slow.Store(int64(300 * time.Millisecond))
		time.Sleep(301 * time.Millisecond)
		is.Equal(f.Staleness(), 301*time.Millisecond)
	})
}

// versions is a store whose configuration changes. It answers a question when there is
// a newer one or the time is over, and loses the answers to some questions.
type versions struct {
	newest atomic.Int64
	// told is the newest that was answered.
	told atomic.Int64
	// lose is how many of the next answers are lost.
	lose atomic.Int64
}

func (v *versions) ReadConfig(ctx context.Context, _ platform.Cursor, wait time.Duration) (*catalogue.Config, platform.Cursor, bool, error) {
	lost := v.lose.Add(-1) >= 0
	for end := time.Now().Add(wait); lost || v.newest.Load() == v.told.Load() && time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return nil, platform.Cursor{}, false, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	v.told.Store(v.newest.Load())
	return catalogue.NewConfig(catalogue.Version(v.newest.Load()), nil, nil, nil, catalogue.Limits{}), platform.Cursor{}, true, nil
}

// Guards against a configuration that is in force too late (CONFIG) where one answer of
// the store is lost and no relay tells: it is asked for again well within the bound of
// 2 s of the sites.
func TestLostAnswerDelaysNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		v, start := &versions{}, time.Now()
		v.newest.Store(2)
		now := func() time.Duration { return time.Since(start) + time.Hour }
		f := &configFollower{
			store: v, holder: catalogue.NewHolder(now), events: timeline.New("test", 16, logger), now: now,
			times: times,
			told:  never, awaited: never, leads: never, relays: never, learned: func() {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- f.run(ctx) }()
		for delay := range 14 { // at any time of a question
			time.Sleep(10*time.Second + time.Duration(delay)*100*time.Millisecond)
			v.lose.Store(1)
			asked, _ := f.holder.Current()
			time.Sleep(times.wait + time.Millisecond) // The question that is lost has begun.
			v.newest.Add(1)
			time.Sleep(2*time.Second - sendWithin)
			got, _ := f.holder.Current()
			is.Equal(got.Version, asked.Version+1)
		}
		cancel()
		is.Equal(<-ended, context.Canceled)
	})
}
