package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/settings"
)

// planInput collects everything a plan depends on.
func (p *Placer) planInput(now time.Time) Input {
	v := p.engineView()
	in := Input{MaxMoves: maxMovesPerRound, Engines: v.engines}
	demand := make(map[fleet.ModelID]fleet.TokensPerSecond)
	for _, d := range p.cfg.Demand.Demand() {
		demand[d.Model] = d.Tokens
	}
	for _, e := range p.cfg.State.Models.Entries() {
		id := e.Value.ID
		m := Model{
			Model:      e.Value,
			Demand:     demand[id],
			InCooldown: now.Sub(p.lastMove[id]) < moveCooldown,
		}
		m.Restore = p.shouldRestore(id, v, now)
		in.Models = append(in.Models, m)
	}
	for _, e := range p.cfg.State.Adapters.Entries() {
		in.Adapters = append(in.Adapters, e.Value)
	}
	return in
}

// view combines the ordered state and the latest reports of all engines.
type view struct {
	engines []Engine
	// copies counts the copies of each model, ready or loading, on engines that
	// this VM can reach.
	copies map[fleet.ModelID]int
}

// engineView returns the current view of all engines that have not been removed.
func (p *Placer) engineView() view {
	v := view{copies: make(map[fleet.ModelID]int)}
	reachable := make(map[fleet.UpstreamID]bool)
	for _, u := range p.cfg.Upstreams.Upstreams() {
		reachable[u.ID()] = !silent(u) && !u.Report.Leaving && u.VM.State != fleet.VMLeaving
	}
	for _, entry := range p.cfg.State.Engines.Entries() {
		e := entry.Value
		if e.Gone {
			continue
		}
		usable := reachable[e.ID] && !e.Silent
		v.engines = append(v.engines, p.planEngine(e, usable))
		if usable {
			v.countCopies(e)
		}
	}
	return v
}

// countCopies adds the models that an engine holds and is not unloading.
func (v *view) countCopies(e ledger.PlacedEngine) {
	for _, h := range e.Held {
		if h.Weights.Adapter == "" && h.Unload == 0 {
			v.copies[h.Weights.Model]++
		}
	}
}

// planEngine converts an engine's account to the input of a plan.
func (p *Placer) planEngine(e ledger.PlacedEngine, usable bool) Engine {
	scope := settings.Scope{DataCentre: e.DataCentre}
	out := Engine{
		ID:           e.ID,
		Remote:       e.DataCentre != p.cfg.DataCentre,
		WeightMemory: p.cfg.State.WeightCapacity(e),
		Reserved:     e.Reserved(),
		Fenced:       p.cfg.State.Fenced(e),
		Usable:       usable,
		Rate:         fleet.TokensPerSecond(settings.Number(p.cfg.State.Setting, scope, settings.EngineTokensPerSecond)),
		Held:         e.Held,
		Serving:      make([]bool, len(e.Held)),
	}
	for i, h := range e.Held {
		out.Serving[i] = e.Serves(h)
	}
	return out
}

// shouldRestore reports whether this data centre should load a model that has
// no copy. A hash ranks the data centres for each model, and each waits
// restoreDelay longer than the one ranked before it, so that they do not all
// load the model.
func (p *Placer) shouldRestore(id fleet.ModelID, v view, now time.Time) bool {
	if v.copies[id] > 0 {
		delete(p.missingSince, id)
		return false
	}
	since, ok := p.missingSince[id]
	if !ok {
		since = now
		p.missingSince[id] = now
	}
	return now.Sub(since) >= time.Duration(p.restoreRank(id))*restoreDelay
}

// restoreRank returns how many data centres are ranked before this one for
// restoring a model.
func (p *Placer) restoreRank(id fleet.ModelID) int {
	own := restoreHash(p.cfg.DataCentre, id)
	return len(slices.DeleteFunc(slices.Clone(p.cfg.DataCentres), func(dc fleet.DataCentre) bool {
		return dc == p.cfg.DataCentre || restoreHash(dc, id) <= own
	}))
}

// restoreHash orders the data centres for restoring a model.
func restoreHash(dc fleet.DataCentre, id fleet.ModelID) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s", dc, id))
}
