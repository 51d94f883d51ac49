package placement

import (
	"context"
	"sync"
	"time"

	"toucanfall/fault"
)

// PermitKind is the operation that a permit allows.
type PermitKind string

// The kinds of permits.
const (
	PermitWeightLoad  PermitKind = "weight_load"
	PermitAdapterLoad PermitKind = "adapter_load"
)

// Permits enforces the limits of the weight store and of adapter loads over the
// whole fleet. Acquire fails without waiting if no permit is free. The caller
// calls release when the load has ended.
type Permits interface {
	Acquire(ctx context.Context, kind PermitKind) (release func(), err error)
}

// Limits over all data centres.
const (
	fleetWeightLoadsPerSecond   = 2
	fleetConcurrentWeightLoads  = 8
	fleetConcurrentAdapterLoads = 64
)

// StaticPermits holds one data centre's fixed share of the fleet's limits, so
// that data centres need not coordinate. It is safe for concurrent use.
type StaticPermits struct {
	// weightLoadInterval is the least time between two weight loads.
	weightLoadInterval time.Duration
	// limits bounds the permits held at a time, by kind.
	limits map[PermitKind]int

	// mu guards the fields below.
	mu             sync.Mutex
	held           map[PermitKind]int
	nextWeightLoad time.Time
}

// NewStaticPermits returns the permits of one of n data centres. The first
// weight load is allowed after a full interval, so that a restart does not
// exceed the rate of loads.
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

// Acquire takes a permit, or fails with [fault.Overloaded] if none is free now.
// It never blocks. The returned function releases the permit and may be called
// more than once.
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
