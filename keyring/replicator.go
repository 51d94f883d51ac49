package keyring

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/internal/loop"
	"toucanfall/timeline"
)

// Timing of the replication of withdrawals.
const (
	// peerCallTimeout bounds a call that sends withdrawals to a peer, or a
	// comparison with one.
	peerCallTimeout = time.Second
	// exchangePeriod is how often peers, the log and guards are checked.
	exchangePeriod = 500 * time.Millisecond
	appendTimeout  = 5 * time.Second
	// peerAppendDelay is how long a VM waits, with the log reachable, before it
	// appends a withdrawal that an operator gave to another VM. That VM usually
	// appends it itself.
	peerAppendDelay = 3 * time.Second
	// ownAppendDelay is the corresponding delay for a withdrawal that an operator
	// gave to this VM. The operator's command itself appends it if it can.
	ownAppendDelay = time.Second
	// logScanPeriod is how often all withdrawals in the log are applied. This
	// covers withdrawals that arrived in a snapshot, not as single records.
	logScanPeriod = 5 * time.Second
)

// Peer is another VM to replicate withdrawals with.
type Peer struct {
	VM      fleet.VMID
	Address string
	// Digest is the digest of withdrawn keys that the VM last reported.
	Digest Digest
	// Answering is set if the VM answered a recent heartbeat.
	Answering bool
}

// Peers calls the other VMs.
type Peers interface {
	// Peers returns the other VMs, and false if the platform's VM list was never
	// read.
	Peers() ([]Peer, bool)
	// Tell sends withdrawals to the peer at address.
	Tell(ctx context.Context, address string, ws []Withdrawal) error
	// Compare sends b to the peer at address and returns the peer's withdrawals
	// in the buckets that differ.
	Compare(ctx context.Context, address string, b Buckets) (Difference, error)
}

// Log stores withdrawals durably.
type Log interface {
	// Reachable reports whether the log responds.
	Reachable() bool
	// Loaded reports whether this VM has read everything that was in the log
	// when it started, or has loaded a peer's state.
	Loaded() bool
	// Logged returns all withdrawals read from the log.
	Logged() []Withdrawal
	// Has reports whether the withdrawal of a key was read from the log.
	Has(id fleet.KeyID) bool
	// Append appends a withdrawal and waits until it is read back.
	Append(ctx context.Context, w Withdrawal) error
}

// Reach lists the VMs that received a withdrawal immediately, and those that
// missed it. The latter receive it once they can be reached again.
type Reach struct {
	Informed []fleet.VMID `json:"told"`
	Missed   []fleet.VMID `json:"missed,omitempty"`
}

// Replicator replicates withdrawals to all VMs and appends them to the log. It is
// safe for concurrent use.
type Replicator struct {
	selfID  fleet.VMID
	keyring *Keyring
	peers   Peers
	log     Log
	rec     *timeline.Recorder
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu sync.Mutex // guards appendAt, attempted and inFlight
	// appendAt is when this VM appends a withdrawal if the log still lacks it.
	appendAt map[fleet.KeyID]time.Time
	// attempted holds the peers with which a comparison was attempted.
	attempted map[fleet.VMID]bool
	// inFlight holds the peers with which a comparison is under way.
	inFlight map[fleet.VMID]bool
	// lastScan is used only by compareAll.
	lastScan time.Time
}

// NewReplicator starts goroutines that compare withdrawals with peers, append
// those that the log lacks, and apply the keyring's guards to connected callers.
// Close stops them.
func NewReplicator(selfID fleet.VMID, keyring *Keyring, peers Peers, log Log, rec *timeline.Recorder) *Replicator {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replicator{
		selfID:    selfID,
		keyring:   keyring,
		peers:     peers,
		log:       log,
		rec:       rec,
		cancel:    cancel,
		appendAt:  make(map[fleet.KeyID]time.Time),
		attempted: make(map[fleet.VMID]bool),
		inFlight:  make(map[fleet.VMID]bool),
	}
	r.wg.Go(func() { loop.Every(ctx, exchangePeriod, r.compareAll) })
	r.wg.Go(func() { loop.Every(ctx, exchangePeriod, r.appendMissing) })
	r.wg.Go(func() { loop.Every(ctx, exchangePeriod, func(context.Context) { keyring.DisconnectRejected() }) })
	return r
}

// Close stops all goroutines and waits for them.
func (r *Replicator) Close() {
	r.cancel()
	r.wg.Wait()
}

// Withdraw applies a withdrawal that an operator gave to this VM, sends it to all
// peers and waits at most peerCallTimeout for them. Peers that miss it, and the
// log, receive it later from the background goroutines.
func (r *Replicator) Withdraw(ctx context.Context, w Withdrawal) Reach {
	r.mu.Lock()
	r.appendAt[w.Key] = time.Now().Add(ownAppendDelay)
	r.mu.Unlock()
	r.keyring.Withdraw(w)
	reach := Reach{Informed: []fleet.VMID{r.selfID}}
	// A withdrawal is not undone if the operator disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerCallTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	peers, _ := r.peers.Peers()
	for _, p := range peers {
		wg.Go(func() {
			err := r.peers.Tell(ctx, p.Address, []Withdrawal{w})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				reach.Missed = append(reach.Missed, p.VM)
				return
			}
			reach.Informed = append(reach.Informed, p.VM)
		})
	}
	wg.Wait()
	slices.Sort(reach.Informed)
	slices.Sort(reach.Missed)
	return reach
}

// Receive applies withdrawals received from a peer.
func (r *Replicator) Receive(ws []Withdrawal) {
	for _, w := range ws {
		r.keyring.Withdraw(w)
	}
}

// compareAll applies the withdrawals in the log when a scan is due. It starts a
// comparison with each peer whose digest differs, or with which none was
// attempted since the start.
func (r *Replicator) compareAll(ctx context.Context) {
	if time.Since(r.lastScan) >= logScanPeriod {
		r.lastScan = time.Now()
		r.scanLog()
	}
	peers, known := r.peers.Peers()
	own := r.keyring.Digest()
	for _, p := range peers {
		if r.beginCompare(p, own) {
			r.wg.Go(func() {
				defer r.endCompare(p.VM)
				r.compare(ctx, p)
			})
		}
	}
	if known {
		r.dropRemoved(peers)
		r.markLoadedIfReady(peers)
	}
}

// dropRemoved forgets attempts with VMs that no longer exist.
func (r *Replicator) dropRemoved(peers []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.attempted, func(id fleet.VMID, _ bool) bool {
		return !slices.ContainsFunc(peers, func(p Peer) bool { return p.VM == id })
	})
}

// beginCompare reports whether a comparison with a peer is due and none is under
// way, and if so marks it as under way.
func (r *Replicator) beginCompare(p Peer, own Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := !r.attempted[p.VM] || (p.Answering && p.Digest != own)
	if !due || r.inFlight[p.VM] {
		return false
	}
	r.inFlight[p.VM] = true
	return true
}

func (r *Replicator) endCompare(id fleet.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, id)
	r.attempted[id] = true
}

// compare fetches the withdrawals that this VM lacks and sends those that the
// peer lacks.
func (r *Replicator) compare(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	d, err := r.peers.Compare(ctx, p.Address, r.keyring.Buckets())
	if err != nil {
		return
	}
	r.Receive(d.Withdrawals)
	missing := r.keyring.Difference(d.Buckets).Withdrawals
	missing = slices.DeleteFunc(missing, func(w Withdrawal) bool { return slices.Contains(d.Withdrawals, w) })
	if len(missing) > 0 {
		// If this fails the peer's digest still differs, so the comparison is
		// repeated.
		_ = r.peers.Tell(ctx, p.Address, missing)
	}
}

// markLoadedIfReady marks the keyring as loaded once the log is loaded and a
// comparison was attempted with each peer, because a peer may hold withdrawals
// that are not in the log yet.
func (r *Replicator) markLoadedIfReady(peers []Peer) {
	if r.keyring.Loaded() || !r.log.Loaded() {
		return
	}
	r.mu.Lock()
	waiting := slices.ContainsFunc(peers, func(p Peer) bool { return !r.attempted[p.VM] })
	r.mu.Unlock()
	if waiting {
		return
	}
	// The log may have been loaded after the last scan.
	r.scanLog()
	r.keyring.MarkLoaded()
}

// scanLog applies all withdrawals in the log.
func (r *Replicator) scanLog() {
	logged := r.log.Logged()
	r.Receive(logged)
	for _, w := range logged {
		r.keyring.MarkLogged(w.Key)
	}
}

// appendMissing appends due withdrawals that the log lacks. It stops at the
// first failure. A duplicate record is harmless.
func (r *Replicator) appendMissing(ctx context.Context) {
	if !r.log.Reachable() {
		return
	}
	for _, w := range r.toAppend() {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		err := r.log.Append(ctx, w)
		cancel()
		if err != nil {
			return
		}
		r.rec.Record(event.WithdrawalAppended, timeline.Fields{"key": string(w.Key), "by": w.By})
	}
}

// toAppend returns the withdrawals that are due to be appended by this VM.
func (r *Replicator) toAppend() []Withdrawal {
	pending := r.Pending()
	r.mu.Lock()
	defer r.mu.Unlock()
	appendAt := make(map[fleet.KeyID]time.Time, len(pending))
	var out []Withdrawal
	for _, w := range pending {
		at, ok := r.appendAt[w.Key]
		if !ok {
			at = time.Now().Add(peerAppendDelay)
		}
		appendAt[w.Key] = at
		if !time.Now().Before(at) {
			out = append(out, w)
		}
	}
	r.appendAt = appendAt
	return out
}

// Pending returns the withdrawals that are active on this VM but not in the log.
func (r *Replicator) Pending() []Withdrawal {
	var out []Withdrawal
	for _, w := range r.keyring.Pending() {
		if r.log.Has(w.Key) {
			r.keyring.MarkLogged(w.Key)
			continue
		}
		out = append(out, w)
	}
	return out
}
