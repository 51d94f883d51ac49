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

// StopSignals are the signals that request a graceful shutdown.
var StopSignals = []os.Signal{syscall.SIGTERM, syscall.SIGINT}

// closeTimeout bounds the part of a graceful shutdown that follows the last
// answered request.
const closeTimeout = 10 * time.Second

// waitForStop waits for a signal and then drains the VM. It returns when the VM
// is drained, when a second signal forces the stop, or when stop is closed.
func (d *Daemon) waitForStop(signals <-chan os.Signal, stop <-chan struct{}) error {
	select {
	case <-signals:
	case <-stop:
		return nil
	}
	d.draining.Store(true)
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

// drain keeps serving for StopAfter, so that the load balancer can stop sending
// requests, and waits for open requests, which are bounded by their own
// deadlines. It then stores pending booking outcomes and releases the VM's
// share of the rate limits.
func (d *Daemon) drain() error {
	time.Sleep(time.Duration(d.cfg.StopAfter))
	if err := d.callers.Shutdown(context.Background()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	d.booker.Drain(ctx)
	d.rates.releaseShare(ctx)
	return d.operators.Shutdown(ctx)
}
