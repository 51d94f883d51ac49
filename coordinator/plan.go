package coordinator

import (
	"cmp"
	"maps"
	"slices"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/roster"
)

// Thresholds for moves.
const (
	// minGain is how many times the demand per copy of the new model must exceed the demand
	// per remaining copy of the evicted one: moves cost loads, and demand fluctuates.
	minGain = 1.6
	// minCopyDemandShare is the demand per copy of a model, as a share of the mean demand
	// of an engine, below which no further copy is loaded.
	minCopyDemandShare = 0.4
	// minCopyDemand is the demand per copy of a model in tokens a second below which no
	// further copy is loaded. An engine serves several times that.
	minCopyDemand = 1500
)

// candidate is an engine as the planner sees it.
type candidate struct {
	id         fleet.UpstreamID
	dataCentre fleet.DataCentre
	// models are the models that the engine holds or is loading, ready those that serve
	// requests now.
	models map[fleet.ModelID]bool
	ready  map[fleet.ModelID]bool
	// inFlight is the number of requests of all VMs at the engine.
	inFlight int
	// busyAdapters is the number of adapters that were used within the last second.
	busyAdapters int
	// freeMB is the memory in MB that is neither held nor reserved.
	freeMB float64
	// blocked is set if no move may start at the engine now.
	blocked bool
	// copies are the models that the engine can load without the weight store.
	copies roster.Copies
}

// move is the load of a model at an engine, after the unload of evict if that is set.
// fromStore is set if the load comes from the weight store.
type move struct {
	engine    fleet.UpstreamID
	model     fleet.ModelID
	evict     fleet.ModelID
	fromStore bool
}

// planner plans the placement of the models of one service. demand is in tokens a second.
// copies counts the engines that hold or are loading a model, ready those that serve it.
type planner struct {
	spec       *catalogue.Engine
	candidates []*candidate
	demand     map[fleet.ModelID]float64
	copies     map[fleet.ModelID]int
	ready      map[fleet.ModelID]int
	// meanDemand is the mean demand per engine in tokens a second.
	meanDemand float64
}

func newPlanner(spec *catalogue.Engine, candidates []*candidate, demand map[fleet.ModelID]float64) *planner {
	p := &planner{spec: spec, candidates: candidates, demand: demand, copies: make(map[fleet.ModelID]int), ready: make(map[fleet.ModelID]int)}
	var sum float64
	for _, m := range slices.Sorted(maps.Keys(demand)) { // A fixed order of additions makes plans reproducible.
		sum += demand[m]
	}
	p.meanDemand = sum / float64(max(len(candidates), 1))
	for _, cand := range candidates {
		for m := range cand.models {
			p.copies[m]++
		}
		for m := range cand.ready {
			p.ready[m]++
		}
	}
	return p
}

// next returns the move with the greatest benefit and applies it to the planner's view. It
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

// byPriority returns the models by descending priority.
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

// Priority of a model that no engine holds.
const (
	// noCopyWeight is the factor by which its demand counts: all of its requests are
	// rejected, while a missing further copy only delays requests.
	noCopyWeight = 4
	// noCopyPriority is its priority without any demand, in tokens a second.
	noCopyPriority = 500
)

// priority returns the demand per copy of a model in tokens a second, a weighted value for
// a model without a copy.
func (p *planner) priority(m fleet.ModelID) float64 {
	if p.copies[m] == 0 {
		return noCopyWeight*p.demand[m] + noCopyPriority
	}
	return p.demand[m] / float64(p.copies[m])
}

// cheapestMove returns the move that loads a model at the lowest cost, false if no engine
// can take the model.
func (p *planner) cheapestMove(m fleet.ModelID) (move, bool) {
	var best move
	lowest := 0.0
	found := false
	for _, cand := range p.candidates {
		if cand.blocked || cand.models[m] {
			continue
		}
		victim, ok := p.victim(cand, m)
		if !ok {
			continue
		}
		load, fromStore := loadTime(cand.copies, p.spec.Models[m])
		cost := load.Seconds() + float64(cand.inFlight)*inFlightWeight + float64(cand.busyAdapters)*adapterWeight
		cost += float64(p.copiesIn(cand.dataCentre, m)) * sameDataCentreWeight
		if p.copies[m] == 0 {
			cost += p.soleCopies(cand) * soleCopyWeight
		}
		if victim != "" {
			cost += victimWeight * p.priority(victim) / (p.meanDemand + 1)
		}
		if !found || cost < lowest {
			best = move{engine: cand.id, model: m, evict: victim, fromStore: fromStore}
			lowest, found = cost, true
		}
	}
	return best, found
}

// Weights in the choice of an engine. The unit is a second of load time.
const (
	// inFlightWeight is the cost of each request in flight at the engine.
	inFlightWeight = 0.02
	// adapterWeight is the cost of each adapter in use: the engine loads no adapters while
	// it loads a model.
	adapterWeight = 0.15
	// sameDataCentreWeight is the cost of each copy of the model in the same data centre:
	// each data centre should have copies, as it may be partitioned from the others.
	sameDataCentreWeight = 0.8
	// soleCopyWeight is the cost of each model of which the engine holds the only copy, if
	// the new model has no copy either. An engine with only rarely used models would be
	// idle while the busy ones queue requests.
	soleCopyWeight = 2.5
	// victimWeight is the cost of evicting a copy whose demand equals the mean demand of an
	// engine.
	victimWeight = 2
)

// copiesIn returns the number of copies of a model in a data centre.
func (p *planner) copiesIn(dc fleet.DataCentre, m fleet.ModelID) int {
	n := 0
	for _, cand := range p.candidates {
		if cand.dataCentre == dc && cand.models[m] {
			n++
		}
	}
	return n
}

// soleCopies returns the number of models of which an engine holds the only copy.
func (p *planner) soleCopies(cand *candidate) float64 {
	n := 0
	for m := range cand.models {
		if p.copies[m] < 2 {
			n++
		}
	}
	return float64(n)
}

// victim returns the model to evict for m at an engine, "" if there is enough free memory,
// and false if no model may be evicted.
func (p *planner) victim(cand *candidate, m fleet.ModelID) (fleet.ModelID, bool) {
	neededMB := p.spec.Models[m].WeightsMB
	if cand.freeMB >= neededMB {
		return "", true
	}
	var best fleet.ModelID
	lowest := 0.0
	for v := range cand.models {
		spec, ok := p.spec.Models[v]
		if !ok || p.copies[v] < 2 || cand.freeMB+spec.WeightsMB < neededMB {
			continue
		}
		// A load in progress may fail, so the last copy that serves requests stays.
		if cand.ready[v] && p.ready[v] < 2 {
			continue
		}
		// The demand per copy that would remain.
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

// apply applies a move to the planner's view.
func (p *planner) apply(mv move) {
	for _, cand := range p.candidates {
		if cand.id != mv.engine {
			continue
		}
		cand.blocked = true
		if mv.evict != "" {
			if cand.ready[mv.evict] {
				p.ready[mv.evict]--
			}
			delete(cand.models, mv.evict)
			delete(cand.ready, mv.evict)
			p.copies[mv.evict]--
		}
		cand.models[mv.model] = true
		p.copies[mv.model]++
	}
}
