package ledger

import "toucanfall/fleet"

// Limits for the records that a VM keeps for its peers.
const (
	maxRecentRecords = 4096
	maxRecentBytes   = 4 << 20
	// maxRelayRecords is the maximum number of records in one answer to a peer.
	maxRelayRecords = 1000
)

// recentRecords keeps the most recently applied records, without gaps.
type recentRecords struct {
	records []Raw
	// fingerprints contains the fingerprint of the state after each record.
	fingerprints []Fingerprint
	// size is the total length of the data of records, in bytes.
	size int
	// baseOffset is the offset that directly precedes the oldest kept record.
	baseOffset fleet.Offset
}

// reset removes all records. The next one to be added must directly follow
// applied.
func (r *recentRecords) reset(applied fleet.Offset) {
	*r = recentRecords{baseOffset: applied}
}

// add adds a record and removes the oldest ones that exceed the limits.
func (r *recentRecords) add(raw Raw, after Fingerprint) {
	r.records = append(r.records, raw)
	r.fingerprints = append(r.fingerprints, after)
	r.size += len(raw.Data)
	for len(r.records) > maxRecentRecords || r.size > maxRecentBytes {
		r.baseOffset = r.records[0].Offset
		r.size -= len(r.records[0].Data)
		r.records[0] = Raw{}
		r.records = r.records[1:]
		r.fingerprints = r.fingerprints[1:]
	}
}

// after returns the records after an offset, at most maxRelayRecords. It reports
// false if some of them are no longer kept.
func (r *recentRecords) after(offset fleet.Offset) ([]Raw, bool) {
	if offset < r.baseOffset {
		return nil, false
	}
	skip := min(int(offset-r.baseOffset), len(r.records))
	tail := r.records[skip:]
	return append([]Raw(nil), tail[:min(len(tail), maxRelayRecords)]...), true
}

// fingerprintAt returns the fingerprint of the state at an offset. It reports false
// if the record at that offset is not kept.
func (r *recentRecords) fingerprintAt(o fleet.Offset) (Fingerprint, bool) {
	if o <= r.baseOffset || o > r.baseOffset+fleet.Offset(len(r.records)) {
		return 0, false
	}
	return r.fingerprints[o-r.baseOffset-1], true
}
