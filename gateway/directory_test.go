package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/group"
	"toucanfall/internal/logpos"
	"toucanfall/platform"
	"toucanfall/relay"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// directoryLog is a directory that several VMs read under the fake clock. Upstreams join
// and leave it. mu guards all fields but start.
type directoryLog struct {
	mu         sync.Mutex
	records    []roster.Changes
	leaveTimes map[fleet.UpstreamID]time.Duration
	nextID     int
	start      time.Time
	// frozen is the total time for which all VMs were paused while time went on elsewhere.
	frozen time.Duration
	// era counts the restores, of which the last was at restoredAt; away is set while no request is answered.
	era        int64
	away       bool
	restoredAt time.Duration
}

// newDirectoryLog returns a directory with two upstreams.
func newDirectoryLog() *directoryLog {
	c := &directoryLog{start: time.Now(), leaveTimes: make(map[fleet.UpstreamID]time.Duration)}
	c.addUpstream()
	c.addUpstream()
	return c
}

// now returns the time, including that of the VMs' pauses.
func (c *directoryLog) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nowLocked()
}

func (c *directoryLog) nowLocked() time.Duration {
	return time.Since(c.start) + c.frozen + time.Hour
}

// addUpstream adds a new upstream.
func (c *directoryLog) addUpstream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := roster.Entry{ID: fleet.UpstreamID(fmt.Sprint(c.nextID)), Address: "192.0.2.1:80"}
	c.nextID++
	c.records = append(c.records, roster.Changes{Entries: []roster.Entry{e}})
}

// removeOldest makes the oldest remaining upstream leave, either by draining or by the
// removal of its entry.
func (c *directoryLog) removeOldest(draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := fleet.UpstreamID(fmt.Sprint(len(c.leaveTimes)))
	if len(c.leaveTimes) == c.nextID {
		return
	}
	ch := roster.Changes{Removed: []fleet.UpstreamID{id}}
	if draining {
		ch = roster.Changes{Entries: []roster.Entry{{ID: id, Address: "192.0.2.1:80", Draining: true}}}
	}
	c.records = append(c.records, ch)
	c.leaveTimes[id] = c.nowLocked()

}

// leftAt returns when an upstream left, false if it is still there. It counts from when the VMs are in
// contact again if the store was restored after that.
func (c *directoryLog) leftAt(id fleet.UpstreamID) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.leaveTimes[id]
	if c.era > 0 {
		at = max(at, c.restoredAt+contactPeriod)
	}
	return at, ok
}

// freeze pauses all VMs for d.
func (c *directoryLog) freeze(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen += d
}

// directoryReader is one VM's connection to the directory. It returns the state at the time
// of the request, and never loses two consecutive answers unless failing is set.
type directoryReader struct {
	c        *directoryLog
	maxDelay time.Duration
	lossRate float64
	// failing is set while every request fails.
	failing atomic.Bool

	mu       sync.Mutex
	rng      *rand.Rand
	lastLost bool
}

// request returns the records after a cursor, or all of them from the zero cursor and one of a former
// era, the position of their end, and the delay of the answer.
func (r *directoryReader) request(from platform.Cursor) (records []roster.Changes, all bool, end logpos.Position, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	position := logpos.Position(from.Position())
	start := position.Offset()
	if position.Era() != r.c.era {
		start = 0
	}
	records, end = slices.Clone(r.c.records[start:]), logpos.At(r.c.era, int64(len(r.c.records)))
	r.lastLost = r.failing.Load() || r.c.away || !r.lastLost && r.rng.Float64() < r.lossRate
	if r.lastLost {
		return records, start == 0, end, time.Hour
	}
	return records, start == 0, end, time.Millisecond + time.Duration(r.rng.Float64()*float64(r.maxDelay))
}

// ReadDirectory answers after the delay of the request, or fails when ctx ends earlier.
func (r *directoryReader) ReadDirectory(ctx context.Context, from platform.Cursor) (roster.Changes, platform.Cursor, error) {
	records, all, end, delay := r.request(from)
	select {
	case <-ctx.Done():
		return roster.Changes{}, platform.Cursor{}, ctx.Err()
	case <-time.After(delay):
	}
	// As in the store, the newest record of each upstream counts.
	out := roster.Changes{Complete: all}
	seen := make(map[fleet.UpstreamID]bool)
	for i := len(records) - 1; i >= 0; i-- {
		for _, e := range records[i].Entries {
			if !seen[e.ID] {
				out.Entries = append(out.Entries, e)
			}
			seen[e.ID] = true
		}
		for _, id := range records[i].Removed {
			if !seen[id] && !all {
				out.Removed = append(out.Removed, id)
			}
			seen[id] = true
		}
	}
	return out, platform.CursorAt(int64(end)), nil
}

// node is a VM that follows the directory and serves it to others.
type node struct {
	*directoryFollower
	self    group.Member
	service *relay.Service
	// follower requests updates from relays; nil on a VM that follows none.
	follower *relay.Follower
}

// startNode starts a VM that follows no relay, as the coordinator if isCoordinator is set.
func (c *directoryLog) startNode(ctx context.Context, r *directoryReader, isCoordinator bool) *node {
	return c.startMember(ctx, r, "vm-0@192.0.2.1:1@dc-1", group.MemberList{}, nil, isCoordinator)
}

// startMember starts a VM of a fleet. It follows relays over network unless that is nil.
func (c *directoryLog) startMember(ctx context.Context, r *directoryReader, self group.Member, list group.MemberList, network relay.Caller, isCoordinator bool) *node {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	events := timeline.New("test", 64, logger)
	n := &node{self: self}
	replica, holder := relay.NewDirectory(), catalogue.NewHolder(c.now)
	holder.Confirm(c.now())
	members := group.New(group.Config{Self: self, Now: c.now, Events: events, Informed: func() bool { return true }})
	members.UpdateMembers(list, c.now())
	n.service = relay.NewService(relay.ServiceConfig{Directory: replica, Catalogue: holder, Membership: members, Reports: newReportFollower(reportConfig{Now: c.now, OnUpdate: func() {}}), Self: self, Now: c.now})
	informed, isRelay := func() bool { return false }, func() bool { return false }
	if network != nil {
		n.follower = relay.NewFollower(relay.FollowerConfig{
			Self: self, Peers: network, MemberList: func() group.MemberList { return list }, Now: c.now, Events: events,
			NewRequest: func() relay.Ask {
				at, _ := replica.ConfirmedPosition()
				return relay.Ask{Directory: at, Members: list.Fingerprint, KnowsEras: true}
			},
			ApplyNews: func(ctx context.Context, news *relay.News, checkedAt time.Duration) bool {
				return n.ApplyNews(ctx, news, checkedAt)
			},
		})
		informed, isRelay = n.follower.Informed, n.follower.IsRelay
	}
	n.directoryFollower = newDirectoryFollower(directoryConfig{
		Store: r, Roster: roster.New(), Now: c.now, DrainWithin: drainWithin, Replica: replica, OnUpdate: n.service.NotifyFollowers,
		Informed: informed, UpdateExpected: func() bool { return false }, IsCoordinator: func() bool { return isCoordinator }, IsRelay: isRelay, Events: events,
	})
	go func() { _ = n.run(ctx) }() // It ends when ctx does.
	if network != nil {
		go func() { _ = n.follower.Run(ctx) }() // As above.
	}
	return n
}

// drainWithin is the drain bound of the small deployments.
const drainWithin = 2 * time.Second

// sendable returns the upstreams to which a request may be sent now.
func (n *node) sendable() []fleet.UpstreamID {
	if !n.Fresh() {
		return nil
	}
	var out []fleet.UpstreamID
	for _, u := range n.Roster.Upstreams() {
		if u.Usable() {
			out = append(out, u.ID)
		}
	}
	return out
}

// conditions are the faults of one simulation.
type conditions struct {
	maxDelay time.Duration
	lossRate float64
	// freezeRate is the fraction of requests after which the relay that answers is paused.
	freezeRate float64
	seed       uint64
	// cutOffAt is when the coordinator is cut off from all other VMs, pauseTimes are when
	// all VMs are paused.
	cutOffAt   time.Duration
	pauseTimes []time.Duration
}

func drawConditions(rt *rapid.T) conditions {
	cond := conditions{
		maxDelay:   time.Duration(rapid.IntRange(0, 490).Draw(rt, "slow ms")) * time.Millisecond,
		lossRate:   rapid.Float64Range(0, 0.5).Draw(rt, "losses"),
		freezeRate: rapid.Float64Range(0, 0.1).Draw(rt, "freezes"),
		seed:       rapid.Uint64().Draw(rt, "seed"),
		cutOffAt:   time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "coordinator falls silent at ms")) * time.Millisecond,
	}
	for _, p := range rapid.SliceOfN(rapid.IntRange(1, 40), 0, 3).Draw(rt, "pauses at half seconds") {
		cond.pauseTimes = append(cond.pauseTimes, time.Duration(p)*time.Second/2)
	}
	return cond
}

// newReader returns a VM's connection to the directory.
func (cond conditions) newReader(c *directoryLog, vm uint64) *directoryReader {
	return &directoryReader{c: c, rng: rand.New(rand.NewPCG(cond.seed, vm)), maxDelay: cond.maxDelay, lossRate: cond.lossRate}
}

// simulate runs 20 s and returns an error as soon as a VM would send to an upstream that
// left longer ago than the drain bound, less the time that a request takes to arrive.
func (cond conditions) simulate(ctx context.Context) error {
	const step, length = 10 * time.Millisecond, 20 * time.Second
	rng := rand.New(rand.NewPCG(cond.seed, 0))
	c := newDirectoryLog()
	tree := c.startTree(ctx, cond)
	for at := time.Duration(0); at < length; at += step {
		time.Sleep(step)
		if at >= cond.cutOffAt {
			tree.net.isolate(tree.nodes[0].self.Address())
		}
		if rng.IntN(80) == 0 {
			c.addUpstream()
			c.removeOldest(rng.IntN(2) == 0)
		}
		if slices.Contains(cond.pauseTimes, at) {
			c.freeze(time.Duration(rng.IntN(4000)) * time.Millisecond)
		}
		for _, n := range tree.nodes {
			if err := c.checkSendable(n); err != nil {
				return fmt.Errorf("%s: %w", n.self.VM(), err)
			}
		}
	}
	return nil
}

// checkSendable returns an error if a VM may send to an upstream that left too long ago.
func (c *directoryLog) checkSendable(n *node) error {
	now := c.now()
	for _, id := range n.sendable() {
		if at, ok := c.leftAt(id); ok && now-at > drainWithin-maxSendDelay {
			return fmt.Errorf("%v after it left, upstream %s is still used", now-at, id)
		}
	}
	return nil
}

// Guards against requests to an upstream that left too long ago (DRAIN): with any delay of
// answers, as long as no two consecutive ones are lost, on the coordinator, on relays and
// on a VM that gets the directory from relays only, with slow and frozen relays, after the
// coordinator is cut off, and after pauses of the VMs.
func TestRandomDirectoryStaysWithinDrainBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cond := drawConditions(rt)
		var err error
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			err = cond.simulate(ctx)
			cancel()
			time.Sleep(drainPeriod)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// While the store does not answer, the last known directory is used: no request is rejected
// because of the outage, and none waits long until the outage is detected.
func TestStoreOutageUsesLastDirectory(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		c := newDirectoryLog()
		r := &directoryReader{c: c, rng: rand.New(rand.NewPCG(1, 1))}
		n := c.startNode(ctx, r, false)
		time.Sleep(3 * time.Second)
		r.failing.Store(true)
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			is.Equal(len(n.sendable()), 2)
		}
		r.failing.Store(false)
		time.Sleep(time.Second)
		is.Equal(len(n.sendable()), 2)
	})
}

// After a pause of the VM a request waits until the directory has been read, which takes
// one read.
func TestRequestWaitsForDirectoryAfterPause(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		c := newDirectoryLog()
		n := c.startNode(ctx, &directoryReader{c: c, rng: rand.New(rand.NewPCG(1, 1))}, false)
		time.Sleep(3 * time.Second)
		c.removeOldest(true)
		c.freeze(5 * time.Second)
		is.Equal(len(n.sendable()), 0)
		began := time.Now()
		n.AwaitFresh(ctx)
		is.True(n.Fresh())
		is.True(time.Since(began) <= 20*time.Millisecond) // of the fake clock
		is.Equal(n.sendable(), []fleet.UpstreamID{"1"})   // the other has left
	})
}

// Guards against a removed upstream that stays in use because a single read failed earlier:
// while a relay reports the directory, a failed read is no outage.
func TestSingleFailedReadIsNoOutage(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		c := newDirectoryLog()
		leader := c.startNode(ctx, &directoryReader{c: c, rng: rand.New(rand.NewPCG(1, 1))}, true)
		r := &directoryReader{c: c, rng: rand.New(rand.NewPCG(1, 2))}
		n := c.startNode(ctx, r, false)
		time.Sleep(1500 * time.Millisecond)
		r.failing.Store(true)
		time.Sleep(time.Second)
		r.failing.Store(false)
		for range 5 { // Updates of the coordinator replace its own reads.
			is.True(n.requestUpdate(ctx, leader))
			time.Sleep(200 * time.Millisecond)
		}
		c.removeOldest(false)
		time.Sleep(drainWithin - maxSendDelay)
		is.Equal(n.sendable(), []fleet.UpstreamID{"1"})
	})
}

// fixedRand returns a random source with a fixed seed.
func fixedRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// requestUpdate requests one update from another VM, and reports whether it was useful.
func (n *node) requestUpdate(ctx context.Context, from *node) bool {
	at, _ := n.Replica.ConfirmedPosition()
	asked := n.Now()
	var out relay.News
	// Follow never fails.
	_ = from.service.Peer().Follow(relay.Ask{Directory: at, KnowsEras: true}, &out)
	return n.ApplyNews(ctx, &out, asked+out.Held)
}
