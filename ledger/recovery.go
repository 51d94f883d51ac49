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

// ErrNoSnapshot is returned if records that the state needs have expired and
// the log holds no complete snapshot that stands for them.
var ErrNoSnapshot = errors.New("records have expired and no snapshot covers them")

// searchSpan is how many records from the end the search for a snapshot looks
// at first. Each further step looks at searchGrowth times as many.
const (
	searchSpan   fleet.Offset = 1 << 14
	searchGrowth fleet.Offset = 4
)

// beyond is an offset that no log reaches.
const beyond fleet.Offset = math.MaxInt64

// recoverState loads the newest snapshot of the log after records that the
// state needs have expired. Without one the VM keeps the state that it has, and
// does not become ready.
func (f *Follower) recoverState(ctx context.Context) error {
	sn, err := f.findSnapshot(ctx)
	if errors.Is(err, ErrNoSnapshot) {
		f.noteIncomplete()
	}
	if err != nil {
		return err
	}
	return f.LoadSnapshot(sn, "log")
}

// noteIncomplete reports once that state is missing.
func (f *Follower) noteIncomplete() {
	f.mu.Lock()
	again := f.incomplete
	f.incomplete = true
	f.mu.Unlock()
	if !again {
		f.rec.Record(event.StateIncomplete, timeline.Fields{"applied": fmt.Sprint(f.State.Applied())})
	}
}

// findSnapshot looks backwards from the end of the log in growing steps, so
// that a start costs the distance to the newest snapshot and not the whole log.
func (f *Follower) findSnapshot(ctx context.Context) (Snapshot, error) {
	first, next, err := f.bounds(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	for span := searchSpan; ; span *= searchGrowth {
		from := max(first, next-min(next, span))
		sn, err := f.scan(ctx, from)
		if err != nil || sn.Covered > 0 {
			return sn, err
		}
		if from == first {
			return Snapshot{}, ErrNoSnapshot
		}
	}
}

// bounds returns the oldest kept offset and the next one to be appended. The
// log does not tell the latter, so it is searched for by halving.
func (f *Follower) bounds(ctx context.Context) (first, next fleet.Offset, err error) {
	page, err := f.peek(ctx, beyond)
	if err != nil {
		return 0, 0, err
	}
	first = page.First
	last, step := first-1, fleet.Offset(1)
	high := beyond
	for last+1 < high {
		mid := last + (high-last)/2
		if high == beyond {
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
	return first, last + 1, nil
}

// scan reads from an offset to the end and returns the newest complete snapshot
// whose tail is still kept.
func (f *Follower) scan(ctx context.Context, from fleet.Offset) (Snapshot, error) {
	found := newAssemblies(true)
	for {
		page, err := f.peek(ctx, from)
		if err != nil {
			return Snapshot{}, err
		}
		if len(page.Records) == 0 {
			return usable(found.newest.snapshot, page.First, f.State.Applied()), nil
		}
		for _, raw := range page.Records {
			if r, err := DecodeRecord(raw.Data); err == nil && r.Kind == KindSnapshotChunk {
				found.addBody(raw.Offset, r)
			}
			from = raw.Offset + 1
		}
	}
}

// addBody decodes a chunk and takes it.
func (as *assemblies) addBody(offset fleet.Offset, r Record) {
	var c SnapshotChunk
	if c.UnmarshalJSON(r.Body) == nil && c.Covered < offset {
		as.add(offset, r.At, c)
	}
}

// usable returns nothing if records after the snapshot have expired or if it is
// not newer than the state.
func usable(sn Snapshot, first, applied fleet.Offset) Snapshot {
	if sn.Covered+1 < first || sn.Covered <= applied {
		return Snapshot{}
	}
	return sn
}
