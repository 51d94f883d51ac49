// Package servicetime estimates how long work takes: how fast an engine is, relative to what is usual,
// and what that means for the choice of an engine; and how long the requests of a route last.
//
// Load pattern: engines of unequal speed, each of which is also slowed down for fractions of a second
// by work that the fleet does not see. The speed of a machine is to be followed; a slowdown that is
// over before a request that is sent now has ended is not. Each VM sees only a few answers of an
// engine: with 61 VMs and 90 engines about one in five seconds.
package servicetime

import (
	"math"
	"slices"
	"time"
)

// Bounds of the estimate.
const (
	// interval is the time whose observations count as one: slowdowns last about 0.6 s, and the
	// observations of one slowdown must not outnumber all others.
	interval = 500 * time.Millisecond
	// intervals is the number of intervals of which the median is taken. Requests run for up to 2 s,
	// so the median must cover some 4 s for a slowdown of 2 s not to be followed.
	intervals = 8
	// trustDecay is the time constant with which the newest observation loses its weight against the
	// usual time. It is several times the 5 s between two observations on a large fleet. A slow engine
	// that is avoided is tried again after some such times.
	trustDecay = 30 * time.Second
	// sampleLifetime is how long an observation counts beside newer ones.
	sampleLifetime = 60 * time.Second
	// minRatio and maxRatio bound an observation: no machine of a fleet is more than 20 times
	// faster or slower than usual, so anything beyond is a false report.
	minRatio = 0.05
	maxRatio = 20
)

// Estimate estimates an engine's relative processing time from the reports of its answers: 1 means
// as usual, 2 that work takes twice as long. The zero value has no observations. It is not safe for
// concurrent use.
type Estimate struct {
	// samples holds the mean observation of each recent interval with observations, oldest first.
	samples []sample
	// median is the median of the samples that count, as of the newest observation.
	median float64
}

// sample is the mean of the observations of one interval, which began at began.
type sample struct {
	began, newest time.Time
	sum           float64
	count         int
}

func (s sample) mean() float64 {
	return s.sum / float64(s.count)
}

// Add adds an observation. Values that are not positive numbers are ignored.
func (e *Estimate) Add(now time.Time, ratio float64) {
	if !(ratio > 0) {
		return
	}
	ratio = min(max(ratio, minRatio), maxRatio)
	if n := len(e.samples); n > 0 && now.Sub(e.samples[n-1].began) < interval {
		s := &e.samples[n-1]
		s.sum, s.count, s.newest = s.sum+ratio, s.count+1, now
	} else {
		e.samples = append(e.samples, sample{began: now, newest: now, sum: ratio, count: 1})
	}
	e.samples = slices.DeleteFunc(e.samples, func(s sample) bool { return now.Sub(s.newest) >= sampleLifetime })
	if len(e.samples) > intervals {
		e.samples = slices.Delete(e.samples, 0, 1)
	}
	means := make([]float64, 0, intervals)
	for _, s := range e.samples {
		means = append(means, s.mean())
	}
	e.median = median(means)
}

// Ratio returns the relative processing time, which approaches 1 as the newest observation ages. It
// returns 1 and false if there has never been an observation.
func (e *Estimate) Ratio(now time.Time) (float64, bool) {
	if len(e.samples) == 0 {
		return 1, false
	}
	age := max(now.Sub(e.samples[len(e.samples)-1].newest), 0)
	return 1 + (e.median-1)*math.Exp(-float64(age)/float64(trustDecay)), true
}

// median returns the median of values, which it sorts. Of an even number it returns the lower of the
// two in the middle: slowdowns are exceptions, so of two observations the faster one is likelier to be
// the machine's own.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Weights of the expected time. The unit is the time that one more request at an engine of usual
// speed adds to the others there.
const (
	// ownShare is the part of an engine's slots whose requests together add as much time to a request
	// as it takes alone. Engines run requests in batches, so a request at an empty engine is not free:
	// without this part a slow engine is as good as a fast one while both are empty. By the capacity
	// documentation requests in all slots add 0.2 to 0.7 of that time. In the simulation of
	// TestChoiceByExpectedTime 0.5 is slower and 2 no faster.
	ownShare = 1
	// defaultSlots is assumed where an engine states no slots.
	defaultSlots = 12
	// crowdedShare is the part of the slots from which each further request costs crowdedWeight more.
	// Beyond the slots a request waits for its first event and may be preempted, and what a VM knows of
	// an engine is some hundred milliseconds old.
	crowdedShare  = 0.75
	crowdedWeight = 3
)

// Cost returns the expected time of one more request at an engine, in requests. work is the work there
// including what this VM can only assume, inFlight the requests that are known to be there, and ratio the
// relative processing time. At equal ratios and slots it orders engines by work.
func Cost(work float64, inFlight, slots int, ratio float64) float64 {
	if slots <= 0 {
		slots = defaultSlots
	}
	crowded := max(float64(inFlight+1)-crowdedShare*float64(slots), 0)
	return ratio * (ownShare*float64(slots) + work + crowdedWeight*crowded)
}
