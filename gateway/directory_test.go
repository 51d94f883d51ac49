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
	"toucanfall/crew"
	"toucanfall/fleet"
	"toucanfall/platform"
	"toucanfall/relay"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// changes is a directory that several VMs read, under the paused clock. Upstreams
// come and leave.
type changes struct {
	mu    sync.Mutex
	list  []roster.Changes
	left  map[fleet.UpstreamID]time.Duration
	next  int
	start time.Time
	// stood is how long all VMs have stood still while the world went on.
	stood time.Duration
}

// newChanges returns a directory with two upstreams.
func newChanges() *changes {
	c := &changes{start: time.Now(), left: make(map[fleet.UpstreamID]time.Duration)}
	c.join()
	c.join()
	return c
}

// now is the time of the world.
func (c *changes) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nowLocked()
}

func (c *changes) nowLocked() time.Duration {
	return time.Since(c.start) + c.stood + time.Hour
}

// join lets an upstream come.
func (c *changes) join() {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := roster.Entry{ID: fleet.UpstreamID(fmt.Sprint(c.next)), Address: "192.0.2.1:80"}
	c.next++
	c.list = append(c.list, roster.Changes{Entries: []roster.Entry{e}})
}

// leave lets the oldest upstream leave, by its state or by taking its entry out.
func (c *changes) leave(draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := fleet.UpstreamID(fmt.Sprint(len(c.left)))
	if len(c.left) == c.next {
		return
	}
	ch := roster.Changes{Removed: []fleet.UpstreamID{id}}
	if draining {
		ch = roster.Changes{Entries: []roster.Entry{{ID: id, Address: "192.0.2.1:80", Draining: true}}}
	}
	c.list = append(c.list, ch)
	c.left[id] = c.nowLocked()
}

// leftAt returns when an upstream left, false if it has not.
func (c *changes) leftAt(id fleet.UpstreamID) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.left[id]
	return at, ok
}

// pause lets the VMs stand still.
func (c *changes) pause(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stood += d
}

// reader is a VM's way to the directory. It tells what stood there when the question
// was asked, and loses no two answers in a row.
type reader struct {
	c      *changes
	slow   time.Duration
	losses float64
	// down is set while every question fails.
	down atomic.Bool

	mu   sync.Mutex
	rng  *rand.Rand
	lost bool
}

// question returns what stands in the directory after a position, up to where, and after
// what time the answer comes.
func (r *reader) question(from int64) (news []roster.Changes, end int64, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.c.mu.Lock()
	news, end = r.c.list[from:], int64(len(r.c.list))
	r.c.mu.Unlock()
	r.lost = r.down.Load() || !r.lost && r.rng.Float64() < r.losses
	if r.lost {
		return news, end, time.Hour
	}
	return news, end, time.Millisecond + time.Duration(r.rng.Float64()*float64(r.slow))
}

// ReadDirectory answers late, or not at all.
func (r *reader) ReadDirectory(ctx context.Context, from platform.Cursor) (roster.Changes, platform.Cursor, error) {
	news, end, wait := r.question(from.Position())
	select {
	case <-ctx.Done():
		return roster.Changes{}, platform.Cursor{}, ctx.Err()
	case <-time.After(wait):
	}
	// The newest record of each upstream decides, as in the store.
	out := roster.Changes{Complete: from.Position() == 0}
	seen := make(map[fleet.UpstreamID]bool)
	for i := len(news) - 1; i >= 0; i-- {
		for _, e := range news[i].Entries {
			if !seen[e.ID] {
				out.Entries = append(out.Entries, e)
			}
			seen[e.ID] = true
		}
		for _, id := range news[i].Removed {
			if !seen[id] {
				out.Removed = append(out.Removed, id)
			}
			seen[id] = true
		}
	}
	return out, platform.CursorAt(end), nil
}

// node is a VM that follows the directory, and tells others of it.
type node struct {
	*directoryFollower
	self    crew.Member
	service *relay.Service
	// follower asks relays; nil at a VM that follows none.
	follower *relay.Follower
}

// node starts a VM that may be the coordinator, and follows no relay.
func (c *changes) node(ctx context.Context, r *reader, leads bool) *node {
	return c.member(ctx, r, "vm-0@192.0.2.1:1@dc-1", crew.MemberList{}, nil, leads)
}

// member starts a VM of a roll, which follows relays over a network unless that is nil.
func (c *changes) member(ctx context.Context, r *reader, self crew.Member, roll crew.MemberList, over relay.Caller, leads bool) *node {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	events := timeline.New("test", 64, logger)
	n := &node{self: self}
	replica, holder := relay.NewDirectory(), catalogue.NewHolder(c.now)
	holder.Confirm(c.now())
	members := crew.New(crew.Config{Self: self, Now: c.now, Events: events, Informed: func() bool { return true }})
	members.UpdateMembers(roll, c.now())
	n.service = relay.NewService(relay.ServiceConfig{Directory: replica, Catalogue: holder, Crew: members, Self: self, Now: c.now})
	told, relays := func() bool { return false }, func() bool { return false }
	if over != nil {
		n.follower = relay.NewFollower(relay.FollowerConfig{
			Self: self, Peers: over, MemberList: func() crew.MemberList { return roll }, Now: c.now, Events: events,
			NewRequest: func() relay.Ask {
				at, _ := replica.ConfirmedPosition()
				return relay.Ask{Directory: at, Members: roll.Fingerprint}
			},
			ApplyNews: func(ctx context.Context, news *relay.News, looked time.Duration) bool {
				return n.Learn(ctx, news, looked)
			},
		})
		told, relays = n.follower.Informed, n.follower.IsRelay
	}
	n.directoryFollower = newDirectoryFollower(directoryConfig{
		Store: r, Roster: roster.New(), Now: c.now, Within: drainWithin, Replica: replica, Learned: n.service.NotifyFollowers,
		Told: told, Awaited: func() bool { return false }, Leads: func() bool { return leads }, Relays: relays, Events: events,
	})
	go func() { _ = n.run(ctx) }() // It ends with ctx.
	if over != nil {
		go func() { _ = n.follower.Run(ctx) }() // As above.
	}
	return n
}

// drainWithin is the bound of the sites with few VMs.
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

// weather is what a history of the directory goes through.
type weather struct {
	slow   time.Duration
	losses float64
	// freezes is the share of questions to relays after which these are frozen.
	freezes float64
	seed    uint64
	// silentFrom is when the coordinator is cut off from all others, pauses are when the
	// VMs stand still.
	silentFrom time.Duration
	pauses     []time.Duration
}

func drawWeather(rt *rapid.T) weather {
	w := weather{
		slow:       time.Duration(rapid.IntRange(0, 490).Draw(rt, "slow ms")) * time.Millisecond,
		losses:     rapid.Float64Range(0, 0.5).Draw(rt, "losses"),
		freezes:    rapid.Float64Range(0, 0.1).Draw(rt, "freezes"),
		seed:       rapid.Uint64().Draw(rt, "seed"),
		silentFrom: time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "coordinator falls silent at ms")) * time.Millisecond,
	}
	for _, p := range rapid.SliceOfN(rapid.IntRange(1, 40), 0, 3).Draw(rt, "pauses at half seconds") {
		w.pauses = append(w.pauses, time.Duration(p)*time.Second/2)
	}
	return w
}

// reader returns the way of a VM to the directory.
func (w weather) reader(c *changes, vm uint64) *reader {
	return &reader{c: c, rng: rand.New(rand.NewPCG(w.seed, vm)), slow: w.slow, losses: w.losses}
}

// play plays 20 s and returns an error once an upstream may be sent to that left
// longer ago than the bound, less the way of a request.
func (w weather) play(ctx context.Context) error {
	const step, length = 10 * time.Millisecond, 20 * time.Second
	rng := rand.New(rand.NewPCG(w.seed, 0))
	c := newChanges()
	tree := c.plant(ctx, w)
	for at := time.Duration(0); at < length; at += step {
		time.Sleep(step)
		if at >= w.silentFrom {
			tree.net.cutOff(tree.nodes[0].self.Address())
		}
		if rng.IntN(80) == 0 {
			c.join()
			c.leave(rng.IntN(2) == 0)
		}
		if slices.Contains(w.pauses, at) {
			c.pause(time.Duration(rng.IntN(4000)) * time.Millisecond)
		}
		for _, n := range tree.nodes {
			if err := c.check(n); err != nil {
				return fmt.Errorf("%s: %w", n.self.VM(), err)
			}
		}
	}
	return nil
}

// check returns an error if a VM may send to an upstream that left too long ago.
func (c *changes) check(n *node) error {
	now := c.now()
	for _, id := range n.sendable() {
		if at, ok := c.leftAt(id); ok && now-at > drainWithin-sendWithin {
			return fmt.Errorf("%v after its leaving %s may be sent to", now-at, id)
		}
	}
	return nil
}

// Guards against requests at an upstream that left too long ago (DRAIN): whatever
// answers take and as long as no two are lost in a row, at the coordinator, at relays and
// at a VM that hears of the directory from these alone, through slow and frozen relays,
// after a cut of the coordinator, and after pauses of the VMs.
func TestRandomDirectoryIsNeverTooOld(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := drawWeather(rt)
		var err error
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			err = w.play(ctx)
			cancel()
			time.Sleep(windDown)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// While the store does not answer, what is known is used: nobody is refused because
// the platform is away, and nobody waits long before that is clear.
func TestOutageIsServedThrough(t *testing.T) {
	paused(t, func(ctx context.Context, is *is.I) {
		c := newChanges()
		r := &reader{c: c, rng: rand.New(rand.NewPCG(1, 1))}
		n := c.node(ctx, r, false)
		time.Sleep(3 * time.Second)
		r.down.Store(true)
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			is.Equal(len(n.sendable()), 2)
		}
		r.down.Store(false)
		time.Sleep(time.Second)
		is.Equal(len(n.sendable()), 2)
	})
}

// After a pause of the VM a request waits for the directory to be read, which takes one
// question.
func TestRequestWaitsForDirectoryAfterPause(t *testing.T) {
	paused(t, func(ctx context.Context, is *is.I) {
		c := newChanges()
		n := c.node(ctx, &reader{c: c, rng: rand.New(rand.NewPCG(1, 1))}, false)
		time.Sleep(3 * time.Second)
		c.leave(true)
		c.pause(5 * time.Second)
		is.Equal(len(n.sendable()), 0)
		began := time.Now()
		n.AwaitFresh(ctx)
		is.True(n.Fresh())
		is.True(time.Since(began) <= 20*time.Millisecond) // of the paused clock
		is.Equal(n.sendable(), []fleet.UpstreamID{"1"})   // the other has left
	})
}

// Guards against a removed upstream that is used for long after a single read failed:
// where a relay tells what the directory is meanwhile, that was no outage.
func TestOneFailedReadIsNoOutage(t *testing.T) {
	paused(t, func(ctx context.Context, is *is.I) {
		c := newChanges()
		leader := c.node(ctx, &reader{c: c, rng: rand.New(rand.NewPCG(1, 1))}, true)
		r := &reader{c: c, rng: rand.New(rand.NewPCG(1, 2))}
		n := c.node(ctx, r, false)
		time.Sleep(1500 * time.Millisecond)
		r.down.Store(true)
		time.Sleep(time.Second)
		r.down.Store(false)
		for range 5 { // What the coordinator tells takes the place of own reads.
			is.True(n.hears(ctx, leader))
			time.Sleep(200 * time.Millisecond)
		}
		c.leave(false)
		time.Sleep(drainWithin - sendWithin)
		is.Equal(n.sendable(), []fleet.UpstreamID{"1"})
	})
}

// still returns a source of chance for a way without slow or lost answers.
func still() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// hears lets a VM ask another one once, and reports whether the answer was of use.
func (n *node) hears(ctx context.Context, from *node) bool {
	at, _ := n.Replica.ConfirmedPosition()
	asked := n.Now()
	var out relay.News
	// A service answers every question.
	_ = from.service.Peer().Follow(relay.Ask{Directory: at}, &out)
	return n.Learn(ctx, &out, asked+out.Held)
}
