package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/placement"
)

// Placement compares placement policies on simulated fleets.
var Placement = Table{
	Name: "placement",
	Goal: "at least 20% more attainment per accelerator than static placement, with at most half of greedy's moves; a planning round below 50 ms at 140 engines and 1,900 models.",
	Seed: 7,
	Run:  runPlacement,
}

// placementSizes are today's fleet, and one data centre of the target fleet with a tenth
// of its engines' demand for each model.
var placementSizes = []placementSize{
	{name: "today, 75% used", dataCentres: 3, engines: 12, models: 21, engineMemory: 6, utilization: 0.75, seconds: 7200},
	{name: "today, 90% used", dataCentres: 3, engines: 12, models: 21, engineMemory: 6, utilization: 0.9, seconds: 7200},
	{name: "target, one data centre, 75% used", dataCentres: 1, engines: 140, models: 1900, engineMemory: 34, utilization: 0.75, seconds: 1800},
}

// simPolicy is a placement policy; plan is called every simPlanInterval seconds.
type simPolicy interface {
	plan(f *simFleet)
}

func runPlacement(seed uint64) (Result, error) {
	r := Result{
		Header: []string{"size", "policy", "attained", "attained tokens/s per accelerator", "against static", "loads", "worst team", "plan, median", "plan, longest"},
		Notes: []string{
			"Attained are tokens of requests that began within 1.1 s; all others were refused. The same requests are sent to each policy.",
			"All policies start from the static placement, which knows the mean demand. A load takes 20 s, an unload 5 s. All engines check fencing.",
		},
	}
	for _, size := range placementSizes {
		staticRate := 0.0
		for _, p := range []struct {
			name   string
			policy simPolicy
		}{
			{"static by mean demand", staticPolicy{}},
			{"greedy by last demand", greedyPolicy{}},
			{"toucanfall", newPlanPolicy(size)},
		} {
			o := simulate(size, p.policy, seed)
			if staticRate == 0 {
				staticRate = o.tokensPerEngine
			}
			r.Rows = append(r.Rows, []string{
				size.name, p.name, percentOneDecimal(o.attained), fmt.Sprintf("%.0f", o.tokensPerEngine),
				fmt.Sprintf("%+.1f%%", 100*(o.tokensPerEngine/staticRate-1)), strconv.Itoa(o.moves), percentOneDecimal(o.worstTeam),
				o.medianRound.String(), o.longestRound.String(),
			})
		}
	}
	return r, nil
}

func percentOneDecimal(share float64) string {
	return fmt.Sprintf("%.1f%%", 100*share)
}

// simOutcome is the result of a policy.
type simOutcome struct {
	// attained is the share of the requested tokens that were served, worstTeam the
	// lowest share of a team, and tokensPerEngine the served tokens per second of an
	// engine.
	attained, tokensPerEngine, worstTeam float64
	moves                                int
	// medianRound and longestRound are durations of a planning round.
	medianRound, longestRound time.Duration
}

// simulate runs a policy on a fleet. The requests depend on size and seed only.
func simulate(size placementSize, policy simPolicy, seed uint64) simOutcome {
	rng := rand.New(rand.NewPCG(seed, uint64(size.engines)))
	f := newSimFleet(size, newSimModels(size, rng))
	var rounds []time.Duration
	for s := range size.seconds {
		advanceDemand(f.models, rng)
		for _, r := range drawRequests(size, f.models, rng) {
			f.serve(r)
		}
		f.advance()
		if s%simPlanInterval == simPlanInterval-1 {
			begin := time.Now()
			policy.plan(f)
			rounds = append(rounds, time.Since(begin).Round(10*time.Microsecond))
			for _, d := range f.recent {
				clear(d)
			}
		}
	}
	outcome := f.outcome()
	slices.Sort(rounds)
	outcome.medianRound, outcome.longestRound = rounds[len(rounds)/2], rounds[len(rounds)-1]
	return outcome
}

func (f *simFleet) outcome() simOutcome {
	o := simOutcome{worstTeam: 1, moves: f.moves}
	var served, requested float64
	for team := range f.served {
		served += f.served[team]
		requested += f.requested[team]
		if f.requested[team] > 0 {
			o.worstTeam = min(o.worstTeam, f.served[team]/f.requested[team])
		}
	}
	o.attained = served / requested
	o.tokensPerEngine = served / float64(f.size.seconds*f.size.engines)
	return o
}

// staticPolicy leaves the initial placement unchanged.
type staticPolicy struct{}

func (staticPolicy) plan(*simFleet) {}

// greedyPolicy adds a copy of the model with the highest demand per copy, and replaces
// the copy with the lowest, by the demand of the last interval.
type greedyPolicy struct{}

// greedyMoves is the maximum number of moves per interval and data centre, the same as
// for the planner.
const greedyMoves = 2

func (greedyPolicy) plan(f *simFleet) {
	for range greedyMoves * f.size.dataCentres {
		hot := f.hottest()
		if hot < 0 {
			return
		}
		e := f.coldestEngineFor(hot)
		if e < 0 {
			return
		}
		f.load(e, hot)
	}
}

// demandPerCopy returns the demand of the last interval per copy of a model, in tokens.
func (f *simFleet) demandPerCopy(m int) float64 {
	sum := 0.0
	for _, d := range f.recent {
		sum += d[m]
	}
	return sum / float64(max(1, len(f.holders[m])))
}

// hottest returns the model with the highest demand per copy, or -1 if there is none.
func (f *simFleet) hottest() int {
	best := -1
	for m := range f.models {
		if best < 0 || f.demandPerCopy(m) > f.demandPerCopy(best) {
			best = m
		}
	}
	return best
}

// coldestEngineFor returns an engine with free memory for a model. If there is none, it
// starts to unload the copy with the lowest demand, if that is lower than the model's,
// and returns -1.
func (f *simFleet) coldestEngineFor(m int) int {
	best, least := -1, math.Inf(1)
	for e := range f.engines {
		if slices.Contains(f.holders[m], e) {
			continue
		}
		if f.free(e) >= f.models[m].size {
			return e
		}
		if v := f.coldestCopyOn(e); v >= 0 && f.demandPerCopy(v) < least {
			best, least = e, f.demandPerCopy(v)
		}
	}
	if best >= 0 && least < f.demandPerCopy(m) {
		f.unload(best, f.coldestCopyOn(best))
	}
	return -1
}

// coldestCopyOn returns the model with the lowest demand per copy on an engine, among
// those with several copies, or -1 if there is none.
func (f *simFleet) coldestCopyOn(e int) int {
	best := -1
	for _, c := range f.engines[e].copies {
		if c.freeAt != 0 || len(f.holders[c.model]) < 2 {
			continue
		}
		if best < 0 || f.demandPerCopy(c.model) < f.demandPerCopy(best) {
			best = c.model
		}
	}
	return best
}

// planPolicy uses the planner of package placement, for each data centre separately, with
// an exponentially decayed average of the demand.
type planPolicy struct {
	// demand is in tokens per second, and lastMoved the time of the last move in
	// seconds, both by data centre and model.
	demand    [][]float64
	lastMoved [][]int
}

func newPlanPolicy(size placementSize) *planPolicy {
	p := &planPolicy{}
	for range size.dataCentres {
		p.demand = append(p.demand, make([]float64, size.models))
		p.lastMoved = append(p.lastMoved, make([]int, size.models))
	}
	return p
}

// simHalfLife and simCooldown have the planner's own values, in seconds.
const (
	simHalfLife = 60.0
	simCooldown = 60
)

func (p *planPolicy) plan(f *simFleet) {
	decay := math.Exp2(-simPlanInterval / simHalfLife)
	for dc := range p.demand {
		for m := range f.models {
			p.demand[dc][m] = decay*p.demand[dc][m] + (1-decay)*f.recent[dc][m]/simPlanInterval
		}
		p.planDataCentre(f, dc)
	}
}

// planDataCentre carries out the moves that the planner chooses for the engines of one
// data centre.
func (p *planPolicy) planDataCentre(f *simFleet, dc int) {
	in := placement.Input{MaxMoves: greedyMoves}
	for e := range f.engines {
		engine := f.planEngine(e, fleet.UpstreamID(strconv.Itoa(e)))
		engine.Remote = f.engines[e].dc != dc
		in.Engines = append(in.Engines, engine)
	}
	byID := make(map[fleet.ModelID]int, len(f.models))
	for m, model := range f.models {
		byID[model.id] = m
		in.Models = append(in.Models, placement.Model{
			Model:      fleet.Model{ID: model.id, Version: simVersion, Size: model.size},
			Demand:     fleet.TokensPerSecond(p.totalDemand(m)),
			InCooldown: p.lastMoved[dc][m] > 0 && f.now-p.lastMoved[dc][m] < simCooldown,
		})
	}
	for _, move := range placement.Plan(in) {
		e, _ := strconv.Atoi(string(move.Engine))
		m := byID[move.Weights.Model]
		p.lastMoved[dc][m] = f.now
		if move.Kind == ledger.IntentLoad {
			f.load(e, m)
			continue
		}
		f.unload(e, m)
	}
}

// totalDemand returns the average demand of all data centres for a model, in tokens per
// second.
func (p *planPolicy) totalDemand(m int) float64 {
	sum := 0.0
	for _, d := range p.demand {
		sum += d[m]
	}
	return sum
}
