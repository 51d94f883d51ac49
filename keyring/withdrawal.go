package keyring

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucanfall/fleet"
	"toucanfall/timeline"
)

// Withdrawal records that a key was withdrawn, by which operator and when. By is
// kept whichever VM appends the withdrawal to the log.
type Withdrawal struct {
	Key fleet.KeyID    `json:"key"`
	By  string         `json:"by"`
	At  timeline.Stamp `json:"at"`
}

// UnmarshalJSON decodes a withdrawal. It fails if the key id is invalid.
func (w *Withdrawal) UnmarshalJSON(b []byte) error {
	type plain Withdrawal
	return fleet.DecodeChecked(b, (*plain)(w), w.check)
}

func (w *Withdrawal) check() error {
	return fleet.CheckID("key", w.Key)
}

// bucketCount is the number of buckets that withdrawn keys are hashed into.
const bucketCount = 64

// Digest is the XOR of the 64-bit hashes of a set of withdrawn keys. Sets with
// different digests differ; different sets have the same digest with a
// probability of 2^-64.
type Digest uint64

// Buckets holds one digest per bucket of a set of withdrawn keys. The hash of a
// key selects its bucket, so two VMs exchange only the buckets that differ.
type Buckets [bucketCount]Digest

// Sum returns the digest of all buckets together.
func (b *Buckets) Sum() Digest {
	var sum Digest
	for _, d := range b {
		sum ^= d
	}
	return sum
}

// add adds a key to the digest of its bucket. The caller must add each key only
// once: XOR with the same hash removes it again.
func (b *Buckets) add(id fleet.KeyID) {
	h := xxhash.Sum64String(string(id))
	b[bucketOf(id)] ^= Digest(h)
}

func bucketOf(id fleet.KeyID) int {
	return int(xxhash.Sum64String(string(id)) % bucketCount)
}

// Difference is a VM's response to the buckets of another VM.
type Difference struct {
	// Withdrawals are the responding VM's withdrawals in the buckets that differ.
	Withdrawals []Withdrawal
	// Buckets are the responding VM's digests.
	Buckets Buckets
}

// Buckets returns the digests of the withdrawn keys, one per bucket.
func (k *Keyring) Buckets() Buckets {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.buckets
}

// Digest returns the digest of all withdrawn keys.
func (k *Keyring) Digest() Digest {
	b := k.Buckets()
	return b.Sum()
}

// Difference returns this keyring's buckets and its withdrawals in the buckets
// that differ from other.
func (k *Keyring) Difference(other Buckets) Difference {
	own := k.Buckets()
	d := Difference{Buckets: own}
	if own == other {
		return d
	}
	for _, id := range k.withdrawn.Keys() {
		n := bucketOf(id)
		if own[n] == other[n] {
			continue
		}
		if w, ok := k.withdrawn.Get(id); ok {
			d.Withdrawals = append(d.Withdrawals, w)
		}
	}
	return d
}

// Pending returns the withdrawals that are not known to be in the log, sorted by
// key id.
func (k *Keyring) Pending() []Withdrawal {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := slices.Collect(maps.Values(k.pending))
	slices.SortFunc(out, func(a, b Withdrawal) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// MarkLogged removes a withdrawal from the pending ones, because it is in the
// log.
func (k *Keyring) MarkLogged(id fleet.KeyID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, id)
}
