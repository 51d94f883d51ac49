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

// machine withdraws keys while links, log and VMs fail in any order.
type machine struct {
	w       *world
	secrets map[fleet.KeyID]fleet.Secret
	// withdrawn holds the keys that an operator withdrew, and whether the VM
	// that never restarts was told at once. What no VM that runs has heard and
	// the log does not have is lost, of which the operator was warned.
	withdrawn map[fleet.KeyID]bool
	// told holds the keys whose withdrawal the VM that never restarts was told
	// at once. The others may be known to the log alone while that is out.
	told map[fleet.KeyID]bool
	// heard holds the VM processes that refused a key once.
	heard map[*vm]map[fleet.KeyID]bool
	turn  int
}

func (m *machine) drawVM(t *rapid.T) string { return rapid.SampledFrom(vmNames).Draw(t, "vm") }

// Withdraw withdraws a key at a VM that runs.
func (m *machine) Withdraw(t *rapid.T) {
	v := m.w.up[m.drawVM(t)]
	if v == nil {
		// rapid draws another action; no test is skipped.
		t.Skip("not running")
	}
	id := rapid.SampledFrom(keyIDs).Draw(t, "key")
	o := v.withdraw(id)
	first := v.name == vmNames[0] || slices.Contains(o.Reach.Informed, fleet.VMID(vmNames[0]))
	m.told[id] = m.told[id] || first
	m.withdrawn[id] = m.withdrawn[id] || !o.NotLogged || first
}

// Link cuts or heals a link between two VMs or between a VM and the log.
func (m *machine) Link(t *rapid.T) {
	other := rapid.SampledFrom(append([]string{"log"}, vmNames...)).Draw(t, "other")
	m.w.cut(rapid.Bool().Draw(t, "cut"), m.drawVM(t), other)
}

// Outage cuts the log off from all VMs, or ends that.
func (m *machine) Outage(t *rapid.T) {
	m.w.cut(rapid.Bool().Draw(t, "outage"), "log", vmNames...)
}

// Restart starts a VM anew, without state. One VM keeps running.
func (m *machine) Restart(t *rapid.T) {
	m.w.start(rapid.SampledFrom(vmNames[1:]).Draw(t, "vm"))
}

// Wait lets time pass.
func (m *machine) Wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 3500).Draw(t, "ms")) * time.Millisecond)
}

// Check asserts on one VM after the other that none serves a key again that it
// refused, that no key is refused that nobody withdrew, and the invariants of
// the program.
func (m *machine) Check(t *rapid.T) {
	m.turn++
	v := m.w.up[vmNames[m.turn%len(vmNames)]]
	if err := v.ring.Check(); err != nil {
		t.Fatal(err)
	}
	if m.heard[v] == nil {
		m.heard[v] = make(map[fleet.KeyID]bool)
	}
	for _, id := range keyIDs {
		m.checkKey(t, v, id)
	}
}

func (m *machine) checkKey(t *rapid.T, v *vm, id fleet.KeyID) {
	kind := v.answer(m.secrets[id])
	switch {
	case kind == "" && m.heard[v][id]:
		t.Fatalf("%s serves %s, which it refused before", v.name, id)
	case kind == fault.KeyWithdrawn:
		if _, ok := m.withdrawn[id]; !ok {
			t.Fatalf("%s refuses %s, which nobody withdrew", v.name, id)
		}
		m.heard[v][id] = true
	}
}

// heal ends the cuts between VMs first, and then the outage of the log. At each
// step all VMs that are ready refuse the same keys; at the end the log has all
// that they refuse.
func (m *machine) heal(t *rapid.T) {
	m.w.cut(true, "log", vmNames...)
	for _, name := range vmNames {
		m.w.cut(false, name, vmNames...)
	}
	time.Sleep(4 * time.Second)
	m.compare(t, m.told)
	m.w.cut(false, "log", vmNames...)
	time.Sleep(10 * time.Second)
	m.compare(t, m.withdrawn)
	for _, id := range keyIDs {
		refused := m.w.up[vmNames[0]].answer(m.secrets[id]) == fault.KeyWithdrawn
		if logged := len(m.w.logged(id)) > 0; logged != refused {
			t.Fatalf("%s is refused: %v, but logged: %v", id, refused, logged)
		}
	}
}

// compare asserts that all VMs refuse the same keys, those of must among them.
func (m *machine) compare(t *rapid.T, must map[fleet.KeyID]bool) {
	for _, id := range keyIDs {
		first := m.w.up[vmNames[0]].answer(m.secrets[id])
		if must[id] && first != fault.KeyWithdrawn {
			t.Fatalf("%s answers %q for %s after the faults", vmNames[0], first, id)
		}
		for _, name := range vmNames {
			got := m.w.up[name].answer(m.secrets[id])
			if got != first && got != fault.NotReady {
				t.Fatalf("%s answers %q for %s, and %s answers %q", name, got, id, vmNames[0], first)
			}
		}
	}
}

func TestRandomWithdrawals(t *testing.T) {
	bubble.Check(t, func(rt *rapid.T) {
		w := newWorld(t, vmNames...)
		defer w.close()
		m := &machine{
			w:         w,
			secrets:   w.setUp("serve", keyIDs...),
			withdrawn: make(map[fleet.KeyID]bool),
			told:      make(map[fleet.KeyID]bool),
			heard:     make(map[*vm]map[fleet.KeyID]bool),
		}
		rt.Repeat(rapid.StateMachineActions(m))
		m.heal(rt)
	})
}
