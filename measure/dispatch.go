package measure

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"toucanfall/fleet"
	"toucanfall/prefill"
	"toucanfall/roster"
	"toucanfall/serving"
	"toucanfall/timeline"
)

// Dispatch compares policies of choosing engines by the share of streams that are in
// time, in their first event and in each pause after it.
var Dispatch = Table{
	Name: "dispatch",
	Goal: "more streams in time than round robin and least in flight on each pattern of load, at the same arrivals and the same engines; half as many late ones as least in flight where the engines carry the load",
	Seed: 11,
	Run:  runDispatch,
}

// deploymentSpec describes the VMs, engines and load of a simulated deployment.
type deploymentSpec struct {
	name        string
	vms         int
	dataCentres int
	engines     int
	engine      batchSpec
	classes     []classSpec
	// reportDelay is the age of the VMs' in-flight reports on arrival, and
	// reportInterval the time between two reports.
	reportDelay, reportInterval time.Duration
}

// classSpec describes a class of streams. Lengths are in tokens; prompt and output are
// means.
type classSpec struct {
	// rate is the number of streams per second over all VMs.
	rate           float64
	prompt, output int
	sharedPrefix   int
	priority       int
	maxFirstEvent  time.Duration
	maxPause       time.Duration
}

// loadPattern varies the rate over time.
type loadPattern struct {
	name   string
	factor func(at time.Duration) float64
	// sustainable reports whether the engines can serve the load in time.
	sustainable bool
}

// hotModelDeployment is a few engines that alone hold the model that most requests name, as
// after a shift of the demand or the loss of engines.
var hotModelDeployment = deploymentSpec{
	name: "9 VMs, 3 engines of 64 slots that hold the busiest model", vms: 9, dataCentres: 1, engines: 3,
	engine: batchSpec{
		slots: 64, memoryTokens: 142_543, baseStep: 6800 * time.Microsecond, stepPerRequest: 34 * time.Microsecond,
		prefillPerMilli: 22.1, prefillChunk: 4096, eventTokens: 3, cachedPrefixes: 12,
	},
	classes: []classSpec{
		{rate: 24, prompt: 1460, output: 171, sharedPrefix: 350, priority: 2, maxFirstEvent: 800 * time.Millisecond, maxPause: 300 * time.Millisecond},
		{rate: 11, prompt: 646, output: 69, sharedPrefix: 155, priority: 0, maxFirstEvent: 2500 * time.Millisecond, maxPause: 300 * time.Millisecond},
	},
	reportDelay: 5 * time.Millisecond, reportInterval: 200 * time.Millisecond,
}

// Parameters of a run.
const (
	dispatchDuration = 6 * time.Second
	// sharedPrefixes is the number of distinct prompt prefixes in a deployment.
	sharedPrefixes = 24
)

// loadPatterns are the patterns that the table measures.
var loadPatterns = []loadPattern{
	{"steady", func(time.Duration) float64 { return 1 }, true},
	{"wave", func(at time.Duration) float64 { return 1 + 0.4*math.Sin(2*math.Pi*at.Seconds()/11) }, true},
	{"burst", func(at time.Duration) float64 {
		if at > 2*time.Second && at < 5*time.Second {
			return 1.6
		}
		return 0.8
	}, false},
}

// Simulated deployments, with the values of the users' capacity documentation.
var (
	smallDeployment = deploymentSpec{
		name: "7 VMs, 12 engines of 48 slots", vms: 7, dataCentres: 3, engines: 12,
		engine: batchSpec{
			slots: 48, memoryTokens: 111_713, baseStep: 5100 * time.Microsecond, stepPerRequest: 75 * time.Microsecond,
			prefillPerMilli: 29.4, prefillChunk: 2048, eventTokens: 5, cachedPrefixes: 12,
		},
		classes: []classSpec{
			{rate: 80, prompt: 715, output: 280, sharedPrefix: 172, priority: 0, maxFirstEvent: 400 * time.Millisecond, maxPause: 200 * time.Millisecond},
			{rate: 62, prompt: 383, output: 45, sharedPrefix: 92, priority: 1, maxFirstEvent: 400 * time.Millisecond, maxPause: 200 * time.Millisecond},
		},
		reportDelay: 5 * time.Millisecond, reportInterval: 200 * time.Millisecond,
	}
	largeDeployment = deploymentSpec{
		name: "59 VMs, 112 engines of 12 slots", vms: 59, dataCentres: 3, engines: 112,
		engine: batchSpec{
			slots: 12, memoryTokens: 40_264, baseStep: 5100 * time.Microsecond, stepPerRequest: 75 * time.Microsecond,
			prefillPerMilli: 29.4, prefillChunk: 2048, eventTokens: 8, cachedPrefixes: 6,
		},
		classes: []classSpec{
			{rate: 320, prompt: 715, output: 280, sharedPrefix: 172, priority: 0, maxFirstEvent: 400 * time.Millisecond, maxPause: 200 * time.Millisecond},
			{rate: 376, prompt: 383, output: 48, sharedPrefix: 92, priority: 1, maxFirstEvent: 400 * time.Millisecond, maxPause: 200 * time.Millisecond},
		},
		reportDelay: 5 * time.Millisecond, reportInterval: 740 * time.Millisecond,
	}
)

// enginePolicy chooses an engine for a VM's request.
type enginePolicy struct {
	name string
	pick func(v *dispatchVM, list []*roster.Upstream) *roster.Upstream
	// credits is set if prompts wait for prefill credits.
	credits bool
}

var enginePolicies = []enginePolicy{
	{name: "round robin", pick: func(v *dispatchVM, list []*roster.Upstream) *roster.Upstream {
		v.next++
		return list[v.next%len(list)]
	}},
	{name: "least in flight", pick: func(v *dispatchVM, list []*roster.Upstream) *roster.Upstream {
		var best *roster.Upstream
		least := math.Inf(1)
		for _, u := range list {
			_, all := u.InFlight()
			if c := float64(all) + v.rng.Float64(); c < least {
				best, least = u, c
			}
		}
		return best
	}},
	{name: "this routing without credits", pick: bestEngine},
	{name: "this routing", pick: bestEngine, credits: true},
}

func bestEngine(v *dispatchVM, list []*roster.Upstream) *roster.Upstream {
	return v.picker.Best(list, nil)
}

// dispatchVM is a simulated VM.
type dispatchVM struct {
	roster *roster.Roster
	picker *serving.Picker
	rng    *rand.Rand
	next   int
}

// classOutcome counts the streams of one class.
type classOutcome struct {
	requests, inTime, lateFirstEvents, latePauses int
	// firstEventByGoal counts the streams whose first event came within
	// firstTokenGoal, the objective for the fleet in two years.
	firstEventByGoal int
}

// dispatchSim sends a load to simulated engines of its own.
type dispatchSim struct {
	deployment deploymentSpec
	vms        []*dispatchVM
	engines    map[fleet.UpstreamID]*batchEngine
	// credits grants the prefill credits of all engines.
	credits *prefill.Client
	stop    chan struct{}
	loops   sync.WaitGroup

	mu sync.Mutex
	// outcomes is indexed like deployment.classes, and guarded by mu.
	outcomes []classOutcome
}

func newDispatchSim(deployment deploymentSpec) *dispatchSim {
	s := &dispatchSim{deployment: deployment, stop: make(chan struct{}), outcomes: make([]classOutcome, len(deployment.classes)), engines: make(map[fleet.UpstreamID]*batchEngine)}
	host := prefill.NewHost(timeline.New("measure", 1, newDiscardLogger()))
	s.credits = prefill.NewClient(prefill.ClientConfig{
		VM: "host", Own: host, Hosts: func(fleet.UpstreamID) []prefill.HostVM { return []prefill.HostVM{{VM: "host"}} },
	})
	for j := range deployment.engines {
		e := newBatchEngine(deployment.engine)
		s.engines[engineID(j)] = e
		s.loops.Go(func() { e.run(s.stop) })
	}
	for i := range deployment.vms {
		r := roster.New()
		for j := range deployment.engines {
			r.Put(roster.Entry{
				ID: engineID(j), Service: "s", Address: "192.0.2.1:80",
				DataCentre: fleet.DataCentre(fmt.Sprint(j % deployment.dataCentres)),
			})
		}
		dc := fleet.DataCentre(fmt.Sprint(i % deployment.dataCentres))
		vmCount := float64(deployment.vms) / float64(deployment.dataCentres)
		s.vms = append(s.vms, &dispatchVM{
			roster: r, picker: serving.NewPicker(r, dc, func() float64 { return vmCount }, func(*roster.Upstream) bool { return true }, rand.Float64),
			rng: rand.New(rand.NewPCG(uint64(i), 3)),
		})
	}
	s.loops.Go(s.reportInFlight)
	return s
}

func engineID(i int) fleet.UpstreamID { return fleet.UpstreamID(fmt.Sprintf("%03d", i)) }

// reportInFlight reports to each VM how many requests the other VMs have in flight at
// each engine, until s.stop is closed.
func (s *dispatchSim) reportInFlight() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(s.deployment.reportInterval):
		}
		total := make([]int, s.deployment.engines)
		own := make([][]int, len(s.vms))
		for i, v := range s.vms {
			for j, u := range v.roster.Upstreams() {
				n, _ := u.InFlight()
				own[i] = append(own[i], n)
				total[j] += n
			}
		}
		time.Sleep(s.deployment.reportDelay)
		for i, v := range s.vms {
			for j, u := range v.roster.Upstreams() {
				u.SetOthersInFlight(total[j] - own[i][j])
			}
		}
	}
}

// run sends the arrivals of a pattern, waits until all streams have ended, stops the
// engines and returns the outcome of each class.
func (s *dispatchSim) run(seed uint64, duration time.Duration, pattern loadPattern, policy enginePolicy) []classOutcome {
	rng := rand.New(rand.NewPCG(seed, 7))
	var rate float64
	for _, class := range s.deployment.classes {
		rate += class.rate
	}
	begin := time.Now()
	var streams sync.WaitGroup
	for time.Since(begin) < duration {
		time.Sleep(time.Duration(rng.ExpFloat64() / (rate * pattern.factor(time.Since(begin))) * float64(time.Second)))
		class, x := 0, rng.Float64()*rate
		for ; x >= s.deployment.classes[class].rate; class++ {
			x -= s.deployment.classes[class].rate
		}
		spec, size, prefixID := s.deployment.classes[class], drawSizeFactor(rng), rng.IntN(sharedPrefixes)
		v := s.vms[rng.IntN(len(s.vms))]
		prompt := max(int(float64(spec.prompt)*size), spec.sharedPrefix+1)
		req := &batchRequest{
			priority: spec.priority, prompt: prompt, sharedPrefix: spec.sharedPrefix, output: max(int(float64(spec.output)*size), 1), prefixID: prefixID,
		}
		a := dispatchAttempt{began: time.Now()}
		if !policy.credits {
			a.begin(policy.pick(v, v.roster.Upstreams()), prompt)
		}
		streams.Go(func() {
			if policy.credits {
				a.begin(s.chooseWithCredit(&a, v, policy, spec, prompt), prompt)
			}
			s.runStream(a, class, req)
		})
	}
	streams.Wait()
	close(s.stop)
	s.loops.Wait()
	return s.outcomes
}

// drawSizeFactor draws the size of a request as a multiple of the mean of its class
// from a log-normal distribution: most are small, a few are up to 4 times the mean.
func drawSizeFactor(rng *rand.Rand) float64 {
	const sigma = 0.6
	return min(math.Exp(rng.NormFloat64()*sigma-sigma*sigma/2), 4)
}

// dispatchAttempt is a request at its engine.
type dispatchAttempt struct {
	began  time.Time
	u      *roster.Upstream
	flight *roster.Flight
	credit *prefill.Credit
}

func (a *dispatchAttempt) begin(u *roster.Upstream, prompt int) {
	a.u, a.flight = u, u.Begin(roster.Adapter{}, fleet.Tokens(prompt))
}

// chooseWithCredit chooses an engine, and waits for a prefill credit.
func (s *dispatchSim) chooseWithCredit(a *dispatchAttempt, v *dispatchVM, policy enginePolicy, spec classSpec, prompt int) *roster.Upstream {
	acquire := func(u *roster.Upstream, wait time.Duration) (*prefill.Credit, time.Duration, bool) {
		credit, denial, ok := s.credits.Acquire(context.Background(), prefill.Request{
			Upstream: u.ID, Tokens: fleet.Tokens(prompt), MaxPause: spec.maxPause, Slack: spec.maxFirstEvent - time.Since(a.began),
			Rank: spec.priority, Wait: wait,
		})
		return credit, denial.Wait, ok
	}
	for {
		list := slices.Clone(v.roster.Upstreams())
		var shortest *roster.Upstream
		var least time.Duration
		for range min(creditCandidates, len(list)) {
			u := policy.pick(v, list)
			credit, wait, ok := acquire(u, 0)
			if ok {
				a.credit = credit
				return u
			}
			if shortest == nil || wait < least {
				shortest, least = u, wait
			}
			list = slices.DeleteFunc(list, func(other *roster.Upstream) bool { return other == u })
		}
		if credit, _, ok := acquire(shortest, creditWait); ok {
			a.credit = credit
			return shortest
		}
	}
}

// As in package serving: how many engines are asked for a credit, and how long a request then waits
// at one of them.
const (
	creditCandidates = 3
	creditWait       = 200 * time.Millisecond
)

// runStream sends one request, waits for the end of its stream and counts the outcome.
func (s *dispatchSim) runStream(a dispatchAttempt, class int, req *batchRequest) {
	spec, engine := s.deployment.classes[class], s.engines[a.u.ID]
	var first, longest time.Duration
	last := a.began
	done := make(chan struct{})
	req.onEvent = func() {
		a.flight.Received()
		a.credit.FirstEvent()
		now := time.Now()
		if first == 0 {
			first = now.Sub(a.began)
			own, _ := a.u.InFlight()
			a.u.SetOthersInFlight(max(engine.load()-own, 0)) // Response headers report the engine's load.
		} else {
			longest = max(longest, now.Sub(last))
		}
		last = now
	}
	req.onDone = func() { close(done) }
	engine.submit(req)
	<-done
	a.flight.End(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := &s.outcomes[class]
	o.requests++
	if first <= firstTokenGoal {
		o.firstEventByGoal++
	}
	switch {
	case first > spec.maxFirstEvent:
		o.lateFirstEvents++
	case longest > spec.maxPause:
		o.latePauses++
	default:
		o.inTime++
	}
}

func runDispatch(seed uint64) (Result, error) {
	r := Result{
		Header: []string{"site", "load", "choice", "long streams in time", "late by a pause", "late by the first event", "short streams in time", "preempted"},
		Notes: []string{
			"Engines work in batches: each step takes a base time and some for each running request, and prompts are read in pieces between the tokens of the streams. Prompts that come together delay one event of all streams of the engine.",
			"In time are streams whose first event came within its objective and with no longer pause after it than the sheet allows.",
		},
	}
	for _, deployment := range []deploymentSpec{smallDeployment, largeDeployment, hotModelDeployment} {
		for _, pattern := range loadPatterns {
			for _, policy := range enginePolicies {
				s := newDispatchSim(deployment)
				out := s.run(seed, dispatchDuration, pattern, policy)
				r.Rows = append(r.Rows, dispatchRow(deployment, pattern, policy, out, s))
			}
		}
	}
	return r, nil
}

func dispatchRow(deployment deploymentSpec, pattern loadPattern, policy enginePolicy, outcomes []classOutcome, s *dispatchSim) []string {
	preempted := 0
	for _, e := range s.engines {
		preempted += e.preempted
	}
	long, short := outcomes[0], outcomes[1]
	return []string{
		deployment.name, pattern.name, policy.name, percentOf(long.inTime, long.requests), percentOf(long.latePauses, long.requests), percentOf(long.lateFirstEvents, long.requests),
		percentOf(short.inTime, short.requests), fmt.Sprint(preempted),
	}
}

// percentOf returns n/total as a percentage; a total of 0 counts as 1.
func percentOf(n, total int) string { return percent(float64(n) / float64(max(total, 1))) }
