package placement

import (
	"cmp"
	"slices"

	"toucanfall/fleet"
	"toucanfall/ledger"
)

// restore brings back models without any copy, the most wanted first.
func (p *planner) restore() {
	n := 0
	for _, m := range p.byDemand() {
		if n == maxRestores {
			return
		}
		if !p.in.Models[m].Restore || p.present(m) > 0 {
			continue
		}
		n++
		if !p.revive(m) {
			p.placeAnywhere(m, ReasonRestore)
		}
	}
}

// revive takes back the unloading of a copy, which needs no room.
func (p *planner) revive(m int) bool {
	for i := range p.copies[m] {
		c := &p.copies[m][i]
		if !c.unloading || c.held < 0 || !p.mine(*c) {
			continue
		}
		h := p.in.Engines[c.engine].Held[c.held]
		p.moves = append(p.moves, Move{
			Engine:  p.in.Engines[c.engine].ID,
			Kind:    ledger.IntentLoad,
			Weights: h.Weights,
			Size:    h.Size,
			Reason:  ReasonRestore,
		})
		c.unloading = false
		p.spread(m)
		return true
	}
	return false
}

// placeAnywhere loads a model on the least loaded engine with room, or makes
// room for it.
func (p *planner) placeAnywhere(m int, reason Reason) bool {
	if e := p.roomiest(m); e >= 0 {
		p.loadOn(m, e, reason)
		return true
	}
	p.makeWay(m)
	return false
}

// roomiest returns the least loaded usable engine that can take a model, -1 if
// there is none.
func (p *planner) roomiest(m int) int {
	best := -1
	for e := range p.in.Engines {
		if !p.takes(m, e) || p.free[e] < p.in.Models[m].Size {
			continue
		}
		if best < 0 || p.load[e] < p.load[best] || p.load[e] == p.load[best] && p.free[e] > p.free[best] {
			best = e
		}
	}
	return best
}

func (p *planner) takes(m, e int) bool {
	return p.in.Engines[e].Usable && !p.in.Engines[e].Remote && !p.claimed[e] && !p.on(m, e)
}

// makeWay unloads copies that other copies can stand in for, on the engine
// where the least demand has to change over.
func (p *planner) makeWay(m int) {
	best, least := -1, fleet.TokensPerSecond(0)
	var victims []victim
	for e := range p.in.Engines {
		if !p.takes(m, e) {
			continue
		}
		vs, ok := p.victims(e, p.in.Models[m].Size)
		if !ok {
			continue
		}
		if moved := shareOf(vs); best < 0 || moved < least {
			best, least, victims = e, moved, vs
		}
	}
	p.evict(victims)
}

// victim is a copy that can make way.
type victim struct {
	model int
	copy  *copyOf
}

func shareOf(vs []victim) fleet.TokensPerSecond {
	var sum fleet.TokensPerSecond
	for _, v := range vs {
		sum += v.copy.share
	}
	return sum
}

func (p *planner) evict(vs []victim) {
	for _, v := range vs {
		p.unloadFrom(v.model, v.copy, ReasonEvict)
	}
}

// victims returns the copies on an engine that have to make way for size,
// those with the least demand first.
func (p *planner) victims(e int, size fleet.Bytes) ([]victim, bool) {
	if !p.in.Engines[e].Fenced {
		return nil, false
	}
	free := p.free[e]
	var all []victim
	for _, h := range p.in.Engines[e].Held {
		if h.Unload != 0 {
			// Memory that is about to be free needs no further victim.
			free += h.Size
			continue
		}
		m, ok := p.model[h.Weights.Model]
		if !ok || h.Weights.Adapter != "" || p.serving(m) < 2 {
			continue
		}
		i := slices.IndexFunc(p.copies[m], func(c copyOf) bool { return c.engine == e })
		if c := &p.copies[m][i]; c.serving && !c.unloading && !p.in.Models[m].InCooldown {
			all = append(all, victim{model: m, copy: c})
		}
	}
	slices.SortStableFunc(all, func(a, b victim) int { return cmp.Compare(a.copy.share, b.copy.share) })
	for n, v := range all {
		if free >= size {
			return all[:n], true
		}
		free += p.in.Engines[e].Held[v.copy.held].Size
	}
	return all, free >= size
}

// changeVersions loads the current version of each model before it unloads an
// older one.
func (p *planner) changeVersions() {
	for m := range p.in.Models {
		old := slices.IndexFunc(p.copies[m], func(c copyOf) bool {
			return c.version != p.in.Models[m].Version && !c.unloading && p.mine(c)
		})
		if old < 0 {
			continue
		}
		newer, ready := p.currentVersion(m)
		switch {
		case !newer:
			p.placeAnywhere(m, ReasonVersion)
		case ready && p.in.Engines[p.copies[m][old].engine].Fenced && p.serving(m) > 1:
			p.unloadFrom(m, &p.copies[m][old], ReasonVersion)
		}
	}
}

func (p *planner) currentVersion(m int) (present, ready bool) {
	for _, c := range p.copies[m] {
		if c.version == p.in.Models[m].Version && p.carries(c) {
			present = true
			ready = ready || c.serving
		}
	}
	return present, ready
}

// leaveEngines replaces the copies of engines that are about to leave or are
// silent, as long as nothing else stands in for them.
func (p *planner) leaveEngines() {
	n := 0
	for m := range p.in.Models {
		if n == p.in.MaxMoves {
			return
		}
		leaving := slices.ContainsFunc(p.copies[m], func(c copyOf) bool {
			return !p.in.Engines[c.engine].Usable && !p.in.Engines[c.engine].Remote && c.serving
		})
		if leaving && p.present(m) == 0 && p.placeAnywhere(m, ReasonLeaving) {
			n++
		}
	}
}

// placeLocally gives models that are in demand here, but held only by other
// data centres, a copy of their own where there is free room, so that this data
// centre can serve them when it is cut off.
func (p *planner) placeLocally() {
	n := 0
	for _, m := range p.byDemand() {
		if n == p.in.MaxMoves || p.in.Models[m].Demand <= 0 {
			return
		}
		if slices.ContainsFunc(p.copies[m], p.here) || p.in.Models[m].InCooldown {
			continue
		}
		if e := p.roomiest(m); e >= 0 && p.spares(m, e) {
			p.loadOn(m, e, ReasonLocal)
			n++
		}
	}
}

func (p *planner) here(c copyOf) bool {
	return !p.in.Engines[c.engine].Remote
}

// spares reports whether an engine has free room for a copy that is not needed.
func (p *planner) spares(m, e int) bool {
	left := p.free[e] - p.in.Models[m].Size
	if p.in.Engines[e].Fenced {
		return left >= 0
	}
	return float64(left) >= spareShare*float64(p.in.Engines[e].WeightMemory)
}

// followDemand gives copies to models of busy engines while each takes enough
// load off to be worth its move.
func (p *planner) followDemand() {
	for range p.in.MaxMoves {
		g, ok := p.bestGain()
		if !ok {
			return
		}
		if p.free[g.to] >= p.in.Models[g.model].Size {
			p.loadOn(g.model, g.to, ReasonDemand)
			continue
		}
		p.evict(g.victims)
		// The room may be promised by an earlier plan already.
		p.claimed[g.to] = true
	}
}

// gain is a copy that would take load off a busy engine.
type gain struct {
	model, to int
	takes     fleet.TokensPerSecond
	victims   []victim
}

// maxHotEngines bounds the busy engines that a plan looks at for one move.
const maxHotEngines = 4

func (p *planner) bestGain() (gain, bool) {
	var best gain
	order := p.byLoad()
	for _, h := range order[:min(maxHotEngines, len(order))] {
		engine := &p.in.Engines[h]
		if p.load[h] < busyShare*engine.Rate {
			break
		}
		for _, held := range engine.Held {
			m, ok := p.model[held.Weights.Model]
			if !ok || held.Weights.Adapter != "" || p.in.Models[m].InCooldown || p.coming(m) {
				continue
			}
			if g, ok := p.gainOf(m, h, order); ok && g.takes > best.takes {
				best = g
			}
		}
	}
	return best, best.takes > 0
}

// coming reports whether a copy of a model is on its way here.
func (p *planner) coming(m int) bool {
	return slices.ContainsFunc(p.copies[m], func(c copyOf) bool { return !c.serving && p.carries(c) })
}

// byLoad returns the usable engines, the busiest first.
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

// gainOf returns the copy of a model that takes the most load off a busy
// engine. The idlest engines that the model is not on are tried first.
func (p *planner) gainOf(m, busy int, order []int) (gain, bool) {
	i := slices.IndexFunc(p.copies[m], func(c copyOf) bool { return c.engine == busy })
	share := p.copies[m][i].share
	least := gainShare * p.in.Engines[busy].Rate
	for _, e := range slices.Backward(order) {
		const halves = 2
		takes := min(share, (p.load[busy]-p.load[e])/halves)
		if takes < least {
			return gain{}, false
		}
		if !p.takes(m, e) {
			continue
		}
		if p.spares(m, e) {
			return gain{model: m, to: e, takes: takes}, true
		}
		vs, ok := p.victims(e, p.in.Models[m].Size)
		if ok && shareOf(vs) <= evictShare*takes {
			return gain{model: m, to: e, takes: takes - shareOf(vs), victims: vs}, true
		}
	}
	return gain{}, false
}

// placeAdapters loads the adapters of each model beside every copy that is
// ready, as far as there is room.
func (p *planner) placeAdapters() {
	n := 0
	for _, a := range p.in.Adapters {
		m, ok := p.model[a.Model]
		if !ok {
			continue
		}
		for _, c := range p.copies[m] {
			if n == maxAdapterLoads {
				return
			}
			if c.serving && p.carries(c) && p.mine(c) && p.loadAdapter(a, c) {
				n++
			}
		}
	}
}

func (p *planner) loadAdapter(a fleet.Adapter, c copyOf) bool {
	w := ledger.Weights{Model: a.Model, Version: c.version, Adapter: a.ID}
	engine := &p.in.Engines[c.engine]
	held := slices.ContainsFunc(engine.Held, func(h ledger.HeldWeights) bool { return h.Weights == w })
	if held || p.claimed[c.engine] || p.free[c.engine] < a.Size {
		return false
	}
	p.free[c.engine] -= a.Size
	p.moves = append(p.moves, Move{Engine: engine.ID, Kind: ledger.IntentLoad, Weights: w, Size: a.Size, Reason: ReasonAdapter})
	return true
}
