package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
)

// Guards against a quarantine that operators cannot end, and against a lifted part that its old crashes put
// back: it starts without counts, and new crashes quarantine it as those of any other part.
func TestLiftedPartStartsWithoutCounts(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	old := crashes(3, PartCount{"fatal", 0})
	now := applyEach(a, time.Hour, old...)
	for _, engine := range []string{"other-1", "other-2", "other-3"} {
		now = applyEach(a, now, (&reporter{vm: "x"}).crash(engine, PartCount{"other", 0}))
	}
	is.True(a.has("fatal"))
	is.True(a.has("other"))
	lift := NewLift("op", "fatal")
	is.Equal(a.apply(lift, now, false), []change{{part: "fatal"}})
	is.True(!a.has("fatal"))
	is.True(a.has("other")) // Only this part is lifted.
	for _, r := range old {
		a.apply(r, now, false) // A relay may pass a report on again.
	}
	a.update(now + time.Second)
	is.True(!a.has("fatal"))
	now = applyEach(a, now+time.Second, crashes(2, PartCount{"fatal", 0})...)
	is.True(!a.has("fatal"))
	applyEach(a, now, (&reporter{vm: "z"}).crash("engine-z", PartCount{"fatal", 0}))
	is.True(a.has("fatal"))
	a.apply(lift, now, false) // Nor does the same lift act a second time.
	is.True(a.has("fatal"))
}

// A VM that starts after a lift does not know the part as quarantined, whatever was reported before.
func TestRestartedVMKnowsLifts(t *testing.T) {
	is := is.New(t)
	summary := (&reporter{vm: "x"}).vouch(PartCount{"fatal", 0})
	summary.Kind = Summary
	summary.Engines = []EngineStart{{"a", 1}, {"b", 1}, {"c", 1}}
	is.Equal(Quarantined([]Report{summary}), []Part{{ID: "fatal", Engines: summary.Engines}})
	is.Equal(len(Quarantined([]Report{summary, NewLift("op", "fatal")})), 0)
	is.Equal(len(Quarantined([]Report{summary, NewLift("op", "fatal"), summary})), 0)
	again := summary
	again.Number++
	is.Equal(len(Quarantined([]Report{summary, NewLift("op", "fatal"), again})), 1)
	summary.At -= (Lifetime + time.Minute).Milliseconds()
	is.Equal(len(Quarantined([]Report{summary})), 0)
}

// A lift names one part and no engines, and the log keeps it under a key of its own.
func TestLiftIsValidated(t *testing.T) {
	is := is.New(t)
	lift := NewLift("op", "fatal")
	is.NoErr(lift.Validate())
	b, err := json.Marshal(lift)
	is.NoErr(err)
	var read Report
	is.NoErr(json.Unmarshal(b, &read))
	is.Equal(read, lift)
	summary := lift
	summary.Kind = Summary
	is.True(lift.Key() != summary.Key())
	for _, odd := range []func(*Report){
		func(r *Report) { r.Parts = append(r.Parts, PartCount{"second", 0}) },
		func(r *Report) { r.Engines = []EngineStart{{"a", 1}} },
		func(r *Report) { r.VM = "" },
		func(r *Report) { r.Parts = []PartCount{{fleet.PartID(""), 0}} },
	} {
		r := NewLift("op", "fatal")
		odd(&r)
		is.True(r.Validate() != nil)
	}
}

// Guards against a lift that reaches only some VMs, and against one that the log loses to the reports before
// it: VMs that run and VMs that start later serve the part again.
func TestLiftReachesAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		f := newTestFleet(ctx, 1, 3, 4, 50*time.Millisecond)
		part := []fleet.PartID{"fatal"}
		count := func() (n int) {
			for _, v := range f.vms {
				if _, ok := v.tracker.Quarantined(part); ok {
					n++
				}
			}
			return n
		}
		for i := range 3 {
			f.vms[i].tracker.RecordCrash(EngineStart{fleet.UpstreamID(fmt.Sprint("e-", i)), 1}, "r", Origin{}, part)
			time.Sleep(time.Second)
		}
		is.Equal(count(), 3)
		is.NoErr(f.log.WriteReport(ctx, NewLift("vm-0", "fatal")))
		time.Sleep(time.Second)
		is.Equal(count(), 0)
		f.killAll()
		is.Equal(count(), 0)
	})
}
