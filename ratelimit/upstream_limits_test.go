package ratelimit

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanfall/fleet"
	"toucanfall/roster"
)

// arrivals checks the requests that reach an upstream against its announced limit.
type arrivals struct {
	announced roster.Intake
	at        []time.Duration
}

// countingWindow is the length of the windows in which the users require that an upstream's
// limit holds.
const countingWindow = 4 * time.Second

// maxInWindow returns the largest number of requests within any window.
func (a *arrivals) maxInWindow() int {
	most, first := 0, 0
	for i, at := range a.at {
		for at-a.at[first] >= countingWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowed returns the number of requests that the announced limit allows in a window, rounded
// up.
func (a *arrivals) allowed() int {
	return int(math.Ceil(float64(a.announced)*countingWindow.Seconds() - 1e-9))
}

// usedFraction returns the fraction of the announced limit that was used between two times.
func (a *arrivals) usedFraction(from, to time.Duration) float64 {
	n := 0
	for _, at := range a.at {
		if at >= from && at < to {
			n++
		}
	}
	return float64(n) / (float64(a.announced) * (to - from).Seconds())
}

// requestPermit asks for a permit at a VM.
func (f *testFleet) requestPermit(v *testVM, rate roster.Intake, rank int, team fleet.TeamID) (*Permit, time.Duration) {
	return v.client.Permit(context.Background(), PermitRequest{Upstream: "u", StartTime: 1, Intake: rate, Claimant: Claimant{rank, team}})
}

// loadUpstream makes all VMs together send demand requests per second to an upstream, and
// counts those that get a valid permit.
func (f *testFleet) loadUpstream(a *arrivals, length time.Duration, demand float64, at func(time.Duration)) {
	const step = 5 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	every := depositInterval / step
	for end := f.now + length; f.now < end; f.now += step {
		at(f.now)
		for i, v := range f.vms {
			if (f.now/step+time.Duration(i))%every == 0 {
				f.sync(v)
			}
		}
		for due := demand * step.Seconds(); due > 0; due-- {
			v := f.vms[rng.IntN(len(f.vms))]
			if due < 1 && rng.Float64() >= due || f.unreachable[string(v.id)] {
				continue
			}
			if p, _ := f.requestPermit(v, a.announced, 0, "team"); p != nil && p.Valid() {
				a.at = append(a.at, f.now)
			}
		}
	}
}

// All VMs together stay within the announced limit, and use most of it under sufficient
// demand, for any size of the fleet and of the limit.
func TestAnnouncedLimitIsSharedAtAnyFleetSize(t *testing.T) {
	for _, vms := range []int{1, 7, 60, 195, 400} {
		for _, rate := range []roster.Intake{0.2, 2.4, 30, 500} {
			t.Run(fmt.Sprintf("vms=%d,rate=%g", vms, rate), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				pools := 1
				if vms > 16 {
					pools = 4
				}
				f, a := newTestFleet(vms, min(pools, vms), nil...), &arrivals{announced: rate}
				length := max(20*time.Second, time.Duration(20/float64(rate)*float64(time.Second)))
				f.loadUpstream(a, length+5*time.Second, 40+2*float64(rate), func(time.Duration) {})
				is.True(a.maxInWindow() <= a.allowed())
				used := a.usedFraction(5*time.Second, 5*time.Second+length)
				t.Logf("most %d of %d, used %.2f", a.maxInWindow(), a.allowed(), used)
				is.True(used >= 0.8)
			})
		}
	}
}

// The loss of the VM that grants permits interrupts them for only a few seconds, and after its
// return no permit is granted twice.
func TestPermitsSurviveLossOfPoolHost(t *testing.T) {
	for _, vms := range []int{7, 195} {
		is := is.New(t)
		f, a := newTestFleet(vms, 1, nil...), &arrivals{announced: 10}
		f.loadUpstream(a, 45*time.Second, 100, func(now time.Duration) {
			f.unreachable["0"] = now >= 10*time.Second && now < 30*time.Second
			if f.withoutShare = 0; now >= 16*time.Second && now < 30*time.Second {
				f.withoutShare = 1 // The store has assigned its share to the others.
			}
		})
		is.True(a.maxInWindow() <= a.allowed())
		for _, from := range []time.Duration{5, 18, 23, 35} {
			used := a.usedFraction(from*time.Second, (from+5)*time.Second)
			t.Logf("%d VMs, from %d s: used %.2f", vms, from, used)
			is.True(used >= 0.8)
		}
	}
}

// An outage of the store does not affect permits.
func TestPermitsSurviveStoreOutage(t *testing.T) {
	is := is.New(t)
	f, a := newTestFleet(7, 1, nil...), &arrivals{announced: 10}
	f.loadUpstream(a, 10*time.Second, 100, func(time.Duration) {})
	f.outage = true
	f.loadUpstream(a, 20*time.Second, 100, func(time.Duration) {})
	is.True(a.maxInWindow() <= a.allowed())
	used := a.usedFraction(15*time.Second, 30*time.Second)
	t.Logf("used %.2f", used)
	is.True(used >= 0.8)
}

// More urgent requests get permits first, and teams of equal rank alternate.
func TestPermitsFollowRankAndTeam(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3, 1, nil...)
	f.syncAll(20)
	got := make(map[string]int)
	for range 4000 {
		f.now += 5 * time.Millisecond
		if f.now/(5*time.Millisecond)%40 == 0 {
			f.syncAll(1)
		}
		for name, claimant := range map[string]struct {
			rank int
			team fleet.TeamID
		}{"first a": {0, "a"}, "first b": {0, "b"}, "batch": {5, "a"}} {
			// Team a asks ten times as often as team b.
			if name == "first b" && f.now/(5*time.Millisecond)%10 != 0 {
				continue
			}
			if p, _ := f.requestPermit(f.vms[len(name)%3], 2.4, claimant.rank, claimant.team); p != nil {
				got[name]++
			}
		}
	}
	t.Log(got)
	is.True(got["first a"]+got["first b"] > 4*got["batch"])
	is.True(2*got["first b"] > got["first a"])
}

// Guards against more requests than an upstream's announced limit (LIMIT of intake) while pool
// hosts stop, return, are unreachable for some VMs, lose replies and get delayed messages, VMs
// pause between getting and using a permit, and VMs disagree on which VM hosts a pool.
func TestRandomPoolHostsStayWithinAnnouncedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step, steps = 20 * time.Millisecond, 600
		n := rapid.IntRange(1, 7).Draw(t, "vms")
		a := &arrivals{announced: roster.Intake(rapid.SampledFrom([]float64{1, 2.4, 7, 50}).Draw(t, "rate"))}
		f := newTestFleet(n, 1, nil...)
		used := make(map[int][]*Permit)
		next := 0
		for i := range steps {
			f.now += step
			if i == next {
				next += rapid.IntRange(1, 80).Draw(t, "pause")
				f.injectFault(t)
			}
			f.syncSome(i)
			if !f.idle {
				f.requestPermits(i, a.announced, used)
			}
			for _, p := range used[i] {
				if p.Valid() {
					a.at = append(a.at, f.now)
				}
			}
		}
		if got := a.maxInWindow(); got > a.allowed() {
			t.Fatalf("%d requests in %s, allowed %d", got, countingWindow, a.allowed())
		}
	})
}

// syncSome makes the VMs whose turn it is in a step send their messages: each does so every
// tenth step.
func (f *testFleet) syncSome(step int) {
	for j, v := range f.vms {
		if (step+j)%10 == 0 {
			f.sync(v)
		}
	}
}

// requestPermits asks for permits in a step, and records the step in which each is used.
func (f *testFleet) requestPermits(step int, rate roster.Intake, used map[int][]*Permit) {
	for j := range 1 + int(rate)/10 {
		v := f.vms[(7*step+3*j)%len(f.vms)]
		p, _ := f.requestPermit(v, rate, 0, "team")
		if p == nil {
			continue
		}
		at := step + (step*step)%11 // Up to 0.2 s later.
		if v == f.vms[0] {
			at = step + 100 - step%100 // It pauses, then sends all requests together.
		}
		used[at] = append(used[at], p)
	}
}

// injectFault injects a random fault into the fleet.
func (f *testFleet) injectFault(t *rapid.T) {
	v := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")]
	switch rapid.SampledFrom([]string{"gone", "back", "lose", "late", "deliver", "order", "order of all", "pause", "quiet"}).Draw(t, "what") {
	case "gone":
		f.unreachable[string(v.id)] = true
	case "back":
		clear(f.unreachable)
	case "lose":
		f.losingReplies = !f.losingReplies
	case "late":
		f.delaying = !f.delaying
	case "deliver":
		f.deliver()
	case "order":
		v.hostOffset = rapid.IntRange(0, 2).Draw(t, "first")
	case "order of all":
		first := rapid.IntRange(0, 2).Draw(t, "first")
		for _, v := range f.vms {
			v.hostOffset = first
		}
	case "quiet":
		f.idle = !f.idle
	case "pause":
		f.now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
	}
}

// Guards against a pool host that accepts a delayed Bond: the VM may be bound to another host
// by then.
func TestDelayedBondIsIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	limits := newUpstreamLimits(func() time.Duration { return now }, func() bool { return false })
	poolID, mark := PoolID{0, 1}, limits.newMark()
	grant := func() int {
		return limits.grant(IntakeRequest{VM: "a", Pool: poolID, Upstream: "u", Intake: 1000}).Given
	}
	for _, c := range []struct {
		delay time.Duration
		mark  Mark
		want  int
	}{
		{time.Second, mark, 1},
		{bindingTTL, mark, 0},
		{bindingTTL + time.Second, mark, 0},
		{0, Mark{Start: mark.Start + 1, At: mark.At}, 0}, // From another start of the pool host.
		{0, Mark{Start: mark.Start, At: mark.At + time.Hour}, 0},
	} {
		now = time.Hour + c.delay
		clear(limits.bindings)
		clear(limits.limits)
		limits.bind("a", poolID, Bond{Share: 1, Left: time.Minute, Mark: c.mark})
		_ = grant()
		now += 10 * time.Millisecond
		is.Equal(grant(), c.want)
	}
}

// Guards against granting stored permits from before another pool host granted some.
func TestStoredPermitsAreDroppedWithBindings(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	limits := newUpstreamLimits(func() time.Duration { return now }, func() bool { return false })
	poolID := PoolID{0, 1}
	bind := func() { limits.bind("a", poolID, Bond{Share: 1, Left: time.Minute, Mark: limits.newMark()}) }
	grant := func() int {
		return limits.grant(IntakeRequest{VM: "a", Pool: poolID, Upstream: "u", Intake: 10, Want: 9}).Given
	}
	bind()
	is.Equal(grant(), 0)
	now += time.Second
	is.Equal(grant(), 1) // Of 1.8 that are stored.
	now += bindingTTL
	bind()
	is.Equal(grant(), 0)
}

// Malformed requests and Bonds are rejected, and no permits are granted for them.
func TestMalformedRequestsGetNoPermit(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1, 1)
	f.syncAll(10)
	nan, inf := math.NaN(), math.Inf(1)
	for _, in := range []IntakeRequest{
		{Intake: roster.Intake(nan)}, {Intake: roster.Intake(inf)}, {Intake: -1}, {Intake: 10, Age: -1}, {Intake: 10, Want: -1}, {Intake: 10, Cold: -1}, {Intake: 10, Cold: roster.Intake(nan)}, {Intake: 10, Cold: 1, ColdFor: -1},
	} {
		_, err := f.vms[0].pool.Permit(in)
		is.True(err != nil)
	}
	for _, share := range []float64{nan, inf, -1, 2} {
		limits := newUpstreamLimits(func() time.Duration { return f.now }, func() bool { return false })
		limits.bind("a", PoolID{0, 1}, Bond{Share: share, Left: time.Minute, Mark: limits.newMark()})
		is.Equal(len(limits.bindings[PoolID{0, 1}].byVM), 0)
	}
}

// Measures one request for a permit at a pool host, with 400 VMs bound to it and 175 upstreams
// with an announced limit.
func BenchmarkPermit(b *testing.B) {
	now := time.Hour
	limits := newUpstreamLimits(func() time.Duration { return now }, func() bool { return false })
	poolID, mark := PoolID{0, 4}, limits.newMark()
	for i := range 400 {
		limits.bind(fleet.VMID(fmt.Sprint(i)), poolID, Bond{Share: 1.0 / 400, Left: time.Hour, Mark: mark})
	}
	in := make([]IntakeRequest, 400)
	for i := range in {
		in[i] = IntakeRequest{VM: fleet.VMID(fmt.Sprint(i)), Pool: poolID, Intake: 2.4, Upstream: fleet.UpstreamID(fmt.Sprint(i % 175))}
	}
	for i := 0; b.Loop(); i++ {
		now += 300 * time.Microsecond
		if i%3000 == 0 {
			for j := range 400 {
				limits.bind(fleet.VMID(fmt.Sprint(j)), poolID, Bond{Share: 1.0 / 400, Left: time.Hour, Mark: limits.newMark()})
			}
		}
		_ = limits.grant(in[i%len(in)])
	}
}

// coldArrivals checks the requests that reach a cold engine.
type coldArrivals struct{ arrivals }

// maxInSecond returns the largest number of requests within any second.
func (a *coldArrivals) maxInSecond() int {
	most, first := 0, 0
	for i, at := range a.at {
		for at-a.at[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// coldRequest returns the i-th request for a permit at an engine that stays cold for coldFor and has
// announced a limit, or none if it is 0. Every third VM knows only the announced limit.
func coldRequest(i int, cold, announced roster.Intake, coldFor time.Duration) PermitRequest {
	r := PermitRequest{Upstream: "u", StartTime: 1, Intake: announced, Cold: cold, ColdFor: coldFor, OnlyCold: announced == 0}
	switch {
	case r.OnlyCold:
		r.Intake = cold
	case i%3 == 0 && i > 0:
		r.Cold, r.ColdFor = 0, 0
	}
	return r
}

// loadColdEngine makes the VMs in turn ask for permits, and counts the valid ones.
func (f *testFleet) loadColdEngine(a *coldArrivals, cold, announced roster.Intake, length time.Duration) {
	const step = 5 * time.Millisecond
	end := f.now + length
	for i := 0; f.now < end; i++ {
		f.now += step
		for n, v := range f.vms {
			if (i+n)%int(depositInterval/step) == 0 {
				f.sync(v)
			}
		}
		p, _ := f.vms[i%len(f.vms)].client.Permit(context.Background(), coldRequest(i, cold, announced, end-f.now))
		if p != nil && p.Valid() {
			a.at = append(a.at, f.now)
		}
	}
}

// Guards against more requests than a cold engine takes (1.5 times its rate and 5 more in any
// second): some VMs know its cold time, some only the higher limit that it announces, and one
// sends no regular messages and cannot be called. A lower announced limit still applies.
func TestColdEngineIsLimited(t *testing.T) {
	for _, vms := range []int{1, 7, 60, 195} {
		for _, announced := range []roster.Intake{0, 4, 500} {
			t.Run(fmt.Sprintf("vms=%d,announced=%g", vms, announced), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				const cold, length = 19, 10 * time.Second
				f, a := newTestFleet(vms, 1, nil...), &coldArrivals{}
				f.syncAll(20)
				f.unreachable[fmt.Sprint(vms-1)] = vms > 1
				f.loadColdEngine(a, cold, announced, length)
				lowest := length.Seconds() * cold
				if announced > 0 {
					lowest = length.Seconds() * min(cold, float64(announced))
				}
				t.Logf("most %d in a second, %d in all", a.maxInSecond(), len(a.at))
				is.True(float64(a.maxInSecond()) <= cold*1.5+5)
				is.True(float64(len(a.at)) <= lowest+1)
				is.True(float64(len(a.at)) >= 0.7*lowest)
			})
		}
	}
}

// Guards against stored permits of a high announced limit that reach an engine at once when it becomes
// cold, and against a cold limit that stays after the cold time.
func TestColdTimeLowersStoredPermits(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1, 1)
	f.syncAll(20)
	in := IntakeRequest{VM: "0", Pool: PoolID{0, 1}, Upstream: "u", Born: 1, Intake: 500, Want: 100}
	grant := func() int {
		out, err := f.vms[0].pool.Permit(in)
		is.NoErr(err)
		return out.Given
	}
	grant()
	f.syncAll(5)
	in.Cold, in.ColdFor = 10, time.Second
	is.Equal(grant(), 1) // 0.9 * 10 a second for 0.2 s, of 90 that are stored.
	in.Cold, in.ColdFor = 0, 0
	f.syncAll(4)
	is.True(grant() <= 2) // The cold time that another VM has reported still applies.
	f.syncAll(10)
	grant()
	f.syncAll(5)
	is.True(grant() > 50)
}
