package placement

import (
	"math"
	"sync"
	"time"

	"toucanfall/fleet"
)

// ModelDemand is the rate at which one model's tokens are demanded, in tokens
// per second.
type ModelDemand struct {
	Model  fleet.ModelID         `json:"model"`
	Tokens fleet.TokensPerSecond `json:"tokens_per_second"`
}

// Demand reports the demand for each model in this data centre.
type Demand interface {
	Demand() []ModelDemand
}

// demandHalfLife is the time in which the weight of a counted token halves.
const demandHalfLife = time.Minute

// Meter measures the demand of this VM's requests as an exponentially decayed
// average per model.
// It is safe for concurrent use.
type Meter struct {
	// mu guards models.
	mu     sync.Mutex
	models map[fleet.ModelID]*decayingSum
}

// decayingSum is a sum that halves in each half-life.
type decayingSum struct {
	sum       float64
	updatedAt time.Time
}

// decayTo applies the decay between the last update and now.
func (d *decayingSum) decayTo(now time.Time) {
	d.sum *= math.Exp2(-now.Sub(d.updatedAt).Seconds() / demandHalfLife.Seconds())
	d.updatedAt = now
}

// NewMeter returns a meter that has counted no tokens.
func NewMeter() *Meter {
	return &Meter{models: make(map[fleet.ModelID]*decayingSum)}
}

// Add counts tokens that were generated, or rejected because no engine could
// serve them.
func (m *Meter) Add(model fleet.ModelID, n fleet.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.models[model]
	if !ok {
		d = &decayingSum{updatedAt: time.Now()}
		m.models[model] = d
	}
	d.decayTo(time.Now())
	d.sum += float64(n)
}

// Demand returns the average demand for each model that has been counted.
func (m *Meter) Demand() []ModelDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	out := make([]ModelDemand, 0, len(m.models))
	for id, d := range m.models {
		d.decayTo(now)
		rate := d.sum * math.Ln2 / demandHalfLife.Seconds()
		out = append(out, ModelDemand{Model: id, Tokens: fleet.TokensPerSecond(rate)})
	}
	return out
}
