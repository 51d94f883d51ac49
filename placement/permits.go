package placement

import (
	"context"
	"sync"
	"time"

	"toucanfall/fault"
)

// PermitKind is what a permit allows.
type PermitKind string

// The kinds of permits.
const (
	PermitWeightLoad  PermitKind = "weight_load"
	PermitAdapterLoad PermitKind = "adapter_load"
)

// Permits keeps the limits of the weight store and of adapter loads over the
// whole fleet. Release ends what a permit allowed.
type Permits interface {
	Acquire(ctx context.Context, kind PermitKind) (release func(), err error)
}

// Limits of the whole fleet.
const (
	fleetWeightLoadsPerSecond   = 2
	fleetConcurrentWeightLoads  = 8
	fleetConcurrentAdapterLoads = 64
)

// StaticPermits gives each data centre a fixed part of the fleet's limits, so
// that no data centre needs another one's word.
type StaticPermits struct {
	weightLoadInterval time.Duration
	limits             map[PermitKind]int

	mu             sync.Mutex
	held           map[PermitKind]int
	nextWeightLoad time.Time
}

// NewStaticPermits returns the permits of one of n data centres. The first
// load waits for a whole interval, so that a restart gives no permit twice.
func NewStaticPermits(n int) *StaticPermits {
	interval := time.Duration(n) * time.Second / fleetWeightLoadsPerSecond
	return &StaticPermits{
		weightLoadInterval: interval,
		limits: map[PermitKind]int{
			PermitWeightLoad:  max(1, fleetConcurrentWeightLoads/n),
			PermitAdapterLoad: max(1, fleetConcurrentAdapterLoads/n),
		},
		held:           make(map[PermitKind]int),
		nextWeightLoad: time.Now().Add(interval),
	}
}

// Acquire takes a permit if there is one now, and fails otherwise.
func (p *StaticPermits) Acquire(_ context.Context, kind PermitKind) (func(), error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.held[kind] >= p.limits[kind] || kind == PermitWeightLoad && now.Before(p.nextWeightLoad) {
		return nil, fault.New(fault.Overloaded, "no permit for a %s now", kind)
	}
	if kind == PermitWeightLoad {
		p.nextWeightLoad = now.Add(p.weightLoadInterval)
	}
	p.held[kind]++
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.held[kind]--
	}), nil
}
