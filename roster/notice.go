package roster

import (
	"math/rand/v2"
	"time"
)

// Intake is a number of requests a second.
type Intake float64

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
func (u *Upstream) Hear(n Notice, served bool, now time.Time) (before, after Standing) {
	u.mu.Lock()
	defer u.mu.Unlock()
	before = u.said.standing(now)
	u.said.hear(n, served, now)
	return before, u.said.standing(now)
}

// Deny notes that this VM gets no permit to send within the named intake until a time.
func (u *Upstream) Deny(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.said.denied = until
}

// Shut returns until when the upstream takes nothing from this VM, the zero time if it does.
func (u *Upstream) Shut(now time.Time) time.Time {
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
func (u *Upstream) Standing(now time.Time) Standing {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.said.standing(now)
}

func (s *said) hear(n Notice, served bool, now time.Time) {
	s.leaving = s.leaving || n.Leaving
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
		s.limited, s.intake, s.named = true, n.Intake, now
	case s.limited && served && now.Sub(s.named) >= s.silence():
		s.limited, s.named = false, now
	}
}

// silence returns for how long no answer must have named the intake before one without it
// ends it.
func (s *said) silence() time.Duration {
	due := float64(intakeAnswers) / max(float64(s.intake), intakeAnswers/intakeLife.Seconds())
	return max(time.Duration(due*float64(time.Second)), intakeSilence)
}

func (s *said) standing(now time.Time) Standing {
	out := Standing{Leaving: s.leaving}
	if s.limited && now.Sub(s.named) < intakeLife+s.silence() {
		out.Limited, out.Intake, out.Named = true, s.intake, s.named
	}
	if now.Before(s.until) {
		out.Until = s.until
	}
	return out
}
