// Package roster holds the state of the known upstreams: their entries in the platform's
// directory, this VM's requests in flight at each, and the outcome of recent ones.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
)

// Entry is an upstream's entry in the directory, as the upstream wrote it.
type Entry struct {
	ID         fleet.UpstreamID
	Service    catalogue.ServiceID
	Address    string
	DataCentre fleet.DataCentre
	// Draining is set if the upstream must get no new requests.
	Draining bool
	// Born identifies the start of the upstream's process, in Unix milliseconds. An upstream
	// with another Born has kept no state.
	Born     int64
	Holdings []Holding
	// Cold is for how long the upstream stays cold, counted from the receipt of the entry.
	Cold time.Duration
	// Slots is how many requests the upstream runs at the same time, 0 if it is not stated.
	Slots int
}

// Changes is the result of one read of the directory.
type Changes struct {
	// Complete is set if Entries is the complete directory.
	Complete bool
	Entries  []Entry
	// Removed lists the upstreams whose entries were removed, in no order relative to Entries: for
	// each upstream the newest record decides.
	Removed []fleet.UpstreamID
	// Malformed holds the errors of malformed entries.
	Malformed []error
}

// Holding is a model that an engine holds, with its adapters.
type Holding struct {
	Model    fleet.ModelID
	Adapters []fleet.AdapterID
}

// Copies lists the models that an engine can load without the weight store.
type Copies struct {
	InMemory []fleet.ModelID
	OnDisk   []fleet.ModelID
}

// Roster is the set of known upstreams. It is safe for concurrent use; mu guards all fields.
type Roster struct {
	mu        sync.RWMutex
	upstreams map[fleet.UpstreamID]*Upstream
	sorted    []*Upstream // By id. It is replaced on each change, and never modified.
	// dataCentres is the number of data centres with an upstream.
	dataCentres int
	// coldLimits holds the limits of the services that have one.
	coldLimits map[catalogue.ServiceID]ColdLimit
	// evacuated holds the evacuated data centres.
	evacuated map[fleet.DataCentre]bool
	// confirmedAt is when the roster was last known to match the directory, on the clock of the
	// callers of Confirm; 0 if never.
	confirmedAt time.Duration
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{upstreams: make(map[fleet.UpstreamID]*Upstream)}
}

// Put adds or updates the upstream of an entry. An upstream with another start or address replaces
// the one with the same id.
func (r *Roster) Put(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.upstreams[e.ID]
	if ok && u.StartTime() == e.Born && u.Address() == e.Address {
		u.update(e, r.coldLimits[e.Service], r.evacuated[e.DataCentre])
		return
	}
	if ok {
		u.markRemoved()
	}
	r.upstreams[e.ID] = newUpstream(e, r.coldLimits[e.Service], r.evacuated[e.DataCentre])
	r.rebuildIndex()
}

// Remove removes the upstream of an entry that was removed. If suspicion is positive, the entry may
// have vanished only because the store was unavailable: then the upstream stays usable for that long,
// unless Put restores its entry before.
func (r *Roster) Remove(id fleet.UpstreamID, suspicion time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.upstreams[id]
	if !ok {
		return
	}
	if suspicion > 0 {
		u.suspect(time.Now().Add(suspicion))
		return
	}
	r.drop(id, u)
}

// Replace replaces all entries. Upstreams without an entry are removed as by [Roster.Remove].
func (r *Roster) Replace(entries []Entry, suspicion time.Duration) {
	listed := make(map[fleet.UpstreamID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		r.Put(e)
	}
	for _, u := range r.Upstreams() {
		if !listed[u.ID] {
			r.Remove(u.ID, suspicion)
		}
	}
}

// SetColdLimits replaces the limits of cold upstreams, by service.
func (r *Roster) SetColdLimits(limits map[catalogue.ServiceID]ColdLimit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldLimits = limits
	for _, u := range r.upstreams {
		u.setColdLimit(limits)
	}
}

// SetEvacuated replaces the evacuated data centres. It returns those whose evacuation begins and
// ends. Where it ends the upstreams count as cold anew: they had no traffic, and this VM may learn of
// it before their entries say that they are cold.
func (r *Roster) SetEvacuated(dataCentres []fleet.DataCentre) (begun, ended []fleet.DataCentre) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.evacuated
	r.evacuated = make(map[fleet.DataCentre]bool, len(dataCentres))
	for _, dc := range dataCentres {
		r.evacuated[dc] = true
		if !before[dc] {
			begun = append(begun, dc)
		}
	}
	for dc := range before {
		if !r.evacuated[dc] {
			ended = append(ended, dc)
		}
	}
	for _, u := range r.upstreams {
		u.setEvacuated(r.evacuated)
	}
	return begun, ended
}

// Expire removes the upstreams whose entries vanished and were not restored in time.
func (r *Roster) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, u := range r.upstreams {
		if u.suspicionExpired(now) {
			r.drop(id, u)
		}
	}
}

// drop removes an upstream. The caller holds mu.
func (r *Roster) drop(id fleet.UpstreamID, u *Upstream) {
	u.markRemoved()
	delete(r.upstreams, id)
	r.rebuildIndex()
}

// rebuildIndex derives sorted and dataCentres from upstreams. The caller holds mu.
func (r *Roster) rebuildIndex() {
	list := make([]*Upstream, 0, len(r.upstreams))
	for _, u := range r.upstreams {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	r.sorted = list
	seen := make(map[fleet.DataCentre]bool)
	for _, u := range list {
		seen[u.Entry().DataCentre] = true
	}
	r.dataCentres = len(seen)
}

// Upstreams returns all upstreams, sorted by id. The caller must not change the slice.
func (r *Roster) Upstreams() []*Upstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.sorted
}

// Confirm records that the directory matched the roster, suspected upstreams aside, when the
// directory was read. requestedAt is when that read began.
func (r *Roster) Confirm(requestedAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = max(r.confirmedAt, requestedAt)
}

// ConfirmedAt returns the latest time that was passed to Confirm, 0 if there was none.
func (r *Roster) ConfirmedAt() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.confirmedAt
}

// Get returns the upstream with an id, and whether it is known.
func (r *Roster) Get(id fleet.UpstreamID) (*Upstream, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	u, ok := r.upstreams[id]
	return u, ok
}

// Retain deletes the entries of m whose upstream is not in the roster.
func Retain[V any](r *Roster, m map[fleet.UpstreamID]V) {
	maps.DeleteFunc(m, func(id fleet.UpstreamID, _ V) bool {
		_, ok := r.Get(id)
		return !ok
	})
}

// DataCentres returns the number of data centres that have an upstream.
func (r *Roster) DataCentres() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.dataCentres
}
