package ledger

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// Fingerprint is a checksum over the ids and revisions of a state, which is kept
// up to date with every record. A revision names the record that made a value,
// so states with the same fingerprint have the same values, as long as all VMs
// make the same value of a record.
type Fingerprint uint64

// mark returns the part of an entry in the fingerprint, 0 for one that does not
// exist.
func (t *Table[K, V]) entryHash(k K, r fleet.Revision) Fingerprint {
	if r == 0 {
		return 0
	}
	var buf [128]byte
	b := append(buf[:0], t.tableName...)
	b = append(append(b, 0), k...)
	return Fingerprint(xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(r))))
}

// fingerprint is called by the fold only, once a record.
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

// checkFingerprint compares the state with that of the VM that wrote a chunk of
// a snapshot, at the offset that the snapshot covers.
func (f *Follower) checkFingerprint(r Record, c SnapshotChunk) {
	computed, ok := f.recent.fingerprintAt(c.Covered)
	if !ok || c.Fingerprint == 0 || computed == c.Fingerprint {
		return
	}
	f.rec.Record(event.StateDiverged, timeline.Fields{"offset": fmt.Sprint(c.Covered), "vm": r.Proposer})
}
