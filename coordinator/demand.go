package coordinator

import (
	"math"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
)

// demandMemory is how fast demand is forgotten: a placement is to follow a
// shift of demand within two seconds.
const demandMemory = 1500 * time.Millisecond

// modelKey names a model of a service.
type modelKey struct {
	service catalogue.ServiceID
	model   fleet.ModelID
}

// demand is a decaying sum of the tokens that were asked for, by model.
type demand struct {
	sums map[modelKey]decaying
}

type decaying struct {
	sum float64
	at  time.Time
}

func newDemand() *demand {
	return &demand{sums: make(map[modelKey]decaying)}
}

func (d *demand) add(now time.Time, in Demand) {
	k := modelKey{in.Service, in.Model}
	d.sums[k] = decaying{sum: d.rate(now, k)*demandMemory.Seconds() + float64(in.Tokens), at: now}
}

// rate returns the tokens a second that are asked for.
func (d *demand) rate(now time.Time, k modelKey) float64 {
	s := d.sums[k]
	if s.sum == 0 {
		return 0
	}
	age := now.Sub(s.at).Seconds()
	return s.sum * math.Exp(-age/demandMemory.Seconds()) / demandMemory.Seconds()
}

// loadBudget bounds the loads from the weight store.
type loadBudget struct {
	level float64
	at    time.Time
}

// budgetDepth is how many loads may begin at once after a pause.
const budgetDepth = 2

// take reports whether a load may begin now.
func (b *loadBudget) take(now time.Time, perSecond float64) bool {
	if b.at.IsZero() {
		b.level = 1
	} else {
		b.level = min(b.level+now.Sub(b.at).Seconds()*perSecond, budgetDepth)
	}
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
