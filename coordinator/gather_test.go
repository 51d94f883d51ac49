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
type branch struct {
	ctx   context.Context
	world *world

	mu sync.Mutex
	// gone are VMs that answer nobody.
	gone map[string]bool
	vms  map[string]*branchVM
	// way is how long a message takes.
	way time.Duration
	// direct counts the messages to the coordinator.
	direct int
}

// branchVM is a VM with what it knows of the engines.
type branchVM struct {
	client *coordinator.Client
	roster *roster.Roster
	// over is the VM that takes its messages, "" for none.
	over string
}

// Call carries a message.
func (b *branch) Call(ctx context.Context, address, method string, args, reply any) error {
	b.mu.Lock()
	vm, gone, way := b.vms[address], b.gone[address], b.way
	if address == "coordinator" {
		b.direct++
	}
	b.mu.Unlock()
	time.Sleep(way)
	switch {
	case gone:
		<-ctx.Done()
		return ctx.Err()
	case method == coordinator.RelayServiceName+".Sync":
		return vm.client.RelayService().Sync(args.(coordinator.Sync), reply.(*coordinator.SyncAnswer))
	}
	return b.world.c.Service().Sync(args.(coordinator.Sync), reply.(*coordinator.SyncAnswer))
}

// start starts a VM of a fleet of 195, which sends over another one unless that is "".
func (b *branch) start(ctx context.Context, name, over string) *branchVM {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	vm := &branchVM{roster: roster.New(), over: over}
	vm.roster.Put(roster.Entry{ID: "engine-0", Service: "texts", Address: "192.0.2.1:80"})
	vm.client = coordinator.NewClient(coordinator.ClientConfig{
		VM: fleet.VMID(name), Local: b.world.c, Peers: b, Roster: vm.roster, OnAnswer: func(bool) {},
		FleetSize:  func() int { return 195 },
		Coordinator: func() (fleet.VMID, string, bool) { return "coordinator", "coordinator", true },
		Relay: func() (string, bool) {
			b.mu.Lock()
			defer b.mu.Unlock()
			return vm.over, vm.over != ""
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
func (v *branchVM) others() int {
	u, _ := v.roster.Get("engine-0")
	own, all := u.InFlight()
	return all - own
}

// begin lets a VM have a request in flight.
func (v *branchVM) begin() {
	u, _ := v.roster.Get("engine-0")
	u.Begin(roster.Adapter{Model: "a"}, 100)
}

func plant(ctx context.Context) (b *branch, vms []*branchVM) {
	b = &branch{ctx: ctx, world: newWorld(spec("a")), gone: make(map[string]bool), vms: make(map[string]*branchVM)}
	b.world.roster.Put(roster.Entry{ID: "engine-0", Service: "texts", Address: "192.0.2.1:80"})
	for _, relay := range []string{"relay-1", "relay-2"} {
		vms = append(vms, b.start(ctx, relay, ""))
		for i := range 5 {
			vms = append(vms, b.start(ctx, fmt.Sprintf("%s-%d", relay, i), relay))
		}
	}
	return b, vms
}

// planted runs a test of a fleet under the paused clock. The fleet ends with it.
func planted(t *testing.T, test func(is *is.I, b *branch, vms []*branchVM)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		b, vms := plant(ctx)
		test(is.New(t), b, vms)
	})
}

// Guards against choices by what was known seconds ago, and against messages to the
// coordinator that grow with the fleet: over relays each VM of a large fleet hears within a
// second what all others have in flight, each request counted once.
func TestSumsGoOverRelays(t *testing.T) {
	planted(t, func(is *is.I, b *branch, vms []*branchVM) {
		time.Sleep(5 * time.Second)
		b.mu.Lock()
		b.direct = 0
		b.mu.Unlock()
		for _, v := range vms {
			v.begin()
		}
		time.Sleep(time.Second)
		for _, v := range vms {
			is.Equal(v.others(), len(vms)-1)
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		is.True(b.direct <= 12) // two relays, five times a second
	})
}

// A VM whose relay is lost sends over another one, and is counted there soon and no more
// at the one before.
func TestSumsSurviveLossOfRelay(t *testing.T) {
	planted(t, func(is *is.I, b *branch, vms []*branchVM) {
		for _, v := range vms {
			v.begin()
		}
		time.Sleep(5 * time.Second)
		b.mu.Lock()
		b.gone["relay-1"] = true
		for _, v := range vms {
			if v.over == "relay-1" {
				v.over = "relay-2"
			}
		}
		vms[0].over = "relay-1" // The lost relay itself sends nothing to the coordinator.
		b.mu.Unlock()
		time.Sleep(5 * time.Second)
		is.Equal(vms[7].others(), len(vms)-2)
	})
}

// Guards against trust in sums that nobody renews: a relay that hears nothing from the
// coordinator tells nothing.
func TestRelayWithoutCoordinatorTellsNothing(t *testing.T) {
	planted(t, func(is *is.I, b *branch, vms []*branchVM) {
		time.Sleep(5 * time.Second)
		var out coordinator.SyncAnswer
		is.NoErr(vms[0].client.RelayService().Sync(coordinator.Sync{VM: "new"}, &out))
		b.world.fence.Store(0)
		time.Sleep(2 * time.Second)
		is.True(vms[0].client.RelayService().Sync(coordinator.Sync{VM: "new"}, &out) != nil)
	})
}

// engine returns what a VM knows of the engine.
func (v *branchVM) engine() *roster.Upstream {
	u, _ := v.roster.Get("engine-0")
	return u
}

// hear lets a VM hear from the engine in an answer.
func (v *branchVM) hear(n roster.Notice) {
	v.engine().ApplyNotice(n, true, time.Now())
}

// Guards against requests at an upstream that only some VMs have heard to be in need: what
// one VM hears reaches all within a second, a VM that starts as well, and is forgotten
// everywhere once the upstream has not said it for long enough. Messages do not keep it
// going among themselves.
func TestWordsGoOverRelays(t *testing.T) {
	planted(t, func(is *is.I, b *branch, vms []*branchVM) {
		b.mu.Lock()
		b.way = 20 * time.Millisecond
		b.mu.Unlock()
		time.Sleep(3 * time.Second)
		vms[3].hear(roster.Notice{Limited: true, Intake: 2.4})
		time.Sleep(time.Second)
		late := b.start(b.ctx, "late", "relay-2")
		time.Sleep(time.Second)
		for _, v := range append(vms, late) {
			s := v.engine().NoticeStatus(time.Now())
			is.True(s.Limited)
			is.Equal(s.Intake, roster.Intake(2.4))
			is.True(v.engine().Usable())
		}
		vms[8].hear(roster.Notice{Leaving: true})
		time.Sleep(time.Second)
		for _, v := range vms {
			is.True(!v.engine().Usable())
		}
		time.Sleep(45 * time.Second)
		for _, v := range vms {
			is.True(!v.engine().NoticeStatus(time.Now()).Limited)
			is.True(!v.engine().Usable()) // for good
		}
	})
}

// An upstream that was started anew under the same name inherits nothing from other VMs.
func TestWordsAreOfOneStart(t *testing.T) {
	planted(t, func(is *is.I, _ *branch, vms []*branchVM) {
		vms[3].roster.Put(roster.Entry{ID: "engine-0", Service: "texts", Address: "192.0.2.1:80", Born: 7})
		vms[3].hear(roster.Notice{Leaving: true})
		time.Sleep(3 * time.Second)
		is.True(!vms[3].engine().Usable())
		is.True(vms[4].engine().Usable())
	})
}

// What has been told is not told again: an answer without news holds no words.
func TestWordsAreToldOnce(t *testing.T) {
	planted(t, func(is *is.I, _ *branch, vms []*branchVM) {
		time.Sleep(3 * time.Second)
		vms[0].hear(roster.Notice{Limited: true, Intake: 1})
		time.Sleep(time.Second)
		var first, second coordinator.SyncAnswer
		is.NoErr(vms[0].client.RelayService().Sync(coordinator.Sync{VM: "new"}, &first))
		is.Equal(len(first.Words), 1)
		is.NoErr(vms[0].client.RelayService().Sync(coordinator.Sync{VM: "new", Told: first.Told}, &second))
		is.Equal(len(second.Words), 0)
		// A VM that was told by another one has still to be told.
		is.NoErr(vms[0].client.RelayService().Sync(coordinator.Sync{VM: "new", Told: coordinator.Told{Teller: 1, Version: 99}}, &second))
		is.Equal(len(second.Words), 1)
	})
}
