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
		return fleet.Key{}, withdrawnFault(key.ID)
	}
	if err := k.guard(key); err != nil {
		return fleet.Key{}, err
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
	k.rec.Clock.Observe(w.At)
	for watch := range cut {
		watch.end(withdrawnFault(w.Key))
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

// Watch tells one caller when its key is no longer good. It must be stopped.
type Watch struct {
	ring *Keyring
	key  fleet.Key
	gone chan struct{}
	err  error
}

// Gone is closed when the key is no longer good.
func (w *Watch) Done() <-chan struct{} {
	return w.gone
}

// Err returns why the key is no longer good. It may be called after Gone was
// closed.
func (w *Watch) Err() error {
	return w.err
}

// Stop ends the watch.
func (w *Watch) Stop() {
	w.ring.mu.Lock()
	defer w.ring.mu.Unlock()
	delete(w.ring.watches[w.key.ID], w)
	if len(w.ring.watches[w.key.ID]) == 0 {
		delete(w.ring.watches, w.key.ID)
	}
}

// end tells the caller. It is called once, by whoever removed the watch.
func (w *Watch) end(err error) {
	w.err = err
	close(w.gone)
}

// Watch starts a watch of a key.
func (k *Keyring) Watch(key fleet.Key) *Watch {
	w := &Watch{ring: k, key: key, gone: make(chan struct{})}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.Withdrawn(key.ID) {
		w.end(withdrawnFault(key.ID))
		return w
	}
	if k.watches[key.ID] == nil {
		k.watches[key.ID] = make(map[*Watch]struct{})
	}
	k.watches[key.ID][w] = struct{}{}
	return w
}

// CutGuarded cuts off the callers whose keys a guard refuses now.
func (k *Keyring) DisconnectRejected() {
	k.mu.Lock()
	var cut []*Watch
	for id, watches := range k.watches {
		for w := range watches {
			if k.guard(w.key) == nil {
				break // all watches of a key are alike
			}
			cut = append(cut, w)
			delete(watches, w)
		}
		if len(watches) == 0 {
			delete(k.watches, id)
		}
	}
	k.mu.Unlock()
	for _, w := range cut {
		w.end(fault.New(fault.KeyUnverified, "this VM is cut off, and the team of key %q does not want to be served then", w.key.ID))
	}
}

// guard returns the refusal of the first guard that refuses.
func (k *Keyring) guard(key fleet.Key) error {
	for _, guard := range k.guards {
		if err := guard(key); err != nil {
			return err
		}
	}
	return nil
}

func withdrawnFault(id fleet.KeyID) error {
	return fault.New(fault.KeyWithdrawn, "key %q was withdrawn", id)
}
