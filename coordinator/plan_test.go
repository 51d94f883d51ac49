package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/catalogue"
	"toucanfall/fleet"
)

// planSpec is a service whose engines have room for three models.
func planSpec(models ...fleet.ModelID) *catalogue.Engine {
	e := &catalogue.Engine{WeightsMB: 310, AdapterSlots: 8, Models: make(map[fleet.ModelID]*catalogue.Model)}
	for _, m := range models {
		e.Models[m] = &catalogue.Model{ID: m, WeightsMB: 100, Load: 4 * time.Second}
	}
	return e
}

func planCandidate(id int, spec *catalogue.Engine, models ...fleet.ModelID) *candidate {
	s := &candidate{
		id: fleet.UpstreamID(fmt.Sprintf("engine-%d", id)), models: make(map[fleet.ModelID]bool), ready: make(map[fleet.ModelID]bool),
		freeMB: spec.WeightsMB - 100*float64(len(models)),
	}
	for _, m := range models {
		s.models[m], s.ready[m] = true, true
	}
	return s
}

// all returns the moves of a plan.
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

// carryOut ends all moves.
func completeMoves(spec *catalogue.Engine, candidates []*candidate) {
	for _, s := range candidates {
		s.blocked = false
		s.freeMB = spec.WeightsMB
		for m := range s.models {
			s.ready[m] = true
			s.freeMB -= spec.Models[m].WeightsMB
		}
	}
}

// Models that were lost with an engine do not all come back on the empty one,
// which would stand idle then while the busy models wait.
func TestLostModelsLeaveRoomForBusyOnes(t *testing.T) {
	is := is.New(t)
	spec := planSpec("busy1", "busy2", "r1", "r2", "r3", "r4", "r5", "r6")
	sites := []*candidate{
		planCandidate(0, spec, "busy1", "busy2", "r1"), planCandidate(1, spec, "busy1", "busy2", "r2"),
		planCandidate(2, spec, "busy1", "busy2", "r3"), planCandidate(3, spec),
	}
	for range 8 {
		newPlanner(spec, sites, map[fleet.ModelID]float64{"busy1": 40000, "busy2": 20000, "r1": 500, "r4": 500}).next()
		completeMoves(spec, sites)
	}
	for _, s := range sites {
		is.True(s.models["busy1"] || s.models["busy2"]) // stands idle
	}
}

// A rising model gets copies in all data centres, since each may be cut off.
func TestCopiesSpreadOverDataCentres(t *testing.T) {
	is := is.New(t)
	spec := planSpec("rising", "falling", "r1", "r2", "r3", "r4", "r5", "r6")
	var sites []*candidate
	for i := range 6 {
		s := planCandidate(i, spec, "falling", fleet.ModelID(fmt.Sprintf("r%d", i+1)))
		s.freeMB = 0
		s.dataCentre = fleet.DataCentre(fmt.Sprintf("dc-%d", i/2))
		sites = append(sites, s)
	}
	sites[0].models["rising"], sites[0].ready["rising"] = true, true
	p := newPlanner(spec, sites, map[fleet.ModelID]float64{"rising": 30000})
	places := make(map[fleet.DataCentre]bool)
	for range 2 {
		mv, ok := p.next()
		is.True(ok)
		for _, s := range sites {
			if s.id == mv.engine {
				places[s.dataCentre] = true
			}
		}
	}
	is.True(places["dc-1"] && places["dc-2"])
}

// The only copy that serves stays, though others are on their way.
func TestServingCopyStays(t *testing.T) {
	is := is.New(t)
	spec := planSpec("old", "new", "r1", "r2", "r3", "r4")
	sites := []*candidate{planCandidate(0, spec, "old", "r1", "r2"), planCandidate(1, spec, "old", "r3", "r4")}
	delete(sites[1].ready, "old")
	sites[1].blocked = true
	allMoves(newPlanner(spec, sites, map[fleet.ModelID]float64{"new": 40000, "old": 10}))
	is.True(sites[0].models["old"])
}

// Waves of demand move nothing: a copy is worth its load only where much more
// is asked for than where it would be taken from.
func TestWavesMoveNothing(t *testing.T) {
	is := is.New(t)
	spec := planSpec("a", "b", "r1", "r2")
	sites := []*candidate{planCandidate(0, spec, "a", "b", "r1"), planCandidate(1, spec, "a", "b", "r2"), planCandidate(2, spec, "a", "a", "b")}
	sites[2].freeMB = 0
	is.Equal(len(allMoves(newPlanner(spec, sites, map[fleet.ModelID]float64{"a": 20000, "b": 26000}))), 0)
}

// A load that outlives its coordinator's term is not taken off the loads of the
// next one.
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
