package gateway

import (
	"context"
	"time"

	"toucanfall/event"
	"toucanfall/relay"
	"toucanfall/roster"
	"toucanfall/timeline"
)

// told is what a relay tells of the directory up to a position, as it was proved by a
// question of the time asked. Done is closed once it is taken over.
type directoryUpdate struct {
	changes     roster.Changes
	position    relay.Position
	confirmedAt time.Duration
	done        chan struct{}
}

// Learn takes over what a relay tells that looked at a time, and reports whether that is
// of use: a relay that was cut off itself knows less than the store would tell.
func (f *directoryFollower) ApplyNews(ctx context.Context, n *relay.News, checkedAt time.Duration) bool {
	if n.DirectoryAge == relay.Unknown {
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
	return n.DirectoryAge < f.maxAge
}

// learn takes over what a relay tells. Entries that vanished while the store answered
// nothing are doubted as after an answer of the store. What is told of an earlier
// position than this VM has read proves nothing.
func (f *directoryFollower) applyUpdate(update directoryUpdate, now time.Duration) {
	defer close(update.done)
	if update.position < f.position() {
		return
	}
	if update.confirmedAt > f.silentSince {
		f.endOutage(now)
	}
	f.applyRead(update.changes, update.position, &directoryRead{requestedAt: update.confirmedAt, cause: "relay", ageBefore: f.age(now)}, now)
}
