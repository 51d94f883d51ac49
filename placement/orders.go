package placement

import (
	"context"
	"sync"
	"time"

	"toucanfall/dialect"
	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/timeline"
	"toucanfall/upstream"
)

// orderKey names what an order is about.
type orderKey struct {
	engine  fleet.UpstreamID
	weights ledger.Weights
}

// sentOrder is an order that was sent and may not have ended.
type sentOrder struct {
	number  fleet.Offset
	kind    dialect.OrderKind
	at      time.Time
	first   time.Time
	release func()
}

// sendOrders asserts what was accepted on every engine of the data centre that
// answers and shows something else.
func (p *Placer) sendOrders(ctx context.Context) {
	var wg sync.WaitGroup
	for _, u := range p.cfg.Upstreams.Upstreams() {
		e, ok := p.cfg.State.Engines.Get(u.ID())
		if !ok || e.Value.DataCentre != p.cfg.DataCentre || e.Value.Gone || silent(u) {
			continue
		}
		orders := p.due(ctx, e.Value, u)
		wg.Go(func() { p.sendTo(ctx, u, orders) })
	}
	wg.Wait()
}

// due returns the orders for one engine: unloads and models first, so that
// adapters find their model.
func (p *Placer) due(ctx context.Context, e ledger.PlacedEngine, u upstream.Upstream) []dialect.Order {
	var models, adapters []dialect.Order
	var shown ledger.PlacementOutcome
	fillOutcome(&shown, u.Report)
	for _, h := range e.Held {
		kind, ok := p.wanted(h, &shown)
		key := orderKey{engine: e.ID, weights: h.Weights}
		if !ok {
			p.ended(key)
			continue
		}
		if !p.start(ctx, key, kind, e.Number) {
			continue
		}
		o := dialect.Order{
			Kind:    kind,
			Fence:   e.Number,
			Model:   h.Weights.Model,
			Version: h.Weights.Version,
			Size:    h.Size,
			Adapter: h.Weights.Adapter,
		}
		if h.Weights.Adapter == "" {
			models = append(models, o)
			continue
		}
		adapters = append(adapters, o)
	}
	return append(models, adapters...)
}

// wanted returns the order that held weights need. An unload waits while the
// copy that stands in for the model is not ready any more.
func (p *Placer) wanted(h ledger.HeldWeights, shown *ledger.PlacementOutcome) (dialect.OrderKind, bool) {
	w, there := find(shown, h.Weights)
	switch {
	case h.Unload != 0 && !there:
		return "", false
	case h.Unload != 0 && h.Weights.Adapter != "":
		return dialect.OrderUnloadAdapter, true
	case h.Unload != 0:
		return dialect.OrderUnloadModel, p.cfg.State.ReadyCopies(h.Weights.Model) > 0
	case h.Weights.Adapter != "":
		return dialect.OrderLoadAdapter, !there
	default:
		return dialect.OrderLoadModel, !there || !w.Ready
	}
}

func find(o *ledger.PlacementOutcome, w ledger.Weights) (ledger.ReportedWeights, bool) {
	for _, s := range o.Reported {
		if s.Weights == w {
			return s, true
		}
	}
	return ledger.ReportedWeights{}, false
}

// start reports whether an order is to be sent now, and takes the permit that
// a load needs. An order of which nothing has shown is sent again after a while
// or as soon as the number has changed.
func (p *Placer) start(ctx context.Context, key orderKey, kind dialect.OrderKind, number fleet.Offset) bool {
	now := time.Now()
	last, ok := p.sent[key]
	if ok && last.kind != kind {
		p.ended(key)
		ok = false
	}
	if ok && last.number == number && now.Sub(last.at) < resendAfter {
		return false
	}
	if ok && now.Sub(last.first) > permitLease {
		p.ended(key)
		ok = false
	}
	if !ok {
		release, err := p.permit(ctx, kind)
		if err != nil {
			return false
		}
		last = sentOrder{first: now, release: release}
	}
	last.kind, last.number, last.at = kind, number, now
	p.sent[key] = last
	return true
}

func (p *Placer) permit(ctx context.Context, kind dialect.OrderKind) (func(), error) {
	switch kind {
	case dialect.OrderLoadModel:
		return p.cfg.Permits.Acquire(ctx, PermitWeightLoad)
	case dialect.OrderLoadAdapter:
		return p.cfg.Permits.Acquire(ctx, PermitAdapterLoad)
	default:
		return func() {}, nil
	}
}

// ended gives back the permit of an order that has ended.
func (p *Placer) ended(key orderKey) {
	if last, ok := p.sent[key]; ok {
		last.release()
		delete(p.sent, key)
	}
}

func (p *Placer) sendTo(ctx context.Context, u upstream.Upstream, orders []dialect.Order) {
	for _, o := range orders {
		once, cancel := context.WithTimeout(ctx, orderTimeout)
		err := p.cfg.Engines.Order(once, u.VM.Address, o)
		cancel()
		if err != nil {
			p.cfg.Recorder.Record(event.OrderFailed, timeline.Fields{
				"engine": string(u.ID()),
				"kind":   string(o.Kind),
				"model":  string(o.Model),
				"reason": err.Error(),
			})
		}
	}
}
