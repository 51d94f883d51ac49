package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/catalogue"
	"toucanfall/group"
	"toucanfall/quarantine"
	"toucanfall/timeline"
)

// noReports is an empty log of crash reports.
type noReports struct{}

func (noReports) Since(Position) ([]quarantine.Report, Position, time.Duration) { return nil, 0, 0 }

// slowLink is the link of a relay, which all its answers share in packets. Each byte takes perByte.
type slowLink struct {
	service *Service
	relay   string
	perByte time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu: when the link is free, the bytes sent, and the number of
	// large answers on it, now and at most.
	free          time.Time
	bytes         int
	large, atOnce int
}

// CallReceiving calls the relay and waits until its answer has arrived. Other VMs do not answer.
func (l *slowLink) CallReceiving(ctx context.Context, address, _ string, args, reply any, _ time.Duration) error {
	if address != l.relay {
		return errors.New("the VM is unreachable")
	}
	var out News
	_ = l.service.Peer().Follow(args.(Ask), &out)
	if out.size() > maxSmallAnswer {
		l.countLarge(1)
		defer l.countLarge(-1)
	}
	for rest := out.size() + 100; rest > 0; rest -= 1500 {
		select {
		case <-time.After(l.send(min(rest, 1500))):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	*reply.(*News) = out
	return nil
}

func (l *slowLink) countLarge(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.large += n
	l.atOnce = max(l.atOnce, l.large)
}

// send queues n bytes and returns how long they take.
func (l *slowLink) send(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * l.perByte)
	l.bytes += n
	return l.free.Sub(now)
}

// follow runs a follower of the relay until ctx ends, and closes done when it has version 1.
func (l *slowLink) follow(ctx context.Context, self group.Member, members group.MemberList, now func() time.Duration, done chan<- struct{}) {
	var version catalogue.Version
	f := NewFollower(FollowerConfig{
		Self: self, Peers: l, MemberList: func() group.MemberList { return members }, Now: now, Events: newTestRecorder(),
		NewRequest: func() Ask { return Ask{Config: version} },
		ApplyNews: func(_ context.Context, n *News, _ time.Duration) bool {
			if len(n.Document) > 0 && version == 0 {
				version = n.Config
				close(done)
			}
			return true
		},
	})
	_ = f.Run(ctx)
}

// startFollowers runs n followers until ctx ends, and returns a channel for each that is closed when it has
// version 1.
func (l *slowLink) startFollowers(ctx context.Context, running *sync.WaitGroup, n int, members group.MemberList, now func() time.Duration) []<-chan struct{} {
	var arrived []<-chan struct{}
	for _, m := range members.Members {
		if len(arrived) < n && len(Sources(m, members)) > 1 {
			done := make(chan struct{})
			arrived = append(arrived, done)
			running.Go(func() { l.follow(ctx, m, members, now, done) })
		}
	}
	return arrived
}

// newTestRecorder returns a recorder without output.
func newTestRecorder() *timeline.Recorder {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return timeline.New("test", 16, logger)
}

// newLargeService returns a service with a configuration of size bytes that do not compress.
func newLargeService(size int, now func() time.Duration) *Service {
	document := make([]byte, size)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range document {
		document[i] = byte(rng.Uint32())
	}
	cfg := catalogue.NewConfig(1, nil, nil, nil, catalogue.Limits{})
	cfg.Document = document
	h := catalogue.NewHolder(now)
	h.Apply(cfg)
	h.Confirm(now())
	return NewService(ServiceConfig{Directory: NewDirectory(), Catalogue: h, Membership: group.New(group.Config{}), Reports: noReports{}, Self: "vm-1", Now: now})
}

// newClock returns a clock that starts at an hour.
func newClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) + time.Hour }
}

// Guards against a relay that all its followers lose because their answers do not fit through its link
// in time, and are sent again and again: 20 followers ask for 100 kB at once over 10 Mbit/s.
func TestLargeAnswersFitThroughSlowLink(t *testing.T) {
	const followers, size, perByte = 20, 100_000, 800 * time.Nanosecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		now, members := newClock(), newMemberList(followers+3, 1)
		relays := relaysOf(members.Members[0], members)
		link := &slowLink{service: newLargeService(size, now), relay: relays[0].Address(), perByte: perByte}
		var running sync.WaitGroup
		arrived := link.startFollowers(ctx, &running, followers, members, now)
		began := time.Now()
		for _, done := range arrived {
			select {
			case <-done:
			case <-time.After(10 * time.Second):
				t.Fatal("a follower has no configuration after 10 s")
			}
		}
		took := time.Since(began)
		cancel()
		running.Wait()
		is.True(took < 2*followers*size*perByte) // The answers take 1.6 s after each other.
		is.True(link.bytes < followers*size*3/2) // None is sent twice.
		is.True(link.atOnce <= maxTransfers)
	})
}
