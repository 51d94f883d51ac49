package keyring_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/bubble"
)

var (
	vmNames = []string{"a", "b", "c"}
	keyIDs  = []fleet.KeyID{"k1", "k2"}
)

// stateMachine withdraws keys while links, the log and VMs fail in random order.
type stateMachine struct {
	cluster *cluster
	secrets map[fleet.KeyID]fleet.Secret
	// withdrawn has an entry for each key that an operator withdrew. It is true
	// if the withdrawal was logged or reached the VM that never restarts
	// immediately. Any other withdrawal may be lost when VMs restart, and the
	// operator was warned of that.
	withdrawn map[fleet.KeyID]bool
	// informed holds the keys whose withdrawal immediately reached the VM that
	// never restarts. Others may be known only to the log during its outage.
	informed map[fleet.KeyID]bool
	// refused holds the keys that each VM process has rejected.
	refused map[*vm]map[fleet.KeyID]bool
	step    int
}

func (m *stateMachine) drawVM(t *rapid.T) string { return rapid.SampledFrom(vmNames).Draw(t, "vm") }

// Withdraw withdraws a key on a running VM.
func (m *stateMachine) Withdraw(t *rapid.T) {
	v := m.cluster.running[m.drawVM(t)]
	if v == nil {
		// rapid draws another action; no test is skipped.
		t.Skip("not running")
	}
	id := rapid.SampledFrom(keyIDs).Draw(t, "key")
	o := v.withdraw(id)
	first := v.name == vmNames[0] || slices.Contains(o.Reach.Informed, fleet.VMID(vmNames[0]))
	m.informed[id] = m.informed[id] || first
	m.withdrawn[id] = m.withdrawn[id] || !o.NotLogged || first
}

// Link cuts or restores a link between two VMs or between a VM and the log.
func (m *stateMachine) Link(t *rapid.T) {
	other := rapid.SampledFrom(append([]string{"log"}, vmNames...)).Draw(t, "other")
	m.cluster.setCut(rapid.Bool().Draw(t, "cut"), m.drawVM(t), other)
}

// Outage cuts or restores the links of the log to all VMs.
func (m *stateMachine) Outage(t *rapid.T) {
	m.cluster.setCut(rapid.Bool().Draw(t, "outage"), "log", vmNames...)
}

// Restart restarts a VM without state. The first VM is never restarted.
func (m *stateMachine) Restart(t *rapid.T) {
	m.cluster.start(rapid.SampledFrom(vmNames[1:]).Draw(t, "vm"))
}

// Wait lets time pass.
func (m *stateMachine) Wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 3500).Draw(t, "ms")) * time.Millisecond)
}

// Check checks one VM per step, in rotation: it must not serve a key that it has
// rejected, must not reject a key that nobody withdrew, and its keyring's
// invariants must hold.
func (m *stateMachine) Check(t *rapid.T) {
	m.step++
	v := m.cluster.running[vmNames[m.step%len(vmNames)]]
	if err := v.keyring.Check(); err != nil {
		t.Fatal(err)
	}
	if m.refused[v] == nil {
		m.refused[v] = make(map[fleet.KeyID]bool)
	}
	for _, id := range keyIDs {
		m.checkKey(t, v, id)
	}
}

func (m *stateMachine) checkKey(t *rapid.T, v *vm, id fleet.KeyID) {
	kind := v.probe(m.secrets[id])
	switch {
	case kind == "" && m.refused[v][id]:
		t.Fatalf("%s serves %s, which it rejected before", v.name, id)
	case kind == fault.KeyWithdrawn:
		if _, ok := m.withdrawn[id]; !ok {
			t.Fatalf("%s rejects %s, which nobody withdrew", v.name, id)
		}
		m.refused[v][id] = true
	}
}

// heal restores the links between VMs first, and then the log. After each step
// all VMs that are ready must reject the same keys; at the end the log must hold
// the withdrawals of exactly these keys.
func (m *stateMachine) heal(t *rapid.T) {
	m.cluster.setCut(true, "log", vmNames...)
	for _, name := range vmNames {
		m.cluster.setCut(false, name, vmNames...)
	}
	time.Sleep(4 * time.Second)
	m.checkSameAnswers(t, m.informed)
	m.cluster.setCut(false, "log", vmNames...)
	time.Sleep(10 * time.Second)
	m.checkSameAnswers(t, m.withdrawn)
	for _, id := range keyIDs {
		refused := m.cluster.running[vmNames[0]].probe(m.secrets[id]) == fault.KeyWithdrawn
		if logged := len(m.cluster.loggedBy(id)) > 0; logged != refused {
			t.Fatalf("%s: rejected %v, logged %v", id, refused, logged)
		}
	}
}

// checkSameAnswers requires that all ready VMs give the same answer for each key,
// and that the keys in required are rejected.
func (m *stateMachine) checkSameAnswers(t *rapid.T, required map[fleet.KeyID]bool) {
	for _, id := range keyIDs {
		first := m.cluster.running[vmNames[0]].probe(m.secrets[id])
		if required[id] && first != fault.KeyWithdrawn {
			t.Fatalf("%s answers %q for %s after the faults", vmNames[0], first, id)
		}
		for _, name := range vmNames {
			got := m.cluster.running[name].probe(m.secrets[id])
			if got != first && got != fault.NotReady {
				t.Fatalf("%s answers %q for %s, and %s answers %q", name, got, id, vmNames[0], first)
			}
		}
	}
}

func TestRandomWithdrawals(t *testing.T) {
	bubble.Check(t, func(rt *rapid.T) {
		cl := newCluster(t, vmNames...)
		defer cl.close()
		m := &stateMachine{
			cluster:   cl,
			secrets:   cl.setUp("serve", keyIDs...),
			withdrawn: make(map[fleet.KeyID]bool),
			informed:  make(map[fleet.KeyID]bool),
			refused:   make(map[*vm]map[fleet.KeyID]bool),
		}
		rt.Repeat(rapid.StateMachineActions(m))
		m.heal(rt)
	})
}
