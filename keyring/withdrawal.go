package keyring

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucanfall/fleet"
	"toucanfall/timeline"
)

// Withdrawal is a key that was taken out of use, with who did so and when. It
// keeps its author until it is in the log, whichever VM appends it.
type Withdrawal struct {
	Key fleet.KeyID    `json:"key"`
	By  string         `json:"by"`
	At  timeline.Stamp `json:"at"`
}

// UnmarshalJSON decodes and checks a withdrawal.
func (w *Withdrawal) UnmarshalJSON(b []byte) error {
	type plain Withdrawal
	return fleet.DecodeChecked(b, (*plain)(w), w.check)
}

func (w *Withdrawal) check() error {
	return fleet.CheckID("key", w.Key)
}

// bucketCount is the number of parts that a set of withdrawals is compared in.
const bucketCount = 64

// Digest stands for a whole set of withdrawn keys. Sets with different digests
// differ; sets with the same digest are the same but for a chance of 2^-64.
type Digest uint64

// Buckets are the digests of the parts of a set. The hash of a key decides
// which part it is in, so two VMs compare and exchange only what differs.
type Buckets [bucketCount]Digest

// Sum returns the digest of the whole set.
func (b *Buckets) Sum() Digest {
	var sum Digest
	for _, d := range b {
		sum ^= d
	}
	return sum
}

// add takes a key into the digest of its part. Adding a key twice would remove
// it again, so the caller adds each key once.
func (b *Buckets) add(id fleet.KeyID) {
	h := xxhash.Sum64String(string(id))
	b[bucketOf(id)] ^= Digest(h)
}

func bucketOf(id fleet.KeyID) int {
	return int(xxhash.Sum64String(string(id)) % bucketCount)
}

// Difference is the answer of a VM to the buckets of another one.
type Difference struct {
	// Withdrawals are those of the answering VM in the parts that differ.
	Withdrawals []Withdrawal
	// Buckets are the digests of the answering VM.
	Buckets Buckets
}

// Buckets returns the digests of what was heard.
func (k *Keyring) Buckets() Buckets {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.buckets
}

// Digest returns the digest of all that was heard.
func (k *Keyring) Digest() Digest {
	b := k.Buckets()
	return b.Sum()
}

// Difference returns the withdrawals in the parts where other differs from
// what was heard here.
func (k *Keyring) Difference(other Buckets) Difference {
	own := k.Buckets()
	d := Difference{Buckets: own}
	if own == other {
		return d
	}
	for _, id := range k.heard.Keys() {
		n := bucketOf(id)
		if own[n] == other[n] {
			continue
		}
		if w, ok := k.heard.Get(id); ok {
			d.Withdrawals = append(d.Withdrawals, w)
		}
	}
	return d
}

// Pending returns the withdrawals that were heard and are not known to be in
// the log, in the order of their keys.
func (k *Keyring) Pending() []Withdrawal {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := slices.Collect(maps.Values(k.pending))
	slices.SortFunc(out, func(a, b Withdrawal) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// Settle tells that a withdrawal is in the log.
func (k *Keyring) MarkLogged(id fleet.KeyID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, id)
}
