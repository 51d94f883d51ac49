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

// noteReports appends what the engines of the data centre report, where it
// differs from the ordered state.
func (p *Placer) noteReports(ctx context.Context) {
	listed := make(map[fleet.UpstreamID]bool)
	for _, u := range p.cfg.Upstreams.Upstreams() {
		if u.VM.Role != fleet.RoleModelEngine || u.VM.DataCentre != p.cfg.DataCentre {
			continue
		}
		listed[u.ID()] = true
		p.noteReport(ctx, u)
	}
	p.noteGone(ctx, listed)
}

// silent reports whether an engine's last report is too old to go by.
func silent(u upstream.Upstream) bool {
	return time.Since(u.ReportedAt) > upstream.SilentAfter
}

func (p *Placer) noteReport(ctx context.Context, u upstream.Upstream) {
	e, ok := p.cfg.State.Engines.Get(u.ID())
	o := p.outcome(u.ID())
	if silent(u) {
		o.Silent = true
		if !ok || e.Value.Silent {
			return
		}
	} else {
		fillOutcome(&o, u.Report)
		if ok && sameAsLast(e.Value, o) {
			return
		}
	}
	// A rejected report is followed by a newer one.
	_, _ = p.propose(ctx, ledger.KindPlacementOutcome, e.Revision, o)
}

func (p *Placer) outcome(id fleet.UpstreamID) ledger.PlacementOutcome {
	return ledger.PlacementOutcome{DataCentre: p.cfg.DataCentre, Epoch: p.epoch, Engine: id}
}

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

// sameAsLast reports whether an outcome tells nothing new.
func sameAsLast(e ledger.PlacedEngine, o ledger.PlacementOutcome) bool {
	if e.Silent || e.StartedMS != o.StartedMS || e.Capacity != o.Capacity || e.Fence != o.Fence {
		return false
	}
	shown := 0
	for _, h := range e.Held {
		if h.Shown {
			shown++
		}
	}
	if shown != len(o.Reported) {
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

// noteGone closes the accounts of engines that have left the platform's list
// for good.
func (p *Placer) noteGone(ctx context.Context, listed map[fleet.UpstreamID]bool) {
	if len(listed) == 0 {
		// An empty list more likely is a fault of the list.
		return
	}
	for _, e := range p.cfg.State.Engines.Entries() {
		id := e.Value.ID
		if e.Value.DataCentre != p.cfg.DataCentre || e.Value.Gone || listed[id] {
			delete(p.absent, id)
			continue
		}
		since, ok := p.absent[id]
		if !ok {
			p.absent[id] = time.Now()
			continue
		}
		if time.Since(since) > goneAfter {
			o := p.outcome(id)
			o.Gone = true
			_, _ = p.propose(ctx, ledger.KindPlacementOutcome, e.Revision, o)
		}
	}
}
