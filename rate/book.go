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
const maxDigestEntries = 16

// Level is what a VM has of a key.
type Level struct {
	Key    Key    `json:"key"`
	Amount Amount `json:"amount"`
}

// Digest is what a heartbeat tells of a VM's levels: the largest ones.
type Digest []Level

// Digest returns the largest levels of the VM.
func (m *Minter) Digest(now time.Time) Digest {
	var d Digest
	for _, key := range m.byKey.Keys() {
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
	return d[:min(len(d), maxDigestEntries)]
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
func (l Lender) levelAfter(d time.Duration) Amount {
	return min(l.Own.Burst, l.Level+l.Own.Minted(d-l.Blocked))
}

// Book remembers the levels of other VMs.
type Book struct {
	mu         sync.Mutex
	observed   map[fleet.VMID]map[Key]observation
	rejections map[Key]rejection
}

type observation struct {
	level      Amount
	blocked    time.Duration
	observedAt time.Time
}

// refusal remembers what the reachable VMs had together.
type rejection struct {
	rejectedAt time.Time
	lenders    []Lender
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{observed: make(map[fleet.VMID]map[Key]observation), rejections: make(map[Key]rejection)}
}

// Heard takes the digest of a VM's heartbeat. Keys that it leaves out are taken
// as empty.
func (b *Book) Heard(now time.Time, vm fleet.VMID, d Digest) {
	levels := make(map[Key]observation, len(d))
	for _, l := range d {
		levels[l.Key] = observation{level: l.Amount, observedAt: now}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observed[vm] = levels
}

// Saw takes what a lender's answer tells of its level.
func (b *Book) Saw(now time.Time, vm fleet.VMID, key Key, a Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.observed[vm] == nil {
		b.observed[vm] = make(map[Key]observation)
	}
	b.observed[vm][key] = observation{level: a.Level, blocked: a.Blocked, observedAt: now}
}

// Estimate fills in the levels of lenders and sorts them, the fullest first.
func (b *Book) Estimate(now time.Time, key Key, lenders []Lender) {
	b.mu.Lock()
	for i := range lenders {
		l := &lenders[i]
		if o, ok := b.observed[l.VM][key]; ok {
			l.Level, l.Blocked = o.level, o.blocked
			l.Level = l.levelAfter(now.Sub(o.observedAt))
			l.Blocked = max(0, o.blocked-now.Sub(o.observedAt))
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
const rejectionTTL = 50 * time.Millisecond

// Refused remembers what all lenders had when they were asked in vain.
func (b *Book) Refused(now time.Time, key Key, lenders []Lender) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejections[key] = rejection{rejectedAt: now, lenders: lenders}
}

// Hopeless reports whether the lenders were asked so recently that they cannot
// have minted enough since, and when they will have. A team far over its rate is
// thus refused at the cost of one round of asks in each quietTime.
func (b *Book) Hopeless(now time.Time, key Key, need Amount) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rejections[key]
	if !ok {
		return 0, false
	}
	since := now.Sub(r.rejectedAt)
	if since > rejectionTTL || totalAfter(r.lenders, since) >= need {
		delete(b.rejections, key)
		return 0, false
	}
	return timeUntil(r.lenders, need, since), true
}

// cutOffRetry is when to come back if the VMs that are reachable could never
// have enough, or mint nothing.
const unavailableRetryAfter = 5 * time.Second

// maxRetry bounds the search for the time to come back.
const maxRetryAfter = time.Hour

// waitFor returns when the lenders together will have the amount, if nobody
// else takes from them, counted from some time after they had their levels.
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

// total returns what the lenders will have after d.
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
