package coordinator

import (
	"math"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
)

// Times of demand.
const (
	// demandMemory is how fast demand is forgotten: a placement is to follow a
	// shift of demand within two seconds.
	demandTimeConstant = 1000 * time.Millisecond
	// trendMemory is the same for the sum that the trend is taken against.
	trendTimeConstant = 2500 * time.Millisecond
	// demandAhead is how far ahead demand is foreseen: a model that is ordered
	// now can be used in some 4 s by the sheets.
	forecastHorizon = 4 * time.Second
	// requestTokens is the size of a usual request, by which chance is told from
	// a trend; noise is how many times the deviation that chance makes counts as
	// chance.
	typicalRequestTokens = 1500
	noiseDeviations      = 0.5
)

// modelKey names a model of a service.
type modelKey struct {
	service catalogue.ServiceID
	model   fleet.ModelID
}

// demand is a pair of decaying sums of the tokens that were asked for, by model.
type demandTracker struct {
	fast, slow map[modelKey]decayingSum
}

// decaying is a decaying sum when something was added last.
type decayingSum struct {
	sum     float64
	updated time.Time
}

func newDemandTracker() *demandTracker {
	return &demandTracker{fast: make(map[modelKey]decayingSum), slow: make(map[modelKey]decayingSum)}
}

func (d *demandTracker) add(now time.Time, in Demand) {
	k := modelKey{in.Service, in.Model}
	d.fast[k] = d.fast[k].add(now, demandTimeConstant, in.Tokens)
	d.slow[k] = d.slow[k].add(now, trendTimeConstant, in.Tokens)
}

func (s decayingSum) add(now time.Time, timeConstant time.Duration, n fleet.Tokens) decayingSum {
	return decayingSum{sum: s.rate(now, timeConstant)*timeConstant.Seconds() + float64(n), updated: now}
}

// rate returns what was added in a second, over the memory.
func (s decayingSum) rate(now time.Time, timeConstant time.Duration) float64 {
	if s.sum == 0 {
		return 0
	}
	return s.sum * math.Exp(-now.Sub(s.updated).Seconds()/timeConstant.Seconds()) / timeConstant.Seconds()
}

// rate returns the tokens a second that are asked for.
func (d *demandTracker) rate(now time.Time, k modelKey) float64 {
	return d.fast[k].rate(now, demandTimeConstant)
}

// ahead returns the tokens a second that will be asked for when a model that is
// ordered now can be used, if demand goes on moving as it does. A difference that
// chance may have made is no trend.
func (d *demandTracker) forecast(now time.Time, k modelKey) float64 {
	fast, slow := d.rate(now, k), d.slow[k].rate(now, trendTimeConstant)
	threshold := noiseDeviations * math.Sqrt(max(fast, slow)*typicalRequestTokens/(2*demandTimeConstant.Seconds()))
	change := fast - slow
	if math.Abs(change) <= threshold {
		return fast
	}
	change -= math.Copysign(threshold, change)
	// A sum lags behind a steady trend by its memory.
	trend := change / (trendTimeConstant - demandTimeConstant).Seconds()
	return max(fast+trend*(forecastHorizon+demandTimeConstant).Seconds(), 0)
}

// loadBudget bounds the loads from the weight store.
type loadLimiter struct {
	tokens  float64
	updated time.Time
}

// Bounds of how many loads may begin at once after a pause. The most is what may
// begin beyond the rate by the sheets; less where that does for a plan's interval.
const (
	minBurst = 2
	maxBurst = 3
)

// take reports whether a load may begin now.
func (b *loadLimiter) allow(now time.Time, perSecond float64) bool {
	if b.updated.IsZero() {
		b.tokens = 1
	} else {
		burst := min(max(perSecond*planInterval.Seconds(), minBurst), maxBurst)
		b.tokens = min(b.tokens+now.Sub(b.updated).Seconds()*perSecond, burst)
	}
	b.updated = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
