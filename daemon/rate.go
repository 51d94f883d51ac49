package daemon

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"toucanfall/entry"
	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
	"toucanfall/ledger"
	"toucanfall/rate"
)

// Times of the loop that keeps the VM's lease and its place on the mint list.
const (
	rateInterval    = 250 * time.Millisecond
	balanceInterval = 250 * time.Millisecond
	headInterval    = 5 * time.Second
	headTimeout     = 2 * time.Second
	vouchTimeout    = time.Second
	proposeTimeout  = 5 * time.Second
	maxPeeks        = 5
	vmListLag       = 30 * time.Second
	releaseAttempts = 5
	settleTimeout   = 5 * time.Second
)

// rates wires package rate to the log, the peers and the settings.
type rates struct {
	d       *Daemon
	log     ledger.Log
	state   *ledger.State
	minter  *rate.Buckets
	book    *rate.PeerLevels
	limiter *rate.Limiter

	// turn holds one token, which a round takes for its whole length, calls of
	// other VMs included. Waiting for it ends with a context, as waiting for a
	// mutex would not.
	turn   chan struct{}
	keeper *rate.ShareManager
	// seenHead is when a look at the log's head began that found the state
	// complete, or will once the state has reached headOffset.
	seenHead   time.Time
	headOffset fleet.Offset
	// minting is what noteShare recorded last.
	minting bool

	// begun is when the VM first had state to keep rates by.
	begun     atomic.Pointer[time.Time]
	proposing atomic.Bool
	tasks     loop.Group
	run       func()
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
}

// newRates makes the limiter. It admits nothing until start.
func (d *Daemon) newRates(log ledger.Log) (*rates, error) {
	m := rate.NewBuckets(d.cfg.VM, nil)
	ctx, cancel := context.WithCancel(context.Background())
	r := &rates{
		d:      d,
		log:    log,
		state:  d.follower.State,
		minter: m,
		book:   rate.NewPeerLevels(),
		keeper: rate.NewShareManager(d.cfg.VM, d.cfg.DataCentre, len(d.cfg.DataCentres), vmListLag, m),
		ctx:    ctx,
		turn:   make(chan struct{}, 1),
		cancel: cancel,
		done:   make(chan struct{}),
	}
	r.limiter = rate.NewLimiter(m, r.book, r, r)
	if err := d.peers.Register("Rate", &rateService{rates: r}); err != nil {
		cancel()
		return nil, fmt.Errorf("register the rate service: %w", err)
	}
	r.run = func() {
		defer close(r.done)
		loop.Every(ctx, rateInterval, r.round)
	}
	return r, nil
}

// start begins to keep the VM's lease and its place on the mint list.
func (r *rates) start() {
	go r.run()
	r.tasks.Go(func() { loop.Every(r.ctx, balanceInterval, r.limiter.Balance) })
}

// settled reports whether the VM mints, or has tried to for so long that it had
// better serve with what it can borrow.
func (r *rates) settled() bool {
	e, _ := r.state.Minters.Get(r.d.cfg.DataCentre)
	if e.Value.Active(r.d.cfg.VM) && r.minter.HasLease(time.Now()) {
		return true
	}
	begun := r.begun.Load()
	return begun != nil && time.Since(*begun) > settleTimeout
}

// close stops the loop.
func (r *rates) close() {
	r.cancel()
	<-r.done
	r.tasks.Close()
	r.limiter.Close()
}

// Take charges a team for a request.
func (r *rates) Take(ctx context.Context, team fleet.TeamID, n fleet.Tokens) (entry.Grant, error) {
	g, err := r.limiter.Take(ctx, team, n)
	if err != nil {
		return nil, err
	}
	return &grant{limiter: r.limiter, grant: g}, nil
}

// grant is a charge of a request.
type grant struct {
	limiter *rate.Limiter
	grant   rate.Grant
}

// Settle refunds what the request did not use.
func (g *grant) Settle(used fleet.Tokens) {
	g.limiter.Settle(g.grant, used)
}

// round renews the lease and proposes what the mint list needs.
func (r *rates) round(ctx context.Context) {
	if !r.d.stateLoaded() {
		return
	}
	now := time.Now()
	r.begun.CompareAndSwap(nil, &now)
	if !r.takeTurn(ctx) {
		return
	}
	defer r.endTurn()
	r.lookAtHead(ctx)
	f := r.facts()
	if r.keeper.NeedsConfirmation(time.Now()) {
		r.askVouchers(ctx, f.List)
	}
	r.keeper.Apply(time.Now(), f)
	r.noteShare(f.List)
	if plan := r.keeper.Plan(time.Now(), f); len(plan) > 0 && r.proposing.CompareAndSwap(false, true) {
		r.tasks.Go(func() {
			defer r.proposing.Store(false)
			for _, p := range plan {
				r.propose(ctx, p)
			}
		})
	}
}

// noteShare records when the VM begins and ceases to mint.
func (r *rates) noteShare(list ledger.MintList) {
	minting := list.Active(r.d.cfg.VM) && r.minter.HasLease(time.Now())
	if minting == r.minting {
		return
	}
	r.minting = minting
	if minting {
		r.d.rec.Record(event.ShareMinted, nil)
		return
	}
	r.d.rec.Record(event.ShareLost, nil)
}

// lookAtHead asks the log now and then whether there is more than the state
// holds. Reads of the follower do not tell: after a pause they bring pages of
// old records.
func (r *rates) lookAtHead(ctx context.Context) {
	if time.Since(r.seenHead) > headInterval {
		r.peek(ctx)
	}
	if !r.seenHead.IsZero() && r.state.Applied() >= r.headOffset {
		r.keeper.RecordHeadRead(r.seenHead)
	}
}

func (r *rates) peek(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	at := r.state.Applied()
	for range maxPeeks {
		begun := time.Now()
		page, err := r.log.Peek(ctx, at+1)
		if err != nil || page.First > at+1 {
			return
		}
		if len(page.Records) == 0 {
			r.seenHead, r.headOffset = begun, at
			return
		}
		at = page.Records[len(page.Records)-1].Offset
	}
}

// askVouchers asks the VMs of the mint list until one vouches.
func (r *rates) askVouchers(ctx context.Context, list ledger.MintList) {
	for _, m := range list.Minters {
		address, ok := r.address(m.VM)
		if !ok {
			continue
		}
		begun := time.Now()
		if r.askVoucher(ctx, address) {
			r.keeper.RecordConfirmation(begun)
			return
		}
	}
}

func (r *rates) askVoucher(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, vouchTimeout)
	defer cancel()
	var reply rate.VouchReply
	err := r.d.links.Call(ctx, address, "Rate.Vouch", rate.VouchArgs{For: r.d.cfg.VM}, &reply)
	return err == nil && reply.Vouched
}

// address returns the address of another VM that answers.
func (r *rates) address(vm fleet.VMID) (string, bool) {
	for _, m := range r.d.members.Members() {
		if m.VM.ID == vm && m.Answering {
			return m.VM.Address, true
		}
	}
	return "", false
}

// facts reads the applied offset first: the rest is then at least as new.
func (r *rates) facts() rate.Inputs {
	f := rate.Inputs{Applied: r.state.Applied()}
	e, _ := r.state.Minters.Get(r.d.cfg.DataCentre)
	f.List, f.Revision = e.Value, e.Revision
	f.List.DataCentre = r.d.cfg.DataCentre
	for _, team := range r.state.Teams.Keys() {
		key := rate.TeamKey(team)
		e, _ := r.state.Teams.Get(team)
		f.Limits = append(f.Limits, rate.KeyLimit{Key: key, Limit: r.Limit(key), ChangedAt: fleet.Offset(e.Revision)})
	}
	if r.d.follower.Reachable() {
		f.Listed = r.listed()
	}
	return f
}

// listed returns the entry VMs on the platform's list, nil before the first.
func (r *rates) listed() map[fleet.VMID]bool {
	vms := r.d.members.VMs()
	if len(vms) == 0 {
		return nil
	}
	out := make(map[fleet.VMID]bool)
	for _, vm := range vms {
		if vm.Role == fleet.RoleEntry {
			out[vm.ID] = true
		}
	}
	return out
}

// propose appends a record. Whatever becomes of it shows in the state, and the
// next round proposes it again if it is still wanted.
func (r *rates) propose(ctx context.Context, p rate.Proposal) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	rec, err := ledger.NewRecord(p.Kind, string(r.d.cfg.VM), r.d.rec.Clock.Now(), p.Base, p.Body)
	if err != nil {
		return
	}
	if p.Kind == ledger.KindMintTakeover {
		r.d.rec.Record(event.ShareTakeover, nil)
	}
	_, _ = r.d.follower.Propose(ctx, rec)
}

func (r *rates) takeTurn(ctx context.Context) bool {
	select {
	case r.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *rates) endTurn() {
	<-r.turn
}

// leave stops minting and gives the share to the other VMs. Where the log does
// not answer, they take it over later.
func (r *rates) leave(ctx context.Context) {
	if !r.takeTurn(ctx) {
		return
	}
	r.keeper.Leave(time.Now())
	r.endTurn()
	for range releaseAttempts {
		r.round(ctx)
		e, _ := r.state.Minters.Get(r.d.cfg.DataCentre)
		if _, ok := e.Value.Find(r.d.cfg.VM); !ok || ctx.Err() != nil {
			return
		}
		time.Sleep(rate.LoanLifetime / 2)
	}
}
