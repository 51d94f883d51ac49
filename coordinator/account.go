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
type account struct {
	known  bool
	seq    int64
	models map[fleet.ModelID]*held
	copies roster.Copies
	// busy is set while a report shows an order of a model under way. What it
	// needs is not in the report, so an order of another coordinator cannot be
	// accounted for until it is over.
	busy bool
	// reported is when the last report was asked for.
	reported time.Time
	// doubt is set after an order without an answer, until a report that was
	// made later settles it.
	doubt time.Time
	// giving is when an adapter was last ordered to go that is still in use; the
	// zero time if none is.
	giving time.Time
	// lost are loads without an answer. Each may still be carried out until a
	// report shows that more orders were accepted than it names, so its memory
	// stays reserved.
	lost []Order
	// orderedAt is when the last order was given.
	orderedAt time.Time
	// dropped are the adapters that were given up, and when: a report may still
	// show them.
	dropped map[roster.Adapter]time.Time
	// moving is set while a model is brought to the engine, and ordering while
	// an order of a model is under way: the engine takes no other order then.
	moving   bool
	ordering bool
	// coming is the model that a move brings.
	coming fleet.ModelID
}

// held is a model that an engine holds, or is loading.
type held struct {
	adapters map[fleet.AdapterID]*heldAdapter
	// loading is set from the order until a report shows the model.
	loading bool
	// unloading is set from the order until a report shows the model gone.
	unloading bool
	ordered   time.Time
	// used is when a VM last told of a request for the model or an adapter.
	used time.Time
}

// heldAdapter is an adapter that an engine holds, or that is on its way.
type heldAdapter struct {
	ordered   time.Time
	ready     time.Time
	used      time.Time
	unloading bool
}

func newAccount() *account {
	return &account{models: make(map[fleet.ModelID]*held), dropped: make(map[roster.Adapter]time.Time)}
}

// apply takes over a report that was asked for at a time. The report may be
// reportAge older; what was ordered since then stays as the account has it.
func (a *account) apply(r Report, asked time.Time) {
	since := asked.Add(-reportAge)
	models := make(map[fleet.ModelID]*held, len(r.Holdings))
	for _, h := range r.Holdings {
		models[h.Model] = a.applyModel(h, since, r.Busy)
	}
	for _, p := range r.Pending {
		if m, ok := models[p.Model]; ok && m.adapters[p.Adapter] == nil {
			m.adapters[p.Adapter] = &heldAdapter{ready: asked.Add(adapterTime)}
		}
	}
	for id, old := range a.models {
		if models[id] == nil && old.loading && (r.Busy || old.ordered.After(since)) {
			models[id] = old
		}
	}
	if a.orderedAt.After(since) {
		a.seq = max(a.seq, r.Seq)
	} else {
		a.seq = r.Seq
	}
	a.busy = r.Busy
	a.lost = slices.DeleteFunc(a.lost, func(o Order) bool { return r.Seq > o.Seq })
	a.known, a.models, a.copies, a.doubt = true, models, r.Copies, time.Time{}
	a.reported = asked
	a.giving = time.Time{}
	for _, m := range models {
		for _, ad := range m.adapters {
			if ad.unloading {
				a.giving = asked
			}
		}
	}
}

// applyModel returns the state of a model that a report lists. One that is to be
// unloaded stays so while the engine is busy with it.
func (a *account) applyModel(h roster.Holding, since time.Time, busy bool) *held {
	m := &held{adapters: make(map[fleet.AdapterID]*heldAdapter, len(h.Adapters))}
	old := a.models[h.Model]
	if old != nil {
		m.used = old.used
		m.unloading, m.ordered = old.unloading && (busy || old.ordered.After(since)), old.ordered
	}
	for _, id := range h.Adapters {
		if a.dropped[roster.Adapter{Model: h.Model, Adapter: id}].After(since) {
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
		if m.adapters[id] == nil && ad.ordered.After(since) {
			m.adapters[id] = ad
		}
	}
	return m
}

// drop forgets an adapter that was given up.
func (a *account) drop(ad roster.Adapter, now time.Time) {
	if m, ok := a.models[ad.Model]; ok {
		delete(m.adapters, ad.Adapter)
	}
	a.dropped[ad] = now
}

// memory returns the memory in MB that is held or reserved, with one more order
// to load carried out.
func (a *account) memory(e *catalogue.Engine, more ...Order) float64 {
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
	for id, m := range a.models {
		count(roster.Adapter{Model: id})
		for ad := range m.adapters {
			count(roster.Adapter{Model: id, Adapter: ad})
		}
	}
	for _, o := range slices.Concat(a.lost, more) {
		count(roster.Adapter{Model: o.Model, Adapter: o.Adapter})
	}
	return sum
}

// fits reports whether there is memory for an order to load.
func (a *account) fits(e *catalogue.Engine, o Order) bool {
	return a.memory(e, o) <= e.WeightsMB
}

// hasPlace reports whether one more adapter of a model fits.
func (a *account) hasPlace(spec *catalogue.Engine, ad roster.Adapter) bool {
	return a.adapters(ad) <= spec.AdapterSlots && a.fits(spec, Order{Model: ad.Model, Adapter: ad.Adapter})
}

// adapters returns the number of adapter places that are taken or reserved, with
// one more adapter.
func (a *account) adapters(more roster.Adapter) int {
	taken := map[roster.Adapter]bool{more: true}
	for id, m := range a.models {
		for ad := range m.adapters {
			taken[roster.Adapter{Model: id, Adapter: ad}] = true
		}
	}
	for _, o := range a.lost {
		if o.Adapter != "" {
			taken[roster.Adapter{Model: o.Model, Adapter: o.Adapter}] = true
		}
	}
	return len(taken)
}

// busyAdapters returns the number of adapters that were used since a time.
func (a *account) busyAdapters(since time.Time) int {
	n := 0
	for _, m := range a.models {
		for _, ad := range m.adapters {
			if ad.used.After(since) {
				n++
			}
		}
	}
	return n
}

// inTransit returns the number of adapters on their way.
func (a *account) inTransit(now time.Time) int {
	n := 0
	for _, m := range a.models {
		for _, ad := range m.adapters {
			if now.Before(ad.ready) {
				n++
			}
		}
	}
	return n
}

// oldestAdapter returns the adapter that was used longest ago, of those that
// were not used since a time.
func (a *account) oldestAdapter(since time.Time) (roster.Adapter, bool) {
	var best roster.Adapter
	var oldest time.Time
	found := false
	for model, m := range a.models {
		for id, ad := range m.adapters {
			if ad.unloading || ad.used.After(since) || ad.ready.After(since) {
				continue
			}
			if !found || ad.used.Before(oldest) {
				best, oldest, found = roster.Adapter{Model: model, Adapter: id}, ad.used, true
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
func (a *account) servable() []fleet.ModelID {
	var out []fleet.ModelID
	for id, m := range a.models {
		if !m.loading && !m.unloading {
			out = append(out, id)
		}
	}
	return out
}

// list returns the adapters that can be used, or will be soon.
func (a *account) list() []roster.Adapter {
	var out []roster.Adapter
	for model, m := range a.models {
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
func (a *account) fingerprint() uint64 {
	if !a.known {
		return 0
	}
	sum := uint64(1)
	for _, m := range a.servable() {
		sum += xxhash.Sum64String(string(m))
	}
	for _, ad := range a.list() {
		sum += xxhash.Sum64String(string(ad.Model) + "/" + string(ad.Adapter))
	}
	return sum
}
