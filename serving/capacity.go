package serving

import (
	"errors"
	"math/rand/v2"
	"time"

	"toucanfall/fault"
	"toucanfall/prefill"
	"toucanfall/roster"
)

// Bounds of waits for capacity, where runs are accounted for.
const (
	// patientCandidates is how many engines a request asks before it waits that can wait for long: one
	// message less for each of the many that wait in a burst.
	patientCandidates = 2
	// holdDivisor gives the part of the time that a request may wait for which it waits at one engine,
	// and maxHold bounds it: the request then asks others, which may have become free.
	holdDivisor = 4
	maxHold     = time.Second
	// maxLateAllowance bounds how late a request may be by the forecast and still wait, which is at most
	// its objective: a forecast is not exact. With half of an objective of 500 ms urgent requests were
	// rejected that would have been on time.
	maxLateAllowance = 500 * time.Millisecond
	// answerPerToken is how long an answer takes for each of its tokens on an engine under load.
	answerPerToken = 9 * time.Millisecond
	// maxAnswerPart bounds the time that is left for the answer to a part of the call's time.
	maxAnswerPart = 2
	// defaultMaxPause is the permitted pause of calls whose route states none: the largest in the
	// configurations of the deployments.
	defaultMaxPause = 200 * time.Millisecond
)

// errNoCapacity is the cause of the error for a call that no engine can run in time. Such a call is
// rejected at once.
var errNoCapacity = errors.New("no capacity in time")

// addRun adds what the host of an engine needs to account for the run.
func (t *attempts) addRun(r *prefill.Request, u *roster.Upstream) {
	if r.MaxPause == 0 {
		r.MaxPause = defaultMaxPause
	}
	r.Capacity = t.capacityOf(u)
	r.Team, r.Output, r.Objective, r.Patience = t.c.Team, t.c.TokensOut, t.c.Route.Objective, t.patience()
	if end := t.c.deadline(); !end.IsZero() {
		r.Lifetime = max(time.Until(end), 0) + answerGrace
	}
}

// capacityOf returns what an engine can run: the slots that it states itself, otherwise those of the
// configuration, and the memory of the configuration.
func (t *attempts) capacityOf(u *roster.Upstream) prefill.Capacity {
	out := prefill.Capacity{Slots: u.Slots()}
	cfg, _ := t.h.cfg.Catalogue.Current()
	if cfg == nil {
		return out
	}
	s := cfg.Services[t.service]
	if s == nil || s.Engine == nil {
		return out
	}
	if out.Slots == 0 {
		out.Slots = s.Engine.Slots
	}
	out.Tokens = s.Engine.MemoryTokens
	return out
}

// patience returns how long the call may wait for capacity: so long that there is time for its answer,
// and that its first event is not much later than its objective. The objective does not count once an
// engine may have run the request: it cannot be rejected any more, and late is better than failed.
func (t *attempts) patience() time.Duration {
	wait := time.Duration(1<<63 - 1)
	if end := t.c.deadline(); !end.IsZero() {
		total := end.Sub(t.c.received)
		answer := min(max(total/answerTimeDivisor, time.Duration(t.c.TokensOut)*answerPerToken), total/maxAnswerPart)
		wait = time.Until(end) - answer
	}
	if o := t.c.Route.Objective; o > 0 && !t.mayHaveRun.Load() {
		wait = min(wait, o+min(o, maxLateAllowance)-time.Since(t.c.received))
	}
	return max(wait, 0)
}

// canWait reports whether the call has a long latency objective, or none.
func (t *attempts) canWait() bool {
	return prefill.IsPatient(t.c.Route.Objective)
}

// maxCandidates returns how many engines are asked before the call waits at one of them.
func (t *attempts) maxCandidates() int {
	if t.h.cfg.AccountRuns && t.canWait() {
		return patientCandidates
	}
	return maxCreditCandidates
}

// holdTime returns how long the call waits at one engine before it asks others again.
func (t *attempts) holdTime() time.Duration {
	if !t.h.cfg.AccountRuns || !t.canWait() {
		return creditWait
	}
	return min(max(t.patience()/holdDivisor, creditWait), maxHold)
}

// rejectForCredit returns the error for a call that would wait too long. Where runs are accounted for,
// the retry-after times of calls that are rejected together differ by up to half of the forecast, so
// that they do not return together.
func (t *attempts) rejectForCredit(d prefill.Denial) error {
	wait := max(d.Wait, minRetryAfter)
	if !t.h.cfg.AccountRuns {
		return fault.New(fault.Overloaded, "the engines cannot read the prompt in time").WithRetryAfter(wait)
	}
	t.h.cfg.Metrics.CapacityRejected(string(t.service), string(d.Reason))
	wait += time.Duration(rand.Float64() / 2 * float64(wait))
	return fault.New(fault.Overloaded, "%w: the engines of service %q are short of %s", errNoCapacity, t.service, d.Reason).WithRetryAfter(wait)
}
