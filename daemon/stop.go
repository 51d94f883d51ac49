package daemon

import (
	"context"
	"os"
	"strconv"
	"syscall"
	"time"

	"toucanfall/event"
	"toucanfall/timeline"
)

// Signals are the signals that ask for a planned stop.
var StopSignals = []os.Signal{syscall.SIGTERM, syscall.SIGINT}

// closeTimeout bounds the end of a planned stop, after the last request was
// answered.
const closeTimeout = 10 * time.Second

// awaitStop waits for a signal and then lets open requests end. New requests
// are served until the balancer has had time to notice. A second signal ends
// the process at once.
func (d *Daemon) awaitStop(signals <-chan os.Signal, stop <-chan struct{}) error {
	select {
	case <-signals:
	case <-stop:
		return nil
	}
	d.leaving.Store(true)
	d.rec.Record(event.StopRequested, nil)
	drained := make(chan error, 1)
	go func() { drained <- d.drain() }()
	select {
	case err := <-drained:
		d.rec.Record(event.ProcessStopped, timeline.Fields{"cut": "0"})
		return err
	case <-signals:
		d.rec.Record(event.StopForced, timeline.Fields{"cut": strconv.FormatInt(d.entry.InFlight(), 10)})
		return nil
	}
}

// drain serves until the balancer has moved on and the last request was
// answered, and then stores what is left of outcomes. Callers' requests end by
// their own deadlines.
func (d *Daemon) drain() error {
	time.Sleep(time.Duration(d.cfg.StopAfter))
	if err := d.callers.Shutdown(context.Background()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	d.booker.Drain(ctx)
	d.rates.leave(ctx)
	return d.operators.Shutdown(ctx)
}
