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
type PermitSource interface {
	// Permit returns a permit for one request, or after which time there may be one.
	Permit(ctx context.Context, r shares.PermitRequest) (*shares.Permit, time.Duration)
}

// maxDenied is how many upstreams that deny a call are passed over without a pause.
const maxDenied = 8

// admit gets the permit that an upstream needs which names its intake. Without one the
// upstream is shut to this VM for a time.
func (t *tries) admit(ctx context.Context, u *roster.Upstream) (*attempt, error) {
	a := &attempt{u: u, from: t.out.resumeAt(t.c)}
	now := time.Now()
	s := u.NoticeStatus(now)
	if !s.Limited {
		return a, nil
	}
	permit, after := t.h.cfg.Permits.Permit(ctx, shares.PermitRequest{
		Upstream: u.ID, StartTime: u.StartTime(), Intake: s.Intake, Age: now.Sub(s.AnnouncedAt),
		Claimant: shares.Claimant{Rank: t.c.Priority, Team: t.c.Team},
	})
	t.h.cfg.Metrics.Permit(permit != nil)
	if permit == nil {
		u.DenyUntil(time.Now().Add(after))
		return nil, fault.New(fault.Overloaded, "upstream %q takes %g requests a second, and none of them now", u.ID, float64(s.Intake)).WithRetryAfter(after)
	}
	a.permit = permit
	return a, nil
}

// permitted returns an error if an upstream that was chosen may get no request by what it has
// said of itself since.
func (a *attempt) permitted() error {
	u := a.u
	s := u.NoticeStatus(time.Now())
	switch {
	case !s.WaitUntil.IsZero():
		return fmt.Errorf("upstream %q takes nothing for %s", u.ID, time.Until(s.WaitUntil).Round(time.Millisecond))
	case a.permit != nil && !a.permit.Valid():
		return fmt.Errorf("the permit for upstream %q has run out", u.ID)
	case a.permit == nil && s.Limited:
		return fmt.Errorf("upstream %q has named its intake", u.ID)
	}
	return nil
}

// unserved is the answer where no upstream can be chosen: if some only take nothing now, the
// caller is told when the first of them may again.
func (t *tries) unserved() error {
	after := t.reopens()
	if after == 0 {
		return fault.New(fault.NoUpstream, "no upstream of service %q holds model %q", t.service, t.c.Model).WithRetryAfter(loadRetry)
	}
	return fault.New(fault.Overloaded, "the upstreams of service %q that could serve the request take nothing more now", t.service).WithRetryAfter(after)
}

// reopens returns after which time the first upstream takes requests again of those that
// could serve the call and take nothing now, 0 if there are none.
func (t *tries) reopens() time.Duration {
	now := time.Now()
	var first time.Time
	for _, u := range t.h.pick.shut(t.service, t.c) {
		if until := u.ClosedUntil(now); first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return 0
	}
	return max(first.Sub(now), minComeBack)
}

// turnedAway is the error for a call that an upstream has turned away: the caller is told to
// come back at once if there are others.
func (t *tries) turnedAway(a *attempt) *fault.Error {
	err := fault.New(fault.Overloaded, "upstream %q took no request: status %d", a.u.ID, a.got.Status)
	if t.h.cfg.Wire.ReadNotice(a.got.Status, a.got.Header).Notice.Wait == 0 {
		return err
	}
	if len(t.h.pick.Candidates(t.service, t.c, t.unreachable)) > 0 {
		return err.WithRetryAfter(minComeBack)
	}
	return err.WithRetryAfter(max(t.reopens(), minComeBack))
}

// minComeBack is the least time after which a caller is told to come back.
const minComeBack = 50 * time.Millisecond
