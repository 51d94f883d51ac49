package gateway

import (
	"context"
	"time"

	"toucanfall/event"
	"toucanfall/internal/bootclock"
	"toucanfall/timeline"
)

// Times of a planned stop.
const (
	// handOver is how long after SIGTERM the VM goes on as before, but not
	// ready: two questions for readiness without a good answer take it out.
	notReadyPeriod = 3 * time.Second
	// leaveTimeout bounds the calls that give duty and parts back.
	leaveTimeout = 600 * time.Millisecond
	// endMargin is how long before the process would be killed it ends.
	killMargin       = 400 * time.Millisecond
	idlePollInterval = 50 * time.Millisecond
	// quiet is how long no request must have come before the process ends: the
	// balancer sends connections to VMs that are not ready while too few others
	// are.
	idlePeriod = 800 * time.Millisecond
	// closing is how long before the end the listener closes in any case. A
	// connection that is being opened just then is answered by nobody, so the
	// process ends soon after.
	listenerCloseMargin = 150 * time.Millisecond
)

// stop ends the gateway without cutting requests that can still end by
// themselves.
func (g *Gateway) stop() {
	end := time.Now().Add(time.Duration(g.cfg.StopWithin) - killMargin)
	g.stopAt.Store(&end)
	g.events.Record(event.StopRequested, nil)
	time.Sleep(notReadyPeriod)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	g.rates.Leave(ctx)
	if err := g.crew.Leave(ctx); err != nil {
		g.events.Record(event.JoinFailed, timeline.Fields{"reason": "leave: " + err.Error()})
	}
	cancel()
	g.callers.SetKeepAlivesEnabled(false)
	for time.Until(end) > listenerCloseMargin && (g.openRequests.Load() > 0 || bootclock.Now()-time.Duration(g.lastRequest.Load()) < idlePeriod) {
		time.Sleep(idlePollInterval)
	}
	ctx, cancel = context.WithDeadline(context.Background(), end)
	defer cancel()
	// Shutdown answers what was read, also on connections that came last.
	if err := g.callers.Shutdown(ctx); err != nil {
		g.events.Record(event.StopForced, timeline.Fields{"reason": err.Error()})
	}
}
