package servicetime

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
)

// draws are the durations of requests, in milliseconds.
var draws = map[string]func(*rand.Rand) float64{
	"even":      func(rng *rand.Rand) float64 { return 100 + 3900*rng.Float64() },
	"long tail": func(rng *rand.Rand) float64 { return 200 + 300*rng.ExpFloat64() },
}

// Guards against requests that a VM takes shortly before it stops and cannot answer: of requests whose
// durations are spread evenly or have a long tail, at most one in 200 may last longer than the estimate.
func TestLongestCoversNearlyAllRequests(t *testing.T) {
	for name, draw := range draws {
		for _, n := range []int{minDurations, 100, 2000} {
			late, total := 0, 0
			for seed := range uint64(50) {
				rng := rand.New(rand.NewPCG(seed, 1))
				late += countLonger(t, n, 200, func() time.Duration { return time.Duration(draw(rng) * float64(time.Millisecond)) })
				total += 200
			}
			if late*200 > total {
				t.Errorf("%s: after %d requests %d of %d lasted longer than the estimate", name, n, late, total)
			}
		}
	}
}

// countLonger returns how many of more requests last longer than the estimate after n.
func countLonger(t *testing.T, n, more int, next func() time.Duration) int {
	t.Helper()
	var d Durations
	now, c := time.Unix(0, 0), NewClass("r", 0)
	for range n {
		d.Add(now, c, next())
	}
	_, longest, known := d.Longest(now, c)
	if !known {
		t.Fatalf("not known after %d requests", n)
	}
	late := 0
	for range more {
		if next() > longest {
			late++
		}
	}
	return late
}

// Guards against an estimate that stays at an old slowdown, that one exception among many raises, or that
// mixes requests for few tokens with those for many.
func TestLongestFollowsRecentRequests(t *testing.T) {
	is := is.New(t)
	var d Durations
	now, short, long := time.Unix(0, 0), NewClass("r", 20), NewClass("r", 900)
	_, _, known := d.Longest(now, short)
	is.True(!known)
	for range 1000 {
		d.Add(now, short, 300*time.Millisecond)
		d.Add(now, long, 9*time.Second)
	}
	d.Add(now, short, 30*time.Second)
	longest, withMargin, known := d.Longest(now, short)
	is.True(known)
	is.True(longest >= 300*time.Millisecond && longest < 360*time.Millisecond)
	is.True(withMargin > longest && withMargin < 2*longest)
	longest, _, _ = d.Longest(now, long)
	is.True(longest >= 9*time.Second)
	longest, _, known = d.Longest(now, NewClass("r", 200)) // Without any of its own.
	is.True(known && longest >= 9*time.Second)
	_, _, known = d.Longest(now, NewClass("r", 5000))
	is.True(!known)
	for range minDurations {
		now = now.Add(10 * time.Second)
		d.Add(now, long, time.Second)
	}
	longest, _, _ = d.Longest(now, long)
	is.True(longest < 1200*time.Millisecond)
}

// Guards against memory that grows with the number of routes.
func TestDurationsAreBounded(t *testing.T) {
	is := is.New(t)
	var d Durations
	now := time.Unix(0, 0)
	for i := range 10 * maxClasses {
		d.Add(now, NewClass(fleet.RouteID(fmt.Sprint(i)), 0), time.Second)
	}
	is.Equal(len(d.classes), maxClasses)
	now = now.Add(2 * durationPeriod)
	d.Add(now, NewClass("new", 0), time.Second)
	is.Equal(len(d.classes), 1)
}
