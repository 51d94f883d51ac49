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
	snapshotCheckInterval = 15 * time.Second
	// snapshotSpacing keeps the chunks of one snapshot from asking for the next.
	minChunkIdle = 30 * time.Second
	// snapshotSpread is over how long the VMs spread their attempts, so that
	// mostly the first one writes and the others see its chunks.
	maxSnapshotJitter = 20 * time.Second
	snapshotTimeout   = time.Minute
	// maxTail is how many records a start from a snapshot folds at most.
	maxTailRecords fleet.Offset = 100_000
	// chunksAtOnce bounds the chunks that wait for their append.
	maxPendingChunks = 8
)

// SnapshotWriter writes snapshots of a follower's state into the log, well
// before the records that they stand for expire. Every VM runs one: two
// snapshots at once do no harm.
type SnapshotWriter struct {
	follower *Follower
	proposer string
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
	w := &SnapshotWriter{follower: f, proposer: writer, interval: interval, cancel: cancel, started: time.Now()}
	w.wg.Go(func() { w.loop(ctx) })
	return w
}

// Close stops the writer and waits for its goroutines.
func (w *SnapshotWriter) Close() {
	w.cancel()
	w.wg.Wait()
}

func (w *SnapshotWriter) loop(ctx context.Context) {
	jitter := time.Duration(xxhash.Sum64String(w.proposer) % uint64(maxSnapshotJitter))
	for ctx.Err() == nil {
		sleep(ctx, snapshotCheckInterval)
		if !w.due(ctx) {
			continue
		}
		sleep(ctx, jitter)
		if ctx.Err() == nil && w.due(ctx) {
			w.recordResult(w.Write(ctx))
		}
	}
}

func (w *SnapshotWriter) recordResult(covered fleet.Offset, err error) {
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
	newest, lastChunkAt := f.newestSnapshot()
	now := time.Now()
	if elapsedSince(now, lastChunkAt) < minChunkIdle {
		return false
	}
	age := now.Sub(w.started)
	if newest.snapshot.Covered > 0 {
		age = elapsedSince(now, newest.createdAt)
	}
	applied := f.State.Applied()
	if age > w.interval() || applied-newest.snapshot.Covered > maxTailRecords {
		return true
	}
	page, err := f.peek(ctx, maxOffset)
	return err == nil && expiring(page.First, newest.firstChunk, applied)
}

// since returns the time from a stamp to now. Clocks that differ by a little do
// no harm: a snapshot is then written earlier or later by as much.
func elapsedSince(now time.Time, s timeline.Stamp) time.Duration {
	return now.Sub(time.UnixMilli(s.WallMS))
}

// expiring reports whether the log has begun to drop records and the newest
// snapshot stands in the older half of what is kept.
func expiring(firstKept, firstChunk, applied fleet.Offset) bool {
	return firstKept > 1 && firstChunk < firstKept+(applied-min(applied, firstKept))/2
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
		n := min(len(chunks), maxPendingChunks)
		if err := w.proposeChunks(ctx, chunks[:n]); err != nil {
			return 0, fmt.Errorf("write snapshot at offset %d: %w", sn.Covered, err)
		}
		chunks = chunks[n:]
	}
	return sn.Covered, nil
}

func (w *SnapshotWriter) proposeChunks(ctx context.Context, chunks []SnapshotChunk) error {
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
	r, err := NewRecord(KindSnapshotChunk, w.proposer, w.follower.rec.Clock.Now(), 0, c)
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
func (f *Follower) newestSnapshot() (loggedSnapshot, timeline.Stamp) {
	f.foldMu.Lock()
	defer f.foldMu.Unlock()
	return f.assembler.newest, f.assembler.lastChunkAt
}
