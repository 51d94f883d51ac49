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

// Intake is a number of requests a second.
type Intake float64

// String returns the number.
func (i Intake) String() string {
	return strconv.FormatFloat(float64(i), 'g', -1, 64)
}

// Valid reports whether there is such a number: messages of other VMs may hold any bits.
func (i Intake) Valid() bool {
	return i >= 0 && !math.IsInf(float64(i), 0)
}

// Notice is what an upstream says of itself in the head of an answer, beside the answer.
type Notice struct {
	// Leaving is set if the upstream is about to end.
	Leaving bool
	// Intake is what the upstream takes from all VMs together while Limited is set.
	Limited bool
	Intake  Intake
	// Wait is for how long the upstream wants nothing more from this VM.
	Wait time.Duration
}

// Standing is what an upstream's notices amount to at a moment.
type Standing struct {
	Leaving bool
	Limited bool
	Intake  Intake
	// Named is when the intake was named last.
	Named time.Time
	// Until is when the upstream takes requests of this VM again, the zero time if it
	// takes them.
	Until time.Time
}

// Bounds of how long a named intake holds without being named again.
const (
	// intakeSilence is for how long at least no answer must have named the intake before
	// an answer without it ends it: an upstream may leave it out of some answers.
	minLimitSilence = 5 * time.Second
	// intakeAnswers is how many answers at the named rate must have been due meanwhile.
	limitAnswers = 3
	// intakeLife is how long an intake holds that no answer confirms or ends.
	limitLifetime = 30 * time.Second
)

// said is what the notices of one start of an upstream amount to.
type noticeState struct {
	leaving bool
	limited bool
	limit   Intake
	// named is when the last answer came that told of the intake, or of its end.
	announcedAt time.Time
	// event is another number whenever other VMs are to hear of what was said, noted is when
	// it was last drawn.
	eventID uint64
	eventAt time.Time
	// until is the end of the longest wait. Turned is set until an answer after that does not
	// ask for another one.
	waitUntil time.Time
	probing   bool
	// denied is until when this VM gets no permit to send within the named intake.
	deniedUntil time.Time
}

// Hear takes over the notice of an answer, and returns what held before and what holds now.
// Served tells that the answer was a success: only such an answer ends an intake by not
// naming it.
func (u *Upstream) Hear(n Notice, served bool, now time.Time) (before, after Standing) {
	u.mu.Lock()
	defer u.mu.Unlock()
	before = u.notices.status(now)
	u.notices.apply(n, served, now)
	return before, u.notices.status(now)
}

// Deny notes that this VM gets no permit to send within the named intake until a time.
func (u *Upstream) Deny(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.notices.deniedUntil = until
}

// Shut returns until when the upstream takes nothing from this VM, the zero time if it does.
func (u *Upstream) Shut(now time.Time) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	until := u.notices.closedUntil(now)
	if until.IsZero() && u.notices.probing && u.inFlight > 0 {
		return now.Add(probeInterval)
	}
	return until
}

// Bounds of the return to an upstream that has turned this VM away.
const (
	// returnPart is over which part of the wait VMs spread their return.
	retryJitterDivisor = 5
	// tryPause is for how long the next request waits while the first one tries whether the
	// upstream takes requests again.
	probeInterval = 100 * time.Millisecond
)

func (s *noticeState) closedUntil(now time.Time) time.Time {
	if now.Before(s.waitUntil) {
		return s.waitUntil
	}
	if s.status(now).Limited && now.Before(s.deniedUntil) {
		return s.deniedUntil
	}
	return time.Time{}
}

// Standing returns what the upstream's notices amount to.
func (u *Upstream) Standing(now time.Time) Standing {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.notices.status(now)
}

func (s *noticeState) apply(n Notice, served bool, now time.Time) {
	if n.Leaving && !s.leaving {
		s.leaving = true
		s.newEvent(now)
	}
	if n.Wait > 0 {
		s.probing = true
		// VMs that were turned away together come back one after the other.
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

// noteEvery is how often other VMs hear that an intake is still named.
const noticeRefreshInterval = 2 * time.Second

func (s *noticeState) newEvent(now time.Time) {
	s.eventID, s.eventAt = rand.Uint64(), now
}

// Word is what one VM tells others of what an upstream has said. Waits are left out: they are
// for one VM.
type Word struct {
	Upstream fleet.UpstreamID
	Born     int64
	Leaving  bool
	// Limited and Intake are what the answer said that came Age ago.
	Limited bool
	Intake  Intake
	Age     time.Duration
	// Event is the same in all words that go back to the same answer.
	Event uint64
}

// Check returns an error if the word cannot be true.
func (w *Word) Check() error {
	if w.Age < 0 || !w.Intake.Valid() {
		return fmt.Errorf("word of upstream %q: an age of %s and an intake of %g", w.Upstream, w.Age, w.Intake)
	}
	return nil
}

// Word returns what other VMs are to hear of the upstream, false if it has said nothing.
func (u *Upstream) Word(now time.Time) (Word, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := &u.notices
	w := Word{Upstream: u.ID, Born: u.entry.Born, Leaving: s.leaving, Limited: s.limited, Intake: s.limit, Event: s.eventID}
	if !s.announcedAt.IsZero() {
		w.Age = now.Sub(s.announcedAt)
	}
	return w, s.eventID != 0
}

// Learn takes over what other VMs have heard, as of a time, and returns the words that
// changed what an upstream's notices amount to.
func (r *Roster) Learn(words []Word, now time.Time) []Word {
	return slices.DeleteFunc(slices.Clone(words), func(w Word) bool {
		u, ok := r.Get(w.Upstream)
		return !ok || u.Born() != w.Born || w.Check() != nil || !u.merge(w, now)
	})
}

// learn takes over a word, and reports whether it changed what the notices amount to.
func (u *Upstream) merge(w Word, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	before := u.notices.status(now)
	u.notices.merge(w, now)
	after := u.notices.status(now)
	return before.Leaving != after.Leaving || before.Limited != after.Limited || before.Intake != after.Intake
}

func (s *noticeState) merge(w Word, now time.Time) {
	known := w.Event == s.eventID
	if w.Leaving && !s.leaving {
		s.leaving, s.eventID = true, w.Event
	}
	if at := now.Add(-w.Age); !known && at.After(s.announcedAt) && (w.Limited || s.limited) {
		s.limited, s.limit, s.announcedAt, s.eventID, s.eventAt = w.Limited, w.Intake, at, w.Event, now
	}
}

// silence returns for how long no answer must have named the intake before one without it
// ends it.
func (s *noticeState) requiredSilence() time.Duration {
	dueSeconds := float64(limitAnswers) / max(float64(s.limit), limitAnswers/limitLifetime.Seconds())
	return max(time.Duration(dueSeconds*float64(time.Second)), minLimitSilence)
}

func (s *noticeState) status(now time.Time) Standing {
	out := Standing{Leaving: s.leaving}
	if s.limited && now.Sub(s.announcedAt) < limitLifetime+s.requiredSilence() {
		out.Limited, out.Intake, out.Named = true, s.limit, s.announcedAt
	}
	if now.Before(s.waitUntil) {
		out.Until = s.waitUntil
	}
	return out
}
