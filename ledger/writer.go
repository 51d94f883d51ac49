package ledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// Times and bounds of a SnapshotWriter.
const (
	snapshotCheck = 15 * time.Second
	// snapshotSpacing keeps the chunks of one snapshot from asking for the next.
	snapshotSpacing = 30 * time.Second
	// snapshotSpread is over how long the VMs spread their attempts, so that
	// mostly the first one writes and the others see its chunks.
	snapshotSpread  = 20 * time.Second
	snapshotTimeout = time.Minute
	// maxTail is how many records a start from a snapshot folds at most.
	maxTail fleet.Offset = 100_000
	// chunksAtOnce bounds the chunks that wait for their append.
	chunksAtOnce = 8
)

// SnapshotWriter writes snapshots of a follower's state into the log, well
// before the records that they stand for expire. Every VM runs one: two
// snapshots at once do no harm.
type SnapshotWriter struct {
	follower *Follower
	writer   string
	interval func() time.Duration
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	started  time.Time
}

// NewSnapshotWriter starts to write snapshots in the name of writer whenever
// the newest one is older than interval, or much of its tail has grown or
// expired. Close stops it.
func NewSnapshotWriter(f *Follower, writer string, interval func() time.Duration) *SnapshotWriter {
	ctx, cancel := context.WithCancel(context.Background())
	w := &SnapshotWriter{follower: f, writer: writer, interval: interval, cancel: cancel, started: time.Now()}
	w.wg.Go(func() { w.loop(ctx) })
	return w
}

// Close stops the writer and waits for its goroutines.
func (w *SnapshotWriter) Close() {
	w.cancel()
	w.wg.Wait()
}

func (w *SnapshotWriter) loop(ctx context.Context) {
	own := time.Duration(xxhash.Sum64String(w.writer) % uint64(snapshotSpread))
	for ctx.Err() == nil {
		sleep(ctx, snapshotCheck)
		if !w.due(ctx) {
			continue
		}
		sleep(ctx, own)
		if ctx.Err() == nil && w.due(ctx) {
			w.note(w.Write(ctx))
		}
	}
}

func (w *SnapshotWriter) note(covered fleet.Offset, err error) {
	if err != nil {
		w.follower.rec.Record(event.SnapshotFailed, timeline.Fields{"reason": err.Error()})
		return
	}
	w.follower.rec.Record(event.SnapshotWritten, timeline.Fields{"offset": fmt.Sprint(covered)})
}

// due reports whether the log needs a new snapshot and no VM writes one.
func (w *SnapshotWriter) due(ctx context.Context) bool {
	f := w.follower
	if !f.Ready() || !f.Reachable() || f.State.Applied() == 0 {
		return false
	}
	newest, lastChunk := f.newestSnapshot()
	now := time.Now()
	if since(now, lastChunk) < snapshotSpacing {
		return false
	}
	age := now.Sub(w.started)
	if newest.snapshot.Covered > 0 {
		age = since(now, newest.at)
	}
	applied := f.State.Applied()
	if age > w.interval() || applied-newest.snapshot.Covered > maxTail {
		return true
	}
	page, err := f.peek(ctx, beyond)
	return err == nil && expiring(page.First, newest.first, applied)
}

// since returns the time from a stamp to now. Clocks that differ by a little do
// no harm: a snapshot is then written earlier or later by as much.
func since(now time.Time, s timeline.Stamp) time.Duration {
	return now.Sub(time.UnixMilli(s.WallMS))
}

// expiring reports whether the log has begun to drop records and the newest
// snapshot stands in the older half of what is kept.
func expiring(first, snapshot, applied fleet.Offset) bool {
	return first > 1 && snapshot < first+(applied-min(applied, first))/2
}

// Write writes a snapshot now and returns the offset that it covers.
func (w *SnapshotWriter) Write(ctx context.Context) (fleet.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	sn, err := w.follower.Snapshot()
	if err != nil {
		return 0, err
	}
	chunks := sn.chunks(SnapshotID(uuid.NewString()))
	for len(chunks) > 0 {
		n := min(len(chunks), chunksAtOnce)
		if err := w.proposeAll(ctx, chunks[:n]); err != nil {
			return 0, fmt.Errorf("write snapshot at offset %d: %w", sn.Covered, err)
		}
		chunks = chunks[n:]
	}
	return sn.Covered, nil
}

func (w *SnapshotWriter) proposeAll(ctx context.Context, chunks []SnapshotChunk) error {
	errs := make(chan error, len(chunks))
	for _, c := range chunks {
		w.wg.Go(func() { errs <- w.propose(ctx, c) })
	}
	var first error
	for range chunks {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (w *SnapshotWriter) propose(ctx context.Context, c SnapshotChunk) error {
	r, err := NewRecord(KindSnapshotChunk, w.writer, w.follower.rec.Clock.Now(), 0, c)
	if err != nil {
		return err
	}
	v, err := w.follower.Propose(ctx, r)
	if err != nil {
		return err
	}
	return v.Err()
}

// newestSnapshot returns the newest complete snapshot that was seen in the log
// and when the newest chunk of any was made.
func (f *Follower) newestSnapshot() (written, timeline.Stamp) {
	f.foldMu.Lock()
	defer f.foldMu.Unlock()
	return f.snapshots.newest, f.snapshots.lastChunk
}
