package ledger

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// KindSnapshotChunk is the kind of records that hold a part of a snapshot.
const KindSnapshotChunk Kind = "snapshot_chunk"

// Bounds of snapshots in the log.
const (
	// chunkSize is the data of one chunk in bytes, before its encoding.
	chunkSize = 48 << 10
	maxChunks = 4096
	// maxAssemblies bounds the incomplete snapshots that a reader keeps.
	maxAssemblies = 8
)

// SnapshotID names one attempt to write a snapshot.
type SnapshotID string

// SnapshotChunk is a part of a snapshot. Several VMs may write snapshots at
// once: the chunks of each carry its own id.
type SnapshotChunk struct {
	ID       SnapshotID   `json:"id"`
	Covered  fleet.Offset `json:"covered"`
	Index    int          `json:"index"`
	Count    int          `json:"count"`
	Checksum uint64       `json:"checksum"`
	// Fingerprint is that of the writer's state at the covered offset.
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

// applySnapshotChunk changes nothing: what a snapshot holds is in the state
// already.
func applySnapshotChunk(_ *State, offset fleet.Offset, _ Record, b SnapshotChunk) Verdict {
	if b.Covered >= offset {
		return reject(offset, fault.InvalidRequest, "snapshot covers offset %d, which comes after it", b.Covered)
	}
	return Verdict{Offset: offset}
}

// chunks cuts a snapshot into parts.
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

// written is a complete snapshot in the log.
type written struct {
	snapshot Snapshot
	// first is the offset of its first chunk, and at when that was made.
	first fleet.Offset
	at    timeline.Stamp
}

// assembly is a snapshot of which some chunks were read.
type assembly struct {
	written
	count int
	parts map[int][]byte
}

// assemblies puts chunks together. Incomplete and damaged snapshots are
// ignored.
type assemblies struct {
	// keepData is unset where only the offsets of snapshots matter.
	keepData bool
	open     map[SnapshotID]*assembly
	order    []SnapshotID
	newest   written
	// lastChunk is when the newest chunk of any snapshot was made.
	lastChunk timeline.Stamp
}

func newAssemblies(keepData bool) *assemblies {
	return &assemblies{keepData: keepData, open: make(map[SnapshotID]*assembly)}
}

// add takes a chunk that stands at an offset.
func (as *assemblies) add(offset fleet.Offset, at timeline.Stamp, c SnapshotChunk) {
	if as.lastChunk.Before(at) {
		as.lastChunk = at
	}
	if c.Covered <= as.newest.snapshot.Covered {
		return
	}
	a := as.assembly(offset, at, c)
	if a.count != c.Count || a.snapshot.Covered != c.Covered || a.snapshot.Checksum != c.Checksum {
		return
	}
	if _, ok := a.parts[c.Index]; ok {
		return
	}
	if !as.keepData {
		c.Data = nil
	}
	a.parts[c.Index] = c.Data
	if len(a.parts) == a.count {
		as.finish(c.ID, a)
	}
}

func (as *assemblies) assembly(offset fleet.Offset, at timeline.Stamp, c SnapshotChunk) *assembly {
	if a, ok := as.open[c.ID]; ok {
		return a
	}
	a := &assembly{
		written: written{snapshot: Snapshot{Covered: c.Covered, Checksum: c.Checksum}, first: offset, at: at},
		count:   c.Count,
		parts:   make(map[int][]byte),
	}
	as.open[c.ID] = a
	as.order = append(as.order, c.ID)
	if len(as.order) > maxAssemblies {
		delete(as.open, as.order[0])
		as.order = as.order[1:]
	}
	return a
}

func (as *assemblies) finish(id SnapshotID, a *assembly) {
	delete(as.open, id)
	as.order = without(as.order, id)
	if as.keepData {
		for i := range a.count {
			a.snapshot.Data = append(a.snapshot.Data, a.parts[i]...)
		}
		if xxhash.Sum64(a.snapshot.Data) != a.snapshot.Checksum {
			return
		}
	}
	as.newest = a.written
}

func without(ids []SnapshotID, id SnapshotID) []SnapshotID {
	var out []SnapshotID
	for _, other := range ids {
		if other != id {
			out = append(out, other)
		}
	}
	return out
}
