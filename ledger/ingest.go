package ledger

import (
	"bytes"
	"errors"
	"fmt"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// ErrGap is returned for records that do not continue the state.
var ErrGap = errors.New("records are missing")

// Relay folds records that the log or a peer gave, in ascending order. Those
// that were applied before are passed over. It stops with ErrGap at the first
// one that does not follow the applied offset.
func (f *Follower) ApplyRecords(records []Raw) error {
	f.foldMu.Lock()
	defer f.foldMu.Unlock()
	for _, raw := range records {
		applied := f.State.Applied()
		if raw.Offset <= applied {
			continue
		}
		if raw.Offset != applied+1 {
			f.rec.Record(event.RecordsMissing, timeline.Fields{"applied": fmt.Sprint(applied), "offset": fmt.Sprint(raw.Offset)})
			return fmt.Errorf("record %d after offset %d: %w", raw.Offset, applied, ErrGap)
		}
		f.apply(raw)
		f.recent.add(raw, f.State.fingerprint())
	}
	return nil
}

// apply folds one raw record. Records that do not decode are skipped by every
// VM alike, so that a foreign writer cannot stop the fold.
func (f *Follower) apply(raw Raw) {
	r, err := DecodeRecord(raw.Data)
	if err != nil {
		f.State.Skip(raw.Offset)
		f.rec.Record(event.RecordSkipped, timeline.Fields{"offset": fmt.Sprint(raw.Offset), "reason": err.Error()})
		return
	}
	f.rec.Clock.Observe(r.At)
	v := f.State.Apply(raw.Offset, r)
	f.noteVerdict(raw, r, v)
	if r.Kind == KindSnapshotChunk && v.Accepted() {
		f.takeChunk(raw.Offset, r)
	}
	f.settle(r.ID, v)
	for _, observe := range f.observers {
		observe(raw, r, v)
	}
}

// takeChunk notes a part of a snapshot that another VM or this one wrote.
func (f *Follower) takeChunk(offset fleet.Offset, r Record) {
	var c SnapshotChunk
	if c.UnmarshalJSON(r.Body) != nil {
		return
	}
	f.snapshots.add(offset, r.At, c)
	if c.Index == 0 {
		f.checkFingerprint(r, c)
	}
}

// noteVerdict records an event, but not for the records of a VM that is still
// catching up: they would push everything else out of its time line.
func (f *Follower) noteVerdict(raw Raw, r Record, v Verdict) {
	if !f.Ready() {
		return
	}
	fields := timeline.Fields{"offset": fmt.Sprint(raw.Offset), "kind": string(r.Kind), "proposer": r.Proposer}
	if v.Accepted() {
		f.rec.Record(event.RecordApplied, fields)
		return
	}
	fields["reason"] = v.Message
	f.rec.Record(event.RecordRejected, fields)
}

// Snapshot returns the state as it is now. No record is applied while the
// tables are encoded; they are packed afterwards.
func (f *Follower) Snapshot() (Snapshot, error) {
	sn, err := f.encodeState()
	if err != nil {
		return Snapshot{}, fmt.Errorf("encode snapshot: %w", err)
	}
	return sn.pack()
}

// encodeState returns a snapshot that is not packed yet.
func (f *Follower) encodeState() (Snapshot, error) {
	f.foldMu.Lock()
	defer f.foldMu.Unlock()
	var buf bytes.Buffer
	err := f.State.encodeTables(&buf)
	return Snapshot{Covered: f.State.Applied(), Fingerprint: f.State.fingerprint(), Data: buf.Bytes()}, err
}

// Load replaces the state by a newer snapshot. An older one does no harm: it
// changes nothing and ErrNotNewer is returned.
func (f *Follower) LoadSnapshot(sn Snapshot, source string) error {
	f.foldMu.Lock()
	defer f.foldMu.Unlock()
	if err := f.State.restore(sn); err != nil {
		return err
	}
	f.recent.reset(sn.Covered)
	f.endUnread()
	f.rec.Record(event.SnapshotLoaded, timeline.Fields{"offset": fmt.Sprint(sn.Covered), "source": source})
	return nil
}

// LoadPeer takes the snapshot of a peer that is ready. The VM is ready after it
// although it has not read the log.
func (f *Follower) LoadPeerSnapshot(sn Snapshot, source string) error {
	err := f.LoadSnapshot(sn, source)
	if errors.Is(err, ErrNotNewer) && sn.Covered == f.State.Applied() {
		err = nil
	}
	if err != nil {
		return err
	}
	f.setReady()
	return nil
}

// Recent returns the records after an offset, for a peer that cannot read the
// log. It reports false if they are not all kept any more; the peer then needs
// a snapshot.
func (f *Follower) RecentRecords(after fleet.Offset) ([]Raw, bool) {
	f.foldMu.Lock()
	defer f.foldMu.Unlock()
	return f.recent.since(after)
}
