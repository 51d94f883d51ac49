package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// In any 5 s no more loads start than the rate of the weight store allows in that time,
// plus one burst.
func TestLoadsStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.5, 16).Draw(t, "per second")
		var b loadLimiter
		var begun []time.Time
		now := time.Unix(0, 0)
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if !b.allow(now, perSecond) {
				continue
			}
			begun = append(begun, now)
			in := 0
			for _, at := range begun {
				if now.Sub(at) < 5*time.Second {
					in++
				}
			}
			if float64(in) > 5*perSecond+3 {
				t.Fatalf("%d loads within 5 s at %v a second", in, perSecond)
			}
		}
	})
}

// Plans at intervals can use nearly the whole rate of the weight store.
func TestPlansUseLoadRate(t *testing.T) {
	is := is.New(t)
	const perSecond, seconds = 15, 20
	var b loadLimiter
	now, begun := time.Unix(0, 0), 0
	for range seconds * time.Second / planInterval {
		now = now.Add(planInterval)
		for b.allow(now, perSecond) {
			begun++
		}
	}
	is.True(begun >= perSecond*(seconds-1))
}

// Demand that has shifted to another model decays within about two seconds.
func TestDemandFollowsShift(t *testing.T) {
	is := is.New(t)
	d, now := newDemandTracker(), time.Unix(0, 0)
	old, rising := modelKey{"s", "old"}, modelKey{"s", "rising"}
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		d.add(now, Demand{Service: "s", Model: "old", Tokens: 1000})
	}
	is.True(d.rate(now, old) > 8000) // of 10,000 a second
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		d.add(now, Demand{Service: "s", Model: "rising", Tokens: 1000})
	}
	is.True(d.rate(now, rising) > 2*d.rate(now, old))
}
