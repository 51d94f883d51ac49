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
	demandMemory = 1000 * time.Millisecond
	// trendMemory is the same for the sum that the trend is taken against.
	trendMemory = 2500 * time.Millisecond
	// demandAhead is how far ahead demand is foreseen: a model that is ordered
	// now can be used in some 4 s by the sheets.
	demandAhead = 4 * time.Second
	// requestTokens is the size of a usual request, by which chance is told from
	// a trend; noise is how many times the deviation that chance makes counts as
	// chance.
	requestTokens = 1500
	noise         = 0.5
)

// modelKey names a model of a service.
type modelKey struct {
	service catalogue.ServiceID
	model   fleet.ModelID
}

// demand is a pair of decaying sums of the tokens that were asked for, by model.
type demand struct {
	fast, slow map[modelKey]decaying
}

// decaying is a decaying sum when something was added last.
type decaying struct {
	sum float64
	at  time.Time
}

func newDemand() *demand {
	return &demand{fast: make(map[modelKey]decaying), slow: make(map[modelKey]decaying)}
}

func (d *demand) add(now time.Time, in Demand) {
	k := modelKey{in.Service, in.Model}
	d.fast[k] = d.fast[k].add(now, demandMemory, in.Tokens)
	d.slow[k] = d.slow[k].add(now, trendMemory, in.Tokens)
}

func (s decaying) add(now time.Time, memory time.Duration, n fleet.Tokens) decaying {
	return decaying{sum: s.rate(now, memory)*memory.Seconds() + float64(n), at: now}
}

// rate returns what was added in a second, over the memory.
func (s decaying) rate(now time.Time, memory time.Duration) float64 {
	if s.sum == 0 {
		return 0
	}
	return s.sum * math.Exp(-now.Sub(s.at).Seconds()/memory.Seconds()) / memory.Seconds()
}

// rate returns the tokens a second that are asked for.
func (d *demand) rate(now time.Time, k modelKey) float64 {
	return d.fast[k].rate(now, demandMemory)
}

// ahead returns the tokens a second that will be asked for when a model that is
// ordered now can be used, if demand goes on moving as it does. A difference that
// chance may have made is no trend.
func (d *demand) ahead(now time.Time, k modelKey) float64 {
	fast, slow := d.rate(now, k), d.slow[k].rate(now, trendMemory)
	chance := noise * math.Sqrt(max(fast, slow)*requestTokens/(2*demandMemory.Seconds()))
	moved := fast - slow
	if math.Abs(moved) <= chance {
		return fast
	}
	moved -= math.Copysign(chance, moved)
	// A sum lags behind a steady trend by its memory.
	trend := moved / (trendMemory - demandMemory).Seconds()
	return max(fast+trend*(demandAhead+demandMemory).Seconds(), 0)
}

// loadBudget bounds the loads from the weight store.
type loadBudget struct {
	level float64
	at    time.Time
}

// Bounds of how many loads may begin at once after a pause. The most is what may
// begin beyond the rate by the sheets; less where that does for a plan's interval.
const (
	leastDepth = 2
	mostDepth  = 3
)

// take reports whether a load may begin now.
func (b *loadBudget) take(now time.Time, perSecond float64) bool {
	if b.at.IsZero() {
		b.level = 1
	} else {
		depth := min(max(perSecond*planEvery.Seconds(), leastDepth), mostDepth)
		b.level = min(b.level+now.Sub(b.at).Seconds()*perSecond, depth)
	}
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
