package placement

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"toucanfall/fleet"
	"toucanfall/ledger"
)

// engineWith returns a fenced engine with a rate of 100 tokens per second, memory
// for four models, and ready copies of the given ones.
func engineWith(id fleet.UpstreamID, models ...fleet.ModelID) Engine {
	e := Engine{ID: id, WeightMemory: 4, Fenced: true, Usable: true, Rate: 100}
	for _, m := range models {
		h := ledger.HeldWeights{Weights: ledger.Weights{Model: m, Version: "v1"}, Size: 1, Shown: true, Ready: true}
		e.Held = append(e.Held, h)
		e.Serving = append(e.Serving, true)
		e.Reserved++
	}
	return e
}

// modelWith returns a model of size 1 with the given demand.
func modelWith(id fleet.ModelID, demand fleet.TokensPerSecond) Model {
	return Model{Model: fleet.Model{ID: id, Version: "v1", Size: 1}, Demand: demand}
}

// A model without a copy is restored before a copy is added for demand.
func TestLostCopyIsRestoredBeforeDemandMoves(t *testing.T) {
	is := is.New(t)
	lost := modelWith("m2", 0)
	lost.Restore = true
	moves := Plan(Input{
		Engines:  []Engine{engineWith("e1", "m1"), engineWith("e2")},
		Models:   []Model{modelWith("m1", 99), lost},
		MaxMoves: 2,
	})
	is.Equal(len(moves), 2)
	is.Equal(moves[0].Reason, ReasonRestore)
	is.Equal(moves[0].Weights.Model, fleet.ModelID("m2"))
	is.Equal(moves[1].Reason, ReasonDemand)
	is.Equal(moves[1].Engine, fleet.UpstreamID("e2"))
}

// A copy that would take less than 5% of its rate off a busy engine is not worth
// a move.
func TestSmallLoadReductionCausesNoMove(t *testing.T) {
	is := is.New(t)
	in := Input{
		Engines:  []Engine{engineWith("e1", "m1"), engineWith("e2", "m2")},
		Models:   []Model{modelWith("m1", 90), modelWith("m2", 82)},
		MaxMoves: 2,
	}
	is.Equal(len(Plan(in)), 0)
	in.Models[1].Demand = 40
	is.Equal(len(Plan(in)), 1)
}

// The old version of a model is unloaded only once the new version is ready.
func TestOldVersionIsUnloadedOnceNewOneIsReady(t *testing.T) {
	is := is.New(t)
	in := Input{Engines: []Engine{engineWith("e1", "m1"), engineWith("e2")}, Models: []Model{modelWith("m1", 0)}}
	in.Models[0].Version = "v2"
	moves := Plan(in)
	is.Equal(len(moves), 1)
	is.Equal(moves[0].Kind, ledger.IntentLoad)
	in.Engines[1] = engineWith("e2", "m1")
	in.Engines[1].Held[0].Weights.Version = "v2"
	in.Engines[1].Serving[0] = false
	is.Equal(len(Plan(in)), 0)
	in.Engines[1].Serving[0] = true
	moves = Plan(in)
	is.Equal(len(moves), 1)
	is.Equal(moves[0].Kind, ledger.IntentUnload)
	is.Equal(moves[0].Engine, fleet.UpstreamID("e1"))
}

// BenchmarkPlan plans for 140 engines and 1,900 models.
func BenchmarkPlan(b *testing.B) {
	var in Input
	for e := range 140 {
		var models []fleet.ModelID
		for i := range 16 {
			models = append(models, fleet.ModelID("m"+strconv.Itoa((e*14+i)%1900)))
		}
		in.Engines = append(in.Engines, engineWith(fleet.UpstreamID("e"+strconv.Itoa(e)), models...))
		in.Engines[e].WeightMemory = 18
	}
	for m := range 1900 {
		in.Models = append(in.Models, modelWith(fleet.ModelID("m"+strconv.Itoa(m)), fleet.TokensPerSecond(m%40)/4))
	}
	in.MaxMoves = 8
	for b.Loop() {
		Plan(in)
	}
}
