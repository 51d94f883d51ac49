package coordinator

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/roster"
)

// engineState is what the coordinator knows of one engine: the models and adapters it
// holds, the orders it was sent, and the memory that is reserved. engine.mu guards it;
// methods expect the caller to hold that lock.
type engineState struct {
	// known is set by the first report.
	known bool
	// seq is the number of orders that the engine has accepted.
	seq    int64
	models map[fleet.ModelID]*heldModel
	copies roster.Copies
	// busy is set while a report shows a model order in progress. The report does not name
	// the model, so the memory of an order of another coordinator can't be accounted for
	// until it has finished.
	busy bool
	// reportedAt is when the last report was requested.
	reportedAt time.Time
	// suspectSince is the time of the last order whose outcome is unknown: it had no
	// answer, or the engine answered Busy or Fenced. A later report resets it.
	suspectSince time.Time
	// pendingUnloadAt is set while an adapter that was ordered to be unloaded still holds its
	// slot: to the time of that order, or of the last report that shows the adapter. It is
	// zero if there is no such adapter.
	pendingUnloadAt time.Time
	// unansweredLoads are the load orders without an answer. Each may still be carried out
	// until a report shows that more orders were accepted than its Seq, so its memory stays
	// reserved.
	unansweredLoads []Order
	// lastOrderAt is when the last order was answered or failed.
	lastOrderAt time.Time
	// unloadedAt maps adapters that were unloaded to the time. A report may still show
	// them.
	unloadedAt map[roster.Adapter]time.Time
	// moving is set during a move, and ordering while a model order is in progress: the
	// engine accepts no other order then.
	moving   bool
	ordering bool
	// incoming is the model that the move in progress loads.
	incoming fleet.ModelID
}

// heldModel is a model that an engine holds or is loading.
type heldModel struct {
	adapters map[fleet.AdapterID]*heldAdapter
	// loading is set from the order until a report shows the model.
	loading bool
	// unloading is set when VMs are to send no more requests for the model, until a report
	// no longer shows it.
	unloading bool
	orderedAt time.Time
	// lastUsed is when a VM last reported a request for the model or one of its adapters.
	lastUsed time.Time
}

// heldAdapter is an adapter that an engine holds or is loading. It can be used from readyAt
// on.
type heldAdapter struct {
	orderedAt time.Time
	readyAt   time.Time
	lastUsed  time.Time
	unloading bool
}

func newEngineState() *engineState {
	return &engineState{models: make(map[fleet.ModelID]*heldModel), unloadedAt: make(map[roster.Adapter]time.Time)}
}

// apply applies a report that was requested at requestedAt. It may be up to maxReportAge
// older: orders since then keep the effect that the state records.
func (st *engineState) apply(r Report, requestedAt time.Time) {
	since := requestedAt.Add(-maxReportAge)
	models := make(map[fleet.ModelID]*heldModel, len(r.Holdings))
	for _, h := range r.Holdings {
		models[h.Model] = st.applyModel(h, since, r.Busy)
	}
	for _, p := range r.Pending {
		if m, ok := models[p.Model]; ok && m.adapters[p.Adapter] == nil {
			m.adapters[p.Adapter] = &heldAdapter{readyAt: requestedAt.Add(adapterLoadTime)}
		}
	}
	for id, old := range st.models {
		if models[id] == nil && old.loading && (r.Busy || old.orderedAt.After(since)) {
			models[id] = old
		}
	}
	if st.lastOrderAt.After(since) {
		st.seq = max(st.seq, r.Seq)
	} else {
		st.seq = r.Seq
	}
	st.busy = r.Busy
	st.unansweredLoads = slices.DeleteFunc(st.unansweredLoads, func(o Order) bool { return r.Seq > o.Seq })
	st.known, st.models, st.copies, st.suspectSince = true, models, r.Copies, time.Time{}
	st.reportedAt = requestedAt
	st.pendingUnloadAt = time.Time{}
	for _, m := range models {
		for _, ad := range m.adapters {
			if ad.unloading {
				st.pendingUnloadAt = requestedAt
			}
		}
	}
}

// applyModel returns the state of a model that a report lists. A model that is being
// unloaded stays marked so while the engine is busy, or if the order is newer than since.
func (st *engineState) applyModel(h roster.Holding, since time.Time, busy bool) *heldModel {
	m := &heldModel{adapters: make(map[fleet.AdapterID]*heldAdapter, len(h.Adapters))}
	old := st.models[h.Model]
	if old != nil {
		m.lastUsed = old.lastUsed
		m.unloading, m.orderedAt = old.unloading && (busy || old.orderedAt.After(since)), old.orderedAt
	}
	for _, id := range h.Adapters {
		if st.unloadedAt[roster.Adapter{Model: h.Model, Adapter: id}].After(since) {
			continue
		}
		m.adapters[id] = &heldAdapter{}
		if old != nil && old.adapters[id] != nil {
			m.adapters[id] = old.adapters[id]
		}
	}
	if old == nil {
		return m
	}
	for id, ad := range old.adapters {
		if m.adapters[id] == nil && ad.orderedAt.After(since) {
			m.adapters[id] = ad
		}
	}
	return m
}

// removeAdapter removes an adapter that was unloaded at now.
func (st *engineState) removeAdapter(ad roster.Adapter, now time.Time) {
	if m, ok := st.models[ad.Model]; ok {
		delete(m.adapters, ad.Adapter)
	}
	st.unloadedAt[ad] = now
}

// memoryMB returns the memory in MB that is held or reserved, with the given load orders
// added.
func (st *engineState) memoryMB(e *catalogue.Engine, more ...Order) float64 {
	var sum float64
	counted := make(map[roster.Adapter]bool)
	count := func(ad roster.Adapter) {
		if counted[ad] {
			return
		}
		counted[ad] = true
		spec, ok := e.Models[ad.Model]
		switch {
		case !ok:
			sum += e.WeightsMB // A model that the configuration does not list: nothing more fits.
		case ad.Adapter == "":
			sum += spec.WeightsMB
		default:
			sum += spec.AdapterMB
		}
	}
	for id, m := range st.models {
		count(roster.Adapter{Model: id})
		for ad := range m.adapters {
			count(roster.Adapter{Model: id, Adapter: ad})
		}
	}
	for _, o := range slices.Concat(st.unansweredLoads, more) {
		count(roster.Adapter{Model: o.Model, Adapter: o.Adapter})
	}
	return sum
}

// fits reports whether there is enough free memory for a load order.
func (st *engineState) fits(e *catalogue.Engine, o Order) bool {
	return st.memoryMB(e, o) <= e.WeightsMB
}

// hasSlot reports whether there is a slot and enough free memory for an adapter.
func (st *engineState) hasSlot(spec *catalogue.Engine, ad roster.Adapter) bool {
	return st.usedSlots(ad) <= spec.AdapterSlots && st.fits(spec, Order{Model: ad.Model, Adapter: ad.Adapter})
}

// usedSlots returns the number of adapter slots that are used or reserved, including one
// for another adapter.
func (st *engineState) usedSlots(more roster.Adapter) int {
	taken := map[roster.Adapter]bool{more: true}
	for id, m := range st.models {
		for ad := range m.adapters {
			taken[roster.Adapter{Model: id, Adapter: ad}] = true
		}
	}
	for _, o := range st.unansweredLoads {
		if o.Adapter != "" {
			taken[roster.Adapter{Model: o.Model, Adapter: o.Adapter}] = true
		}
	}
	return len(taken)
}

// busyAdapters returns the number of adapters that were used after since.
func (st *engineState) busyAdapters(since time.Time) int {
	n := 0
	for _, m := range st.models {
		for _, ad := range m.adapters {
			if ad.lastUsed.After(since) {
				n++
			}
		}
	}
	return n
}

// loadingAdapters returns the number of adapters that are not ready yet.
func (st *engineState) loadingAdapters(now time.Time) int {
	n := 0
	for _, m := range st.models {
		for _, ad := range m.adapters {
			if now.Before(ad.readyAt) {
				n++
			}
		}
	}
	return n
}

// lruAdapter returns the least recently used of the adapters that have not been used since
// a time, false if there is none.
func (st *engineState) lruAdapter(since time.Time) (roster.Adapter, bool) {
	var best roster.Adapter
	var oldest time.Time
	found := false
	for model, m := range st.models {
		for id, ad := range m.adapters {
			if ad.unloading || ad.lastUsed.After(since) || ad.readyAt.After(since) {
				continue
			}
			if !found || ad.lastUsed.Before(oldest) {
				best, oldest, found = roster.Adapter{Model: model, Adapter: id}, ad.lastUsed, true
			}
		}
	}
	return best, found
}

// loadTime returns how long an engine with the given copies takes to load a model, and
// whether it loads from the weight store.
func loadTime(c roster.Copies, m *catalogue.Model) (time.Duration, bool) {
	switch {
	case slices.Contains(c.InMemory, m.ID):
		return m.WarmLoad, false
	case slices.Contains(c.OnDisk, m.ID):
		return m.DiskLoad, false
	}
	return m.Load, true
}

// servableModels returns the models that may get requests.
func (st *engineState) servableModels() []fleet.ModelID {
	var out []fleet.ModelID
	for id, m := range st.models {
		if !m.loading && !m.unloading {
			out = append(out, id)
		}
	}
	return out
}

// usableAdapters returns the adapters that may get requests, including those that will be
// loaded soon.
func (st *engineState) usableAdapters() []roster.Adapter {
	var out []roster.Adapter
	for model, m := range st.models {
		if m.loading || m.unloading {
			continue
		}
		for id, ad := range m.adapters {
			if !ad.unloading {
				out = append(out, roster.Adapter{Model: model, Adapter: id})
			}
		}
	}
	return out
}

// fingerprint returns a hash of the servable models and usable adapters, 0 while no report
// has been applied. It does not depend on their order.
func (st *engineState) fingerprint() uint64 {
	if !st.known {
		return 0
	}
	sum := uint64(1)
	for _, m := range st.servableModels() {
		sum += xxhash.Sum64String(string(m))
	}
	for _, ad := range st.usableAdapters() {
		sum += xxhash.Sum64String(string(ad.Model) + "/" + string(ad.Adapter))
	}
	return sum
}
