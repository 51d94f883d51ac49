package coordinator

import (
	"math"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
)

const (
	// demandTimeConstant is the time constant with which past demand decays: placement is
	// to follow a shift of demand within two seconds.
	demandTimeConstant = 1000 * time.Millisecond
	// trendTimeConstant is the time constant of the slower sum from which the trend is
	// calculated.
	trendTimeConstant = 2500 * time.Millisecond
	// forecastHorizon is how far ahead demand is forecast: a model that is ordered now can
	// be used after some 4 s according to the capacity documentation.
	forecastHorizon = 4 * time.Second
	// typicalRequestTokens is the size of a typical request, from which the random
	// deviation of demand is estimated. A change within noiseDeviations standard deviations
	// is not a trend.
	typicalRequestTokens = 1500
	noiseDeviations      = 0.5
)

// modelKey identifies a model of a service.
type modelKey struct {
	service catalogue.ServiceID
	model   fleet.ModelID
}

// demandTracker keeps two exponentially decaying sums of requested tokens for each model.
// Coordinator.mu guards it.
type demandTracker struct {
	fast, slow map[modelKey]decayingSum
}

// decayingSum is a sum that decays exponentially, as of its last update.
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

// rate returns the decayed sum divided by the time constant: tokens a second.
func (s decayingSum) rate(now time.Time, timeConstant time.Duration) float64 {
	if s.sum == 0 {
		return 0
	}
	return s.sum * math.Exp(-now.Sub(s.updated).Seconds()/timeConstant.Seconds()) / timeConstant.Seconds()
}

// rate returns the current demand for a model in tokens a second.
func (d *demandTracker) rate(now time.Time, k modelKey) float64 {
	return d.fast[k].rate(now, demandTimeConstant)
}

// forecast returns the demand for a model in tokens a second at the forecast horizon, if
// the trend continues. A change that random deviation explains is not a trend.
func (d *demandTracker) forecast(now time.Time, k modelKey) float64 {
	fast, slow := d.rate(now, k), d.slow[k].rate(now, trendTimeConstant)
	threshold := noiseDeviations * math.Sqrt(max(fast, slow)*typicalRequestTokens/(2*demandTimeConstant.Seconds()))
	change := fast - slow
	if math.Abs(change) <= threshold {
		return fast
	}
	change -= math.Copysign(threshold, change)
	// A decaying sum lags behind a steady trend by its time constant.
	trend := change / (trendTimeConstant - demandTimeConstant).Seconds()
	return max(fast+trend*(forecastHorizon+demandTimeConstant).Seconds(), 0)
}

// loadLimiter is a token bucket that limits the loads from the weight store. Coordinator.mu
// guards it.
type loadLimiter struct {
	tokens  float64
	updated time.Time
}

// Limits of the loads that may start in a burst, as tokens of the bucket. The bucket holds
// the loads of one plan interval within these limits. The weight store accepts maxBurst
// loads beyond its rate, according to the capacity documentation.
const (
	minBurst = 2
	maxBurst = 3
)

// allow reports whether a load may start now, and takes a token if so. perSecond is the
// refill rate.
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
