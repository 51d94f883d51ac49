package ledger

import "toucanfall/fleet"

// Bounds of the records that a VM keeps for its peers.
const (
	maxRecentRecords = 4096
	maxRecentBytes   = 4 << 20
	// maxRelayRecords bounds one answer to a peer.
	maxRelayRecords = 1000
)

// recent keeps the records that were applied last, without a gap.
type recent struct {
	records []Raw
	// fingerprints holds that of the state after each record.
	fingerprints []Fingerprint
	bytes        int
	// before is the offset that the oldest record follows.
	before fleet.Offset
}

// reset forgets all records; the next one follows applied.
func (r *recent) reset(applied fleet.Offset) {
	*r = recent{before: applied}
}

func (r *recent) add(raw Raw, after Fingerprint) {
	r.records = append(r.records, raw)
	r.fingerprints = append(r.fingerprints, after)
	r.bytes += len(raw.Data)
	for len(r.records) > maxRecentRecords || r.bytes > maxRecentBytes {
		r.before = r.records[0].Offset
		r.bytes -= len(r.records[0].Data)
		r.records[0] = Raw{}
		r.records = r.records[1:]
		r.fingerprints = r.fingerprints[1:]
	}
}

func (r *recent) since(after fleet.Offset) ([]Raw, bool) {
	if after < r.before {
		return nil, false
	}
	skip := min(int(after-r.before), len(r.records))
	tail := r.records[skip:]
	return append([]Raw(nil), tail[:min(len(tail), maxRelayRecords)]...), true
}

// fingerprintAt returns the fingerprint of the state at an offset.
func (r *recent) fingerprintAt(o fleet.Offset) (Fingerprint, bool) {
	if o <= r.before || o > r.before+fleet.Offset(len(r.records)) {
		return 0, false
	}
	return r.fingerprints[o-r.before-1], true
}
