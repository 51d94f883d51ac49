// Package placement decides which engine holds which model and carries the
// decisions out.
//
// Each data centre has one placer for its own engines, on one of its entry VMs.
// The placer claims its data centre in the ordered state, computes a plan as a
// pure function of its input, and appends an intent for each move. Orders are
// sent only for accepted intents, and engines' reports are appended to the
// ordered state. Its account of each engine ensures that memory is not
// overcommitted even if orders are delayed or repeated. Safety does not depend
// on there being only one placer.
//
// Orders are sent repeatedly until the engine reports the accepted placement.
// Lost orders, engines that restart empty and outages of the log therefore need
// no special handling.
package placement

import (
	"context"
	"fmt"
	"sync"
	"time"

	"toucanfall/dialect"
	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
	"toucanfall/ledger"
	"toucanfall/timeline"
	"toucanfall/upstream"
)

// Intervals and timeouts of a placer.
const (
	roundInterval  = time.Second
	proposeTimeout = 2 * time.Second
	orderTimeout   = time.Second
	// resendAfter is how long an order may have no visible effect before it is
	// sent again.
	resendAfter = 2 * time.Second
	// permitLease bounds how long an order that never ends keeps its permit.
	permitLease = 2 * time.Minute
	// restoreDelay is how much longer each data centre waits than the one ranked
	// before it until it loads a model that has no copy.
	restoreDelay = 10 * time.Second
	// removeAfter is how long an engine must be missing from the platform's VM
	// list before it is removed from the ordered state.
	removeAfter = 30 * time.Second
	// moveCooldown is how long a model gets no optional move after a copy of it
	// was added for demand or evicted.
	moveCooldown = time.Minute
)

// maxMovesPerRound bounds the moves of one round for each of ReasonLeaving,
// ReasonLocal and ReasonDemand.
const maxMovesPerRound = 2

// Engines sends orders to engines. Order fails if the engine does not answer or
// refuses the order.
type Engines interface {
	Order(ctx context.Context, address string, o dialect.Order) error
}

// Upstreams returns the last report of every engine.
type Upstreams interface {
	Upstreams() []upstream.Upstream
}

// Log appends records to the log of the ordered state. Reachable reports whether
// the log answers and the state is loaded.
type Log interface {
	Propose(ctx context.Context, r ledger.Record) (ledger.Verdict, error)
	Reachable() bool
}

// VMs reports whether an entry VM answers and is not leaving.
type VMs interface {
	Answers(vm fleet.VMID) bool
}

// Config holds the dependencies of a placer. All fields are required.
type Config struct {
	VM          fleet.VMID
	DataCentre  fleet.DataCentre
	DataCentres []fleet.DataCentre
	State       *ledger.State
	Log         Log
	Upstreams   Upstreams
	Engines     Engines
	VMs         VMs
	Demand      Demand
	Permits     Permits
	Recorder    *timeline.Recorder
}

// Placer places models on the engines of one data centre.
type Placer struct {
	cfg    Config
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// The fields below are used only by the goroutine that calls Round.

	// epoch is the epoch of this VM's claim, 0 if it is not the placer.
	epoch fleet.Epoch
	// missingSince is when each model was first seen without a copy.
	missingSince map[fleet.ModelID]time.Time
	// lastMove is when each model last had a copy added for demand or evicted.
	lastMove map[fleet.ModelID]time.Time
	// absentSince is when each engine was first missing from the list.
	absentSince map[fleet.UpstreamID]time.Time
	// sentOrders holds the orders that may still be running.
	sentOrders map[orderKey]sentOrder
}

// New starts a placer that runs a round in each roundInterval. Close stops it.
func New(cfg Config) *Placer {
	p := NewStopped(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wg.Go(func() { loop.EveryAfterDelay(ctx, roundInterval, p.Round) })
	return p
}

// NewStopped returns a placer without a goroutine, which acts only when Round is
// called.
func NewStopped(cfg Config) *Placer {
	return &Placer{
		cfg:          cfg,
		cancel:       func() {},
		missingSince: make(map[fleet.ModelID]time.Time),
		lastMove:     make(map[fleet.ModelID]time.Time),
		absentSince:  make(map[fleet.UpstreamID]time.Time),
		sentOrders:   make(map[orderKey]sentOrder),
	}
}

// Close stops the placer and waits for its goroutine.
func (p *Placer) Close() {
	p.cancel()
	p.wg.Wait()
}

// Round claims the data centre if it has no placer that answers. If this VM is the
// placer, Round appends the engines' reports, plans and sends orders. While the
// log cannot be reached, it only sends orders for accepted intents. Round must
// not be called concurrently.
func (p *Placer) Round(ctx context.Context) {
	logReachable := p.cfg.Log.Reachable()
	if logReachable {
		p.claim(ctx)
	}
	if p.epoch == 0 && (logReachable || !p.sendsForPlacer()) {
		return
	}
	if logReachable {
		p.proposeReports(ctx)
		p.proposeMoves(ctx)
	}
	p.sendOrders(ctx)
	if violation := p.cfg.State.FindPlacementViolation(); violation != "" {
		p.cfg.Recorder.Record(event.PlacementBroken, timeline.Fields{"rule": violation})
	}
}

// sendsForPlacer reports whether this VM sends orders without an epoch while the
// log cannot be reached: its own claim is the current one, or the placer does
// not answer. Any VM may send orders for accepted intents.
func (p *Placer) sendsForPlacer() bool {
	claim, ok := p.cfg.State.Placers.Get(p.cfg.DataCentre)
	return ok && (claim.Value.VM == p.cfg.VM || !p.cfg.VMs.Answers(claim.Value.VM))
}

// claim makes this VM the placer unless another VM holds the claim and answers.
// It resets the epoch if another VM has taken over the claim.
func (p *Placer) claim(ctx context.Context) {
	holder, ok := p.cfg.State.Placers.Get(p.cfg.DataCentre)
	holderEpoch := fleet.Epoch(holder.Revision)
	if ok && p.epoch == holderEpoch {
		return
	}
	if p.epoch != 0 {
		p.epoch = 0
		p.cfg.Recorder.Record(event.PlacerReplaced, timeline.Fields{"by": string(holder.Value.VM)})
	}
	if ok && holder.Value.VM != p.cfg.VM && p.cfg.VMs.Answers(holder.Value.VM) {
		return
	}
	body := ledger.PlacerClaim{DataCentre: p.cfg.DataCentre, VM: p.cfg.VM}
	v, err := p.propose(ctx, ledger.KindPlacerClaim, holder.Revision, body)
	if err != nil {
		return
	}
	p.epoch = fleet.Epoch(v.Offset)
	p.cfg.Recorder.Record(event.PlacerClaimed, timeline.Fields{"epoch": fmt.Sprint(v.Offset)})
}

// propose appends a record and returns an error unless it was accepted. A record
// whose verdict was lost may still have been accepted; the state shows it later.
func (p *Placer) propose(ctx context.Context, kind ledger.Kind, base fleet.Revision, body any) (ledger.Verdict, error) {
	r, err := ledger.NewRecord(kind, string(p.cfg.VM), p.cfg.Recorder.Clock.Now(), base, body)
	if err != nil {
		return ledger.Verdict{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	v, err := p.cfg.Log.Propose(ctx, r)
	if err != nil {
		return v, err
	}
	return v, v.Err()
}

// proposeMoves plans and appends an intent for each move. If one is rejected, the
// remaining moves are dropped and planned again in the next round.
func (p *Placer) proposeMoves(ctx context.Context) {
	for _, m := range Plan(p.planInput(time.Now())) {
		if !p.proposeMove(ctx, m) {
			return
		}
	}
}

// proposeMove appends the intent for a move and reports whether it was accepted.
func (p *Placer) proposeMove(ctx context.Context, m Move) bool {
	engine, _ := p.cfg.State.Engines.Get(m.Engine)
	intent := ledger.PlacementIntent{Epoch: p.epoch, Engine: m.Engine, Kind: m.Kind, Weights: m.Weights, Size: m.Size}
	fields := timeline.Fields{
		"engine":  string(m.Engine),
		"kind":    string(m.Kind),
		"weights": m.Weights.String(),
		"reason":  string(m.Reason),
	}
	if _, err := p.propose(ctx, ledger.KindPlacementIntent, engine.Revision, intent); err != nil {
		fields["error"] = err.Error()
		p.cfg.Recorder.Record(event.PlacementRejected, fields)
		return false
	}
	if m.Reason == ReasonDemand || m.Reason == ReasonEvict {
		p.lastMove[m.Weights.Model] = time.Now()
	}
	p.cfg.Recorder.Record(event.PlacementIntended, fields)
	return true
}
