package gateway

import (
	"maps"
	"math/rand/v2"
	"time"

	"toucanfall/fleet"
	"toucanfall/relay"
	"toucanfall/roster"
)

// Times and bounds of the protection against entries of a restored directory.
const (
	// restoredHold is how long an entry of a restored directory is not trusted against what was known
	// before, unless it is written again. Entries expire after three heartbeats of 1.2 s, and those that
	// the outage has expired are back within two seconds: one that is listed for longer was renewed.
	// restoredHoldSpread spreads the reads at the end of the hold over the VMs.
	restoredHold       = 6 * time.Second
	restoredHoldSpread = 2 * time.Second
	// goneRetention is how long the removal of an upstream is remembered. Copies are some seconds old.
	goneRetention = 5 * time.Minute
	// maxGone bounds the remembered removals.
	maxGone = 4096
)

// anyStart is the start of a removed upstream whose entry this VM has never seen.
const anyStart int64 = -1

// goneUpstream is a removed upstream.
type goneUpstream struct {
	born int64
	at   time.Duration
}

// heldEntry is an entry of a restored directory that contradicts what was known before. It is not used,
// or as that of a draining upstream.
type heldEntry struct {
	listed roster.Entry
	gone   bool
	until  time.Duration
}

// restoredFilter keeps entries of a directory that was restored from a copy from undoing what a VM knew
// before: that an upstream drains, or has been removed. It is not safe for concurrent use.
type restoredFilter struct {
	gone map[fleet.UpstreamID]goneUpstream
	held map[fleet.UpstreamID]heldEntry
	// holdUntil is until when complete lists may be those of the copy, 0 if the directory was not
	// restored.
	holdUntil time.Duration
}

func newRestoredFilter() *restoredFilter {
	return &restoredFilter{gone: make(map[fleet.UpstreamID]goneUpstream), held: make(map[fleet.UpstreamID]heldEntry)}
}

// recordGone remembers that an upstream was removed.
func (f *restoredFilter) recordGone(id fleet.UpstreamID, born int64, now time.Duration) {
	for other, g := range f.gone {
		if now-g.at > goneRetention {
			delete(f.gone, other)
		}
	}
	if len(f.gone) < maxGone {
		f.gone[id] = goneUpstream{born, now}
	}
}

// apply returns the changes without the entries that must not be used yet. restored is set for the first
// read of a restored directory; known returns the entry that was known before, if there is one.
func (f *restoredFilter) apply(c roster.Changes, restored bool, known func(fleet.UpstreamID) (roster.Entry, bool), now time.Duration) roster.Changes {
	if restored {
		clear(f.held)
		f.holdUntil = now + restoredHold
	}
	if c.Complete && now < f.holdUntil {
		// A relay's list may be followed by one of the copy that this VM has read itself.
		for _, e := range c.Entries {
			f.hold(e, known, now)
		}
	}
	if !c.Complete {
		// These records were written after the store was restored.
		for _, e := range c.Entries {
			delete(f.held, e.ID)
			delete(f.gone, e.ID)
		}
		for _, id := range c.Removed {
			delete(f.held, id)
			if _, ok := known(id); !ok {
				f.recordGone(id, anyStart, now)
			}
		}
		return c
	}
	return f.applyHeld(c)
}

// hold holds an entry of a restored directory if it contradicts what was known before.
func (f *restoredFilter) hold(e roster.Entry, known func(fleet.UpstreamID) (roster.Entry, bool), now time.Duration) {
	if _, held := f.held[e.ID]; held {
		return
	}
	old, ok := known(e.ID)
	until := now + restoredHold + rand.N(restoredHoldSpread)
	switch g, gone := f.gone[e.ID]; {
	case ok && old.Born == e.Born && old.Draining && !e.Draining:
		f.held[e.ID] = heldEntry{listed: e, until: until}
	case !ok && gone && (g.born == e.Born || g.born == anyStart):
		f.held[e.ID] = heldEntry{listed: e, gone: true, until: until}
	}
}

// applyHeld returns a complete list with the held entries left out or changed, and ends the holds that it
// makes unnecessary.
func (f *restoredFilter) applyHeld(c roster.Changes) roster.Changes {
	if len(f.held) == 0 {
		return c
	}
	kept := make(map[fleet.UpstreamID]heldEntry, len(f.held))
	out := c
	out.Entries = make([]roster.Entry, 0, len(c.Entries))
	for _, e := range c.Entries {
		h, ok := f.held[e.ID]
		if !ok || h.listed.Born != e.Born || e.Draining {
			out.Entries = append(out.Entries, e)
			continue
		}
		h.listed = e
		kept[e.ID] = h
		if !h.gone {
			e.Draining = true
			out.Entries = append(out.Entries, e)
		}
	}
	f.held = kept
	return out
}

// overdue reports whether a hold has lasted for its time, so that the directory is to be read anew: what
// it lists then is current. News of relays do not show that, because relays hold entries too.
func (f *restoredFilter) overdue(now time.Duration) bool {
	for _, h := range f.held {
		if now >= h.until {
			return true
		}
	}
	return false
}

// release ends the holds that had lasted for their time when a read of the whole directory began.
func (f *restoredFilter) release(requestedAt time.Duration) {
	maps.DeleteFunc(f.held, func(_ fleet.UpstreamID, h heldEntry) bool { return requestedAt >= h.until })
}

// isRestored reports whether a position is in a later era of the directory than the known one.
func (f *directoryFollower) isRestored(position relay.Position) bool {
	known, confirmedAt := f.Replica.ConfirmedPosition()
	return confirmedAt != 0 && position.Era() > known.Era()
}

// knownEntry returns the entry of an upstream in the roster.
func (f *directoryFollower) knownEntry(id fleet.UpstreamID) (roster.Entry, bool) {
	u, ok := f.Roster.Get(id)
	if !ok {
		return roster.Entry{}, false
	}
	return u.Entry(), true
}

// recordGone remembers which of the upstreams known before are not in the roster any more.
func (f *directoryFollower) recordGone(known []*roster.Upstream, now time.Duration) {
	for _, u := range known {
		if _, ok := f.Roster.Get(u.ID); !ok {
			f.restored.recordGone(u.ID, u.StartTime(), now)
		}
	}
}

// expireEntries removes suspected entries whose time is over.
func (f *directoryFollower) expireEntries(now time.Duration) {
	known := f.Roster.Upstreams()
	f.Roster.Expire(time.Now())
	f.recordGone(known, now)
}
