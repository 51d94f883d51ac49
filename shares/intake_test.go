package shares

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

// arrivals checks what an upstream gets against its intake.
type arrivals struct {
	rate roster.Intake
	at   []time.Duration
}

// intakeWindow is any time over which the users count requests.
const intakeWindow = 4 * time.Second

// most returns the most that came within a window.
func (a *arrivals) most() int {
	most, first := 0, 0
	for i, at := range a.at {
		for at-a.at[first] >= intakeWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowed is the intake itself over a window, in whole requests.
func (a *arrivals) allowed() int {
	return int(math.Ceil(float64(a.rate)*intakeWindow.Seconds() - 1e-9))
}

// used returns the part of the intake that was used between two times.
func (a *arrivals) used(from, to time.Duration) float64 {
	n := 0
	for _, at := range a.at {
		if at >= from && at < to {
			n++
		}
	}
	return float64(n) / (float64(a.rate) * (to - from).Seconds())
}

// permit asks for a permit at a VM.
func (w *world) permit(v *vm, rate roster.Intake, rank int, team fleet.TeamID) (*Permit, time.Duration) {
	return v.client.Permit(context.Background(), PermitRequest{Upstream: "u", StartTime: 1, Intake: rate, Claimant: Claimant{rank, team}})
}

// press lets all VMs together send so many requests a second to an upstream, each a short
// time after its permit.
func (w *world) press(a *arrivals, length time.Duration, demand float64, at func(time.Duration)) {
	const step = 5 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	every := putEvery / step
	for end := w.now + length; w.now < end; w.now += step {
		at(w.now)
		for i, v := range w.vms {
			if (w.now/step+time.Duration(i))%every == 0 {
				w.turn(v)
			}
		}
		for due := demand * step.Seconds(); due > 0; due-- {
			v := w.vms[rng.IntN(len(w.vms))]
			if due < 1 && rng.Float64() >= due || w.gone[string(v.id)] {
				continue
			}
			if p, _ := w.permit(v, a.rate, 0, "team"); p != nil && p.Valid() {
				a.at = append(a.at, w.now)
			}
		}
	}
}

// The sum over all VMs stays within the intake itself, and most of it is used where there
// is demand, at any size of the fleet and of the intake.
func TestIntakeIsSharedAtAnySize(t *testing.T) {
	for _, vms := range []int{1, 7, 60, 195, 400} {
		for _, rate := range []roster.Intake{0.2, 2.4, 30, 500} {
			t.Run(fmt.Sprintf("vms=%d,rate=%g", vms, rate), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				pools := 1
				if vms > 16 {
					pools = 4
				}
				w, a := newWorld(vms, min(pools, vms), nil...), &arrivals{rate: rate}
				length := max(20*time.Second, time.Duration(20/float64(rate)*float64(time.Second)))
				w.press(a, length+5*time.Second, 40+2*float64(rate), func(time.Duration) {})
				is.True(a.most() <= a.allowed())
				used := a.used(5*time.Second, 5*time.Second+length)
				t.Logf("most %d of %d, used %.2f", a.most(), a.allowed(), used)
				is.True(used >= 0.8)
			})
		}
	}
}

// The loss of the VM that gives out permits costs only a few seconds of them, and its return
// gives out none twice.
func TestIntakeSurvivesLossOfKeeper(t *testing.T) {
	for _, vms := range []int{7, 195} {
		is := is.New(t)
		w, a := newWorld(vms, 1, nil...), &arrivals{rate: 10}
		w.press(a, 45*time.Second, 100, func(now time.Duration) {
			w.gone["0"] = now >= 10*time.Second && now < 30*time.Second
			if w.missing = 0; now >= 16*time.Second && now < 30*time.Second {
				w.missing = 1 // The store has dealt its share to the others.
			}
		})
		is.True(a.most() <= a.allowed())
		for _, from := range []time.Duration{5, 18, 23, 35} {
			used := a.used(from*time.Second, (from+5)*time.Second)
			t.Logf("%d VMs, from %d s: used %.2f", vms, from, used)
			is.True(used >= 0.8)
		}
	}
}

// The store's outage leaves the permits as they are.
func TestIntakeSurvivesOutageOfStore(t *testing.T) {
	is := is.New(t)
	w, a := newWorld(7, 1, nil...), &arrivals{rate: 10}
	w.press(a, 10*time.Second, 100, func(time.Duration) {})
	w.outage = true
	w.press(a, 20*time.Second, 100, func(time.Duration) {})
	is.True(a.most() <= a.allowed())
	used := a.used(15*time.Second, 30*time.Second)
	t.Logf("used %.2f", used)
	is.True(used >= 0.8)
}

// More urgent requests get the permits first, and teams of one rank take turns.
func TestPermitsFollowRankAndTeam(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 1, nil...)
	w.turns(20)
	got := make(map[string]int)
	for range 4000 {
		w.now += 5 * time.Millisecond
		if w.now/(5*time.Millisecond)%40 == 0 {
			w.turns(1)
		}
		for name, ask := range map[string]struct {
			rank int
			team fleet.TeamID
		}{"first a": {0, "a"}, "first b": {0, "b"}, "batch": {5, "a"}} {
			// Team a asks ten times as often as team b.
			if name == "first b" && w.now/(5*time.Millisecond)%10 != 0 {
				continue
			}
			if p, _ := w.permit(w.vms[len(name)%3], 2.4, ask.rank, ask.team); p != nil {
				got[name]++
			}
		}
	}
	t.Log(got)
	is.True(got["first a"]+got["first b"] > 4*got["batch"])
	is.True(2*got["first b"] > got["first a"])
}

// Guards against more requests than an upstream's intake (LIMIT of intake) while keepers
// die, come back, are cut off from some VMs, lose answers and get messages late, VMs stand
// still between a permit and its use, and VMs differ about who keeps what.
func TestRandomKeepersStayWithinIntake(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step, steps = 20 * time.Millisecond, 600
		n := rapid.IntRange(1, 7).Draw(t, "vms")
		a := &arrivals{rate: roster.Intake(rapid.SampledFrom([]float64{1, 2.4, 7, 50}).Draw(t, "rate"))}
		w := newWorld(n, 1, nil...)
		used := make(map[int][]*Permit)
		next := 0
		for i := range steps {
			w.now += step
			if i == next {
				next += rapid.IntRange(1, 80).Draw(t, "pause")
				w.fault(t)
			}
			w.turnSome(i)
			if !w.quiet {
				w.ask(i, a.rate, used)
			}
			for _, p := range used[i] {
				if p.Valid() {
					a.at = append(a.at, w.now)
				}
			}
		}
		if got := a.most(); got > a.allowed() {
			t.Fatalf("%d requests in %s, allowed %d", got, intakeWindow, a.allowed())
		}
	})
}

// turnSome lets some VMs send their messages in a step: each does so each tenth.
func (w *world) turnSome(step int) {
	for j, v := range w.vms {
		if (step+j)%10 == 0 {
			w.turn(v)
		}
	}
}

// ask asks for permits in a step, and notes in which step each is used.
func (w *world) ask(step int, rate roster.Intake, used map[int][]*Permit) {
	for j := range 1 + int(rate)/10 {
		v := w.vms[(7*step+3*j)%len(w.vms)]
		p, _ := w.permit(v, rate, 0, "team")
		if p == nil {
			continue
		}
		at := step + (step*step)%11 // Up to 0.2 s later.
		if v == w.vms[0] {
			at = step + 100 - step%100 // It stands still, and sends all at once.
		}
		used[at] = append(used[at], p)
	}
}

// fault draws something that happens to the fleet.
func (w *world) fault(t *rapid.T) {
	v := w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")]
	switch rapid.SampledFrom([]string{"gone", "back", "lose", "late", "deliver", "order", "order of all", "pause", "quiet"}).Draw(t, "what") {
	case "gone":
		w.gone[string(v.id)] = true
	case "back":
		clear(w.gone)
	case "lose":
		w.losing = !w.losing
	case "late":
		w.late = !w.late
	case "deliver":
		w.deliver()
	case "order":
		v.order = rapid.IntRange(0, 2).Draw(t, "first")
	case "order of all":
		first := rapid.IntRange(0, 2).Draw(t, "first")
		for _, v := range w.vms {
			v.order = first
		}
	case "quiet":
		w.quiet = !w.quiet
	case "pause":
		w.now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
	}
}

// Guards against a keeper that goes by a promise which came late: the VM may be bound to
// another one by then.
func TestLatePromiseDoesNotCount(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	k := newIntakes(func() time.Duration { return now }, func() bool { return false })
	pool, mark := PoolID{0, 1}, k.mark()
	ask := func() int {
		return k.take(IntakeRequest{VM: "a", Pool: pool, Upstream: "u", Intake: 1000}).Given
	}
	for _, c := range []struct {
		late time.Duration
		mark Mark
		want int
	}{
		{time.Second, mark, 1},
		{bondLife, mark, 0},
		{bondLife + time.Second, mark, 0},
		{0, Mark{Start: mark.Start + 1, At: mark.At}, 0}, // Of an earlier start of the keeper.
		{0, Mark{Start: mark.Start, At: mark.At + time.Hour}, 0},
	} {
		now = time.Hour + c.late
		clear(k.bonds)
		clear(k.byKey)
		k.bind("a", pool, Bond{Share: 1, Left: time.Minute, Mark: c.mark})
		_ = ask()
		now += 10 * time.Millisecond
		is.Equal(ask(), c.want)
	}
}

// Guards against permits that were kept from before another keeper gave out some.
func TestStoredPermitsAreLostWithTheBonds(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	k := newIntakes(func() time.Duration { return now }, func() bool { return false })
	pool := PoolID{0, 1}
	bind := func() { k.bind("a", pool, Bond{Share: 1, Left: time.Minute, Mark: k.mark()}) }
	ask := func() int {
		return k.take(IntakeRequest{VM: "a", Pool: pool, Upstream: "u", Intake: 10, Want: 9}).Given
	}
	bind()
	is.Equal(ask(), 0)
	now += time.Second
	is.Equal(ask(), 1) // Of 1.8 that are kept.
	now += bondLife
	bind()
	is.Equal(ask(), 0)
}

// Requests and promises that cannot be right are refused, and give nothing out.
func TestOddRequestsGetNoPermit(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1)
	w.turns(10)
	nan, inf := math.NaN(), math.Inf(1)
	for _, in := range []IntakeRequest{
		{Intake: roster.Intake(nan)}, {Intake: roster.Intake(inf)}, {Intake: -1}, {Intake: 10, Age: -1}, {Intake: 10, Want: -1},
	} {
		_, err := w.vms[0].pool.Permit(in)
		is.True(err != nil)
	}
	for _, share := range []float64{nan, inf, -1, 2} {
		k := newIntakes(func() time.Duration { return w.now }, func() bool { return false })
		k.bind("a", PoolID{0, 1}, Bond{Share: share, Left: time.Minute, Mark: k.mark()})
		is.Equal(len(k.bonds[PoolID{0, 1}].vms), 0)
	}
}

// What one question costs the VM that gives permits out, with 400 VMs bound to it and 175
// upstreams that name their intake.
func BenchmarkPermit(b *testing.B) {
	now := time.Hour
	k := newIntakes(func() time.Duration { return now }, func() bool { return false })
	pool, mark := PoolID{0, 4}, k.mark()
	for i := range 400 {
		k.bind(fleet.VMID(fmt.Sprint(i)), pool, Bond{Share: 1.0 / 400, Left: time.Hour, Mark: mark})
	}
	in := make([]IntakeRequest, 400)
	for i := range in {
		in[i] = IntakeRequest{VM: fleet.VMID(fmt.Sprint(i)), Pool: pool, Intake: 2.4, Upstream: fleet.UpstreamID(fmt.Sprint(i % 175))}
	}
	for i := 0; b.Loop(); i++ {
		now += 300 * time.Microsecond
		if i%3000 == 0 {
			for j := range 400 {
				k.bind(fleet.VMID(fmt.Sprint(j)), pool, Bond{Share: 1.0 / 400, Left: time.Hour, Mark: k.mark()})
			}
		}
		_ = k.take(in[i%len(in)])
	}
}
