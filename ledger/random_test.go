package ledger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/keyring"
	"toucanfall/timeline"
)

// cutLog is the log as one VM reaches it.
type cutLog struct {
	*faultLog
	cut atomic.Bool
}

var errCut = errors.New("cut off")

func (l *cutLog) Append(ctx context.Context, records [][]byte) (fleet.Offset, error) {
	if l.cut.Load() {
		return 0, errCut
	}
	return l.faultLog.Append(ctx, records)
}

func (l *cutLog) Read(ctx context.Context, from fleet.Offset) ([]Raw, error) {
	if l.cut.Load() {
		return nil, errCut
	}
	records, err := l.faultLog.Read(ctx, from)
	if l.cut.Load() {
		return nil, errCut
	}
	return records, err
}

func (l *cutLog) Peek(ctx context.Context, from fleet.Offset) (Page, error) {
	if l.cut.Load() {
		return Page{}, errCut
	}
	return l.faultLog.Peek(ctx, from)
}

// randomVM is one VM of a randomised run.
type randomVM struct {
	log      *cutLog
	follower *Follower
	ring     *keyring.Keyring
	// heard lists the withdrawals that this process heard of.
	heard map[fleet.KeyID]bool
	// checked is the offset at which the witness saw the state last.
	checked fleet.Offset
}

func startVM(l *faultLog) *randomVM {
	vm := &randomVM{log: &cutLog{faultLog: l}, heard: make(map[fleet.KeyID]bool)}
	state := NewState()
	rec := quietRecorder()
	vm.ring = keyring.New(state, rec)
	state.OnRestore(func() {
		for _, id := range state.Withdrawn.Keys() {
			vm.ring.Withdraw(keyring.Withdrawal{Key: id})
		}
	})
	vm.follower = NewFollower(vm.log, state, rec, func(_ Raw, r Record, v Verdict) {
		if id, ok := WithdrawnKey(r); ok && v.Accepted() {
			vm.ring.Withdraw(keyring.Withdrawal{Key: id})
		}
	})
	return vm
}

// outcome is how a proposal ended.
type outcome struct {
	name    string
	team    fleet.TeamID
	key     fleet.KeyID
	verdict Verdict
	err     error
}

// randomFold is a randomised run of several VMs over one log with faults.
type randomFold struct {
	t       *testing.T
	log     *faultLog
	vms     []*randomVM
	witness *InvariantChecker
	// truth folds every record, whatever was trimmed.
	truth    *State
	rec      *timeline.Recorder
	outcomes chan outcome
	open     int
	ended    []outcome
	names    int
	// past holds the names of teams that were superseded.
	past map[string]bool
}

const (
	randomVMs   = 3
	randomThing = 3
)

func newRandomFold(t *testing.T) *randomFold {
	m := &randomFold{t: t, log: newFaultLog(), witness: NewInvariantChecker(), truth: NewState(), rec: quietRecorder(), outcomes: make(chan outcome, 1000), past: make(map[string]bool)}
	for range randomVMs {
		m.vms = append(m.vms, startVM(m.log))
	}
	synctest.Wait()
	return m
}

func (m *randomFold) close() {
	for _, vm := range m.vms {
		vm.follower.Close()
	}
	time.Sleep(6 * time.Second)
	synctest.Wait()
}

func (m *randomFold) vm(rt *rapid.T) *randomVM {
	return m.vms[rapid.IntRange(0, randomVMs-1).Draw(rt, "vm")]
}

func thing[T ~string](rt *rapid.T, prefix string) T {
	return T(fmt.Sprint(prefix, rapid.IntRange(0, randomThing-1).Draw(rt, prefix)))
}

// send proposes a record and notes how that ends.
func (m *randomFold) send(vm *randomVM, r Record, o outcome) {
	m.open++
	f := vm.follower
	go func() {
		o.verdict, o.err = propose(f, 5*time.Second, r)
		m.outcomes <- o
	}()
}

// changeTeam lets an operator change a team on the base that his VM shows, or
// on an older one.
func (m *randomFold) changeTeam(rt *rapid.T) {
	vm, id := m.vm(rt), thing[fleet.TeamID](rt, "team")
	old, _ := vm.follower.State.Teams.Get(id)
	base := old.Revision
	if rapid.IntRange(0, 3).Draw(rt, "stale") == 0 {
		base = 0
	}
	m.names++
	name := fmt.Sprintf("name-%d-", m.names)
	m.send(vm, fold{m.t, nil}.record(KindTeam, base, fleet.Team{ID: id, Name: name}), outcome{name: name, team: id})
}

func (m *randomFold) addKey(rt *rapid.T) {
	m.names++
	id := fleet.KeyID(fmt.Sprint("key", m.names))
	key := testKey(id, thing[fleet.TeamID](rt, "team"), string(id))
	m.send(m.vm(rt), fold{m.t, nil}.record(KindKey, 0, key), outcome{key: id})
}

func (m *randomFold) withdraw(rt *rapid.T) {
	vm := m.vm(rt)
	id := fleet.KeyID(fmt.Sprint("key", rapid.IntRange(0, m.names).Draw(rt, "key")))
	if known := m.truth.Keys.Keys(); len(known) > 0 {
		id = rapid.SampledFrom(known).Draw(rt, "known")
	}
	vm.ring.Withdraw(keyring.Withdrawal{Key: id})
	m.send(vm, fold{m.t, nil}.record(KindWithdraw, 0, Withdrawal{Key: id}), outcome{})
}

func (m *randomFold) disturbAppends(rt *rapid.T) {
	n := rapid.IntRange(1, 3).Draw(rt, "n")
	kind := rapid.IntRange(0, 2).Draw(rt, "fault")
	m.log.set(func(l *faultLog) {
		switch kind {
		case 0:
			l.losing += n
		case 1:
			l.dropping += n
		default:
			l.holding += n
		}
	})
}

// release lets a held append take effect, long after its proposer gave up.
func (m *randomFold) release(rt *rapid.T) {
	m.log.set(func(l *faultLog) {
		if len(l.held) == 0 {
			return
		}
		i := rapid.IntRange(0, len(l.held)-1).Draw(rt, "held")
		records := l.held[i]
		l.held = append(l.held[:i:i], l.held[i+1:]...)
		l.add(records)
	})
}

func (m *randomFold) duplicate(rt *rapid.T) {
	m.log.set(func(l *faultLog) {
		if len(l.all) == 0 {
			return
		}
		i := rapid.IntRange(0, len(l.all)-1).Draw(rt, "record")
		l.add([][]byte{l.all[i].Data})
	})
}

func (m *randomFold) foreign(rt *rapid.T) {
	data := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(rt, "data")
	m.log.set(func(l *faultLog) { l.add([][]byte{data}) })
}

func (m *randomFold) trim(rt *rapid.T) {
	m.log.trim(fleet.Offset(rapid.IntRange(1, int(m.log.end())).Draw(rt, "below")))
}

func (m *randomFold) snapshot(rt *rapid.T) {
	f := m.vm(rt).follower
	if f.State.Applied() == 0 {
		return
	}
	sn, err := f.Snapshot()
	is.New(m.t).NoErr(err)
	m.names++
	for _, c := range sn.chunks(SnapshotID(fmt.Sprint("s", m.names))) {
		r := fold{m.t, nil}.record(KindSnapshotChunk, 0, c)
		m.open++
		go func() {
			_, err := propose(f, 5*time.Second, r)
			m.outcomes <- outcome{err: err}
		}()
	}
}

func (m *randomFold) restart(rt *rapid.T) {
	i := rapid.IntRange(0, randomVMs-1).Draw(rt, "vm")
	m.vms[i].follower.Close()
	m.vms[i] = startVM(m.log)
}

func (m *randomFold) cutOrHeal(rt *rapid.T) {
	vm := m.vm(rt)
	vm.log.cut.Store(!vm.log.cut.Load())
}

// relay lets one VM take records or a snapshot from another.
func (m *randomFold) relay(rt *rapid.T) {
	to, from := m.vm(rt).follower, m.vm(rt).follower
	records, ok := from.RecentRecords(to.State.Applied())
	if ok && to.Ready() && rapid.Bool().Draw(rt, "records") {
		is.New(m.t).NoErr(to.ApplyRecords(records))
		return
	}
	sn, err := from.Snapshot()
	is.New(m.t).NoErr(err)
	if from.Ready() {
		_ = to.LoadPeerSnapshot(sn, "peer")
	}
}

func (m *randomFold) wait(rt *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "ms")) * time.Millisecond)
}

// check is run after every action.
func (m *randomFold) check(rt *rapid.T) {
	time.Sleep(time.Millisecond)
	synctest.Wait()
	m.advanceTruth(rt)
	for _, vm := range m.vms {
		if applied := vm.follower.State.Applied(); applied != vm.checked {
			vm.checked = applied
			if err := m.witness.Check(vm.follower.State); err != nil {
				rt.Fatal(err)
			}
		}
		m.checkKeys(rt, vm)
	}
	for len(m.outcomes) > 0 {
		m.ended = append(m.ended, <-m.outcomes)
	}
	m.checkOutcomes(rt)
}

// checkKeys expects a VM to refuse every key whose withdrawal it heard of, from
// an operator, the log, a peer or a snapshot.
func (m *randomFold) checkKeys(rt *rapid.T, vm *randomVM) {
	state := vm.follower.State
	for _, e := range m.truth.Withdrawn.Entries() {
		if e.Revision <= fleet.Revision(state.Applied()) {
			vm.heard[e.Value.Key] = true
		}
	}
	for _, w := range vm.ring.Difference(keyring.Buckets{}).Withdrawals {
		vm.heard[w.Key] = true
	}
	for id := range vm.heard {
		_, err := vm.ring.Authenticate("Bearer " + string(id))
		_, known := state.Keys.Get(id)
		if err == nil || known && fault.KindOf(err) != fault.KeyWithdrawn {
			rt.Fatalf("withdrawn key %q gets %v", id, err)
		}
	}
}

// advanceTruth folds all records one at a time, so that the witness knows the
// digest at every offset.
func (m *randomFold) advanceTruth(rt *rapid.T) {
	m.log.mu.Lock()
	fresh := m.log.all[m.truth.Applied():]
	m.log.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	f := &Follower{State: m.truth, rec: m.rec, snapshots: newAssemblies(false)}
	for _, raw := range fresh {
		before := m.truth.Teams.Entries()
		f.apply(raw)
		m.checkNoReturn(rt, before)
		if err := m.witness.Check(m.truth); err != nil {
			rt.Fatal(err)
		}
	}
}

// checkNoReturn expects no superseded value to come back.
func (m *randomFold) checkNoReturn(rt *rapid.T, before []Entry[fleet.Team]) {
	for _, old := range before {
		now, _ := m.truth.Teams.Get(old.Value.ID)
		if now.Revision != old.Revision {
			m.past[old.Value.Name] = true
		}
		if m.past[now.Value.Name] {
			rt.Fatalf("superseded value %q came back at revision %d", now.Value.Name, now.Revision)
		}
	}
}

// checkOutcomes holds what proposers were told against the whole log.
func (m *randomFold) checkOutcomes(rt *rapid.T) {
	for _, o := range m.ended {
		if _, ok := m.truth.Keys.Get(o.key); ok && o.err == nil && !o.verdict.Accepted() {
			rt.Fatalf("key %q was rejected and is in force", o.key)
		}
		if o.name == "" {
			continue
		}
		current, _ := m.truth.Teams.Get(o.team)
		switch {
		case fault.KindOf(o.err) == fault.StoreUnavailable && m.inLog(o.name):
			rt.Fatalf("%q was refused as not appended, but stands in the log", o.name)
		case o.err == nil && o.verdict.Accepted() && current.Revision < o.verdict.Revision:
			rt.Fatalf("accepted %q is gone: revision %d is below %d", o.name, current.Revision, o.verdict.Revision)
		case o.err == nil && !o.verdict.Accepted() && current.Value.Name == o.name:
			rt.Fatalf("%q was rejected and is in force", o.name)
		}
	}
}

func (m *randomFold) inLog(name string) bool {
	m.log.mu.Lock()
	defer m.log.mu.Unlock()
	for _, raw := range m.log.all {
		if bytes.Contains(raw.Data, []byte(name)) {
			return true
		}
	}
	return false
}

// converge heals everything and expects all VMs that are ready to reach the
// end of the log, and that every proposal has ended.
func (m *randomFold) converge(rt *rapid.T) {
	for _, vm := range m.vms {
		vm.log.cut.Store(false)
	}
	m.log.set(func(l *faultLog) { l.losing, l.dropping, l.holding = 0, 0, 0 })
	time.Sleep(15 * time.Second)
	m.check(rt)
	if len(m.ended) != m.open {
		rt.Fatalf("%d of %d proposals have ended", len(m.ended), m.open)
	}
	for i, vm := range m.vms {
		f := vm.follower
		if len(f.rec.Entries(timeline.Filter{Name: event.StateDiverged.Name})) > 0 {
			rt.Fatalf("VM %d reports that its state diverged", i)
		}
		if f.Reachable() && f.State.Applied() != m.truth.Applied() {
			rt.Fatalf("VM %d stands at offset %d of %d", i, f.State.Applied(), m.truth.Applied())
		}
		if !f.Reachable() && f.State.Applied()+1 >= m.log.first {
			rt.Fatalf("VM %d stands still at offset %d although the log keeps %d on", i, f.State.Applied(), m.log.first)
		}
	}
}

// noDeadline hides the deadline of the test, which cannot be asked for where the
// clock is paused.
type noDeadline struct {
	rapid.TB
}

func TestRandomFoldHoldsItsInvariants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			m := newRandomFold(t)
			defer m.close()
			rt.Repeat(map[string]func(*rapid.T){
				"change_team":     m.changeTeam,
				"change_team_too": m.changeTeam,
				"add_key":         m.addKey,
				"withdraw":        m.withdraw,
				"disturb":         m.disturbAppends,
				"release":         m.release,
				"duplicate":       m.duplicate,
				"foreign":         m.foreign,
				"trim":            m.trim,
				"snapshot":        m.snapshot,
				"restart":         m.restart,
				"cut_or_heal":     m.cutOrHeal,
				"relay":           m.relay,
				"wait":            m.wait,
				"":                m.check,
			})
			m.converge(rt)
		})
	})
}
