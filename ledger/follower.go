package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/timeline"
)

// Raw is a record of the log as it was read.
type Raw struct {
	Offset fleet.Offset `json:"offset"`
	Data   []byte       `json:"data"`
}

// ErrTrimmed is returned by Log.Read if records from the offset on have expired.
var ErrTrimmed = errors.New("records have expired")

// Log is the platform's append-only log.
type Log interface {
	// Append adds records and returns the offset of the first. An error does
	// not mean that nothing was added.
	Append(ctx context.Context, records [][]byte) (fleet.Offset, error)
	// Read returns records from an offset on, and waits for one if there is
	// none yet. It may return no record and no error.
	Read(ctx context.Context, from fleet.Offset) ([]Raw, error)
}

// Waiting times of a follower.
const (
	appendTimeout    = 2 * time.Second
	readTimeout      = 10 * time.Second
	retryInterval    = 50 * time.Millisecond
	maxRetryInterval = time.Second
)

// Follower reads the log, folds it into a state, and proposes records.
type Follower struct {
	State *State

	log    Log
	rec    *timeline.Recorder
	cancel context.CancelFunc
	done   chan struct{}

	mu        sync.Mutex
	waiters   map[RecordID]chan Verdict
	reachable bool
	lastRead  time.Time
	observers []func(Raw, Record, Verdict)
}

// NewFollower starts to follow log. Close stops it. Each observer is called for
// every record that was applied, in the order of the log.
func NewFollower(log Log, state *State, rec *timeline.Recorder, observers ...func(Raw, Record, Verdict)) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		State:     state,
		log:       log,
		rec:       rec,
		cancel:    cancel,
		done:      make(chan struct{}),
		waiters:   make(map[RecordID]chan Verdict),
		observers: observers,
	}
	go func() {
		defer close(f.done)
		f.follow(ctx)
	}()
	return f
}

// Close stops the follower and waits for its goroutine.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}

// Reachable reports whether the last call to the log succeeded.
func (f *Follower) Reachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachable
}

// LastRead returns when the log last answered a read; zero if never.
func (f *Follower) LastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRead
}

func (f *Follower) follow(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = retryInterval
	pause.MaxInterval = maxRetryInterval
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		f.noteReachable(ctx, err)
		if err == nil {
			pause.Reset()
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

func (f *Follower) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	records, err := f.log.Read(ctx, f.State.Applied()+1)
	if err != nil {
		return err
	}
	for _, raw := range records {
		f.apply(raw)
	}
	return nil
}

func (f *Follower) noteReachable(ctx context.Context, err error) {
	f.mu.Lock()
	was, first := f.reachable, f.lastRead.IsZero()
	f.reachable = err == nil
	if err == nil {
		f.lastRead = time.Now()
	}
	f.mu.Unlock()
	switch {
	case ctx.Err() != nil:
	case err == nil && !was:
		f.rec.Record(event.LogReachable, nil)
	case err != nil && (was || first):
		f.rec.Record(event.LogUnreachable, timeline.Fields{"reason": err.Error()})
	}
}

// apply folds one raw record. Records that do not decode are skipped by every
// VM alike, so that a foreign writer cannot stop the fold.
func (f *Follower) apply(raw Raw) {
	if raw.Offset <= f.State.Applied() {
		return
	}
	var r Record
	if err := json.Unmarshal(raw.Data, &r); err != nil {
		f.State.Skip(raw.Offset)
		f.rec.Record(event.RecordSkipped, timeline.Fields{"offset": fmt.Sprint(raw.Offset), "reason": err.Error()})
		return
	}
	f.rec.Clock.Observe(r.At)
	v := f.State.Apply(raw.Offset, r)
	f.noteVerdict(raw, r, v)
	f.settle(r.ID, v)
	for _, observe := range f.observers {
		observe(raw, r, v)
	}
}

func (f *Follower) noteVerdict(raw Raw, r Record, v Verdict) {
	fields := timeline.Fields{"offset": fmt.Sprint(raw.Offset), "kind": string(r.Kind), "proposer": r.Proposer}
	if v.Accepted() {
		f.rec.Record(event.RecordApplied, fields)
		return
	}
	fields["reason"] = v.Message
	f.rec.Record(event.RecordRejected, fields)
}

// settle gives the verdict of the first copy of a record to its proposer.
func (f *Follower) settle(id RecordID, v Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ch, ok := f.waiters[id]; ok {
		ch <- v
		delete(f.waiters, id)
	}
}

// Propose appends r and waits until it is read back. The error is
// store_unavailable if the record was certainly not appended, and
// outcome_unknown if ctx ended while that was open. A rejected record is no
// error here; see Verdict.Err.
func (f *Follower) Propose(ctx context.Context, r Record) (Verdict, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return Verdict{}, fault.New(fault.InvalidRequest, "cannot encode record: %w", err)
	}
	ch := f.wait(r.ID)
	defer f.forget(r.ID)

	appended := make(chan error, 1)
	appendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { appended <- f.appendUntilDone(appendCtx, data) }()
	for {
		select {
		case v := <-ch:
			return v, nil
		case err := <-appended:
			if err != nil {
				return Verdict{}, err
			}
			appended = nil
		case <-ctx.Done():
			return Verdict{}, fault.New(fault.OutcomeUnknown, "the change was sent to the log but not read back in time: %w", ctx.Err())
		}
	}
}

// appendUntilDone repeats the append with the same record: an append whose
// answer was lost may have taken effect, and a second copy does no harm.
func (f *Follower) appendUntilDone(ctx context.Context, data []byte) error {
	maybeSent := false
	operation := func() (fleet.Offset, error) {
		once, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		offset, err := f.log.Append(once, [][]byte{data})
		maybeSent = maybeSent || (err != nil && !errors.Is(err, ErrNotSent))
		if err != nil && !maybeSent && !f.Reachable() {
			return 0, backoff.Permanent(fault.New(fault.StoreUnavailable, "the log cannot be reached: %w", err))
		}
		return offset, err
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = retryInterval
	pause.MaxInterval = maxRetryInterval
	_, err := backoff.Retry(ctx, operation, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
	if err == nil || ctx.Err() != nil {
		return nil
	}
	return err
}

// ErrNotSent marks errors of Log.Append that came before anything was sent.
var ErrNotSent = errors.New("nothing was sent")

func (f *Follower) wait(id RecordID) chan Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan Verdict, 1)
	f.waiters[id] = ch
	return ch
}

func (f *Follower) forget(id RecordID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiters, id)
}
