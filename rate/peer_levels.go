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

// maxDigestEntries bounds the fill levels in a heartbeat.
const maxDigestEntries = 16

// Level is the fill level of a VM's bucket for a key.
type Level struct {
	Key    Key    `json:"key"`
	Amount Amount `json:"amount"`
}

// Digest is the highest fill levels of a VM, highest first, as its heartbeat
// carries them.
type Digest []Level

// Digest returns the highest fill levels of the VM, at most maxDigestEntries.
func (bs *Buckets) Digest(now time.Time) Digest {
	var d Digest
	for _, key := range bs.byKey.Keys() {
		if a := bs.Level(now, key); a > 0 {
			d = append(d, Level{Key: key, Amount: a})
		}
	}
	slices.SortFunc(d, func(a, b Level) int {
		if a.Amount != b.Amount {
			return cmp.Compare(b.Amount, a.Amount)
		}
		return cmp.Compare(a.Key, b.Key)
	})
	return d[:min(len(d), maxDigestEntries)]
}

// Lender is a VM that may have tokens of a key to lend.
type Lender struct {
	VM fleet.VMID
	// Own is the VM's share of the key.
	Own Limit
	// Level is its estimated fill level.
	Level Amount
	// Blocked is for how long reservations keep its bucket from refilling.
	Blocked time.Duration
}

// levelAfter returns the lender's fill level after d.
func (l Lender) levelAfter(d time.Duration) Amount {
	return min(l.Own.Burst, l.Level+l.Own.Accrued(d-l.Blocked))
}

// PeerLevels caches the fill levels of other VMs. It is safe for concurrent use:
// mu guards the maps.
type PeerLevels struct {
	mu         sync.Mutex
	observed   map[fleet.VMID]map[Key]observation
	rejections map[Key]rejection
}

type observation struct {
	level      Amount
	blocked    time.Duration
	observedAt time.Time
}

// rejection holds the fill levels of this VM and of all reachable lenders when
// they did not suffice for a request.
type rejection struct {
	rejectedAt time.Time
	lenders    []Lender
}

// NewPeerLevels returns an empty cache.
func NewPeerLevels() *PeerLevels {
	return &PeerLevels{observed: make(map[fleet.VMID]map[Key]observation), rejections: make(map[Key]rejection)}
}

// ReceiveDigest applies the digest from a VM's heartbeat. Buckets for keys that
// the digest omits are assumed to be empty.
func (pl *PeerLevels) ReceiveDigest(now time.Time, vm fleet.VMID, d Digest) {
	levels := make(map[Key]observation, len(d))
	for _, l := range d {
		levels[l.Key] = observation{level: l.Amount, observedAt: now}
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.observed[vm] = levels
}

// ReceiveAnswer applies the fill level from a lender's answer.
func (pl *PeerLevels) ReceiveAnswer(now time.Time, vm fleet.VMID, key Key, a Answer) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.observed[vm] == nil {
		pl.observed[vm] = make(map[Key]observation)
	}
	pl.observed[vm][key] = observation{level: a.Level, blocked: a.Blocked, observedAt: now}
}

// Estimate sets Level and Blocked of the lenders from the cached levels and what
// has accrued since, and sorts the lenders by descending level.
func (pl *PeerLevels) Estimate(now time.Time, key Key, lenders []Lender) {
	pl.mu.Lock()
	for i := range lenders {
		l := &lenders[i]
		if o, ok := pl.observed[l.VM][key]; ok {
			l.Level, l.Blocked = o.level, o.blocked
			l.Level = l.levelAfter(now.Sub(o.observedAt))
			l.Blocked = max(0, o.blocked-now.Sub(o.observedAt))
		}
	}
	pl.mu.Unlock()
	slices.SortFunc(lenders, func(x, y Lender) int {
		if x.Level != y.Level {
			return cmp.Compare(y.Level, x.Level)
		}
		return cmp.Compare(x.VM, y.VM)
	})
}

// rejectionTTL is for how long further requests are rejected without asking the
// lenders again.
const rejectionTTL = 50 * time.Millisecond

// RecordRejection stores the fill levels of all lenders after a request that
// they could not satisfy.
func (pl *PeerLevels) RecordRejection(now time.Time, key Key, lenders []Lender) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.rejections[key] = rejection{rejectedAt: now, lenders: lenders}
}

// RecentlyRejected reports whether a request was rejected so recently that the
// lenders cannot have refilled enough since, and returns the time until they
// will have. A team far over its rate thus causes only one round of borrow
// requests per rejectionTTL.
func (pl *PeerLevels) RecentlyRejected(now time.Time, key Key, need Amount) (time.Duration, bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	r, ok := pl.rejections[key]
	if !ok {
		return 0, false
	}
	since := now.Sub(r.rejectedAt)
	if since > rejectionTTL || totalAfter(r.lenders, since) >= need {
		delete(pl.rejections, key)
		return 0, false
	}
	return timeUntil(r.lenders, need, since), true
}

// unavailableRetryAfter is the retry-after time if the burst shares of the
// reachable VMs are too small for the request, or their rates are zero.
const unavailableRetryAfter = 5 * time.Second

// maxRetryAfter bounds the retry-after time.
const maxRetryAfter = time.Hour

// timeUntil returns the time until the lenders together have the amount, if no
// other request takes from them. It counts from since after their fill levels
// were observed.
func timeUntil(lenders []Lender, need Amount, since time.Duration) time.Duration {
	var combined Limit
	for _, l := range lenders {
		combined.Burst += l.Own.Burst
		combined.Rate += l.Own.Rate
	}
	if combined.Burst < need || combined.Rate == 0 {
		return unavailableRetryAfter
	}
	n := sort.Search(int(maxRetryAfter/time.Millisecond), func(ms int) bool {
		return totalAfter(lenders, since+time.Duration(ms)*time.Millisecond) >= need
	})
	return time.Duration(n) * time.Millisecond
}

// totalAfter returns the sum of the lenders' fill levels after d.
func totalAfter(lenders []Lender, d time.Duration) Amount {
	var sum Amount
	for _, l := range lenders {
		sum += l.levelAfter(d)
		if sum < 0 {
			return math.MaxInt64
		}
	}
	return sum
}
