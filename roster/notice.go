package roster

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"toucanfall/fleet"
)

// Intake is a request rate limit in requests per second, for all VMs together.
type Intake float64

// String returns the limit as a decimal number without a unit.
func (i Intake) String() string {
	return strconv.FormatFloat(float64(i), 'g', -1, 64)
}

// Valid reports whether the limit is a finite number that is not negative. Messages of other VMs
// may hold any bits.
func (i Intake) Valid() bool {
	return i >= 0 && !math.IsInf(float64(i), 0)
}

// Notice is what an upstream announces about itself in the headers of an answer.
type Notice struct {
	// Leaving is set if the upstream is about to stop.
	Leaving bool
	// Intake is the announced limit for all VMs together; it is valid if Limited is set.
	Limited bool
	Intake  Intake
	// Wait is how long this VM must send no more requests, 0 if the upstream does not ask to wait.
	Wait time.Duration
	// Cold is for how long the upstream stays cold, 0 if it announces nothing.
	Cold time.Duration
}

// NoticeStatus is the combined effect of an upstream's notices at one time, and of its being cold.
type NoticeStatus struct {
	Leaving bool
	// Limited is set if the upstream announces a limit or is cold. Intake is the lowest limit that
	// applies.
	Limited bool
	Intake  Intake
	// AnnouncedAt is when the limit Announced was last announced, the zero time if there is none.
	AnnouncedAt time.Time
	Announced   Intake
	// ColdIntake is the limit while the upstream is cold, 0 if it is not. ColdUntil is when it ends.
	ColdIntake Intake
	ColdUntil  time.Time
	// WaitUntil is the end of the longest wait that the upstream asked for, the zero time if none
	// is pending.
	WaitUntil time.Time
}

// Rules for how long an announced limit applies without being announced again.
const (
	// minLimitSilence is the least time since the last announcement after which an answer
	// without the limit ends it: an upstream may leave it out of some answers.
	minLimitSilence = 5 * time.Second
	// limitAnswers is how many answers, at the announced rate, must have been due in that time.
	limitAnswers = 3
	// limitLifetime is how long a limit still applies after the required silence if no answer
	// announces it again or ends it.
	limitLifetime = 30 * time.Second
)

// noticeState is the state from the notices of one start of an upstream. It is guarded by
// Upstream.mu.
type noticeState struct {
	leaving bool
	limited bool
	limit   Intake
	// announcedAt is when the last answer was received that announced the limit or ended it.
	announcedAt time.Time
	// eventID identifies the last change that is shared with other VMs, 0 if there is none. It is
	// a new random number for each change, and noticeRefreshInterval after the last one for a limit
	// that is still announced. eventAt is when this VM drew it, or received it with a shared limit.
	eventID uint64
	eventAt time.Time
	// waitUntil is the end of the longest wait. probing is set from a wait until a later answer
	// does not ask to wait.
	waitUntil time.Time
	probing   bool
	// deniedUntil is until when this VM gets no permit for the announced limit.
	deniedUntil time.Time
}

// ApplyNotice applies the notice of an answer, and returns the status before and after it. served
// reports whether the answer was a success: only such an answer can end a limit by not announcing
// it.
func (u *Upstream) ApplyNotice(n Notice, served bool, now time.Time) (before, after NoticeStatus) {
	u.mu.Lock()
	defer u.mu.Unlock()
	before = u.status(now)
	u.notices.apply(n, served, now)
	if u.cold.extend(n.Cold, now) {
		u.cold.event = rand.Uint64()
	}
	return before, u.status(now)
}

// DenyUntil records that this VM gets no permit for the announced limit before the time until.
func (u *Upstream) DenyUntil(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.notices.deniedUntil = until
}

// ClosedUntil returns until when the upstream is closed to this VM, the zero time if it is open.
// After a wait it is closed to further requests while the first one is in flight.
func (u *Upstream) ClosedUntil(now time.Time) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	until := u.closedUntil(now)
	if until.IsZero() && u.notices.probing && u.inFlight > 0 {
		return now.Add(probeInterval)
	}
	return until
}

// Bounds of the return to an upstream that had asked this VM to wait.
const (
	// The random delay added to a wait is at most the wait divided by retryJitterDivisor.
	retryJitterDivisor = 5
	// probeInterval is how long the next request is delayed while the first one checks whether
	// the upstream accepts requests again.
	probeInterval = 100 * time.Millisecond
)

// closedUntil is ClosedUntil for a caller that holds mu, without the probe after a wait.
func (u *Upstream) closedUntil(now time.Time) time.Time {
	s := &u.notices
	if now.Before(s.waitUntil) {
		return s.waitUntil
	}
	if u.status(now).Limited && now.Before(s.deniedUntil) {
		return s.deniedUntil
	}
	return time.Time{}
}

// NoticeStatus returns the combined effect of the upstream's notices at the time now.
func (u *Upstream) NoticeStatus(now time.Time) NoticeStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.status(now)
}

// status is NoticeStatus for a caller that holds mu.
func (u *Upstream) status(now time.Time) NoticeStatus {
	out := u.notices.status(now)
	cold := u.cold.remaining(now)
	if cold == 0 {
		return out
	}
	out.ColdIntake, out.ColdUntil = u.cold.limit.Rate, now.Add(cold)
	if !out.Limited || out.ColdIntake < out.Intake {
		out.Limited, out.Intake = true, out.ColdIntake
	}
	return out
}

func (s *noticeState) apply(n Notice, served bool, now time.Time) {
	if n.Leaving && !s.leaving {
		s.leaving = true
		s.newEvent(now)
	}
	if n.Wait > 0 {
		s.probing = true
		// Jitter: VMs that were rejected together must not retry together.
		if until := now.Add(n.Wait + rand.N(n.Wait/retryJitterDivisor+1)); until.After(s.waitUntil) {
			s.waitUntil = until
		}
	} else if !now.Before(s.waitUntil) {
		s.probing = false
	}
	switch {
	case n.Limited:
		if !s.limited || s.limit != n.Intake || now.Sub(s.eventAt) >= noticeRefreshInterval {
			s.newEvent(now)
		}
		s.limited, s.limit, s.announcedAt = true, n.Intake, now
	case s.limited && served && now.Sub(s.announcedAt) >= s.requiredSilence():
		s.limited, s.announcedAt = false, now
		s.newEvent(now)
	}
}

// noticeRefreshInterval is how often other VMs are informed that a limit is still announced.
const noticeRefreshInterval = 2 * time.Second

func (s *noticeState) newEvent(now time.Time) {
	s.eventID, s.eventAt = rand.Uint64(), now
}

// Word is a shared notice: the notice of an upstream as one VM passes it on to others. Waits are
// left out, because they apply to one VM.
type Word struct {
	Upstream fleet.UpstreamID
	// Born identifies the start of the upstream, as in [Entry].
	Born    int64
	Leaving bool
	// Limited and Intake are from the answer that was received Age ago.
	Limited bool
	Intake  Intake
	Age     time.Duration
	// Cold is for how long the upstream stays cold, counted from the receipt of the notice; 0 if it
	// is not cold. ColdEvent is the same in all shared notices whose cold time stems from the same
	// answer, 0 if it stems from none. VMs of earlier versions neither send nor use them.
	Cold      time.Duration
	ColdEvent uint64
	// Event is the same in all shared notices that stem from the same answer, 0 if only the cold
	// time is shared.
	Event uint64
}

// Check returns an error if the age or the limit is not a possible value.
func (w *Word) Check() error {
	if w.Age < 0 || w.Cold < 0 || !w.Intake.Valid() {
		return fmt.Errorf("word of upstream %q: an age of %s, a cold time of %s and an intake of %g", w.Upstream, w.Age, w.Cold, w.Intake)
	}
	return nil
}

// noLimitAge is the age in a shared notice of a VM that knows of no limit. It is longer than any limit
// applies, so that the notice ends none on a VM of an earlier version.
const noLimitAge = time.Hour

// SharedNotice returns the upstream's notice for other VMs, and false if it has announced nothing.
func (u *Upstream) SharedNotice(now time.Time) (Word, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := &u.notices
	w := Word{Upstream: u.ID, Born: u.entry.Born, Leaving: s.leaving, Limited: s.limited, Intake: s.limit, Event: s.eventID}
	if !s.announcedAt.IsZero() {
		w.Age = now.Sub(s.announcedAt)
	} else if s.eventID == 0 {
		w.Age = noLimitAge
	}
	w.Cold, w.ColdEvent = max(u.cold.until.Sub(now), 0), u.cold.event
	return w, s.eventID != 0 || u.cold.event != 0
}

// ApplySharedNotices applies the shared notices of other VMs, whose ages refer to the time now, and
// returns those that changed an upstream's status. Notices of unknown upstreams, of another start
// or with impossible values are ignored.
func (r *Roster) ApplySharedNotices(notices []Word, now time.Time) []Word {
	return slices.DeleteFunc(slices.Clone(notices), func(w Word) bool {
		u, ok := r.Get(w.Upstream)
		return !ok || u.StartTime() != w.Born || w.Check() != nil || !u.merge(w, now)
	})
}

// merge applies a shared notice, and reports whether it changed the status.
func (u *Upstream) merge(w Word, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	before := u.status(now)
	u.notices.merge(w, now)
	// A cold time counts from its receipt, unlike the age of a limit: now may be when the notice was
	// requested.
	u.cold.merge(w.Cold, w.ColdEvent, time.Now())
	after := u.status(now)
	return before.Leaving != after.Leaving || before.Limited != after.Limited || before.Intake != after.Intake || (before.ColdIntake > 0) != (after.ColdIntake > 0)
}

func (s *noticeState) merge(w Word, now time.Time) {
	known := w.Event == s.eventID || w.Event == 0
	if w.Leaving && !s.leaving {
		s.leaving, s.eventID = true, w.Event
	}
	if at := now.Add(-w.Age); !known && at.After(s.announcedAt) && (w.Limited || s.limited) {
		s.limited, s.limit, s.announcedAt, s.eventID, s.eventAt = w.Limited, w.Intake, at, w.Event, now
	}
}

// requiredSilence returns the time since the last announcement after which an answer without the
// limit ends it. It lies between minLimitSilence and limitLifetime.
func (s *noticeState) requiredSilence() time.Duration {
	dueSeconds := float64(limitAnswers) / max(float64(s.limit), limitAnswers/limitLifetime.Seconds())
	return max(time.Duration(dueSeconds*float64(time.Second)), minLimitSilence)
}

func (s *noticeState) status(now time.Time) NoticeStatus {
	out := NoticeStatus{Leaving: s.leaving}
	if s.limited && now.Sub(s.announcedAt) < limitLifetime+s.requiredSilence() {
		out.Limited, out.Intake, out.Announced, out.AnnouncedAt = true, s.limit, s.limit, s.announcedAt
	}
	if now.Before(s.waitUntil) {
		out.WaitUntil = s.waitUntil
	}
	return out
}
