package daemon

import (
	"context"
	"time"

	"github.com/oklog/run"

	"toucanfall/event"
	"toucanfall/internal/loop"
)

// readyPoll is how often a starting VM looks whether it is ready.
const readyPollInterval = 100 * time.Millisecond

// addReadyEvent records when the VM becomes ready for the first time.
func (d *Daemon) addReadyEvent(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(
		func() error {
			recorded := false
			loop.Every(ctx, readyPollInterval, func(context.Context) {
				if !recorded && d.ready() == nil {
					recorded = true
					d.rec.Record(event.ProcessReady, nil)
				}
			})
			return nil
		},
		func(error) { cancel() },
	)
}
