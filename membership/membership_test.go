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

// settled is longer than the list, a heartbeat and the silence limit take. It
// is no multiple of their intervals, so that nothing happens just then.
const settled = 5100 * time.Millisecond

// pair runs f with the VMs a and b, which know each other.
func pair(t *testing.T, f func(is *is.I, n *network, a, b *vm)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.list("a", "b")
		a, b := n.start("a", "addr-a"), n.start("b", "addr-b")
		defer n.stop("addr-a")
		defer n.stop("addr-b")
		time.Sleep(settled)
		is := is.New(t)
		is.True(a.seen("b").Answering)
		is.True(b.seen("a").Answering)
		f(is, n, a, b)
		is.NoErr(a.members.Check())
		is.NoErr(b.members.Check())
	})
}

func TestSilentMemberIsNotAnswering(t *testing.T) {
	pair(t, func(is *is.I, n *network, a, _ *vm) {
		n.set(func() { n.silent["addr-b"] = true })
		time.Sleep(settled)
		is.True(!a.seen("b").Answering)
		is.Equal(a.count("peer_silent"), 1)
		n.set(func() { n.silent["addr-b"] = false })
		time.Sleep(settled)
		is.True(a.seen("b").Answering)
		is.Equal(a.count("peer_joined"), 2)
	})
}

func TestLeavingIsToldBeforeTheStop(t *testing.T) {
	pair(t, func(is *is.I, n *network, a, b *vm) {
		n.set(func() { b.leaving = true })
		time.Sleep(time.Second)
		is.True(a.seen("b").Beat.Leaving)
		is.Equal(a.count("peer_leaving"), 1)
	})
}

// TestAnswerProvesTheMomentItWasAskedFor holds an answer back for a whole call:
// it must count from when the heartbeat was sent.
func TestAnswerProvesTheMomentItWasAskedFor(t *testing.T) {
	pair(t, func(is *is.I, n *network, a, _ *vm) {
		n.set(func() { n.delay = 900 * time.Millisecond })
		time.Sleep(settled)
		asked := a.seen("b").LastHeard
		is.True(time.Since(asked) >= 900*time.Millisecond)
	})
}

// TestReceivedHeartbeatProvesNothing floods a VM with heartbeats that waited in
// a buffer, as after a pause longer than any timeout.
func TestReceivedHeartbeatProvesNothing(t *testing.T) {
	pair(t, func(is *is.I, n *network, a, b *vm) {
		n.set(func() { n.silent["addr-b"] = true })
		time.Sleep(settled)
		late := n.beat(b)
		a.members.Receive(late)
		is.True(!a.seen("b").Answering)
		is.Equal(a.seen("b").Beat.At, late.At) // news all the same
	})
}

func TestOlderHeartbeatDoesNotReplaceNewer(t *testing.T) {
	pair(t, func(is *is.I, n *network, a, b *vm) {
		n.set(func() { n.silent["addr-b"] = true; b.applied = 4 })
		old := n.beat(b)
		n.set(func() { b.applied = 5 })
		a.members.Receive(n.beat(b))
		a.members.Receive(old)
		is.Equal(a.seen("b").Beat.Applied, fleet.Offset(5))
	})
}

func TestRestartIsANewIncarnation(t *testing.T) {
	pair(t, func(is *is.I, n *network, a, b *vm) {
		late := n.beat(b)
		late.At = timeline.Stamp{WallMS: late.At.WallMS + 1e9}
		n.stop("addr-b")
		again := n.start("b", "addr-b")
		time.Sleep(settled)
		a.members.Receive(late)
		is.Equal(a.seen("b").Beat.Incarnation, again.incarnation)
		is.Equal(a.count("peer_restarted"), 1)
	})
}

// TestReplacedVMUnderTheSameAddress has the list lag behind a replacement.
func TestReplacedVMUnderTheSameAddress(t *testing.T) {
	pair(t, func(is *is.I, n *network, a, _ *vm) {
		n.stop("addr-b")
		n.start("c", "addr-b")
		time.Sleep(settled)
		is.True(!a.seen("b").Answering) // the answers are those of c
		n.set(func() { n.vms = []fleet.VM{entryVM("a", "addr-a"), entryVM("c", "addr-b")} })
		time.Sleep(settled)
		is.True(a.seen("b") == nil)
		is.True(a.seen("c").Answering)
	})
}

func TestListDownKeepsMembers(t *testing.T) {
	pair(t, func(is *is.I, n *network, a, _ *vm) {
		n.set(func() { n.listed = errUnreachable })
		time.Sleep(settled)
		is.True(a.seen("b").Answering)
		is.Equal(a.count("vm_list_unreachable"), 1)
	})
}

func TestListDownAtTheStartIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.listed = errUnreachable
		a := n.start("a", "addr-a")
		defer n.stop("addr-a")
		time.Sleep(settled)
		is := is.New(t)
		is.Equal(a.count("vm_list_unreachable"), 1)
		is.True(!a.members.ListRead())
	})
}

func TestDroppedMemberIsForgotten(t *testing.T) {
	pair(t, func(is *is.I, n *network, a, b *vm) {
		n.list("a")
		time.Sleep(settled)
		is.True(a.seen("b") == nil)
		a.members.Receive(n.beat(b)) // not listed, so not a member
		is.True(a.seen("b") == nil)
		n.list("a", "b")
		time.Sleep(settled)
		is.True(a.seen("b").Answering)
	})
}

// TestSilentMemberDoesNotDelayOthers has one VM hold each call to its timeout.
func TestSilentMemberDoesNotDelayOthers(t *testing.T) {
	pair(t, func(is *is.I, n *network, a, _ *vm) {
		n.list("a", "b", "c")
		n.set(func() { n.at["addr-c"] = n.at["addr-b"]; n.silent["addr-c"] = true })
		time.Sleep(settled)
		begin := a.seen("b").LastHeard
		time.Sleep(4 * membership.HeartbeatInterval)
		is.Equal(a.seen("b").LastHeard.Sub(begin), 4*membership.HeartbeatInterval)
	})
}
