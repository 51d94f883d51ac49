package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// Timeouts and intervals of a follower.
const (
	appendTimeout = 2 * time.Second
	// readTimeout exceeds the time for which the log holds a read open. A read
	// that takes longer drops its connection, which may no longer deliver
	// anything.
	readTimeout      = 4 * time.Second
	retryInterval    = 50 * time.Millisecond
	maxRetryInterval = time.Second
	// snapshotSearchInterval is the time between two searches for a snapshot.
	snapshotSearchInterval = 10 * time.Second
)

// Follower reads the log, applies its records to a state, and proposes records.
type Follower struct {
	// State is the state to which the follower applies records. Others may only
	// read it.
	State *State

	log       Log
	rec       *timeline.Recorder
	observers []func(Raw, Record, Verdict)
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	// applyMu is held while the state changes, so that snapshots see the state at a
	// single offset. It also guards recent and assembler.
	applyMu   sync.Mutex
	recent    recentRecords
	assembler *snapshotAssembler

	// mu guards the fields below, except for the channel queued.
	mu        sync.Mutex
	queue     []*proposal            // proposals to be appended
	waiters   map[RecordID]*proposal // unfinished proposals
	queued    chan struct{}          // notifies appendLoop of changes of queue
	reachable bool
	readError error // of the last read
	ready     bool
	// incompleteReported is set once an event for missing state was recorded.
	incompleteReported bool
	lastRead           time.Time
}

// NewFollower returns a follower that reads log until Close is called. Each
// observer is called for every record that was applied, in the order of the log.
func NewFollower(log Log, state *State, rec *timeline.Recorder, observers ...func(Raw, Record, Verdict)) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		State:     state,
		log:       log,
		rec:       rec,
		observers: observers,
		cancel:    cancel,
		assembler: newSnapshotAssembler(false),
		waiters:   make(map[RecordID]*proposal),
		queued:    make(chan struct{}, 1),
	}
	f.recent.reset(state.Applied())
	f.wg.Go(func() { f.follow(ctx) })
	f.wg.Go(func() { f.appendLoop(ctx) })
	return f
}

// Close stops the follower and waits for its goroutines. Pending proposals end
// when their contexts end.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
}

// Reachable reports whether the last read of the log succeeded.
func (f *Follower) Reachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachable
}

// Ready reports whether the state has at least once caught up with the end of
// the log or with a peer.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

// LastRead returns the time at which the log last answered a read, or the zero
// time if it never did.
func (f *Follower) LastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRead
}

func (f *Follower) setReady() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready = true
}

func newBackOff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = retryInterval
	delays.MaxInterval = maxRetryInterval
	return delays
}

func (f *Follower) follow(ctx context.Context) {
	delays := newBackOff()
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.recordReachability(ctx, err)
		if err == nil {
			delays.Reset()
			continue
		}
		if errors.Is(err, ErrNoSnapshot) {
			// The search has read the whole log. Another one is unlikely to
			// succeed soon.
			sleep(ctx, snapshotSearchInterval)
			continue
		}
		sleep(ctx, delays.NextBackOff())
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// step performs one read. Until the follower is ready, reads do not wait for new
// records, so that a VM becomes ready immediately if there is nothing to read.
func (f *Follower) step(ctx context.Context) error {
	var err error
	if f.Ready() {
		err = f.read(ctx)
	} else {
		err = f.catchUp(ctx)
	}
	if errors.Is(err, ErrTrimmed) || errors.Is(err, ErrGap) {
		return f.recoverState(ctx)
	}
	return err
}

func (f *Follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	records, err := f.log.Read(ctx, f.State.Applied()+1)
	if err != nil {
		return err
	}
	return f.ApplyRecords(records)
}

func (f *Follower) catchUp(ctx context.Context) error {
	from := f.State.Applied() + 1
	page, err := f.peek(ctx, from)
	switch {
	case err != nil:
		return err
	case len(page.Records) > 0:
		return f.ApplyRecords(page.Records)
	case page.First > from:
		return ErrTrimmed
	default:
		f.setReady()
		return nil
	}
}

func (f *Follower) peek(ctx context.Context, from fleet.Offset) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.log.Peek(ctx, from)
}

func (f *Follower) recordReachability(ctx context.Context, err error) {
	f.mu.Lock()
	wasReachable, firstRead := f.reachable, f.lastRead.IsZero()
	f.reachable = err == nil
	f.readError = err
	if err == nil {
		f.lastRead = time.Now()
	}
	f.mu.Unlock()
	if err != nil {
		f.failUnsent(err)
	}
	switch {
	case ctx.Err() != nil:
	case err == nil && !wasReachable:
		f.rec.Record(event.LogReachable, nil)
	case err != nil && (wasReachable || firstRead):
		f.rec.Record(event.LogUnreachable, timeline.Fields{"reason": err.Error()})
	}
}
