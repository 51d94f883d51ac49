package serving

import (
	"context"
	"time"

	"toucanfall/fleet"
	"toucanfall/metric"
	"toucanfall/prefill"
	"toucanfall/roster"
)

// PrefillCredits grants credits for prompts, so that an engine is not sent more of them at a time
// than the permitted pauses of its streams allow.
type PrefillCredits interface {
	// Acquire returns a credit, or false and a forecast of how long the request has to wait for
	// one. The credit is nil if it is not accounted for.
	Acquire(ctx context.Context, r prefill.Request) (*prefill.Credit, prefill.Denial, bool)
}

// Bounds of the wait for a prefill credit.
const (
	// maxCreditCandidates is how many engines are asked before a call waits at one of them.
	maxCreditCandidates = 3
	// creditWait is how long a call waits at one engine before it asks others again.
	creditWait = 200 * time.Millisecond
	// answerTimeDivisor gives the part of a call's time that is left for its answer: a call that
	// has to wait longer for a credit is rejected at once.
	answerTimeDivisor = 8
)

// needsCredit reports whether the call needs a credit: for its prompt, or for its run where runs are
// accounted for.
func (t *attempts) needsCredit() bool {
	return t.c.Model != "" && (t.h.cfg.AccountRuns || t.c.Route.MaxPause > 0 && t.c.TokensIn > 0)
}

// findWithCredit chooses an upstream and acquires a credit for the prompt there. If the engines that
// fit best have none, the call waits at the one with the shortest forecast. It is rejected if the
// forecast leaves no time for the answer.
func (t *attempts) findWithCredit(ctx context.Context) (*roster.Upstream, *prefill.Credit, error) {
	for {
		u, credit, denial, err := t.askCandidates(ctx)
		if denial.Wait == 0 || err != nil {
			return u, credit, err
		}
		if !t.hasTimeFor(denial.Wait) {
			return nil, nil, t.rejectForCredit(denial)
		}
		credit, _, ok := t.acquireCredit(ctx, u, t.holdTime())
		if ok {
			return u, credit, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, nil, err
		}
	}
}

// askCandidates asks the engines that fit best for a credit. If none has one, it returns the engine
// with the shortest wait, and its denial; otherwise the denial has no wait.
func (t *attempts) askCandidates(ctx context.Context) (shortest *roster.Upstream, credit *prefill.Credit, least prefill.Denial, err error) {
	var busy []fleet.UpstreamID
	for len(busy) < t.maxCandidates() {
		u, err := t.find(ctx, busy)
		if err != nil && shortest != nil {
			return shortest, nil, least, nil
		}
		if err != nil {
			return nil, nil, prefill.Denial{}, err
		}
		credit, denial, ok := t.acquireCredit(ctx, u, 0)
		if ok {
			return u, credit, prefill.Denial{}, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, nil, prefill.Denial{}, err
		}
		if denial.Wait = max(denial.Wait, time.Millisecond); shortest == nil || denial.Wait < least.Wait {
			shortest, least = u, denial
		}
		busy = append(busy, u.ID)
	}
	return shortest, nil, least, nil
}

// hasTimeFor reports whether the call has time for its answer after a wait.
func (t *attempts) hasTimeFor(wait time.Duration) bool {
	if t.h.cfg.AccountRuns {
		return wait <= t.patience()
	}
	end := t.c.deadline()
	return end.IsZero() || time.Until(end)-wait >= end.Sub(t.c.received)/answerTimeDivisor
}

// creditRequest returns the request for a credit at an upstream. The slack is that of the first
// event, or of the next one if a stream is resumed.
func (t *attempts) creditRequest(u *roster.Upstream, wait time.Duration) prefill.Request {
	slack := t.c.Route.Objective - time.Since(t.c.received)
	switch {
	case t.out.open.hasBegun():
		slack = t.c.Route.MaxPause
	case t.c.Route.Objective == 0:
		slack = t.c.remaining(time.Now())
	}
	r := prefill.Request{
		Upstream: u.ID, Born: u.StartTime(), Tokens: t.c.TokensIn, MaxPause: t.c.Route.MaxPause,
		Slack: slack, Rank: t.c.Priority, Wait: wait,
	}
	if t.h.cfg.AccountRuns {
		t.addRun(&r, u)
	}
	return r
}

// acquireCredit acquires a credit for the call's prompt at an upstream, and waits for it at most as
// long as wait. It returns false and a forecast if there is none.
func (t *attempts) acquireCredit(ctx context.Context, u *roster.Upstream, wait time.Duration) (*prefill.Credit, prefill.Denial, bool) {
	if !t.needsCredit() {
		return nil, prefill.Denial{}, true
	}
	credit, denial, ok := t.h.cfg.Prefill.Acquire(ctx, t.creditRequest(u, wait))
	outcome := metric.CreditDenied
	switch {
	case ok && credit != nil:
		outcome = metric.CreditGiven
	case ok:
		outcome = metric.CreditUnaccounted
	}
	t.h.cfg.Metrics.PrefillCredit(outcome)
	return credit, denial, ok
}
