package gateway

import (
	"fmt"
	"maps"
	"time"

	"toucanfall/event"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// recordOverdue records when the directory becomes too old to send requests by, and when it
// is within its age again.
func (f *directoryFollower) recordOverdue(now time.Duration) {
	confirmedAt := f.Roster.ConfirmedAt()
	age := now - confirmedAt
	switch {
	case confirmedAt == 0:
		// The directory was never read.
	case age > f.maxAge:
		if f.overdueAge == 0 {
			f.Events.Record(event.DirectoryLate, timeline.Fields{"age_ms": timeline.Millis(age), "reason": fmt.Sprint(f.lastError)})
		}
		f.overdueAge = max(f.overdueAge, age)
	case f.overdueAge != 0:
		f.Events.Record(event.DirectoryInTime, timeline.Fields{"late_ms": timeline.Millis(f.overdueAge)})
		f.overdueAge = 0
	}
}

// recordCold records which upstreams have become cold by their entries, once for each cold time.
func (f *directoryFollower) recordCold() {
	now := time.Now()
	for _, u := range f.Roster.Upstreams() {
		s := u.NoticeStatus(now)
		cold := s.ColdIntake > 0
		if cold && !f.loggedCold[u] {
			f.Events.Record(event.UpstreamCold, timeline.Fields{"upstream": string(u.ID), "cold_ms": timeline.Millis(s.ColdUntil.Sub(now))})
		}
		if cold {
			f.loggedCold[u] = true
		} else {
			delete(f.loggedCold, u)
		}
	}
	f.retainKnown(f.loggedCold)
}

// retainKnown deletes the entries of upstreams that are not in the roster.
func (f *directoryFollower) retainKnown(logged map[*roster.Upstream]bool) {
	maps.DeleteFunc(logged, func(u *roster.Upstream, _ bool) bool {
		now, ok := f.Roster.Get(u.ID)
		return !ok || now != u
	})
}

// recordLeaving records which of the known upstreams get no new requests any more, once for
// each. The entry names the read that showed it.
func (f *directoryFollower) recordLeaving(known []*roster.Upstream, read *directoryRead, now time.Duration) {
	for _, u := range known {
		how, suspectedFor := u.Leaving()
		if how == "" || f.logged[u] {
			continue
		}
		f.logged[u] = true
		f.Events.Record(event.UpstreamLeaving, timeline.Fields{
			"upstream": string(u.ID), "how": how, "doubted_ms": timeline.Millis(suspectedFor), "cause": read.cause,
			"asked_ms": timeline.Millis(now - read.requestedAt), "before_ms": timeline.Millis(read.ageBefore),
		})
	}
	f.retainKnown(f.logged)
}
