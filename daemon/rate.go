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
	rateInterval      = 250 * time.Millisecond
	balanceInterval   = 250 * time.Millisecond
	headCheckInterval = 5 * time.Second
	headCheckTimeout  = 2 * time.Second
	confirmTimeout    = time.Second
	proposeTimeout    = 5 * time.Second
	maxHeadPages      = 5
	vmListLag         = 30 * time.Second
	releaseAttempts   = 5
	shareWaitTimeout  = 5 * time.Second
)

// rates wires package rate to the log, the peers and the settings.
type rates struct {
	daemon      *Daemon
	log         ledger.Log
	state       *ledger.State
	shareHolder *rate.Minter
	book        *rate.Book
	limiter     *rate.Limiter

	// turn holds one token, which a round takes for its whole length, calls of
	// other VMs included. Waiting for it ends with a context, as waiting for a
	// mutex would not.
	shareSem     chan struct{}
	shareManager *rate.Keeper
	// seenHead is when a look at the log's head began that found the state
	// complete, or will once the state has reached headOffset.
	headConfirmedAt time.Time
	headOffset      fleet.Offset
	// minting is what noteShare recorded last.
	recordedHolding bool

	// begun is when the VM first had state to keep rates by.
	stateLoadedAt atomic.Pointer[time.Time]
	proposing     atomic.Bool
	tasks         loop.Group
	runLoop       func()
	ctx           context.Context
	cancel        context.CancelFunc
	done          chan struct{}
}

// newRates makes the limiter. It admits nothing until start.
func (d *Daemon) newRates(log ledger.Log) (*rates, error) {
	holder := rate.NewMinter(d.cfg.VM, nil)
	ctx, cancel := context.WithCancel(context.Background())
	r := &rates{
		daemon:       d,
		log:          log,
		state:        d.follower.State,
		shareHolder:  holder,
		book:         rate.NewBook(),
		shareManager: rate.NewKeeper(d.cfg.VM, d.cfg.DataCentre, len(d.cfg.DataCentres), vmListLag, holder),
		ctx:          ctx,
		shareSem:     make(chan struct{}, 1),
		cancel:       cancel,
		done:         make(chan struct{}),
	}
	r.limiter = rate.NewLimiter(holder, r.book, r, r)
	if err := d.peers.Register("Rate", &rateService{rates: r}); err != nil {
		cancel()
		return nil, fmt.Errorf("register the rate service: %w", err)
	}
	r.runLoop = func() {
		defer close(r.done)
		loop.Every(ctx, rateInterval, r.renewShare)
	}
	return r, nil
}

// start begins to keep the VM's lease and its place on the mint list.
func (r *rates) start() {
	go r.runLoop()
	r.tasks.Go(func() { loop.Every(r.ctx, balanceInterval, r.limiter.Balance) })
}

// settled reports whether the VM mints, or has tried to for so long that it had
// better serve with what it can borrow.
func (r *rates) shareReady() bool {
	e, _ := r.state.Minters.Get(r.daemon.cfg.DataCentre)
	if e.Value.Active(r.daemon.cfg.VM) && r.shareHolder.Leased(time.Now()) {
		return true
	}
	loadedAt := r.stateLoadedAt.Load()
	return loadedAt != nil && time.Since(*loadedAt) > shareWaitTimeout
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
func (r *rates) renewShare(ctx context.Context) {
	if !r.daemon.stateLoaded() {
		return
	}
	now := time.Now()
	r.stateLoadedAt.CompareAndSwap(nil, &now)
	if !r.acquireShareSem(ctx) {
		return
	}
	defer r.releaseShareSem()
	r.checkHead(ctx)
	f := r.facts()
	if r.shareManager.NeedsVoucher(time.Now()) {
		r.requestConfirmation(ctx, f.List)
	}
	r.shareManager.Act(time.Now(), f)
	r.recordShareChange(f.List)
	if plan := r.shareManager.Plan(time.Now(), f); len(plan) > 0 && r.proposing.CompareAndSwap(false, true) {
		r.tasks.Go(func() {
			defer r.proposing.Store(false)
			for _, p := range plan {
				r.propose(ctx, p)
			}
		})
	}
}

// noteShare records when the VM begins and ceases to mint.
func (r *rates) recordShareChange(list ledger.MintList) {
	holding := list.Active(r.daemon.cfg.VM) && r.shareHolder.Leased(time.Now())
	if holding == r.recordedHolding {
		return
	}
	r.recordedHolding = holding
	if holding {
		r.daemon.rec.Record(event.ShareMinted, nil)
		return
	}
	r.daemon.rec.Record(event.ShareLost, nil)
}

// lookAtHead asks the log now and then whether there is more than the state
// holds. Reads of the follower do not tell: after a pause they bring pages of
// old records.
func (r *rates) checkHead(ctx context.Context) {
	if time.Since(r.headConfirmedAt) > headCheckInterval {
		r.peekHead(ctx)
	}
	if !r.headConfirmedAt.IsZero() && r.state.Applied() >= r.headOffset {
		r.shareManager.ReadHead(r.headConfirmedAt)
	}
}

func (r *rates) peekHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, headCheckTimeout)
	defer cancel()
	at := r.state.Applied()
	for range maxHeadPages {
		start := time.Now()
		page, err := r.log.Peek(ctx, at+1)
		if err != nil || page.First > at+1 {
			return
		}
		if len(page.Records) == 0 {
			r.headConfirmedAt, r.headOffset = start, at
			return
		}
		at = page.Records[len(page.Records)-1].Offset
	}
}

// askVouchers asks the VMs of the mint list until one vouches.
func (r *rates) requestConfirmation(ctx context.Context, list ledger.MintList) {
	for _, m := range list.Minters {
		address, ok := r.address(m.VM)
		if !ok {
			continue
		}
		requestedAt := time.Now()
		if r.requestConfirmationFrom(ctx, address) {
			r.shareManager.Vouched(requestedAt)
			return
		}
	}
}

func (r *rates) requestConfirmationFrom(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var reply rate.VouchReply
	err := r.daemon.links.Call(ctx, address, "Rate.Vouch", rate.VouchArgs{For: r.daemon.cfg.VM}, &reply)
	return err == nil && reply.Vouched
}

// address returns the address of another VM that answers.
func (r *rates) address(vm fleet.VMID) (string, bool) {
	for _, m := range r.daemon.members.Members() {
		if m.VM.ID == vm && m.Answering {
			return m.VM.Address, true
		}
	}
	return "", false
}

// facts reads the applied offset first: the rest is then at least as new.
func (r *rates) facts() rate.Facts {
	f := rate.Facts{Applied: r.state.Applied()}
	e, _ := r.state.Minters.Get(r.daemon.cfg.DataCentre)
	f.List, f.Revision = e.Value, e.Revision
	f.List.DataCentre = r.daemon.cfg.DataCentre
	for _, team := range r.state.Teams.Keys() {
		key := rate.TeamKey(team)
		e, _ := r.state.Teams.Get(team)
		f.Limits = append(f.Limits, rate.Named{Key: key, Limit: r.Limit(key), Born: fleet.Offset(e.Revision)})
	}
	if r.daemon.follower.Reachable() {
		f.Listed = r.listedEntryVMs()
	}
	return f
}

// listed returns the entry VMs on the platform's list, nil before the first.
func (r *rates) listedEntryVMs() map[fleet.VMID]bool {
	vms := r.daemon.members.VMs()
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
	rec, err := ledger.NewRecord(p.Kind, string(r.daemon.cfg.VM), r.daemon.rec.Clock.Now(), p.Base, p.Body)
	if err != nil {
		return
	}
	if p.Kind == ledger.KindMintTakeover {
		r.daemon.rec.Record(event.ShareTakeover, nil)
	}
	_, _ = r.daemon.follower.Propose(ctx, rec)
}

func (r *rates) acquireShareSem(ctx context.Context) bool {
	select {
	case r.shareSem <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *rates) releaseShareSem() {
	<-r.shareSem
}

// leave stops minting and gives the share to the other VMs. Where the log does
// not answer, they take it over later.
func (r *rates) releaseShare(ctx context.Context) {
	if !r.acquireShareSem(ctx) {
		return
	}
	r.shareManager.Leave(time.Now())
	r.releaseShareSem()
	for range releaseAttempts {
		r.renewShare(ctx)
		e, _ := r.state.Minters.Get(r.daemon.cfg.DataCentre)
		if _, ok := e.Value.Find(r.daemon.cfg.VM); !ok || ctx.Err() != nil {
			return
		}
		time.Sleep(rate.LoanLife / 2)
	}
}
