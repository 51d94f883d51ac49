package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/catalogue"
	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/group"
	"toucanfall/platform"
	"toucanfall/relay"
	"toucanfall/timeline"
)

// newTestConfigFollower returns a follower that has configuration version 3, under a clock
// that the test sets.
func newTestConfigFollower(now *time.Duration) *configFollower {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	clock := func() time.Duration { return *now }
	h := catalogue.NewHolder(clock)
	h.Apply(catalogue.NewConfig(3, nil, nil, nil, catalogue.Limits{}))
	return &configFollower{
		holder: h, events: timeline.New("test", 16, logger), now: clock, times: testTimes,
		informed: func() bool { return true }, updateExpected: never, isCoordinator: never, isRelay: never, onUpdate: func() {},
	}
}

// A relay's confirmation counts from when the relay checked its state, less its age, and
// only for a VM that has the confirmed version: a key that a newer version withdrew is not
// served longer than without the relay.
func TestRelayConfirmation(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	f := newTestConfigFollower(&now)
	is.True(f.applyNews(&relay.News{Config: 3, ConfigAge: 500 * time.Millisecond}, 9*time.Second))
	_, age := f.holder.Current()
	is.Equal(age, 1500*time.Millisecond)
	now = 12 * time.Second
	f.applyNews(&relay.News{Config: 4}, now)
	_, age = f.holder.Current()
	is.Equal(age, 3500*time.Millisecond)
	is.Equal(f.skipFor(), time.Duration(0)) // polls the store itself
}

// A relay whose confirmation is old does not replace a poll of the store, and is of no use
// once the confirmation is older than the store's would be.
func TestStaleRelayConfirmationIsNotUsed(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	f := newTestConfigFollower(&now)
	is.True(f.applyNews(&relay.News{Config: 3, ConfigAge: testTimes.informedMaxAge - 100*time.Millisecond}, now))
	is.Equal(f.skipFor(), 100*time.Millisecond)
	now += 100 * time.Millisecond
	is.Equal(f.skipFor(), time.Duration(0))
	is.True(!f.applyNews(&relay.News{Config: 3, ConfigAge: 2 * testTimes.informedMaxAge}, now))
	is.True(!f.applyNews(&relay.News{ConfigAge: relay.UnknownAge}, now))
}

// A configuration from a relay that cannot be decoded is logged and changes nothing.
func TestMalformedRelayConfiguration(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	f := newTestConfigFollower(&now)
	is.True(!f.applyNews(&relay.News{Config: 4, Document: []byte("no configuration")}, now))
	version, confirmedAt, _ := f.holder.ConfirmedVersion()
	is.Equal(version, catalogue.Version(3))
	is.Equal(confirmedAt, time.Duration(0))
	is.Equal(len(f.events.Entries(timeline.Filter{Name: event.GatewayFault.Name})), 1)
}

// Guards against a VM that keeps using a removed upstream because its relay only suspects
// the removal: a relay passes on the directory as read, without its suspicions.
func TestRelayDoesNotForwardSuspicion(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		c := newDirectoryLog()
		relays := &directoryReader{c: c, rng: fixedRand()}
		suspecting, leaf := c.startNode(ctx, relays, true), c.startNode(ctx, &directoryReader{c: c, rng: fixedRand()}, false)
		time.Sleep(3 * time.Second)
		relays.failing.Store(true)
		time.Sleep(3 * time.Second)
		relays.failing.Store(false)
		c.removeOldest(false)
		for suspecting.Staleness() > time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(len(suspecting.sendable()), 2) // It attributes the removal to the outage.
		is.True(leaf.requestUpdate(ctx, suspecting))
		is.Equal(leaf.sendable(), []fleet.UpstreamID{"1"})
	})
}

// An update for an earlier position than the VM has read confirms nothing.
func TestEarlierPositionConfirmsNothing(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		c := newDirectoryLog()
		behind, ahead := c.startNode(ctx, &directoryReader{c: c, rng: fixedRand()}, false), c.startNode(ctx, &directoryReader{c: c, rng: fixedRand()}, false)
		time.Sleep(3 * time.Second)
		behind.Store.(*directoryReader).failing.Store(true)
		c.removeOldest(true)
		time.Sleep(1100 * time.Millisecond) // The other VM reads the change.
		ahead.Store.(*directoryReader).failing.Store(true)
		before := ahead.Roster.ConfirmedAt()
		ahead.requestUpdate(ctx, behind)
		is.Equal(ahead.Roster.ConfirmedAt(), before)
		is.Equal(ahead.sendable(), []fleet.UpstreamID{"1"})
	})
}

// Guards against an evacuation that a VM never learns of because its relay runs an earlier version,
// which does not know evacuations: the VM reads the store itself. Where evacuations have no bound, and
// with a relay that knows them, the relay's confirmation counts as before.
func TestRelayWithoutEvacuationsConfirmsNothing(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	f := newTestConfigFollower(&now)
	f.evacuationsBounded = true
	is.True(f.applyNews(&relay.News{Config: 3}, now))
	is.Equal(f.skipFor(), time.Duration(0))
	is.True(!f.holder.Evacuations().Known)

	is.True(f.applyNews(&relay.News{Config: 3, HasEvacuations: true, EvacuationsAt: 5, Evacuated: []fleet.DataCentre{"dc"}}, now))
	is.Equal(f.skipFor(), testTimes.informedMaxAge)
	is.Equal(f.holder.Evacuations(), catalogue.Evacuations{Known: true, Position: 5, DataCentres: []fleet.DataCentre{"dc"}})

	// Part of the fleet is cut off: what is known stays known, and older news change nothing.
	now += time.Hour
	f.applyNews(&relay.News{Config: 3, HasEvacuations: true, EvacuationsAt: 4}, now)
	is.Equal(len(f.holder.Evacuations().DataCentres), 1)
	now += time.Hour
	f.applyNews(&relay.News{Config: 3}, now)
	is.Equal(f.skipFor(), time.Duration(0))

	f.evacuationsBounded = false
	f.applyNews(&relay.News{Config: 3}, now)
	is.Equal(f.skipFor(), testTimes.informedMaxAge)
}

// Guards against a configuration that goes back, or is replaced under its version, when the store was
// restored and its versions are written again: the same one changes nothing, another one is logged.
func TestRewrittenConfigurationIsCompared(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	f := newTestConfigFollower(&now)
	write := func(text string) {
		cfg, err := platform.DecodeConfig([]byte(text))
		is.NoErr(err)
		f.apply(cfg)
	}
	write(`{"Version":7,"Limits":{"MaxBodyBytes":5}}`)
	active, _ := f.holder.Confirmed()
	write(`{"Version":5}`)
	write(`{ "Limits": {"MaxBodyBytes": 5}, "Version": 7 }`)
	conflicts := timeline.Filter{Name: event.ConfigConflict.Name}
	is.Equal(len(f.events.Entries(conflicts)), 0)
	write(`{"Version":7,"Limits":{"MaxBodyBytes":6}}`)
	is.Equal(len(f.events.Entries(conflicts)), 1)
	after, _ := f.holder.Confirmed()
	is.Equal(after, active)
}

// newTestRelay returns the service of a VM with a configuration follower.
func newTestRelay(f *configFollower) *relay.Service {
	members := group.New(group.Config{Now: f.now, Events: f.events})
	return relay.NewService(relay.ServiceConfig{
		Directory: relay.NewDirectory(), Catalogue: f.holder, Membership: members, Reports: newReportFollower(reportConfig{Now: f.now, OnUpdate: func() {}}),
		ApplyDocument: f.applyRelayed, Events: f.events, Now: f.now,
	})
}

// Guards against a configuration that comes back older: a coordinator that started while the restored store
// held only an older version follows no VM, so its followers pass theirs on.
func TestFollowerPassesNewerConfigurationOn(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	coordinator, follower := newTestConfigFollower(&now), newTestConfigFollower(&now)
	cfg, err := platform.DecodeConfig([]byte(`{"Version":7}`))
	is.NoErr(err)
	follower.apply(cfg)
	follower.applyNews(&relay.News{Config: 3}, now)
	behind, ok := follower.versionBehind()
	is.True(ok)
	_, again := follower.versionBehind()
	is.True(!again) // Not with each request.
	in := relay.Ask{Config: 7, Document: newTestRelay(follower).PackedDocument(behind)}
	var out relay.News
	is.NoErr(newTestRelay(coordinator).Peer().Follow(in, &out))
	is.Equal(out.Config, catalogue.Version(7))
	active, _ := coordinator.holder.Confirmed()
	is.Equal(active.Document, cfg.Document)

	in.Config, in.Document = 9, []byte("no configuration")
	is.NoErr(newTestRelay(coordinator).Peer().Follow(in, &out))
	is.Equal(out.Config, catalogue.Version(7))
	is.Equal(len(coordinator.events.Entries(timeline.Filter{Name: event.GatewayFault.Name})), 1)
}
