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
	tellTimeout    = time.Second
	exchangePeriod = 500 * time.Millisecond
	appendTimeout  = 5 * time.Second
	// adoptAfter is how long a VM waits, with the log reachable, before it
	// appends a withdrawal that another VM took from an operator. That VM
	// usually does so itself.
	adoptAfter = 3 * time.Second
	// ownAfter is the same for a withdrawal that this VM took: the operator's
	// command itself appends it if it can.
	ownAfter = time.Second
	// scanPeriod is how often all withdrawals of the log are taken over, for
	// those that came by a snapshot and not one by one.
	scanPeriod = 5 * time.Second
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
	Informed   []fleet.VMID `json:"told"`
	Missed []fleet.VMID `json:"missed,omitempty"`
}

// Spread carries withdrawals to all VMs and into the log.
type Replicator struct {
	self   fleet.VMID
	ring   *Keyring
	peers  Peers
	log    Log
	rec    *timeline.Recorder
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// due holds from when on this VM appends a withdrawal that the log misses.
	due map[fleet.KeyID]time.Time
	// tried holds the peers with which a comparison was tried.
	tried   map[fleet.VMID]bool
	busy    map[fleet.VMID]bool
	scanned time.Time
}

// NewSpread starts to compare what was heard with the peers and to append what
// the log misses. Close stops it.
func NewReplicator(self fleet.VMID, ring *Keyring, peers Peers, log Log, rec *timeline.Recorder) *Replicator {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Replicator{
		self:   self,
		ring:   ring,
		peers:  peers,
		log:    log,
		rec:    rec,
		cancel: cancel,
		due:    make(map[fleet.KeyID]time.Time),
		tried:  make(map[fleet.VMID]bool),
		busy:   make(map[fleet.VMID]bool),
	}
	s.wg.Go(func() { loop.Every(ctx, exchangePeriod, s.compareAll) })
	s.wg.Go(func() { loop.Every(ctx, exchangePeriod, s.appendMissing) })
	s.wg.Go(func() { loop.Every(ctx, exchangePeriod, func(context.Context) { ring.DisconnectRejected() }) })
	return s
}

// Close stops all goroutines and waits for them.
func (s *Replicator) Close() {
	s.cancel()
	s.wg.Wait()
}

// Withdraw makes a withdrawal that an operator gave to this VM take effect
// here and at all peers that can be reached now. It goes on to tell the others
// and the log.
func (s *Replicator) Withdraw(ctx context.Context, w Withdrawal) Reach {
	s.mu.Lock()
	s.due[w.Key] = time.Now().Add(ownAfter)
	s.mu.Unlock()
	s.ring.Withdraw(w)
	reach := Reach{Informed: []fleet.VMID{s.self}}
	// An operator who hangs up does not take the withdrawal back.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout)
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
			reach.Informed = append(reach.Informed, p.VM)
		})
	}
	wg.Wait()
	slices.Sort(reach.Informed)
	slices.Sort(reach.Missed)
	return reach
}

// Hear takes withdrawals that a peer told.
func (s *Replicator) Receive(ws []Withdrawal) {
	for _, w := range ws {
		s.ring.Withdraw(w)
	}
}

// compareAll takes over what the log holds and compares with each peer whose
// digest differs, or with which no comparison was tried since the start.
func (s *Replicator) compareAll(ctx context.Context) {
	if time.Since(s.scanned) >= scanPeriod {
		s.scanned = time.Now()
		s.scan()
	}
	peers, known := s.peers.Peers()
	own := s.ring.Digest()
	for _, p := range peers {
		if s.begin(p, own) {
			s.wg.Go(func() {
				defer s.end(p.VM)
				s.compare(ctx, p)
			})
		}
	}
	if known {
		s.forget(peers)
		s.noteLoaded(peers)
	}
}

// forget drops what is known of VMs that no longer exist.
func (s *Replicator) forget(peers []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.tried, func(id fleet.VMID, _ bool) bool {
		return !slices.ContainsFunc(peers, func(p Peer) bool { return p.VM == id })
	})
}

// begin reports whether a comparison with a peer is due, and marks it so.
func (s *Replicator) begin(p Peer, own Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := !s.tried[p.VM] || (p.Answering && p.Digest != own)
	if !due || s.busy[p.VM] {
		return false
	}
	s.busy[p.VM] = true
	return true
}

func (s *Replicator) end(id fleet.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, id)
	s.tried[id] = true
}

// compare fetches what this VM misses and hands over what the peer misses.
func (s *Replicator) compare(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	d, err := s.peers.Compare(ctx, p.Address, s.ring.Buckets())
	if err != nil {
		return
	}
	s.Receive(d.Withdrawals)
	missing := s.ring.Difference(d.Buckets).Withdrawals
	missing = slices.DeleteFunc(missing, func(w Withdrawal) bool { return slices.Contains(d.Withdrawals, w) })
	if len(missing) > 0 {
		// A peer that misses the call still has another digest and is
		// compared with again.
		_ = s.peers.Tell(ctx, p.Address, missing)
	}
}

// noteLoaded ends the start: the state is loaded, and each peer was asked at
// least once for withdrawals that may not be in the log yet.
func (s *Replicator) noteLoaded(peers []Peer) {
	if s.ring.Loaded() || !s.log.Loaded() {
		return
	}
	s.mu.Lock()
	waiting := slices.ContainsFunc(peers, func(p Peer) bool { return !s.tried[p.VM] })
	s.mu.Unlock()
	if waiting {
		return
	}
	// The state may have been loaded after the last scan.
	s.scan()
	s.ring.MarkLoaded()
}

// scan takes over all withdrawals of the log.
func (s *Replicator) scan() {
	logged := s.log.Logged()
	s.Receive(logged)
	for _, w := range logged {
		s.ring.MarkLogged(w.Key)
	}
}

// appendMissing appends withdrawals that were heard and are not in the log.
// The record is harmless when it stands twice.
func (s *Replicator) appendMissing(ctx context.Context) {
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
func (s *Replicator) toAppend() []Withdrawal {
	pending := s.Pending()
	s.mu.Lock()
	defer s.mu.Unlock()
	due := make(map[fleet.KeyID]time.Time, len(pending))
	var out []Withdrawal
	for _, w := range pending {
		at, ok := s.due[w.Key]
		if !ok {
			at = time.Now().Add(adoptAfter)
		}
		due[w.Key] = at
		if !time.Now().Before(at) {
			out = append(out, w)
		}
	}
	s.due = due
	return out
}

// Pending returns the withdrawals that are in force here and not in the log.
func (s *Replicator) Pending() []Withdrawal {
	var out []Withdrawal
	for _, w := range s.ring.Pending() {
		if s.log.Has(w.Key) {
			s.ring.MarkLogged(w.Key)
			continue
		}
		out = append(out, w)
	}
	return out
}
