package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
	"toucanfall/internal/logpos"
	"toucanfall/quarantine"
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

func (c *directoryLog) setAway(away bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = away
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

// Guards against entries of a restored directory that make an upstream usable again that reported that it
// leaves, or was removed; with a start that the VM does not know they are used.
func TestRestoredEntryDoesNotUndoLeaving(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		c, n := startOne(ctx)
		c.addUpstream()
		c.removeOldest(true)
		c.removeOldest(false)
		time.Sleep(3 * time.Second)
		is.Equal(n.sendable(), []fleet.UpstreamID{"2"})
		c.restore(2)
		for range 5 {
			time.Sleep(time.Second)
			is.Equal(n.sendable(), []fleet.UpstreamID{"2"})
		}
		c.rewrite([]roster.Changes{{Entries: []roster.Entry{{ID: "0", Address: "192.0.2.1:80"}, {ID: "1", Address: "192.0.2.1:80"}}}})
		time.Sleep(2 * time.Second)
		is.Equal(len(n.sendable()), 3) // Both wrote that they are ready.
	})
}

// Guards against an upstream that is given up at once because the copy is older than its entry. One
// whose entry stays missing is gone after the suspicion period.
func TestUpstreamMissingInRestoredDirectoryIsSuspected(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		c, n := startOne(ctx)
		c.restore(2)
		for range 5 {
			time.Sleep(300 * time.Millisecond)
			is.Equal(len(n.sendable()), 2)
		}
		c.rewrite([]roster.Changes{{Entries: []roster.Entry{{ID: "1", Address: "192.0.2.1:80"}}}})
		time.Sleep(3 * time.Second)
		is.Equal(n.sendable(), []fleet.UpstreamID{"1"})
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

// restoredRun is a random run in which the store is restored.
type restoredRun struct {
	cond conditions
	c    *directoryLog
	tree *relayTree
	rng  *rand.Rand
	// left holds the upstreams that each VM knew to have left.
	left map[*node]map[fleet.UpstreamID]bool
}

// run restores the directory six times, and returns an error as soon as a VM would send to
// an upstream too long after it left or wrote that again, or again after it had stopped to.
func (r *restoredRun) run(ctx context.Context) error {
	r.c = newDirectoryLog()
	r.tree = r.c.startTree(ctx, r.cond)
	for _, n := range r.tree.nodes {
		r.left[n] = make(map[fleet.UpstreamID]bool)
	}
	const step = 10 * time.Millisecond
	time.Sleep(3 * time.Second)
	for range 6 {
		for i := range 300 + r.rng.IntN(300) {
			time.Sleep(step)
			if i%10 == 0 && r.rng.IntN(8) == 0 {
				r.c.addUpstream()
				r.c.removeOldest(r.rng.IntN(2) == 0)
			}
			if err := r.check(); err != nil {
				return err
			}
		}
		if err := r.restore(); err != nil {
			return err
		}
	}
	return nil
}

// restore takes the store away for a moment and restores it. The writers repeat what was lost.
func (r *restoredRun) restore() error {
	r.c.setAway(true)
	time.Sleep(time.Duration(r.rng.IntN(2000)) * time.Millisecond)
	lost := r.c.restore(r.rng.IntN(12))
	r.c.setAway(false)
	for range r.rng.IntN(100) {
		time.Sleep(10 * time.Millisecond)
		if err := r.checkReturned(); err != nil {
			return err
		}
	}
	r.c.rewrite(lost)
	return nil
}

func (r *restoredRun) check() error {
	for _, n := range r.tree.nodes {
		if err := r.c.checkSendable(n); err != nil {
			return fmt.Errorf("%s: %w", n.self.VM(), err)
		}
	}
	return r.checkReturned()
}

// checkReturned returns an error if a VM uses an upstream again that it knew to have left.
func (r *restoredRun) checkReturned() error {
	for _, n := range r.tree.nodes {
		sendable := n.sendable()
		for _, u := range n.Roster.Upstreams() {
			if _, left := r.c.leftAt(u.ID); left && !u.Usable() {
				r.left[n][u.ID] = true
			}
		}
		for _, id := range sendable {
			if r.left[n][id] {
				return fmt.Errorf("%s: upstream %s is used again after it left", n.self.VM(), id)
			}
		}
	}
	return nil
}

// Guards against requests to upstreams that left, on VMs that read the store and on VMs that follow relays,
// while the store is restored from a copy again and again.
func TestRandomRestoresKeepDrainBound(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rng := rand.New(rand.NewPCG(seed, 7))
				r := &restoredRun{
					cond: conditions{maxDelay: time.Duration(rng.IntN(400)) * time.Millisecond, seed: seed},
					rng:  rng, left: make(map[*node]map[fleet.UpstreamID]bool),
				}
				ctx, cancel := context.WithCancel(t.Context())
				err := r.run(ctx)
				cancel()
				time.Sleep(drainPeriod)
				is.NoErr(err)
			})
		})
	}
}

// Guards against a relay that has not read the restored store: what it knows of the reports and of the
// operators' topic is applied, but confirms nothing, and the positions do not go back.
func TestNewsOfFormerEraConfirmNothing(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	reports := newReportVM(nil, func() time.Duration { return now }, false)
	newer, older := logpos.At(1, 2), logpos.At(0, 9)
	reports.ApplyNews(&relay.News{HasReports: true, ReportsAt: newer}, now)
	now += time.Second
	reports.ApplyNews(&relay.News{HasReports: true, ReportsAt: older, Reports: []quarantine.Report{{Number: 5}}}, now)
	at, confirmedAt := reports.state()
	is.Equal(at, newer)
	is.Equal(confirmedAt, 10*time.Second)
	is.True(reports.receivedAt(5) > 0)

	f := newTestConfigFollower(&now)
	is.True(f.applyNews(&relay.News{Config: 3, HasEvacuations: true, EvacuationsAt: newer}, now))
	now += time.Second
	is.True(!f.applyNews(&relay.News{Config: 3, HasEvacuations: true, EvacuationsAt: older}, now))
	_, age := f.holder.Current()
	is.Equal(age, time.Second)
	is.Equal(f.holder.Evacuations().Position, newer)
}
