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
type told struct {
	changes  roster.Changes
	position relay.Position
	asked    time.Duration
	done     chan struct{}
}

// Learn takes over what a relay tells that looked at a time, and reports whether that is
// of use: a relay that was cut off itself knows less than the store would tell.
func (f *directoryFollower) Learn(ctx context.Context, n *relay.News, looked time.Duration) bool {
	if n.DirectoryAge == relay.UnknownAge {
		return false
	}
	changes, err := n.Changes()
	if err != nil {
		f.Events.Record(event.GatewayFault, timeline.Fields{"reason": "directory of a relay: " + err.Error()})
		return false
	}
	t := told{changes: changes, position: n.Directory, asked: looked - n.DirectoryAge, done: make(chan struct{})}
	select {
	case f.news <- t:
	case <-ctx.Done():
		return false
	}
	<-t.done
	return n.DirectoryAge < f.most
}

// learn takes over what a relay tells. Entries that vanished while the store answered
// nothing are doubted as after an answer of the store. What is told of an earlier
// position than this VM has read proves nothing.
func (f *directoryFollower) learn(t told, now time.Duration) {
	defer close(t.done)
	if t.position < f.position() {
		return
	}
	if t.asked > f.silent {
		f.endOutage(now)
	}
	f.read(t.changes, t.position, &question{asked: t.asked, cause: "relay", before: f.age(now)}, now)
}
