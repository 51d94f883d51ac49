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

// FirstToken compares choices of engines by how many first tokens come in time
// while reports of load lag.
var FirstToken = Table{
	Name: "serving_first_token",
	Goal: "more first tokens within 1.1 s than round robin and least in flight, at the same load and the same engines",
	Seed: 6,
	Run:  runFirstToken,
}

// The model: engines with slots and a prefix cache, before them VMs that each
// see only their own requests and reports that lag.
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

// modelArrival is one request of the model.
type arrival struct {
	at     time.Duration
	vm     int
	prefix dialect.PrefixKey
	tokens int
}

// modelArrivals draws Poisson arrivals at a rate per second. A few prompts are
// much more frequent than the others.
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

// modelEngine serves requests in order of arrival, as many at once as it has
// slots.
type slotEngine struct {
	slots chan struct{}
	// pace multiplies all times.
	slowdown time.Duration
	inFlight atomic.Int64

	mu       sync.Mutex
	prefixes []dialect.PrefixKey
	events   []dialect.CacheEvent
	// history holds the load at each tick, the newest last.
	history []int
}

func newSlotEngine() *slotEngine {
	return &slotEngine{slots: make(chan struct{}, firstTokenSlots), slowdown: 1}
}

// serve calls first when the first token is there, and returns after the last.
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

// touch reports whether the prefix was in the cache, and puts it there.
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

func (e *slotEngine) recordLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history = append(e.history, int(e.inFlight.Load()))
}

// modelTick is the time between two entries of an engine's history.
const loadSampleInterval = 50 * time.Millisecond

// modelFleet is a set of engines. It implements the list and the reports that
// pools need.
type slotFleet struct {
	engines []*slotEngine
}

// newModelFleet returns engines of which a number are at half speed.
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

// tick keeps the history of loads until ctx ends.
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

func (f *slotFleet) engine(address string) *slotEngine {
	var i int
	// The addresses are those of VMs below.
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

// Report returns the load of a while ago.
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

// ServiceReport returns nothing, since there are no plain services.
func (f *slotFleet) ServiceReport(context.Context, string) (dialect.ServiceReport, error) {
	return dialect.ServiceReport{}, nil
}

// CacheEvents returns all events from a number on.
func (f *slotFleet) CacheEvents(_ context.Context, address string, from uint64) (dialect.CacheEvents, error) {
	e := f.engine(address)
	e.mu.Lock()
	defer e.mu.Unlock()
	events := append([]dialect.CacheEvent(nil), e.events[from:]...)
	return dialect.CacheEvents{First: from, Events: events}, nil
}

// chooser picks an engine for a VM's request and returns what ends it.
type chooser func(a arrival) (engine int, release func())

// roundRobin lets each VM go through the engines in turn.
func roundRobin() chooser {
	var next [firstTokenVMs]atomic.Int64
	return func(a arrival) (int, func()) {
		return (a.vm + int(next[a.vm].Add(1))) % firstTokenEngines, func() {}
	}
}

// leastInFlight lets each VM pick the engine with the fewest own requests.
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

// pooled lets each VM choose by a pool of package upstream.
func poolChooser(pools []*upstream.Pool) chooser {
	return func(a arrival) (int, func()) {
		l, err := pools[a.vm].Engine(upstream.Want{Model: "m", Prefix: []dialect.PrefixKey{a.prefix}})
		if err != nil {
			return 0, func() {}
		}
		var i int
		_, _ = fmt.Sscan(l.Upstream.VM.Address, &i)
		return i, l.Release
	}
}

// attainment replays arrivals and returns the share of first tokens in time,
// and the longest wait for one.
func replay(f *slotFleet, arrivals []arrival, choose chooser) (float64, time.Duration) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	inTime := 0
	var longest time.Duration
	begin := time.Now()
	for _, a := range arrivals {
		time.Sleep(time.Until(begin.Add(a.at)))
		wg.Go(func() {
			came := time.Now()
			i, release := choose(a)
			defer release()
			f.engines[i].serve(a, func() {
				mu.Lock()
				defer mu.Unlock()
				took := time.Since(came)
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

// runFirstToken replays the same arrivals for each policy at once, each on a
// fleet of its own.
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
	// The first reports are in before the first request.
	time.Sleep(upstream.ReportInterval)
	return poolChooser(pools), func() {
		for _, p := range pools {
			p.Close()
		}
	}
}
