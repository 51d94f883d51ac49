// Package placement decides which engine holds which model, and carries it out.
//
// Each data centre has one placer for its own engines, on one of its entry VMs.
// A placer claims its data centre in the ordered state, plans by a function of
// its input only, and appends an intent for each move. Only what was accepted
// is ordered, and what an engine reports goes back into the ordered state,
// whose account of each engine keeps memory from being overcommitted whichever
// order arrives late or twice. Nothing of safety rests on there being only one
// placer.
//
// Orders assert the accepted placement over and over until the engine shows
// it. So a lost order, an engine that came back empty and an outage of the log
// need nothing of their own.
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

// Times of a placer.
const (
	roundInterval  = time.Second
	proposeTimeout = 2 * time.Second
	orderTimeout   = time.Second
	resendAfter    = 2 * time.Second
	// permitLease bounds how long a load that never ends keeps its permit.
	permitLease = 2 * time.Minute
	// restoreDelay is how long each further data centre waits before it brings
	// back a model in place of the one before.
	restoreDelay = 10 * time.Second
	// goneAfter is how long an engine must be missing from the platform's list
	// before its account is closed.
	goneAfter = 30 * time.Second
	// coolAfter is the least time between two moves for gain of one model.
	coolAfter = time.Minute
)

// maxMovesPerRound bounds the moves for gain of one round.
const maxMovesPerRound = 2

// Engines sends orders to engines.
type Engines interface {
	Order(ctx context.Context, address string, o dialect.Order) error
}

// Upstreams tells the last report of every engine.
type Upstreams interface {
	Upstreams() []upstream.Upstream
}

// Log proposes records of the ordered state.
type Log interface {
	Propose(ctx context.Context, r ledger.Record) (ledger.Verdict, error)
	Reachable() bool
}

// VMs tells whether another entry VM answers and stays.
type VMs interface {
	Answers(vm fleet.VMID) bool
}

// Config is what a placer needs.
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

	// The fields below belong to the goroutine that calls Round.
	epoch   fleet.Epoch
	missing map[fleet.ModelID]time.Time
	moved   map[fleet.ModelID]time.Time
	absent  map[fleet.UpstreamID]time.Time
	sent    map[orderKey]sentOrder
}

// New starts a placer. Close stops it.
func New(cfg Config) *Placer {
	p := NewStopped(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wg.Go(func() { loop.EveryAfterDelay(ctx, roundInterval, p.Round) })
	return p
}

// NewStopped returns a placer that acts only when Round is called.
func NewStopped(cfg Config) *Placer {
	return &Placer{
		cfg:     cfg,
		cancel:  func() {},
		missing: make(map[fleet.ModelID]time.Time),
		moved:   make(map[fleet.ModelID]time.Time),
		absent:  make(map[fleet.UpstreamID]time.Time),
		sent:    make(map[orderKey]sentOrder),
	}
}

// Close stops the placer and waits for its goroutine.
func (p *Placer) Close() {
	p.cancel()
	p.wg.Wait()
}

// Round claims the data centre if it has no placer that answers, and, as its
// placer, notes the engines' reports, plans, and sends orders. Without the log
// it only sends orders for what was accepted before.
func (p *Placer) Round(ctx context.Context) {
	up := p.cfg.Log.Reachable()
	if up {
		p.claim(ctx)
	}
	if p.epoch == 0 && (up || !p.standsIn()) {
		return
	}
	if up {
		p.noteReports(ctx)
		p.proposeMoves(ctx)
	}
	p.sendOrders(ctx)
	if broken := p.cfg.State.FindPlacementViolation(); broken != "" {
		p.cfg.Recorder.Record(event.PlacementBroken, timeline.Fields{"rule": broken})
	}
}

// standsIn reports whether this VM, which is not the placer, sends orders while
// the log cannot be reached: the placer does not answer, and what was accepted
// may be ordered by anyone.
func (p *Placer) standsIn() bool {
	now, ok := p.cfg.State.Placers.Get(p.cfg.DataCentre)
	return ok && (now.Value.VM == p.cfg.VM || !p.cfg.VMs.Answers(now.Value.VM))
}

// claim makes this VM the placer unless another one holds the claim and
// answers.
func (p *Placer) claim(ctx context.Context) {
	now, ok := p.cfg.State.Placers.Get(p.cfg.DataCentre)
	current := fleet.Epoch(now.Revision)
	if ok && p.epoch == current {
		return
	}
	if p.epoch != 0 {
		p.epoch = 0
		p.cfg.Recorder.Record(event.PlacerReplaced, timeline.Fields{"by": string(now.Value.VM)})
	}
	if ok && now.Value.VM != p.cfg.VM && p.cfg.VMs.Answers(now.Value.VM) {
		return
	}
	body := ledger.PlacerClaim{DataCentre: p.cfg.DataCentre, VM: p.cfg.VM}
	v, err := p.propose(ctx, ledger.KindPlacerClaim, now.Revision, body)
	if err != nil {
		return
	}
	p.epoch = fleet.Epoch(v.Offset)
	p.cfg.Recorder.Record(event.PlacerClaimed, timeline.Fields{"epoch": fmt.Sprint(v.Offset)})
}

// propose appends a record and returns an error unless it was accepted. What
// became of a record whose verdict did not arrive shows in the state later.
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

// proposeMoves plans and appends an intent for each move. The rest is planned
// anew after the first that is rejected.
func (p *Placer) proposeMoves(ctx context.Context) {
	for _, m := range Plan(p.input(time.Now())) {
		if !p.proposeMove(ctx, m) {
			return
		}
	}
}

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
		p.moved[m.Weights.Model] = time.Now()
	}
	p.cfg.Recorder.Record(event.PlacementIntended, fields)
	return true
}
