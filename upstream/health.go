package upstream

import "time"

// Bounds of the passive health check.
const (
	failuresToEject = 3
	firstEjection   = 2 * time.Second
	maxEjection     = 30 * time.Second
	// rampStep is the time after an ejection for which one more request may be
	// in flight.
	rampStep = 250 * time.Millisecond
	// rampTime is when the return is over.
	rampDuration = 10 * time.Second
)

// health takes an upstream out of use after failures in a row and lets it
// return slowly. The zero health is good.
type health struct {
	failures int
	// ejections counts those without a success between them.
	ejections    int
	ejectedUntil time.Time
}

// note takes the result of an attempt.
func (h *health) record(now time.Time, ok bool) {
	if ok {
		h.failures = 0
		if now.Sub(h.ejectedUntil) > rampDuration {
			h.ejections = 0
		}
		return
	}
	h.failures++
	if h.failures < failuresToEject || h.ejected(now) {
		return
	}
	h.failures = 0
	h.ejectedUntil = now.Add(min(firstEjection<<min(h.ejections, 10), maxEjection))
	h.ejections++
}

func (h *health) ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

// admits reports whether one more request may go to an upstream that has
// inFlight own requests.
func (h *health) admits(now time.Time, inFlight int) bool {
	if h.ejectedUntil.IsZero() {
		return true
	}
	sinceReturn := now.Sub(h.ejectedUntil)
	if sinceReturn < 0 {
		return false
	}
	return sinceReturn > rampDuration || inFlight < 1+int(sinceReturn/rampStep)
}
