package relay

import (
	"slices"
	"sync"
	"time"

	"toucanfall/fleet"
	"toucanfall/roster"
)

// Bounds of the history. A VM whose position is older gets all entries.
const (
	maxRemovals  = 4096
	maxPositions = 256
)

// Directory is the directory as it was read, without the suspicions that a VM may have of
// vanished entries. Heartbeats that change only the adapters of an engine are not changes:
// VMs learn of adapters from the coordinator. It is safe for concurrent use; mu guards all
// fields.
type Directory struct {
	mu       sync.Mutex
	entries  map[fleet.UpstreamID]positionedEntry
	removals []removal
	// removalsFrom is the position after which all removals are in removals.
	removalsFrom Position
	position     Position
	// confirmedAt is when the newest read of the store, by this VM or the relay that it
	// follows, was requested, on the monotonic clock of this VM; 0 if there was none.
	confirmedAt time.Duration
	// pastPositions are the latest positions up to which the directory was read, in
	// ascending order.
	pastPositions []Position
	// lastChange is the position of the last change, allEntries the packed list of all
	// entries as of then. While an upstream is cold, the list is packed again every
	// coldPackInterval.
	lastChange Position
	allEntries packedCache[packedVersion]
}

// positionedEntry is an entry with the position of the read that last found it changed.
type positionedEntry struct {
	entry roster.Entry
	// coldUntil is until when the upstream is cold, counted from the receipt of the entry.
	coldUntil time.Time
	changedAt Position
}

// coldPackInterval bounds by how much a packed list overstates the remaining cold times.
const coldPackInterval = time.Second

// packedVersion identifies a packed list of all entries. coldInterval counts the intervals of
// coldPackInterval, 0 if no upstream is cold.
type packedVersion struct {
	lastChange   Position
	coldInterval int64
}

// removal records that an entry was removed, and the position of the read that found it.
type removal struct {
	id       fleet.UpstreamID
	position Position
}

// NewDirectory returns a directory that has not been read.
func NewDirectory() *Directory {
	return &Directory{entries: make(map[fleet.UpstreamID]positionedEntry)}
}

// ApplyChanges applies what was read up to the position at by a read that was requested at
// requestedAt. It returns false if a later position had already been read: then it applies
// only the confirmation.
func (d *Directory) ApplyChanges(c roster.Changes, at Position, requestedAt time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmedAt = max(d.confirmedAt, requestedAt)
	if at < d.position {
		return false
	}
	if c.Complete {
		clear(d.entries)
		d.removals, d.pastPositions = nil, nil
		d.removalsFrom, d.lastChange = at, at
	}
	for _, e := range c.Entries {
		d.put(e, at)
	}
	for _, id := range c.Removed {
		d.remove(id, at)
	}
	d.advance(at)
	return true
}

// advance records that the directory was read up to a position. The caller must hold mu.
func (d *Directory) advance(at Position) {
	if len(d.pastPositions) == 0 || at > d.position {
		d.pastPositions = append(d.pastPositions, at)
	}
	if over := len(d.pastPositions) - maxPositions; over > 0 {
		d.pastPositions = slices.Delete(d.pastPositions, 0, over)
	}
	d.position = at
}

// put records an entry, as changed at a position unless only its adapters differ. A cold time
// is a change if it ends later than was known: the remaining time of every heartbeat differs.
// The caller must hold mu.
func (d *Directory) put(e roster.Entry, at Position) {
	coldUntil := time.Now().Add(e.Cold)
	old, ok := d.entries[e.ID]
	if ok && equalIgnoringAdapters(old.entry, e) && (e.Cold <= 0 || !coldUntil.After(old.coldUntil)) {
		d.entries[e.ID] = positionedEntry{e, old.coldUntil, old.changedAt}
		return
	}
	if ok && old.entry.Born == e.Born && old.coldUntil.After(coldUntil) {
		coldUntil = old.coldUntil
	}
	d.entries[e.ID] = positionedEntry{e, coldUntil, at}
	d.lastChange = at
}

// remove records the removal of an entry, also of one that this VM never saw because it was
// added and removed between two reads: another VM may have read it. The caller must hold
// mu.
func (d *Directory) remove(id fleet.UpstreamID, at Position) {
	delete(d.entries, id)
	d.removals = append(d.removals, removal{id, at})
	d.lastChange = at
	if over := len(d.removals) - maxRemovals; over > 0 {
		d.removalsFrom = d.removals[over-1].position
		d.removals = slices.Delete(d.removals, 0, over)
	}
}

// equalIgnoringAdapters reports whether two entries are equal except for their adapters.
func equalIgnoringAdapters(a, b roster.Entry) bool {
	if a.ID != b.ID || a.Service != b.Service || a.Address != b.Address || a.DataCentre != b.DataCentre ||
		a.Draining != b.Draining || a.Born != b.Born {
		return false
	}
	return slices.EqualFunc(a.Holdings, b.Holdings, func(x, y roster.Holding) bool { return x.Model == y.Model })
}

// ConfirmedPosition returns the position up to which the directory was read, and when that
// was last confirmed to be the newest, 0 if never.
func (d *Directory) ConfirmedPosition() (Position, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position, d.confirmedAt
}

// hasUpdateFor reports whether there is an update for a VM that has read up to a position.
func (d *Directory) hasUpdateFor(from Position) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.differsFrom(from)
}

// differsFrom reports whether a VM that has read up to a position may have other entries.
// If this VM was never at that position, the other one may have read an entry that was
// added and removed between two reads of this one, and needs all entries. The caller must
// hold mu.
func (d *Directory) differsFrom(from Position) bool {
	if d.hasBeenAt(from) {
		return d.lastChange > from
	}
	return d.position > from
}

// hasBeenAt reports whether a position is in pastPositions. The caller must hold mu.
func (d *Directory) hasBeenAt(p Position) bool {
	_, ok := slices.BinarySearch(d.pastPositions, p)
	return ok
}

// fillNews fills in the update for a VM that has read up to a position: all entries where
// the history does not reach back to it.
func (d *Directory) fillNews(from Position, now time.Duration, out *News) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out.DirectoryAge = UnknownAge
	if d.confirmedAt == 0 {
		return
	}
	out.Directory, out.DirectoryAge, out.Mark.Directory = d.position, now-d.confirmedAt, d.confirmedAt
	switch {
	case !d.differsFrom(from):
		return
	case from < d.removalsFrom || !d.hasBeenAt(from):
		out.All = d.allEntries.get(d.packedVersion(), func() any { return d.entriesSince(-1) })
		return
	}
	out.Entries = d.entriesSince(from)
	for _, r := range d.removals {
		if _, back := d.entries[r.id]; r.position > from && !back {
			out.Removed = append(out.Removed, r.id)
		}
	}
}

// entriesSince returns the entries that changed after a position. The caller must hold mu.
func (d *Directory) entriesSince(from Position) []roster.Entry {
	var out []roster.Entry
	now := time.Now()
	for _, p := range d.entries {
		if p.changedAt > from {
			e := p.entry
			e.Cold = max(p.coldUntil.Sub(now), 0)
			out = append(out, e)
		}
	}
	return out
}

// packedVersion returns the version of the packed list of all entries. The caller must hold
// mu.
func (d *Directory) packedVersion() packedVersion {
	out := packedVersion{lastChange: d.lastChange}
	now := time.Now()
	for _, p := range d.entries {
		if p.coldUntil.After(now) {
			out.coldInterval = now.UnixNano() / int64(coldPackInterval)
			break
		}
	}
	return out
}
