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

// Timing of the loops that keep the VM's rate share and its lease.
const (
	rateInterval      = 250 * time.Millisecond
	balanceInterval   = 250 * time.Millisecond
	headCheckInterval = 5 * time.Second
	headCheckTimeout  = 2 * time.Second
	confirmTimeout    = time.Second
	proposeTimeout    = 5 * time.Second
	// maxHeadPages bounds the pages that one check of the log's head reads.
	maxHeadPages = 5
	// vmListLag bounds the staleness of the platform's VM list. Safety does not
	// depend on it.
	vmListLag       = 30 * time.Second
	releaseAttempts = 5
	// shareWaitTimeout bounds how long a VM without a share is not ready.
	shareWaitTimeout = 5 * time.Second
)

// rates connects package rate to the log, the peers and the settings. It renews
// this VM's share of the rate limits in a loop of its own.
type rates struct {
	daemon     *Daemon
	log        ledger.Log
	state      *ledger.State
	buckets    *rate.Buckets
	peerLevels *rate.PeerLevels
	limiter    *rate.Limiter

	// shareSem is a semaphore of one slot that guards the fields down to
	// recordedHolding. renewShare holds it throughout, including its calls to
	// other VMs. Unlike a mutex, it can be awaited under a context.
	shareSem     chan struct{}
	shareManager *rate.ShareManager
	// headConfirmedAt is when the last check that reached the log's head began.
	// headOffset is the log's newest offset that it found.
	headConfirmedAt time.Time
	headOffset      fleet.Offset
	// recordedHolding is the state that recordShareChange recorded last.
	recordedHolding bool

	// stateLoadedAt is when the loop first found the replicated state loaded.
	stateLoadedAt atomic.Pointer[time.Time]
	// proposing is set while records are proposed in the background.
	proposing atomic.Bool
	tasks     loop.Group
	runLoop   func()
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
}

// newRates creates the limiter and registers the rate service for peers. The
// limiter admits nothing until start is called.
func (d *Daemon) newRates(log ledger.Log) (*rates, error) {
	buckets := rate.NewBuckets(d.cfg.VM, nil)
	ctx, cancel := context.WithCancel(context.Background())
	r := &rates{
		daemon:       d,
		log:          log,
		state:        d.follower.State,
		buckets:      buckets,
		peerLevels:   rate.NewPeerLevels(),
		shareManager: rate.NewShareManager(d.cfg.VM, d.cfg.DataCentre, len(d.cfg.DataCentres), vmListLag, buckets),
		ctx:          ctx,
		shareSem:     make(chan struct{}, 1),
		cancel:       cancel,
		done:         make(chan struct{}),
	}
	r.limiter = rate.NewLimiter(buckets, r.peerLevels, r, r)
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

// start starts the loops that renew the VM's share and balance its buckets.
func (r *rates) start() {
	go r.runLoop()
	r.tasks.Go(func() { loop.Every(r.ctx, balanceInterval, r.limiter.Balance) })
}

// shareReady reports whether the VM holds a leased share of the rate limits, or
// has waited for one longer than shareWaitTimeout. After that it is better to
// serve with tokens borrowed from other VMs.
func (r *rates) shareReady() bool {
	e, _ := r.state.Minters.Get(r.daemon.cfg.DataCentre)
	if e.Value.Active(r.daemon.cfg.VM) && r.buckets.HasLease(time.Now()) {
		return true
	}
	loadedAt := r.stateLoadedAt.Load()
	return loadedAt != nil && time.Since(*loadedAt) > shareWaitTimeout
}

// close stops the loops and the limiter. It must be called after start.
func (r *rates) close() {
	r.cancel()
	<-r.done
	r.tasks.Close()
	r.limiter.Close()
}

// Take charges a team n tokens for a request. It fails if the limiter does.
func (r *rates) Take(ctx context.Context, team fleet.TeamID, n fleet.Tokens) (entry.Grant, error) {
	g, err := r.limiter.Take(ctx, team, n)
	if err != nil {
		return nil, err
	}
	return &grant{limiter: r.limiter, grant: g}, nil
}

// grant is the charge of one request.
type grant struct {
	limiter *rate.Limiter
	grant   rate.Grant
}

// Settle refunds the tokens that the request did not use.
func (g *grant) Settle(used fleet.Tokens) {
	g.limiter.Settle(g.grant, used)
}

// renewShare renews the lease of this VM's share and proposes due changes to
// the list of share holders. It does nothing until the state is loaded.
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
	if r.shareManager.NeedsConfirmation(time.Now()) {
		r.requestConfirmation(ctx, f.List)
	}
	r.shareManager.Apply(time.Now(), f)
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

// recordShareChange records an event when the VM gains or loses its share.
func (r *rates) recordShareChange(list ledger.MintList) {
	holding := list.Active(r.daemon.cfg.VM) && r.buckets.HasLease(time.Now())
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

// checkHead checks every headCheckInterval whether the state holds all records
// of the log, and reports it to the share manager. The follower's reads do not
// show this: after a pause they return pages of old records.
func (r *rates) checkHead(ctx context.Context) {
	if time.Since(r.headConfirmedAt) > headCheckInterval {
		r.peekHead(ctx)
	}
	if !r.headConfirmedAt.IsZero() && r.state.Applied() >= r.headOffset {
		r.shareManager.RecordHeadRead(r.headConfirmedAt)
	}
}

// peekHead reads up to maxHeadPages pages after the applied offset and stores
// the log's head if it reaches it. It gives up on errors and on gaps.
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

// requestConfirmation queries the share holders in turn until one confirms this
// VM's share.
func (r *rates) requestConfirmation(ctx context.Context, list ledger.MintList) {
	for _, m := range list.Minters {
		address, ok := r.address(m.VM)
		if !ok {
			continue
		}
		requestedAt := time.Now()
		if r.requestConfirmationFrom(ctx, address) {
			r.shareManager.RecordConfirmation(requestedAt)
			return
		}
	}
}

// requestConfirmationFrom reports whether the VM at an address confirms this
// VM's share.
func (r *rates) requestConfirmationFrom(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var reply rate.VouchReply
	err := r.daemon.peerClient.Call(ctx, address, "Rate.Vouch", rate.VouchArgs{For: r.daemon.cfg.VM}, &reply)
	return err == nil && reply.Vouched
}

// address returns the address of another VM if it answers heartbeats.
func (r *rates) address(vm fleet.VMID) (string, bool) {
	for _, m := range r.daemon.members.Members() {
		if m.VM.ID == vm && m.Answering {
			return m.VM.Address, true
		}
	}
	return "", false
}

// facts collects the inputs of the share manager. It reads the applied offset
// first, so that the rest is at least as new.
func (r *rates) facts() rate.Inputs {
	f := rate.Inputs{Applied: r.state.Applied()}
	e, _ := r.state.Minters.Get(r.daemon.cfg.DataCentre)
	f.List, f.Revision = e.Value, e.Revision
	f.List.DataCentre = r.daemon.cfg.DataCentre
	for _, team := range r.state.Teams.Keys() {
		key := rate.TeamKey(team)
		e, _ := r.state.Teams.Get(team)
		f.Limits = append(f.Limits, rate.KeyLimit{Key: key, Limit: r.Limit(key), ChangedAt: fleet.Offset(e.Revision)})
	}
	if r.daemon.follower.Reachable() {
		f.Listed = r.listedEntryVMs()
	}
	return f
}

// listedEntryVMs returns the entry VMs on the platform's VM list, or nil if no
// list was read yet.
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

// propose proposes a record. The result is ignored because the state shows it,
// and a later renewShare proposes the record again if it is still needed.
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

// acquireShareSem reports whether it acquired shareSem before ctx ended.
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

// releaseShare stops the use of the VM's share and proposes its release to the
// other VMs. They take the share over later if the log cannot be reached.
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
		time.Sleep(rate.LoanLifetime / 2)
	}
}
