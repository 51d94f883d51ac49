package ledger

import (
	"fmt"

	"toucanfall/fleet"
)

// InvariantChecker checks the invariants across the states of all VMs.
// Randomized tests call Check for every state after every step. It is not safe
// for concurrent use.
type InvariantChecker struct {
	digests  map[fleet.Offset]Digest
	lastSeen map[*State]observation
}

// observation is the part of a state that was recorded by the last check of it.
type observation struct {
	applied   fleet.Offset
	revisions map[string]fleet.Revision
}

// NewInvariantChecker returns a checker without observations.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{digests: make(map[fleet.Offset]Digest), lastSeen: make(map[*State]observation)}
}

// Check returns an error for the first invariant that s violates: states with the
// same applied offset are identical, neither the applied offset nor any revision
// decreases, and no entry that operators add, such as a withdrawal, is removed. No
// record may be applied to s meanwhile.
func (c *InvariantChecker) Check(s *State) error {
	current := observation{applied: s.Applied(), revisions: s.revisions()}
	previous := c.lastSeen[s]
	c.lastSeen[s] = current
	if current.applied < previous.applied {
		return fmt.Errorf("applied offset decreased from %d to %d", previous.applied, current.applied)
	}
	for id, old := range previous.revisions {
		if got, ok := current.revisions[id]; got < old || !ok {
			return fmt.Errorf("revision of %s decreased from %d to %d", id, old, got)
		}
	}
	digest := s.Digest()
	if first, ok := c.digests[current.applied]; ok && first != digest {
		return fmt.Errorf("two states at offset %d differ: digests %x and %x", current.applied, first, digest)
	}
	c.digests[current.applied] = digest
	return nil
}

// revisions returns the revisions of all entries that operators change. These are
// never removed.
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
