package ledger

import (
	"context"
	"errors"

	"github.com/cenkalti/backoff/v5"

	"toucanfall/fault"
)

// Limits for one append.
const (
	maxBatchRecords = 256
	maxBatchBytes   = 512 << 10
)

// proposal is a record that is being proposed. Its fields are guarded by
// Follower.mu, except for id, data and the channels, which never change.
type proposal struct {
	id      RecordID
	data    []byte
	verdict chan Verdict
	failed  chan error

	// maybeAppended is set once an append of the record may have taken effect.
	maybeAppended bool
	inFlight      bool
	// unbatched is set after the log refused a batch with the record. The record is
	// then appended in a batch of its own.
	unbatched bool
	// finished is set once nobody waits for the verdict any more.
	finished bool
}

// Propose appends r to the log and waits until it is read back. The error is
// store_unavailable if the record was certainly not appended, and
// outcome_unknown if ctx ended, or a snapshot replaced the state, while that was
// unknown: the record may then still be accepted. The error is invalid_request
// if the record cannot be encoded or the log refused it, and conflict if a record
// with the same ID is already being proposed. A rejected record is not an error
// here; see Verdict.Err.
func (f *Follower) Propose(ctx context.Context, r Record) (Verdict, error) {
	data, err := r.Encode()
	if err != nil {
		return Verdict{}, fault.New(fault.InvalidRequest, "cannot encode record: %w", err)
	}
	p := &proposal{id: r.ID, data: data, verdict: make(chan Verdict, 1), failed: make(chan error, 1)}
	if err := f.enqueue(p); err != nil {
		return Verdict{}, err
	}
	select {
	case v := <-p.verdict:
		return v, nil
	case err := <-p.failed:
		return Verdict{}, err
	case <-ctx.Done():
		return f.abandon(p, ctx.Err())
	}
}

// enqueue adds a proposal to the queue. It fails immediately if the last read of
// the log failed, because the verdict could not be read back either. Before the
// first read has ended it accepts proposals; they fail if that read fails.
func (f *Follower) enqueue(p *proposal) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readError != nil {
		return unavailable(f.readError)
	}
	if _, ok := f.waiters[p.id]; ok {
		return fault.New(fault.Conflict, "record %q is being proposed already", p.id)
	}
	f.waiters[p.id] = p
	f.queue = append(f.queue, p)
	f.wake()
	return nil
}

// wake notifies appendLoop of new proposals in the queue.
func (f *Follower) wake() {
	select {
	case f.queued <- struct{}{}:
	default:
	}
}

// abandon ends a proposal whose context ended. It returns the verdict if that
// arrived concurrently.
func (f *Follower) abandon(p *proposal, cause error) (Verdict, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case v := <-p.verdict:
		return v, nil
	case err := <-p.failed:
		return Verdict{}, err
	default:
	}
	f.removeProposal(p)
	if p.maybeAppended || p.inFlight {
		return Verdict{}, fault.New(fault.OutcomeUnknown, "the change was sent to the log but not read back in time: %w", cause)
	}
	return Verdict{}, fault.New(fault.StoreUnavailable, "the change could not be sent to the log in time: %w", cause)
}

// removeProposal marks a proposal as finished and removes it from f.waiters. The
// caller must hold f.mu.
func (f *Follower) removeProposal(p *proposal) {
	p.finished = true
	delete(f.waiters, p.id)
}

// deliverVerdict sends the verdict on the first copy of a record to its proposer.
func (f *Follower) deliverVerdict(id RecordID, v Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.waiters[id]; ok {
		p.verdict <- v
		f.removeProposal(p)
	}
}

// fail ends a proposal with an error. The caller must hold f.mu.
func (f *Follower) fail(p *proposal, err error) {
	if !p.finished {
		p.failed <- err
		f.removeProposal(p)
	}
}

// failUnsent fails all queued proposals that were certainly not appended. It is
// called when a read of the log failed.
func (f *Follower) failUnsent(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.queue {
		if !p.maybeAppended && !p.inFlight {
			f.fail(p, unavailable(cause))
		}
	}
}

// failUnread fails the proposals that may be among the records that a snapshot
// replaced. Their verdicts were not read, and that of a duplicate may differ: the
// duplicate of an accepted change is a conflict.
func (f *Follower) failUnread() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.waiters {
		if p.maybeAppended || p.inFlight {
			f.fail(p, fault.New(fault.OutcomeUnknown, "a snapshot replaced the state before the change was read back"))
		}
	}
}

func unavailable(cause error) error {
	return fault.New(fault.StoreUnavailable, "the log cannot be reached: %w", cause)
}

// appendLoop appends queued proposals, one batch at a time, until ctx ends.
func (f *Follower) appendLoop(ctx context.Context) {
	delays := newBackOff()
	for {
		batch := f.takeBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-f.queued:
				continue
			}
		}
		err := f.appendBatch(ctx, batch)
		if ctx.Err() != nil {
			return
		}
		f.waitBeforeRetry(ctx, delays, err)
	}
}

func (f *Follower) waitBeforeRetry(ctx context.Context, delays *backoff.ExponentialBackOff, err error) {
	if err == nil || errors.Is(err, ErrRefused) {
		delays.Reset()
		return
	}
	sleep(ctx, delays.NextBackOff())
}

// takeBatch removes the next batch of proposals from the queue, in order. It drops
// finished proposals, so that retries stop when the context of the proposer ends
// or the first copy is read back.
func (f *Follower) takeBatch() []*proposal {
	f.mu.Lock()
	defer f.mu.Unlock()
	var batch []*proposal
	size := 0
	for len(f.queue) > 0 {
		p := f.queue[0]
		full := len(batch) == maxBatchRecords || size+len(p.data) > maxBatchBytes || p.unbatched || (len(batch) == 1 && batch[0].unbatched)
		if !p.finished && full && len(batch) > 0 {
			break
		}
		f.queue = f.queue[1:]
		if p.finished {
			continue
		}
		p.inFlight = true
		size += len(p.data)
		batch = append(batch, p)
	}
	return batch
}

func (f *Follower) appendBatch(ctx context.Context, batch []*proposal) error {
	records := make([][]byte, len(batch))
	for i, p := range batch {
		records[i] = p.data
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := f.log.Append(ctx, records)
	f.finishAppend(batch, err)
	return err
}

// finishAppend records the result of appending a batch and queues the records that
// must be resent. An append whose answer was lost may have taken effect; resending
// the same records is safe because duplicates are harmless.
func (f *Follower) finishAppend(batch []*proposal, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var resend []*proposal
	for _, p := range batch {
		p.inFlight = false
		if err == nil {
			p.maybeAppended = true
			continue
		}
		if f.shouldResend(p, len(batch), err) {
			resend = append(resend, p)
		}
	}
	f.queue = append(resend, f.queue...)
}

// shouldResend reports whether p must be resent after its append failed with err,
// and updates or fails p accordingly. The caller must hold f.mu.
func (f *Follower) shouldResend(p *proposal, batchSize int, err error) bool {
	switch {
	case errors.Is(err, ErrNotSent):
		if !p.maybeAppended {
			f.fail(p, unavailable(err))
		}
	case errors.Is(err, ErrRefused) && batchSize > 1:
		p.unbatched = true
	case errors.Is(err, ErrRefused):
		if !p.maybeAppended {
			f.fail(p, fault.New(fault.InvalidRequest, "the log refused the record: %w", err))
		}
		return false
	default:
		p.maybeAppended = true
	}
	return !p.finished
}
