package placement

import (
	"math"
	"sync"
	"time"

	"toucanfall/fleet"
)

// ModelDemand is the demand for one model.
type ModelDemand struct {
	Model  fleet.ModelID         `json:"model"`
	Tokens fleet.TokensPerSecond `json:"tokens_per_second"`
}

// Demand tells the demand for models in the own data centre.
type Demand interface {
	Demand() []ModelDemand
}

// demandHalfLife is the time after which a token counts half.
const demandHalfLife = time.Minute

// Meter measures the demand of the requests of this VM as a decayed average.
// It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	models map[fleet.ModelID]*decayed
}

// decayed is a sum that loses half of itself in each half-life.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) advance(now time.Time) {
	d.sum *= math.Exp2(-now.Sub(d.at).Seconds() / demandHalfLife.Seconds())
	d.at = now
}

// NewMeter returns a meter without demand.
func NewMeter() *Meter {
	return &Meter{models: make(map[fleet.ModelID]*decayed)}
}

// Note counts tokens that were generated, or refused for want of an engine.
func (m *Meter) Add(model fleet.ModelID, n fleet.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.models[model]
	if !ok {
		d = &decayed{at: time.Now()}
		m.models[model] = d
	}
	d.advance(time.Now())
	d.sum += float64(n)
}

// Demand returns the average demand for each model.
func (m *Meter) Demand() []ModelDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	out := make([]ModelDemand, 0, len(m.models))
	for id, d := range m.models {
		d.advance(now)
		rate := d.sum * math.Ln2 / demandHalfLife.Seconds()
		out = append(out, ModelDemand{Model: id, Tokens: fleet.TokensPerSecond(rate)})
	}
	return out
}
