package servicetime

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// noisy returns the processing time of a machine that is 2.5 times slower in 15% of the intervals of
// 0.6 s.
func noisy(seed uint64, base float64, at time.Duration) float64 {
	interval := uint64(at / (600 * time.Millisecond))
	if rand.New(rand.NewPCG(seed, interval)).Float64() < 0.15 {
		return 2.5 * base
	}
	return base
}

// shareOff returns how often the estimate is off by more than 0.3 of the machine's own time.
func shareOff(seed uint64, base float64, every time.Duration) float64 {
	var e Estimate
	start, off, n := time.Unix(0, 0), 0, 0
	for at := time.Duration(0); at < 400*time.Second; at += every {
		e.Add(start.Add(at), noisy(seed, base, at))
		if at < 10*every {
			continue
		}
		n++
		if r, _ := e.Ratio(start.Add(at)); math.Abs(r-base) > 0.3*base {
			off++
		}
	}
	return float64(off) / float64(n)
}

// Guards against following slowdowns that are over before a request ends: the estimates of machines of
// speed 0.6, 1 and 1.6 keep their order and stay near the machine's own time, whether a VM sees one
// answer in five seconds or many a second.
func TestEstimateFollowsSpeedAndNotNoise(t *testing.T) {
	for _, every := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 5 * time.Second} {
		t.Run(every.String(), func(t *testing.T) {
			for i, speed := range []float64{0.6, 1, 1.6} {
				if off := shareOff(uint64(i), 1/speed, every); off > 0.1 {
					t.Errorf("speed %v: off by more than 0.3 in %.2f of the time", speed, off)
				}
			}
		})
	}
}

// Guards against an engine that is avoided for ever because of an old report, and against reports that
// are not numbers.
func TestEstimateLosesWeightWithAge(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var e Estimate
	r, ok := e.Ratio(now)
	is.True(!ok)
	is.Equal(r, 1.0)
	e.Add(now, math.NaN())
	e.Add(now, -1)
	_, ok = e.Ratio(now)
	is.True(!ok)
	for i := range 10 {
		e.Add(now.Add(time.Duration(i)*time.Second), 4)
	}
	last := 4.0
	for _, age := range []time.Duration{10, 40, 100, 300} {
		r, ok = e.Ratio(now.Add(age * time.Second))
		is.True(ok)
		is.True(r < last)
		last = r
	}
	is.True(last < 1.01)
	// A lasting change is followed within some seconds.
	for i := range 5 {
		e.Add(now.Add(time.Duration(300+i)*time.Second), 0.5)
	}
	r, _ = e.Ratio(now.Add(304 * time.Second))
	is.Equal(r, 0.5)
}

// Guards against a choice that differs from that by requests where all engines are alike.
func TestCostOrdersEqualEnginesByWork(t *testing.T) {
	is := is.New(t)
	for _, ratio := range []float64{0.6, 1, 2.5} {
		for n := range 40 {
			is.True(Cost(float64(n), n, 12, ratio) < Cost(float64(n+1), n+1, 12, ratio))
		}
	}
	// An empty slow engine is worse than a fast one with few requests, and better than one that is full.
	is.True(Cost(0, 0, 12, 1.7) > Cost(2, 2, 12, 0.6))
	is.True(Cost(0, 0, 12, 1.7) < Cost(13, 13, 12, 0.6))
}
