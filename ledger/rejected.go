package ledger

import (
	"cmp"
	"slices"

	"toucanfall/fault"
	"toucanfall/fleet"
)

// maxRejected is the maximum number of rejected records whose IDs the state keeps.
const maxRejected = 8192

// Rejection is the entry of a rejected record. Its proposer was informed that the
// change was not made, so a delayed duplicate must not be accepted either, although
// what was missing for the first copy may exist by then.
type Rejection struct {
	Fault fault.Kind `json:"fault"`
}

// rejectDuplicate returns the verdict on a duplicate of a rejected record. It
// reports false if r is not one.
func (s *State) rejectDuplicate(offset fleet.Offset, r Record) (Verdict, bool) {
	old, ok := s.rejected.Get(r.ID)
	if !ok {
		return Verdict{}, false
	}
	return reject(offset, old.Value.Fault, "record %q was rejected at offset %d", r.ID, old.Revision), true
}

// rememberRejection adds a rejected record and removes the oldest one if there are
// more than maxRejected.
func (s *State) rememberRejection(offset fleet.Offset, r Record, v Verdict) {
	s.rejected.set(r.ID, Entry[Rejection]{
		Value:    Rejection{Fault: v.Fault},
		Revision: fleet.Revision(offset),
		Proposer: r.Proposer,
	})
	s.rejectedOrder = append(s.rejectedOrder, r.ID)
	if len(s.rejectedOrder) > maxRejected {
		s.rejected.remove(s.rejectedOrder[0])
		s.rejectedOrder = s.rejectedOrder[1:]
	}
}

// rebuildRejectedOrder rebuilds the order of the rejections after a snapshot was
// restored.
func (s *State) rebuildRejectedOrder() {
	s.rejectedOrder = s.rejected.Keys()
	slices.SortFunc(s.rejectedOrder, func(a, b RecordID) int {
		x, _ := s.rejected.Get(a)
		y, _ := s.rejected.Get(b)
		return cmp.Compare(x.Revision, y.Revision)
	})
}
