package serving

import (
	"context"
	"errors"
	"fmt"
	"time"

	"toucanfall/fault"
	"toucanfall/ratelimit"
	"toucanfall/roster"
)

// PermitSource grants permits for upstreams that announce a request rate limit. The limit is
// shared by all VMs.
type PermitSource interface {
	// Permit returns a permit for one request. If none is available it returns nil and the
	// time after which to ask again.
	Permit(ctx context.Context, r ratelimit.PermitRequest) (*ratelimit.Permit, time.Duration)
}

// maxPermitDenials is how many times a call may be denied a permit before it pauses after each
// denial.
const maxPermitDenials = 8

// acquirePermit prepares an attempt at an upstream, with a permit if the upstream announces a
// request rate limit or is cold. If no permit is available, the upstream is closed to this VM until the
// retry-after time, and the error is fault.Overloaded.
func (t *attempts) acquirePermit(ctx context.Context, u *roster.Upstream) (*attempt, error) {
	a := &attempt{u: u, lastEvent: t.out.resumeEventID(t.c)}
	now := time.Now()
	s := u.NoticeStatus(now)
	if !s.Limited {
		return a, nil
	}
	permit, after := t.h.cfg.Permits.Permit(ctx, t.permitRequest(u, s, now))
	t.h.cfg.Metrics.Permit(permit != nil)
	if permit == nil {
		u.DenyUntil(time.Now().Add(after))
		return nil, fault.New(fault.Overloaded, "upstream %q takes %g requests a second, and none of them now", u.ID, float64(s.Intake)).WithRetryAfter(after)
	}
	a.permit = permit
	return a, nil
}

// permitRequest returns the request for a permit for an upstream with the given status.
func (t *attempts) permitRequest(u *roster.Upstream, s roster.NoticeStatus, now time.Time) ratelimit.PermitRequest {
	r := ratelimit.PermitRequest{
		Upstream: u.ID, StartTime: u.StartTime(), Intake: s.Announced, Age: now.Sub(s.AnnouncedAt),
		Claimant: ratelimit.Claimant{Rank: t.c.Priority, Team: t.c.Team},
	}
	if s.ColdIntake > 0 {
		r.Cold, r.ColdFor = s.ColdIntake, s.ColdUntil.Sub(now)
	}
	if s.AnnouncedAt.IsZero() {
		r.Intake, r.Age, r.OnlyCold = s.ColdIntake, 0, true
	}
	return r
}

// checkNotice returns an error if the upstream must not get the request because of what it
// has announced since it was chosen.
func (a *attempt) checkNotice() error {
	u := a.u
	s := u.NoticeStatus(time.Now())
	switch {
	case !s.WaitUntil.IsZero():
		return fmt.Errorf("upstream %q is closed to this VM for %s", u.ID, time.Until(s.WaitUntil).Round(time.Millisecond))
	case a.permit != nil && !a.permit.Valid():
		return fmt.Errorf("the permit for upstream %q has expired", u.ID)
	case a.permit == nil && s.Limited:
		return fmt.Errorf("upstream %q now announces a request rate limit or is cold", u.ID)
	}
	return nil
}

// errExcluded is the cause of the error for a call that no upstream may get. Such a call is rejected at
// once, because waiting would not help.
var errExcluded = errors.New("in evacuated data centres or in regions that it does not allow")

// noUpstreamError returns the error for a call for which no upstream can be chosen. If suitable
// upstreams are only closed for a time, the error says when the first of them reopens.
func (t *attempts) noUpstreamError() error {
	if all, others := t.h.picker.excluded(t.service, t.c); all {
		err := fault.New(fault.NoUpstream, "all upstreams of service %q that could serve the request are %w", t.service, errExcluded)
		if others {
			return err.WithRetryAfter(modelLoadRetryAfter)
		}
		return err
	}
	after := t.earliestRetry()
	if after == 0 {
		return fault.New(fault.NoUpstream, "no upstream of service %q holds model %q", t.service, t.c.Model).WithRetryAfter(modelLoadRetryAfter)
	}
	return fault.New(fault.Overloaded, "the upstreams of service %q that could serve the request take nothing more now", t.service).WithRetryAfter(after)
}

// earliestRetry returns the time until the first of the upstreams that could serve the call,
// but are closed now, takes requests again. It returns 0 if there are none.
func (t *attempts) earliestRetry() time.Duration {
	now := time.Now()
	var first time.Time
	for _, u := range t.h.picker.closed(t.service, t.c) {
		if until := u.ClosedUntil(now); first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return 0
	}
	return max(first.Sub(now), minRetryAfter)
}

// rejectedError returns the error for a call that an upstream has rejected. If the upstream
// asked to wait, the error has a retry-after time: minRetryAfter if other upstreams can serve
// the call, or else the time until the first one reopens.
func (t *attempts) rejectedError(a *attempt) *fault.Error {
	err := fault.New(fault.Overloaded, "upstream %q took no request: status %d", a.u.ID, a.resp.Status)
	if t.h.cfg.Wire.ReadNotice(a.resp.Status, a.resp.Header).Notice.Wait == 0 {
		return err
	}
	if len(t.h.picker.Candidates(t.service, t.c, t.unreachable)) > 0 {
		return err.WithRetryAfter(minRetryAfter)
	}
	return err.WithRetryAfter(max(t.earliestRetry(), minRetryAfter))
}

// minRetryAfter is the shortest retry-after time that callers get.
const minRetryAfter = 50 * time.Millisecond
