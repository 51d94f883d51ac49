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
	removalsKept  = 4096
	positionsKept = 256
)

// Directory is the directory as it was read, without the doubts that a VM may have of
// vanished entries. Heartbeats that change nothing but the adapters of an engine are no
// news: VMs learn of adapters from the coordinator. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	entries map[fleet.UpstreamID]placed
	removed []removal
	// floor is the position from which on all removals are remembered.
	floor  Position
	at     Position
	proved time.Duration
	// been are the last positions up to which the directory was read, in their order.
	been []Position
	// news is the position of the last change, all the entries as of then.
	news Position
	all  packed[Position]
}

// placed is an entry with the position at which it was last found to have changed.
type placed struct {
	entry roster.Entry
	at    Position
}

// removal is the end of an entry.
type removal struct {
	id fleet.UpstreamID
	at Position
}

// NewDirectory returns a directory of which nothing is known.
func NewDirectory() *Directory {
	return &Directory{entries: make(map[fleet.UpstreamID]placed)}
}

// Take takes over what was read up to a position, by a question that was asked at the
// time asked. It reports whether nothing later had been read meanwhile; only the proof
// counts otherwise.
func (d *Directory) ApplyChanges(c roster.Changes, at Position, asked time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.proved = max(d.proved, asked)
	if at < d.at {
		return false
	}
	if c.Complete {
		clear(d.entries)
		d.removed, d.been = nil, nil
		d.floor, d.news = at, at
	}
	for _, e := range c.Entries {
		d.put(e, at)
	}
	for _, id := range c.Removed {
		d.remove(id, at)
	}
	d.pass(at)
	return true
}

// pass notes that the directory was read up to a position.
func (d *Directory) pass(at Position) {
	if len(d.been) == 0 || at > d.at {
		d.been = append(d.been, at)
	}
	if over := len(d.been) - positionsKept; over > 0 {
		d.been = slices.Delete(d.been, 0, over)
	}
	d.at = at
}

func (d *Directory) put(e roster.Entry, at Position) {
	if old, ok := d.entries[e.ID]; ok && same(old.entry, e) {
		d.entries[e.ID] = placed{e, old.at}
		return
	}
	d.entries[e.ID] = placed{e, at}
	d.news = at
}

// remove notes the end of an entry, also of one that came and went between two reads:
// another VM may have read it.
func (d *Directory) remove(id fleet.UpstreamID, at Position) {
	delete(d.entries, id)
	d.removed = append(d.removed, removal{id, at})
	d.news = at
	if over := len(d.removed) - removalsKept; over > 0 {
		d.floor = d.removed[over-1].at
		d.removed = slices.Delete(d.removed, 0, over)
	}
}

// same reports whether two entries differ in nothing but adapters.
func same(a, b roster.Entry) bool {
	if a.ID != b.ID || a.Service != b.Service || a.Address != b.Address || a.DataCentre != b.DataCentre ||
		a.Draining != b.Draining || a.Born != b.Born {
		return false
	}
	return slices.EqualFunc(a.Holdings, b.Holdings, func(x, y roster.Holding) bool { return x.Model == y.Model })
}

// Proof returns how far the directory was read, and when that was last known to be all,
// 0 if never.
func (d *Directory) ConfirmedPosition() (Position, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at, d.proved
}

// newsFor reports whether there is something that a VM does not know.
func (d *Directory) newsFor(from Position) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.differs(from)
}

// differs reports whether a VM that has read up to a position may know something else. If
// this one has never been there, the other may have read what came and went between two
// reads of this one, and has to be told all. The caller holds the lock.
func (d *Directory) differs(from Position) bool {
	if d.wasAt(from) {
		return d.news > from
	}
	return d.at > from
}

func (d *Directory) wasAt(p Position) bool {
	_, ok := slices.BinarySearch(d.been, p)
	return ok
}

// tell fills in what a VM does not know that has read up to a position.
func (d *Directory) tell(from Position, now time.Duration, out *News) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out.DirectoryAge = UnknownAge
	if d.proved == 0 {
		return
	}
	out.Directory, out.DirectoryAge, out.Mark.Directory = d.at, now-d.proved, d.proved
	switch {
	case !d.differs(from):
		return
	case from < d.floor || !d.wasAt(from):
		out.All = d.all.of(d.news, func() any { return d.since(-1) })
		return
	}
	out.Entries = d.since(from)
	for _, r := range d.removed {
		if _, back := d.entries[r.id]; r.at > from && !back {
			out.Removed = append(out.Removed, r.id)
		}
	}
}

// since returns the entries that changed after a position.
func (d *Directory) since(from Position) []roster.Entry {
	var out []roster.Entry
	for _, p := range d.entries {
		if p.at > from {
			out = append(out, p.entry)
		}
	}
	return out
}
