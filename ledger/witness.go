package ledger

import (
	"fmt"

	"toucanfall/fleet"
)

// Witness asserts what must hold of the states of all VMs together. Randomised
// runs show it every state after every step. It is not safe for concurrent use.
type InvariantChecker struct {
	digests map[fleet.Offset]Digest
	seen    map[*State]sighting
}

// sighting is what a state had when it was seen last.
type sighting struct {
	applied   fleet.Offset
	revisions map[string]fleet.Revision
}

// NewWitness returns a witness that has seen nothing.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{digests: make(map[fleet.Offset]Digest), seen: make(map[*State]sighting)}
}

// Check reports the first invariant that s breaks: states with the same applied
// offset are the same, the applied offset never falls, no revision falls, and
// no withdrawal is forgotten. No record may be applied to s meanwhile.
func (w *InvariantChecker) Check(s *State) error {
	now := sighting{applied: s.Applied(), revisions: s.revisions()}
	before := w.seen[s]
	w.seen[s] = now
	if now.applied < before.applied {
		return fmt.Errorf("applied offset fell from %d to %d", before.applied, now.applied)
	}
	for id, old := range before.revisions {
		if got, ok := now.revisions[id]; got < old || !ok {
			return fmt.Errorf("%s fell from revision %d to %d", id, old, got)
		}
	}
	digest := s.Digest()
	if first, ok := w.digests[now.applied]; ok && first != digest {
		return fmt.Errorf("two states at offset %d: %x and %x", now.applied, first, digest)
	}
	w.digests[now.applied] = digest
	return nil
}

// revisions returns the revision of everything that operators change. None of
// it is ever deleted.
func (s *State) revisions() map[string]fleet.Revision {
	out := make(map[string]fleet.Revision)
	note(out, s.Withdrawn)
	note(out, s.Teams)
	note(out, s.Keys)
	note(out, s.Models)
	note(out, s.Adapters)
	note(out, s.Routes)
	note(out, s.Operators)
	note(out, s.settings)
	return out
}

func note[K ~string, V any](out map[string]fleet.Revision, t *Table[K, V]) {
	for _, k := range t.Keys() {
		if e, ok := t.Get(k); ok {
			out[t.what+" "+string(k)] = e.Revision
		}
	}
}
