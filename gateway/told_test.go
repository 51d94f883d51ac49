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
	"toucanfall/relay"
	"toucanfall/timeline"
)

// configured returns a follower of the configuration with version 3, under a clock that the
// test sets.
func configured(now *time.Duration) *configFollower {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	clock := func() time.Duration { return *now }
	h := catalogue.NewHolder(clock)
	h.Apply(catalogue.NewConfig(3, nil, nil, nil, catalogue.Limits{}))
	return &configFollower{
		holder: h, events: timeline.New("test", 16, logger), now: clock, times: times,
		told: func() bool { return true }, awaited: never, leads: never, relays: never, learned: func() {},
	}
}

// A relay's proof counts from when the relay looked, less its age, and only for a VM that
// has the version which it is about: a key that a newer one withdrew is served no longer
// than without the relay.
func TestProofOfRelay(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	f := configured(&now)
	is.True(f.learn(&relay.News{Config: 3, ConfigAge: 500 * time.Millisecond}, 9*time.Second))
	_, age := f.holder.Current()
	is.Equal(age, 1500*time.Millisecond)
	now = 12 * time.Second
	f.learn(&relay.News{Config: 4}, now)
	_, age = f.holder.Current()
	is.Equal(age, 3500*time.Millisecond)
	is.Equal(f.spared(), time.Duration(0)) // asks the store itself
}

// A relay whose own proof is old spares no question to the store, and is of no use once
// it is older than the store would tell.
func TestOldProofOfRelaySparesNothing(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	f := configured(&now)
	is.True(f.learn(&relay.News{Config: 3, ConfigAge: times.told - 100*time.Millisecond}, now))
	is.Equal(f.spared(), 100*time.Millisecond)
	now += 100 * time.Millisecond
	is.Equal(f.spared(), time.Duration(0))
	is.True(!f.learn(&relay.News{Config: 3, ConfigAge: 2 * times.told}, now))
	is.True(!f.learn(&relay.News{ConfigAge: relay.UnknownAge}, now))
}

// A configuration of a relay that cannot be read is logged, and changes nothing.
func TestUnreadableConfigurationOfRelay(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	f := configured(&now)
	is.True(!f.learn(&relay.News{Config: 4, Document: []byte("no configuration")}, now))
	version, proved, _ := f.holder.ConfirmedVersion()
	is.Equal(version, catalogue.Version(3))
	is.Equal(proved, time.Duration(0))
	is.Equal(len(f.events.Entries(timeline.Filter{Name: event.GatewayFault.Name})), 1)
}

// Guards against a VM that goes on using a removed upstream because its relay doubts the
// removal: what is told is the directory.
func TestDoubtedUpstreamIsNotTold(t *testing.T) {
	paused(t, func(ctx context.Context, is *is.I) {
		c := newChanges()
		relays := &reader{c: c, rng: still()}
		doubting, leaf := c.node(ctx, relays, true), c.node(ctx, &reader{c: c, rng: still()}, false)
		time.Sleep(3 * time.Second)
		relays.down.Store(true)
		time.Sleep(3 * time.Second)
		relays.down.Store(false)
		c.leave(false)
		for doubting.Staleness() > time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(len(doubting.sendable()), 2) // It takes the removal for one of the outage.
		is.True(leaf.hears(ctx, doubting))
		is.Equal(leaf.sendable(), []fleet.UpstreamID{"1"})
	})
}

// What a relay tells of an earlier position than a VM has read proves nothing.
func TestEarlierPositionProvesNothing(t *testing.T) {
	paused(t, func(ctx context.Context, is *is.I) {
		c := newChanges()
		behind, ahead := c.node(ctx, &reader{c: c, rng: still()}, false), c.node(ctx, &reader{c: c, rng: still()}, false)
		time.Sleep(3 * time.Second)
		behind.Store.(*reader).down.Store(true)
		c.leave(true)
		time.Sleep(1100 * time.Millisecond) // The other one reads the change.
		ahead.Store.(*reader).down.Store(true)
		before := ahead.Roster.ConfirmedAt()
		ahead.hears(ctx, behind)
		is.Equal(ahead.Roster.ConfirmedAt(), before)
		is.Equal(ahead.sendable(), []fleet.UpstreamID{"1"})
	})
}
