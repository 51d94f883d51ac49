package roster

import (
	"time"

	"toucanfall/catalogue"
)

// ColdLimit limits the requests to an upstream of a service while it is cold. There is no limit if
// Rate or Time is 0.
type ColdLimit struct {
	// Rate is in requests per second, for all VMs together.
	Rate Intake
	// Time is how long an upstream is cold after a start.
	Time time.Duration
}

// ColdLimits returns the limits of the services of a configuration that have one.
func ColdLimits(c *catalogue.Config) map[catalogue.ServiceID]ColdLimit {
	out := make(map[catalogue.ServiceID]ColdLimit)
	for id, s := range c.Services {
		if s.ColdTime > 0 && s.ColdRate > 0 {
			out[id] = ColdLimit{Rate: Intake(s.ColdRate), Time: s.ColdTime}
		}
	}
	return out
}

// coldState is until when one start of an upstream is cold, as far as this VM knows. Each report of
// the remaining time counts from its receipt, so a delay makes the time longer and never shorter. A
// report of less remaining time does not shorten it: it may be older than the one before, as a
// directory entry is that was written before the upstream became cold again. It is guarded by
// Upstream.mu.
type coldState struct {
	limit ColdLimit
	until time.Time
	// event identifies the last report in an answer that extended the time, 0 if there was none.
	// Shared notices carry it, so that each VM takes a report from others once.
	event uint64
}

// extend applies a report that the upstream stays cold for a time from now on, and reports whether
// that is longer than was known.
func (s *coldState) extend(d time.Duration, now time.Time) bool {
	until := now.Add(d)
	if d <= 0 || !until.After(s.until) {
		return false
	}
	s.until = until
	return true
}

// merge applies the cold time of a shared notice.
func (s *coldState) merge(d time.Duration, event uint64, now time.Time) {
	if event != 0 && event != s.event && s.extend(d, now) {
		s.event = event
	}
}

// remaining returns for how long the limit of a cold upstream still applies.
func (s *coldState) remaining(now time.Time) time.Duration {
	if s.limit.Rate <= 0 || s.limit.Time <= 0 {
		return 0
	}
	return max(s.until.Sub(now), 0)
}

func (u *Upstream) setColdLimit(limits map[catalogue.ServiceID]ColdLimit) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cold.limit = limits[u.entry.Service]
}
