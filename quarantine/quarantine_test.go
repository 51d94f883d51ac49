package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"toucanfall/fleet"
	"toucanfall/timeline"
)

// reporter makes the reports of a VM.
type reporter struct{ vm fleet.VMID }

// lastNumber is the number of the last report that a reporter made.
var lastNumber uint64

func (r *reporter) crash(engine string, parts ...PartCount) Report {
	out := r.vouch(parts...)
	out.Kind, out.Engines = Crash, []EngineStart{{Upstream: fleet.UpstreamID(engine), Born: 1}}
	return out
}

func (r *reporter) vouch(parts ...PartCount) Report {
	lastNumber++
	return Report{VM: r.vm, Number: lastNumber, Instance: uint64(r.vm[0]), Kind: Vouch, At: time.Now().UnixMilli(), Parts: parts}
}

// applyEach applies reports, each a second after the one before, and returns the time after the last.
func applyEach(a *account, now time.Duration, reports ...Report) time.Duration {
	for _, r := range reports {
		a.apply(r, now, false)
		now += time.Second
	}
	return now
}

func (a *account) has(part fleet.PartID) bool {
	_, ok := a.first([]fleet.PartID{part})
	return ok
}

// crashes returns reports of crashes of different engines by two VMs.
func crashes(n int, parts ...PartCount) []Report {
	x, y := &reporter{vm: "x"}, &reporter{vm: "y"}
	var out []Report
	for i := range n {
		out = append(out, []*reporter{x, y}[i%2].crash(fmt.Sprint("engine-", i), parts...))
	}
	return out
}

// A part is quarantined after the third engine, whichever VMs saw them end; a part of all requests,
// with which runs go well, is not.
func TestThirdCrashQuarantines(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	reports := crashes(3, PartCount{"popular", 20}, PartCount{"fatal", 0})
	now := applyEach(a, time.Hour, reports[:2]...)
	is.True(!a.has("fatal"))
	is.True(a.suspected([]fleet.PartID{"fatal"}, now))
	applyEach(a, now, reports[2])
	is.True(a.has("fatal"))
	is.True(!a.has("popular"))
}

// After the first crash a part with which no run went well is suspected, so that the request is not sent
// again; one with which runs go well is not.
func TestFirstCrashSuspectsUnknownParts(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	now := applyEach(a, time.Hour, crashes(1, PartCount{"unknown", 0}, PartCount{"popular", 9})...)
	is.True(a.suspected([]fleet.PartID{"popular", "unknown"}, now))
	is.True(!a.suspected([]fleet.PartID{"popular"}, now))
	is.True(!a.suspected(nil, now))
}

// Guards against a part that became fatal after some sound runs, and ends several more engines after its
// quarantine has expired, because these runs still outweigh the crashes.
func TestPartThatBecomesFatal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		start := time.Now()
		tracker := New(Config{VM: "x", Log: discardedReports{}, Now: func() time.Duration { return time.Since(start) + time.Hour }, Events: timeline.New("test", 1, logger)})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = tracker.Run(ctx) }() // It ends when ctx does.
		parts := []fleet.PartID{"part"}
		quarantined := func() bool {
			_, ok := tracker.Quarantined(parts)
			return ok
		}
		const soundRuns = 6
		for range soundRuns {
			tracker.RecordSound(parts)
		}
		for i := range soundRuns + 1 {
			tracker.RecordCrash(EngineStart{Upstream: fleet.UpstreamID(fmt.Sprint("engine-", i)), Born: 1}, "request", Origin{}, parts)
		}
		time.Sleep(decisionTime + 2*vouchInterval)
		is.True(quarantined())
		time.Sleep(doubtedTerm)
		is.True(!quarantined())
		tracker.RecordCrash(EngineStart{Upstream: "another engine", Born: 1}, "request", Origin{}, parts)
		is.True(quarantined())
	})
}

// discardedReports is a log that keeps nothing.
type discardedReports struct{}

// WriteReport accepts a report.
func (discardedReports) WriteReport(context.Context, Report) error { return nil }

// Several reports of the end of one engine are one crash.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	for _, vm := range []fleet.VMID{"x", "y", "z"} {
		r := &reporter{vm: vm}
		applyEach(a, time.Hour, r.crash("engine", PartCount{"part", 0}), r.crash("engine", PartCount{"part", 0}))
	}
	is.True(!a.has("part"))
}

// Runs that went well at a VM that saw no crash keep a part out of quarantine, and end one.
func TestVouchReleases(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	now := applyEach(a, time.Hour, crashes(3, PartCount{"part", 0})...)
	is.True(a.has("part"))
	other := &reporter{vm: "o"}
	applyEach(a, now, other.vouch(PartCount{"part", 4}))
	is.True(!a.has("part"))
}

// A part that crashes engines only sometimes is quarantined while more engines crash than runs go well.
func TestPartThatCrashesSometimes(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	applyEach(a, time.Hour, crashes(5, PartCount{"sometimes", 1})...)
	is.True(a.has("sometimes"))
}

// Parts that are innocent but in all requests with the fatal one are released once the fatal one is
// known.
func TestFatalPartExplainsCrashesOfOthers(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	applyEach(a, time.Hour, crashes(3, PartCount{"beside", 1}, PartCount{"fatal", 0})...)
	is.True(a.has("fatal"))
	is.True(!a.has("beside"))
}

// Two fatal parts at the same time are both found.
func TestTwoFatalParts(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	one, two := crashes(6, PartCount{"one", 0}), crashes(6, PartCount{"two", 0})
	now := time.Hour
	for i := 0; i+1 < len(one); i += 2 {
		now = applyEach(a, now, one[i])
		now = applyEach(a, now, two[i+1])
	}
	is.True(a.has("one"))
	is.True(a.has("two"))
}

// A quarantine ends an hour after the last crash; the next crash begins another one. It ends after
// seconds, then four times later each time, if runs with the part have ever gone well.
func TestQuarantineEnds(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	now := applyEach(a, time.Hour, crashes(3, PartCount{"fatal", 0})...)
	a.update(now + Lifetime - 5*time.Second)
	is.True(a.has("fatal"))
	now += Lifetime
	a.update(now)
	is.True(!a.has("fatal"))
	again := &reporter{vm: "z"}
	a.apply(again.crash("another engine", PartCount{"fatal", 0}), now, false)
	is.True(a.has("fatal"))
	a = newAccount()
	now = applyEach(a, now, crashes(4, PartCount{"doubted", 0})...)
	a.parts["doubted"].everSound = true
	for _, term := range []time.Duration{doubtedTerm, 4 * doubtedTerm, 16 * doubtedTerm} {
		is.True(a.has("doubted"))
		is.Equal(a.parts["doubted"].term(), term)
		now += term
		a.update(now)
		is.True(!a.has("doubted"))
		a.apply(again.crash(fmt.Sprint("after ", term), PartCount{"doubted", 0}), now, false)
	}
}

// A VM that starts knows at once what was in quarantine, and needs one more crash for what was not.
func TestRestartedVMKnowsWhatWasReported(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	r := &reporter{vm: "x"}
	summary := r.vouch(PartCount{"known", 0})
	summary.Kind = Summary
	for i := range minCrashes {
		summary.Engines = append(summary.Engines, EngineStart{Upstream: fleet.UpstreamID(fmt.Sprint(i))})
	}
	a.apply(summary, time.Hour, true)
	is.True(a.has("known"))
	for _, report := range crashes(4, PartCount{"suspected", 0}) {
		a.apply(report, time.Hour, true)
	}
	is.True(!a.has("suspected"))
	applyEach(a, time.Hour+decisionTime, r.crash("new", PartCount{"suspected", 0}))
	is.True(a.has("suspected"))
}

// Guards against a VM that starts and serves what is in quarantine until one more engine has crashed (BUDGET): the crash
// reports, which the log has before the summary, made all crashes look old.
func TestRestartedVMKnowsQuarantineBesideItsReports(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	reports := crashes(minCrashes, PartCount{"known", 0})
	summary := (&reporter{vm: "x"}).vouch(PartCount{"known", 0})
	summary.Kind = Summary
	for _, report := range reports {
		summary.Engines = append(summary.Engines, report.Engines...)
	}
	for _, report := range append(reports, summary) {
		a.apply(report, time.Hour, true)
	}
	is.True(a.has("known"))
}

// Callers cannot fill an account with parts that they invent, nor push out those in quarantine.
func TestAccountIsBounded(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	now := applyEach(a, time.Hour, crashes(3, PartCount{"fatal", 0})...)
	r := &reporter{vm: "r"}
	for i := range 3 * maxParts {
		a.apply(r.crash("e", PartCount{fleet.PartID(fmt.Sprint("p", i)), 0}), now, false)
	}
	is.Equal(len(a.parts), maxParts)
	is.True(len(a.seen) <= maxReports)
	is.True(a.has("fatal"))
}

// A malformed report is rejected, and no valid one has a key that is not bounded.
func FuzzReport(f *testing.F) {
	for _, s := range []string{`{"vm":"a","number":1,"kind":"vouch","parts":[{"part":"x","sound":-1}]}`, `{"vm":"a","parts":[]}`, `{"vm":"a","kind":"summary","parts":[{"part":"x"}],"engines":[{"upstream":"u","born":1}]}`, `{"vm":"a","kind":"lift","parts":[{"part":"x"}]}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var r Report
		if json.Unmarshal(b, &r) != nil || r.Validate() != nil {
			return
		}
		if len(r.Key()) > 32 {
			t.Errorf("key %q", r.Key())
		}
		a := newAccount()
		a.apply(r, time.Hour, false)
		a.update(2 * time.Hour)
	})
}
