package ledger

import (
	"bytes"
	"errors"
	"fmt"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// ErrGap is returned for records that do not directly follow the applied offset.
var ErrGap = errors.New("records are missing")

// ApplyRecords applies records that were read from the log or received from a
// peer, in ascending order of their offsets. It skips records that were applied
// before, and stops with ErrGap at the first record that does not directly
// follow the applied offset.
func (f *Follower) ApplyRecords(records []Raw) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
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

// apply applies one raw record. Every VM skips records that cannot be decoded, so
// that other writers to the log cannot stop the VMs from applying records. The
// caller must hold f.applyMu.
func (f *Follower) apply(raw Raw) {
	r, err := DecodeRecord(raw.Data)
	if err != nil {
		f.State.Skip(raw.Offset)
		f.rec.Record(event.RecordSkipped, timeline.Fields{"offset": fmt.Sprint(raw.Offset), "reason": err.Error()})
		return
	}
	f.rec.Clock.Observe(r.At)
	v := f.State.Apply(raw.Offset, r)
	f.recordVerdict(raw, r, v)
	if r.Kind == KindSnapshotChunk && v.Accepted() {
		f.addChunk(raw.Offset, r)
	}
	f.deliverVerdict(r.ID, v)
	for _, observe := range f.observers {
		observe(raw, r, v)
	}
}

// addChunk passes a chunk of a snapshot that this or another VM wrote to the
// assembler.
func (f *Follower) addChunk(offset fleet.Offset, r Record) {
	var c SnapshotChunk
	if c.UnmarshalJSON(r.Body) != nil {
		return
	}
	f.assembler.add(offset, r.At, c)
	if c.Index == 0 {
		f.checkFingerprint(r, c)
	}
}

// recordVerdict records an event for a verdict once the VM is ready. While it is
// catching up, these events would displace all others from its timeline.
func (f *Follower) recordVerdict(raw Raw, r Record, v Verdict) {
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

// Snapshot returns a snapshot of the current state. No record is applied while
// the tables are encoded; they are compressed afterwards.
func (f *Follower) Snapshot() (Snapshot, error) {
	sn, err := f.encodeState()
	if err != nil {
		return Snapshot{}, fmt.Errorf("encode snapshot: %w", err)
	}
	return sn.compress()
}

// encodeState returns a snapshot whose data is not compressed yet.
func (f *Follower) encodeState() (Snapshot, error) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	var buf bytes.Buffer
	err := f.State.encodeTables(&buf)
	return Snapshot{Covered: f.State.Applied(), Fingerprint: f.State.fingerprint(), Data: buf.Bytes()}, err
}

// LoadSnapshot replaces the state with a newer snapshot. It changes nothing and
// returns ErrNotNewer if the snapshot is not newer than the state, and also
// changes nothing if the snapshot is damaged. The source is recorded in an
// event.
func (f *Follower) LoadSnapshot(sn Snapshot, source string) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if err := f.State.restore(sn); err != nil {
		return err
	}
	f.recent.reset(sn.Covered)
	f.failUnread()
	f.rec.Record(event.SnapshotLoaded, timeline.Fields{"offset": fmt.Sprint(sn.Covered), "source": source})
	return nil
}

// LoadPeerSnapshot loads the snapshot of a ready peer. The follower is ready
// afterwards although it has not read the log. A snapshot of exactly the
// applied offset is not an error.
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

// RecentRecords returns the records after an offset, at most maxRelayRecords,
// for a peer that cannot read the log. It reports false if some of them are no
// longer kept; the peer then needs a snapshot.
func (f *Follower) RecentRecords(after fleet.Offset) ([]Raw, bool) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	return f.recent.after(after)
}
