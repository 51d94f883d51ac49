package placement

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"toucanfall/dialect"
	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/settings"
	"toucanfall/standin"
	"toucanfall/timeline"
	"toucanfall/upstream"
)

// Sizes of the simulation, which has two data centres. The engines of the second
// ignore fencing tokens. The sizes of memory are in arbitrary units.
const (
	engineCapacity = 100
	modelSize      = 30
	modelCount     = 5
	// The times end between the whole milliseconds at which actions run, so that
	// a check is deterministic.
	loadTime   = 2900*time.Millisecond + 300*time.Microsecond
	unloadTime = 1900*time.Millisecond + 300*time.Microsecond
)

var simDataCentres = []fleet.DataCentre{"at-1", "at-2"}

var errLost = errors.New("the answer was lost")

// simulation is a fleet of entry VMs and engines with injected faults.
type simulation struct {
	t   *rapid.T
	rec *timeline.Recorder
	// log holds the records of the ordered state, applied the state after them.
	log     []ledger.Record
	applied *ledger.State
	// logDown and partitioned make the log unreachable, for all VMs or those of a
	// data centre.
	logDown     bool
	partitioned map[fleet.DataCentre]bool
	// faultsOff disables the faults that chance draws.
	faultsOff bool
	// checkMemory and checkReachable select the guarantee that is checked, so that
	// each test fails only for its own.
	checkMemory, checkReachable bool

	engines map[fleet.UpstreamID]*simEngine
	vms     []*simVM

	// mu guards queue while placers send orders.
	mu    sync.Mutex
	queue []queuedOrder
	// exempt models lost a ready copy to a restart that the ordered state may not
	// contain yet. The last of their copies may be unloaded.
	exempt map[fleet.ModelID]bool
}

// simEngine is an engine and its reports so far, of which any may be delayed.
type simEngine struct {
	vm      fleet.VM
	engine  *standin.Engine
	history []dialect.EngineReport
}

// queuedOrder is an order that has been sent but not delivered.
type queuedOrder struct {
	engine fleet.UpstreamID
	order  dialect.Order
}

// simVM is an entry VM with its own copy of the ordered state, which may lag.
// It implements the interfaces that its placer needs.
type simVM struct {
	sim     *simulation
	id      fleet.VMID
	dc      fleet.DataCentre
	state   *ledger.State
	placer  *Placer
	demand  []ModelDemand
	reports map[fleet.UpstreamID]upstream.Upstream
}

func newSimulation(t *rapid.T) *simulation {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &simulation{
		t:           t,
		rec:         timeline.New("test", 16, logger),
		applied:     ledger.NewState(),
		partitioned: make(map[fleet.DataCentre]bool),
		engines:     make(map[fleet.UpstreamID]*simEngine),
		exempt:      make(map[fleet.ModelID]bool),
	}
	fencing := settings.Path{Level: "data_centre/at-1", Name: settings.Fencing}
	s.appendNew(ledger.KindSetting, 0, settings.Put{Path: fencing, Value: settings.Value{RawMessage: []byte(`"checked"`)}})
	kv := settings.Path{Level: settings.LevelFleet, Name: settings.KVRoomPercent}
	s.appendNew(ledger.KindSetting, 0, settings.Put{Path: kv, Value: settings.Value{RawMessage: []byte(`5`)}})
	for i := range modelCount {
		s.appendNew(ledger.KindModel, 0, fleet.Model{ID: modelID(i), Version: "v1", Size: modelSize})
	}
	s.appendNew(ledger.KindAdapter, 0, fleet.Adapter{ID: "a1", Model: modelID(0), Size: 2})
	for d, dc := range simDataCentres {
		for i := range 2 {
			s.addEngine(dc, fmt.Sprintf("engine-%s-%d", dc, i), d == 0)
			s.addVM(dc, fmt.Sprintf("entry-%s-%d", dc, i))
		}
	}
	return s
}

func modelID(i int) fleet.ModelID {
	return fleet.ModelID(fmt.Sprintf("m%d", i))
}

func (s *simulation) addEngine(dc fleet.DataCentre, name string, fenced bool) {
	cfg := standin.EngineConfig{
		Capacity: engineCapacity, Slots: 4, LoadTime: loadTime, UnloadTime: unloadTime,
		Fenced: fenced, AllowOvercommit: true,
	}
	vm := fleet.VM{ID: fleet.VMID(name), Role: fleet.RoleModelEngine, DataCentre: dc, Address: name, State: fleet.VMLive}
	s.engines[fleet.UpstreamID(name)] = &simEngine{vm: vm, engine: standin.NewEngine(cfg, s.rec)}
}

func (s *simulation) addVM(dc fleet.DataCentre, name string) {
	v := &simVM{sim: s, id: fleet.VMID(name), dc: dc, state: ledger.NewState(), reports: make(map[fleet.UpstreamID]upstream.Upstream)}
	s.vms = append(s.vms, v)
	v.catchUp()
	v.restart()
}

// restart replaces the VM's placer, as a new process would. Its ordered state is
// kept, as a process would read it back from the log.
func (v *simVM) restart() {
	v.placer = NewStopped(Config{
		VM: v.id, DataCentre: v.dc, DataCentres: simDataCentres, State: v.state,
		Log: v, Upstreams: v, Engines: v.sim, VMs: v, Demand: v, Permits: unlimitedPermits{}, Recorder: v.sim.rec,
	})
}

// unlimitedPermits grants every permit.
type unlimitedPermits struct{}

func (unlimitedPermits) Acquire(context.Context, PermitKind) (func(), error) { return func() {}, nil }

// appendNew appends an operator's record with the given body to the log.
func (s *simulation) appendNew(kind ledger.Kind, base fleet.Revision, body any) {
	r, err := ledger.NewRecord(kind, "operator", timeline.Stamp{}, base, body)
	if err != nil {
		s.t.Fatal(err)
	}
	s.appendRecord(r)
}

// appendRecord appends a record to the log, applies it and checks the accounts of
// the engines' memory.
func (s *simulation) appendRecord(r ledger.Record) {
	s.log = append(s.log, r)
	applyMissing(s.applied, s.log)
	if violation := s.applied.FindPlacementViolation(); s.checkMemory && violation != "" {
		s.t.Fatalf("invariant of the memory account violated: %s", violation)
	}
}

// applyMissing applies the records that a state lacks and returns the last
// verdict.
func applyMissing(s *ledger.State, log []ledger.Record) ledger.Verdict {
	var v ledger.Verdict
	for i := int(s.Applied()); i < len(log); i++ {
		v = s.Apply(fleet.Offset(i+1), log[i])
	}
	return v
}

// catchUp applies the records that the VM's state lacks.
func (v *simVM) catchUp() ledger.Verdict {
	return applyMissing(v.state, v.sim.log)
}

// Reachable reports whether the VM can reach the log.
func (v *simVM) Reachable() bool {
	return !v.sim.logDown && !v.sim.partitioned[v.dc]
}

// Propose appends a record. The verdict may be lost after the record was applied.
func (v *simVM) Propose(_ context.Context, r ledger.Record) (ledger.Verdict, error) {
	s := v.sim
	if !v.Reachable() {
		return ledger.Verdict{}, errLost
	}
	s.appendRecord(r)
	if s.chance(10, "lose the verdict") {
		return ledger.Verdict{}, errLost
	}
	return v.catchUp(), nil
}

// chance draws whether a fault occurs, with the given probability in percent.
func (s *simulation) chance(percent int, what string) bool {
	return !s.faultsOff && rapid.IntRange(0, 99).Draw(s.t, what) < percent
}

// Order queues an order, which is delivered by a later action.
func (s *simulation) Order(_ context.Context, address string, o dialect.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, queuedOrder{engine: fleet.UpstreamID(address), order: o})
	return nil
}

// Upstreams returns the last report of each engine that the VM has received.
func (v *simVM) Upstreams() []upstream.Upstream {
	var out []upstream.Upstream
	for _, id := range v.sim.engineIDs() {
		u := v.reports[id]
		u.VM = v.sim.engines[id].vm
		out = append(out, u)
	}
	return out
}

func (s *simulation) enginesOf(dc fleet.DataCentre) []fleet.UpstreamID {
	return slices.DeleteFunc(s.engineIDs(), func(id fleet.UpstreamID) bool { return s.engines[id].vm.DataCentre != dc })
}

func (s *simulation) engineIDs() []fleet.UpstreamID {
	var ids []fleet.UpstreamID
	for id := range s.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Answers returns false for a live VM in a fifth of the draws, so that several
// placers compete.
func (v *simVM) Answers(fleet.VMID) bool {
	return !v.sim.chance(20, "treat a live VM as down")
}

// Demand returns the demand that was last drawn for the VM.
func (v *simVM) Demand() []ModelDemand {
	return v.demand
}

// poll fetches the engines' reports, each of which may be lost or replaced by an
// older one.
func (v *simVM) poll() {
	for _, id := range v.sim.engineIDs() {
		e := v.sim.engines[id]
		if v.sim.partitioned[v.dc] != v.sim.partitioned[e.vm.DataCentre] || v.sim.chance(5, "lose a report") {
			continue
		}
		e.history = append(e.history, e.engine.Report())
		r := e.history[len(e.history)-1]
		if v.sim.chance(10, "late report") {
			r = e.history[rapid.IntRange(0, len(e.history)-1).Draw(v.sim.t, "which report")]
		}
		v.reports[id] = upstream.Upstream{Report: r, ReportedAt: time.Now()}
	}
}

// sortQueue sorts the queue, whose order depends on goroutine scheduling, to keep
// the check deterministic.
func (s *simulation) sortQueue() {
	slices.SortStableFunc(s.queue, func(a, b queuedOrder) int {
		x, y := fmt.Sprint(a), fmt.Sprint(b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		default:
			return 0
		}
	})
}

// servedCopies counts the ready copies of a model on the engines themselves.
func (s *simulation) servedCopies(m fleet.ModelID) int {
	n := 0
	for _, e := range s.engines {
		for _, r := range e.engine.Report().Resident {
			if r.Model == m && r.Ready {
				n++
			}
		}
	}
	return n
}

// deliver delivers an order to its engine and checks the selected guarantee.
func (s *simulation) deliver(q queuedOrder) {
	before := s.servedCopies(q.order.Model)
	_ = s.engines[q.engine].engine.Order(q.order)
	if n := s.engines[q.engine].engine.Overcommits(); s.checkMemory && n > 0 {
		s.t.Fatalf("engine %s: memory overcommitted by %+v", q.engine, q.order)
	}
	if s.checkReachable && before > 0 && s.servedCopies(q.order.Model) == 0 && !s.exempt[q.order.Model] {
		s.t.Fatalf("engine %s: the last ready copy was unloaded by %+v\n%s", q.engine, q.order, s.describe(q.order.Model))
	}
}

// endExemptions ends the exemption of models whose copies the ordered state has
// recorded correctly again.
func (s *simulation) endExemptions() {
	for i := range modelCount {
		if m := modelID(i); s.exempt[m] && s.copiesRecorded(m) {
			delete(s.exempt, m)
		}
	}
}

// copiesRecorded reports whether the ordered state has a ready copy of a model,
// every copy that it records as ready is ready, and none is being unloaded. It
// returns false while an engine's last restart is not in the ordered state,
// since a delayed report from before it can still be accepted.
func (s *simulation) copiesRecorded(m fleet.ModelID) bool {
	serving := false
	for _, e := range s.applied.Engines.Entries() {
		if e.Value.StartedMS != s.engines[e.Value.ID].engine.Report().StartedMS {
			return false
		}
		for _, h := range e.Value.Held {
			if h.Weights.Model != m || h.Weights.Adapter != "" {
				continue
			}
			if h.Unload != 0 || e.Value.Serves(h) && !s.engineServes(e.Value.ID, m) {
				return false
			}
			serving = serving || e.Value.Serves(h)
		}
	}
	return serving
}

// engineServes reports whether an engine has a ready copy of a model.
func (s *simulation) engineServes(id fleet.UpstreamID, m fleet.ModelID) bool {
	return slices.ContainsFunc(s.engines[id].engine.Report().Resident, func(r dialect.ResidentModel) bool {
		return r.Model == m && r.Ready
	})
}

// describe formats the copies of a model in the ordered state and on the engines.
func (s *simulation) describe(m fleet.ModelID) string {
	text := ""
	for _, e := range s.applied.Engines.Entries() {
		text += fmt.Sprintf("%s number %d fence %d silent %v ready on engine %v:", e.Value.ID, e.Value.Number, e.Value.Fence, e.Value.Silent, s.engineServes(e.Value.ID, m))
		for _, h := range e.Value.Held {
			if h.Weights.Model == m {
				text += fmt.Sprintf(" %+v", h)
			}
		}
		text += "\n"
	}
	return text
}
