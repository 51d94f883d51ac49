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

	"toucanfall/catalogue"
	"toucanfall/coordinator"
	"toucanfall/fleet"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// relayFleet is a fleet in which some VMs send to the coordinator and the others through
// these.
type relayFleet struct {
	ctx     context.Context
	harness *harness

	mu sync.Mutex
	// unresponsive lists the VMs that answer no calls.
	unresponsive map[string]bool
	vms          map[string]*relayVM
	// latency is how long a message takes.
	latency time.Duration
	// direct counts the messages to the coordinator.
	direct int
}

// relayVM is a VM with its client and roster.
type relayVM struct {
	client *coordinator.Client
	roster *roster.Roster
	// relay is the VM that forwards its messages, "" for none.
	relay string
}

// Call delivers a message.
func (f *relayFleet) Call(ctx context.Context, address, method string, args, reply any) error {
	f.mu.Lock()
	vm, unresponsive, latency := f.vms[address], f.unresponsive[address], f.latency
	if address == "coordinator" {
		f.direct++
	}
	f.mu.Unlock()
	time.Sleep(latency)
	switch {
	case unresponsive:
		<-ctx.Done()
		return ctx.Err()
	case method == coordinator.RelayServiceName+".Sync":
		return vm.client.RelayService().Sync(args.(coordinator.Sync), reply.(*coordinator.SyncAnswer))
	}
	return f.harness.c.Service().Sync(args.(coordinator.Sync), reply.(*coordinator.SyncAnswer))
}

// startVM starts a VM of a fleet of 195, which sends through relay unless that is "".
func (f *relayFleet) startVM(ctx context.Context, name, relay string) *relayVM {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	vm := &relayVM{roster: roster.New(), relay: relay}
	vm.roster.Put(roster.Entry{ID: "engine-0", Service: "texts", Address: "192.0.2.1:80"})
	vm.client = coordinator.NewClient(coordinator.ClientConfig{
		VM: fleet.VMID(name), Local: f.harness.c, Peers: f, Roster: vm.roster, OnAnswer: func(bool) {},
		FleetSize:   func() int { return 195 },
		Coordinator: func() (fleet.VMID, string, bool) { return "coordinator", "coordinator", true },
		Relay: func() (string, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return vm.relay, vm.relay != ""
		},
		Events: timeline.New("test", 16, logger),
	})
	f.mu.Lock()
	f.vms[name] = vm
	f.mu.Unlock()
	go func() { _ = vm.client.Run(ctx) }() // It always returns the error of ctx.
	return vm
}

// otherInFlight returns the requests in flight of all other VMs, as far as this VM knows.
func (v *relayVM) otherInFlight() int {
	u, _ := v.roster.Get("engine-0")
	own, all := u.InFlight()
	return all - own
}

// beginRequest adds a request in flight.
func (v *relayVM) beginRequest() {
	u, _ := v.roster.Get("engine-0")
	u.Begin(roster.Adapter{Model: "a"}, 100)
}

func newRelayFleet(ctx context.Context) (f *relayFleet, vms []*relayVM) {
	f = &relayFleet{ctx: ctx, harness: newHarness(spec("a")), unresponsive: make(map[string]bool), vms: make(map[string]*relayVM)}
	f.harness.roster.Put(roster.Entry{ID: "engine-0", Service: "texts", Address: "192.0.2.1:80"})
	for _, relay := range []string{"relay-1", "relay-2"} {
		vms = append(vms, f.startVM(ctx, relay, ""))
		for i := range 5 {
			vms = append(vms, f.startVM(ctx, fmt.Sprintf("%s-%d", relay, i), relay))
		}
	}
	return f, vms
}

// withRelayFleet runs a test of a fleet under a fake clock, and stops the fleet afterwards.
func withRelayFleet(t *testing.T, test func(is *is.I, f *relayFleet, vms []*relayVM)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		f, vms := newRelayFleet(ctx)
		test(is.New(t), f, vms)
	})
}

// Guards against load balancing by figures that are seconds old, and against messages to
// the coordinator that grow with the fleet: through relays each VM of a large fleet
// receives within a second the requests in flight of all others, each counted once.
func TestTrafficSumsThroughRelays(t *testing.T) {
	withRelayFleet(t, func(is *is.I, f *relayFleet, vms []*relayVM) {
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		f.direct = 0
		f.mu.Unlock()
		for _, v := range vms {
			v.beginRequest()
		}
		time.Sleep(time.Second)
		for _, v := range vms {
			is.Equal(v.otherInFlight(), len(vms)-1)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		is.True(f.direct <= 12) // two relays, five times a second
	})
}

// A VM whose relay fails sends through another one. Its requests are soon counted there,
// and no longer at the failed relay.
func TestTrafficSumsSurviveRelayFailure(t *testing.T) {
	withRelayFleet(t, func(is *is.I, f *relayFleet, vms []*relayVM) {
		for _, v := range vms {
			v.beginRequest()
		}
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		f.unresponsive["relay-1"] = true
		for _, v := range vms {
			if v.relay == "relay-1" {
				v.relay = "relay-2"
			}
		}
		vms[0].relay = "relay-1" // The failed relay itself sends nothing to the coordinator.
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		is.Equal(vms[7].otherInFlight(), len(vms)-2)
	})
}

// Guards against stale sums: a relay that gets no answers from the coordinator answers no
// VM.
func TestRelayWithoutCoordinatorFails(t *testing.T) {
	withRelayFleet(t, func(is *is.I, f *relayFleet, vms []*relayVM) {
		time.Sleep(5 * time.Second)
		var out coordinator.SyncAnswer
		is.NoErr(vms[0].client.RelayService().Sync(coordinator.Sync{VM: "new"}, &out))
		f.harness.fence.Store(0)
		time.Sleep(2 * time.Second)
		is.True(vms[0].client.RelayService().Sync(coordinator.Sync{VM: "new"}, &out) != nil)
	})
}

// engine returns the engine's entry in the VM's roster.
func (v *relayVM) engine() *roster.Upstream {
	u, _ := v.roster.Get("engine-0")
	return u
}

// receiveNotice applies a notice as if the engine had sent it in a response.
func (v *relayVM) receiveNotice(n roster.Notice) {
	v.engine().ApplyNotice(n, true, time.Now())
}

// Guards against requests to an upstream whose announced limit only some VMs know: a notice
// that one VM receives reaches all VMs within a second, also a VM that starts later. It
// expires everywhere once the upstream has not repeated it for long enough; the messages
// between VMs must not keep it alive.
func TestNoticesThroughRelays(t *testing.T) {
	withRelayFleet(t, func(is *is.I, f *relayFleet, vms []*relayVM) {
		f.mu.Lock()
		f.latency = 20 * time.Millisecond
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		vms[3].receiveNotice(roster.Notice{Limited: true, Intake: 2.4})
		time.Sleep(time.Second)
		late := f.startVM(f.ctx, "late", "relay-2")
		time.Sleep(time.Second)
		for _, v := range append(vms, late) {
			s := v.engine().NoticeStatus(time.Now())
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
			is.True(!v.engine().NoticeStatus(time.Now()).Limited)
			is.True(!v.engine().Usable()) // a leaving upstream stays unusable
		}
	})
}

// A restarted upstream with the same name doesn't inherit notices from other VMs.
func TestNoticesApplyToOneStart(t *testing.T) {
	withRelayFleet(t, func(is *is.I, _ *relayFleet, vms []*relayVM) {
		vms[3].roster.Put(roster.Entry{ID: "engine-0", Service: "texts", Address: "192.0.2.1:80", Born: 7})
		vms[3].receiveNotice(roster.Notice{Leaving: true})
		time.Sleep(3 * time.Second)
		is.True(!vms[3].engine().Usable())
		is.True(vms[4].engine().Usable())
	})
}

// A notice is sent to each receiver once: the next answer holds none.
func TestNoticesAreSentOnce(t *testing.T) {
	withRelayFleet(t, func(is *is.I, _ *relayFleet, vms []*relayVM) {
		time.Sleep(3 * time.Second)
		vms[0].receiveNotice(roster.Notice{Limited: true, Intake: 1})
		time.Sleep(time.Second)
		var first, second coordinator.SyncAnswer
		is.NoErr(vms[0].client.RelayService().Sync(coordinator.Sync{VM: "new"}, &first))
		is.Equal(len(first.Words), 1)
		is.NoErr(vms[0].client.RelayService().Sync(coordinator.Sync{VM: "new", Told: first.Told}, &second))
		is.Equal(len(second.Words), 0)
		// A position in the notices of another VM counts as none.
		is.NoErr(vms[0].client.RelayService().Sync(coordinator.Sync{VM: "new", Told: coordinator.Told{Teller: 1, Version: 99}}, &second))
		is.Equal(len(second.Words), 1)
	})
}

// Guards against full traffic to a cold engine from VMs that got no answer of it, and against a cold
// time that the messages between VMs keep alive: each counts it from the receipt. Two VMs get the
// time from answers of the engine, again and again. All others know it two seconds after the first one.
func TestColdTimeThroughRelays(t *testing.T) {
	withRelayFleet(t, func(is *is.I, f *relayFleet, vms []*relayVM) {
		f.mu.Lock()
		f.latency = 20 * time.Millisecond
		f.mu.Unlock()
		for _, v := range vms {
			v.roster.SetColdLimits(map[catalogue.ServiceID]roster.ColdLimit{"texts": {Rate: 19, Time: time.Minute}})
		}
		time.Sleep(3 * time.Second)
		const coldTime = 20 * time.Second
		until := time.Now().Add(coldTime)
		for i := 0; time.Now().Before(until); i++ {
			vms[3+5*(i%2)].receiveNotice(roster.Notice{Cold: time.Until(until)})
			time.Sleep(time.Second)
			for _, v := range vms {
				is.True(i == 0 || !time.Now().Before(until) || v.engine().NoticeStatus(time.Now()).ColdIntake == 19)
			}
		}
		f.mu.Lock()
		f.latency = 0 // No message is on its way at the end of the test.
		f.mu.Unlock()
		time.Sleep(time.Second)
		for _, v := range vms {
			is.Equal(v.engine().NoticeStatus(time.Now()).ColdIntake, roster.Intake(0))
		}
	})
}
