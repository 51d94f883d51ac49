package roster_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
	"toucanfall/roster"
)

// upstream returns an upstream that has said nothing.
func upstream(id fleet.UpstreamID) (*roster.Roster, *roster.Upstream) {
	r := roster.New()
	r.Put(roster.Entry{ID: id, Born: 1})
	u, _ := r.Get(id)
	return r, u
}

func limit(n roster.Intake) roster.Notice { return roster.Notice{Limited: true, Intake: n} }

// An intake holds over answers that leave it out now and then, and over errors, and ends with
// an answer that leaves it out after a while, or when nothing is heard for long.
func TestIntakeEndsWhenNoLongerNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, u := upstream("u")
		limited := func() bool { return u.NoticeStatus(time.Now()).Limited }
		for range 20 { // Named in every second answer.
			u.ApplyNotice(limit(2), true, time.Now())
			time.Sleep(time.Second)
			u.ApplyNotice(roster.Notice{}, true, time.Now())
			is.True(limited())
			time.Sleep(time.Second)
		}
		time.Sleep(10 * time.Second)
		u.ApplyNotice(roster.Notice{}, false, time.Now()) // An error says nothing of it.
		is.True(limited())
		u.ApplyNotice(roster.Notice{}, true, time.Now())
		is.True(!limited())
		u.ApplyNotice(limit(0.2), true, time.Now())
		time.Sleep(10 * time.Second)
		u.ApplyNotice(roster.Notice{}, true, time.Now()) // At 0.2 a second few answers were due.
		is.True(limited())
		u.ApplyNotice(limit(0), true, time.Now())
		time.Sleep(time.Minute - time.Millisecond)
		is.True(limited()) // Nothing is sent, so nothing is heard.
		time.Sleep(time.Millisecond)
		is.True(!limited())
	})
}

// Guards against a word that never ends because VMs tell it each other, a little younger each
// time.
func TestWordOfOneAnswerStaysAsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, from := upstream("u")
		r, u := upstream("u")
		from.ApplyNotice(limit(2), true, time.Now())
		w, ok := from.SharedNotice(time.Now())
		is.True(ok)
		for range 40 {
			time.Sleep(time.Second)
			r.ApplySharedNotices([]roster.Word{w}, time.Now())
		}
		is.True(!u.NoticeStatus(time.Now()).Limited)
	})
}

// Words that cannot be true, or are of another start, change nothing.
func TestWordsAreChecked(t *testing.T) {
	is := is.New(t)
	r, u := upstream("u")
	for _, w := range []roster.Word{
		{Upstream: "u", Born: 1, Limited: true, Intake: -1, Event: 1},
		{Upstream: "u", Born: 1, Limited: true, Intake: 1, Age: -time.Second, Event: 1},
		{Upstream: "u", Born: 1, Limited: true, Intake: roster.Intake(math.NaN()), Event: 1},
		{Upstream: "u", Born: 1, Limited: true, Intake: roster.Intake(math.Inf(1)), Event: 1},
		{Upstream: "u", Born: 2, Leaving: true, Event: 1},
		{Upstream: "other", Born: 1, Leaving: true, Event: 1},
	} {
		is.Equal(len(r.ApplySharedNotices([]roster.Word{w}, time.Now())), 0)
	}
	is.Equal(u.NoticeStatus(time.Now()), roster.NoticeStatus{})
	is.True(u.Usable())
}

// After a wait one request tries whether the upstream takes them again, alone.
func TestOneRequestTriesAfterAWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, u := upstream("u")
		shut := func() bool { return !u.ClosedUntil(time.Now()).IsZero() }
		u.ApplyNotice(roster.Notice{Wait: time.Second}, false, time.Now())
		time.Sleep(time.Second - time.Millisecond)
		is.True(shut())
		time.Sleep(250 * time.Millisecond) // VMs return spread over a fifth of the wait.
		is.True(!shut())
		f := u.Begin(roster.Adapter{}, 0)
		is.True(shut())
		u.ApplyNotice(roster.Notice{}, true, time.Now())
		is.True(!shut())
		f.End(false)
	})
}
