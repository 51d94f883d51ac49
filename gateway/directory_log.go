package gateway

import (
	"fmt"
	"maps"
	"time"

	"toucanfall/event"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// watch records when the directory becomes too old, and when it is in time again.
func (f *directoryFollower) recordOverdue(now time.Duration) {
	confirmedAt := f.Roster.Proved()
	age := now - confirmedAt
	switch {
	case confirmedAt == 0:
		// It was never read.
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

// tell records which of the upstreams that were known get nothing new any more.
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
	maps.DeleteFunc(f.logged, func(u *roster.Upstream, _ bool) bool {
		now, ok := f.Roster.Get(u.ID)
		return !ok || now != u
	})
}
