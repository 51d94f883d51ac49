package upstream

import "time"

// Parameters of the passive health check (outlier ejection).
const (
	// failuresToEject is the number of failures in a row that ejects an upstream.
	failuresToEject = 3
	// firstEjection is the length of the first ejection. It doubles with each one
	// that follows, up to maxEjection.
	firstEjection = 2 * time.Second
	maxEjection   = 30 * time.Second
	// rampStep is the time after an ejection in which the limit of own requests in
	// flight rises by one.
	rampStep = 250 * time.Millisecond
	// rampDuration is the time after an ejection for which that limit applies.
	rampDuration = 10 * time.Second
)

// health ejects an upstream after failures in a row and then admits requests
// gradually (slow start). The zero value is healthy. It is guarded by the mu of
// its node.
type health struct {
	// failures counts the failures in a row.
	failures int
	// ejections counts the ejections since the last success outside a ramp.
	ejections int
	// ejectedUntil is the end of the last ejection, zero if there was none.
	ejectedUntil time.Time
}

// record records whether an attempt succeeded.
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

// ejected reports whether an ejection is active.
func (h *health) ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

// admits reports whether one more request may be sent to an upstream that has
// inFlight requests of this VM.
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
