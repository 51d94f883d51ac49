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

// upstream returns a roster and its only upstream, which has announced nothing.
func upstream(id fleet.UpstreamID) (*roster.Roster, *roster.Upstream) {
	r := roster.New()
	r.Put(roster.Entry{ID: id, Born: 1})
	u, _ := r.Get(id)
	return r, u
}

func limit(n roster.Intake) roster.Notice { return roster.Notice{Limited: true, Intake: n} }

// A limit applies across errors and answers that leave it out now and then. It ends with an answer
// that leaves it out after a while, or if no answer comes for a long time.
func TestLimitEndsWhenNoLongerAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, u := upstream("u")
		limited := func() bool { return u.NoticeStatus(time.Now()).Limited }
		for range 20 { // Announced in every second answer.
			u.ApplyNotice(limit(2), true, time.Now())
			time.Sleep(time.Second)
			u.ApplyNotice(roster.Notice{}, true, time.Now())
			is.True(limited())
			time.Sleep(time.Second)
		}
		time.Sleep(10 * time.Second)
		u.ApplyNotice(roster.Notice{}, false, time.Now()) // An error does not end the limit.
		is.True(limited())
		u.ApplyNotice(roster.Notice{}, true, time.Now())
		is.True(!limited())
		u.ApplyNotice(limit(0.2), true, time.Now())
		time.Sleep(10 * time.Second)
		u.ApplyNotice(roster.Notice{}, true, time.Now()) // At 0.2 a second only two answers were due.
		is.True(limited())
		u.ApplyNotice(limit(0), true, time.Now())
		time.Sleep(time.Minute - time.Millisecond)
		is.True(limited()) // Nothing is sent, so nothing is received.
		time.Sleep(time.Millisecond)
		is.True(!limited())
	})
}

// Guards against a shared notice that never ages: VMs pass it on to each other, each time with a
// slightly smaller age.
func TestSharedNoticeKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, sender := upstream("u")
		r, u := upstream("u")
		sender.ApplyNotice(limit(2), true, time.Now())
		w, ok := sender.SharedNotice(time.Now())
		is.True(ok)
		for range 40 {
			time.Sleep(time.Second)
			r.ApplySharedNotices([]roster.Word{w}, time.Now())
		}
		is.True(!u.NoticeStatus(time.Now()).Limited)
	})
}

// Shared notices with impossible values, of another start or of an unknown upstream change nothing.
func TestSharedNoticesAreChecked(t *testing.T) {
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

// After a wait, only one request at a time checks whether the upstream accepts requests again.
func TestOneRequestProbesAfterWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, u := upstream("u")
		closed := func() bool { return !u.ClosedUntil(time.Now()).IsZero() }
		u.ApplyNotice(roster.Notice{Wait: time.Second}, false, time.Now())
		time.Sleep(time.Second - time.Millisecond)
		is.True(closed())
		time.Sleep(250 * time.Millisecond) // The jitter is up to a fifth of the wait.
		is.True(!closed())
		f := u.Begin(roster.Adapter{}, 0)
		is.True(closed())
		u.ApplyNotice(roster.Notice{}, true, time.Now())
		is.True(!closed())
		f.End(false)
	})
}
