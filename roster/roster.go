// Package roster knows the upstreams: what they say of themselves in the
// platform's directory, what this VM has in flight at each, and how they have
// answered lately.
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

// Entry is what an upstream says of itself in the directory.
type Entry struct {
	ID         fleet.UpstreamID
	Service    catalogue.ServiceID
	Address    string
	DataCentre fleet.DataCentre
	// Draining upstreams get nothing new.
	Draining bool
	// Born is the start of the upstream's process in Unix milliseconds. An
	// upstream with another Born knows nothing of what was before.
	Born     int64
	Holdings []Holding
}

// Changes are what a read of the directory tells.
type Changes struct {
	// Whole is set if Entries are all that there are.
	Complete   bool
	Entries []Entry
	// Removed are the upstreams whose entries are gone, in no order with
	// Entries: the newest record of each upstream decides.
	Removed []fleet.UpstreamID
	// Odd are entries that could not be understood.
	Malformed []error
}

// Holding is a model that an engine holds, with its adapters.
type Holding struct {
	Model    fleet.ModelID
	Adapters []fleet.AdapterID
}

// Copies are the models that an engine can load without the weight store.
type Copies struct {
	InMemory []fleet.ModelID
	OnDisk   []fleet.ModelID
}

// Roster is the set of known upstreams. It is safe for concurrent use.
type Roster struct {
	mu   sync.RWMutex
	all  map[fleet.UpstreamID]*Upstream
	byID []*Upstream
	// dataCentres counts those of byID.
	dataCentres int
	// proved is when the directory was last known to hold what the roster does.
	proved time.Duration
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{all: make(map[fleet.UpstreamID]*Upstream)}
}

// Put takes over an entry. An upstream that was started anew replaces the one
// before.
func (r *Roster) Put(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.all[e.ID]
	if ok && u.StartTime() == e.Born && u.Address() == e.Address {
		u.update(e)
		return
	}
	if ok {
		u.retire()
	}
	r.all[e.ID] = newUpstream(e)
	r.index()
}

// Remove takes out the upstream of an entry that is gone. The entry may have
// vanished only because the store was away: the upstream is used for as long as
// doubt says, if that is above 0.
func (r *Roster) Remove(id fleet.UpstreamID, doubt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.all[id]
	if !ok {
		return
	}
	if doubt > 0 {
		u.doubt(time.Now().Add(doubt))
		return
	}
	r.drop(id, u)
}

// Replace takes over all entries at once. Upstreams without one are removed, as
// [Roster.Remove] does.
func (r *Roster) Replace(entries []Entry, doubt time.Duration) {
	listed := make(map[fleet.UpstreamID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		r.Put(e)
	}
	for _, u := range r.Upstreams() {
		if !listed[u.ID] {
			r.Remove(u.ID, doubt)
		}
	}
}

// Expire removes upstreams whose doubt has lasted too long.
func (r *Roster) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, u := range r.all {
		if u.doubtOver(now) {
			r.drop(id, u)
		}
	}
}

func (r *Roster) drop(id fleet.UpstreamID, u *Upstream) {
	u.retire()
	delete(r.all, id)
	r.index()
}

func (r *Roster) index() {
	list := make([]*Upstream, 0, len(r.all))
	for _, u := range r.all {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	r.byID = list
	seen := make(map[fleet.DataCentre]bool)
	for _, u := range list {
		seen[u.Entry().DataCentre] = true
	}
	r.dataCentres = len(seen)
}

// Upstreams returns all upstreams in the order of their ids. The caller must
// not change the slice.
func (r *Roster) Upstreams() []*Upstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byID
}

// Prove records that the directory held what the roster does, without doubted
// upstreams, when it was asked for at the time asked.
func (r *Roster) Confirm(asked time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proved = max(r.proved, asked)
}

// Proved returns when the directory was last known to hold what the roster does, 0 if
// never.
func (r *Roster) ConfirmedAt() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.proved
}

// Get returns the upstream with an id.
func (r *Roster) Get(id fleet.UpstreamID) (*Upstream, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	u, ok := r.all[id]
	return u, ok
}

// Retain drops from m what belongs to upstreams that are not known any more.
func Retain[V any](r *Roster, m map[fleet.UpstreamID]V) {
	maps.DeleteFunc(m, func(id fleet.UpstreamID, _ V) bool {
		_, ok := r.Get(id)
		return !ok
	})
}

// DataCentres returns in how many data centres there are upstreams.
func (r *Roster) DataCentres() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.dataCentres
}
