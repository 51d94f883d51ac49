package gateway

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
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

// never is a condition that is always false.
func never() bool { return false }

// clockOf returns a clock that reads one hour at start.
func clockOf(start time.Time) func() time.Duration {
	return func() time.Duration { return time.Since(start) + time.Hour }
}

// testTimes are those of the smallest bounds in the deployments.
var testTimes = newConfigTimes(2*time.Second, 5*time.Second)

// oneUpstreamDirectory is a directory that holds one upstream until removed is set. Like
// the store for a continuing reader, it returns each change once.
type oneUpstreamDirectory struct {
	down    atomic.Bool
	removed atomic.Bool
	// changesRead counts the changes that were returned.
	changesRead atomic.Int64
	// silent is set while reads get no answer.
	silent atomic.Bool
	// delay is how long answers take, in nanoseconds. They return the state at the start of
	// the read.
	delay atomic.Int64
}

func (d *oneUpstreamDirectory) ReadDirectory(ctx context.Context, _ platform.Cursor) (roster.Changes, platform.Cursor, error) {
	changes, err := d.changes(ctx)
	select {
	case <-time.After(time.Duration(d.delay.Load())):
		return changes, platform.Cursor{}, err
	case <-ctx.Done():
		return roster.Changes{}, platform.Cursor{}, ctx.Err()
	}
}

func (d *oneUpstreamDirectory) changes(ctx context.Context) (roster.Changes, error) {
	switch {
	case d.silent.Load():
		<-ctx.Done()
		return roster.Changes{}, ctx.Err()
	case d.down.Load():
		return roster.Changes{}, errors.New("the store is down")
	case d.removed.Load() && d.changesRead.CompareAndSwap(1, 2):
		return roster.Changes{Removed: []fleet.UpstreamID{"u"}}, nil
	case d.changesRead.CompareAndSwap(0, 1):
		return roster.Changes{Entries: []roster.Entry{{ID: "u", Address: "192.0.2.1:80"}}}, nil
	}
	return roster.Changes{}, nil
}

// A vanished entry is removed at the next read, whatever the read interval and also after a
// pause of this VM, unless the store was unreachable just before.
func TestVanishedEntryIsRemoved(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 1500 * time.Millisecond, 4 * time.Second} {
		for _, before := range []string{"nothing", "outage", "freeze"} {
			synctest.Test(t, func(t *testing.T) { testVanishedEntry(t, every, before) })
		}
	}
}

// testVanishedEntry removes an entry after the event before: "nothing", "outage" or
// "freeze".
func testVanishedEntry(t *testing.T, every time.Duration, before string) {
	is := is.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	d, start := &oneUpstreamDirectory{}, time.Now()
	var frozen atomic.Int64
	f := newDirectoryFollower(directoryConfig{
		Store: d, Roster: roster.New(), Events: timeline.New("test", 16, logger), DrainWithin: 2 * every,
		Now:     func() time.Duration { return time.Since(start) + time.Hour + time.Duration(frozen.Load()) },
		Replica: relay.NewDirectory(), OnUpdate: func() {},
		Informed: never, UpdateExpected: never, IsCoordinator: never, IsRelay: never,
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
		time.Sleep(every/2 + time.Millisecond) // It is read as soon as the store answers.
		is.Equal(len(f.Roster.Upstreams()), 1)
		time.Sleep(suspicionPeriod)
	}
	time.Sleep(every + every/4)
	is.Equal(len(f.Roster.Upstreams()), 0)
	cancel()
	is.Equal(<-ended, context.Canceled)
}

// failingStore is a store that rejects every read.
type failingStore struct{ requests atomic.Int64 }

func (a *failingStore) ReadConfig(context.Context, platform.Cursor, time.Duration) (catalogue.Update, platform.Cursor, bool, error) {
	a.requests.Add(1)
	return catalogue.Update{}, platform.Cursor{}, false, errors.New("the store rejects this VM")
}

// A store that keeps rejecting a VM is polled less and less often, down to about once a
// second.
func TestRejectingStoreIsPolledWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		a, start := &failingStore{}, time.Now()
		f := &configFollower{
			store: a, events: timeline.New("test", 16, logger), now: func() time.Duration { return time.Since(start) },
			holder: catalogue.NewHolder(clockOf(start)), times: testTimes,
			informed: never, updateExpected: never, isCoordinator: never, isRelay: never, onUpdate: func() {},
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.Equal(f.run(ctx), context.DeadlineExceeded)
		is.True(a.requests.Load() <= 80)
	})
}

// The log records when this VM read that an upstream leaves and how old its directory was
// then, and when the directory has become too old to send requests by.
func TestLeavingUpstreamIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		d, events, start := &oneUpstreamDirectory{}, timeline.New("test", 16, logger), time.Now()
		f := newDirectoryFollower(directoryConfig{
			Store: d, Roster: roster.New(), Events: events, DrainWithin: 2 * time.Second,
			Now:     func() time.Duration { return time.Since(start) + time.Hour },
			Replica: relay.NewDirectory(), OnUpdate: func() {},
			Informed: never, UpdateExpected: never, IsCoordinator: never, IsRelay: never,
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- f.run(ctx) }()
		time.Sleep(1500 * time.Millisecond)
		d.removed.Store(true)
		time.Sleep(time.Second)
		leaving := events.Entries(timeline.Filter{Name: event.UpstreamLeaving.Name})
		is.Equal(len(leaving), 1)
		is.Equal(leaving[0].Fields["upstream"], "u")
		is.Equal(leaving[0].Fields["how"], "removed")
		is.Equal(leaving[0].Fields["before_ms"], "880") // the age at which it is read
		is.Equal(leaving[0].Fields["cause"], "interval")
		d.down.Store(true)
		time.Sleep(3 * time.Second)
		overdue := events.Entries(timeline.Filter{Name: event.DirectoryLate.Name})
		is.Equal(len(overdue), 1)
		is.Equal(overdue[0].Fields["reason"], "the store is down")
		d.down.Store(false)
		time.Sleep(time.Second)
		is.Equal(len(events.Entries(timeline.Filter{Name: event.DirectoryInTime.Name})), 1)
		cancel()
		is.Equal(<-ended, context.Canceled)
	})
}

// drainPeriod covers the requests that are still held at the end of a test.
const drainPeriod = 5 * time.Second

// withFakeClock runs a test under the fake clock of synctest. Its context is cancelled at
// the end of the test.
func withFakeClock(t *testing.T, test func(ctx context.Context, is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(drainPeriod)
		defer cancel()
		test(ctx, is.New(t))
	})
}

// testFollower is a follower of a oneUpstreamDirectory under the fake clock. frozen is the
// total time of its VM's pauses, in nanoseconds.
type testFollower struct {
	*directoryFollower
	d      *oneUpstreamDirectory
	frozen atomic.Int64
}

// startFollower starts a follower without a relay.
func startFollower(ctx context.Context) *testFollower {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f, start := &testFollower{d: &oneUpstreamDirectory{}}, time.Now()
	f.directoryFollower = newDirectoryFollower(directoryConfig{
		Store: f.d, Roster: roster.New(), Events: timeline.New("test", 64, logger), DrainWithin: 2 * time.Second,
		Now:     func() time.Duration { return time.Since(start) + time.Hour + time.Duration(f.frozen.Load()) },
		Replica: relay.NewDirectory(), OnUpdate: func() {},
		Informed: never, UpdateExpected: never, IsCoordinator: never, IsRelay: never,
	})
	go func() { _ = f.run(ctx) }() // It ends when ctx does.
	return f
}

// usable reports whether requests may be sent to the upstream.
func (f *testFollower) usable() bool {
	u, ok := f.Roster.Get("u")
	return ok && u.Usable()
}

// Guards against a removed upstream that stays in use because the VM was cut off from the
// store before: entries still missing 2 s after the store's return are removed.
func TestSuspicionEndsAfterOutage(t *testing.T) {
	for _, removed := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond, 1900 * time.Millisecond} {
		withFakeClock(t, func(ctx context.Context, is *is.I) {
			f := startFollower(ctx)
			time.Sleep(3 * time.Second)
			f.d.down.Store(true)
			time.Sleep(3 * time.Second)
			f.d.down.Store(false)
			time.Sleep(removed)
			f.d.removed.Store(true)
			// The store's return is noticed within a quarter of a second, the removal
			// within one read interval.
			time.Sleep(max(suspicionPeriod+300*time.Millisecond-removed, 1300*time.Millisecond))
			is.True(!f.usable())
		})
	}
}

// Guards against a removed upstream that stays in use because the VM was paused twice: the
// time of a pause does not count as an outage of the store.
func TestVMPausesAreNoOutage(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		f := startFollower(ctx)
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

// Guards against a directory whose age is underestimated: an answer describes the state
// when the read was requested, not when it arrived.
func TestDirectoryAgeCountsFromRequest(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		f := startFollower(ctx)
		f.d.delay.Store(int64(300 * time.Millisecond))
		time.Sleep(301 * time.Millisecond)
		is.Equal(f.Staleness(), 301*time.Millisecond)
	})
}

// versionedStore is a store whose configuration changes. It answers when there is a newer
// version or the wait is over, and loses some answers.
type versionedStore struct {
	newest atomic.Int64
	// lastAnswered is the newest version that was returned.
	lastAnswered atomic.Int64
	// losses is how many of the next answers are lost.
	losses atomic.Int64
}

func (v *versionedStore) ReadConfig(ctx context.Context, _ platform.Cursor, wait time.Duration) (catalogue.Update, platform.Cursor, bool, error) {
	lost := v.losses.Add(-1) >= 0
	for end := time.Now().Add(wait); lost || v.newest.Load() == v.lastAnswered.Load() && time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return catalogue.Update{}, platform.Cursor{}, false, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	v.lastAnswered.Store(v.newest.Load())
	return catalogue.Update{Config: catalogue.NewConfig(catalogue.Version(v.newest.Load()), nil, nil, nil, catalogue.Limits{})}, platform.Cursor{}, true, nil
}

// Guards against a configuration that is applied too late (CONFIG) when one answer of the
// store is lost and no relay reports it: the store is polled again well within the bound of
// 2 s of the deployments.
func TestLostAnswerKeepsConfigBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		v, start := &versionedStore{}, time.Now()
		v.newest.Store(2)
		now := func() time.Duration { return time.Since(start) + time.Hour }
		f := &configFollower{
			store: v, holder: catalogue.NewHolder(now), events: timeline.New("test", 16, logger), now: now,
			times:    testTimes,
			informed: never, updateExpected: never, isCoordinator: never, isRelay: never, onUpdate: func() {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- f.run(ctx) }()
		for delay := range 14 { // at any point of a poll
			time.Sleep(10*time.Second + time.Duration(delay)*100*time.Millisecond)
			v.losses.Store(1)
			asked, _ := f.holder.Current()
			time.Sleep(testTimes.wait + time.Millisecond) // The poll whose answer is lost has begun.
			v.newest.Add(1)
			time.Sleep(2*time.Second - maxSendDelay)
			got, _ := f.holder.Current()
			is.Equal(got.Version, asked.Version+1)
		}
		cancel()
		is.Equal(<-ended, context.Canceled)
	})
}

// slowLinkStore is a store behind a slow link: each version in an answer takes perVersion. It
// counts the polls.
type slowLinkStore struct {
	newest     atomic.Int64
	perVersion time.Duration
	polls      atomic.Int64
}

func (s *slowLinkStore) ReadConfig(ctx context.Context, from platform.Cursor, wait time.Duration) (catalogue.Update, platform.Cursor, bool, error) {
	s.polls.Add(1)
	newest := s.newest.Load()
	versions := int64(1) // From the zero Cursor the store returns the newest version alone.
	if from != (platform.Cursor{}) {
		if versions = newest - from.Position(); versions == 0 {
			time.Sleep(wait)
			return catalogue.Update{}, from, true, nil
		}
	}
	select {
	case <-time.After(time.Duration(versions) * s.perVersion):
		return catalogue.Update{Config: catalogue.NewConfig(catalogue.Version(newest), nil, nil, nil, catalogue.Limits{})}, platform.CursorAt(newest), true, nil
	case <-ctx.Done():
		return catalogue.Update{}, from, false, ctx.Err()
	}
}

// newsOfConfig returns the news of a relay that has just confirmed a configuration version.
func newsOfConfig(t *testing.T, version int64) *relay.News {
	t.Helper()
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		err = errors.Join(gob.NewEncoder(w).Encode(fmt.Appendf(nil, `{"Version":%d}`, version)), w.Close())
	}
	if err != nil {
		t.Fatal(err)
	}
	return &relay.News{Config: catalogue.Version(version), Document: b.Bytes()}
}

// Guards against a configuration that is applied too late (CONFIG) when the relay of a VM is lost
// after several versions: on a VM with a slow link, reading all of them from the store took longer
// than any poll may, so that the VM never caught up.
func TestLostRelayAfterManyVersionsKeepsConfigBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		s, now := &slowLinkStore{perVersion: 200 * time.Millisecond}, clockOf(time.Now())
		s.newest.Store(1)
		var informed atomic.Bool
		f := &configFollower{
			store: s, holder: catalogue.NewHolder(now), events: timeline.New("test", 16, logger), now: now, times: testTimes,
			informed: informed.Load, updateExpected: never, isCoordinator: never, isRelay: never, onUpdate: func() {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- f.run(ctx) }()
		time.Sleep(time.Second)
		informed.Store(true)
		for range 20 {
			is.True(f.applyNews(newsOfConfig(t, s.newest.Add(1)), now()))
			time.Sleep(200 * time.Millisecond)
		}
		informed.Store(false)
		s.newest.Add(1)
		time.Sleep(2*time.Second - maxSendDelay)
		version, _, _ := f.holder.ConfirmedVersion()
		is.Equal(int64(version), s.newest.Load())
		// In normal operation the polls of this VM continue from its cursor.
		before := s.polls.Load()
		time.Sleep(10 * time.Second)
		is.True(s.polls.Load()-before <= int64(10*time.Second/testTimes.wait)+1)
		cancel()
		is.Equal(<-ended, context.Canceled)
	})
}

// evacuatingStore reports one evacuation, with a configuration that cannot be decoded.
type evacuatingStore struct{}

func (evacuatingStore) ReadConfig(context.Context, platform.Cursor, time.Duration) (catalogue.Update, platform.Cursor, bool, error) {
	return catalogue.Update{Evacuations: catalogue.EvacuationChanges{Complete: true, Position: 7, Requested: map[fleet.DataCentre]bool{"dc": true}}}, platform.Cursor{}, false, errors.New("the configuration cannot be decoded")
}

// Guards against an evacuation that does not take effect because the configuration beside it is
// malformed. The malformed configuration is not confirmed.
func TestEvacuationAppliesBesideMalformedConfig(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	f := newTestConfigFollower(&now)
	f.store = evacuatingStore{}
	_, err := f.poll(t.Context(), platform.Cursor{})
	is.True(err != nil)
	is.Equal(f.holder.Evacuations().DataCentres, []fleet.DataCentre{"dc"})
	_, confirmedAt := f.holder.Confirmed()
	is.Equal(confirmedAt, time.Duration(0))
}
