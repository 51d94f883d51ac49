package ledger

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// KindSnapshotChunk is the kind of records that contain a part of a snapshot.
const KindSnapshotChunk Kind = "snapshot_chunk"

// Limits for snapshots in the log.
const (
	// chunkSize is the maximum data of one chunk in bytes, before it is encoded.
	chunkSize = 48 << 10
	maxChunks = 4096
	// maxPartialSnapshots is the maximum number of incomplete snapshots that a
	// reader keeps. The oldest one is dropped first.
	maxPartialSnapshots = 8
)

// SnapshotID identifies one attempt to write a snapshot.
type SnapshotID string

// SnapshotChunk is a part of a snapshot. Several VMs may write snapshots
// concurrently; the chunks of each snapshot have its ID.
type SnapshotChunk struct {
	ID SnapshotID `json:"id"`
	// Covered is the offset of the last record that the snapshot contains.
	Covered fleet.Offset `json:"covered"`
	// Index is the position of the chunk among the Count chunks, starting at 0.
	Index int `json:"index"`
	Count int `json:"count"`
	// Checksum is the xxHash of the complete snapshot's data.
	Checksum uint64 `json:"checksum"`
	// Fingerprint is the fingerprint of the writer's state at offset Covered, or 0
	// if the writer did not set it.
	Fingerprint Fingerprint `json:"fingerprint,omitempty"`
	Data        []byte      `json:"data"`
}

// UnmarshalJSON decodes and checks a chunk.
func (c *SnapshotChunk) UnmarshalJSON(b []byte) error {
	type plain SnapshotChunk
	return fleet.DecodeChecked(b, (*plain)(c), c.check)
}

func (c *SnapshotChunk) check() error {
	if c.ID == "" || c.Covered == 0 {
		return fmt.Errorf("snapshot chunk needs an id and the covered offset")
	}
	if c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
		return fmt.Errorf("snapshot chunk %d of %d is impossible", c.Index, c.Count)
	}
	return nil
}

// applySnapshotChunk does not change the state, which already contains what the
// snapshot contains.
func applySnapshotChunk(_ *State, offset fleet.Offset, _ Record, b SnapshotChunk) Verdict {
	if b.Covered >= offset {
		return reject(offset, fault.InvalidRequest, "snapshot covers offset %d, which comes after it", b.Covered)
	}
	return Verdict{Offset: offset}
}

// chunks splits a snapshot into chunks of at most chunkSize bytes.
func (sn Snapshot) chunks(id SnapshotID) []SnapshotChunk {
	count := max(1, (len(sn.Data)+chunkSize-1)/chunkSize)
	out := make([]SnapshotChunk, count)
	for i := range out {
		from := i * chunkSize
		to := min(from+chunkSize, len(sn.Data))
		out[i] = SnapshotChunk{ID: id, Covered: sn.Covered, Index: i, Count: count, Checksum: sn.Checksum, Fingerprint: sn.Fingerprint, Data: sn.Data[from:to]}
	}
	return out
}

// loggedSnapshot is a complete snapshot in the log.
type loggedSnapshot struct {
	snapshot Snapshot
	// firstChunk is the offset of the first chunk that was read, and createdAt the
	// time at which that chunk was created.
	firstChunk fleet.Offset
	createdAt  timeline.Stamp
}

// partialSnapshot is a snapshot of which some chunks were read.
type partialSnapshot struct {
	loggedSnapshot
	count int
	parts map[int][]byte
}

// snapshotAssembler reassembles snapshots from their chunks. It ignores
// incomplete and damaged snapshots.
type snapshotAssembler struct {
	// keepData is false where only the offsets of snapshots are needed. Checksums
	// are then not verified.
	keepData     bool
	partial      map[SnapshotID]*partialSnapshot
	partialOrder []SnapshotID
	newest       loggedSnapshot
	// lastChunkAt is the time at which the newest chunk of any snapshot was
	// created.
	lastChunkAt timeline.Stamp
}

func newSnapshotAssembler(keepData bool) *snapshotAssembler {
	return &snapshotAssembler{keepData: keepData, partial: make(map[SnapshotID]*partialSnapshot)}
}

// add adds the chunk that was read at an offset.
func (as *snapshotAssembler) add(offset fleet.Offset, at timeline.Stamp, c SnapshotChunk) {
	if as.lastChunkAt.Before(at) {
		as.lastChunkAt = at
	}
	if c.Covered <= as.newest.snapshot.Covered {
		return
	}
	p := as.partialFor(offset, at, c)
	if p.count != c.Count || p.snapshot.Covered != c.Covered || p.snapshot.Checksum != c.Checksum {
		return
	}
	if _, ok := p.parts[c.Index]; ok {
		return
	}
	if !as.keepData {
		c.Data = nil
	}
	p.parts[c.Index] = c.Data
	if len(p.parts) == p.count {
		as.complete(c.ID, p)
	}
}

func (as *snapshotAssembler) partialFor(offset fleet.Offset, at timeline.Stamp, c SnapshotChunk) *partialSnapshot {
	if p, ok := as.partial[c.ID]; ok {
		return p
	}
	p := &partialSnapshot{
		loggedSnapshot: loggedSnapshot{snapshot: Snapshot{Covered: c.Covered, Checksum: c.Checksum}, firstChunk: offset, createdAt: at},
		count:          c.Count,
		parts:          make(map[int][]byte),
	}
	as.partial[c.ID] = p
	as.partialOrder = append(as.partialOrder, c.ID)
	if len(as.partialOrder) > maxPartialSnapshots {
		delete(as.partial, as.partialOrder[0])
		as.partialOrder = as.partialOrder[1:]
	}
	return p
}

func (as *snapshotAssembler) complete(id SnapshotID, p *partialSnapshot) {
	delete(as.partial, id)
	as.partialOrder = removeID(as.partialOrder, id)
	if as.keepData {
		for i := range p.count {
			p.snapshot.Data = append(p.snapshot.Data, p.parts[i]...)
		}
		if xxhash.Sum64(p.snapshot.Data) != p.snapshot.Checksum {
			return
		}
	}
	as.newest = p.loggedSnapshot
}

func removeID(ids []SnapshotID, id SnapshotID) []SnapshotID {
	var rest []SnapshotID
	for _, other := range ids {
		if other != id {
			rest = append(rest, other)
		}
	}
	return rest
}
