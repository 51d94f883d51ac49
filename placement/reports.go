package placement

import (
	"context"
	"slices"
	"time"

	"toucanfall/dialect"
	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/upstream"
)

// proposeReports appends the engines' reports that differ from the ordered state,
// and the removal of engines that are no longer listed.
func (p *Placer) proposeReports(ctx context.Context) {
	listed := make(map[fleet.UpstreamID]bool)
	for _, u := range p.cfg.Upstreams.Upstreams() {
		if u.VM.Role != fleet.RoleModelEngine || u.VM.DataCentre != p.cfg.DataCentre {
			continue
		}
		listed[u.ID()] = true
		p.proposeReport(ctx, u)
	}
	p.proposeRemovals(ctx, listed)
}

// silent reports whether an engine's last report is older than
// [upstream.SilentAfter].
func silent(u upstream.Upstream) bool {
	return time.Since(u.ReportedAt) > upstream.SilentAfter
}

// proposeReport appends an engine's report, or that it is silent, if that differs
// from the ordered state.
func (p *Placer) proposeReport(ctx context.Context, u upstream.Upstream) {
	e, ok := p.cfg.State.Engines.Get(u.ID())
	o := p.newOutcome(u.ID())
	if silent(u) {
		o.Silent = true
		if !ok || e.Value.Silent {
			return
		}
	} else {
		fillOutcome(&o, u.Report)
		if ok && matchesState(e.Value, o) {
			return
		}
	}
	// A rejected report needs no retry: the next round proposes a newer one.
	_, _ = p.propose(ctx, ledger.KindPlacementOutcome, e.Revision, o)
}

// newOutcome returns an outcome for an engine without the contents of a report.
func (p *Placer) newOutcome(id fleet.UpstreamID) ledger.PlacementOutcome {
	return ledger.PlacementOutcome{DataCentre: p.cfg.DataCentre, Epoch: p.epoch, Engine: id}
}

// fillOutcome sets the fields of an outcome that come from an engine's report.
func fillOutcome(o *ledger.PlacementOutcome, r dialect.EngineReport) {
	o.StartedMS, o.TakenMS, o.Capacity, o.Fence = r.StartedMS, r.TakenMS, r.Capacity, r.Fence
	for _, m := range r.Resident {
		w := ledger.Weights{Model: m.Model, Version: m.Version}
		o.Reported = append(o.Reported, ledger.ReportedWeights{Weights: w, Size: m.Size, Ready: m.Ready})
		for _, a := range m.Adapters {
			w.Adapter = a
			o.Reported = append(o.Reported, ledger.ReportedWeights{Weights: w, Ready: true})
		}
	}
}

// matchesState reports whether an outcome adds nothing to the engine's account.
func matchesState(e ledger.PlacedEngine, o ledger.PlacementOutcome) bool {
	if e.Silent || e.StartedMS != o.StartedMS || e.Capacity != o.Capacity || e.Fence != o.Fence {
		return false
	}
	reportedCount := 0
	for _, h := range e.Held {
		if h.Shown {
			reportedCount++
		}
	}
	if reportedCount != len(o.Reported) {
		return false
	}
	for _, w := range o.Reported {
		i := slices.IndexFunc(e.Held, func(h ledger.HeldWeights) bool { return h.Weights == w.Weights })
		if i < 0 || !e.Held[i].Shown || e.Held[i].Ready != w.Ready {
			return false
		}
	}
	return true
}

// proposeRemovals removes engines from the ordered state that have been missing
// from the platform's VM list for longer than removeAfter.
func (p *Placer) proposeRemovals(ctx context.Context, listed map[fleet.UpstreamID]bool) {
	if len(listed) == 0 {
		// An empty list is more likely a fault of the list than a data centre
		// without engines.
		return
	}
	for _, e := range p.cfg.State.Engines.Entries() {
		id := e.Value.ID
		if e.Value.DataCentre != p.cfg.DataCentre || e.Value.Gone || listed[id] {
			delete(p.absentSince, id)
			continue
		}
		since, ok := p.absentSince[id]
		if !ok {
			p.absentSince[id] = time.Now()
			continue
		}
		if time.Since(since) > removeAfter {
			o := p.newOutcome(id)
			o.Gone = true
			_, _ = p.propose(ctx, ledger.KindPlacementOutcome, e.Revision, o)
		}
	}
}
