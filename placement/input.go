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

// input gathers what a plan depends on.
func (p *Placer) input(now time.Time) Input {
	v := p.look()
	in := Input{MaxMoves: maxMovesPerRound, Engines: v.engines}
	demand := make(map[fleet.ModelID]fleet.TokensPerSecond)
	for _, d := range p.cfg.Demand.Demand() {
		demand[d.Model] = d.Tokens
	}
	for _, e := range p.cfg.State.Models.Entries() {
		id := e.Value.ID
		m := Model{
			Model:   e.Value,
			Demand:  demand[id],
			InCooldown: now.Sub(p.moved[id]) < coolAfter,
		}
		m.Restore = p.restores(id, v, now)
		in.Models = append(in.Models, m)
	}
	for _, e := range p.cfg.State.Adapters.Entries() {
		in.Adapters = append(in.Adapters, e.Value)
	}
	return in
}

// view is what the ordered state and the reports say of all engines.
type view struct {
	engines []Engine
	// copies counts the copies of each model, ready or coming, that this VM
	// can reach.
	copies map[fleet.ModelID]int
}

func (p *Placer) look() view {
	v := view{copies: make(map[fleet.ModelID]int)}
	reached := make(map[fleet.UpstreamID]bool)
	for _, u := range p.cfg.Upstreams.Upstreams() {
		reached[u.ID()] = !silent(u) && !u.Report.Leaving && u.VM.State != fleet.VMLeaving
	}
	for _, entry := range p.cfg.State.Engines.Entries() {
		e := entry.Value
		if e.Gone {
			continue
		}
		usable := reached[e.ID] && !e.Silent
		v.engines = append(v.engines, p.engine(e, usable))
		if usable {
			v.count(e)
		}
	}
	return v
}

func (v *view) count(e ledger.PlacedEngine) {
	for _, h := range e.Held {
		if h.Weights.Adapter == "" && h.Unload == 0 {
			v.copies[h.Weights.Model]++
		}
	}
}

func (p *Placer) engine(e ledger.PlacedEngine, usable bool) Engine {
	scope := settings.Scope{DataCentre: e.DataCentre}
	out := Engine{
		ID:       e.ID,
		Remote:  e.DataCentre != p.cfg.DataCentre,
		WeightMemory:     p.cfg.State.WeightCapacity(e),
		Reserved: e.Reserved(),
		Fenced:   p.cfg.State.Fenced(e),
		Usable:   usable,
		Rate:     fleet.TokensPerSecond(settings.Number(p.cfg.State.Setting, scope, settings.EngineTokensPerSecond)),
		Held:     e.Held,
		Serving:  make([]bool, len(e.Held)),
	}
	for i, h := range e.Held {
		out.Serving[i] = e.Serves(h)
	}
	return out
}

// restores reports whether this data centre is to bring back a model that has
// no copy. The data centres take turns by a hash, each a while after the one
// before, so that they do not all load the model.
func (p *Placer) restores(id fleet.ModelID, v view, now time.Time) bool {
	if v.copies[id] > 0 {
		delete(p.missing, id)
		return false
	}
	since, ok := p.missing[id]
	if !ok {
		since = now
		p.missing[id] = now
	}
	return now.Sub(since) >= time.Duration(p.turn(id))*restoreDelay
}

// turn returns how many data centres come before this one for a model.
func (p *Placer) turn(id fleet.ModelID) int {
	own := turnHash(p.cfg.DataCentre, id)
	return len(slices.DeleteFunc(slices.Clone(p.cfg.DataCentres), func(dc fleet.DataCentre) bool {
		return dc == p.cfg.DataCentre || turnHash(dc, id) <= own
	}))
}

func turnHash(dc fleet.DataCentre, id fleet.ModelID) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s", dc, id))
}
