package coordinator_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/coordinator"
	"toucanfall/fleet"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// branch is a fleet of VMs, of which some send to the coordinator and others over these.
type relayFleet struct {
	ctx     context.Context
	harness *harness

	mu sync.Mutex
	// gone are VMs that answer nobody.
	unresponsive map[string]bool
	vms          map[string]*relayVM
	// way is how long a message takes.
	latency time.Duration
	// direct counts the messages to the coordinator.
	direct int
}

// branchVM is a VM with what it knows of the engines.
type relayVM struct {
	client *coordinator.Client
	roster *roster.Roster
	// over is the VM that takes its messages, "" for none.
	relay string
}

// Call carries a message.
func (b *relayFleet) Call(ctx context.Context, address, method string, args, reply any) error {
	b.mu.Lock()
	vm, gone, way := b.vms[address], b.unresponsive[address], b.latency
	if address == "coordinator" {
		b.direct++
	}
	b.mu.Unlock()
	time.Sleep(way)
	switch {
	case gone:
		<-ctx.Done()
		return ctx.Err()
	case method == coordinator.GatherName+".Sync":
		return vm.client.Gathering().Sync(args.(coordinator.Sync), reply.(*coordinator.SyncAnswer))
	}
	return b.harness.c.Service().Sync(args.(coordinator.Sync), reply.(*coordinator.SyncAnswer))
}

// start starts a VM of a fleet of 195, which sends over another one unless that is "".
func (b *relayFleet) startVM(ctx context.Context, name, relay string) *relayVM {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	vm := &relayVM{roster: roster.New(), relay: relay}
	vm.roster.Put(roster.Entry{ID: "engine-0", Service: "texts", Address: "192.0.2.1:80"})
	vm.client = coordinator.NewClient(coordinator.ClientConfig{
		VM: fleet.VMID(name), Own: b.harness.c, Peers: b, Roster: vm.roster, Heard: func(bool) {},
		Size:  func() int { return 195 },
		Where: func() (fleet.VMID, string, bool) { return "coordinator", "coordinator", true },
		Via: func() (string, bool) {
			b.mu.Lock()
			defer b.mu.Unlock()
			return vm.relay, vm.relay != ""
		},
		Events: timeline.New("test", 16, logger),
	})
	b.mu.Lock()
	b.vms[name] = vm
	b.mu.Unlock()
	go func() { _ = vm.client.Run(ctx) }() // It ends with ctx.
	return vm
}

// others returns what a VM was told of the requests of all others.
func (v *relayVM) otherInFlight() int {
	u, _ := v.roster.Get("engine-0")
	own, all := u.InFlight()
	return all - own
}

// begin lets a VM have a request in flight.
func (v *relayVM) beginRequest() {
	u, _ := v.roster.Get("engine-0")
	u.Begin(roster.Adapter{Model: "a"}, 100)
}

func newRelayFleet(ctx context.Context) (b *relayFleet, vms []*relayVM) {
	b = &relayFleet{ctx: ctx, harness: newHarness(spec("a")), unresponsive: make(map[string]bool), vms: make(map[string]*relayVM)}
	b.harness.roster.Put(roster.Entry{ID: "engine-0", Service: "texts", Address: "192.0.2.1:80"})
	for _, relay := range []string{"relay-1", "relay-2"} {
		vms = append(vms, b.startVM(ctx, relay, ""))
		for i := range 5 {
			vms = append(vms, b.startVM(ctx, fmt.Sprintf("%s-%d", relay, i), relay))
		}
	}
	return b, vms
}

// planted runs a test of a fleet under the paused clock. The fleet ends with it.
func withRelayFleet(t *testing.T, test func(is *is.I, b *relayFleet, vms []*relayVM)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		b, vms := newRelayFleet(ctx)
		test(is.New(t), b, vms)
	})
}

// Guards against choices by what was known seconds ago, and against messages to the
// coordinator that grow with the fleet: over relays each VM of a large fleet hears within a
// second what all others have in flight, each request counted once.
func TestSumsGoOverRelays(t *testing.T) {
	withRelayFleet(t, func(is *is.I, b *relayFleet, vms []*relayVM) {
		time.Sleep(5 * time.Second)
		b.mu.Lock()
		b.direct = 0
		b.mu.Unlock()
		for _, v := range vms {
			v.beginRequest()
		}
		time.Sleep(time.Second)
		for _, v := range vms {
			is.Equal(v.otherInFlight(), len(vms)-1)
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		is.True(b.direct <= 12) // two relays, five times a second
	})
}

// A VM whose relay is lost sends over another one, and is counted there soon and no more
// at the one before.
func TestSumsSurviveLossOfRelay(t *testing.T) {
	withRelayFleet(t, func(is *is.I, b *relayFleet, vms []*relayVM) {
		for _, v := range vms {
			v.beginRequest()
		}
		time.Sleep(5 * time.Second)
		b.mu.Lock()
		b.unresponsive["relay-1"] = true
		for _, v := range vms {
			if v.relay == "relay-1" {
				v.relay = "relay-2"
			}
		}
		vms[0].relay = "relay-1" // The lost relay itself sends nothing to the coordinator.
		b.mu.Unlock()
		time.Sleep(5 * time.Second)
		is.Equal(vms[7].otherInFlight(), len(vms)-2)
	})
}

// Guards against trust in sums that nobody renews: a relay that hears nothing from the
// coordinator tells nothing.
func TestRelayWithoutCoordinatorTellsNothing(t *testing.T) {
	withRelayFleet(t, func(is *is.I, b *relayFleet, vms []*relayVM) {
		time.Sleep(5 * time.Second)
		var out coordinator.SyncAnswer
		is.NoErr(vms[0].client.Gathering().Sync(coordinator.Sync{VM: "new"}, &out))
		b.harness.fence.Store(0)
		time.Sleep(2 * time.Second)
		is.True(vms[0].client.Gathering().Sync(coordinator.Sync{VM: "new"}, &out) != nil)
	})
}

// engine returns what a VM knows of the engine.
func (v *relayVM) engine() *roster.Upstream {
	u, _ := v.roster.Get("engine-0")
	return u
}

// hear lets a VM hear from the engine in an answer.
func (v *relayVM) receiveNotice(n roster.Notice) {
	v.engine().Hear(n, true, time.Now())
}

// Guards against requests at an upstream that only some VMs have heard to be in need: what
// one VM hears reaches all within a second, a VM that starts as well, and is forgotten
// everywhere once the upstream has not said it for long enough. Messages do not keep it
// going among themselves.
func TestWordsGoOverRelays(t *testing.T) {
	withRelayFleet(t, func(is *is.I, b *relayFleet, vms []*relayVM) {
		b.mu.Lock()
		b.latency = 20 * time.Millisecond
		b.mu.Unlock()
		time.Sleep(3 * time.Second)
		vms[3].receiveNotice(roster.Notice{Limited: true, Intake: 2.4})
		time.Sleep(time.Second)
		late := b.startVM(b.ctx, "late", "relay-2")
		time.Sleep(time.Second)
		for _, v := range append(vms, late) {
			s := v.engine().Standing(time.Now())
			is.True(s.Limited)
			is.Equal(s.Intake, roster.Intake(2.4))
			is.True(v.engine().Usable())
		}
		vms[8].receiveNotice(roster.Notice{Leaving: true})
		time.Sleep(time.Second)
		for _, v := range vms {
			is.True(!v.engine().Usable())
		}
		time.Sleep(45 * time.Second)
		for _, v := range vms {
			is.True(!v.engine().Standing(time.Now()).Limited)
			is.True(!v.engine().Usable()) // for good
		}
	})
}

// An upstream that was started anew under the same name inherits nothing from other VMs.
func TestWordsAreOfOneStart(t *testing.T) {
	withRelayFleet(t, func(is *is.I, _ *relayFleet, vms []*relayVM) {
		vms[3].roster.Put(roster.Entry{ID: "engine-0", Service: "texts", Address: "192.0.2.1:80", Born: 7})
		vms[3].receiveNotice(roster.Notice{Leaving: true})
		time.Sleep(3 * time.Second)
		is.True(!vms[3].engine().Usable())
		is.True(vms[4].engine().Usable())
	})
}

// What has been told is not told again: an answer without news holds no words.
func TestWordsAreToldOnce(t *testing.T) {
	withRelayFleet(t, func(is *is.I, _ *relayFleet, vms []*relayVM) {
		time.Sleep(3 * time.Second)
		vms[0].receiveNotice(roster.Notice{Limited: true, Intake: 1})
		time.Sleep(time.Second)
		var first, second coordinator.SyncAnswer
		is.NoErr(vms[0].client.Gathering().Sync(coordinator.Sync{VM: "new"}, &first))
		is.Equal(len(first.Words), 1)
		is.NoErr(vms[0].client.Gathering().Sync(coordinator.Sync{VM: "new", Told: first.Told}, &second))
		is.Equal(len(second.Words), 0)
		// A VM that was told by another one has still to be told.
		is.NoErr(vms[0].client.Gathering().Sync(coordinator.Sync{VM: "new", Told: coordinator.Told{Teller: 1, Version: 99}}, &second))
		is.Equal(len(second.Words), 1)
	})
}
