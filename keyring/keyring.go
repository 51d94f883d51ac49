// Package keyring checks callers' keys and cuts off callers whose key is
// withdrawn.
//
// A withdrawal needs no order: it is a set that only grows, and key ids are
// never reused. So it takes effect on the VM that hears it, from an operator, a
// peer or the log, whichever comes first, also while the log is down.
package keyring

import (
	"sync"

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

// Keyring checks keys. It is safe for concurrent use.
type Keyring struct {
	keys  Keys
	rec   *timeline.Recorder
	heard *shard.Map[fleet.KeyID, bool]

	mu      sync.Mutex
	watches map[fleet.KeyID]map[*Watch]struct{}
}

// New returns a keyring over the keys of the ordered state.
func New(keys Keys, rec *timeline.Recorder) *Keyring {
	return &Keyring{
		keys:    keys,
		rec:     rec,
		heard:   shard.New[fleet.KeyID, bool](),
		watches: make(map[fleet.KeyID]map[*Watch]struct{}),
	}
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
	return key, nil
}

// Withdrawn reports whether a withdrawal of the key was heard.
func (k *Keyring) Withdrawn(id fleet.KeyID) bool {
	gone, _ := k.heard.Get(id)
	return gone
}

// Withdraw refuses the key from now on and cuts off its callers. It reports
// whether the withdrawal was news.
func (k *Keyring) Withdraw(id fleet.KeyID) bool {
	k.mu.Lock()
	if k.Withdrawn(id) {
		k.mu.Unlock()
		return false
	}
	k.heard.Put(id, true)
	cut := k.watches[id]
	delete(k.watches, id)
	k.mu.Unlock()
	for w := range cut {
		close(w.gone)
	}
	k.rec.Record(event.KeyHeardWithdrawn, timeline.Fields{"key": string(id)})
	return true
}

// Heard returns all withdrawn keys, for a peer that may have missed some.
func (k *Keyring) Heard() []fleet.KeyID {
	return k.heard.Keys()
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
