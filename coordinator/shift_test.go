package coordinator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/catalogue"
	"toucanfall/fleet"
)

// shiftSim simulates demand that shifts between models, and engines that fail and return,
// in steps of planInterval, to test the planner.
type shiftSim struct {
	spec       *catalogue.Engine
	models     []fleet.ModelID
	candidates []*candidate
	// forecast is set if the planner gets the forecast demand instead of the current one.
	forecast bool
	// unusableUntil holds the time until which an engine can't be used.
	unusableUntil map[*candidate]time.Time
	before        map[fleet.ModelID]float64
	after         map[fleet.ModelID]float64
	// shifted is when the demand began to shift from before to after.
	shifted time.Time
	demand  *demandTracker
	moves   map[fleet.UpstreamID]*shiftMove
	loads   loadLimiter
	now     time.Time
	random  *rand.Rand
}

// shiftMove is a move in progress. The load starts once the evicted model is unloaded, at
// evictedAt, and the weight store allows it.
type shiftMove struct {
	move
	evictedAt, loadedAt time.Time
}

// Sizes and durations of the simulated service, from the capacity documentation and
// simulated days.
const (
	shiftModels  = 21
	shiftEngines = 12
	shiftTokens  = 250_000
	// shiftDuration is how long a shift of demand takes.
	shiftDuration = 5 * time.Second
	// shiftDrain is how long the streams of a busy model take to end, shiftIdleDrain those
	// of a model without demand.
	shiftDrain     = 3 * time.Second
	shiftIdleDrain = 500 * time.Millisecond
	shiftLoad      = 4 * time.Second
	// shiftCapacity is what an engine can serve, as a multiple of the mean demand per
	// engine.
	shiftCapacity = 1.35
	// shiftInFlight is the number of requests in flight of an engine at the mean demand.
	shiftInFlight = 25
)

func newShiftSim(random *rand.Rand, forecast bool) *shiftSim {
	var models []fleet.ModelID
	for i := range shiftModels {
		models = append(models, fleet.ModelID(fmt.Sprintf("m%02d", i)))
	}
	sim := &shiftSim{
		spec: planSpec(models...), models: models, forecast: forecast, moves: make(map[fleet.UpstreamID]*shiftMove), now: time.Unix(1, 0),
		unusableUntil: make(map[*candidate]time.Time), demand: newDemandTracker(), random: random,
	}
	for i := range shiftEngines {
		// Three models for each engine, the first ones several times.
		cand := planCandidate(i, sim.spec, models[i%4], models[4+i], models[4+(i+5)%17])
		cand.dataCentre = fleet.DataCentre(fmt.Sprint(i % 3))
		cand.freeMB = 10
		sim.candidates = append(sim.candidates, cand)
	}
	sim.shift(random)
	sim.before = sim.after
	return sim
}

// shift selects other busy models. The rest get a little demand.
func (sim *shiftSim) shift(random *rand.Rand) {
	sim.before, sim.shifted = sim.after, sim.now
	sim.after = make(map[fleet.ModelID]float64)
	shares := []float64{0.5, 0.25, 0.1}
	for i, j := range random.Perm(shiftModels) {
		m := fleet.ModelID(fmt.Sprintf("m%02d", j))
		sim.after[m] = shiftTokens * 0.15 / shiftModels
		if i < len(shares) {
			sim.after[m] = shiftTokens * shares[i]
		}
	}
}

// demandFor returns the current demand for a model.
func (sim *shiftSim) demandFor(m fleet.ModelID) float64 {
	x := min(float64(sim.now.Sub(sim.shifted))/float64(shiftDuration), 1)
	return sim.before[m]*(1-x) + sim.after[m]*x
}

// disable makes engines unusable for a time. Restarted engines return empty.
func (sim *shiftSim) disable(list []*candidate, d time.Duration, restarted bool) {
	for _, cand := range list {
		sim.unusableUntil[cand] = sim.now.Add(d)
		if restarted {
			cand.models, cand.ready = make(map[fleet.ModelID]bool), make(map[fleet.ModelID]bool)
			delete(sim.moves, cand.id)
		}
	}
}

// usable returns the engines that can be used.
func (sim *shiftSim) usable() []*candidate {
	var out []*candidate
	for _, cand := range sim.candidates {
		if !sim.now.Before(sim.unusableUntil[cand]) {
			out = append(out, cand)
		}
	}
	return out
}

// step simulates one interval and returns the share of the demand that was not served.
func (sim *shiftSim) step(t *testing.T) float64 {
	sim.now = sim.now.Add(planInterval)
	perModel := make(map[fleet.ModelID]float64)
	for _, m := range sim.models {
		tokens := sim.demandFor(m) * planInterval.Seconds()
		tokens += math.Sqrt(tokens*typicalRequestTokens) * sim.random.NormFloat64()
		sim.demand.add(sim.now, Demand{Service: "s", Model: m, Tokens: fleet.Tokens(max(tokens, 0))})
		perModel[m] = sim.demand.rate(sim.now, modelKey{"s", m})
		if sim.forecast {
			perModel[m] = sim.demand.forecast(sim.now, modelKey{"s", m})
		}
	}
	for _, cand := range sim.candidates {
		sim.advance(cand)
	}
	unserved := sim.distribute()
	sim.startMoves(perModel)
	sim.syncCandidates(t)
	return unserved
}

// advance continues the move of an engine.
func (sim *shiftSim) advance(cand *candidate) {
	mv := sim.moves[cand.id]
	switch {
	case mv == nil || sim.now.Before(mv.evictedAt):
	case mv.loadedAt.IsZero():
		if sim.loads.allow(sim.now, 2) {
			mv.loadedAt = sim.now.Add(shiftLoad)
		}
	case !sim.now.Before(mv.loadedAt):
		cand.ready[mv.model] = true
		delete(sim.moves, cand.id)
	}
}

// startMoves starts the moves that the planner returns, up to the number of concurrent
// loads that the weight store allows.
func (sim *shiftSim) startMoves(perModel map[fleet.ModelID]float64) {
	p := newPlanner(sim.spec, sim.usable(), perModel)
	for {
		mv, ok := p.next()
		if !ok {
			return
		}
		if len(sim.moves) >= 8 {
			continue
		}
		evictedAt := sim.now
		if mv.evict != "" {
			evictedAt = evictedAt.Add(shiftIdleDrain)
			if sim.demandFor(mv.evict) > minCopyDemand {
				evictedAt = evictedAt.Add(shiftDrain)
			}
		}
		sim.moves[mv.engine] = &shiftMove{move: mv, evictedAt: evictedAt}
	}
}

// syncCandidates sets the planner's inputs according to the moves that were started.
func (sim *shiftSim) syncCandidates(t *testing.T) {
	for _, cand := range sim.candidates {
		mv := sim.moves[cand.id]
		cand.blocked = mv != nil
		cand.models = make(map[fleet.ModelID]bool)
		if mv != nil {
			delete(cand.ready, mv.evict)
			cand.models[mv.model] = true
		}
		for m := range cand.ready {
			cand.models[m] = true
		}
		cand.freeMB = sim.spec.WeightsMB - 100*float64(len(cand.models))
		if cand.freeMB < 0 {
			t.Fatalf("engine %s holds %d models", cand.id, len(cand.models))
		}
	}
}

// distribute assigns the demand to the least loaded copies, and returns the share that has
// no copy or exceeds the capacity of the engines.
func (sim *shiftSim) distribute() float64 {
	load := make(map[*candidate]float64)
	const grains = 20
	unserved := 0.0
	usable := sim.usable()
	for range grains {
		for _, m := range sim.models {
			var least *candidate
			for _, cand := range usable {
				if cand.ready[m] && (least == nil || load[cand] < load[least]) {
					least = cand
				}
			}
			if d := sim.demandFor(m) / grains; least != nil {
				load[least] += d
			} else {
				unserved += d
			}
		}
	}
	mean := shiftTokens / float64(shiftEngines)
	for _, cand := range usable {
		unserved += max(load[cand]-shiftCapacity*mean, 0)
		cand.inFlight = int(load[cand] / mean * shiftInFlight)
	}
	return unserved / shiftTokens
}

// unservedCurve is the share of the demand that was not served, by second after a shift.
type unservedCurve [12]float64

// simulateShifts simulates shifts, each with a disturbance 2 s after its start.
func simulateShifts(t *testing.T, forecast bool, disturb func(sim *shiftSim, r *rand.Rand)) unservedCurve {
	const seeds, shifts = 4, 12
	const upsetAt = 2 * time.Second
	var c unservedCurve
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 1))
		sim := newShiftSim(r, forecast)
		for range shifts {
			sim.shift(r)
			for at := time.Duration(0); at < time.Duration(len(c))*time.Second; at += planInterval {
				if at == upsetAt {
					disturb(sim, r)
				}
				c[int(at.Seconds())] += sim.step(t) / (seeds * shifts) * planInterval.Seconds()
			}
		}
	}
	return c
}

func (c unservedCurve) mean() float64 {
	sum := 0.0
	for _, share := range c {
		sum += share
	}
	return sum / float64(len(c))
}

// Demand that shifts to other models is served again after the shift, also if engines fail.
// Less is lost until then with forecast demand than with the current demand.
func TestShiftedDemandIsServed(t *testing.T) {
	// A shift takes 5 s, the streams of an evicted model 3 s and a load 4 s. Nine tenths of
	// the demand must be served again after that.
	const lostInTheEnd = 0.1
	for name, upset := range map[string]func(sim *shiftSim, r *rand.Rand){
		"calm": func(*shiftSim, *rand.Rand) {},
		"crash": func(sim *shiftSim, r *rand.Rand) {
			i := r.IntN(shiftEngines)
			sim.disable([]*candidate{sim.candidates[i], sim.candidates[(i+1)%shiftEngines], sim.candidates[(i+2)%shiftEngines]}, 2*time.Second, true)
		},
		"cut": func(sim *shiftSim, r *rand.Rand) {
			dc := r.IntN(3)
			sim.disable([]*candidate{sim.candidates[dc], sim.candidates[dc+3], sim.candidates[dc+6], sim.candidates[dc+9]}, 6*time.Second, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now, ahead := simulateShifts(t, false, upset), simulateShifts(t, true, upset)
			t.Logf("by the demand of now %.3f %.2f, foreseen %.3f %.2f", now.mean(), now, ahead.mean(), ahead)
			is.True(ahead.mean() < now.mean())
			is.True(ahead[len(ahead)-1] < lostInTheEnd)
		})
	}
}
