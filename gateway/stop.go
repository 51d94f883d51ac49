package gateway

import (
	"context"
	"strconv"
	"time"

	"toucanfall/event"
	"toucanfall/internal/bootclock"
	"toucanfall/serving"
	"toucanfall/timeline"
)

// Times of a planned stop.
const (
	// notReadyPeriod is how long after SIGTERM the VM serves as before but reports not
	// ready: two failed readiness checks take it out of the load balancer.
	notReadyPeriod = 3 * time.Second
	// leaveTimeout bounds the calls that release the leadership and the partitions.
	leaveTimeout = 600 * time.Millisecond
	// killMargin is how long before it would be killed the process ends.
	killMargin       = 400 * time.Millisecond
	idlePollInterval = 50 * time.Millisecond
	// idlePeriod is how long no request must have arrived before the process ends: the load
	// balancer still sends connections to VMs that are not ready while too few others are
	// ready.
	idlePeriod = 800 * time.Millisecond
	// listenerCloseMargin is how long before the end the listener closes in any case. A
	// connection that is being opened at that moment gets no answer, so the process ends
	// soon after.
	listenerCloseMargin = 150 * time.Millisecond
)

// stop ends the gateway without interrupting requests that finish before the process has to
// end.
func (g *Gateway) stop() {
	end := time.Now().Add(time.Duration(g.cfg.StopWithin) - killMargin)
	g.stopAt.Store(&end)
	g.events.Record(event.StopRequested, nil)
	unanswered := time.AfterFunc(time.Until(end.Add(-serving.UnansweredLead)), g.handler.EndUnanswered)
	defer unanswered.Stop()
	cut := time.AfterFunc(time.Until(end.Add(-serving.CutLead)), g.handler.CutAnswers)
	defer cut.Stop()
	time.Sleep(notReadyPeriod)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	g.rates.Leave(ctx)
	if err := g.membership.Leave(ctx); err != nil {
		g.events.Record(event.JoinFailed, timeline.Fields{"reason": "leave: " + err.Error()})
	}
	cancel()
	g.callers.SetKeepAlivesEnabled(false)
	for time.Until(end) > listenerCloseMargin && (g.openRequests.Load() > 0 || bootclock.Now()-time.Duration(g.lastRequest.Load()) < idlePeriod) {
		time.Sleep(idlePollInterval)
	}
	ctx, cancel = context.WithDeadline(context.Background(), end)
	defer cancel()
	// Shutdown answers the requests that were read, also on the connections opened last.
	if err := g.callers.Shutdown(ctx); err != nil {
		remaining := g.handler.RecordCut()
		g.events.Record(event.StopForced, timeline.Fields{"reason": err.Error(), "cut": strconv.Itoa(remaining)})
	}
}
