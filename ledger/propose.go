package ledger

import (
	"context"
	"errors"

	"github.com/cenkalti/backoff/v5"

	"toucanfall/fault"
)

// Bounds of one append.
const (
	maxBatchRecords = 256
	maxBatchBytes   = 512 << 10
)

// proposal is a record on its way into the log. Its fields are guarded by
// Follower.mu, except for those that never change.
type proposal struct {
	id      RecordID
	data    []byte
	verdict chan Verdict
	failed  chan error

	// maybeAppended is set once an append of the record may have taken effect.
	maybeAppended bool
	inFlight      bool
	// alone keeps the record out of groups after the log refused its group.
	unbatched bool
	// over is set once nobody waits for the record any more.
	finished bool
}

// Propose appends r and waits until it is read back. The error is
// store_unavailable if the record was certainly not appended, and
// outcome_unknown if ctx ended while that was open: the record may then still
// come into force. A rejected record is no error here; see Verdict.Err.
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

// enqueue refuses the proposal at once after a failed read of the log, because
// its verdict could not be read back either. Before the first read ended, it
// takes the proposal, which is refused if that read fails.
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

// wake lets the appending goroutine look at the queue.
func (f *Follower) wake() {
	select {
	case f.queued <- struct{}{}:
	default:
	}
}

// giveUp ends a proposal whose context ended. The verdict may have come at the
// same moment.
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

// forget ends a proposal. The caller holds f.mu.
func (f *Follower) removeProposal(p *proposal) {
	p.finished = true
	delete(f.waiters, p.id)
}

// settle gives the verdict of the first copy of a record to its proposer.
func (f *Follower) deliverVerdict(id RecordID, v Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.waiters[id]; ok {
		p.verdict <- v
		f.removeProposal(p)
	}
}

// fail ends a proposal without a verdict. The caller holds f.mu.
func (f *Follower) fail(p *proposal, err error) {
	if !p.finished {
		p.failed <- err
		f.removeProposal(p)
	}
}

// refuseUnsent ends all proposals that were certainly not appended, since the
// log does not answer.
func (f *Follower) failUnsent(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.queue {
		if !p.maybeAppended && !p.inFlight {
			f.fail(p, unavailable(cause))
		}
	}
}

// endUnread ends the proposals that may stand among the records that a snapshot
// replaced. Their verdicts were not read, and a later copy would get another
// one: the second copy of an accepted change is a conflict.
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

// appendLoop appends what is queued, one group at a time.
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

// takeBatch takes proposals off the queue, in order. Those that are over are
// dropped, so that retries stop with the context of the proposer and with the
// first copy that is read back.
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

// noteAppended decides what becomes of a group after its append: an append
// whose answer was lost may have taken effect, so the same records are sent
// again, and a second copy does no harm.
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

// sendAgain reports whether a failed append of p is repeated. The caller holds
// f.mu.
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
