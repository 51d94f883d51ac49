package membership_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"toucanfall/fleet"
	"toucanfall/internal/bubble"
	"toucanfall/membership"
)

var ids = []fleet.VMID{"a", "b", "c", "d"}

// stateMachine runs VMs and injects faults in random order.
type stateMachine struct {
	n       *network
	delayed []delayedBeat
	// newest is the last state of each pair {VM, member}, to detect regressions.
	newest map[[2]fleet.VMID]membership.Member
}

// delayedBeat is a heartbeat that is delivered late.
type delayedBeat struct {
	to   string
	beat membership.Beat
}

func address(id fleet.VMID) string { return "addr-" + string(id) }

func (m *stateMachine) drawID(t *rapid.T) fleet.VMID { return rapid.SampledFrom(ids).Draw(t, "vm") }

// Start starts or restarts a VM.
func (m *stateMachine) Start(t *rapid.T) {
	id := m.drawID(t)
	m.n.stop(address(id))
	time.Sleep(time.Millisecond)
	m.n.start(id, address(id))
	m.dropObserver(id)
}

// Stop stops a VM without announcing it.
func (m *stateMachine) Stop(t *rapid.T) {
	id := m.drawID(t)
	m.n.stop(address(id))
	m.dropObserver(id)
}

// dropObserver drops the states that a VM reported before it was stopped.
func (m *stateMachine) dropObserver(id fleet.VMID) {
	for k := range m.newest {
		if k[0] == id {
			delete(m.newest, k)
		}
	}
}

// Silence makes a VM silent, or lets it answer again.
func (m *stateMachine) Silence(t *rapid.T) {
	at := address(m.drawID(t))
	m.n.locked(func() { m.n.silent[at] = !m.n.silent[at] })
}

// Leave announces a planned stop.
func (m *stateMachine) Leave(t *rapid.T) {
	at := address(m.drawID(t))
	m.n.locked(func() {
		if v := m.n.running[at]; v != nil {
			v.leaving = true
		}
	})
}

// List changes the platform's VM list, which may be wrong or unavailable.
func (m *stateMachine) List(t *rapid.T) {
	m.n.list(rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID).Draw(t, "listed")...)
	down := rapid.Bool().Draw(t, "down")
	m.n.locked(func() {
		m.n.listErr = nil
		if down {
			m.n.listErr = errUnreachable
		}
	})
}

// Hold stores a heartbeat to deliver it later.
func (m *stateMachine) Hold(t *rapid.T) {
	if v := m.n.running[address(m.drawID(t))]; v != nil {
		m.delayed = append(m.delayed, delayedBeat{to: address(m.drawID(t)), beat: m.n.beat(v)})
	}
}

// Deliver delivers a stored heartbeat, and keeps it to be delivered again.
func (m *stateMachine) Deliver(t *rapid.T) {
	if len(m.delayed) == 0 {
		// rapid draws another action; no test is skipped.
		t.Skip("none held")
	}
	h := rapid.SampledFrom(m.delayed).Draw(t, "held")
	if v := m.n.running[h.to]; v != nil {
		v.members.Receive(h.beat)
	}
}

// Wait lets time pass.
func (m *stateMachine) Wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
}

// Check checks the invariants of every running VM, and that what it knows about the
// others is never replaced by older state.
func (m *stateMachine) Check(t *rapid.T) {
	synctest.Wait()
	for _, v := range m.n.running {
		if err := v.members.Check(); err != nil {
			t.Fatal(err)
		}
		seen := make(map[fleet.VMID]bool)
		for _, mb := range v.members.Members() {
			seen[mb.VM.ID] = true
			m.checkMember(t, v, mb)
		}
		for _, id := range ids {
			if !seen[id] {
				delete(m.newest, [2]fleet.VMID{v.id, id})
			}
		}
	}
}

func (m *stateMachine) checkMember(t *rapid.T, v *vm, mb membership.Member) {
	key := [2]fleet.VMID{v.id, mb.VM.ID}
	old := m.newest[key]
	regressed := old.Beat.Incarnation > mb.Beat.Incarnation ||
		(old.Beat.Incarnation == mb.Beat.Incarnation && mb.Beat.At.Before(old.Beat.At))
	if regressed || old.LastHeard.After(mb.LastHeard) {
		t.Fatalf("%s replaced newer state %+v by %+v", v.id, old, mb)
	}
	m.newest[key] = mb
	if mb.Answering && time.Since(mb.LastHeard) >= membership.SilentAfter {
		t.Fatalf("%s reports %s as answering after %v", v.id, mb.VM.ID, time.Since(mb.LastHeard))
	}
}

func TestRandomMembership(t *testing.T) {
	bubble.Check(t, func(rt *rapid.T) {
		m := &stateMachine{n: newNetwork(), newest: make(map[[2]fleet.VMID]membership.Member)}
		defer m.stopAll()
		m.n.list(ids...)
		rt.Repeat(rapid.StateMachineActions(m))
		m.heal(rt)
	})
}

// heal ends all faults. All VMs must then report the others as answering, with their
// current incarnations.
func (m *stateMachine) heal(t *rapid.T) {
	for _, id := range ids {
		if m.n.running[address(id)] == nil {
			m.n.start(id, address(id))
		}
	}
	m.n.locked(func() { m.n.listErr = nil; clear(m.n.silent) })
	m.n.list(ids...)
	time.Sleep(settleTime)
	for _, v := range m.n.running {
		for _, id := range ids {
			mb := v.member(id)
			if id == v.id {
				continue
			}
			if mb == nil || !mb.Answering || mb.Beat.Incarnation != m.n.running[address(id)].incarnation {
				t.Fatalf("%s does not know %s after the faults: %+v", v.id, id, mb)
			}
		}
	}
}

func (m *stateMachine) stopAll() {
	for _, id := range ids {
		m.n.stop(address(id))
	}
}
