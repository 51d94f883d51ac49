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
	// listenerCloseMargin is how long before the end the listener closes in any case: hardly
	// any request could still be served, and a client whose connection is refused knows that
	// its request has not run.
	listenerCloseMargin = 800 * time.Millisecond
	// latePoll is the time between two polls from which the process may have been suspended.
	latePoll = 3 * idlePollInterval
	// shutdownMargin is how long after the end, at which all answers have ended or were broken
	// off, the connections may take to close.
	shutdownMargin = 150 * time.Millisecond
)

// closeCheck decides when a stopping VM closes its listener.
type closeCheck struct {
	// polledAt is the time of the last poll.
	polledAt time.Duration
}

// mayClose reports whether the listener may close at now: when requests no longer come, and in any case when
// left, the time until the end, is short. After a late poll it may not: a process that was suspended has yet
// to answer the connections that were opened meanwhile, which the close would reset.
func (c *closeCheck) mayClose(now, left, lastRequest time.Duration, open int64) bool {
	late := now-c.polledAt >= latePoll
	c.polledAt = now
	if left <= 0 {
		return true
	}
	return !late && (left <= listenerCloseMargin || open == 0 && now-lastRequest >= idlePeriod)
}

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
	check := closeCheck{polledAt: bootclock.Now()}
	for !check.mayClose(bootclock.Now(), time.Until(end), time.Duration(g.lastRequest.Load()), g.openRequests.Load()) {
		time.Sleep(idlePollInterval)
	}
	ctx, cancel = context.WithDeadline(context.Background(), end.Add(shutdownMargin))
	defer cancel()
	// Shutdown answers the requests that were read, also on the connections opened last.
	if err := g.callers.Shutdown(ctx); err != nil {
		remaining := g.handler.RecordCut()
		g.events.Record(event.StopForced, timeline.Fields{"reason": err.Error(), "cut": strconv.Itoa(remaining)})
	}
}
