package relay

import (
	"slices"
	"sync"
	"time"

	"toucanfall/fleet"
	"toucanfall/roster"
)

// Bounds of what is remembered. A VM that knows less is told all entries.
const (
	maxRemovals  = 4096
	maxPositions = 256
)

// Directory is the directory as it was read, without the doubts that a VM may have of
// vanished entries. Heartbeats that change nothing but the adapters of an engine are no
// news: VMs learn of adapters from the coordinator. It is safe for concurrent use.
type Directory struct {
	mu       sync.Mutex
	entries  map[fleet.UpstreamID]positionedEntry
	removals []removal
	// floor is the position from which on all removals are remembered.
	removalsFrom Position
	position     Position
	confirmedAt  time.Duration
	// been are the last positions up to which the directory was read, in their order.
	pastPositions []Position
	// news is the position of the last change, all the entries as of then.
	lastChange Position
	allEntries packedCache[Position]
}

// placed is an entry with the position at which it was last found to have changed.
type positionedEntry struct {
	entry     roster.Entry
	changedAt Position
}

// removal is the end of an entry.
type removal struct {
	id       fleet.UpstreamID
	position Position
}

// NewDirectory returns a directory of which nothing is known.
func NewDirectory() *Directory {
	return &Directory{entries: make(map[fleet.UpstreamID]positionedEntry)}
}

// Take takes over what was read up to a position, by a question that was asked at the
// time asked. It reports whether nothing later had been read meanwhile; only the proof
// counts otherwise.
func (d *Directory) Take(c roster.Changes, at Position, requestedAt time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmedAt = max(d.confirmedAt, requestedAt)
	if at < d.position {
		return false
	}
	if c.Whole {
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

// pass notes that the directory was read up to a position.
func (d *Directory) advance(at Position) {
	if len(d.pastPositions) == 0 || at > d.position {
		d.pastPositions = append(d.pastPositions, at)
	}
	if over := len(d.pastPositions) - maxPositions; over > 0 {
		d.pastPositions = slices.Delete(d.pastPositions, 0, over)
	}
	d.position = at
}

func (d *Directory) put(e roster.Entry, at Position) {
	if old, ok := d.entries[e.ID]; ok && equalIgnoringAdapters(old.entry, e) {
		d.entries[e.ID] = positionedEntry{e, old.changedAt}
		return
	}
	d.entries[e.ID] = positionedEntry{e, at}
	d.lastChange = at
}

// remove notes the end of an entry, also of one that came and went between two reads:
// another VM may have read it.
func (d *Directory) remove(id fleet.UpstreamID, at Position) {
	delete(d.entries, id)
	d.removals = append(d.removals, removal{id, at})
	d.lastChange = at
	if over := len(d.removals) - maxRemovals; over > 0 {
		d.removalsFrom = d.removals[over-1].position
		d.removals = slices.Delete(d.removals, 0, over)
	}
}

// same reports whether two entries differ in nothing but adapters.
func equalIgnoringAdapters(a, b roster.Entry) bool {
	if a.ID != b.ID || a.Service != b.Service || a.Address != b.Address || a.DataCentre != b.DataCentre ||
		a.Draining != b.Draining || a.Born != b.Born {
		return false
	}
	return slices.EqualFunc(a.Holdings, b.Holdings, func(x, y roster.Holding) bool { return x.Model == y.Model })
}

// Proof returns how far the directory was read, and when that was last known to be all,
// 0 if never.
func (d *Directory) Proof() (Position, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position, d.confirmedAt
}

// newsFor reports whether there is something that a VM does not know.
func (d *Directory) hasUpdateFor(from Position) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.differsFrom(from)
}

// differs reports whether a VM that has read up to a position may know something else. If
// this one has never been there, the other may have read what came and went between two
// reads of this one, and has to be told all. The caller holds the lock.
func (d *Directory) differsFrom(from Position) bool {
	if d.hasBeenAt(from) {
		return d.lastChange > from
	}
	return d.position > from
}

func (d *Directory) hasBeenAt(p Position) bool {
	_, ok := slices.BinarySearch(d.pastPositions, p)
	return ok
}

// tell fills in what a VM does not know that has read up to a position.
func (d *Directory) fillNews(from Position, now time.Duration, out *News) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out.DirectoryAge = Unknown
	if d.confirmedAt == 0 {
		return
	}
	out.Directory, out.DirectoryAge, out.Mark.Directory = d.position, now-d.confirmedAt, d.confirmedAt
	switch {
	case !d.differsFrom(from):
		return
	case from < d.removalsFrom || !d.hasBeenAt(from):
		out.All = d.allEntries.get(d.lastChange, func() any { return d.entriesSince(-1) })
		return
	}
	out.Entries = d.entriesSince(from)
	for _, r := range d.removals {
		if _, back := d.entries[r.id]; r.position > from && !back {
			out.Removed = append(out.Removed, r.id)
		}
	}
}

// since returns the entries that changed after a position.
func (d *Directory) entriesSince(from Position) []roster.Entry {
	var out []roster.Entry
	for _, p := range d.entries {
		if p.changedAt > from {
			out = append(out, p.entry)
		}
	}
	return out
}
