package ledger

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// Fingerprint is a checksum over the IDs and revisions of a state, updated
// incrementally with every record. A revision identifies the record that set a
// value, so states with the same fingerprint have the same values as long as all
// VMs derive the same value from a record.
type Fingerprint uint64

// entryHash returns the contribution of an entry to the fingerprint, or 0 for
// revision 0, which means that the entry does not exist.
func (t *Table[K, V]) entryHash(k K, r fleet.Revision) Fingerprint {
	if r == 0 {
		return 0
	}
	var buf [128]byte
	b := append(buf[:0], t.tableName...)
	b = append(append(b, 0), k...)
	return Fingerprint(xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(r))))
}

// fingerprint returns the fingerprint of all tables. Only the goroutine that
// applies records may call it.
func (s *State) fingerprint() Fingerprint {
	if s.cachedTables == nil {
		s.cachedTables = s.tables()
	}
	var sum Fingerprint
	for _, t := range s.cachedTables {
		sum ^= t.fingerprint()
	}
	return sum
}

// checkFingerprint compares the fingerprint of this VM's state at the offset that
// a snapshot covers with that of the VM that wrote the snapshot, and records an
// event if they differ.
func (f *Follower) checkFingerprint(r Record, c SnapshotChunk) {
	computed, ok := f.recent.fingerprintAt(c.Covered)
	if !ok || c.Fingerprint == 0 || computed == c.Fingerprint {
		return
	}
	f.rec.Record(event.StateDiverged, timeline.Fields{"offset": fmt.Sprint(c.Covered), "vm": r.Proposer})
}
