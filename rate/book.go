package rate

import (
	"cmp"
	"math"
	"slices"
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
func (m *Minter) Digest(now time.Time) Digest {
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
}

// Book remembers the levels of other VMs.
type Book struct {
	mu    sync.Mutex
	seen  map[fleet.VMID]map[Key]sighting
	quiet map[Key]refusal
}

type sighting struct {
	level Amount
	at    time.Time
}

// refusal remembers that the reachable VMs together had too little.
type refusal struct {
	at    time.Time
	total Amount
	rate  Limit
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{seen: make(map[fleet.VMID]map[Key]sighting), quiet: make(map[Key]refusal)}
}

// Heard takes the digest of a VM's heartbeat. Keys that it leaves out are taken
// as empty.
func (b *Book) Heard(now time.Time, vm fleet.VMID, d Digest) {
	levels := make(map[Key]sighting, len(d))
	for _, l := range d {
		levels[l.Key] = sighting{level: l.Amount, at: now}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen[vm] = levels
}

// Saw takes the level of one key from a lender's answer.
func (b *Book) Saw(now time.Time, vm fleet.VMID, key Key, level Amount) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen[vm] == nil {
		b.seen[vm] = make(map[Key]sighting)
	}
	b.seen[vm][key] = sighting{level: level, at: now}
}

// Estimate fills in the levels of lenders and sorts them, the fullest first.
func (b *Book) Estimate(now time.Time, key Key, lenders []Lender) {
	b.mu.Lock()
	for i := range lenders {
		l := &lenders[i]
		if s, ok := b.seen[l.VM][key]; ok {
			l.Level = min(l.Own.Burst, s.level+l.Own.Minted(now.Sub(s.at)))
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

// Refused remembers what all lenders had together when they were asked in vain.
func (b *Book) Refused(now time.Time, key Key, total Amount, rate Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quiet[key] = refusal{at: now, total: total, rate: rate}
}

// Hopeless reports whether the lenders were asked so recently that they cannot
// have minted enough since. A team far over its rate is thus refused at the
// cost of one round of asks in each quietTime.
func (b *Book) Hopeless(now time.Time, key Key, need Amount) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.quiet[key]
	if !ok {
		return 0, false
	}
	since := now.Sub(r.at)
	short := need - r.total - r.rate.Minted(since)
	if since > quietTime || short <= 0 {
		delete(b.quiet, key)
		return 0, false
	}
	return r.rate.TimeFor(short), true
}

// waitFor returns when the lenders together will have the amount, if nobody
// else takes from them. The result is false if their bursts never reach it.
func waitFor(lenders []Lender, need Amount) (time.Duration, bool) {
	var bursts Amount
	for _, l := range lenders {
		bursts += l.Own.Burst
	}
	if bursts < need {
		return 0, false
	}
	low, high := time.Duration(0), time.Hour
	if total(lenders, high) < need {
		return high, true
	}
	for high-low > time.Millisecond {
		mid := low + (high-low)/2
		if total(lenders, mid) >= need {
			high = mid
		} else {
			low = mid
		}
	}
	return high, true
}

// total returns what the lenders will have after d.
func total(lenders []Lender, d time.Duration) Amount {
	var sum Amount
	for _, l := range lenders {
		sum += min(l.Own.Burst, l.Level+l.Own.Minted(d))
		if sum < 0 {
			return math.MaxInt64
		}
	}
	return sum
}
