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

// actions are the steps and faults that the random test draws from.
func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"round":   func(*rapid.T) { s.runRound(s.drawVM()) },
		"round 2": func(*rapid.T) { s.runRound(s.drawVM()) },
		"round of all": func(*rapid.T) {
			for _, v := range s.vms {
				s.runRound(v)
			}
		},
		"deliver":     func(*rapid.T) { s.deliverSome() },
		"deliver all": func(*rapid.T) { s.deliverAll() },
		"wait": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
		},
		"wild move":       func(t *rapid.T) { s.proposeRandomMove(t) },
		"wild move 2":     func(t *rapid.T) { s.proposeRandomMove(t) },
		"wild move 3":     func(t *rapid.T) { s.proposeRandomMove(t) },
		"progress":        func(*rapid.T) { s.runRounds(1) },
		"progress 2":      func(*rapid.T) { s.runRounds(2) },
		"catch up":        func(*rapid.T) { s.drawVM().catchUp() },
		"restart engine":  func(*rapid.T) { s.restartEngine() },
		"restart VM":      func(*rapid.T) { s.drawVM().restart() },
		"log outage":      func(t *rapid.T) { s.logDown = rapid.Bool().Draw(t, "down") },
		"cut":             func(t *rapid.T) { s.partitioned["at-2"] = rapid.Bool().Draw(t, "cut off") },
		"repeat a record": func(t *rapid.T) { s.appendRecord(s.log[rapid.IntRange(0, len(s.log)-1).Draw(t, "record")]) },
		"demand":          func(t *rapid.T) { s.changeDemand(t) },
		"new version":     func(t *rapid.T) { s.newVersion(t) },
		"":                func(*rapid.T) { s.endExemptions() },
	}
}

// drawVM draws one of the entry VMs.
func (s *simulation) drawVM() *simVM {
	return s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(s.t, "vm")]
}

// runRound runs one round of a VM's placer. The VM's state may lag behind the
// log.
func (s *simulation) runRound(v *simVM) {
	if v.Reachable() && !s.chance(30, "lag behind the log") {
		v.catchUp()
	}
	v.poll()
	v.placer.Round(context.Background())
	s.sortQueue()
}

// deliverSome delivers one queued order, which may be lost or delivered again
// later.
func (s *simulation) deliverSome() {
	if len(s.queue) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.queue)-1).Draw(s.t, "order")
	q := s.queue[i]
	switch {
	case s.chance(50, "order arrives again later"):
	default:
		s.queue = append(s.queue[:i], s.queue[i+1:]...)
	}
	if !s.chance(10, "lose the order") {
		s.deliver(q)
	}
}

// deliverAll delivers the queued orders; some may stay queued or be delivered
// again later.
func (s *simulation) deliverAll() {
	queue := s.queue
	s.queue = nil
	for _, q := range queue {
		if s.chance(20, "delay the order") {
			s.queue = append(s.queue, q)
			continue
		}
		s.deliver(q)
		if s.chance(10, "order arrives again later") {
			s.queue = append(s.queue, q)
		}
	}
}

// proposeRandomMove proposes an arbitrary move, so that the tests show that the
// guarantees do not depend on the planner.
func (s *simulation) proposeRandomMove(t *rapid.T) {
	v := s.drawVM()
	if v.placer.epoch == 0 || !v.Reachable() {
		return
	}
	m, _ := v.state.Models.Get(modelID(rapid.IntRange(0, modelCount-1).Draw(t, "model")))
	move := Move{
		Engine:  rapid.SampledFrom(s.enginesOf(v.dc)).Draw(t, "engine"),
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

// restartEngine restarts an engine, which loses its models. They are exempt from
// the check for the last ready copy until the ordered state has caught up.
func (s *simulation) restartEngine() {
	id := rapid.SampledFrom(s.engineIDs()).Draw(s.t, "engine")
	for i := range modelCount {
		if s.engineServes(id, modelID(i)) {
			s.exempt[modelID(i)] = true
		}
	}
	time.Sleep(time.Millisecond)
	s.engines[id].engine.Restart()
}

// changeDemand draws the demand that one VM reports.
func (s *simulation) changeDemand(t *rapid.T) {
	v := s.drawVM()
	v.demand = nil
	for i := range modelCount {
		tokens := fleet.TokensPerSecond(rapid.SampledFrom([]int{0, 100, 1000, 4000}).Draw(t, "tokens"))
		v.demand = append(v.demand, ModelDemand{Model: modelID(i), Tokens: tokens})
	}
}

// newVersion sets the current version of a model.
func (s *simulation) newVersion(t *rapid.T) {
	m := rapid.SampledFrom([]fleet.ModelID{"m0", "m1"}).Draw(t, "model")
	version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	old, _ := s.applied.Models.Get(m)
	s.appendNew(ledger.KindModel, old.Revision, fleet.Model{ID: m, Version: version, Size: modelSize})
}

// checkInBubble runs each check on a new simulation with its own fake clock.
func checkInBubble(t *testing.T, run func(s *simulation)) {
	bubble.Check(t, func(rt *rapid.T) { run(newSimulation(rt)) })
}

// runActions runs random actions in the given number of bursts.
func (s *simulation) runActions(bursts int) {
	for range bursts {
		s.t.Repeat(s.actions())
	}
}

// placeAllModels runs rounds without faults until every model is placed.
func (s *simulation) placeAllModels() {
	s.faultsOff = true
	s.runRounds(6)
	s.faultsOff = false
}

// recoverFromFaults ends all faults and runs rounds without new ones.
func (s *simulation) recoverFromFaults() {
	s.faultsOff, s.logDown = true, false
	clear(s.partitioned)
	s.runRounds(14)
}

// runRounds runs rounds of all VMs' placers, two seconds apart, and delivers the
// orders after each.
func (s *simulation) runRounds(rounds int) {
	for range rounds {
		for _, v := range s.vms {
			s.runRound(v)
		}
		s.deliverAll()
		time.Sleep(2 * time.Second)
		s.endExemptions()
	}
}

// TestPromiseMemoryNeverOvercommitted runs several placers under all faults,
// against engines that check fencing tokens and engines that do not. The engines
// carry out every order and count those that exceed their memory.
func TestPromiseMemoryNeverOvercommitted(t *testing.T) {
	checkInBubble(t, func(s *simulation) {
		s.checkMemory = true
		s.runActions(4)
	})
}

// TestPromiseEveryModelReachable checks at each order that it does not unload the
// last ready copy of a model, and at the end that every model has a ready copy
// again once the faults are over.
func TestPromiseEveryModelReachable(t *testing.T) {
	checkInBubble(t, func(s *simulation) {
		s.checkReachable = true
		s.placeAllModels()
		s.runActions(2)
		s.recoverFromFaults()
		for i := range modelCount {
			if s.servedCopies(modelID(i)) == 0 {
				s.t.Fatalf("model %s has no ready copy", modelID(i))
			}
		}
	})
}
