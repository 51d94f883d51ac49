package coordinator

import (
	"cmp"
	"maps"
	"slices"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/roster"
)

// Weights of a placement.
const (
	// gainNeeded is how many times the demand for each copy of a model must be
	// above that of the model that makes room, after the change: moves cost
	// loads, and demand comes in waves.
	minGain = 1.6
	// worthCopy is the demand for each copy of a model, as a part of an engine's
	// mean demand, below which no further copy is made.
	minCopyDemandShare = 0.4
	// minDemand is the tokens a second for each copy of a model below which no
	// further copy is made: an engine serves several times that.
	minCopyDemand = 1500
)

// site is an engine as the plan sees it.
type candidate struct {
	id fleet.UpstreamID
	// dataCentre is where the engine is.
	dataCentre fleet.DataCentre
	// models are held or on their way, ready are those that serve requests now.
	models map[fleet.ModelID]bool
	ready  map[fleet.ModelID]bool
	// load is the requests of all VMs at the engine.
	inFlight int
	// busyAdapters counts the adapters that were used lately.
	busyAdapters int
	// freeMB is the memory that is not held or reserved.
	freeMB float64
	// closed engines take no change now.
	blocked bool
	// copies are the models that load without the weight store here.
	copies roster.Copies
}

// move brings a model to an engine, after another has made room if it is set.
type move struct {
	engine    fleet.UpstreamID
	model     fleet.ModelID
	evict     fleet.ModelID
	fromStore bool
}

// planner plans the placement of the models of one service.
type planner struct {
	spec       *catalogue.Engine
	candidates []*candidate
	demand     map[fleet.ModelID]float64
	copies     map[fleet.ModelID]int
	ready      map[fleet.ModelID]int
	// mean is the mean demand of an engine.
	meanDemand float64
}

func newPlanner(spec *catalogue.Engine, candidates []*candidate, demand map[fleet.ModelID]float64) *planner {
	p := &planner{spec: spec, candidates: candidates, demand: demand, copies: make(map[fleet.ModelID]int), ready: make(map[fleet.ModelID]int)}
	var sum float64
	for _, m := range slices.Sorted(maps.Keys(demand)) { // In one order, so that plans can be repeated.
		sum += demand[m]
	}
	p.meanDemand = sum / float64(max(len(candidates), 1))
	for _, s := range candidates {
		for m := range s.models {
			p.copies[m]++
		}
		for m := range s.ready {
			p.ready[m]++
		}
	}
	return p
}

// next returns the most useful move, and applies it to the planner's view. It
// returns false if no move is worth its load.
func (p *planner) next() (move, bool) {
	for _, m := range p.byPriority() {
		if p.copies[m] > 0 && p.priority(m) < max(minCopyDemandShare*p.meanDemand, minCopyDemand) {
			continue
		}
		if mv, ok := p.cheapestMove(m); ok {
			p.apply(mv)
			return mv, true
		}
	}
	return move{}, false
}

// byNeed returns the models, those without a copy first, and then by the demand
// for each copy.
func (p *planner) byPriority() []fleet.ModelID {
	var list []fleet.ModelID
	for m := range p.spec.Models {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b fleet.ModelID) int {
		if c := cmp.Compare(p.priority(b), p.priority(a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return list
}

// Weights of a model that no engine holds.
const (
	// noCopyWeight is how many times the demand for it counts: all of it is
	// refused, where that for a copy too few is only late.
	noCopyWeight = 4
	// noCopyNeed is its need where nobody asks for it.
	noCopyPriority = 500
)

// need returns the demand for each copy of a model.
func (p *planner) priority(m fleet.ModelID) float64 {
	if p.copies[m] == 0 {
		return noCopyWeight*p.demand[m] + noCopyPriority
	}
	return p.demand[m] / float64(p.copies[m])
}

// place finds the engine that can take a model at the least cost.
func (p *planner) cheapestMove(m fleet.ModelID) (move, bool) {
	var best move
	lowest := 0.0
	found := false
	for _, s := range p.candidates {
		if s.blocked || s.models[m] {
			continue
		}
		victim, ok := p.victim(s, m)
		if !ok {
			continue
		}
		load, fromStore := loadTime(s.copies, p.spec.Models[m])
		cost := load.Seconds() + float64(s.inFlight)*inFlightWeight + float64(s.busyAdapters)*adapterWeight
		cost += float64(p.copiesIn(s.dataCentre, m)) * sameDataCentreWeight
		if p.copies[m] == 0 {
			cost += p.soleCopies(s) * soleCopyWeight
		}
		if victim != "" {
			cost += victimWeight * p.priority(victim) / (p.meanDemand + 1)
		}
		if !found || cost < lowest {
			best = move{engine: s.id, model: m, evict: victim, fromStore: fromStore}
			lowest, found = cost, true
		}
	}
	return best, found
}

// Weights in the choice of an engine, in seconds of a load.
const (
	// loadWeight is what each request at the engine costs.
	inFlightWeight = 0.02
	// adapterWeight is what each adapter costs that is in use: while a model is
	// loaded the engine takes no adapters.
	adapterWeight = 0.15
	// nearWeight is what each copy of the model in the same data centre costs:
	// each data centre is to have copies, for it may be cut off.
	sameDataCentreWeight = 0.8
	// onlyWeight is what each model costs that an engine holds the only copy of,
	// when another such model is to come: an engine with nothing but rare models
	// stands idle while the busy ones wait.
	soleCopyWeight = 2.5
	// victimWeight is what it costs to take away a copy that serves the mean
	// demand of an engine.
	victimWeight = 2
)

// copiesIn returns the number of copies of a model in a data centre.
func (p *planner) copiesIn(dc fleet.DataCentre, m fleet.ModelID) int {
	n := 0
	for _, s := range p.candidates {
		if s.dataCentre == dc && s.models[m] {
			n++
		}
	}
	return n
}

// onlyCopies returns the number of models that an engine holds the only copy of.
func (p *planner) soleCopies(s *candidate) float64 {
	n := 0
	for m := range s.models {
		if p.copies[m] < 2 {
			n++
		}
	}
	return float64(n)
}

// victim returns the model that makes room for m at an engine, "" if there is
// room.
func (p *planner) victim(s *candidate, m fleet.ModelID) (fleet.ModelID, bool) {
	neededMB := p.spec.Models[m].WeightsMB
	if s.freeMB >= neededMB {
		return "", true
	}
	var best fleet.ModelID
	lowest := 0.0
	for v := range s.models {
		spec, ok := p.spec.Models[v]
		if !ok || p.copies[v] < 2 || s.freeMB+spec.WeightsMB < neededMB {
			continue
		}
		// A copy that is on its way may not come: one that serves has to stay.
		if s.ready[v] && p.ready[v] < 2 {
			continue
		}
		// What each copy that is left would have to serve.
		after := p.demand[v] / float64(p.copies[v]-1)
		if after*minGain > p.priority(m) {
			continue
		}
		if best == "" || after < lowest || after == lowest && v < best {
			best, lowest = v, after
		}
	}
	return best, best != ""
}

func (p *planner) apply(mv move) {
	for _, s := range p.candidates {
		if s.id != mv.engine {
			continue
		}
		s.blocked = true
		if mv.evict != "" {
			if s.ready[mv.evict] {
				p.ready[mv.evict]--
			}
			delete(s.models, mv.evict)
			delete(s.ready, mv.evict)
			p.copies[mv.evict]--
		}
		s.models[mv.model] = true
		p.copies[mv.model]++
	}
}
