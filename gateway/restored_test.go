package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
	"toucanfall/relay"
	"toucanfall/roster"
)

// contactPeriod is how long after an outage of the store an acknowledged removal does not bind the VMs yet.
const contactPeriod = 3 * time.Second

// restore returns the directory to its state before the last n records, in a new era, and returns these.
func (c *directoryLog) restore(n int) []roster.Changes {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era++
	c.restoredAt = c.nowLocked()
	kept := max(len(c.records)-n, 0)
	lost := slices.Clone(c.records[kept:])
	c.records = slices.Clone(c.records[:kept])
	return lost
}

// rewrite appends records that were lost, as their writers do, and counts those leavings from now on.
func (c *directoryLog) rewrite(lost []roster.Changes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, lost...)
	for _, r := range lost {
		ids := slices.Clone(r.Removed)
		for _, e := range r.Entries {
			if e.Draining {
				ids = append(ids, e.ID)
			}
		}
		for _, id := range ids {
			c.leaveTimes[id] = c.nowLocked()
		}
	}
}

// startOne starts a directory and a VM that reads it every second.
func startOne(ctx context.Context) (*directoryLog, *node) {
	c := newDirectoryLog()
	n := c.startNode(ctx, &directoryReader{c: c, rng: fixedRand()}, false)
	time.Sleep(3 * time.Second)
	return c, n
}

// Guards against an upstream that is used until it has gone although it reported that it leaves: the
// restored log had grown past the position of the VM before its next read, which missed the report.
func TestReportBeforePositionOfFormerEraIsSeen(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		c, n := startOne(ctx)
		c.restore(2)
		c.rewrite([]roster.Changes{{Entries: []roster.Entry{{ID: "0", Address: "192.0.2.1:80", Draining: true}}}, {Entries: []roster.Entry{{ID: "1", Address: "192.0.2.1:80"}}}})
		c.addUpstream()
		time.Sleep(drainWithin - maxSendDelay)
		is.Equal(n.sendable(), []fleet.UpstreamID{"1", "2"})
	})
}

// Guards against a relay that has not read the restored store: its news must neither take a VM back to
// the former era nor confirm its directory, and the other way round the VM follows into the new era.
func TestRelayOfFormerEraConfirmsNothing(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		c, behind := startOne(ctx)
		ahead := c.startNode(ctx, &directoryReader{c: c, rng: rand.New(rand.NewPCG(1, 2))}, false)
		time.Sleep(3 * time.Second)
		behind.Store.(*directoryReader).failing.Store(true)
		c.restore(1)
		time.Sleep(1100 * time.Millisecond)
		ahead.Store.(*directoryReader).failing.Store(true)
		at, before := ahead.position(), ahead.Roster.ConfirmedAt()
		is.True(!ahead.requestUpdate(ctx, behind))
		is.Equal(ahead.position(), at)
		is.Equal(ahead.Roster.ConfirmedAt(), before)
		is.True(behind.requestUpdate(ctx, ahead))
		is.Equal(behind.position(), at)
	})
}

// Guards against a VM of an earlier version, which knows only offsets, that gets positions it would read
// the store from, or news without end because its own position is of no known era.
func TestRelayAnswersEarlierVersionWithOffsets(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		c, n := startOne(ctx)
		c.restore(0)
		time.Sleep(2 * time.Second)
		var out relay.News
		is.NoErr(n.service.Peer().Follow(relay.Ask{}, &out))
		is.Equal(out.Directory, relay.Position(2))
		is.True(len(out.All) > 0)
		var again relay.News
		is.NoErr(n.service.Peer().Follow(relay.Ask{Directory: out.Directory, Mark: out.Mark}, &again))
		is.Equal(len(again.All)+len(again.Entries), 0)
		is.True(again.Held > 0)
	})
}
