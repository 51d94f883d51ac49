package placement

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanfall/fleet"
	"toucanfall/internal/bubble"
	"toucanfall/ledger"
)

// actions are everything that can happen to the fleet.
func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"round":   func(*rapid.T) { w.round(w.vm()) },
		"round 2": func(*rapid.T) { w.round(w.vm()) },
		"round of all": func(*rapid.T) {
			for _, v := range w.vms {
				w.round(v)
			}
		},
		"deliver":     func(*rapid.T) { w.deliverSome() },
		"deliver all": func(*rapid.T) { w.deliverAll() },
		"wait": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
		},
		"wild move":       func(t *rapid.T) { w.wildMove(t) },
		"wild move 2":     func(t *rapid.T) { w.wildMove(t) },
		"wild move 3":     func(t *rapid.T) { w.wildMove(t) },
		"progress":        func(*rapid.T) { w.work(1) },
		"progress 2":      func(*rapid.T) { w.work(2) },
		"catch up":        func(*rapid.T) { w.vm().catchUp() },
		"restart engine":  func(*rapid.T) { w.restartEngine() },
		"restart VM":      func(*rapid.T) { w.vm().restart() },
		"log outage":      func(t *rapid.T) { w.down = rapid.Bool().Draw(t, "down") },
		"cut":             func(t *rapid.T) { w.cut["at-2"] = rapid.Bool().Draw(t, "cut off") },
		"repeat a record": func(t *rapid.T) { w.append(w.log[rapid.IntRange(0, len(w.log)-1).Draw(t, "record")]) },
		"demand":          func(t *rapid.T) { w.moveDemand(t) },
		"new version":     func(t *rapid.T) { w.newVersion(t) },
		"":                func(*rapid.T) { w.settle() },
	}
}

func (w *world) vm() *simVM {
	return w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(w.t, "vm")]
}

// round lets one VM act. Its view of the log may be old.
func (w *world) round(v *simVM) {
	if v.Reachable() && !w.chance(30, "lag behind the log") {
		v.catchUp()
	}
	v.poll()
	v.placer.Round(context.Background())
	w.takeQueue()
}

func (w *world) deliverSome() {
	if len(w.queue) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.queue)-1).Draw(w.t, "order")
	q := w.queue[i]
	switch {
	case w.chance(50, "order arrives again later"):
	default:
		w.queue = append(w.queue[:i], w.queue[i+1:]...)
	}
	if !w.chance(10, "lose the order") {
		w.deliver(q)
	}
}

func (w *world) deliverAll() {
	queue := w.queue
	w.queue = nil
	for _, q := range queue {
		if w.chance(20, "order stays on its way") {
			w.queue = append(w.queue, q)
			continue
		}
		w.deliver(q)
		if w.chance(10, "order arrives again later") {
			w.queue = append(w.queue, q)
		}
	}
}

// wildMove proposes any move, as some other plan might, so that the promises
// are seen not to rest on this plan.
func (w *world) wildMove(t *rapid.T) {
	v := w.vm()
	if v.placer.epoch == 0 || !v.Reachable() {
		return
	}
	m, _ := v.state.Models.Get(modelID(rapid.IntRange(0, modelCount-1).Draw(t, "model")))
	move := Move{
		Engine:  rapid.SampledFrom(w.enginesOf(v.dc)).Draw(t, "engine"),
		Kind:    ledger.IntentLoad,
		Weights: ledger.Weights{Model: m.Value.ID, Version: m.Value.Version},
		Size:    m.Value.Size,
		Reason:  ReasonDemand,
	}
	e, _ := v.state.Engines.Get(move.Engine)
	if len(e.Value.Held) > 0 && rapid.Bool().Draw(t, "unload") {
		move.Kind = ledger.IntentUnload
		move.Weights = rapid.SampledFrom(e.Value.Held).Draw(t, "held").Weights
	}
	v.placer.proposeMove(context.Background(), move)
}

func (w *world) restartEngine() {
	id := rapid.SampledFrom(w.engineIDs()).Draw(w.t, "engine")
	for i := range modelCount {
		if w.really(id, modelID(i)) {
			w.excused[modelID(i)] = true
		}
	}
	time.Sleep(time.Millisecond)
	w.engines[id].engine.Restart()
}

func (w *world) moveDemand(t *rapid.T) {
	v := w.vm()
	v.demand = nil
	for i := range modelCount {
		tokens := fleet.TokensPerSecond(rapid.SampledFrom([]int{0, 100, 1000, 4000}).Draw(t, "tokens"))
		v.demand = append(v.demand, ModelDemand{Model: modelID(i), Tokens: tokens})
	}
}

func (w *world) newVersion(t *rapid.T) {
	m := rapid.SampledFrom([]fleet.ModelID{"m0", "m1"}).Draw(t, "model")
	version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	old, _ := w.truth.Models.Get(m)
	w.put(ledger.KindModel, old.Revision, fleet.Model{ID: m, Version: version, Size: modelSize})
}

// checkInBubble runs each check on a world and with a clock of its own.
func checkInBubble(t *testing.T, run func(w *world)) {
	bubble.Check(t, func(rt *rapid.T) { run(newWorld(rt)) })
}

// repeat runs the machine's steps a number of times.
func (w *world) repeat(bursts int) {
	for range bursts {
		w.t.Repeat(w.actions())
	}
}

// begin lets the placers work without faults until every model is placed.
func (w *world) begin() {
	w.calm = true
	w.work(6)
	w.calm = false
}

// heal ends all faults and lets the placers work for a while.
func (w *world) heal() {
	w.calm, w.down = true, false
	clear(w.cut)
	w.work(14)
}

func (w *world) work(rounds int) {
	for range rounds {
		for _, v := range w.vms {
			w.round(v)
		}
		w.deliverAll()
		time.Sleep(2 * time.Second)
		w.settle()
	}
}

// TestPromiseMemoryNeverOvercommitted runs several placers against engines that
// check fencing and engines that do not, with every fault at any moment. The
// engines carry out whatever arrives and assert that it fits.
func TestPromiseMemoryNeverOvercommitted(t *testing.T) {
	checkInBubble(t, func(w *world) {
		w.checkMemory = true
		w.repeat(4)
	})
}

// TestPromiseEveryModelReachable asserts on the way that no order unloads the
// last ready copy of a model, and at the end, that every model has come back
// once the faults are over.
func TestPromiseEveryModelReachable(t *testing.T) {
	checkInBubble(t, func(w *world) {
		w.checkReachable = true
		w.begin()
		w.repeat(2)
		w.heal()
		for i := range modelCount {
			if w.ready(modelID(i)) == 0 {
				w.t.Fatalf("model %s has no ready copy", modelID(i))
			}
		}
	})
}
