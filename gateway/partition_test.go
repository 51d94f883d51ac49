package gateway

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/catalogue"
	"toucanfall/group"
	"toucanfall/internal/logpos"
	"toucanfall/platform"
	"toucanfall/relay"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// configLog is the store's log of configurations, which several VMs read under the fake clock.
type configLog struct {
	mu sync.Mutex
	// newest is the newest version. appended is closed and replaced when it changes. mu guards both.
	newest   catalogue.Version
	appended chan struct{}
	// era counts the restores. mu guards it too.
	era int64
}

// state returns the newest version, its position, and a channel that is closed when they change.
func (l *configLog) state() (catalogue.Version, logpos.Position, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest, logpos.At(l.era, int64(l.newest)), l.appended
}

func (l *configLog) write() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(l.newest + 1)
}

// set makes a version the newest one. The caller holds mu.
func (l *configLog) set(v catalogue.Version) {
	l.newest = v
	close(l.appended)
	l.appended = make(chan struct{})
}

// configReader is a VM's connection to a configLog.
type configReader struct {
	log *configLog
	// partitioned is set while the VM has no contact with the other VMs, storeLost while it has none
	// with the store.
	partitioned, storeLost atomic.Bool
	// reads counts the reads, losses is how many of the next ones get no answer, delay how long the
	// others take, in nanoseconds.
	reads, losses, delay atomic.Int64
}

func (r *configReader) ReadConfig(ctx context.Context, from platform.Cursor, wait time.Duration) (catalogue.Update, platform.Cursor, bool, error) {
	r.reads.Add(1)
	lost := r.losses.Add(-1) >= 0
	timeout := time.After(wait)
	version, position, appended := r.log.state()
	for waiting := wait > 0; waiting && int64(position) == from.Position(); version, position, appended = r.log.state() {
		select {
		case <-appended:
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			return catalogue.Update{}, from, false, ctx.Err()
		}
	}
	select {
	case <-time.After(time.Duration(r.delay.Load())):
	case <-ctx.Done():
	}
	if lost || r.storeLost.Load() {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return catalogue.Update{}, from, false, ctx.Err()
	}
	cfg := catalogue.NewConfig(version, nil, nil, nil, catalogue.Limits{})
	cfg.Document = fmt.Appendf(nil, `{"Version":%d}`, version)
	return catalogue.Update{Config: cfg}, platform.CursorAt(int64(position)), true, nil
}

// configNode is a VM that follows the configuration and passes it on to others.
type configNode struct {
	*configFollower
	reader  *configReader
	service *relay.Service
}

// version returns the version that the VM serves by.
func (n *configNode) version() catalogue.Version {
	cfg, _ := n.holder.Current()
	if cfg == nil {
		return 0
	}
	return cfg.Version
}

// configFleet is a fleet under the fake clock, of which only some VMs are simulated.
type configFleet struct {
	log     *configLog
	start   time.Time
	times   configTimes
	members group.MemberList
	// mu guards nodes, which are by their addresses.
	mu    sync.Mutex
	nodes map[string]*configNode
}

func (f *configFleet) now() time.Duration { return time.Since(f.start) + time.Hour }

func (f *configFleet) node(address string) *configNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[address]
}

// network carries the requests of one VM.
type network struct {
	fleet *configFleet
	from  *configReader
}

func (net network) CallReceiving(ctx context.Context, address, _ string, args, reply any, silence time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	n := net.fleet.node(address)
	if n != nil && !n.reader.partitioned.Load() && !net.from.partitioned.Load() {
		// Follow never fails.
		_ = n.service.Peer().Follow(args.(relay.Ask), reply.(*relay.News))
		if !n.reader.partitioned.Load() && !net.from.partitioned.Load() {
			return nil
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// startMember starts a VM. Its directory is always up to date.
func (f *configFleet) startMember(ctx context.Context, self group.Member) *configNode {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	events := timeline.New("test", 16, logger)
	n := &configNode{reader: &configReader{log: f.log}}
	n.reader.delay.Store(int64(time.Millisecond))
	directory, holder := relay.NewDirectory(), catalogue.NewHolder(f.now)
	members := group.New(group.Config{Self: self, Now: f.now, Events: events, Informed: func() bool { return true }})
	members.UpdateMembers(f.members, f.now())
	n.service = relay.NewService(relay.ServiceConfig{
		Directory: directory, Catalogue: holder, Membership: members, Reports: newReportFollower(reportConfig{Now: f.now, OnUpdate: func() {}}), Self: self, Now: f.now,
		ApplyDocument: func(b []byte) error { return n.applyRelayed(b) }, Events: events,
	})
	follower := relay.NewFollower(relay.FollowerConfig{
		Self: self, Peers: network{f, n.reader}, MemberList: func() group.MemberList { return f.members }, Now: f.now, Events: events,
		NewRequest: func() relay.Ask {
			version, _, _ := holder.ConfirmedVersion()
			in := relay.Ask{Directory: 1, Config: version, Members: f.members.Fingerprint, KnowsEras: true}
			if source, behind := n.versionBehind(); behind {
				in.Document = n.service.PackedDocument(source)
			}
			return in
		},
		ApplyNews: func(_ context.Context, news *relay.News, checkedAt time.Duration) bool {
			return n.applyNews(news, checkedAt)
		},
	})
	n.configFollower = &configFollower{
		store: n.reader, holder: holder, now: f.now, events: events, times: f.times,
		informed: follower.Informed, updateExpected: follower.UpdateExpected, isRelay: follower.IsRelay,
		isCoordinator: func() bool { return self == f.members.Coordinator }, onUpdate: n.service.NotifyFollowers,
	}
	directory.ApplyChanges(roster.Changes{Complete: true}, 1, f.now())
	f.mu.Lock()
	f.nodes[self.Address()] = n
	f.mu.Unlock()
	go func() { _ = n.run(ctx) }()        // It ends when ctx does.
	go func() { _ = follower.Run(ctx) }() // As above.
	return n
}

// startFleet starts the coordinator, which comes first, the relays if the fleet has any, and a VM
// that follows one of them, which comes last.
func startFleet(ctx context.Context, vms int, times configTimes) (*configFleet, []*configNode) {
	f := &configFleet{
		log: &configLog{newest: 1, appended: make(chan struct{})}, start: time.Now(), times: times,
		members: newMemberList(vms), nodes: make(map[string]*configNode),
	}
	leaf := f.members.Members[1]
	for i := 1; relay.IsRelay(leaf, f.members); i++ {
		leaf = f.members.Members[i]
	}
	nodes := []*configNode{f.startMember(ctx, f.members.Coordinator)}
	for _, m := range f.members.Members {
		if relay.IsRelay(m, f.members) {
			nodes = append(nodes, f.startMember(ctx, m))
		}
	}
	return f, append(nodes, f.startMember(ctx, leaf))
}

// Guards against a configuration that is applied too late (CONFIG) by a VM that is in contact with
// the store, but follows a VM that is not: the coordinator, or a relay, was partitioned shortly
// before a new version, and the VM's own first reads of the store get no answer.
func TestPartitionedSourceKeepsConfigBound(t *testing.T) {
	for _, c := range []partition{
		{vms: 2, coordinator: true}, {vms: 2, coordinator: true, storeOnly: true},
		{vms: fleetSize, coordinator: true}, {vms: fleetSize, relays: true}, {vms: fleetSize, coordinator: true, relays: true},
		{vms: fleetSize, coordinator: true, relays: true, storeOnly: true},
	} {
		for _, c.bound = range []time.Duration{2 * time.Second, 3 * time.Second} {
			for c.losses = range int64(3) {
				t.Run(fmt.Sprintf("%+v", c), c.test)
			}
		}
	}
}

// partition is a partition of some sources of a VM in a fleet.
type partition struct {
	vms                 int
	coordinator, relays bool
	// storeOnly is set if the sources are partitioned from the store, but not from the other VMs.
	storeOnly bool
	bound     time.Duration
	// losses is how many reads of each VM that is not partitioned get no answer.
	losses int64
}

func (c partition) test(t *testing.T) {
	var longest time.Duration
	for offset := time.Duration(0); offset < 1200*time.Millisecond; offset += 150 * time.Millisecond {
		withFakeClock(t, func(ctx context.Context, is *is.I) {
			longest = max(longest, c.delay(ctx, is, offset))
		})
	}
	t.Logf("applied within %s", longest)
	if longest > c.bound-maxSendDelay/2 {
		t.Errorf("applied within %s, bound %s", longest, c.bound)
	}
}

// delay returns how long after its acknowledgement a VM applies a configuration that is written
// 260 ms after the partition, at an offset in the periods of the polls.
func (c partition) delay(ctx context.Context, is *is.I, offset time.Duration) time.Duration {
	f, nodes := startFleet(ctx, c.vms, newConfigTimes(c.bound, 4*c.bound))
	last := len(nodes) - 1
	leaf := nodes[last]
	time.Sleep(10*time.Second + offset)
	is.Equal(leaf.version(), catalogue.Version(1))
	for i, n := range nodes[:last] {
		if i == 0 && c.coordinator || i > 0 && c.relays {
			n.reader.storeLost.Store(true)
			n.reader.partitioned.Store(!c.storeOnly)
		}
	}
	time.Sleep(260 * time.Millisecond)
	for _, n := range nodes {
		n.reader.losses.Store(c.losses)
	}
	f.log.write()
	writtenAt := f.now()
	for leaf.version() == 1 && f.now()-writtenAt < 20*time.Second {
		time.Sleep(time.Millisecond)
	}
	return f.now() - writtenAt
}

// Guards against more calls of the store in normal operation: the coordinator polls, a VM that relays
// or the coordinator keep up to date does not read at all.
func TestStoreReadsOfConfigInNormalOperation(t *testing.T) {
	for _, vms := range []int{2, fleetSize} {
		withFakeClock(t, func(ctx context.Context, is *is.I) {
			f, nodes := startFleet(ctx, vms, newConfigTimes(3*time.Second, 12*time.Second))
			time.Sleep(10 * time.Second)
			var before []int64
			for _, n := range nodes {
				before = append(before, n.reader.reads.Load())
			}
			for range 10 {
				time.Sleep(6 * time.Second)
				f.log.write()
			}
			for i, n := range nodes {
				reads := n.reader.reads.Load() - before[i]
				if i == 0 {
					is.True(reads >= 99 && reads <= 110) // One in 600 ms, and one for each change.
				} else {
					is.Equal(reads, int64(0))
				}
				is.True(n.version() >= 10)
			}
		})
	}
}

// Guards against a VM that never gets an answer because the store is slow: a read is not cancelled
// when it is repeated.
func TestSlowStoreIsRead(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		f, nodes := startFleet(ctx, 2, newConfigTimes(3*time.Second, 12*time.Second))
		time.Sleep(10 * time.Second)
		nodes[0].reader.partitioned.Store(true)
		nodes[0].reader.storeLost.Store(true)
		nodes[1].reader.delay.Store(int64(700 * time.Millisecond))
		f.log.write()
		time.Sleep(2700 * time.Millisecond)
		is.Equal(nodes[1].version(), catalogue.Version(2))
	})
}
