package servicetime

import (
	"math"
	"math/bits"
	"sync"
	"time"

	"toucanfall/fleet"
)

// Bounds of Durations.
const (
	// durationPeriod is the time after which the older of two sets of observations is dropped.
	durationPeriod = time.Minute
	// bucketsPerOctave is the number of buckets in which a duration doubles, and durationBuckets the
	// number of all, from 1 ms to 65 s.
	bucketsPerOctave = 4
	durationBuckets  = 16 * bucketsPerOctave
	// ignoredShare is the divisor that gives the part of the observations that are left out as
	// exceptions, the longest first.
	ignoredShare = 500
	// minDurations is the number of observations from which an estimate counts as known.
	minDurations = 20
	// maxClasses bounds the number of classes. Further ones are not known.
	maxClasses = 512
)

// Class is a class of requests that last about as long: those of a route with about as many tokens.
type Class struct {
	Route fleet.RouteID
	size  int
}

// NewClass returns the class of requests of a route that ask for n tokens, 0 for those without tokens.
// The tokens of a class differ by a factor of less than 2.
func NewClass(route fleet.RouteID, n fleet.Tokens) Class {
	return Class{route, bits.Len(uint(max(n, 0)))}
}

// Durations estimates how long requests last, from their receipt to the end of the answer, by the
// recent ones of the same class. Its memory is bounded, and an observation costs a constant time. The zero
// value knows nothing. It is safe for concurrent use.
type Durations struct {
	mu      sync.Mutex
	classes map[Class]*observations // Guarded by mu.
}

// observations are the durations of one class in the current and in the previous period, by bucket.
type observations struct {
	began             time.Time
	current, previous [durationBuckets]uint32
}

// age drops observations older than two periods.
func (o *observations) age(now time.Time) {
	periods := now.Sub(o.began) / durationPeriod
	if periods < 1 {
		return
	}
	o.previous = o.current
	if periods > 1 {
		o.previous = [durationBuckets]uint32{}
	}
	o.current, o.began = [durationBuckets]uint32{}, now
}

// addTo adds the observations to counts, and returns their number.
func (o *observations) addTo(counts *[durationBuckets]int) int {
	n := 0
	for i := range counts {
		k := int(o.current[i] + o.previous[i])
		counts[i] += k
		n += k
	}
	return n
}

// bucketOf returns the bucket of a duration: the first whose limit is not below it.
func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Ceil(bucketsPerOctave*math.Log2(ms))), durationBuckets-1)
}

// limitOf returns the longest duration of a bucket.
func limitOf(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket)/bucketsPerOctave) * float64(time.Millisecond))
}

// Add adds the duration of a request.
func (d *Durations) Add(now time.Time, c Class, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.classes[c]
	if o == nil {
		if o = d.addClass(now, c); o == nil {
			return
		}
	}
	o.age(now)
	o.current[bucketOf(took)]++
}

// addClass adds a class. At maxClasses it first removes those without observations in two periods, and
// returns nil if there is none. The caller must hold d.mu.
func (d *Durations) addClass(now time.Time, c Class) *observations {
	if d.classes == nil {
		d.classes = make(map[Class]*observations)
	}
	if len(d.classes) >= maxClasses {
		for k, o := range d.classes {
			if now.Sub(o.began) >= 2*durationPeriod {
				delete(d.classes, k)
			}
		}
	}
	if len(d.classes) >= maxClasses {
		return nil
	}
	o := &observations{began: now}
	d.classes[c] = o
	return o
}

// Longest returns the time within which nearly all recent requests of a class ended, rounded up by at
// most a fifth, and an upper bound: the same without leaving out a single exception, with a margin for
// requests that last longer than any of them, which is the larger the fewer there were. If there were fewer than minDurations, those of the route with more tokens
// count too, which last longer. known is false if there are still too few.
func (d *Durations) Longest(now time.Time, c Class) (longest, withMargin time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var counts [durationBuckets]int
	n := 0
	for ; n < minDurations && c.size <= bits.UintSize; c.size++ {
		if o := d.classes[c]; o != nil {
			o.age(now)
			n += o.addTo(&counts)
		}
	}
	if n == 0 {
		return 0, 0, false
	}
	known = n >= minDurations
	strict := longestBut(counts, n/ignoredShare)
	longest = strict
	if known {
		longest = longestBut(counts, max(n/ignoredShare, 1))
	}
	margin := 0.25 + 10/float64(n)
	return longest, strict + time.Duration(margin*float64(strict)), known
}

// longestBut returns the longest duration of the counted ones without the longest ignored ones.
func longestBut(counts [durationBuckets]int, ignored int) time.Duration {
	bucket := durationBuckets - 1
	for ; bucket > 0; bucket-- {
		if ignored -= counts[bucket]; ignored < 0 {
			break
		}
	}
	return limitOf(bucket)
}
