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

// Times of the spread of withdrawals.
const (
	// tellTimeout bounds a call that tells a peer of withdrawals.
	peerCallTimeout = time.Second
	exchangePeriod  = 500 * time.Millisecond
	appendTimeout   = 5 * time.Second
	// adoptAfter is how long a VM waits, with the log reachable, before it
	// appends a withdrawal that another VM took from an operator. That VM
	// usually does so itself.
	peerAppendDelay = 3 * time.Second
	// ownAfter is the same for a withdrawal that this VM took: the operator's
	// command itself appends it if it can.
	ownAppendDelay = time.Second
	// scanPeriod is how often all withdrawals of the log are taken over, for
	// those that came by a snapshot and not one by one.
	logScanPeriod = 5 * time.Second
)

// Peer is another VM that can be called.
type Peer struct {
	VM      fleet.VMID
	Address string
	// Digest is what the VM last said that it had heard.
	Digest Digest
	// Answering VMs answered a heartbeat lately.
	Answering bool
}

// Peers calls the other VMs.
type Peers interface {
	// Peers returns the other VMs. It returns false while they are not known,
	// because the platform's list was never read.
	Peers() ([]Peer, bool)
	// Tell hands withdrawals to a peer.
	Tell(ctx context.Context, address string, ws []Withdrawal) error
	// Compare asks a peer what it heard where the buckets differ.
	Compare(ctx context.Context, address string, b Buckets) (Difference, error)
}

// Log holds withdrawals for good.
type Log interface {
	// Reachable reports whether the log answers.
	Reachable() bool
	// Loaded reports whether this VM has read all that was in the log, or the
	// state of a peer, when it started.
	Loaded() bool
	// Logged returns all withdrawals that were read from the log.
	Logged() []Withdrawal
	// Has reports whether the withdrawal of a key was read from the log.
	Has(id fleet.KeyID) bool
	// Append appends a withdrawal and waits until it was read back.
	Append(ctx context.Context, w Withdrawal) error
}

// Reach tells which VMs a withdrawal reached at once. The others hear of it
// when they can be reached again.
type Reach struct {
	Told   []fleet.VMID `json:"told"`
	Missed []fleet.VMID `json:"missed,omitempty"`
}

// Spread carries withdrawals to all VMs and into the log.
type Spread struct {
	selfID  fleet.VMID
	keyring *Keyring
	peers   Peers
	log     Log
	rec     *timeline.Recorder
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu sync.Mutex
	// due holds from when on this VM appends a withdrawal that the log misses.
	appendAt map[fleet.KeyID]time.Time
	// tried holds the peers with which a comparison was tried.
	attempted map[fleet.VMID]bool
	inFlight  map[fleet.VMID]bool
	lastScan  time.Time
}

// NewSpread starts to compare what was heard with the peers and to append what
// the log misses. Close stops it.
func NewSpread(selfID fleet.VMID, keyring *Keyring, peers Peers, log Log, rec *timeline.Recorder) *Spread {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Spread{
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
	s.wg.Go(func() { loop.Every(ctx, exchangePeriod, s.compareAll) })
	s.wg.Go(func() { loop.Every(ctx, exchangePeriod, s.appendMissing) })
	s.wg.Go(func() { loop.Every(ctx, exchangePeriod, func(context.Context) { keyring.CutGuarded() }) })
	return s
}

// Close stops all goroutines and waits for them.
func (s *Spread) Close() {
	s.cancel()
	s.wg.Wait()
}

// Withdraw makes a withdrawal that an operator gave to this VM take effect
// here and at all peers that can be reached now. It goes on to tell the others
// and the log.
func (s *Spread) Withdraw(ctx context.Context, w Withdrawal) Reach {
	s.mu.Lock()
	s.appendAt[w.Key] = time.Now().Add(ownAppendDelay)
	s.mu.Unlock()
	s.keyring.Withdraw(w)
	reach := Reach{Told: []fleet.VMID{s.selfID}}
	// An operator who hangs up does not take the withdrawal back.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerCallTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	peers, _ := s.peers.Peers()
	for _, p := range peers {
		wg.Go(func() {
			err := s.peers.Tell(ctx, p.Address, []Withdrawal{w})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				reach.Missed = append(reach.Missed, p.VM)
				return
			}
			reach.Told = append(reach.Told, p.VM)
		})
	}
	wg.Wait()
	slices.Sort(reach.Told)
	slices.Sort(reach.Missed)
	return reach
}

// Hear takes withdrawals that a peer told.
func (s *Spread) Hear(ws []Withdrawal) {
	for _, w := range ws {
		s.keyring.Withdraw(w)
	}
}

// compareAll takes over what the log holds and compares with each peer whose
// digest differs, or with which no comparison was tried since the start.
func (s *Spread) compareAll(ctx context.Context) {
	if time.Since(s.lastScan) >= logScanPeriod {
		s.lastScan = time.Now()
		s.scanLog()
	}
	peers, known := s.peers.Peers()
	own := s.keyring.Digest()
	for _, p := range peers {
		if s.beginCompare(p, own) {
			s.wg.Go(func() {
				defer s.endCompare(p.VM)
				s.compare(ctx, p)
			})
		}
	}
	if known {
		s.dropRemoved(peers)
		s.markLoadedIfReady(peers)
	}
}

// forget drops what is known of VMs that no longer exist.
func (s *Spread) dropRemoved(peers []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.attempted, func(id fleet.VMID, _ bool) bool {
		return !slices.ContainsFunc(peers, func(p Peer) bool { return p.VM == id })
	})
}

// begin reports whether a comparison with a peer is due, and marks it so.
func (s *Spread) beginCompare(p Peer, own Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := !s.attempted[p.VM] || (p.Answering && p.Digest != own)
	if !due || s.inFlight[p.VM] {
		return false
	}
	s.inFlight[p.VM] = true
	return true
}

func (s *Spread) endCompare(id fleet.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, id)
	s.attempted[id] = true
}

// compare fetches what this VM misses and hands over what the peer misses.
func (s *Spread) compare(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	d, err := s.peers.Compare(ctx, p.Address, s.keyring.Buckets())
	if err != nil {
		return
	}
	s.Hear(d.Withdrawals)
	missing := s.keyring.Difference(d.Buckets).Withdrawals
	missing = slices.DeleteFunc(missing, func(w Withdrawal) bool { return slices.Contains(d.Withdrawals, w) })
	if len(missing) > 0 {
		// A peer that misses the call still has another digest and is
		// compared with again.
		_ = s.peers.Tell(ctx, p.Address, missing)
	}
}

// noteLoaded ends the start: the state is loaded, and each peer was asked at
// least once for withdrawals that may not be in the log yet.
func (s *Spread) markLoadedIfReady(peers []Peer) {
	if s.keyring.Loaded() || !s.log.Loaded() {
		return
	}
	s.mu.Lock()
	waiting := slices.ContainsFunc(peers, func(p Peer) bool { return !s.attempted[p.VM] })
	s.mu.Unlock()
	if waiting {
		return
	}
	// The state may have been loaded after the last scan.
	s.scanLog()
	s.keyring.MarkLoaded()
}

// scan takes over all withdrawals of the log.
func (s *Spread) scanLog() {
	logged := s.log.Logged()
	s.Hear(logged)
	for _, w := range logged {
		s.keyring.Settle(w.Key)
	}
}

// appendMissing appends withdrawals that were heard and are not in the log.
// The record is harmless when it stands twice.
func (s *Spread) appendMissing(ctx context.Context) {
	if !s.log.Reachable() {
		return
	}
	for _, w := range s.toAppend() {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		err := s.log.Append(ctx, w)
		cancel()
		if err != nil {
			return
		}
		s.rec.Record(event.WithdrawalAppended, timeline.Fields{"key": string(w.Key), "by": w.By})
	}
}

// toAppend returns the withdrawals that this VM has to append now.
func (s *Spread) toAppend() []Withdrawal {
	pending := s.Pending()
	s.mu.Lock()
	defer s.mu.Unlock()
	appendAt := make(map[fleet.KeyID]time.Time, len(pending))
	var out []Withdrawal
	for _, w := range pending {
		at, ok := s.appendAt[w.Key]
		if !ok {
			at = time.Now().Add(peerAppendDelay)
		}
		appendAt[w.Key] = at
		if !time.Now().Before(at) {
			out = append(out, w)
		}
	}
	s.appendAt = appendAt
	return out
}

// Pending returns the withdrawals that are in force here and not in the log.
func (s *Spread) Pending() []Withdrawal {
	var out []Withdrawal
	for _, w := range s.keyring.Pending() {
		if s.log.Has(w.Key) {
			s.keyring.Settle(w.Key)
			continue
		}
		out = append(out, w)
	}
	return out
}
