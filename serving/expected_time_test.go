package serving

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"toucanfall/fleet"
	"toucanfall/roster"
)

// The world of TestChoiceByExpectedTime: the engines and VMs of one data centre.
const (
	simEngines  = 30
	simVMs      = 20
	simSlots    = 12
	simStep     = 20 * time.Millisecond
	simDuration = 12 * time.Second
	// simAlone is how long a request takes alone on an engine of speed 1.
	simAlone = 350 * time.Millisecond
	// simReportDelay is how long after its start a request's answer states the load: the prompt is
	// read first.
	simReportDelay = 100 * time.Millisecond
)

// simRequest is a request at a simulated engine. left is the time that it would still take alone.
type simRequest struct {
	left     time.Duration
	began    time.Time
	reported bool
	u        *roster.Upstream
	flight   *roster.Flight
}

// simEngine runs requests in batches: with all slots taken each takes 1+crowding times as long as
// alone. Requests beyond the slots wait.
type simEngine struct {
	speed    float64
	seed     uint64
	crowding float64
	requests []*simRequest
	// busy is the sum of the running and waiting requests over all steps.
	busy int
}

// ratio returns the relative processing time: 2.5 times longer in 15% of the intervals of 0.6 s.
func (e *simEngine) ratio(at time.Duration) float64 {
	if rand.New(rand.NewPCG(e.seed, uint64(at/(600*time.Millisecond)))).Float64() < 0.15 {
		return 2.5 / e.speed
	}
	return 1 / e.speed
}

// advance runs the engine for one step and returns the requests that end.
func (e *simEngine) advance(at time.Duration, report func(*simRequest, roster.Load)) (ended []*simRequest) {
	e.busy += len(e.requests)
	running := min(len(e.requests), simSlots)
	ratio := e.ratio(at)
	done := time.Duration(float64(simStep) / ratio / (1 + e.crowding*float64(running)/simSlots))
	for _, r := range e.requests[:running] {
		r.left -= done
		if !r.reported && time.Since(r.began) >= simReportDelay {
			r.reported = true
			report(r, roster.Load{Running: running, Waiting: len(e.requests) - running, Slots: simSlots, ProcessingTime: ratio})
		}
		if r.left <= 0 {
			ended = append(ended, r)
		}
	}
	e.requests = slices.DeleteFunc(e.requests, func(r *simRequest) bool { return r.left <= 0 })
	return ended
}

// simResult is the outcome of a simulation: times of requests, and the largest of the engines' mean
// loads relative to their mean.
type simResult struct {
	mean, p95 time.Duration
	busiest   float64
}

// simulate sends requests at a rate per second. edit changes what VMs get to know of a load report,
// and returns false if they discard it.
func simulate(rate, crowding float64, edit func(*roster.Load) bool) simResult {
	random := rand.New(rand.NewPCG(7, 7))
	engines := make([]*simEngine, simEngines)
	for i := range engines {
		engines[i] = &simEngine{speed: []float64{0.6, 1, 1.6}[i%3], seed: uint64(i), crowding: crowding}
	}
	pickers := make([]*Picker, simVMs)
	for i := range pickers {
		r := roster.New()
		for j := range engines {
			r.Put(roster.Entry{ID: fleet.UpstreamID(fmt.Sprintf("%02d", j)), Service: "s", Address: "192.0.2.1:80", DataCentre: "dc", Slots: simSlots})
		}
		pickers[i] = NewPicker(r, "dc", func() float64 { return simVMs }, func(*roster.Upstream) bool { return true }, random.Float64)
	}
	var times []time.Duration
	for at := time.Duration(0); at < simDuration; at += simStep {
		for range poisson(random, rate*simStep.Seconds()) {
			p := pickers[random.IntN(simVMs)]
			u := p.Best(p.Candidates("s", &Call{}, nil), nil)
			i := slices.Index(p.roster.Upstreams(), u)
			work := time.Duration((0.4 + 1.2*random.Float64()) * float64(simAlone))
			engines[i].requests = append(engines[i].requests, &simRequest{left: work, began: time.Now(), u: u, flight: u.Begin(roster.Adapter{}, 0)})
		}
		for _, e := range engines {
			for _, r := range e.advance(at, func(r *simRequest, l roster.Load) {
				if edit(&l) {
					r.u.ApplyLoad(l, time.Now())
				}
			}) {
				r.flight.End(false)
				if at > simDuration/6 {
					times = append(times, time.Since(r.began))
				}
			}
		}
		time.Sleep(simStep)
		if at%(200*time.Millisecond) == 0 {
			exchangeInFlight(pickers)
		}
	}
	return summarise(times, engines)
}

// exchangeInFlight gives each VM the number of the others' requests, as the coordinator's messages do.
func exchangeInFlight(pickers []*Picker) {
	for j := range simEngines {
		total := 0
		for _, p := range pickers {
			own, _ := p.roster.Upstreams()[j].InFlight()
			total += own
		}
		for _, p := range pickers {
			u := p.roster.Upstreams()[j]
			own, _ := u.InFlight()
			u.SetOthersInFlight(total - own)
		}
	}
}

func summarise(times []time.Duration, engines []*simEngine) simResult {
	slices.Sort(times)
	sum, busy, most := time.Duration(0), 0, 0
	for _, d := range times {
		sum += d
	}
	for _, e := range engines {
		busy += e.busy
		most = max(most, e.busy)
	}
	return simResult{
		mean: sum / time.Duration(len(times)), p95: times[len(times)*95/100],
		busiest: float64(most) * simEngines / float64(busy),
	}
}

// poisson draws the number of events of a Poisson process in a time with the given mean.
func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for t := random.ExpFloat64(); t < mean; t += random.ExpFloat64() {
		n++
	}
	return n
}

// Load pattern: engines of speed 0.6, 1 and 1.6, each 2.5 times slower in 15% of the intervals of
// 0.6 s, at half and at most of their capacity. Guards against a choice that counts requests: slow
// engines then get as many as fast ones. Baselines: the choice before load headers of four figures were
// read, which discarded them, and the choice by the first three figures.
func TestChoiceByExpectedTime(t *testing.T) {
	for _, crowding := range []float64{0.3, 1, 3} {
		full := simEngines * simSlots / ((1 + crowding) * simAlone.Seconds() * 1.2)
		for _, share := range []float64{0.5, 0.8} {
			t.Run(fmt.Sprintf("crowding %v load %v", crowding, share), func(t *testing.T) {
				compareChoices(t, full*share, crowding)
			})
		}
	}
}

func compareChoices(t *testing.T, rate, crowding float64) {
	run := func(edit func(*roster.Load) bool) (out simResult) {
		synctest.Test(t, func(*testing.T) { out = simulate(rate, crowding, edit) })
		return out
	}
	discarded := run(func(*roster.Load) bool { return false })
	counted := run(func(l *roster.Load) bool { l.ProcessingTime = 0; return true })
	timed := run(func(*roster.Load) bool { return true })
	t.Logf("discarded %v, counted %v, by expected time %v", discarded, counted, timed)
	for _, before := range []simResult{discarded, counted} {
		if timed.mean > before.mean*9/10 || timed.p95 > before.p95*9/10 {
			t.Errorf("by expected time: mean %s, p95 %s; before: mean %s, p95 %s", timed.mean, timed.p95, before.mean, before.p95)
		}
	}
}
