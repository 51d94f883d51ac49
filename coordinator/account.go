package coordinator

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/roster"
)

// account is what the coordinator knows of one engine: what it holds, what was
// ordered, and what its memory is reserved for. The caller holds the engine's
// lock.
type engineState struct {
	known  bool
	seq    int64
	models map[fleet.ModelID]*heldModel
	copies roster.Copies
	// busy is set while a report shows an order of a model under way. What it
	// needs is not in the report, so an order of another coordinator cannot be
	// accounted for until it is over.
	busy bool
	// reported is when the last report was asked for.
	reportedAt time.Time
	// doubt is set after an order without an answer, until a report that was
	// made later settles it.
	suspectSince time.Time
	// giving is when an adapter was last ordered to go that is still in use; the
	// zero time if none is.
	pendingUnloadAt time.Time
	// lost are loads without an answer. Each may still be carried out until a
	// report shows that more orders were accepted than it names, so its memory
	// stays reserved.
	unansweredLoads []Order
	// orderedAt is when the last order was given.
	lastOrderAt time.Time
	// dropped are the adapters that were given up, and when: a report may still
	// show them.
	unloadedAt map[roster.Adapter]time.Time
	// moving is set while a model is brought to the engine, and ordering while
	// an order of a model is under way: the engine takes no other order then.
	moving   bool
	ordering bool
	// coming is the model that a move brings.
	incoming fleet.ModelID
}

// held is a model that an engine holds, or is loading.
type heldModel struct {
	adapters map[fleet.AdapterID]*heldAdapter
	// loading is set from the order until a report shows the model.
	loading bool
	// unloading is set from the order until a report shows the model gone.
	unloading bool
	orderedAt time.Time
	// used is when a VM last told of a request for the model or an adapter.
	lastUsed time.Time
}

// heldAdapter is an adapter that an engine holds, or that is on its way.
type heldAdapter struct {
	orderedAt time.Time
	readyAt   time.Time
	lastUsed  time.Time
	unloading bool
}

func newEngineState() *engineState {
	return &engineState{models: make(map[fleet.ModelID]*heldModel), unloadedAt: make(map[roster.Adapter]time.Time)}
}

// apply takes over a report that was asked for at a time. The report may be
// reportAge older; what was ordered since then stays as the account has it.
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

// applyModel returns the state of a model that a report lists. One that is to be
// unloaded stays so while the engine is busy with it.
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

// drop forgets an adapter that was given up.
func (st *engineState) removeAdapter(ad roster.Adapter, now time.Time) {
	if m, ok := st.models[ad.Model]; ok {
		delete(m.adapters, ad.Adapter)
	}
	st.unloadedAt[ad] = now
}

// memory returns the memory in MB that is held or reserved, with one more order
// to load carried out.
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
			sum += e.WeightsMB // A model that the configuration does not know: nothing fits.
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

// fits reports whether there is memory for an order to load.
func (st *engineState) fits(e *catalogue.Engine, o Order) bool {
	return st.memoryMB(e, o) <= e.WeightsMB
}

// hasPlace reports whether one more adapter of a model fits.
func (st *engineState) hasSlot(spec *catalogue.Engine, ad roster.Adapter) bool {
	return st.usedSlots(ad) <= spec.AdapterSlots && st.fits(spec, Order{Model: ad.Model, Adapter: ad.Adapter})
}

// adapters returns the number of adapter places that are taken or reserved, with
// one more adapter.
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

// busyAdapters returns the number of adapters that were used since a time.
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

// inTransit returns the number of adapters on their way.
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

// oldestAdapter returns the adapter that was used longest ago, of those that
// were not used since a time.
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

// loadTime returns how long a load of a model takes at an engine with copies, and
// whether it comes from the weight store.
func loadTime(c roster.Copies, m *catalogue.Model) (time.Duration, bool) {
	switch {
	case slices.Contains(c.InMemory, m.ID):
		return m.WarmLoad, false
	case slices.Contains(c.OnDisk, m.ID):
		return m.DiskLoad, false
	}
	return m.Load, true
}

// servable returns the models that get requests.
func (st *engineState) servableModels() []fleet.ModelID {
	var out []fleet.ModelID
	for id, m := range st.models {
		if !m.loading && !m.unloading {
			out = append(out, id)
		}
	}
	return out
}

// list returns the adapters that can be used, or will be soon.
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

// fingerprint returns a number that is the same for accounts which list the same
// models and adapters, 0 while nothing is known.
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
