package ledger

import (
	"cmp"
	"slices"

	"toucanfall/fault"
	"toucanfall/fleet"
)

// maxRejected bounds the rejected records whose ids the state remembers.
const maxRejected = 8192

// Rejection remembers a rejected record. Its proposer was told that the change
// did not happen, so a late second copy must not be accepted either, although
// what was missing for the first one may exist by now.
type Rejection struct {
	Fault fault.Kind `json:"fault"`
}

// refuseCopy returns the verdict of a copy of a rejected record.
func (s *State) rejectDuplicate(offset fleet.Offset, r Record) (Verdict, bool) {
	old, ok := s.rejected.Get(r.ID)
	if !ok {
		return Verdict{}, false
	}
	return reject(offset, old.Value.Fault, "record %q was rejected at offset %d", r.ID, old.Revision), true
}

// rememberRejection adds r and forgets the oldest rejection beyond the bound.
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

// reindexRejected rebuilds the order of the rejections after a snapshot.
func (s *State) rebuildRejectedOrder() {
	s.rejectedOrder = s.rejected.Keys()
	slices.SortFunc(s.rejectedOrder, func(a, b RecordID) int {
		x, _ := s.rejected.Get(a)
		y, _ := s.rejected.Get(b)
		return cmp.Compare(x.Revision, y.Revision)
	})
}
