package roster_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/roster"
)

// coldLimits limits the service "s".
var coldLimits = map[catalogue.ServiceID]roster.ColdLimit{"s": {Rate: 19, Time: 20 * time.Second}}

// coldRoster returns a roster with the upstream "u" of the service "s", which stays cold for d.
func coldRoster(d time.Duration) *roster.Roster {
	r := roster.New()
	r.SetColdLimits(coldLimits)
	r.Put(roster.Entry{ID: "u", Service: "s", Born: 1, Cold: d})
	return r
}

func statusOf(r *roster.Roster) roster.NoticeStatus {
	u, _ := r.Get("u")
	return u.NoticeStatus(time.Now())
}

// Guards against a cold engine that gets more requests than it takes, because it has announced no
// limit or a higher one. The lower of both limits applies.
func TestColdUpstreamIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := coldRoster(10 * time.Second)
		u, _ := r.Get("u")
		is.Equal(statusOf(r).Intake, roster.Intake(19))
		is.True(statusOf(r).Limited)
		u.DenyUntil(time.Now().Add(time.Second))
		is.True(!u.ClosedUntil(time.Now()).IsZero())
		u.ApplyNotice(limit(40), true, time.Now())
		is.Equal(statusOf(r).Intake, roster.Intake(19))
		is.Equal(statusOf(r).Announced, roster.Intake(40))
		u.ApplyNotice(limit(4), true, time.Now())
		is.Equal(statusOf(r).Intake, roster.Intake(4))
		u.ApplyNotice(limit(40), true, time.Now())
		time.Sleep(10 * time.Second)
		is.Equal(statusOf(r).ColdIntake, roster.Intake(0))
		is.Equal(statusOf(r).Intake, roster.Intake(40))
	})
}

// Guards against a cold time that is cut short by an entry or answer that was sent before the engine
// became cold again, and against one that ends early because its messages were delayed.
func TestColdTimeIsNeverShortened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := coldRoster(0)
		u, _ := r.Get("u")
		is.True(!statusOf(r).Limited)
		u.ApplyNotice(roster.Notice{Cold: 10 * time.Second}, false, time.Now())
		r.Put(roster.Entry{ID: "u", Service: "s", Born: 1}) // Written before.
		u.ApplyNotice(roster.Notice{Cold: 2 * time.Second}, true, time.Now())
		time.Sleep(10*time.Second - time.Millisecond)
		is.True(statusOf(r).Limited)
		time.Sleep(time.Millisecond)
		is.True(!statusOf(r).Limited)
		r.Put(roster.Entry{ID: "u", Service: "s", Born: 1, Cold: 5 * time.Second}) // Cold again.
		time.Sleep(4 * time.Second)
		is.True(statusOf(r).Limited)
	})
}

// Guards against a cold time that outlives the engine start it belongs to.
func TestColdTimeEndsWithStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := coldRoster(time.Minute)
		w, _ := func() (roster.Word, bool) { u, _ := r.Get("u"); return u.SharedNotice(time.Now()) }()
		r.Put(roster.Entry{ID: "u", Service: "s", Born: 2})
		is.True(!statusOf(r).Limited)
		w.Cold, w.ColdEvent = time.Minute, 5
		is.Equal(len(r.ApplySharedNotices([]roster.Word{w}, time.Now())), 0) // Of the former start.
		is.True(!statusOf(r).Limited)
	})
}

// Guards against a limit where the configuration sets none: without a cold rate the remaining time
// has no effect, and one that is set later applies to engines that are known.
func TestColdTimeNeedsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := roster.New()
		r.Put(roster.Entry{ID: "u", Service: "s", Born: 1, Cold: time.Minute})
		is.True(!statusOf(r).Limited)
		r.SetColdLimits(coldLimits)
		is.True(statusOf(r).Limited)
		is.Equal(len(roster.ColdLimits(catalogue.NewConfig(1, nil, []*catalogue.Service{{ID: "a", ColdRate: 3}, {ID: "b", ColdTime: 1}}, nil, catalogue.Limits{}))), 0)
		is.Equal(roster.ColdLimits(catalogue.NewConfig(1, nil, []*catalogue.Service{{ID: "s", ColdRate: 19, ColdTime: 20 * time.Second}}, nil, catalogue.Limits{})), coldLimits)
		r.SetColdLimits(nil)
		is.True(!statusOf(r).Limited)
	})
}

// Guards against VMs that send too much to an engine whose cold time only another VM has received,
// against a shared cold time that ends a limit, and against one that grows forever because VMs pass
// it back and forth, each time from its receipt.
func TestColdTimeIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := coldRoster(0), coldRoster(0)
		ua, _ := a.Get("u")
		ub, _ := b.Get("u")
		ub.ApplyNotice(limit(40), true, time.Now())
		ua.ApplyNotice(roster.Notice{Cold: 10 * time.Second}, true, time.Now())
		for range 100 {
			w, ok := ua.SharedNotice(time.Now())
			is.True(ok)
			time.Sleep(50 * time.Millisecond)
			b.ApplySharedNotices([]roster.Word{w}, time.Now())
			w, ok = ub.SharedNotice(time.Now())
			is.True(ok)
			time.Sleep(50 * time.Millisecond)
			a.ApplySharedNotices([]roster.Word{w}, time.Now())
			is.Equal(statusOf(b).Announced, roster.Intake(40))
		}
		is.True(statusOf(a).ColdIntake == 0) // 10 s have passed.
		is.True(statusOf(b).ColdIntake > 0)  // 50 ms later, because it was received later.
		time.Sleep(50 * time.Millisecond)
		is.True(statusOf(b).ColdIntake == 0)
	})
}

// Guards against an evacuated data centre that still gets requests, and against engines that get full
// traffic when it returns: they are cold then, and their entries may say so only later.
func TestReturningDataCentreIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := coldRoster(10 * time.Second)
		entry := func(dc fleet.DataCentre) {
			r.Put(roster.Entry{ID: "u", Service: "s", Born: 1, DataCentre: dc})
		}
		entry("a")
		u, _ := r.Get("u")
		begun, ended := r.SetEvacuated([]fleet.DataCentre{"a", "b"})
		is.Equal(begun, []fleet.DataCentre{"a", "b"})
		is.Equal(len(ended), 0)
		is.True(!u.Usable())
		is.True(u.Evacuated())
		r.Put(roster.Entry{ID: "new", Service: "s", DataCentre: "b"})
		other, _ := r.Get("new")
		is.True(!other.Usable())
		time.Sleep(time.Minute) // The cold time before the evacuation is over.
		is.True(statusOf(r).ColdIntake == 0)
		begun, ended = r.SetEvacuated([]fleet.DataCentre{"b"})
		is.Equal(len(begun), 0)
		is.Equal(ended, []fleet.DataCentre{"a"})
		is.True(u.Usable())
		is.True(!other.Usable())
		is.Equal(statusOf(r).Intake, roster.Intake(19))
		time.Sleep(20 * time.Second)
		is.True(!statusOf(r).Limited)
		entry("b") // Its entry names another data centre.
		is.True(!u.Usable())
		u.ApplyNotice(roster.Notice{Leaving: true}, true, time.Now())
		is.True(!u.Evacuated()) // It would not be usable without the evacuation either.
	})
}
