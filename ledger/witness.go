package ledger

import (
	"fmt"

	"toucanfall/fleet"
)

// Witness asserts what must hold of the states of all VMs together. Randomised
// runs show it every state after every step. It is not safe for concurrent use.
type Witness struct {
	digests  map[fleet.Offset]Digest
	lastSeen map[*State]observation
}

// sighting is what a state had when it was seen last.
type observation struct {
	applied   fleet.Offset
	revisions map[string]fleet.Revision
}

// NewWitness returns a witness that has seen nothing.
func NewWitness() *Witness {
	return &Witness{digests: make(map[fleet.Offset]Digest), lastSeen: make(map[*State]observation)}
}

// Check reports the first invariant that s breaks: states with the same applied
// offset are the same, the applied offset never falls, no revision falls, and
// no withdrawal is forgotten. No record may be applied to s meanwhile.
func (w *Witness) Check(s *State) error {
	current := observation{applied: s.Applied(), revisions: s.revisions()}
	previous := w.lastSeen[s]
	w.lastSeen[s] = current
	if current.applied < previous.applied {
		return fmt.Errorf("applied offset fell from %d to %d", previous.applied, current.applied)
	}
	for id, old := range previous.revisions {
		if got, ok := current.revisions[id]; got < old || !ok {
			return fmt.Errorf("%s fell from revision %d to %d", id, old, got)
		}
	}
	digest := s.Digest()
	if first, ok := w.digests[current.applied]; ok && first != digest {
		return fmt.Errorf("two states at offset %d: %x and %x", current.applied, first, digest)
	}
	w.digests[current.applied] = digest
	return nil
}

// revisions returns the revision of everything that operators change. None of
// it is ever deleted.
func (s *State) revisions() map[string]fleet.Revision {
	revisions := make(map[string]fleet.Revision)
	addRevisions(revisions, s.Withdrawn)
	addRevisions(revisions, s.Teams)
	addRevisions(revisions, s.Keys)
	addRevisions(revisions, s.Models)
	addRevisions(revisions, s.Adapters)
	addRevisions(revisions, s.Routes)
	addRevisions(revisions, s.Operators)
	addRevisions(revisions, s.settings)
	return revisions
}

func addRevisions[K ~string, V any](out map[string]fleet.Revision, table *Table[K, V]) {
	for _, k := range table.Keys() {
		if e, ok := table.Get(k); ok {
			out[table.tableName+" "+string(k)] = e.Revision
		}
	}
}
