package daemon

import (
	"context"
	"time"

	"github.com/oklog/run"

	"toucanfall/event"
	"toucanfall/internal/loop"
)

// readyPollInterval is how often a VM checks whether it has become ready.
const readyPollInterval = 100 * time.Millisecond

// addReadyEvent adds an actor that records an event when the VM becomes ready
// for the first time.
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
