package placement

import (
	"cmp"
	"slices"

	"toucanfall/fleet"
	"toucanfall/ledger"
)

// restore loads models that have no copy, in order of falling demand, at most
// maxRestores of them.
func (p *planner) restore() {
	n := 0
	for _, m := range p.byDemand() {
		if n == maxRestores {
			return
		}
		if !p.in.Models[m].Restore || p.activeCopies(m) > 0 {
			continue
		}
		n++
		if !p.cancelUnload(m) {
			p.placeAnywhere(m, ReasonRestore)
		}
	}
}

// cancelUnload keeps a copy that is being unloaded, which needs no free memory.
// It reports whether there was one.
func (p *planner) cancelUnload(m int) bool {
	for i := range p.copies[m] {
		c := &p.copies[m][i]
		if !c.unloading || c.heldIndex < 0 || !p.ownUsable(*c) {
			continue
		}
		h := p.in.Engines[c.engine].Held[c.heldIndex]
		p.moves = append(p.moves, Move{
			Engine:  p.in.Engines[c.engine].ID,
			Kind:    ledger.IntentLoad,
			Weights: h.Weights,
			Size:    h.Size,
			Reason:  ReasonRestore,
		})
		c.unloading = false
		p.distribute(m)
		return true
	}
	return false
}

// placeAnywhere loads a model on the least loaded engine with enough free
// memory and reports true. If there is none, it evicts copies so that a later
// plan can load the model, and reports false.
func (p *planner) placeAnywhere(m int, reason Reason) bool {
	if e := p.leastLoadedFit(m); e >= 0 {
		p.addCopy(m, e, reason)
		return true
	}
	p.freeMemoryFor(m)
	return false
}

// leastLoadedFit returns the least loaded engine that can accept a model and has
// enough free memory for it, or -1. Of engines with equal load it prefers the
// one with more free memory.
func (p *planner) leastLoadedFit(m int) int {
	best := -1
	for e := range p.in.Engines {
		if !p.canAccept(m, e) || p.free[e] < p.in.Models[m].Size {
			continue
		}
		if best < 0 || p.load[e] < p.load[best] || p.load[e] == p.load[best] && p.free[e] > p.free[best] {
			best = e
		}
	}
	return best
}

// canAccept reports whether this plan may load a model on an engine, whatever
// its free memory.
func (p *planner) canAccept(m, e int) bool {
	return p.in.Engines[e].Usable && !p.in.Engines[e].Remote && !p.evicting[e] && !p.holds(m, e)
}

// freeMemoryFor unloads copies of models that have other ready copies, on the
// engine where the evicted copies serve the least demand.
func (p *planner) freeMemoryFor(m int) {
	best, leastDemand := -1, fleet.TokensPerSecond(0)
	var victims []victim
	for e := range p.in.Engines {
		if !p.canAccept(m, e) {
			continue
		}
		vs, ok := p.victims(e, p.in.Models[m].Size)
		if !ok {
			continue
		}
		if demand := totalDemand(vs); best < 0 || demand < leastDemand {
			best, leastDemand, victims = e, demand, vs
		}
	}
	p.evict(victims)
}

// victim is a copy that may be evicted.
type victim struct {
	model int
	copy  *modelCopy
}

// totalDemand returns the demand that the victims serve.
func totalDemand(vs []victim) fleet.TokensPerSecond {
	var sum fleet.TokensPerSecond
	for _, v := range vs {
		sum += v.copy.demand
	}
	return sum
}

// evict unloads the victims.
func (p *planner) evict(vs []victim) {
	for _, v := range vs {
		p.unloadCopy(v.model, v.copy, ReasonEvict)
	}
}

// victims returns the copies to evict from an engine to free size bytes, those
// with the least demand first, and whether they suffice.
func (p *planner) victims(e int, size fleet.Bytes) ([]victim, bool) {
	if !p.in.Engines[e].Fenced {
		return nil, false
	}
	free := p.free[e]
	var all []victim
	for _, h := range p.in.Engines[e].Held {
		if h.Unload != 0 {
			// This memory will be free without evicting anything.
			free += h.Size
			continue
		}
		m, ok := p.modelIndex[h.Weights.Model]
		if !ok || h.Weights.Adapter != "" || p.servingCopies(m) < 2 {
			continue
		}
		i := slices.IndexFunc(p.copies[m], func(c modelCopy) bool { return c.engine == e })
		if c := &p.copies[m][i]; c.serving && !c.unloading && !p.in.Models[m].InCooldown {
			all = append(all, victim{model: m, copy: c})
		}
	}
	slices.SortStableFunc(all, func(a, b victim) int { return cmp.Compare(a.copy.demand, b.copy.demand) })
	for n, v := range all {
		if free >= size {
			return all[:n], true
		}
		free += p.in.Engines[e].Held[v.copy.heldIndex].Size
	}
	return all, free >= size
}

// updateVersions loads the current version of each model and unloads an older
// one only once the current one is ready.
func (p *planner) updateVersions() {
	for m := range p.in.Models {
		old := slices.IndexFunc(p.copies[m], func(c modelCopy) bool {
			return c.version != p.in.Models[m].Version && !c.unloading && p.ownUsable(c)
		})
		if old < 0 {
			continue
		}
		newer, ready := p.currentVersionCopies(m)
		switch {
		case !newer:
			p.placeAnywhere(m, ReasonVersion)
		case ready && p.in.Engines[p.copies[m][old].engine].Fenced && p.servingCopies(m) > 1:
			p.unloadCopy(m, &p.copies[m][old], ReasonVersion)
		}
	}
}

// currentVersionCopies reports whether a copy of a model's current version is
// active, and whether one of those is ready.
func (p *planner) currentVersionCopies(m int) (present, ready bool) {
	for _, c := range p.copies[m] {
		if c.version == p.in.Models[m].Version && p.active(c) {
			present = true
			ready = ready || c.serving
		}
	}
	return present, ready
}

// replaceLeavingCopies loads models that have no active copy, but a ready one on
// an engine of this data centre that is leaving or silent, on other engines. It
// loads at most MaxMoves of them.
func (p *planner) replaceLeavingCopies() {
	n := 0
	for m := range p.in.Models {
		if n == p.in.MaxMoves {
			return
		}
		leaving := slices.ContainsFunc(p.copies[m], func(c modelCopy) bool {
			return !p.in.Engines[c.engine].Usable && !p.in.Engines[c.engine].Remote && c.serving
		})
		if leaving && p.activeCopies(m) == 0 && p.placeAnywhere(m, ReasonLeaving) {
			n++
		}
	}
}

// placeLocally loads models that are in demand here but held only by other data
// centres, where there is free memory, so that this data centre can serve them
// when it is partitioned from the others.
func (p *planner) placeLocally() {
	n := 0
	for _, m := range p.byDemand() {
		if n == p.in.MaxMoves || p.in.Models[m].Demand <= 0 {
			return
		}
		if slices.ContainsFunc(p.copies[m], p.local) || p.in.Models[m].InCooldown {
			continue
		}
		if e := p.leastLoadedFit(m); e >= 0 && p.hasSpareMemory(m, e) {
			p.addCopy(m, e, ReasonLocal)
			n++
		}
	}
}

// local reports whether a copy is in this data centre.
func (p *planner) local(c modelCopy) bool {
	return !p.in.Engines[c.engine].Remote
}

// hasSpareMemory reports whether an engine has free memory for an optional copy,
// beyond the reserve that an engine without fencing keeps.
func (p *planner) hasSpareMemory(m, e int) bool {
	left := p.free[e] - p.in.Models[m].Size
	if p.in.Engines[e].Fenced {
		return left >= 0
	}
	return float64(left) >= reserveFraction*float64(p.in.Engines[e].WeightMemory)
}

// addCopiesForDemand adds copies of models on busy engines as long as each
// reduces the load enough to justify its move.
func (p *planner) addCopiesForDemand() {
	for range p.in.MaxMoves {
		c, ok := p.bestProposal()
		if !ok {
			return
		}
		if p.free[c.to] >= p.in.Models[c.model].Size {
			p.addCopy(c.model, c.to, ReasonDemand)
			continue
		}
		p.evict(c.victims)
		// Without victims, unloads of an earlier plan free enough memory. The
		// engine must be marked in that case too.
		p.evicting[c.to] = true
	}
}

// copyProposal is a copy that would reduce the load of a busy engine, after
// evicting the victims.
type copyProposal struct {
	model, to     int
	loadReduction fleet.TokensPerSecond
	victims       []victim
}

// maxBusyEngines bounds the busy engines considered for one move.
const maxBusyEngines = 4

// bestProposal returns the copy that reduces the load of one of the busiest
// engines the most, and false if no copy is worth its move.
func (p *planner) bestProposal() (copyProposal, bool) {
	var best copyProposal
	order := p.byLoad()
	for _, h := range order[:min(maxBusyEngines, len(order))] {
		engine := &p.in.Engines[h]
		if p.load[h] < busyFraction*engine.Rate {
			break
		}
		for _, held := range engine.Held {
			m, ok := p.modelIndex[held.Weights.Model]
			if !ok || held.Weights.Adapter != "" || p.in.Models[m].InCooldown || p.hasLoadingCopy(m) {
				continue
			}
			if c, ok := p.proposalFor(m, h, order); ok && c.loadReduction > best.loadReduction {
				best = c
			}
		}
	}
	return best, best.loadReduction > 0
}

// hasLoadingCopy reports whether an active copy of a model is not ready yet.
func (p *planner) hasLoadingCopy(m int) bool {
	return slices.ContainsFunc(p.copies[m], func(c modelCopy) bool { return !c.serving && p.active(c) })
}

// byLoad returns the usable engines in order of falling load.
func (p *planner) byLoad() []int {
	var order []int
	for e := range p.in.Engines {
		if p.in.Engines[e].Usable {
			order = append(order, e)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.load[b], p.load[a]) })
	return order
}

// proposalFor returns the copy of a model that reduces the load of a busy engine
// the most. order lists the engines by falling load; the engine nearest to its
// end that qualifies is chosen.
func (p *planner) proposalFor(m, busy int, order []int) (copyProposal, bool) {
	i := slices.IndexFunc(p.copies[m], func(c modelCopy) bool { return c.engine == busy })
	demand := p.copies[m][i].demand
	minReduction := minReductionFraction * p.in.Engines[busy].Rate
	for _, e := range slices.Backward(order) {
		const halves = 2
		loadReduction := min(demand, (p.load[busy]-p.load[e])/halves)
		if loadReduction < minReduction {
			return copyProposal{}, false
		}
		if !p.canAccept(m, e) {
			continue
		}
		if p.hasSpareMemory(m, e) {
			return copyProposal{model: m, to: e, loadReduction: loadReduction}, true
		}
		vs, ok := p.victims(e, p.in.Models[m].Size)
		if ok && totalDemand(vs) <= maxEvictedFraction*loadReduction {
			return copyProposal{model: m, to: e, loadReduction: loadReduction - totalDemand(vs), victims: vs}, true
		}
	}
	return copyProposal{}, false
}

// placeAdapters loads the adapters of each model beside every ready copy in
// this data centre where there is free memory, at most maxAdapterLoads of them.
func (p *planner) placeAdapters() {
	n := 0
	for _, a := range p.in.Adapters {
		m, ok := p.modelIndex[a.Model]
		if !ok {
			continue
		}
		for _, c := range p.copies[m] {
			if n == maxAdapterLoads {
				return
			}
			if c.serving && p.active(c) && p.ownUsable(c) && p.loadAdapter(a, c) {
				n++
			}
		}
	}
}

// loadAdapter loads an adapter beside a copy. It returns false if the engine
// already holds it, has no free memory for it or is evicting.
func (p *planner) loadAdapter(a fleet.Adapter, c modelCopy) bool {
	w := ledger.Weights{Model: a.Model, Version: c.version, Adapter: a.ID}
	engine := &p.in.Engines[c.engine]
	held := slices.ContainsFunc(engine.Held, func(h ledger.HeldWeights) bool { return h.Weights == w })
	if held || p.evicting[c.engine] || p.free[c.engine] < a.Size {
		return false
	}
	p.free[c.engine] -= a.Size
	p.moves = append(p.moves, Move{Engine: engine.ID, Kind: ledger.IntentLoad, Weights: w, Size: a.Size, Reason: ReasonAdapter})
	return true
}
