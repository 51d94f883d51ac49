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

// disconnectableLog is one VM's connection to the log. While disconnected is set,
// every call fails.
type disconnectableLog struct {
	*faultLog
	disconnected atomic.Bool
}

var errDisconnected = errors.New("disconnected")

func (l *disconnectableLog) Append(ctx context.Context, records [][]byte) (fleet.Offset, error) {
	if l.disconnected.Load() {
		return 0, errDisconnected
	}
	return l.faultLog.Append(ctx, records)
}

func (l *disconnectableLog) Read(ctx context.Context, from fleet.Offset) ([]Raw, error) {
	if l.disconnected.Load() {
		return nil, errDisconnected
	}
	records, err := l.faultLog.Read(ctx, from)
	if l.disconnected.Load() {
		return nil, errDisconnected
	}
	return records, err
}

func (l *disconnectableLog) Peek(ctx context.Context, from fleet.Offset) (Page, error) {
	if l.disconnected.Load() {
		return Page{}, errDisconnected
	}
	return l.faultLog.Peek(ctx, from)
}

// randomVM is one VM of a randomized run.
type randomVM struct {
	log      *disconnectableLog
	follower *Follower
	ring     *keyring.Keyring
	// knownWithdrawals contains the keys whose withdrawal this process has received.
	knownWithdrawals map[fleet.KeyID]bool
	// checkedOffset is the offset at which the state was last checked.
	checkedOffset fleet.Offset
}

func startVM(l *faultLog) *randomVM {
	vm := &randomVM{log: &disconnectableLog{faultLog: l}, knownWithdrawals: make(map[fleet.KeyID]bool)}
	state := NewState()
	rec := newTestRecorder()
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

// proposalResult is the result of a proposal.
type proposalResult struct {
	teamName string
	team     fleet.TeamID
	key      fleet.KeyID
	verdict  Verdict
	err      error
}

// randomRun is a randomized run of several VMs over one log with faults.
type randomRun struct {
	t       *testing.T
	log     *faultLog
	vms     []*randomVM
	checker *InvariantChecker
	// reference has applied every record, including trimmed ones.
	reference     *State
	rec           *timeline.Recorder
	results       chan proposalResult
	proposalCount int
	finished      []proposalResult
	nameCount     int
	// superseded contains the names of teams that were replaced.
	superseded map[string]bool
}

const (
	randomVMCount = 3
	idsPerKind    = 3
)

func newRandomRun(t *testing.T) *randomRun {
	m := &randomRun{t: t, log: newFaultLog(), checker: NewInvariantChecker(), reference: NewState(), rec: newTestRecorder(), results: make(chan proposalResult, 1000), superseded: make(map[string]bool)}
	for range randomVMCount {
		m.vms = append(m.vms, startVM(m.log))
	}
	synctest.Wait()
	return m
}

func (m *randomRun) close() {
	for _, vm := range m.vms {
		vm.follower.Close()
	}
	time.Sleep(6 * time.Second)
	synctest.Wait()
}

func (m *randomRun) vm(rt *rapid.T) *randomVM {
	return m.vms[rapid.IntRange(0, randomVMCount-1).Draw(rt, "vm")]
}

func drawID[T ~string](rt *rapid.T, prefix string) T {
	return T(fmt.Sprint(prefix, rapid.IntRange(0, idsPerKind-1).Draw(rt, prefix)))
}

// send proposes a record and sends the result to m.results.
func (m *randomRun) send(vm *randomVM, r Record, result proposalResult) {
	m.proposalCount++
	f := vm.follower
	go func() {
		result.verdict, result.err = propose(f, 5*time.Second, r)
		m.results <- result
	}()
}

// changeTeam changes a team, based on the revision that the VM has or on
// revision 0.
func (m *randomRun) changeTeam(rt *rapid.T) {
	vm, id := m.vm(rt), drawID[fleet.TeamID](rt, "team")
	current, _ := vm.follower.State.Teams.Get(id)
	base := current.Revision
	if rapid.IntRange(0, 3).Draw(rt, "stale") == 0 {
		base = 0
	}
	m.nameCount++
	name := fmt.Sprintf("name-%d-", m.nameCount)
	m.send(vm, stateFixture{m.t, nil}.newRecord(KindTeam, base, fleet.Team{ID: id, Name: name}), proposalResult{teamName: name, team: id})
}

func (m *randomRun) addKey(rt *rapid.T) {
	m.nameCount++
	id := fleet.KeyID(fmt.Sprint("key", m.nameCount))
	key := testKey(id, drawID[fleet.TeamID](rt, "team"), string(id))
	m.send(m.vm(rt), stateFixture{m.t, nil}.newRecord(KindKey, 0, key), proposalResult{key: id})
}

func (m *randomRun) withdraw(rt *rapid.T) {
	vm := m.vm(rt)
	id := fleet.KeyID(fmt.Sprint("key", rapid.IntRange(0, m.nameCount).Draw(rt, "key")))
	if known := m.reference.Keys.Keys(); len(known) > 0 {
		id = rapid.SampledFrom(known).Draw(rt, "known")
	}
	vm.ring.Withdraw(keyring.Withdrawal{Key: id})
	m.send(vm, stateFixture{m.t, nil}.newRecord(KindWithdraw, 0, Withdrawal{Key: id}), proposalResult{})
}

func (m *randomRun) failAppends(rt *rapid.T) {
	n := rapid.IntRange(1, 3).Draw(rt, "n")
	kind := rapid.IntRange(0, 2).Draw(rt, "fault")
	m.log.set(func(l *faultLog) {
		switch kind {
		case 0:
			l.answersToLose += n
		case 1:
			l.appendsToDrop += n
		default:
			l.appendsToDelay += n
		}
	})
}

// releaseDelayed lets a delayed append take effect, possibly after its proposal
// ended.
func (m *randomRun) releaseDelayed(rt *rapid.T) {
	m.log.set(func(l *faultLog) {
		if len(l.delayed) == 0 {
			return
		}
		i := rapid.IntRange(0, len(l.delayed)-1).Draw(rt, "held")
		records := l.delayed[i]
		l.delayed = append(l.delayed[:i:i], l.delayed[i+1:]...)
		l.add(records)
	})
}

func (m *randomRun) duplicate(rt *rapid.T) {
	m.log.set(func(l *faultLog) {
		if len(l.history) == 0 {
			return
		}
		i := rapid.IntRange(0, len(l.history)-1).Draw(rt, "record")
		l.add([][]byte{l.history[i].Data})
	})
}

func (m *randomRun) appendRandomBytes(rt *rapid.T) {
	data := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(rt, "data")
	m.log.set(func(l *faultLog) { l.add([][]byte{data}) })
}

func (m *randomRun) trim(rt *rapid.T) {
	m.log.trim(fleet.Offset(rapid.IntRange(1, int(m.log.end())).Draw(rt, "below")))
}

func (m *randomRun) snapshot(rt *rapid.T) {
	f := m.vm(rt).follower
	if f.State.Applied() == 0 {
		return
	}
	sn, err := f.Snapshot()
	is.New(m.t).NoErr(err)
	m.nameCount++
	for _, c := range sn.chunks(SnapshotID(fmt.Sprint("s", m.nameCount))) {
		r := stateFixture{m.t, nil}.newRecord(KindSnapshotChunk, 0, c)
		m.proposalCount++
		go func() {
			_, err := propose(f, 5*time.Second, r)
			m.results <- proposalResult{err: err}
		}()
	}
}

func (m *randomRun) restart(rt *rapid.T) {
	i := rapid.IntRange(0, randomVMCount-1).Draw(rt, "vm")
	m.vms[i].follower.Close()
	m.vms[i] = startVM(m.log)
}

func (m *randomRun) toggleConnection(rt *rapid.T) {
	vm := m.vm(rt)
	vm.log.disconnected.Store(!vm.log.disconnected.Load())
}

// passRecords passes records or a snapshot from one VM to another.
func (m *randomRun) passRecords(rt *rapid.T) {
	receiver, sender := m.vm(rt).follower, m.vm(rt).follower
	records, ok := sender.RecentRecords(receiver.State.Applied())
	if ok && receiver.Ready() && rapid.Bool().Draw(rt, "records") {
		is.New(m.t).NoErr(receiver.ApplyRecords(records))
		return
	}
	sn, err := sender.Snapshot()
	is.New(m.t).NoErr(err)
	if sender.Ready() {
		_ = receiver.LoadPeerSnapshot(sn, "peer")
	}
}

func (m *randomRun) wait(rt *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "ms")) * time.Millisecond)
}

// check checks the invariants. It runs after every action.
func (m *randomRun) check(rt *rapid.T) {
	time.Sleep(time.Millisecond)
	synctest.Wait()
	m.advanceReference(rt)
	for _, vm := range m.vms {
		if applied := vm.follower.State.Applied(); applied != vm.checkedOffset {
			vm.checkedOffset = applied
			if err := m.checker.Check(vm.follower.State); err != nil {
				rt.Fatal(err)
			}
		}
		m.checkKeys(rt, vm)
	}
	for len(m.results) > 0 {
		m.finished = append(m.finished, <-m.results)
	}
	m.checkResults(rt)
}

// checkKeys checks that a VM rejects every key whose withdrawal it has received
// from an operator, the log, a peer or a snapshot.
func (m *randomRun) checkKeys(rt *rapid.T, vm *randomVM) {
	state := vm.follower.State
	for _, e := range m.reference.Withdrawn.Entries() {
		if e.Revision <= fleet.Revision(state.Applied()) {
			vm.knownWithdrawals[e.Value.Key] = true
		}
	}
	for _, w := range vm.ring.Difference(keyring.Buckets{}).Withdrawals {
		vm.knownWithdrawals[w.Key] = true
	}
	for id := range vm.knownWithdrawals {
		_, err := vm.ring.Authenticate("Bearer " + string(id))
		_, known := state.Keys.Get(id)
		if err == nil || known && fault.KindOf(err) != fault.KeyWithdrawn {
			rt.Fatalf("withdrawn key %q gets %v", id, err)
		}
	}
}

// advanceReference applies new records to the reference state one at a time, so
// that the checker knows the digest at every offset.
func (m *randomRun) advanceReference(rt *rapid.T) {
	m.log.mu.Lock()
	added := m.log.history[m.reference.Applied():]
	m.log.mu.Unlock()
	if len(added) == 0 {
		return
	}
	f := &Follower{State: m.reference, rec: m.rec, assembler: newSnapshotAssembler(false)}
	for _, raw := range added {
		before := m.reference.Teams.Entries()
		f.apply(raw)
		m.checkNotRestored(rt, before)
		if err := m.checker.Check(m.reference); err != nil {
			rt.Fatal(err)
		}
	}
}

// checkNotRestored checks that no superseded value is restored.
func (m *randomRun) checkNotRestored(rt *rapid.T, before []Entry[fleet.Team]) {
	for _, previous := range before {
		current, _ := m.reference.Teams.Get(previous.Value.ID)
		if current.Revision != previous.Revision {
			m.superseded[previous.Value.Name] = true
		}
		if m.superseded[current.Value.Name] {
			rt.Fatalf("superseded value %q was restored at revision %d", current.Value.Name, current.Revision)
		}
	}
}

// checkResults compares the results that proposers got with the whole log.
func (m *randomRun) checkResults(rt *rapid.T) {
	for _, result := range m.finished {
		if _, ok := m.reference.Keys.Get(result.key); ok && result.err == nil && !result.verdict.Accepted() {
			rt.Fatalf("key %q was rejected but is in the state", result.key)
		}
		if result.teamName == "" {
			continue
		}
		current, _ := m.reference.Teams.Get(result.team)
		switch {
		case fault.KindOf(result.err) == fault.StoreUnavailable && m.inLog(result.teamName):
			rt.Fatalf("%q was reported as not appended, but is in the log", result.teamName)
		case result.err == nil && result.verdict.Accepted() && current.Revision < result.verdict.Revision:
			rt.Fatalf("accepted %q was lost: revision %d is below %d", result.teamName, current.Revision, result.verdict.Revision)
		case result.err == nil && !result.verdict.Accepted() && current.Value.Name == result.teamName:
			rt.Fatalf("%q was rejected but is in the state", result.teamName)
		}
	}
}

func (m *randomRun) inLog(name string) bool {
	m.log.mu.Lock()
	defer m.log.mu.Unlock()
	for _, raw := range m.log.history {
		if bytes.Contains(raw.Data, []byte(name)) {
			return true
		}
	}
	return false
}

// converge ends all faults and checks that every proposal ends and that every VM
// reaches the end of the log, except one that cannot recover because records it
// needs were trimmed.
func (m *randomRun) converge(rt *rapid.T) {
	for _, vm := range m.vms {
		vm.log.disconnected.Store(false)
	}
	m.log.set(func(l *faultLog) { l.answersToLose, l.appendsToDrop, l.appendsToDelay = 0, 0, 0 })
	time.Sleep(15 * time.Second)
	m.check(rt)
	if len(m.finished) != m.proposalCount {
		rt.Fatalf("%d of %d proposals have ended", len(m.finished), m.proposalCount)
	}
	for i, vm := range m.vms {
		f := vm.follower
		if len(f.rec.Entries(timeline.Filter{Name: event.StateDiverged.Name})) > 0 {
			rt.Fatalf("VM %d reports that its state diverged", i)
		}
		if f.Reachable() && f.State.Applied() != m.reference.Applied() {
			rt.Fatalf("VM %d is at offset %d, want %d", i, f.State.Applied(), m.reference.Applied())
		}
		if !f.Reachable() && f.State.Applied()+1 >= m.log.first {
			rt.Fatalf("VM %d is stuck at offset %d although the log retains records from offset %d on", i, f.State.Applied(), m.log.first)
		}
	}
}

// noDeadline hides T.Deadline, which cannot be called in a synctest bubble.
type noDeadline struct {
	rapid.TB
}

// Guards against VMs that diverge, accepted changes that are lost or reverted, and
// withdrawn keys that are accepted, under random faults of the log and the
// network.
func TestRandomRunKeepsInvariants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			m := newRandomRun(t)
			defer m.close()
			rt.Repeat(map[string]func(*rapid.T){
				"change_team":     m.changeTeam,
				"change_team_too": m.changeTeam,
				"add_key":         m.addKey,
				"withdraw":        m.withdraw,
				"disturb":         m.failAppends,
				"release":         m.releaseDelayed,
				"duplicate":       m.duplicate,
				"foreign":         m.appendRandomBytes,
				"trim":            m.trim,
				"snapshot":        m.snapshot,
				"restart":         m.restart,
				"cut_or_heal":     m.toggleConnection,
				"relay":           m.passRecords,
				"wait":            m.wait,
				"":                m.check,
			})
			m.converge(rt)
		})
	})
}
