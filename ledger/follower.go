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

// Waiting times of a follower.
const (
	appendTimeout = 2 * time.Second
	// readTimeout is above the time that the log holds a read open. A read that
	// outlasts it gives up its connection, which may have gone silent.
	readTimeout      = 4 * time.Second
	retryInterval    = 50 * time.Millisecond
	maxRetryInterval = time.Second
	// searchInterval is the time between two searches for a snapshot.
	searchInterval = 10 * time.Second
)

// Follower reads the log, folds it into a state, and proposes records.
type Follower struct {
	State *State

	log       Log
	rec       *timeline.Recorder
	observers []func(Raw, Record, Verdict)
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	// foldMu is held while the state changes, so that snapshots see it at one
	// offset. It guards recent and snapshots.
	foldMu    sync.Mutex
	recent    recent
	snapshots *assemblies

	mu        sync.Mutex
	queue     []*proposal
	waiters   map[RecordID]*proposal
	queued    chan struct{}
	reachable bool
	readError error // of the last read
	ready     bool
	// incomplete is set once the missing state was reported.
	incomplete bool
	lastRead   time.Time
}

// NewFollower starts to follow log. Close stops it. Each observer is called for
// every record that was applied, in the order of the log.
func NewFollower(log Log, state *State, rec *timeline.Recorder, observers ...func(Raw, Record, Verdict)) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		State:     state,
		log:       log,
		rec:       rec,
		observers: observers,
		cancel:    cancel,
		snapshots: newAssemblies(false),
		waiters:   make(map[RecordID]*proposal),
		queued:    make(chan struct{}, 1),
	}
	f.recent.reset(state.Applied())
	f.wg.Go(func() { f.follow(ctx) })
	f.wg.Go(func() { f.appendLoop(ctx) })
	return f
}

// Close stops the follower and waits for its goroutines. Proposals that are
// still open end with their contexts.
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

// Ready reports whether the state was complete up to the end of the log, or up
// to that of a peer, at least once.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

// LastRead returns when the log last answered a read; zero if never.
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

func newPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = retryInterval
	pause.MaxInterval = maxRetryInterval
	return pause
}

func (f *Follower) follow(ctx context.Context) {
	pause := newPause()
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.noteReachable(ctx, err)
		if err == nil {
			pause.Reset()
			continue
		}
		if errors.Is(err, ErrNoSnapshot) {
			// The search has read the whole log and will hardly find more soon.
			sleep(ctx, searchInterval)
			continue
		}
		sleep(ctx, pause.NextBackOff())
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

// step reads once. Until the state is complete, reads do not wait, so that a VM
// is ready at once where nothing is left to read.
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

func (f *Follower) noteReachable(ctx context.Context, err error) {
	f.mu.Lock()
	was, first := f.reachable, f.lastRead.IsZero()
	f.reachable = err == nil
	f.readError = err
	if err == nil {
		f.lastRead = time.Now()
	}
	f.mu.Unlock()
	if err != nil {
		f.refuseUnsent(err)
	}
	switch {
	case ctx.Err() != nil:
	case err == nil && !was:
		f.rec.Record(event.LogReachable, nil)
	case err != nil && (was || first):
		f.rec.Record(event.LogUnreachable, timeline.Fields{"reason": err.Error()})
	}
}
