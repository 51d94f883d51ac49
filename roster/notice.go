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
type NoticeStatus struct {
	Leaving bool
	Limited bool
	Intake  Intake
	// Named is when the intake was named last.
	AnnouncedAt time.Time
	// Until is when the upstream takes requests of this VM again, the zero time if it
	// takes them.
	WaitUntil time.Time
}

// Bounds of how long a named intake holds without being named again.
const (
	// intakeSilence is for how long at least no answer must have named the intake before
	// an answer without it ends it: an upstream may leave it out of some answers.
	intakeSilence = 5 * time.Second
	// intakeAnswers is how many answers at the named rate must have been due meanwhile.
	intakeAnswers = 3
	// intakeLife is how long an intake holds that no answer confirms or ends.
	intakeLife = 30 * time.Second
)

// said is what the notices of one start of an upstream amount to.
type said struct {
	leaving bool
	limited bool
	intake  Intake
	// named is when the last answer came that told of the intake, or of its end.
	named time.Time
	// event is another number whenever other VMs are to hear of what was said, noted is when
	// it was last drawn.
	event uint64
	noted time.Time
	// until is the end of the longest wait. Turned is set until an answer after that does not
	// ask for another one.
	until  time.Time
	turned bool
	// denied is until when this VM gets no permit to send within the named intake.
	denied time.Time
}

// Hear takes over the notice of an answer, and returns what held before and what holds now.
// Served tells that the answer was a success: only such an answer ends an intake by not
// naming it.
func (u *Upstream) ApplyNotice(n Notice, served bool, now time.Time) (before, after NoticeStatus) {
	u.mu.Lock()
	defer u.mu.Unlock()
	before = u.said.standing(now)
	u.said.hear(n, served, now)
	return before, u.said.standing(now)
}

// Deny notes that this VM gets no permit to send within the named intake until a time.
func (u *Upstream) DenyUntil(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.said.denied = until
}

// Shut returns until when the upstream takes nothing from this VM, the zero time if it does.
func (u *Upstream) ClosedUntil(now time.Time) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	until := u.said.shut(now)
	if until.IsZero() && u.said.turned && u.inFlight > 0 {
		return now.Add(tryPause)
	}
	return until
}

// Bounds of the return to an upstream that has turned this VM away.
const (
	// returnPart is over which part of the wait VMs spread their return.
	returnPart = 5
	// tryPause is for how long the next request waits while the first one tries whether the
	// upstream takes requests again.
	tryPause = 100 * time.Millisecond
)

func (s *said) shut(now time.Time) time.Time {
	if now.Before(s.until) {
		return s.until
	}
	if s.standing(now).Limited && now.Before(s.denied) {
		return s.denied
	}
	return time.Time{}
}

// Standing returns what the upstream's notices amount to.
func (u *Upstream) NoticeStatus(now time.Time) NoticeStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.said.standing(now)
}

func (s *said) hear(n Notice, served bool, now time.Time) {
	if n.Leaving && !s.leaving {
		s.leaving = true
		s.note(now)
	}
	if n.Wait > 0 {
		s.turned = true
		// VMs that were turned away together come back one after the other.
		if until := now.Add(n.Wait + rand.N(n.Wait/returnPart+1)); until.After(s.until) {
			s.until = until
		}
	} else if !now.Before(s.until) {
		s.turned = false
	}
	switch {
	case n.Limited:
		if !s.limited || s.intake != n.Intake || now.Sub(s.noted) >= noteEvery {
			s.note(now)
		}
		s.limited, s.intake, s.named = true, n.Intake, now
	case s.limited && served && now.Sub(s.named) >= s.silence():
		s.limited, s.named = false, now
		s.note(now)
	}
}

// noteEvery is how often other VMs hear that an intake is still named.
const noteEvery = 2 * time.Second

func (s *said) note(now time.Time) {
	s.event, s.noted = rand.Uint64(), now
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
func (u *Upstream) SharedNotice(now time.Time) (Word, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := &u.said
	w := Word{Upstream: u.ID, Born: u.entry.Born, Leaving: s.leaving, Limited: s.limited, Intake: s.intake, Event: s.event}
	if !s.named.IsZero() {
		w.Age = now.Sub(s.named)
	}
	return w, s.event != 0
}

// Learn takes over what other VMs have heard, as of a time, and returns the words that
// changed what an upstream's notices amount to.
func (r *Roster) ApplySharedNotices(words []Word, now time.Time) []Word {
	return slices.DeleteFunc(slices.Clone(words), func(w Word) bool {
		u, ok := r.Get(w.Upstream)
		return !ok || u.StartTime() != w.Born || w.Check() != nil || !u.learn(w, now)
	})
}

// learn takes over a word, and reports whether it changed what the notices amount to.
func (u *Upstream) learn(w Word, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	before := u.said.standing(now)
	u.said.learn(w, now)
	after := u.said.standing(now)
	return before.Leaving != after.Leaving || before.Limited != after.Limited || before.Intake != after.Intake
}

func (s *said) learn(w Word, now time.Time) {
	known := w.Event == s.event
	if w.Leaving && !s.leaving {
		s.leaving, s.event = true, w.Event
	}
	if at := now.Add(-w.Age); !known && at.After(s.named) && (w.Limited || s.limited) {
		s.limited, s.intake, s.named, s.event, s.noted = w.Limited, w.Intake, at, w.Event, now
	}
}

// silence returns for how long no answer must have named the intake before one without it
// ends it.
func (s *said) silence() time.Duration {
	due := float64(intakeAnswers) / max(float64(s.intake), intakeAnswers/intakeLife.Seconds())
	return max(time.Duration(due*float64(time.Second)), intakeSilence)
}

func (s *said) standing(now time.Time) NoticeStatus {
	out := NoticeStatus{Leaving: s.leaving}
	if s.limited && now.Sub(s.named) < intakeLife+s.silence() {
		out.Limited, out.Intake, out.AnnouncedAt = true, s.intake, s.named
	}
	if now.Before(s.until) {
		out.WaitUntil = s.until
	}
	return out
}
