package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/catalogue"
	"toucanfall/fleet"
)

// planSpec returns a service whose engines have memory for three models.
func planSpec(models ...fleet.ModelID) *catalogue.Engine {
	e := &catalogue.Engine{WeightsMB: 310, AdapterSlots: 8, Models: make(map[fleet.ModelID]*catalogue.Model)}
	for _, m := range models {
		e.Models[m] = &catalogue.Model{ID: m, WeightsMB: 100, Load: 4 * time.Second}
	}
	return e
}

func planCandidate(id int, spec *catalogue.Engine, models ...fleet.ModelID) *candidate {
	cand := &candidate{
		id: fleet.UpstreamID(fmt.Sprintf("engine-%d", id)), models: make(map[fleet.ModelID]bool), ready: make(map[fleet.ModelID]bool),
		freeMB: spec.WeightsMB - 100*float64(len(models)),
	}
	for _, m := range models {
		cand.models[m], cand.ready[m] = true, true
	}
	return cand
}

// allMoves returns the moves of a plan.
func allMoves(p *planner) []move {
	var out []move
	for {
		mv, ok := p.next()
		if !ok {
			return out
		}
		out = append(out, mv)
	}
}

// completeMoves completes all moves.
func completeMoves(spec *catalogue.Engine, candidates []*candidate) {
	for _, cand := range candidates {
		cand.blocked = false
		cand.freeMB = spec.WeightsMB
		for m := range cand.models {
			cand.ready[m] = true
			cand.freeMB -= spec.Models[m].WeightsMB
		}
	}
}

// Guards against an idle engine: the models lost with a failed engine must not all be
// loaded on its empty replacement, which would then serve only rarely used models.
func TestLostModelsLeaveCapacityForBusyOnes(t *testing.T) {
	is := is.New(t)
	spec := planSpec("busy1", "busy2", "r1", "r2", "r3", "r4", "r5", "r6")
	candidates := []*candidate{
		planCandidate(0, spec, "busy1", "busy2", "r1"), planCandidate(1, spec, "busy1", "busy2", "r2"),
		planCandidate(2, spec, "busy1", "busy2", "r3"), planCandidate(3, spec),
	}
	for range 8 {
		newPlanner(spec, candidates, map[fleet.ModelID]float64{"busy1": 40000, "busy2": 20000, "r1": 500, "r4": 500}).next()
		completeMoves(spec, candidates)
	}
	for _, cand := range candidates {
		is.True(cand.models["busy1"] || cand.models["busy2"]) // the engine would be idle
	}
}

// A model with rising demand gets copies in all data centres, as each may be partitioned
// from the others.
func TestCopiesSpreadOverDataCentres(t *testing.T) {
	is := is.New(t)
	spec := planSpec("rising", "falling", "r1", "r2", "r3", "r4", "r5", "r6")
	var candidates []*candidate
	for i := range 6 {
		cand := planCandidate(i, spec, "falling", fleet.ModelID(fmt.Sprintf("r%d", i+1)))
		cand.freeMB = 0
		cand.dataCentre = fleet.DataCentre(fmt.Sprintf("dc-%d", i/2))
		candidates = append(candidates, cand)
	}
	candidates[0].models["rising"], candidates[0].ready["rising"] = true, true
	p := newPlanner(spec, candidates, map[fleet.ModelID]float64{"rising": 30000})
	places := make(map[fleet.DataCentre]bool)
	for range 2 {
		mv, ok := p.next()
		is.True(ok)
		for _, cand := range candidates {
			if cand.id == mv.engine {
				places[cand.dataCentre] = true
			}
		}
	}
	is.True(places["dc-1"] && places["dc-2"])
}

// The only copy that serves requests is not evicted, even while others are being loaded.
func TestServingCopyStays(t *testing.T) {
	is := is.New(t)
	spec := planSpec("old", "new", "r1", "r2", "r3", "r4")
	candidates := []*candidate{planCandidate(0, spec, "old", "r1", "r2"), planCandidate(1, spec, "old", "r3", "r4")}
	delete(candidates[1].ready, "old")
	candidates[1].blocked = true
	allMoves(newPlanner(spec, candidates, map[fleet.ModelID]float64{"new": 40000, "old": 10}))
	is.True(candidates[0].models["old"])
}

// Fluctuations of demand cause no moves: a copy is worth its load only if the demand is
// much higher than for the model it would replace.
func TestFluctuationsCauseNoMoves(t *testing.T) {
	is := is.New(t)
	spec := planSpec("a", "b", "r1", "r2")
	candidates := []*candidate{planCandidate(0, spec, "a", "b", "r1"), planCandidate(1, spec, "a", "b", "r2"), planCandidate(2, spec, "a", "a", "b")}
	candidates[2].freeMB = 0
	is.Equal(len(allMoves(newPlanner(spec, candidates, map[fleet.ModelID]float64{"a": 20000, "b": 26000}))), 0)
}

// A load that finishes after its coordinator's term is not subtracted from the loads of the
// next term.
func TestLoadsAreCountedByTerm(t *testing.T) {
	is := is.New(t)
	c := New(Config{})
	c.reset(1)
	end := c.countLoad(move{fromStore: true})
	is.Equal(c.loadsRunning, 1)
	c.reset(2)
	next := c.countLoad(move{fromStore: true})
	end()
	is.Equal(c.loadsRunning, 1)
	next()
	is.Equal(c.loadsRunning, 0)
}
