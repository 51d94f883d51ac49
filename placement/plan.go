package placement

import (
	"cmp"
	"slices"

	"toucanfall/fleet"
	"toucanfall/ledger"
)

// Engine is what a plan knows of an engine.
type Engine struct {
	ID fleet.UpstreamID
	// Foreign engines belong to other data centres, whose placers decide what
	// they hold. Their copies and loads count.
	Remote bool
	// Room is the memory for weights, Reserved the part of it that is taken.
	WeightMemory     fleet.Bytes
	Reserved fleet.Bytes
	// Fenced engines can unload.
	Fenced bool
	// Usable engines answer and are not leaving.
	Usable bool
	// Rate is what the engine generates at full load, over all its models.
	Rate fleet.TokensPerSecond
	Held []ledger.HeldWeights
	// Serving tells for each of Held whether it is a dependable ready copy.
	Serving []bool
}

// Model is what a plan knows of a model.
type Model struct {
	fleet.Model
	// Demand is the decayed demand of the whole fleet, as far as it is known.
	Demand fleet.TokensPerSecond
	// Restore is set if this data centre is to bring back a model without any
	// copy.
	Restore bool
	// Cooling models were moved a short time ago and gain no further copy.
	InCooldown bool
}

// Input is all that a plan depends on.
type Input struct {
	Engines  []Engine
	Models   []Model
	Adapters []fleet.Adapter
	// MaxMoves bounds the moves for gain; copies that were lost come on top.
	MaxMoves int
}

// Reason says why a move is made.
type Reason string

// The reasons for moves, the most urgent first.
const (
	ReasonRestore Reason = "restore"
	ReasonVersion Reason = "version"
	ReasonLocal   Reason = "local"
	ReasonDemand  Reason = "demand"
	ReasonEvict Reason = "make_way"
	ReasonLeaving Reason = "leaving"
	ReasonAdapter Reason = "adapter"
)

// Move is one intent that a plan wants.
type Move struct {
	Engine  fleet.UpstreamID
	Kind    ledger.IntentKind
	Weights ledger.Weights
	Size    fleet.Bytes
	Reason  Reason
}

// Limits of plans.
const (
	// maxRestores bounds the lost copies of one plan.
	maxRestores = 8
	// maxAdapterLoads bounds the adapters of one plan.
	maxAdapterLoads = 16
	// busyShare is the part of an engine's rate above which its models gain
	// copies elsewhere.
	busyShare = 0.8
	// gainShare is the part of an engine's rate that a copy must take off a
	// busy engine to be worth a move.
	gainShare = 0.05
	// evictShare is the part of a move's gain that a copy which makes way for
	// it may serve. Its other copies take that over.
	evictShare = 1.0
	// spareShare is the part of the room of an engine without fencing that is
	// kept for copies that are lost elsewhere, since it never becomes free.
	spareShare = 0.25
)

// Plan returns the moves that are wanted now, the most urgent first. It is a
// function of its input only. A move that needs room which is still to be freed
// is left to a later plan; only the unloading is returned.
func Plan(in Input) []Move {
	p := newPlanner(in)
	p.restore()
	p.changeVersions()
	p.leaveEngines()
	p.placeLocally()
	p.followDemand()
	p.placeAdapters()
	return p.moves
}

// copyOf is a copy of a model on an engine.
type copyOf struct {
	engine, held int
	share        fleet.TokensPerSecond
	serving      bool
	unloading    bool
	version      string
}

// planner is the state of one plan. Engines and models are named by their
// index.
type planner struct {
	in     Input
	moves  []Move
	model  map[fleet.ModelID]int
	copies [][]copyOf
	free   []fleet.Bytes
	load   []fleet.TokensPerSecond
	// claimed engines have a copy that makes way and get no other move.
	claimed []bool
}

func newPlanner(in Input) *planner {
	p := &planner{
		in:      in,
		model:   make(map[fleet.ModelID]int, len(in.Models)),
		copies:  make([][]copyOf, len(in.Models)),
		free:    make([]fleet.Bytes, len(in.Engines)),
		load:    make([]fleet.TokensPerSecond, len(in.Engines)),
		claimed: make([]bool, len(in.Engines)),
	}
	for m := range in.Models {
		p.model[in.Models[m].ID] = m
	}
	for e := range in.Engines {
		p.addEngine(e)
	}
	p.spreadAll()
	return p
}

func (p *planner) addEngine(e int) {
	engine := &p.in.Engines[e]
	p.free[e] = engine.WeightMemory - engine.Reserved
	for i, h := range engine.Held {
		m, ok := p.model[h.Weights.Model]
		if !ok || h.Weights.Adapter != "" {
			continue
		}
		p.copies[m] = append(p.copies[m], copyOf{
			engine:    e,
			held:      i,
			serving:   engine.Serving[i],
			unloading: h.Unload != 0,
			version:   h.Weights.Version,
		})
	}
}

// spreadAll estimates what each engine has to generate: the models with most
// demand first, each spread over its copies as a choice of the least loaded
// engine does.
func (p *planner) spreadAll() {
	order := p.byDemand()
	const passes = 2
	for range passes {
		for _, m := range order {
			p.spread(m)
		}
	}
}

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

// carries reports whether a copy serves now or is about to.
func (p *planner) carries(c copyOf) bool {
	return !c.unloading && p.in.Engines[c.engine].Usable
}

// spread pours the demand of a model over its copies, so that the engines'
// loads become as equal as they can.
func (p *planner) spread(m int) {
	var open []*copyOf
	for i := range p.copies[m] {
		c := &p.copies[m][i]
		p.load[c.engine] -= c.share
		c.share = 0
		if p.carries(*c) {
			open = append(open, c)
		}
	}
	slices.SortStableFunc(open, func(a, b *copyOf) int { return cmp.Compare(p.load[a.engine], p.load[b.engine]) })
	rest := p.in.Models[m].Demand
	for n := 1; n <= len(open); n++ {
		step := rest
		if n < len(open) {
			gap := p.load[open[n].engine] - p.load[open[n-1].engine]
			step = min(rest, gap*fleet.TokensPerSecond(n))
		}
		for _, c := range open[:n] {
			c.share += step / fleet.TokensPerSecond(n)
			p.load[c.engine] += step / fleet.TokensPerSecond(n)
		}
		rest -= step
	}
}

// present counts the copies of a model that serve or are coming, over all data
// centres.
func (p *planner) present(m int) int {
	n := 0
	for _, c := range p.copies[m] {
		if p.carries(c) {
			n++
		}
	}
	return n
}

// serving counts the ready copies of a model over all data centres, without
// those that this plan unloads.
func (p *planner) serving(m int) int {
	n := 0
	for _, c := range p.copies[m] {
		if c.serving && !c.unloading && (p.in.Engines[c.engine].Usable || !p.in.Engines[c.engine].Remote) {
			n++
		}
	}
	return n
}

// mine reports whether a copy is on a usable engine of the own data centre.
func (p *planner) mine(c copyOf) bool {
	return p.in.Engines[c.engine].Usable && !p.in.Engines[c.engine].Remote
}

func (p *planner) on(m, e int) bool {
	return slices.ContainsFunc(p.copies[m], func(c copyOf) bool { return c.engine == e })
}

// loadOn adds a copy.
func (p *planner) loadOn(m, e int, reason Reason) {
	model := &p.in.Models[m]
	p.moves = append(p.moves, Move{
		Engine:  p.in.Engines[e].ID,
		Kind:    ledger.IntentLoad,
		Weights: ledger.Weights{Model: model.ID, Version: model.Version},
		Size:    model.Size,
		Reason:  reason,
	})
	p.free[e] -= model.Size
	p.copies[m] = append(p.copies[m], copyOf{engine: e, held: -1, version: model.Version})
	p.spread(m)
}

// unloadFrom takes a copy away. Its memory is not free in this plan.
func (p *planner) unloadFrom(m int, c *copyOf, reason Reason) {
	h := p.in.Engines[c.engine].Held[c.held]
	p.moves = append(p.moves, Move{
		Engine:  p.in.Engines[c.engine].ID,
		Kind:    ledger.IntentUnload,
		Weights: h.Weights,
		Size:    h.Size,
		Reason:  reason,
	})
	c.unloading = true
	p.claimed[c.engine] = true
	p.spread(m)
}
