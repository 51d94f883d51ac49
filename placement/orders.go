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

// orderKey identifies the engine and the weights that an order is about.
type orderKey struct {
	engine  fleet.UpstreamID
	weights ledger.Weights
}

// sentOrder is an order that was sent and may still be running.
type sentOrder struct {
	// fence is the fencing token that the order was last sent with.
	fence     fleet.Offset
	kind      dialect.OrderKind
	lastSent  time.Time
	firstSent time.Time
	// release returns the permit of the order.
	release func()
}

// sendOrders sends orders to every engine of the data centre that answers and
// reports something other than the accepted placement, and waits for the sends.
func (p *Placer) sendOrders(ctx context.Context) {
	var wg sync.WaitGroup
	for _, u := range p.cfg.Upstreams.Upstreams() {
		e, ok := p.cfg.State.Engines.Get(u.ID())
		if !ok || e.Value.DataCentre != p.cfg.DataCentre || e.Value.Gone || silent(u) {
			continue
		}
		orders := p.dueOrders(ctx, e.Value, u)
		wg.Go(func() { p.sendTo(ctx, u, orders) })
	}
	wg.Wait()
}

// dueOrders returns the orders to send to one engine now. Orders for models
// come before those for adapters, which need their model loaded. Orders that are
// no longer needed are finished.
func (p *Placer) dueOrders(ctx context.Context, e ledger.PlacedEngine, u upstream.Upstream) []dialect.Order {
	var models, adapters []dialect.Order
	var reported ledger.PlacementOutcome
	fillOutcome(&reported, u.Report)
	for _, h := range e.Held {
		kind, ok := p.neededOrder(h, &reported)
		key := orderKey{engine: e.ID, weights: h.Weights}
		if !ok {
			p.finishOrder(key)
			continue
		}
		if !p.prepareSend(ctx, key, kind, e.Number) {
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

// neededOrder returns the order that held weights need, and false if they need
// none. A model is not unloaded while it has no ready copy, which happens if
// the copy that was to replace it is no longer ready.
func (p *Placer) neededOrder(h ledger.HeldWeights, reported *ledger.PlacementOutcome) (dialect.OrderKind, bool) {
	w, isReported := findReported(reported, h.Weights)
	switch {
	case h.Unload != 0 && !isReported:
		return "", false
	case h.Unload != 0 && h.Weights.Adapter != "":
		return dialect.OrderUnloadAdapter, true
	case h.Unload != 0:
		return dialect.OrderUnloadModel, p.cfg.State.ReadyCopies(h.Weights.Model) > 0
	case h.Weights.Adapter != "":
		return dialect.OrderLoadAdapter, !isReported
	default:
		return dialect.OrderLoadModel, !isReported || !w.Ready
	}
}

// findReported returns the entry for weights in an outcome.
func findReported(o *ledger.PlacementOutcome, w ledger.Weights) (ledger.ReportedWeights, bool) {
	for _, s := range o.Reported {
		if s.Weights == w {
			return s, true
		}
	}
	return ledger.ReportedWeights{}, false
}

// prepareSend reports whether an order is to be sent now, records it, and
// acquires the permit that a load needs. An order that has had no visible effect
// is sent again after resendAfter, or as soon as the fencing token has changed.
func (p *Placer) prepareSend(ctx context.Context, key orderKey, kind dialect.OrderKind, fence fleet.Offset) bool {
	now := time.Now()
	last, ok := p.sentOrders[key]
	if ok && last.kind != kind {
		p.finishOrder(key)
		ok = false
	}
	if ok && last.fence == fence && now.Sub(last.lastSent) < resendAfter {
		return false
	}
	if ok && now.Sub(last.firstSent) > permitLease {
		p.finishOrder(key)
		ok = false
	}
	if !ok {
		release, err := p.acquirePermit(ctx, kind)
		if err != nil {
			return false
		}
		last = sentOrder{firstSent: now, release: release}
	}
	last.kind, last.fence, last.lastSent = kind, fence, now
	p.sentOrders[key] = last
	return true
}

// acquirePermit acquires the permit that an order of a kind needs. Unloads need
// none.
func (p *Placer) acquirePermit(ctx context.Context, kind dialect.OrderKind) (func(), error) {
	switch kind {
	case dialect.OrderLoadModel:
		return p.cfg.Permits.Acquire(ctx, PermitWeightLoad)
	case dialect.OrderLoadAdapter:
		return p.cfg.Permits.Acquire(ctx, PermitAdapterLoad)
	default:
		return func() {}, nil
	}
}

// finishOrder forgets an order that has ended and returns its permit.
func (p *Placer) finishOrder(key orderKey) {
	if last, ok := p.sentOrders[key]; ok {
		last.release()
		delete(p.sentOrders, key)
	}
}

// sendTo sends orders to an engine one after another and records failures.
func (p *Placer) sendTo(ctx context.Context, u upstream.Upstream, orders []dialect.Order) {
	for _, o := range orders {
		orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := p.cfg.Engines.Order(orderCtx, u.VM.Address, o)
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
