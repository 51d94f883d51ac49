package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"toucanfall/fleet"
	"toucanfall/roster"
	"toucanfall/serving"
)

// Dispatch compares choices of engines by how many streams come in time: their
// first event, and each pause after it.
var Dispatch = Table{
	Name: "dispatch",
	Goal: "more streams in time than round robin and least in flight on each pattern of load, at the same arrivals and the same engines; half as many late ones as least in flight where the engines carry the load",
	Seed: 11,
	Run:  runDispatch,
}

// siteSpec describes the VMs, engines and load of a site.
type siteSpec struct {
	name        string
	vms         int
	dataCentres int
	engines     int
	engine      batchSpec
	// rate is the streams a second of each class, in the order of classes.
	classes []classSpec
	// lag is how old what VMs tell of each other is when it arrives, every is how
	// often they do.
	lag, every time.Duration
}

// classSpec describes a class of streams.
type classSpec struct {
	rate        float64
	prompt, out int
	shared      int
	priority    int
	first       time.Duration
	pause       time.Duration
}

// loadPattern changes the rate over time.
type loadPattern struct {
	name string
	rate func(at time.Duration) float64
	// carried loads are those that the engines can serve in time.
	carried bool
}

// Sizes of a play.
const (
	dispatchTime = 6 * time.Second
	// sharedParts is how many shared parts the prompts of a site begin with.
	sharedParts = 24
)

// The patterns of load.
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

// Sites of the model, after the users' sheets.
var (
	smallSite = siteSpec{
		name: "7 VMs, 12 engines of 48 slots", vms: 7, dataCentres: 3, engines: 12,
		engine: batchSpec{
			slots: 48, memory: 111_713, step: 5100 * time.Microsecond, perRun: 75 * time.Microsecond,
			perMilli: 29.4, piece: 2048, eventTokens: 5, keptParts: 12,
		},
		classes: []classSpec{
			{rate: 80, prompt: 715, out: 280, shared: 172, priority: 0, first: 400 * time.Millisecond, pause: 200 * time.Millisecond},
			{rate: 62, prompt: 383, out: 45, shared: 92, priority: 1, first: 400 * time.Millisecond, pause: 200 * time.Millisecond},
		},
		lag: 5 * time.Millisecond, every: 200 * time.Millisecond,
	}
	largeSite = siteSpec{
		name: "59 VMs, 112 engines of 12 slots", vms: 59, dataCentres: 3, engines: 112,
		engine: batchSpec{
			slots: 12, memory: 40_264, step: 5100 * time.Microsecond, perRun: 75 * time.Microsecond,
			perMilli: 29.4, piece: 2048, eventTokens: 8, keptParts: 6,
		},
		classes: []classSpec{
			{rate: 320, prompt: 715, out: 280, shared: 172, priority: 0, first: 400 * time.Millisecond, pause: 200 * time.Millisecond},
			{rate: 376, prompt: 383, out: 48, shared: 92, priority: 1, first: 400 * time.Millisecond, pause: 200 * time.Millisecond},
		},
		lag: 5 * time.Millisecond, every: 740 * time.Millisecond,
	}
)

// choice chooses an engine for a VM's request.
type choice struct {
	name string
	pick func(v *modelVM) *roster.Upstream
}

var choices = []choice{
	{"round robin", func(v *modelVM) *roster.Upstream {
		v.turn++
		list := v.roster.Upstreams()
		return list[v.turn%len(list)]
	}},
	{"least in flight", func(v *modelVM) *roster.Upstream {
		var best *roster.Upstream
		least := math.Inf(1)
		for _, u := range v.roster.Upstreams() {
			_, all := u.InFlight()
			if c := float64(all) + v.random.Float64(); c < least {
				best, least = u, c
			}
		}
		return best
	}},
	{"this routing", func(v *modelVM) *roster.Upstream {
		return v.picker.Best(v.roster.Upstreams(), nil)
	}},
}

// modelVM is a VM of the model.
type modelVM struct {
	roster *roster.Roster
	picker *serving.Picker
	random *rand.Rand
	turn   int
}

// outcome counts the streams of one class.
type outcome struct {
	asked, inTime, lateFirst, latePause int
	// firstByGoal are those whose first event came within the time that is aimed
	// at for the fleet of two years from now.
	firstByGoal int
}

// dispatchWorld plays a load on engines of its own.
type dispatchWorld struct {
	site    siteSpec
	vms     []*modelVM
	engines map[fleet.UpstreamID]*batchEngine
	stop    chan struct{}
	open    sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

func newDispatchWorld(site siteSpec) *dispatchWorld {
	w := &dispatchWorld{site: site, stop: make(chan struct{}), outcomes: make([]outcome, len(site.classes)), engines: make(map[fleet.UpstreamID]*batchEngine)}
	for j := range site.engines {
		e := newBatchEngine(site.engine)
		w.engines[engineID(j)] = e
		w.open.Go(func() { e.run(w.stop) })
	}
	for i := range site.vms {
		r := roster.New()
		for j := range site.engines {
			r.Put(roster.Entry{
				ID: engineID(j), Service: "s", Address: "192.0.2.1:80",
				DataCentre: fleet.DataCentre(fmt.Sprint(j % site.dataCentres)),
			})
		}
		dc := fleet.DataCentre(fmt.Sprint(i % site.dataCentres))
		sharers := float64(site.vms) / float64(site.dataCentres)
		w.vms = append(w.vms, &modelVM{
			roster: r, picker: serving.NewPicker(r, dc, func() float64 { return sharers }, func(*roster.Upstream) bool { return true }, rand.Float64),
			random: rand.New(rand.NewPCG(uint64(i), 3)),
		})
	}
	w.open.Go(w.tell)
	return w
}

func engineID(i int) fleet.UpstreamID { return fleet.UpstreamID(fmt.Sprintf("%03d", i)) }

// tell lets the VMs know what the others have in flight.
func (w *dispatchWorld) tell() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(w.site.every):
		}
		total := make([]int, w.site.engines)
		own := make([][]int, len(w.vms))
		for i, v := range w.vms {
			for j, u := range v.roster.Upstreams() {
				n, _ := u.InFlight()
				own[i] = append(own[i], n)
				total[j] += n
			}
		}
		time.Sleep(w.site.lag)
		for i, v := range w.vms {
			for j, u := range v.roster.Upstreams() {
				u.SetOthersInFlight(total[j] - own[i][j])
			}
		}
	}
}

// play sends the arrivals of a pattern and waits for their ends.
func (w *dispatchWorld) play(seed uint64, length time.Duration, load loadPattern, c choice) []outcome {
	r := rand.New(rand.NewPCG(seed, 7))
	var rate float64
	for _, class := range w.site.classes {
		rate += class.rate
	}
	begin := time.Now()
	var streams sync.WaitGroup
	for time.Since(begin) < length {
		time.Sleep(time.Duration(r.ExpFloat64() / (rate * load.rate(time.Since(begin))) * float64(time.Second)))
		class, x := 0, r.Float64()*rate
		for ; x >= w.site.classes[class].rate; class++ {
			x -= w.site.classes[class].rate
		}
		spec, size, part := w.site.classes[class], sizeOf(r), r.IntN(sharedParts)
		v := w.vms[r.IntN(len(w.vms))]
		prompt := max(int(float64(spec.prompt)*size), spec.shared+1)
		u := c.pick(v)
		flight := u.Begin(roster.Adapter{}, fleet.Tokens(prompt))
		run := &batchRun{
			priority: spec.priority, prompt: prompt, shared: spec.shared, out: max(int(float64(spec.out)*size), 1), part: part,
		}
		streams.Go(func() { w.stream(u, flight, class, run) })
	}
	streams.Wait()
	close(w.stop)
	w.open.Wait()
	return w.outcomes
}

// sizeOf draws the size of a request against the mean of its class: most are
// small, a few are several times the mean.
func sizeOf(r *rand.Rand) float64 {
	const spread = 0.6
	return min(math.Exp(r.NormFloat64()*spread-spread*spread/2), 4)
}

// stream plays one stream and counts how it came.
func (w *dispatchWorld) stream(u *roster.Upstream, flight *roster.Flight, class int, run *batchRun) {
	spec := w.site.classes[class]
	engine := w.engines[u.ID]
	began := time.Now()
	var first, longest time.Duration
	last := began
	done := make(chan struct{})
	run.event = func() {
		flight.Received()
		now := time.Now()
		if first == 0 {
			first = now.Sub(began)
			own, _ := u.InFlight()
			u.SetOthersInFlight(max(engine.load()-own, 0)) // As the head of an answer tells it.
		} else {
			longest = max(longest, now.Sub(last))
		}
		last = now
	}
	run.done = func() { close(done) }
	engine.submit(run)
	<-done
	flight.End(false)
	w.mu.Lock()
	defer w.mu.Unlock()
	o := &w.outcomes[class]
	o.asked++
	if first <= firstTokenGoal {
		o.firstByGoal++
	}
	switch {
	case first > spec.first:
		o.lateFirst++
	case longest > spec.pause:
		o.latePause++
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
	for _, site := range []siteSpec{smallSite, largeSite} {
		for _, load := range loadPatterns {
			for _, c := range choices {
				w := newDispatchWorld(site)
				out := w.play(seed, dispatchTime, load, c)
				r.Rows = append(r.Rows, dispatchRow(site, load, c, out, w))
			}
		}
	}
	return r, nil
}

func dispatchRow(site siteSpec, load loadPattern, c choice, out []outcome, w *dispatchWorld) []string {
	preempted := 0
	for _, e := range w.engines {
		preempted += e.preempted
	}
	long, short := out[0], out[1]
	return []string{
		site.name, load.name, c.name, share(long.inTime, long.asked), share(long.latePause, long.asked), share(long.lateFirst, long.asked),
		share(short.inTime, short.asked), fmt.Sprint(preempted),
	}
}

func share(n, of int) string { return percent(float64(n) / float64(max(of, 1))) }
