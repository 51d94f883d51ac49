package measure

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/placement"
)

// Parameters of the simulated fleet. Times are in seconds, rates in tokens per second.
const (
	simEngineRate    = 2000.0
	simRequestTokens = 300.0
	simMaxWait       = 1.1
	simLoadTime      = 20
	simUnloadTime    = 5
	simPlanInterval  = 10
	simTeams         = 5
)

// placementSize describes a simulated fleet and its load.
type placementSize struct {
	name        string
	dataCentres int
	engines     int
	models      int
	// engineMemory is the memory of an engine for weights, in units of the size of a
	// small model.
	engineMemory int
	// utilization is the mean demand as a share of the engines' total rate.
	utilization float64
	// seconds is the duration of the simulation.
	seconds int
}

// simModel is a model with a demand that varies over time.
type simModel struct {
	id   fleet.ModelID
	size fleet.Bytes
	team int
	// weight is the model's share of the mean demand.
	weight float64
	// exponent is the power of ten by which the demand differs from its mean; it
	// approaches targetExponent by exponentStep per second.
	exponent, targetExponent, exponentStep float64
}

// simCopy is a copy of a model on a simulated engine.
type simCopy struct {
	model int
	// readyAt is the time at which the copy is loaded.
	readyAt int
	// freeAt is the time at which the copy is unloaded and its memory free, or 0 if
	// it isn't being unloaded.
	freeAt int
}

// simEngine is a simulated engine.
type simEngine struct {
	dc int
	// backlog is the number of accepted tokens that haven't been generated.
	backlog float64
	copies  []simCopy
}

// simFleet is a simulated fleet under one policy.
type simFleet struct {
	size    placementSize
	models  []simModel
	engines []simEngine
	// holders lists the engines that hold each model, including copies that are being
	// loaded or unloaded.
	holders [][]int
	// served and requested count tokens by team.
	served, requested [simTeams]float64
	// moves counts started loads, and now is the time in seconds.
	moves int
	now   int
	// recent is the demand in tokens by data centre and model since the last plan.
	recent [][]float64
}

// newSimModels draws models whose mean demand follows Zipf's law with an exponent of 0.7.
// Teams with lower numbers have more models.
func newSimModels(size placementSize, rng *rand.Rand) []simModel {
	models := make([]simModel, size.models)
	total := 0.0
	for m := range models {
		models[m] = simModel{
			id:     fleet.ModelID("m" + strconv.Itoa(m)),
			size:   fleet.Bytes(1 + rng.IntN(3)),
			team:   int(float64(simTeams) * math.Pow(rng.Float64(), 2)),
			weight: math.Pow(float64(m+1), -0.7),
		}
		total += models[m].weight
	}
	for m := range models {
		models[m].weight /= total
	}
	return models
}

// advanceDemand moves the demand of each model one second towards its target, which is a
// factor of ten away and is reached within 5 minutes to an hour. The targets are a tenth,
// once and ten times the mean demand.
func advanceDemand(models []simModel, rng *rand.Rand) {
	const shortest, longest = 300, 3600
	for i := range models {
		m := &models[i]
		if math.Abs(m.targetExponent-m.exponent) <= math.Abs(m.exponentStep) {
			m.exponent = m.targetExponent
			m.targetExponent = m.exponent + 1
			if m.exponent > 0 || m.exponent == 0 && rng.IntN(2) == 0 {
				m.targetExponent = m.exponent - 1
			}
			m.exponentStep = (m.targetExponent - m.exponent) / float64(shortest+rng.IntN(longest-shortest))
		}
		m.exponent += m.exponentStep
	}
}

// simRequest is one request of the trace.
type simRequest struct {
	model, dc int
	tokens    float64
}

// drawRequests draws the requests of one second. The mean total demand is constant at
// size.utilization.
func drawRequests(size placementSize, models []simModel, rng *rand.Rand) []simRequest {
	cumulative := make([]float64, len(models))
	sum := 0.0
	for i, m := range models {
		sum += m.weight * math.Pow(10, m.exponent)
		cumulative[i] = sum
	}
	mean := size.utilization * simEngineRate * float64(size.engines) / simRequestTokens
	n := int(mean + math.Sqrt(mean)*rng.NormFloat64() + 0.5)
	out := make([]simRequest, 0, max(n, 0))
	for range n {
		m, _ := slices.BinarySearch(cumulative, rng.Float64()*sum)
		out = append(out, simRequest{
			model:  min(m, len(models)-1),
			dc:     rng.IntN(size.dataCentres),
			tokens: simRequestTokens * (0.5 + rng.Float64()),
		})
	}
	return out
}

func newSimFleet(size placementSize, models []simModel) *simFleet {
	f := &simFleet{size: size, models: models, engines: make([]simEngine, size.engines), holders: make([][]int, size.models)}
	for e := range f.engines {
		f.engines[e].dc = e * size.dataCentres / size.engines
	}
	for range size.dataCentres {
		f.recent = append(f.recent, make([]float64, size.models))
	}
	f.placeByMean()
	return f
}

// placeByMean fills the engines by mean demand: one copy of every model, then further
// copies of the models whose mean demand per copy is highest.
func (f *simFleet) placeByMean() {
	load := make([]float64, len(f.engines))
	for m := range f.models {
		f.placeCopy(m, load)
	}
	order := make([]int, len(f.models))
	for m := range order {
		order[m] = m
	}
	for placed := true; placed; {
		placed = false
		slices.SortStableFunc(order, func(a, b int) int {
			x, y := f.models[a].weight/float64(len(f.holders[a])), f.models[b].weight/float64(len(f.holders[b]))
			switch {
			case x > y:
				return -1
			case x < y:
				return 1
			default:
				return 0
			}
		})
		for _, m := range order {
			if f.placeCopy(m, load) {
				placed = true
				break
			}
		}
	}
}

// placeCopy places a copy of a model on the engine with the lowest load among those with
// free memory and without the model. It reports whether there was one. load is the mean
// demand placed on each engine.
func (f *simFleet) placeCopy(m int, load []float64) bool {
	best := -1
	for e := range f.engines {
		if f.free(e) < f.models[m].size || slices.Contains(f.holders[m], e) {
			continue
		}
		if best < 0 || load[e] < load[best] {
			best = e
		}
	}
	if best < 0 {
		return false
	}
	load[best] += f.models[m].weight / float64(len(f.holders[m])+1)
	f.engines[best].copies = append(f.engines[best].copies, simCopy{model: m})
	f.holders[m] = append(f.holders[m], best)
	return true
}

// free returns the free memory of an engine.
func (f *simFleet) free(e int) fleet.Bytes {
	free := fleet.Bytes(f.size.engineMemory)
	for _, c := range f.engines[e].copies {
		free -= f.models[c.model].size
	}
	return free
}

// serve routes a request to the ready copy with the smallest backlog, in its own data
// centre if one there can start it within simMaxWait, else in any. It rejects the request
// if no copy can.
func (f *simFleet) serve(r simRequest) {
	team := f.models[r.model].team
	f.requested[team] += r.tokens
	f.recent[r.dc][r.model] += r.tokens
	own, best := -1, -1
	for _, e := range f.holders[r.model] {
		if !f.ready(e, r.model) {
			continue
		}
		if best < 0 || f.engines[e].backlog < f.engines[best].backlog {
			best = e
		}
		if f.engines[e].dc == r.dc && (own < 0 || f.engines[e].backlog < f.engines[own].backlog) {
			own = e
		}
	}
	const inTime = simMaxWait * simEngineRate
	if own >= 0 && f.engines[own].backlog <= inTime {
		best = own
	}
	if best >= 0 && f.engines[best].backlog <= inTime {
		f.engines[best].backlog += r.tokens
		f.served[team] += r.tokens
	}
}

// ready reports whether an engine holds a loaded copy of a model that isn't being
// unloaded.
func (f *simFleet) ready(e, m int) bool {
	for _, c := range f.engines[e].copies {
		if c.model == m {
			return c.freeAt == 0 && c.readyAt <= f.now
		}
	}
	return false
}

// advance moves the simulation forward by one second.
func (f *simFleet) advance() {
	f.now++
	for e := range f.engines {
		engine := &f.engines[e]
		engine.backlog = max(0, engine.backlog-simEngineRate)
		engine.copies = slices.DeleteFunc(engine.copies, func(h simCopy) bool {
			removed := h.freeAt != 0 && h.freeAt <= f.now
			if removed {
				f.holders[h.model] = slices.DeleteFunc(f.holders[h.model], func(x int) bool { return x == e })
			}
			return removed
		})
	}
}

// load starts to load a copy of a model if the engine has enough free memory and doesn't
// hold the model.
func (f *simFleet) load(e, m int) {
	if f.free(e) < f.models[m].size || slices.Contains(f.holders[m], e) {
		return
	}
	f.engines[e].copies = append(f.engines[e].copies, simCopy{model: m, readyAt: f.now + simLoadTime})
	f.holders[m] = append(f.holders[m], e)
	f.moves++
}

// unload starts to unload a copy of a model unless no other ready copy exists.
func (f *simFleet) unload(e, m int) {
	others := 0
	for _, x := range f.holders[m] {
		if x != e && f.ready(x, m) {
			others++
		}
	}
	for i := range f.engines[e].copies {
		c := &f.engines[e].copies[i]
		if c.model == m && c.freeAt == 0 && others > 0 {
			c.freeAt = f.now + simUnloadTime
		}
	}
}

// planWeights converts the copies on an engine to the planner's types. The second result
// reports which of them are ready and not being unloaded.
func (f *simFleet) planWeights(e int) ([]ledger.HeldWeights, []bool) {
	var held []ledger.HeldWeights
	var serving []bool
	for _, c := range f.engines[e].copies {
		w := ledger.HeldWeights{
			Weights: ledger.Weights{Model: f.models[c.model].id, Version: simVersion},
			Size:    f.models[c.model].size,
			Shown:   true,
			Ready:   c.readyAt <= f.now,
		}
		if c.freeAt != 0 {
			w.Unload = 1
		}
		held = append(held, w)
		serving = append(serving, w.Ready && w.Unload == 0)
	}
	return held, serving
}

// simVersion is the version of every simulated model.
const simVersion = "v1"

// planEngine converts an engine to the planner's type.
func (f *simFleet) planEngine(e int, id fleet.UpstreamID) placement.Engine {
	held, serving := f.planWeights(e)
	memory := fleet.Bytes(f.size.engineMemory)
	return placement.Engine{
		ID:           id,
		WeightMemory: memory,
		Reserved:     memory - f.free(e),
		Fenced:       true,
		Usable:       true,
		Rate:         simEngineRate,
		Held:         held,
		Serving:      serving,
	}
}
