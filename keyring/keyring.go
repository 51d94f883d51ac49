// Package keyring checks callers' keys and cuts off callers whose key is
// withdrawn.
//
// A withdrawal needs no order: it is a set that only grows, and key ids are
// never reused. So it takes effect on the VM that hears it, from an operator, a
// peer or the log, whichever comes first, also while the log is down.
package keyring

import (
	"fmt"
	"sync"
	"sync/atomic"

	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/shard"
	"toucanfall/timeline"
)

// Keys finds keys in the ordered state.
type Keys interface {
	KeyByHash(h fleet.KeyHash) (fleet.Key, bool)
}

// Guard refuses keys for a reason of its own, such as a VM that is cut off.
type Guard func(fleet.Key) error

// Keyring checks keys. It is safe for concurrent use.
type Keyring struct {
	keys   Keys
	guards []Guard
	rec    *timeline.Recorder
	heard  *shard.Map[fleet.KeyID, Withdrawal]
	loaded atomic.Bool

	mu      sync.Mutex
	buckets Buckets
	pending map[fleet.KeyID]Withdrawal
	watches map[fleet.KeyID]map[*Watch]struct{}
}

// New returns a keyring over the keys of the ordered state. It has not loaded
// the withdrawals yet; see [Keyring.MarkLoaded].
func New(keys Keys, rec *timeline.Recorder, guards ...Guard) *Keyring {
	return &Keyring{
		keys:    keys,
		guards:  guards,
		rec:     rec,
		heard:   shard.New[fleet.KeyID, Withdrawal](),
		pending: make(map[fleet.KeyID]Withdrawal),
		watches: make(map[fleet.KeyID]map[*Watch]struct{}),
	}
}

// MarkLoaded tells that the withdrawals in force were loaded from the log or
// from peers.
func (k *Keyring) MarkLoaded() {
	k.loaded.Store(true)
}

// Loaded reports whether the withdrawals in force were loaded. A VM must not
// serve before: it would take a withdrawn key for a good one.
func (k *Keyring) Loaded() bool {
	return k.loaded.Load()
}

// Authenticate returns the key of an Authorization header.
func (k *Keyring) Authenticate(header string) (fleet.Key, error) {
	secret, ok := fleet.ParseBearer(header)
	if !ok {
		return fleet.Key{}, fault.New(fault.Unauthenticated, "the Authorization header must be \"Bearer KEY\"")
	}
	key, ok := k.keys.KeyByHash(secret.Hash())
	if !ok {
		return fleet.Key{}, fault.New(fault.Unauthenticated, "the key is not known")
	}
	if k.Withdrawn(key.ID) {
		return fleet.Key{}, fault.New(fault.KeyWithdrawn, "key %q was withdrawn", key.ID)
	}
	for _, guard := range k.guards {
		if err := guard(key); err != nil {
			return fleet.Key{}, err
		}
	}
	return key, nil
}

// Withdrawn reports whether a withdrawal of the key was heard.
func (k *Keyring) Withdrawn(id fleet.KeyID) bool {
	_, gone := k.heard.Get(id)
	return gone
}

// Withdraw refuses the key from now on and cuts off its callers. It reports
// whether the withdrawal was news.
func (k *Keyring) Withdraw(w Withdrawal) bool {
	k.mu.Lock()
	if k.Withdrawn(w.Key) {
		k.mu.Unlock()
		return false
	}
	k.heard.Put(w.Key, w)
	k.buckets.add(w.Key)
	k.pending[w.Key] = w
	cut := k.watches[w.Key]
	delete(k.watches, w.Key)
	k.mu.Unlock()
	for watch := range cut {
		close(watch.gone)
	}
	k.rec.Record(event.KeyHeardWithdrawn, timeline.Fields{"key": string(w.Key), "by": w.By, "cut": fmt.Sprint(len(cut))})
	return true
}

// Check reports a broken invariant: a caller that is still connected with a
// withdrawn key, or digests that are not those of the set.
func (k *Keyring) Check() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id := range k.watches {
		if k.Withdrawn(id) {
			return fmt.Errorf("key %q was withdrawn, but a caller is connected with it", id)
		}
	}
	var want Buckets
	for _, id := range k.heard.Keys() {
		want.add(id)
	}
	if want != k.buckets {
		return fmt.Errorf("the digests of %d withdrawals do not match them", k.heard.Len())
	}
	return nil
}

// Watch tells one caller when its key is withdrawn. It must be stopped.
type Watch struct {
	ring *Keyring
	key  fleet.KeyID
	gone chan struct{}
}

// Gone is closed when the key is withdrawn.
func (w *Watch) Gone() <-chan struct{} {
	return w.gone
}

// Stop ends the watch.
func (w *Watch) Stop() {
	w.ring.mu.Lock()
	defer w.ring.mu.Unlock()
	delete(w.ring.watches[w.key], w)
	if len(w.ring.watches[w.key]) == 0 {
		delete(w.ring.watches, w.key)
	}
}

// Watch starts a watch of a key.
func (k *Keyring) Watch(id fleet.KeyID) *Watch {
	w := &Watch{ring: k, key: id, gone: make(chan struct{})}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.Withdrawn(id) {
		close(w.gone)
		return w
	}
	if k.watches[id] == nil {
		k.watches[id] = make(map[*Watch]struct{})
	}
	k.watches[id][w] = struct{}{}
	return w
}
