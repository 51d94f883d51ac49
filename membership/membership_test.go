package membership_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
	"toucanfall/membership"
	"toucanfall/timeline"
)

// settleTime is longer than reading the list, a heartbeat and SilentAfter take
// together. It is not a multiple of their intervals, so no timer fires at its end.
const settleTime = 5100 * time.Millisecond

// runPair runs f with the VMs a and b, which have answered each other.
func runPair(t *testing.T, f func(is *is.I, n *network, a, b *vm)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.list("a", "b")
		a, b := n.start("a", "addr-a"), n.start("b", "addr-b")
		defer n.stop("addr-a")
		defer n.stop("addr-b")
		time.Sleep(settleTime)
		is := is.New(t)
		is.True(a.member("b").Answering)
		is.True(b.member("a").Answering)
		f(is, n, a, b)
		is.NoErr(a.members.Check())
		is.NoErr(b.members.Check())
	})
}

func TestSilentMemberIsNotAnswering(t *testing.T) {
	runPair(t, func(is *is.I, n *network, a, _ *vm) {
		n.locked(func() { n.silent["addr-b"] = true })
		time.Sleep(settleTime)
		is.True(!a.member("b").Answering)
		is.Equal(a.countEvents("peer_silent"), 1)
		n.locked(func() { n.silent["addr-b"] = false })
		time.Sleep(settleTime)
		is.True(a.member("b").Answering)
		is.Equal(a.countEvents("peer_joined"), 2)
	})
}

func TestLeavingIsAnnouncedBeforeStop(t *testing.T) {
	runPair(t, func(is *is.I, n *network, a, b *vm) {
		n.locked(func() { b.leaving = true })
		time.Sleep(time.Second)
		is.True(a.member("b").Beat.Leaving)
		is.Equal(a.countEvents("peer_leaving"), 1)
	})
}

// An answer that is delayed by nearly the heartbeat timeout must count from when the
// heartbeat was sent.
func TestAnswerCountsFromWhenHeartbeatWasSent(t *testing.T) {
	runPair(t, func(is *is.I, n *network, a, _ *vm) {
		n.locked(func() { n.delay = 900 * time.Millisecond })
		time.Sleep(settleTime)
		asked := a.member("b").LastHeard
		is.True(time.Since(asked) >= 900*time.Millisecond)
	})
}

// A heartbeat that was buffered, as during a pause longer than any timeout, must not
// make its sender count as answering.
func TestReceivedHeartbeatDoesNotCountAsAnswer(t *testing.T) {
	runPair(t, func(is *is.I, n *network, a, b *vm) {
		n.locked(func() { n.silent["addr-b"] = true })
		time.Sleep(settleTime)
		late := n.beat(b)
		a.members.Receive(late)
		is.True(!a.member("b").Answering)
		is.Equal(a.member("b").Beat.At, late.At) // its content still counts
	})
}

func TestOlderHeartbeatDoesNotReplaceNewer(t *testing.T) {
	runPair(t, func(is *is.I, n *network, a, b *vm) {
		n.locked(func() { n.silent["addr-b"] = true; b.applied = 4 })
		old := n.beat(b)
		n.locked(func() { b.applied = 5 })
		a.members.Receive(n.beat(b))
		a.members.Receive(old)
		is.Equal(a.member("b").Beat.Applied, fleet.Offset(5))
	})
}

func TestRestartIsANewIncarnation(t *testing.T) {
	runPair(t, func(is *is.I, n *network, a, b *vm) {
		late := n.beat(b)
		late.At = timeline.Stamp{WallMS: late.At.WallMS + 1e9}
		n.stop("addr-b")
		again := n.start("b", "addr-b")
		time.Sleep(settleTime)
		a.members.Receive(late)
		is.Equal(a.member("b").Beat.Incarnation, again.incarnation)
		is.Equal(a.countEvents("peer_restarted"), 1)
	})
}

// While the list lags behind the replacement of a VM at its address, answers of the
// new VM must not count for the old one.
func TestReplacedVMUnderTheSameAddress(t *testing.T) {
	runPair(t, func(is *is.I, n *network, a, _ *vm) {
		n.stop("addr-b")
		n.start("c", "addr-b")
		time.Sleep(settleTime)
		is.True(!a.member("b").Answering) // c answers at b's address
		n.locked(func() { n.vms = []fleet.VM{entryVM("a", "addr-a"), entryVM("c", "addr-b")} })
		time.Sleep(settleTime)
		is.True(a.member("b") == nil)
		is.True(a.member("c").Answering)
	})
}

func TestListDownKeepsMembers(t *testing.T) {
	runPair(t, func(is *is.I, n *network, a, _ *vm) {
		n.locked(func() { n.listErr = errUnreachable })
		time.Sleep(settleTime)
		is.True(a.member("b").Answering)
		is.Equal(a.countEvents("vm_list_unreachable"), 1)
	})
}

func TestListDownAtTheStartIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.listErr = errUnreachable
		a := n.start("a", "addr-a")
		defer n.stop("addr-a")
		time.Sleep(settleTime)
		is := is.New(t)
		is.Equal(a.countEvents("vm_list_unreachable"), 1)
		is.True(!a.members.ListRead())
	})
}

func TestUnlistedVMIsRemoved(t *testing.T) {
	runPair(t, func(is *is.I, n *network, a, b *vm) {
		n.list("a")
		time.Sleep(settleTime)
		is.True(a.member("b") == nil)
		a.members.Receive(n.beat(b)) // not listed, so not a member
		is.True(a.member("b") == nil)
		n.list("a", "b")
		time.Sleep(settleTime)
		is.True(a.member("b").Answering)
	})
}

// A VM that delays each call until its timeout must not delay the heartbeats to
// others.
func TestSilentMemberDoesNotDelayOthers(t *testing.T) {
	runPair(t, func(is *is.I, n *network, a, _ *vm) {
		n.list("a", "b", "c")
		n.locked(func() { n.running["addr-c"] = n.running["addr-b"]; n.silent["addr-c"] = true })
		time.Sleep(settleTime)
		begin := a.member("b").LastHeard
		time.Sleep(4 * membership.HeartbeatInterval)
		is.Equal(a.member("b").LastHeard.Sub(begin), 4*membership.HeartbeatInterval)
	})
}
