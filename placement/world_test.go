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

// Sizes of the world: two data centres, of which the engines of the second
// ignore fencing.
const (
	engineCapacity = 100
	modelSize      = 30
	modelCount     = 5
	// The times end between the whole milliseconds at which the machine acts,
	// so that a check runs the same way each time.
	loadTime   = 2900*time.Millisecond + 300*time.Microsecond
	unloadTime = 1900*time.Millisecond + 300*time.Microsecond
)

var worldDataCentres = []fleet.DataCentre{"at-1", "at-2"}

var errLost = errors.New("the answer was lost")

// world is a fleet with every fault that the machine can draw.
type world struct {
	t     *rapid.T
	rec   *timeline.Recorder
	log   []ledger.Record
	truth *ledger.State
	down  bool
	cut   map[fleet.DataCentre]bool
	calm  bool
	// checkMemory and checkReachable select the promise that is asserted, so
	// that each test fails for its own.
	checkMemory, checkReachable bool

	engines map[fleet.UpstreamID]*simEngine
	vms     []*simVM

	mu    sync.Mutex
	queue []queuedOrder
	// excused models lost a ready copy to a restart that the ordered state may
	// not know of yet.
	excused map[fleet.ModelID]bool
}

type simEngine struct {
	vm      fleet.VM
	engine  *standin.Engine
	history []dialect.EngineReport
}

type queuedOrder struct {
	engine fleet.UpstreamID
	order  dialect.Order
}

// simVM is an entry VM with its own, lagging state.
type simVM struct {
	world   *world
	id      fleet.VMID
	dc      fleet.DataCentre
	state   *ledger.State
	placer  *Placer
	demand  []ModelDemand
	reports map[fleet.UpstreamID]upstream.Upstream
}

func newWorld(t *rapid.T) *world {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	w := &world{
		t:       t,
		rec:     timeline.New("test", 16, logger),
		truth:   ledger.NewState(),
		cut:     make(map[fleet.DataCentre]bool),
		engines: make(map[fleet.UpstreamID]*simEngine),
		excused: make(map[fleet.ModelID]bool),
	}
	fencing := settings.Path{Level: "data_centre/at-1", Name: settings.Fencing}
	w.put(ledger.KindSetting, 0, settings.Put{Path: fencing, Value: settings.Value{RawMessage: []byte(`"checked"`)}})
	kv := settings.Path{Level: settings.LevelFleet, Name: settings.KVRoomPercent}
	w.put(ledger.KindSetting, 0, settings.Put{Path: kv, Value: settings.Value{RawMessage: []byte(`5`)}})
	for i := range modelCount {
		w.put(ledger.KindModel, 0, fleet.Model{ID: modelID(i), Version: "v1", Size: modelSize})
	}
	w.put(ledger.KindAdapter, 0, fleet.Adapter{ID: "a1", Model: modelID(0), Size: 2})
	for d, dc := range worldDataCentres {
		for i := range 2 {
			w.addEngine(dc, fmt.Sprintf("engine-%s-%d", dc, i), d == 0)
			w.addVM(dc, fmt.Sprintf("entry-%s-%d", dc, i))
		}
	}
	return w
}

func modelID(i int) fleet.ModelID {
	return fleet.ModelID(fmt.Sprintf("m%d", i))
}

func (w *world) addEngine(dc fleet.DataCentre, name string, fenced bool) {
	cfg := standin.EngineConfig{
		Capacity: engineCapacity, Slots: 4, LoadTime: loadTime, UnloadTime: unloadTime,
		Fenced: fenced, AllowOvercommit: true,
	}
	vm := fleet.VM{ID: fleet.VMID(name), Role: fleet.RoleModelEngine, DataCentre: dc, Address: name, State: fleet.VMLive}
	w.engines[fleet.UpstreamID(name)] = &simEngine{vm: vm, engine: standin.NewEngine(cfg, w.rec)}
}

func (w *world) addVM(dc fleet.DataCentre, name string) {
	v := &simVM{world: w, id: fleet.VMID(name), dc: dc, state: ledger.NewState(), reports: make(map[fleet.UpstreamID]upstream.Upstream)}
	w.vms = append(w.vms, v)
	v.catchUp()
	v.restart()
}

// restart gives the VM a new process. Its state comes back from the log.
func (v *simVM) restart() {
	v.placer = NewStopped(Config{
		VM: v.id, DataCentre: v.dc, DataCentres: worldDataCentres, State: v.state,
		Log: v, Upstreams: v, Engines: v.world, VMs: v, Demand: v, Permits: unlimited{}, Recorder: v.world.rec,
	})
}

type unlimited struct{}

func (unlimited) Acquire(context.Context, PermitKind) (func(), error) { return func() {}, nil }

// put appends a record to the log and folds it into the truth.
func (w *world) put(kind ledger.Kind, base fleet.Revision, body any) {
	r, err := ledger.NewRecord(kind, "operator", timeline.Stamp{}, base, body)
	if err != nil {
		w.t.Fatal(err)
	}
	w.append(r)
}

func (w *world) append(r ledger.Record) {
	w.log = append(w.log, r)
	apply(w.truth, w.log)
	if broken := w.truth.FindPlacementViolation(); w.checkMemory && broken != "" {
		w.t.Fatalf("account broken: %s", broken)
	}
}

// apply folds the records that a state lacks and returns the last verdict.
func apply(s *ledger.State, log []ledger.Record) ledger.Verdict {
	var v ledger.Verdict
	for i := int(s.Applied()); i < len(log); i++ {
		v = s.Apply(fleet.Offset(i+1), log[i])
	}
	return v
}

func (v *simVM) catchUp() ledger.Verdict {
	return apply(v.state, v.world.log)
}

// Reachable tells whether the VM reaches the log.
func (v *simVM) Reachable() bool {
	return !v.world.down && !v.world.cut[v.dc]
}

// Propose appends a record; the answer may be lost after it took effect.
func (v *simVM) Propose(_ context.Context, r ledger.Record) (ledger.Verdict, error) {
	w := v.world
	if !v.Reachable() {
		return ledger.Verdict{}, errLost
	}
	w.append(r)
	if w.chance(10, "lose the verdict") {
		return ledger.Verdict{}, errLost
	}
	return v.catchUp(), nil
}

// chance draws a fault with the given probability in percent.
func (w *world) chance(percent int, what string) bool {
	return !w.calm && rapid.IntRange(0, 99).Draw(w.t, what) < percent
}

// Order queues an order; it arrives when the machine says so.
func (w *world) Order(_ context.Context, address string, o dialect.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, queuedOrder{engine: fleet.UpstreamID(address), order: o})
	return nil
}

// Upstreams returns the reports that the VM has.
func (v *simVM) Upstreams() []upstream.Upstream {
	var out []upstream.Upstream
	for _, id := range v.world.engineIDs() {
		u := v.reports[id]
		u.VM = v.world.engines[id].vm
		out = append(out, u)
	}
	return out
}

func (w *world) enginesOf(dc fleet.DataCentre) []fleet.UpstreamID {
	return slices.DeleteFunc(w.engineIDs(), func(id fleet.UpstreamID) bool { return w.engines[id].vm.DataCentre != dc })
}

func (w *world) engineIDs() []fleet.UpstreamID {
	var ids []fleet.UpstreamID
	for id := range w.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Answers is wrong now and then, so that placers race.
func (v *simVM) Answers(fleet.VMID) bool {
	return !v.world.chance(20, "take the placer for dead")
}

// Demand returns what the machine set.
func (v *simVM) Demand() []ModelDemand {
	return v.demand
}

// poll reads the engines' reports, which may be late or missing.
func (v *simVM) poll() {
	for _, id := range v.world.engineIDs() {
		e := v.world.engines[id]
		if v.world.cut[v.dc] != v.world.cut[e.vm.DataCentre] || v.world.chance(5, "lose a report") {
			continue
		}
		e.history = append(e.history, e.engine.Report())
		r := e.history[len(e.history)-1]
		if v.world.chance(10, "late report") {
			r = e.history[rapid.IntRange(0, len(e.history)-1).Draw(v.world.t, "which report")]
		}
		v.reports[id] = upstream.Upstream{Report: r, ReportedAt: time.Now()}
	}
}

// takeQueue sorts the queue, whose order depends on goroutines.
func (w *world) takeQueue() {
	slices.SortStableFunc(w.queue, func(a, b queuedOrder) int {
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

// ready counts the copies of a model that engines really serve.
func (w *world) ready(m fleet.ModelID) int {
	n := 0
	for _, e := range w.engines {
		for _, r := range e.engine.Report().Resident {
			if r.Model == m && r.Ready {
				n++
			}
		}
	}
	return n
}

// deliver lets an order arrive and asserts the promise.
func (w *world) deliver(q queuedOrder) {
	before := w.ready(q.order.Model)
	_ = w.engines[q.engine].engine.Order(q.order)
	if n := w.engines[q.engine].engine.Overcommits(); w.checkMemory && n > 0 {
		w.t.Fatalf("engine %s: memory overcommitted by %+v", q.engine, q.order)
	}
	if w.checkReachable && before > 0 && w.ready(q.order.Model) == 0 && !w.excused[q.order.Model] {
		w.t.Fatalf("engine %s: the last ready copy was unloaded by %+v\n%s", q.engine, q.order, w.describe(q.order.Model))
	}
}

// settle ends the excuse of models whose copies the ordered state knows again.
func (w *world) settle() {
	for i := range modelCount {
		if m := modelID(i); w.excused[m] && w.known(m) {
			delete(w.excused, m)
		}
	}
}

// known reports whether every copy that the ordered state takes for ready is,
// and none is about to be unloaded. As long as an engine's last restart is not
// in the ordered state, a late report from before it can still get there.
func (w *world) known(m fleet.ModelID) bool {
	serving := false
	for _, e := range w.truth.Engines.Entries() {
		if e.Value.StartedMS != w.engines[e.Value.ID].engine.Report().StartedMS {
			return false
		}
		for _, h := range e.Value.Held {
			if h.Weights.Model != m || h.Weights.Adapter != "" {
				continue
			}
			if h.Unload != 0 || e.Value.Serves(h) && !w.really(e.Value.ID, m) {
				return false
			}
			serving = serving || e.Value.Serves(h)
		}
	}
	return serving
}

func (w *world) really(id fleet.UpstreamID, m fleet.ModelID) bool {
	return slices.ContainsFunc(w.engines[id].engine.Report().Resident, func(r dialect.ResidentModel) bool {
		return r.Model == m && r.Ready
	})
}

// describe shows what the ordered state and the engines hold of a model.
func (w *world) describe(m fleet.ModelID) string {
	text := ""
	for _, e := range w.truth.Engines.Entries() {
		text += fmt.Sprintf("%s number %d fence %d silent %v really %v:", e.Value.ID, e.Value.Number, e.Value.Fence, e.Value.Silent, w.really(e.Value.ID, m))
		for _, h := range e.Value.Held {
			if h.Weights.Model == m {
				text += fmt.Sprintf(" %+v", h)
			}
		}
		text += "\n"
	}
	return text
}
