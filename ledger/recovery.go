package ledger

import (
	"context"
	"errors"
	"fmt"
	"math"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// ErrNoSnapshot is returned if records that the state needs have expired and the
// log contains no complete snapshot that covers them.
var ErrNoSnapshot = errors.New("records have expired and no snapshot covers them")

// initialSearchSpan is the number of records at the end of the log in which a
// snapshot is searched for first. Each further step searches searchGrowth times
// as many.
const (
	initialSearchSpan fleet.Offset = 1 << 14
	searchGrowth      fleet.Offset = 4
)

// maxOffset is an offset that no log reaches.
const maxOffset fleet.Offset = math.MaxInt64

// recoverState loads the newest snapshot from the log after records that the state
// needs have expired. If there is none, it returns ErrNoSnapshot and the state
// does not change; a VM that is not ready yet does not become ready.
func (f *Follower) recoverState(ctx context.Context) error {
	sn, err := f.findSnapshot(ctx)
	if errors.Is(err, ErrNoSnapshot) {
		f.reportIncomplete()
	}
	if err != nil {
		return err
	}
	return f.LoadSnapshot(sn, "log")
}

// reportIncomplete records, only once, an event that state is missing.
func (f *Follower) reportIncomplete() {
	f.mu.Lock()
	reported := f.incompleteReported
	f.incompleteReported = true
	f.mu.Unlock()
	if !reported {
		f.rec.Record(event.StateIncomplete, timeline.Fields{"applied": fmt.Sprint(f.State.Applied())})
	}
}

// findSnapshot searches backwards from the end of the log in growing steps, so
// that the cost of a start depends on the distance to the newest snapshot and not
// on the length of the log.
func (f *Follower) findSnapshot(ctx context.Context) (Snapshot, error) {
	firstKept, next, err := f.bounds(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	for span := initialSearchSpan; ; span *= searchGrowth {
		from := max(firstKept, next-min(next, span))
		sn, err := f.scan(ctx, from)
		if err != nil || sn.Covered > 0 {
			return sn, err
		}
		if from == firstKept {
			return Snapshot{}, ErrNoSnapshot
		}
	}
}

// bounds returns the oldest retained offset and the offset that the next appended
// record will get. The log does not report the latter, so it is determined by
// exponential and binary search.
func (f *Follower) bounds(ctx context.Context) (firstKept, next fleet.Offset, err error) {
	page, err := f.peek(ctx, maxOffset)
	if err != nil {
		return 0, 0, err
	}
	firstKept = page.First
	last, step := firstKept-1, fleet.Offset(1)
	high := maxOffset
	for last+1 < high {
		mid := last + (high-last)/2
		if high == maxOffset {
			mid = last + step
			step *= 2
		}
		page, err := f.peek(ctx, mid)
		if err != nil {
			return 0, 0, err
		}
		if n := len(page.Records); n > 0 {
			last = page.Records[n-1].Offset
		} else {
			high = mid
		}
	}
	return firstKept, last + 1, nil
}

// scan reads the log from an offset to the end and returns the newest complete
// snapshot, or the zero value if usableSnapshot rejects it.
func (f *Follower) scan(ctx context.Context, from fleet.Offset) (Snapshot, error) {
	assembler := newSnapshotAssembler(true)
	for {
		page, err := f.peek(ctx, from)
		if err != nil {
			return Snapshot{}, err
		}
		if len(page.Records) == 0 {
			return usableSnapshot(assembler.newest.snapshot, page.First, f.State.Applied()), nil
		}
		for _, raw := range page.Records {
			if r, err := DecodeRecord(raw.Data); err == nil && r.Kind == KindSnapshotChunk {
				assembler.addRecord(raw.Offset, r)
			}
			from = raw.Offset + 1
		}
	}
}

// addRecord decodes a chunk and adds it. It ignores malformed chunks.
func (as *snapshotAssembler) addRecord(offset fleet.Offset, r Record) {
	var c SnapshotChunk
	if c.UnmarshalJSON(r.Body) == nil && c.Covered < offset {
		as.add(offset, r.At, c)
	}
}

// usableSnapshot returns sn, or the zero value if records after the snapshot have
// expired or if it is not newer than the state.
func usableSnapshot(sn Snapshot, firstKept, applied fleet.Offset) Snapshot {
	if sn.Covered+1 < firstKept || sn.Covered <= applied {
		return Snapshot{}
	}
	return sn
}
