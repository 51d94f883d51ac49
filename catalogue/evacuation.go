package catalogue

import (
	"maps"
	"slices"
	"time"

	"toucanfall/fleet"
	"toucanfall/internal/logpos"
)

// Position is how far the operators' topic was read. At the same position, all VMs know the same
// evacuations.
type Position = logpos.Position

// Update is what one read of the operators' topic returned.
type Update struct {
	// Config is the newest configuration, nil if there is no new one.
	Config      *Config
	Evacuations EvacuationChanges
	// Malformed holds the errors of records that were ignored.
	Malformed error
}

// EvacuationChanges are the changes of the evacuated data centres in one read of the operators'
// topic.
type EvacuationChanges struct {
	// Complete is set if Requested holds all evacuations, and not only the changes.
	Complete bool
	// Requested is true for each data centre whose evacuation is requested, and false for each whose
	// evacuation has ended.
	Requested map[fleet.DataCentre]bool
	// Position is how far the topic was read.
	Position Position
}

// Evacuations are the data centres whose upstreams get no new requests, by request of the operators.
type Evacuations struct {
	// Known is set if the operators' topic was read.
	Known bool
	// Position is up to where it was read.
	Position Position
	// DataCentres is sorted. The receiver must not change it.
	DataCentres []fleet.DataCentre
}

// OnEvacuations registers f to be called with the evacuated data centres whenever they change. It must
// be called before the first change. f must not change the evacuations of the Holder.
func (h *Holder) OnEvacuations(f func([]fleet.DataCentre)) {
	h.onEvacuations = append(h.onEvacuations, f)
}

// ApplyEvacuations applies the changes of a read of the operators' topic. A read that ended before the
// position that is known is ignored: its changes are included. So is one of changes only, as long as
// no complete read has been applied. A read may begin before the known position: the newest record of
// each data centre decides, so those that are applied again have no effect.
func (h *Holder) ApplyEvacuations(c EvacuationChanges) {
	h.evacuationsMu.Lock()
	defer h.evacuationsMu.Unlock()
	known := h.Evacuations()
	if !c.Complete && !known.Known || known.Known && c.Position < known.Position {
		return
	}
	evacuated := make(map[fleet.DataCentre]bool)
	if !c.Complete {
		for _, dc := range known.DataCentres {
			evacuated[dc] = true
		}
	}
	maps.Copy(evacuated, c.Requested)
	h.releaseEvacuations(c.Requested)
	maps.DeleteFunc(evacuated, func(_ fleet.DataCentre, requested bool) bool { return !requested })
	h.setEvacuations(Evacuations{Known: true, Position: c.Position, DataCentres: slices.Sorted(maps.Keys(evacuated))})
}

// AdoptEvacuations applies the evacuations that another VM knows, if that has read further.
func (h *Holder) AdoptEvacuations(e Evacuations) {
	h.evacuationsMu.Lock()
	defer h.evacuationsMu.Unlock()
	if known := h.Evacuations(); !e.Known || known.Known && e.Position <= known.Position {
		return
	}
	e.DataCentres = slices.Compact(slices.Sorted(slices.Values(e.DataCentres)))
	h.setEvacuations(e)
}

// releaseEvacuations ends the holds of the evacuations that a record has ended.
func (h *Holder) releaseEvacuations(requested map[fleet.DataCentre]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.heldEvacuations, func(dc fleet.DataCentre, _ time.Duration) bool {
		again, written := requested[dc]
		return written && !again
	})
}

// restoredHold is how long an evacuation goes on that is missing after the operators' topic came back from a
// copy: what the operators wrote is written again.
const restoredHold = 5 * time.Second

// setEvacuations replaces the evacuations. The caller holds evacuationsMu, so that the functions
// registered by OnEvacuations are called in the order of the changes.
func (h *Holder) setEvacuations(e Evacuations) {
	h.mu.Lock()
	restored := h.evacuations.Known && e.Position.Era() > h.evacuations.Position.Era()
	if restored {
		for _, dc := range h.evacuated {
			if _, held := h.heldEvacuations[dc]; !held {
				h.heldEvacuations[dc] = h.now() + restoredHold
			}
		}
	}
	for _, dc := range e.DataCentres {
		delete(h.heldEvacuations, dc)
	}
	h.evacuations = e
	h.mu.Unlock()
	h.updateEvacuated()
}

// ExpireEvacuations ends the evacuations that went on although the restored topic lacked them, once they
// were not written again in time.
func (h *Holder) ExpireEvacuations() {
	h.evacuationsMu.Lock()
	defer h.evacuationsMu.Unlock()
	h.updateEvacuated()
}

// updateEvacuated derives the evacuated data centres and reports a change of them. The caller holds
// evacuationsMu.
func (h *Holder) updateEvacuated() {
	h.mu.Lock()
	now := h.now()
	maps.DeleteFunc(h.heldEvacuations, func(_ fleet.DataCentre, until time.Duration) bool { return now >= until })
	evacuated := slices.Clone(h.evacuations.DataCentres)
	for dc := range h.heldEvacuations {
		evacuated = append(evacuated, dc)
	}
	slices.Sort(evacuated)
	changed := !slices.Equal(evacuated, h.evacuated)
	h.evacuated = evacuated
	h.mu.Unlock()
	if !changed {
		return
	}
	for _, f := range h.onEvacuations {
		f(evacuated)
	}
}

// Evacuations returns the evacuations as the operators' topic lists them, to be passed on to other VMs.
func (h *Holder) Evacuations() Evacuations {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.evacuations
}

// Evacuated returns the data centres whose upstreams get no new requests, sorted. The receiver must not
// change them.
func (h *Holder) Evacuated() []fleet.DataCentre {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.evacuated
}
