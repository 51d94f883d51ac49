package serving

import (
	"errors"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fault"
	"toucanfall/servicetime"
)

// Times of a planned stop, before the time at which it ends the process.
const (
	// UnansweredLead is how long before it the requests without an answer get an error: there has to be
	// time to write it on a machine with a part of a core.
	UnansweredLead = 300 * time.Millisecond
	// CutLead is how long before it the answers that have begun are broken off, so that each is logged.
	CutLead = 100 * time.Millisecond
)

// The time to the first byte and the time per token of an engine under load. They are used for requests
// of whose route too few have been seen, while the balancer still sends requests.
const (
	typicalFirstByte = 1200 * time.Millisecond
	typicalPerToken  = 9 * time.Millisecond
)

// stopRetryAfter is the retry-after time for callers that another VM can serve immediately.
const stopRetryAfter = 20 * time.Millisecond

func stoppingError() error {
	return fault.New(fault.Stopping, "this VM stops before the request could end").WithRetryAfter(stopRetryAfter)
}

// isLate reports whether a call was read so late in a planned stop that its answer must not be cut: the
// balancer should send nothing more by then.
func (h *Handler) isLate(c *Call) bool {
	stopAt := h.cfg.StopAt()
	return !stopAt.IsZero() && c.readAt.After(stopAt.Add(-h.cfg.BalancerStopLead))
}

// checkStop returns a fault.Stopping error if a planned stop may end the process before the call ends. A call
// whose deadline comes first gets its answer or its timeout by then. How long a stream lasts is the engine's
// choice, and one that has begun can only be cut, so that nothing else bounds a late one. Any other call is
// taken if it is expected to end in time: if it does not, it still gets an error as its answer.
func (h *Handler) checkStop(c *Call) error {
	stopAt := h.cfg.StopAt()
	if stopAt.IsZero() {
		return nil
	}
	end := stopAt.Add(-UnansweredLead)
	if d := c.deadline(); !d.IsZero() && d.Add(answerGrace).Before(end) {
		return nil
	}
	if c.Route.Kind == catalogue.Stream && h.isLate(c) {
		return stoppingError()
	}
	if d, ok := h.expectedDuration(c, time.Until(stopAt) >= h.cfg.BalancerStopLead); ok && d < time.Until(end) {
		return nil
	}
	return stoppingError()
}

// expectedDuration returns how long a call lasts. With lenient, while the balancer still sends requests, a
// few may last longer. Otherwise every accepted request has to end, so that the estimate has a margin, and
// is false if too few requests of the route have been seen.
func (h *Handler) expectedDuration(c *Call, lenient bool) (time.Duration, bool) {
	longest, withMargin, known := h.durations.Longest(time.Now(), c.class())
	switch {
	case known && lenient:
		return longest, true
	case known:
		return withMargin, true
	case lenient:
		return max(longest, typicalFirstByte+time.Duration(c.TokensOut)*typicalPerToken), true
	}
	return 0, false
}

func (c *Call) class() servicetime.Class {
	return servicetime.NewClass(c.Route.Name, c.TokensOut)
}

// recordDuration records how long a call lasted. One that was broken off or timed out would have lasted
// longer still; one that failed in another way tells nothing.
func (h *Handler) recordDuration(c *Call, err error) {
	var aborted *answerAborted
	if err == nil || errors.As(err, &aborted) || fault.KindOf(err) == fault.Timeout {
		now := time.Now()
		h.durations.Add(now, c.class(), now.Sub(c.received))
	}
}

// checkStop returns an error if no further attempt may be started because of a planned stop. A stream that
// has begun may always be resumed: without that it is broken off at once.
func (t *attempts) checkStop() error {
	if t.out.open.hasBegun() {
		return nil
	}
	return t.h.checkStop(t.c)
}
