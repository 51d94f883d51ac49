package daemon

import (
	"context"
	"time"

	"github.com/oklog/run"

	"toucanfall/event"
	"toucanfall/internal/loop"
)

// readyPoll is how often a starting VM looks whether it is ready.
const readyPoll = 100 * time.Millisecond

// addReadyEvent records when the VM becomes ready for the first time.
func (d *Daemon) addReadyEvent(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(
		func() error {
			seen := false
			loop.Every(ctx, readyPoll, func(context.Context) {
				if !seen && d.ready() == nil {
					seen = true
					d.rec.Record(event.ProcessReady, nil)
				}
			})
			return nil
		},
		func(error) { cancel() },
	)
}
