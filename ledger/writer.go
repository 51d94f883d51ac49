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

// Intervals and limits of a SnapshotWriter.
const (
	snapshotCheckInterval = 15 * time.Second
	// minChunkIdle is the minimum time since the last chunk in the log before a
	// snapshot is written. It prevents the chunks of one snapshot from triggering
	// the next.
	minChunkIdle = 30 * time.Second
	// maxSnapshotJitter is the period over which the VMs spread their attempts, so
	// that usually the first one writes and the others see its chunks.
	maxSnapshotJitter = 20 * time.Second
	snapshotTimeout   = time.Minute
	// maxTailRecords is the number of records after the newest snapshot above which
	// a new one is due. It limits the records that a start from a snapshot applies.
	maxTailRecords fleet.Offset = 100_000
	// maxPendingChunks is the maximum number of chunks that are proposed
	// concurrently.
	maxPendingChunks = 8
)

// SnapshotWriter writes snapshots of a follower's state to the log, well before
// the records that they cover expire. Every VM runs one; concurrent snapshots are
// harmless.
type SnapshotWriter struct {
	follower *Follower
	proposer string
	interval func() time.Duration
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	started  time.Time
}

// NewSnapshotWriter returns a writer that, until Close is called, writes a snapshot
// whenever the newest one is older than interval, more than maxTailRecords
// records follow it, or it is in the older half of a log that has begun to drop
// records. Snapshots are proposed in the name of proposer.
func NewSnapshotWriter(f *Follower, proposer string, interval func() time.Duration) *SnapshotWriter {
	ctx, cancel := context.WithCancel(context.Background())
	w := &SnapshotWriter{follower: f, proposer: proposer, interval: interval, cancel: cancel, started: time.Now()}
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

// due reports whether the log needs a new snapshot and no VM is writing one.
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

// elapsedSince returns the time from a stamp to now. Small clock differences between
// VMs are harmless: a snapshot is then written earlier or later by the same amount.
func elapsedSince(now time.Time, s timeline.Stamp) time.Duration {
	return now.Sub(time.UnixMilli(s.WallMS))
}

// expiring reports whether the log has begun to drop records and the newest
// snapshot is in the older half of the retained records.
func expiring(firstKept, firstChunk, applied fleet.Offset) bool {
	return firstKept > 1 && firstChunk < firstKept+(applied-min(applied, firstKept))/2
}

// Write writes a snapshot immediately and returns the offset that it covers. It
// fails if a chunk is not accepted or after snapshotTimeout.
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

// newestSnapshot returns the newest complete snapshot that was read from the log and
// the time at which the newest chunk of any snapshot was created.
func (f *Follower) newestSnapshot() (loggedSnapshot, timeline.Stamp) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	return f.assembler.newest, f.assembler.lastChunkAt
}
