package gateway

import (
	"context"
	"time"

	"toucanfall/event"
	"toucanfall/relay"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// directoryUpdate is what a relay reports of the directory up to a position, confirmed by
// the store as of confirmedAt. done is closed once the update has been applied.
type directoryUpdate struct {
	changes     roster.Changes
	position    relay.Position
	confirmedAt time.Duration
	done        chan struct{}
}

// ApplyNews applies the news of a relay that took them from its state at checkedAt or
// later, and waits until run has done so. It reports whether the relay is useful: one that
// was itself cut off from the store, or has not read it since it was restored, knows less than the store
// would report.
func (f *directoryFollower) ApplyNews(ctx context.Context, n *relay.News, checkedAt time.Duration) bool {
	if n.DirectoryAge == relay.UnknownAge {
		return false
	}
	changes, err := n.Changes()
	if err != nil {
		f.Events.Record(event.GatewayFault, timeline.Fields{"reason": "directory of a relay: " + err.Error()})
		return false
	}
	update := directoryUpdate{changes: changes, position: n.Directory, confirmedAt: checkedAt - n.DirectoryAge, done: make(chan struct{})}
	select {
	case f.updates <- update:
	case <-ctx.Done():
		return false
	}
	<-update.done
	return n.DirectoryAge < f.maxAge && n.Directory.Era() >= f.position().Era()
}

// applyUpdate applies what a relay reports. Entries that vanished while the store was
// silent are suspected, as after an answer of the store. An update for an earlier position
// than this VM has read confirms nothing and is ignored.
func (f *directoryFollower) applyUpdate(update directoryUpdate, now time.Duration) {
	defer close(update.done)
	if update.position < f.position() {
		return
	}
	if update.confirmedAt > f.silentSince {
		f.endOutage(now)
	}
	f.applyRead(update.changes, update.position, &directoryRead{requestedAt: update.confirmedAt, cause: "relay", ageBefore: f.stalenessAt(now)}, now)
}
