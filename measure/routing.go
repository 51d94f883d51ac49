package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"toucanfall/dialect"
	"toucanfall/fleet"
	"toucanfall/upstream"
)

// FirstToken compares policies of choosing engines by the share of first tokens that
// arrive in time while the VMs' load reports are stale.
var FirstToken = Table{
	Name: "serving_first_token",
	Goal: "more first tokens within 1.1 s than round robin and least in flight, at the same load and the same engines",
	Seed: 6,
	Run:  runFirstToken,
}

// Parameters of the simulation: engines with slots and a prefix cache serve VMs, each of
// which knows only its own requests and stale load reports.
const (
	firstTokenVMs            = 7
	firstTokenEngines        = 12
	firstTokenSlots          = 8
	firstTokenReportDelay    = time.Second
	firstTokenDuration       = 12 * time.Second
	firstTokenPrompts        = 48
	firstTokenCachedPrefixes = 8
	coldPrefill              = 400 * time.Millisecond
	warmPrefill              = 50 * time.Millisecond
	tokenInterval            = 20 * time.Millisecond
	firstTokenGoal           = 1100 * time.Millisecond
)

// arrival is a simulated request.
type arrival struct {
	// at is the time since the start.
	at     time.Duration
	vm     int
	prefix dialect.PrefixKey
	// tokens is the number of tokens to generate.
	tokens int
}

// drawArrivals draws arrivals of a Poisson process with a rate per second. Prompts are
// Zipf-distributed, so that a few are much more frequent than the others.
func drawArrivals(seed uint64, rate float64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	zipf := rand.NewZipf(rng, 1.2, 1, firstTokenPrompts-1)
	var out []arrival
	for at := time.Duration(0); at < firstTokenDuration; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		out = append(out, arrival{
			at:     at,
			vm:     rng.IntN(firstTokenVMs),
			prefix: dialect.PrefixKey(zipf.Uint64() + 1),
			tokens: 10 + rng.IntN(50),
		})
	}
	return out
}

// slotEngine is a simulated engine that serves requests in order of arrival, as many in
// parallel as it has slots.
type slotEngine struct {
	slots chan struct{}
	// slowdown multiplies the durations of prefill and generation.
	slowdown time.Duration
	inFlight atomic.Int64

	// mu guards the fields below.
	mu sync.Mutex
	// prefixes are the cached prefixes, the most recently used last.
	prefixes []dialect.PrefixKey
	events   []dialect.CacheEvent
	// history contains inFlight at each loadSampleInterval, the newest last.
	history []int
}

func newSlotEngine() *slotEngine {
	return &slotEngine{slots: make(chan struct{}, firstTokenSlots), slowdown: 1}
}

// serve waits for a free slot, calls first after the first token and returns after the
// last one.
func (e *slotEngine) serve(a arrival, first func()) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	prefill := coldPrefill
	if e.touch(a.prefix) {
		prefill = warmPrefill
	}
	time.Sleep(e.slowdown * prefill)
	first()
	time.Sleep(e.slowdown * time.Duration(a.tokens) * tokenInterval)
}

// touch reports whether a prefix was cached, and makes it the most recently used one. It
// evicts the least recently used prefix if the cache is full.
func (e *slotEngine) touch(k dialect.PrefixKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, have := range e.prefixes {
		if have == k {
			e.prefixes = append(append(e.prefixes[:i:i], e.prefixes[i+1:]...), k)
			return true
		}
	}
	e.prefixes = append(e.prefixes, k)
	e.events = append(e.events, dialect.CacheEvent{Key: k})
	if len(e.prefixes) > firstTokenCachedPrefixes {
		e.events = append(e.events, dialect.CacheEvent{Key: e.prefixes[0], Evicted: true})
		e.prefixes = e.prefixes[1:]
	}
	return false
}

// recordLoad appends the current load to the history.
func (e *slotEngine) recordLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history = append(e.history, int(e.inFlight.Load()))
}

// loadSampleInterval is the time between two entries of an engine's history.
const loadSampleInterval = 50 * time.Millisecond

// slotFleet is a set of simulated engines. It implements the VM list and the reports
// that an upstream.Pool reads.
type slotFleet struct {
	engines []*slotEngine
}

// newSlotFleet returns a fleet of which the first slow engines run at half speed.
func newSlotFleet(slow int) *slotFleet {
	f := &slotFleet{}
	for i := range firstTokenEngines {
		e := newSlotEngine()
		if i < slow {
			e.slowdown = 2
		}
		f.engines = append(f.engines, e)
	}
	return f
}

// recordLoads records the load of each engine every loadSampleInterval until ctx ends.
func (f *slotFleet) recordLoads(ctx context.Context) {
	t := time.NewTicker(loadSampleInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, e := range f.engines {
			e.recordLoad()
		}
	}
}

// engine returns the engine with an address that VMs returned.
func (f *slotFleet) engine(address string) *slotEngine {
	var i int
	// VMs returns the index of each engine as its address.
	_, _ = fmt.Sscan(address, &i)
	return f.engines[i]
}

// VMs lists the engines.
func (f *slotFleet) VMs() []fleet.VM {
	var out []fleet.VM
	for i := range f.engines {
		out = append(out, fleet.VM{
			ID:      fleet.VMID(fmt.Sprintf("e%02d", i)),
			Role:    fleet.RoleModelEngine,
			Address: fmt.Sprint(i),
			State:   fleet.VMLive,
		})
	}
	return out
}

// Report returns the load of an engine as it was reportDelay ago.
func (f *slotFleet) Report(_ context.Context, address string) (dialect.EngineReport, error) {
	e := f.engine(address)
	e.mu.Lock()
	defer e.mu.Unlock()
	r := dialect.EngineReport{Slots: firstTokenSlots, Resident: []dialect.ResidentModel{{Model: "m", Ready: true}}}
	if i := len(e.history) - int(firstTokenReportDelay/loadSampleInterval); i >= 0 {
		r.Running = min(e.history[i], firstTokenSlots)
		r.Waiting = e.history[i] - r.Running
	}
	return r, nil
}

// ServiceReport returns an empty report: the fleet has no plain services.
func (f *slotFleet) ServiceReport(context.Context, string) (dialect.ServiceReport, error) {
	return dialect.ServiceReport{}, nil
}

// CacheEvents returns the cache events of an engine from an index on.
func (f *slotFleet) CacheEvents(_ context.Context, address string, from uint64) (dialect.CacheEvents, error) {
	e := f.engine(address)
	e.mu.Lock()
	defer e.mu.Unlock()
	events := append([]dialect.CacheEvent(nil), e.events[from:]...)
	return dialect.CacheEvents{First: from, Events: events}, nil
}

// chooser chooses an engine for a request. release must be called when the request has
// ended.
type chooser func(a arrival) (engine int, release func())

// roundRobin returns a chooser with a separate round-robin order for each VM.
func roundRobin() chooser {
	var next [firstTokenVMs]atomic.Int64
	return func(a arrival) (int, func()) {
		return (a.vm + int(next[a.vm].Add(1))) % firstTokenEngines, func() {}
	}
}

// leastInFlight returns a chooser that picks the engine with the fewest requests in
// flight from the same VM.
func leastInFlight() chooser {
	var mu sync.Mutex
	var own [firstTokenVMs][firstTokenEngines]int
	return func(a arrival) (int, func()) {
		mu.Lock()
		defer mu.Unlock()
		best := rand.IntN(firstTokenEngines)
		for i, n := range own[a.vm] {
			if n < own[a.vm][best] {
				best = i
			}
		}
		own[a.vm][best]++
		return best, func() {
			mu.Lock()
			defer mu.Unlock()
			own[a.vm][best]--
		}
	}
}

// poolChooser returns a chooser that uses a separate upstream.Pool for each VM. If a pool
// has no engine it returns the first one.
func poolChooser(pools []*upstream.Pool) chooser {
	return func(a arrival) (int, func()) {
		l, err := pools[a.vm].Engine(upstream.Requirements{Model: "m", Prefix: []dialect.PrefixKey{a.prefix}})
		if err != nil {
			return 0, func() {}
		}
		var i int
		_, _ = fmt.Sscan(l.Upstream.VM.Address, &i)
		return i, l.Release
	}
}

// replay sends requests to a fleet in real time, and returns the share of first tokens
// that arrived within firstTokenGoal and the longest time to first token.
func replay(f *slotFleet, arrivals []arrival, choose chooser) (float64, time.Duration) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	inTime := 0
	var longest time.Duration
	begin := time.Now()
	for _, a := range arrivals {
		time.Sleep(time.Until(begin.Add(a.at)))
		wg.Go(func() {
			arrived := time.Now()
			i, release := choose(a)
			defer release()
			f.engines[i].serve(a, func() {
				mu.Lock()
				defer mu.Unlock()
				took := time.Since(arrived)
				longest = max(longest, took)
				if took <= firstTokenGoal {
					inTime++
				}
			})
		})
	}
	wg.Wait()
	return float64(inTime) / float64(len(arrivals)), longest
}

// runFirstToken replays the same arrivals for all policies in parallel, each on a fleet of
// its own.
func runFirstToken(seed uint64) (Result, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loads := []struct {
		rate float64
		slow int
	}{{75, 0}, {95, 0}, {60, 3}, {75, 3}}
	policies := []string{"round robin", "least in flight", "this routing"}
	rows := make([][]string, len(loads)*len(policies))
	var wg sync.WaitGroup
	for i, load := range loads {
		arrivals := drawArrivals(seed, load.rate)
		for j, policy := range policies {
			wg.Go(func() {
				f := newSlotFleet(load.slow)
				go f.recordLoads(ctx)
				choose, closePools := newChooser(policy, f)
				defer closePools()
				inTime, longest := replay(f, arrivals, choose)
				rows[i*len(policies)+j] = []string{
					policy, fmt.Sprint(load.rate), fmt.Sprint(load.slow), fmt.Sprintf("%.1f %%", 100*inTime), longest.Round(time.Millisecond).String(),
				}
			})
		}
	}
	wg.Wait()
	return Result{
		Header: []string{"policy", "requests/s", "slow engines", "first token within 1.1 s", "longest"},
		Rows:   rows,
		Notes: []string{
			"7 VMs before 12 engines of 8 slots and 8 cached prefixes each; 48 prompts, Zipf 1.2; prefill 400 ms cold and 50 ms warm; reports are 1 s old when they are given and are asked for every 500 ms.",
			"The policies run at once in real time, each with the same arrivals on engines of its own.",
		},
	}, nil
}

// newChooser returns the chooser of a policy and a function that must be called after its
// use.
func newChooser(policy string, f *slotFleet) (chooser, func()) {
	switch policy {
	case "round robin":
		return roundRobin(), func() {}
	case "least in flight":
		return leastInFlight(), func() {}
	}
	var pools []*upstream.Pool
	for range firstTokenVMs {
		pools = append(pools, upstream.NewPool("", f, f))
	}
	// The pools have read their first reports before the first request.
	time.Sleep(upstream.ReportInterval)
	return poolChooser(pools), func() {
		for _, p := range pools {
			p.Close()
		}
	}
}
