package placement

import (
	"cmp"
	"slices"

	"toucanfall/fleet"
	"toucanfall/ledger"
)

// Engine is the state of one engine as input to a plan.
type Engine struct {
	ID fleet.UpstreamID
	// Remote is set for engines of other data centres, whose placers decide
	// what they hold. Their copies and loads are taken into account.
	Remote bool
	// WeightMemory is the memory available for weights in total, Reserved the
	// part of it that is in use or promised.
	WeightMemory fleet.Bytes
	Reserved     fleet.Bytes
	// Fenced engines refuse orders with an old fencing token. Other engines
	// cannot be made to unload, since a delayed order could load the weights
	// again.
	Fenced bool
	// Usable is set for engines that answer and are not leaving.
	Usable bool
	// Rate is the throughput of the engine at full load, over all its models.
	Rate fleet.TokensPerSecond
	Held []ledger.HeldWeights
	// Serving reports for each element of Held whether it is ready and no
	// delayed order can unload it.
	Serving []bool
}

// Model is the state of one model as input to a plan.
type Model struct {
	fleet.Model
	// Demand is the decayed demand for the model, as far as this VM knows it.
	Demand fleet.TokensPerSecond
	// Restore is set if this data centre is to load a model that has no copy.
	Restore bool
	// InCooldown is set for models that had a copy added for demand or evicted
	// less than moveCooldown ago. They get no optional copy and are not
	// evicted.
	InCooldown bool
}

// Input is the complete input of a plan.
type Input struct {
	Engines  []Engine
	Models   []Model
	Adapters []fleet.Adapter
	// MaxMoves bounds the moves for each of [ReasonLeaving], [ReasonLocal] and
	// [ReasonDemand]. Restores, version changes and adapters are not included.
	MaxMoves int
}

// Reason is the reason for a move.
type Reason string

// The reasons for moves.
const (
	// ReasonRestore loads a model that has no copy.
	ReasonRestore Reason = "restore"
	// ReasonVersion loads a model's current version or unloads an older one.
	ReasonVersion Reason = "version"
	// ReasonLocal loads a model that only other data centres hold.
	ReasonLocal Reason = "local"
	// ReasonDemand adds a copy to take load off a busy engine.
	ReasonDemand Reason = "demand"
	// ReasonEvict unloads a copy to free memory for another.
	ReasonEvict Reason = "make_way"
	// ReasonLeaving replaces a copy on an engine that is leaving or silent.
	ReasonLeaving Reason = "leaving"
	// ReasonAdapter loads an adapter beside its model.
	ReasonAdapter Reason = "adapter"
)

// Move is the load or unload of one set of weights, to be proposed as an intent.
type Move struct {
	Engine  fleet.UpstreamID
	Kind    ledger.IntentKind
	Weights ledger.Weights
	Size    fleet.Bytes
	Reason  Reason
}

// Limits of plans.
const (
	// maxRestores bounds the lost models that one plan restores.
	maxRestores = 8
	// maxAdapterLoads bounds the adapters that one plan loads.
	maxAdapterLoads = 16
	// busyFraction is the fraction of an engine's rate at which its models start
	// to get copies elsewhere.
	busyFraction = 0.8
	// minReductionFraction is the fraction of a busy engine's rate by which a new
	// copy must at least reduce its load.
	minReductionFraction = 0.05
	// maxEvictedFraction bounds the demand that copies evicted for a new copy
	// serve, as a fraction of the load reduction. Their models' other copies
	// take over that demand.
	maxEvictedFraction = 1.0
	// reserveFraction is the fraction of the memory of an engine without fencing
	// that optional copies leave free for models lost elsewhere, since memory of
	// such an engine never becomes free again.
	reserveFraction = 0.25
)

// Plan returns the moves to make now, the most urgent first. It is a pure
// function of its input. If memory must be freed for a move, only the unloads are
// returned and a later plan makes the move.
func Plan(in Input) []Move {
	p := newPlanner(in)
	p.restore()
	p.updateVersions()
	p.replaceLeavingCopies()
	p.placeLocally()
	p.addCopiesForDemand()
	p.placeAdapters()
	return p.moves
}

// modelCopy is a copy of a model on an engine.
type modelCopy struct {
	// engine is the index of the engine, heldIndex that of the weights in its
	// Held, -1 if this plan loads them.
	engine, heldIndex int
	// demand is the estimated part of the model's demand that the copy serves.
	demand    fleet.TokensPerSecond
	serving   bool
	unloading bool
	version   string
}

// planner is the state of one plan. Engines and models are identified by their
// index in the input.
type planner struct {
	in    Input
	moves []Move
	// modelIndex maps models to their index, and copies holds the copies of each.
	modelIndex map[fleet.ModelID]int
	copies     [][]modelCopy
	// free and load are the free memory and the estimated load of each engine.
	free []fleet.Bytes
	load []fleet.TokensPerSecond
	// evicting marks engines on which copies are being unloaded. This plan loads
	// nothing more on them.
	evicting []bool
}

// newPlanner returns a planner for an input, with the estimated load of its
// engines and no moves.
func newPlanner(in Input) *planner {
	p := &planner{
		in:         in,
		modelIndex: make(map[fleet.ModelID]int, len(in.Models)),
		copies:     make([][]modelCopy, len(in.Models)),
		free:       make([]fleet.Bytes, len(in.Engines)),
		load:       make([]fleet.TokensPerSecond, len(in.Engines)),
		evicting:   make([]bool, len(in.Engines)),
	}
	for m := range in.Models {
		p.modelIndex[in.Models[m].ID] = m
	}
	for e := range in.Engines {
		p.addEngine(e)
	}
	p.distributeAll()
	return p
}

// addEngine records an engine's free memory and its copies of models.
func (p *planner) addEngine(e int) {
	engine := &p.in.Engines[e]
	p.free[e] = engine.WeightMemory - engine.Reserved
	for i, h := range engine.Held {
		m, ok := p.modelIndex[h.Weights.Model]
		if !ok || h.Weights.Adapter != "" {
			continue
		}
		p.copies[m] = append(p.copies[m], modelCopy{
			engine:    e,
			heldIndex: i,
			serving:   engine.Serving[i],
			unloading: h.Unload != 0,
			version:   h.Weights.Version,
		})
	}
}

// distributeAll estimates the load of each engine. The models are taken in order
// of falling demand, and the demand of each is distributed over its copies as
// routing to the least loaded engine would do. The second pass takes the loads
// of models placed later in the first into account.
func (p *planner) distributeAll() {
	order := p.byDemand()
	const passes = 2
	for range passes {
		for _, m := range order {
			p.distribute(m)
		}
	}
}

// byDemand returns the models in order of falling demand.
func (p *planner) byDemand() []int {
	order := make([]int, len(p.in.Models))
	for m := range order {
		order[m] = m
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(p.in.Models[b].Demand, p.in.Models[a].Demand)
	})
	return order
}

// active reports whether a copy is on a usable engine and not being unloaded: it
// serves, or will once loaded.
func (p *planner) active(c modelCopy) bool {
	return !c.unloading && p.in.Engines[c.engine].Usable
}

// distribute divides the demand of a model among its active copies so that the
// loads of their engines become as equal as possible.
func (p *planner) distribute(m int) {
	var targets []*modelCopy
	for i := range p.copies[m] {
		c := &p.copies[m][i]
		p.load[c.engine] -= c.demand
		c.demand = 0
		if p.active(*c) {
			targets = append(targets, c)
		}
	}
	slices.SortStableFunc(targets, func(a, b *modelCopy) int { return cmp.Compare(p.load[a.engine], p.load[b.engine]) })
	remaining := p.in.Models[m].Demand
	for n := 1; n <= len(targets); n++ {
		step := remaining
		if n < len(targets) {
			gap := p.load[targets[n].engine] - p.load[targets[n-1].engine]
			step = min(remaining, gap*fleet.TokensPerSecond(n))
		}
		for _, c := range targets[:n] {
			c.demand += step / fleet.TokensPerSecond(n)
			p.load[c.engine] += step / fleet.TokensPerSecond(n)
		}
		remaining -= step
	}
}

// activeCopies counts the active copies of a model over all data centres.
func (p *planner) activeCopies(m int) int {
	n := 0
	for _, c := range p.copies[m] {
		if p.active(c) {
			n++
		}
	}
	return n
}

// servingCopies counts the ready copies of a model over all data centres, without
// those being unloaded. Copies on unusable engines of other data centres are not
// counted.
func (p *planner) servingCopies(m int) int {
	n := 0
	for _, c := range p.copies[m] {
		if c.serving && !c.unloading && (p.in.Engines[c.engine].Usable || !p.in.Engines[c.engine].Remote) {
			n++
		}
	}
	return n
}

// ownUsable reports whether a copy is on a usable engine of this data centre.
func (p *planner) ownUsable(c modelCopy) bool {
	return p.in.Engines[c.engine].Usable && !p.in.Engines[c.engine].Remote
}

// holds reports whether an engine has a copy of a model, in whatever state.
func (p *planner) holds(m, e int) bool {
	return slices.ContainsFunc(p.copies[m], func(c modelCopy) bool { return c.engine == e })
}

// addCopy adds a move that loads a copy and reserves its memory.
func (p *planner) addCopy(m, e int, reason Reason) {
	model := &p.in.Models[m]
	p.moves = append(p.moves, Move{
		Engine:  p.in.Engines[e].ID,
		Kind:    ledger.IntentLoad,
		Weights: ledger.Weights{Model: model.ID, Version: model.Version},
		Size:    model.Size,
		Reason:  reason,
	})
	p.free[e] -= model.Size
	p.copies[m] = append(p.copies[m], modelCopy{engine: e, heldIndex: -1, version: model.Version})
	p.distribute(m)
}

// unloadCopy adds a move that unloads a copy. Its memory does not become free
// within this plan.
func (p *planner) unloadCopy(m int, c *modelCopy, reason Reason) {
	h := p.in.Engines[c.engine].Held[c.heldIndex]
	p.moves = append(p.moves, Move{
		Engine:  p.in.Engines[c.engine].ID,
		Kind:    ledger.IntentUnload,
		Weights: h.Weights,
		Size:    h.Size,
		Reason:  reason,
	})
	c.unloading = true
	p.evicting[c.engine] = true
	p.distribute(m)
}
