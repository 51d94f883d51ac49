package rate

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"toucanfall/fleet"
)

// maxDigest bounds the levels in a heartbeat.
const maxDigest = 16

// Level is what a VM has of a key.
type Level struct {
	Key    Key    `json:"key"`
	Amount Amount `json:"amount"`
}

// Digest is what a heartbeat tells of a VM's levels: the largest ones.
type Digest []Level

// Digest returns the largest levels of the VM.
func (m *Buckets) Digest(now time.Time) Digest {
	var d Digest
	for _, key := range m.buckets.Keys() {
		if a := m.Level(now, key); a > 0 {
			d = append(d, Level{Key: key, Amount: a})
		}
	}
	slices.SortFunc(d, func(a, b Level) int {
		if a.Amount != b.Amount {
			return cmp.Compare(b.Amount, a.Amount)
		}
		return cmp.Compare(a.Key, b.Key)
	})
	return d[:min(len(d), maxDigest)]
}

// Lender is a VM that may have tokens of a key, with its share.
type Lender struct {
	VM  fleet.VMID
	Own Limit
	// Level is the estimate of its tokens.
	Level Amount
	// Blocked is for how long it will mint nothing.
	Blocked time.Duration
}

// after returns what the lender will have after d.
func (l Lender) after(d time.Duration) Amount {
	return min(l.Own.Burst, l.Level+l.Own.Accrued(d-l.Blocked))
}

// Book remembers the levels of other VMs.
type PeerLevels struct {
	mu    sync.Mutex
	seen  map[fleet.VMID]map[Key]sighting
	quiet map[Key]refusal
}

type sighting struct {
	level   Amount
	blocked time.Duration
	at      time.Time
}

// refusal remembers what the reachable VMs had together.
type refusal struct {
	at      time.Time
	lenders []Lender
}

// NewBook returns an empty book.
func NewPeerLevels() *PeerLevels {
	return &PeerLevels{seen: make(map[fleet.VMID]map[Key]sighting), quiet: make(map[Key]refusal)}
}

// Heard takes the digest of a VM's heartbeat. Keys that it leaves out are taken
// as empty.
func (b *PeerLevels) ReceiveDigest(now time.Time, vm fleet.VMID, d Digest) {
	levels := make(map[Key]sighting, len(d))
	for _, l := range d {
		levels[l.Key] = sighting{level: l.Amount, at: now}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen[vm] = levels
}

// Saw takes what a lender's answer tells of its level.
func (b *PeerLevels) ReceiveAnswer(now time.Time, vm fleet.VMID, key Key, a Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen[vm] == nil {
		b.seen[vm] = make(map[Key]sighting)
	}
	b.seen[vm][key] = sighting{level: a.Level, blocked: a.Blocked, at: now}
}

// Estimate fills in the levels of lenders and sorts them, the fullest first.
func (b *PeerLevels) Estimate(now time.Time, key Key, lenders []Lender) {
	b.mu.Lock()
	for i := range lenders {
		l := &lenders[i]
		if s, ok := b.seen[l.VM][key]; ok {
			l.Level, l.Blocked = s.level, s.blocked
			l.Level = l.after(now.Sub(s.at))
			l.Blocked = max(0, s.blocked-now.Sub(s.at))
		}
	}
	b.mu.Unlock()
	slices.SortFunc(lenders, func(x, y Lender) int {
		if x.Level != y.Level {
			return cmp.Compare(y.Level, x.Level)
		}
		return cmp.Compare(x.VM, y.VM)
	})
}

// quietTime is for how long a refusal is repeated without asking again.
const quietTime = 50 * time.Millisecond

// Refused remembers what all lenders had when they were asked in vain.
func (b *PeerLevels) RecordRejection(now time.Time, key Key, lenders []Lender) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quiet[key] = refusal{at: now, lenders: lenders}
}

// Hopeless reports whether the lenders were asked so recently that they cannot
// have minted enough since, and when they will have. A team far over its rate is
// thus refused at the cost of one round of asks in each quietTime.
func (b *PeerLevels) RecentlyRejected(now time.Time, key Key, need Amount) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.quiet[key]
	if !ok {
		return 0, false
	}
	since := now.Sub(r.at)
	if since > quietTime || total(r.lenders, since) >= need {
		delete(b.quiet, key)
		return 0, false
	}
	return waitFor(r.lenders, need, since), true
}

// cutOffRetry is when to come back if the VMs that are reachable could never
// have enough, or mint nothing.
const cutOffRetry = 5 * time.Second

// maxRetry bounds the search for the time to come back.
const maxRetry = time.Hour

// waitFor returns when the lenders together will have the amount, if nobody
// else takes from them, counted from some time after they had their levels.
func waitFor(lenders []Lender, need Amount, since time.Duration) time.Duration {
	var all Limit
	for _, l := range lenders {
		all.Burst += l.Own.Burst
		all.Rate += l.Own.Rate
	}
	if all.Burst < need || all.Rate == 0 {
		return cutOffRetry
	}
	n := sort.Search(int(maxRetry/time.Millisecond), func(ms int) bool {
		return total(lenders, since+time.Duration(ms)*time.Millisecond) >= need
	})
	return time.Duration(n) * time.Millisecond
}

// total returns what the lenders will have after d.
func total(lenders []Lender, d time.Duration) Amount {
	var sum Amount
	for _, l := range lenders {
		sum += l.after(d)
		if sum < 0 {
			return math.MaxInt64
		}
	}
	return sum
}
