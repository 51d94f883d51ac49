package placement

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"toucanfall/fleet"
	"toucanfall/ledger"
)

// holding returns a fenced engine of rate 100 with room for four models, and
// ready copies of the given ones.
func holding(id fleet.UpstreamID, models ...fleet.ModelID) Engine {
	e := Engine{ID: id, WeightMemory: 4, Fenced: true, Usable: true, Rate: 100}
	for _, m := range models {
		h := ledger.HeldWeights{Weights: ledger.Weights{Model: m, Version: "v1"}, Size: 1, Shown: true, Ready: true}
		e.Held = append(e.Held, h)
		e.Serving = append(e.Serving, true)
		e.Reserved++
	}
	return e
}

func wanted(id fleet.ModelID, demand fleet.TokensPerSecond) Model {
	return Model{Model: fleet.Model{ID: id, Version: "v1", Size: 1}, Demand: demand}
}

func TestLostCopyComesBackBeforeAnyGain(t *testing.T) {
	is := is.New(t)
	lost := wanted("m2", 0)
	lost.Restore = true
	moves := Plan(Input{
		Engines:  []Engine{holding("e1", "m1"), holding("e2")},
		Models:   []Model{wanted("m1", 99), lost},
		MaxMoves: 2,
	})
	is.Equal(len(moves), 2)
	is.Equal(moves[0].Reason, ReasonRestore)
	is.Equal(moves[0].Weights.Model, fleet.ModelID("m2"))
	is.Equal(moves[1].Reason, ReasonDemand)
	is.Equal(moves[1].Engine, fleet.UpstreamID("e2"))
}

func TestSmallGainIsNotWorthAMove(t *testing.T) {
	is := is.New(t)
	in := Input{
		Engines:  []Engine{holding("e1", "m1"), holding("e2", "m2")},
		Models:   []Model{wanted("m1", 90), wanted("m2", 82)},
		MaxMoves: 2,
	}
	is.Equal(len(Plan(in)), 0)
	in.Models[1].Demand = 40
	is.Equal(len(Plan(in)), 1)
}

func TestNewVersionIsReadyBeforeTheOldOneGoes(t *testing.T) {
	is := is.New(t)
	in := Input{Engines: []Engine{holding("e1", "m1"), holding("e2")}, Models: []Model{wanted("m1", 0)}}
	in.Models[0].Version = "v2"
	moves := Plan(in)
	is.Equal(len(moves), 1)
	is.Equal(moves[0].Kind, ledger.IntentLoad)
	in.Engines[1] = holding("e2", "m1")
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
		in.Engines = append(in.Engines, holding(fleet.UpstreamID("e"+strconv.Itoa(e)), models...))
		in.Engines[e].WeightMemory = 18
	}
	for m := range 1900 {
		in.Models = append(in.Models, wanted(fleet.ModelID("m"+strconv.Itoa(m)), fleet.TokensPerSecond(m%40)/4))
	}
	in.MaxMoves = 8
	for b.Loop() {
		Plan(in)
	}
}
