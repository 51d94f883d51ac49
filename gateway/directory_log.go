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
func (f *directoryFollower) watch(now time.Duration) {
	proved := f.Roster.ConfirmedAt()
	age := now - proved
	switch {
	case proved == 0:
		// It was never read.
	case age > f.most:
		if f.late == 0 {
			f.Events.Record(event.DirectoryLate, timeline.Fields{"age_ms": timeline.Millis(age), "reason": fmt.Sprint(f.why)})
		}
		f.late = max(f.late, age)
	case f.late != 0:
		f.Events.Record(event.DirectoryInTime, timeline.Fields{"late_ms": timeline.Millis(f.late)})
		f.late = 0
	}
}

// tell records which of the upstreams that were known get nothing new any more.
func (f *directoryFollower) tell(known []*roster.Upstream, q *question, now time.Duration) {
	for _, u := range known {
		how, doubted := u.Leaving()
		if how == "" || f.named[u] {
			continue
		}
		f.named[u] = true
		f.Events.Record(event.UpstreamLeaving, timeline.Fields{
			"upstream": string(u.ID), "how": how, "doubted_ms": timeline.Millis(doubted), "cause": q.cause,
			"asked_ms": timeline.Millis(now - q.asked), "before_ms": timeline.Millis(q.before),
		})
	}
	maps.DeleteFunc(f.named, func(u *roster.Upstream, _ bool) bool {
		now, ok := f.Roster.Get(u.ID)
		return !ok || now != u
	})
}
