package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"toucanfall/entry"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
	"toucanfall/ledger"
	"toucanfall/membership"
	"toucanfall/rate"
	"toucanfall/settings"
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
	minter  *rate.Minter
	book    *rate.Book
	limiter *rate.Limiter

	// turn holds one token, which a round takes for its whole length, calls of
	// other VMs included. Waiting for it ends with a context, as waiting for a
	// mutex would not.
	turn   chan struct{}
	keeper *rate.Keeper
	// seenHead is when a look at the log's head began that found the state
	// complete, or will once the state has reached headOffset.
	seenHead   time.Time
	headOffset fleet.Offset

	// begun is when the VM first had state to keep rates by.
	begun     atomic.Pointer[time.Time]
	proposing atomic.Bool
	wg        sync.WaitGroup
	run       func()
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
}

// newRates makes the limiter. It admits nothing until start.
func (d *Daemon) newRates(log ledger.Log) (*rates, error) {
	m := rate.NewMinter(d.cfg.VM, nil)
	ctx, cancel := context.WithCancel(context.Background())
	r := &rates{
		d:      d,
		log:    log,
		state:  d.follower.State,
		minter: m,
		book:   rate.NewBook(),
		keeper: rate.NewKeeper(d.cfg.VM, d.cfg.DataCentre, len(d.cfg.DataCentres), vmListLag, m),
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
	r.wg.Go(func() { loop.Every(r.ctx, balanceInterval, r.limiter.Balance) })
}

// settled reports whether the VM mints, or has tried to for so long that it had
// better serve with what it can borrow.
func (r *rates) settled() bool {
	e, _ := r.state.Minters.Get(r.d.cfg.DataCentre)
	if e.Value.Active(r.d.cfg.VM) && r.minter.Leased(time.Now()) {
		return true
	}
	begun := r.begun.Load()
	return begun != nil && time.Since(*begun) > settleTimeout
}

// close stops the loop.
func (r *rates) close() {
	r.cancel()
	<-r.done
	r.wg.Wait()
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
	if r.keeper.NeedsVoucher(time.Now()) {
		r.askVouchers(ctx, f.List)
	}
	r.keeper.Act(time.Now(), f)
	if plan := r.keeper.Plan(time.Now(), f); len(plan) > 0 && r.proposing.CompareAndSwap(false, true) {
		r.wg.Go(func() {
			defer r.proposing.Store(false)
			for _, p := range plan {
				r.propose(ctx, p)
			}
		})
	}
}

// lookAtHead asks the log now and then whether there is more than the state
// holds. Reads of the follower do not tell: after a pause they bring pages of
// old records.
func (r *rates) lookAtHead(ctx context.Context) {
	if time.Since(r.seenHead) > headInterval {
		r.peek(ctx)
	}
	if !r.seenHead.IsZero() && r.state.Applied() >= r.headOffset {
		r.keeper.ReadHead(r.seenHead)
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
			r.keeper.Vouched(begun)
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
func (r *rates) facts() rate.Facts {
	f := rate.Facts{Applied: r.state.Applied()}
	e, _ := r.state.Minters.Get(r.d.cfg.DataCentre)
	f.List, f.Revision = e.Value, e.Revision
	f.List.DataCentre = r.d.cfg.DataCentre
	for _, team := range r.state.Teams.Keys() {
		key := rate.TeamKey(team)
		e, _ := r.state.Teams.Get(team)
		f.Limits = append(f.Limits, rate.Named{Key: key, Limit: r.Limit(key), Born: fleet.Offset(e.Revision)})
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
		time.Sleep(rate.LoanLife / 2)
	}
}

// Limit returns what a team may use over all VMs together.
func (r *rates) Limit(key rate.Key) rate.Limit {
	scope := settings.Scope{Team: fleet.TeamID(key)}
	return rate.NewLimit(
		settings.Number(r.state.Setting, scope, settings.RateTokensPerSecond),
		settings.Number(r.state.Setting, scope, settings.BurstTokens),
	)
}

// Own returns the VM's share of a limit.
func (r *rates) Own(key rate.Key) rate.Limit {
	return r.minter.Minting(time.Now(), key)
}

// Lenders returns the VMs that mint a key and answer.
func (r *rates) Lenders(key rate.Key) []rate.Lender {
	limit := r.Limit(key)
	var out []rate.Lender
	for _, m := range r.d.members.Members() {
		if !m.Answering {
			continue
		}
		e, _ := r.state.Minters.Get(m.Beat.DataCentre)
		own := rate.Terms(e.Value, m.VM.ID, len(r.d.cfg.DataCentres), key, limit)
		if own.Rate > 0 || own.Burst > 0 {
			out = append(out, rate.Lender{VM: m.VM.ID, Own: own})
		}
	}
	return out
}

// Borrow sends an ask to a VM.
func (r *rates) Borrow(ctx context.Context, to fleet.VMID, ask rate.Ask) (rate.Answer, error) {
	address, ok := r.address(to)
	if !ok {
		return rate.Answer{}, fmt.Errorf("vm %q does not answer", to)
	}
	var answer rate.Answer
	err := r.d.links.Call(ctx, address, "Rate.Borrow", ask, &answer)
	return answer, err
}

// Return gives tokens back to a VM.
func (r *rates) Return(ctx context.Context, to fleet.VMID, back rate.Return) error {
	address, ok := r.address(to)
	if !ok {
		return fmt.Errorf("vm %q does not answer", to)
	}
	return r.d.links.Call(ctx, address, "Rate.Return", back, &None{})
}

// heard takes the levels of another VM's heartbeat.
func (r *rates) heard(m membership.Member) {
	r.book.Heard(time.Now(), m.VM.ID, m.Beat.Levels)
}

// rateService is what this VM offers its peers.
type rateService struct {
	rates *rates
}

// Borrow answers an ask.
func (s *rateService) Borrow(ask rate.Ask, reply *rate.Answer) error {
	if err := ask.Check(); err != nil {
		return err
	}
	*reply = s.rates.minter.Lend(time.Now(), ask)
	return nil
}

// Return takes back what was lent.
func (s *rateService) Return(back rate.Return, _ *None) error {
	s.rates.minter.TakeBack(time.Now(), back)
	return nil
}

// Vouch answers whether this VM vouches for another one.
func (s *rateService) Vouch(args rate.VouchArgs, reply *rate.VouchReply) error {
	r := s.rates
	e, _ := r.state.Minters.Get(r.d.cfg.DataCentre)
	reply.Vouched = rate.Vouch(time.Now(), r.minter, e.Value, r.d.cfg.VM, args.For)
	return nil
}
