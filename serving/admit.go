package serving

import (
	"context"
	"fmt"
	"time"

	"toucanfall/fault"
	"toucanfall/roster"
	"toucanfall/shares"
)

// Intakes shares out over the fleet what upstreams take that name their intake.
type Intakes interface {
	// Permit returns a permit for one request, or after which time there may be one.
	Permit(ctx context.Context, r shares.PermitRequest) (*shares.Permit, time.Duration)
}

// maxDenied is how many upstreams that deny a call are passed over without a pause.
const maxPermitDenials = 8

// admit gets the permit that an upstream needs which names its intake. Without one the
// upstream is shut to this VM for a time.
func (t *attempts) acquirePermit(ctx context.Context, u *roster.Upstream) (*attempt, error) {
	a := &attempt{u: u, lastEvent: t.out.resumeEventID(t.c)}
	now := time.Now()
	s := u.Standing(now)
	if !s.Limited {
		return a, nil
	}
	permit, after := t.h.cfg.Intakes.Permit(ctx, shares.PermitRequest{
		Upstream: u.ID, Born: u.Born(), Intake: s.Intake, Age: now.Sub(s.Named),
		Claimant: shares.Claimant{Rank: t.c.Priority, Team: t.c.Team},
	})
	t.h.cfg.Metrics.Permit(permit != nil)
	if permit == nil {
		u.Deny(time.Now().Add(after))
		return nil, fault.New(fault.Overloaded, "upstream %q takes %g requests a second, and none of them now", u.ID, float64(s.Intake)).After(after)
	}
	a.permit = permit
	return a, nil
}

// permitted returns an error if an upstream that was chosen may get no request by what it has
// said of itself since.
func (a *attempt) checkNotice() error {
	u := a.u
	s := u.Standing(time.Now())
	switch {
	case !s.Until.IsZero():
		return fmt.Errorf("upstream %q takes nothing for %s", u.ID, time.Until(s.Until).Round(time.Millisecond))
	case a.permit != nil && !a.permit.Valid():
		return fmt.Errorf("the permit for upstream %q has run out", u.ID)
	case a.permit == nil && s.Limited:
		return fmt.Errorf("upstream %q has named its intake", u.ID)
	}
	return nil
}

// unserved is the answer where no upstream can be chosen: if some only take nothing now, the
// caller is told when the first of them may again.
func (t *attempts) noUpstreamError() error {
	after := t.earliestRetry()
	if after == 0 {
		return fault.New(fault.NoUpstream, "no upstream of service %q holds model %q", t.service, t.c.Model).After(modelLoadRetryAfter)
	}
	return fault.New(fault.Overloaded, "the upstreams of service %q that could serve the request take nothing more now", t.service).After(after)
}

// reopens returns after which time the first upstream takes requests again of those that
// could serve the call and take nothing now, 0 if there are none.
func (t *attempts) earliestRetry() time.Duration {
	now := time.Now()
	var first time.Time
	for _, u := range t.h.picker.closed(t.service, t.c) {
		if until := u.Shut(now); first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return 0
	}
	return max(first.Sub(now), minRetryAfter)
}

// turnedAway is the error for a call that an upstream has turned away: the caller is told to
// come back at once if there are others.
func (t *attempts) rejectedError(a *attempt) *fault.Error {
	err := fault.New(fault.Overloaded, "upstream %q took no request: status %d", a.u.ID, a.resp.Status)
	if t.h.cfg.Wire.ReadSaid(a.resp.Status, a.resp.Header).Notice.Wait == 0 {
		return err
	}
	if len(t.h.picker.Candidates(t.service, t.c, t.unreachable)) > 0 {
		return err.After(minRetryAfter)
	}
	return err.After(max(t.earliestRetry(), minRetryAfter))
}

// minComeBack is the least time after which a caller is told to come back.
const minRetryAfter = 50 * time.Millisecond
