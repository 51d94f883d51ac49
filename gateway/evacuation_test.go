package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/group"
	"toucanfall/platform"
	"toucanfall/relay"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// operatorTopic is the operators' topic: it holds one configuration and evacuations.
type operatorTopic struct {
	mu      sync.Mutex
	records []fleet.DataCentre // The evacuations that were requested, in order.
}

func (o *operatorTopic) evacuate(dc fleet.DataCentre) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records = append(o.records, dc)
}

// since returns the evacuations after a cursor. The record at position 0 is the configuration.
func (o *operatorTopic) since(from platform.Cursor) (catalogue.Update, platform.Cursor) {
	o.mu.Lock()
	defer o.mu.Unlock()
	u := catalogue.Update{Evacuations: catalogue.EvacuationChanges{
		Complete: from == platform.Cursor{}, Requested: make(map[fleet.DataCentre]bool), Position: catalogue.Position(len(o.records) + 1),
	}}
	if u.Evacuations.Complete {
		u.Config = catalogue.NewConfig(1, nil, nil, nil, catalogue.Limits{})
		u.Config.Document = []byte(`{"Version":1}`)
	}
	for _, dc := range o.records[max(from.Position()-1, 0):] {
		u.Evacuations.Requested[dc] = true
	}
	return u, platform.CursorAt(int64(len(o.records) + 1))
}

// topicReader is the connection of one VM to the store, and counts its reads.
type topicReader struct {
	topic *operatorTopic
	mu    sync.Mutex
	reads int
}

func (r *topicReader) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

// ReadConfig waits for a record, as the store does.
func (r *topicReader) ReadConfig(ctx context.Context, from platform.Cursor, wait time.Duration) (catalogue.Update, platform.Cursor, bool, error) {
	r.mu.Lock()
	r.reads++
	r.mu.Unlock()
	for end := time.Now().Add(wait); ; {
		u, next := r.topic.since(from)
		if next != from || !time.Now().Before(end) {
			return u, next, true, nil
		}
		select {
		case <-ctx.Done():
			return catalogue.Update{}, from, false, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

// evacuationVM is a VM that follows the operators' topic through relays.
type evacuationVM struct {
	self   group.Member
	holder *catalogue.Holder
	reader *topicReader
}

// knows reports whether a VM knows that a data centre is evacuated.
func (v *evacuationVM) knows(dc fleet.DataCentre) bool {
	return slices.Contains(v.holder.Evacuations().DataCentres, dc)
}

// oldRelays answers requests as VMs of an earlier version do.
type oldRelays struct{ relay.Caller }

func (o oldRelays) CallReceiving(ctx context.Context, address, method string, args, reply any, silence time.Duration) error {
	in := args.(relay.Ask)
	in.WantsEvacuations = false
	return o.Caller.CallReceiving(ctx, address, method, in, reply, silence)
}

// startEvacuationVM starts a VM of the fleet list.
func startEvacuationVM(ctx context.Context, topic *operatorTopic, net *fakeNetwork, calls relay.Caller, self group.Member, list group.MemberList) *evacuationVM {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	start := time.Now()
	now := func() time.Duration { return time.Since(start) + time.Hour }
	events := timeline.New("test", 64, logger)
	v := &evacuationVM{self: self, holder: catalogue.NewHolder(now), reader: &topicReader{topic: topic}}
	members := group.New(group.Config{Self: self, Now: now, Events: events, Informed: func() bool { return true }})
	members.UpdateMembers(list, now())
	replica := relay.NewDirectory()
	replica.ApplyChanges(roster.Changes{Complete: true}, 1, now())
	service := relay.NewService(relay.ServiceConfig{
		Directory: replica, Catalogue: v.holder, Membership: members, Reports: newReportFollower(reportConfig{Now: now, OnUpdate: func() {}}), Self: self, Now: now,
	})
	isCoordinator := func() bool { return self == list.Coordinator }
	f := &configFollower{
		store: v.reader, holder: v.holder, now: now, events: events, times: testTimes,
		updateExpected: never, isCoordinator: isCoordinator, onUpdate: service.NotifyFollowers, evacuationsBounded: true,
	}
	follower := relay.NewFollower(relay.FollowerConfig{
		Self: self, Peers: calls, MemberList: func() group.MemberList { return list }, Now: now, Events: events,
		NewRequest: func() relay.Ask {
			version, _, _ := v.holder.ConfirmedVersion()
			return relay.Ask{Directory: 1, Config: version, Members: list.Fingerprint, Evacuations: v.holder.Evacuations().Position, WantsEvacuations: true}
		},
		ApplyNews: func(_ context.Context, n *relay.News, checkedAt time.Duration) bool { return f.applyNews(n, checkedAt) },
	})
	f.informed, f.isRelay = follower.Informed, follower.IsRelay
	net.mu.Lock()
	net.nodes[self.Address()] = &node{self: self, service: service}
	net.mu.Unlock()
	go func() { _ = f.run(ctx) }() // Both end when ctx does.
	go func() { _ = follower.Run(ctx) }()
	return v
}

// startEvacuationTree starts a coordinator, its relays and a VM behind these. Where old is set, VMs are
// answered as by VMs of an earlier version.
func startEvacuationTree(ctx context.Context, topic *operatorTopic, old bool) (leaf *evacuationVM, all []*evacuationVM) {
	net := &fakeNetwork{
		rng: rand.New(rand.NewPCG(1, 1)), maxDelay: time.Millisecond,
		nodes: make(map[string]*node), isolated: make(map[string]bool), calls: make(map[string]int),
	}
	list := newMemberList(fleetSize)
	last := list.Members[1]
	for i := 1; relay.IsRelay(last, list); i++ {
		last = list.Members[i]
	}
	var calls relay.Caller = net
	if old {
		calls = oldRelays{net}
	}
	// The sources of the VM are its relays and the coordinator.
	for _, m := range append(relay.Sources(last, list), last) {
		all = append(all, startEvacuationVM(ctx, topic, net, calls, m, list))
	}
	return all[len(all)-1], all
}

// Guards against evacuations that a VM behind relays learns of late, or only by reading the store
// itself: the number of calls to the store must not grow with the number of VMs.
func TestEvacuationsPassThroughRelays(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		topic := &operatorTopic{}
		leaf, all := startEvacuationTree(ctx, topic, false)
		time.Sleep(5 * time.Second)
		reads := leaf.reader.count()
		for i := range 20 {
			dc := fleet.DataCentre(rune('a' + i))
			topic.evacuate(dc)
			time.Sleep(700*time.Millisecond + time.Duration(i)*37*time.Millisecond)
			for _, v := range all {
				is.True(v.knows(dc))
			}
		}
		is.Equal(leaf.reader.count(), reads)
	})
}

// Guards against an evacuation that a VM learns of late, or never, because the VMs that it follows run
// an earlier version: it reads the store itself, within the bound of 2 s.
func TestEvacuationsBehindOldRelaysAreRead(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		topic := &operatorTopic{}
		leaf, _ := startEvacuationTree(ctx, topic, true)
		time.Sleep(5 * time.Second)
		for i := range 20 {
			dc := fleet.DataCentre(rune('a' + i))
			topic.evacuate(dc)
			time.Sleep(2 * time.Second)
			is.True(leaf.knows(dc))
			time.Sleep(time.Duration(i) * 37 * time.Millisecond)
		}
	})
}

// Guards against a VM that uses evacuated engines again because it has lost the store and its relays.
func TestPartitionedVMKeepsEvacuations(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	f := newTestConfigFollower(&now)
	f.store = &topicReader{topic: &operatorTopic{records: []fleet.DataCentre{"a"}}}
	_, err := f.poll(t.Context(), platform.Cursor{})
	is.NoErr(err)
	f.store = &failingStore{}
	for range 3 {
		now += time.Hour
		_, err = f.poll(t.Context(), platform.CursorAt(2))
		is.True(err != nil)
		is.True(!f.applyNews(&relay.News{ConfigAge: relay.UnknownAge}, now))
		is.Equal(f.holder.Evacuations().DataCentres, []fleet.DataCentre{"a"})
	}
}
