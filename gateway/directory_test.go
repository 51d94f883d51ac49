package gateway

import (
	"context"
	"errors"
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
	"toucanfall/platform"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// changes is a directory that several VMs read, under the paused clock. Upstreams
// come and leave.
type changes struct {
	mu    sync.Mutex
	list  []platform.Changes
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
	c.list = append(c.list, platform.Changes{Entries: []roster.Entry{e}})
}

// leave lets the oldest upstream leave, by its state or by taking its entry out.
func (c *changes) leave(draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := fleet.UpstreamID(fmt.Sprint(len(c.left)))
	if len(c.left) == c.next {
		return
	}
	ch := platform.Changes{Removed: []fleet.UpstreamID{id}}
	if draining {
		ch = platform.Changes{Entries: []roster.Entry{{ID: id, Address: "192.0.2.1:80", Draining: true}}}
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
	// seen is how many changes the VM has read.
	seen int
}

// question returns what stands in the directory for the VM, up to where, and after
// what time the answer comes.
func (r *reader) question() (news []platform.Changes, end int, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.c.mu.Lock()
	news, end = r.c.list[r.seen:], len(r.c.list)
	r.c.mu.Unlock()
	r.lost = r.down.Load() || !r.lost && r.rng.Float64() < r.losses
	if r.lost {
		return news, end, time.Hour
	}
	return news, end, time.Millisecond + time.Duration(r.rng.Float64()*float64(r.slow))
}

// ReadDirectory answers late, or not at all.
func (r *reader) ReadDirectory(ctx context.Context, _ platform.Cursor) (platform.Changes, platform.Cursor, error) {
	news, end, wait := r.question()
	select {
	case <-ctx.Done():
		return platform.Changes{}, platform.Cursor{}, ctx.Err()
	case <-time.After(wait):
	}
	r.mu.Lock()
	r.seen = end
	r.mu.Unlock()
	// The newest record of each upstream decides, as in the store.
	var out platform.Changes
	gone := make(map[fleet.UpstreamID]bool)
	for i := len(news) - 1; i >= 0; i-- {
		for _, e := range news[i].Entries {
			if !gone[e.ID] {
				out.Entries = append(out.Entries, e)
			}
			gone[e.ID] = true
		}
		for _, id := range news[i].Removed {
			if !gone[id] {
				out.Removed = append(out.Removed, id)
			}
			gone[id] = true
		}
	}
	return out, platform.Cursor{}, nil
}

// node is a VM that follows the directory and hears the coordinator's word.
type node struct {
	*directoryFollower
	voucher *voucher
}

func (c *changes) node(ctx context.Context, r *reader, leads bool) *node {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	known := roster.New()
	v := &voucher{now: c.now, holder: catalogue.NewHolder(c.now), roster: known, members: func() int { return 2 }}
	n := &node{voucher: v}
	n.directoryFollower = newDirectoryFollower(directoryConfig{
		Store: r, Roster: known, Now: c.now, Within: drainWithin, Vouched: v.directory, Leads: func() bool { return leads },
		Events: timeline.New("test", 64, logger),
	})
	go func() { _ = n.run(ctx) }() // It ends with ctx.
	return n
}

// drainWithin is the bound of the sites with few VMs.
const drainWithin = 2 * time.Second

// sendable returns the upstreams to which a request may be sent now.
func (n *node) sendable() []fleet.UpstreamID {
	if !n.InTime() {
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
	seed   uint64
	// silentFrom is when the coordinator's word ends, pauses are when the VMs stand
	// still.
	silentFrom time.Duration
	pauses     []time.Duration
}

func drawWeather(rt *rapid.T) weather {
	w := weather{
		slow:       time.Duration(rapid.IntRange(0, 490).Draw(rt, "slow ms")) * time.Millisecond,
		losses:     rapid.Float64Range(0, 0.5).Draw(rt, "losses"),
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
	leader, n := c.node(ctx, w.reader(c, 1), true), c.node(ctx, w.reader(c, 2), false)
	for at := time.Duration(0); at < length; at += step {
		time.Sleep(step)
		if at < w.silentFrom && at%(200*time.Millisecond) == 0 {
			n.voucher.take(leader.voucher.own(), c.now())
		}
		if rng.IntN(80) == 0 {
			c.join()
			c.leave(rng.IntN(2) == 0)
		}
		if slices.Contains(w.pauses, at) {
			c.pause(time.Duration(rng.IntN(4000)) * time.Millisecond)
		}
		if err := errors.Join(c.check(leader), c.check(n)); err != nil {
			return err
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
// answers take and as long as no two are lost in a row, whether the coordinator
// vouches or falls silent, and after pauses of the VM.
func TestRandomDirectoryIsNeverTooOld(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := drawWeather(rt)
		var err error
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			err = w.play(ctx)
			cancel()
			synctest.Wait()
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
		n.Await(ctx)
		is.True(n.InTime())
		is.True(time.Since(began) <= 20*time.Millisecond) // of the paused clock
		is.Equal(n.sendable(), []fleet.UpstreamID{"1"})   // the other has left
	})
}

// Guards against a removed upstream that is used for long after a single read failed:
// where the coordinator tells what the directory is meanwhile, that was no outage.
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
		for range 5 { // The coordinator's word takes the place of own reads.
			n.voucher.take(leader.voucher.own(), c.now())
			time.Sleep(200 * time.Millisecond)
		}
		c.leave(false)
		time.Sleep(drainWithin - sendWithin)
		is.Equal(n.sendable(), []fleet.UpstreamID{"1"})
	})
}
