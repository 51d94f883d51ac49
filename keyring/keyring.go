// Package keyring authenticates callers' keys, disconnects callers whose key is
// withdrawn, and replicates withdrawals among VMs.
//
// Withdrawals need no ordering: the withdrawn keys are a set that only grows,
// and key ids are never reused. A withdrawal therefore takes effect on a VM as
// soon as it arrives from an operator, a peer or the log, whichever is first,
// even while the log is down.
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

// Keys looks up keys in the state that the log's records produce in order.
type Keys interface {
	KeyByHash(h fleet.KeyHash) (fleet.Key, bool)
}

// Guard is an additional check of a key that is known and not withdrawn. A
// non-nil error rejects the key. It is called concurrently, and by
// [Keyring.DisconnectRejected] while the lock of the keyring is held, so it must
// not call the keyring.
type Guard func(fleet.Key) error

// Keyring authenticates keys. It is safe for concurrent use.
type Keyring struct {
	keys   Keys
	guards []Guard
	rec    *timeline.Recorder
	// withdrawn is read without mu and written under mu.
	withdrawn *shard.Map[fleet.KeyID, Withdrawal]
	loaded    atomic.Bool

	mu sync.Mutex // guards the fields below
	// buckets are the digests of withdrawn.
	buckets Buckets
	// pending holds the withdrawals that are not known to be in the log.
	pending map[fleet.KeyID]Withdrawal
	// watches holds the watches that are neither stopped nor finished.
	watches map[fleet.KeyID]map[*Watch]struct{}
}

// New returns a keyring that looks up keys in keys and applies guards in order.
// It holds no withdrawals yet; see [Keyring.MarkLoaded].
func New(keys Keys, rec *timeline.Recorder, guards ...Guard) *Keyring {
	return &Keyring{
		keys:      keys,
		guards:    guards,
		rec:       rec,
		withdrawn: shard.New[fleet.KeyID, Withdrawal](),
		pending:   make(map[fleet.KeyID]Withdrawal),
		watches:   make(map[fleet.KeyID]map[*Watch]struct{}),
	}
}

// MarkLoaded records that the current withdrawals were loaded from the log or
// from peers.
func (k *Keyring) MarkLoaded() {
	k.loaded.Store(true)
}

// Loaded reports whether the current withdrawals were loaded. A VM must not
// serve requests before that, because it would accept withdrawn keys.
func (k *Keyring) Loaded() bool {
	return k.loaded.Load()
}

// Authenticate returns the key in an Authorization header. It fails with
// [fault.Unauthenticated] if the header is malformed or the key is unknown, with
// [fault.KeyWithdrawn] if the key is withdrawn, and with the error of the first
// guard that rejects the key.
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

// Withdrawn reports whether a withdrawal of the key was received.
func (k *Keyring) Withdrawn(id fleet.KeyID) bool {
	_, withdrawn := k.withdrawn.Get(id)
	return withdrawn
}

// Withdraw rejects the key from now on and disconnects its callers. It reports
// whether the withdrawal was new to this keyring.
func (k *Keyring) Withdraw(w Withdrawal) bool {
	k.mu.Lock()
	if k.Withdrawn(w.Key) {
		k.mu.Unlock()
		return false
	}
	k.withdrawn.Put(w.Key, w)
	k.buckets.add(w.Key)
	k.pending[w.Key] = w
	watches := k.watches[w.Key]
	delete(k.watches, w.Key)
	k.mu.Unlock()
	k.rec.Clock.Observe(w.At)
	for watch := range watches {
		watch.finish(withdrawnFault(w.Key))
	}
	k.rec.Record(event.KeyHeardWithdrawn, timeline.Fields{"key": string(w.Key), "by": w.By, "cut": fmt.Sprint(len(watches))})
	return true
}

// Check returns an error if an invariant is violated: a caller is still watching
// a withdrawn key, or the digests do not match the withdrawn keys.
func (k *Keyring) Check() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id := range k.watches {
		if k.Withdrawn(id) {
			return fmt.Errorf("key %q is withdrawn but a caller is still connected with it", id)
		}
	}
	var want Buckets
	for _, id := range k.withdrawn.Keys() {
		want.add(id)
	}
	if want != k.buckets {
		return fmt.Errorf("bucket digests do not match the %d withdrawn keys", k.withdrawn.Len())
	}
	return nil
}

// Watch notifies one caller when its key is no longer accepted. It must be
// released with [Watch.Stop].
type Watch struct {
	keyring *Keyring
	key     fleet.Key
	done    chan struct{}
	err     error
}

// Done returns a channel that is closed when the key is no longer accepted.
func (w *Watch) Done() <-chan struct{} {
	return w.done
}

// Err returns why the key is no longer accepted. It must only be called after
// the channel of [Watch.Done] is closed.
func (w *Watch) Err() error {
	return w.err
}

// Stop releases the watch. Its channel is not closed after that, unless a
// withdrawal or a rejection of the key was already under way.
func (w *Watch) Stop() {
	w.keyring.mu.Lock()
	defer w.keyring.mu.Unlock()
	delete(w.keyring.watches[w.key.ID], w)
	if len(w.keyring.watches[w.key.ID]) == 0 {
		delete(w.keyring.watches, w.key.ID)
	}
}

// finish sets the error and closes the channel. Only the goroutine that removed
// the watch from Keyring.watches may call it, so it runs at most once.
func (w *Watch) finish(err error) {
	w.err = err
	close(w.done)
}

// Watch starts watching a key that was authenticated. If the key is already
// withdrawn, the channel of the returned watch is closed.
func (k *Keyring) Watch(key fleet.Key) *Watch {
	w := &Watch{keyring: k, key: key, done: make(chan struct{})}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.Withdrawn(key.ID) {
		w.finish(withdrawnFault(key.ID))
		return w
	}
	if k.watches[key.ID] == nil {
		k.watches[key.ID] = make(map[*Watch]struct{})
	}
	k.watches[key.ID][w] = struct{}{}
	return w
}

// DisconnectRejected disconnects the callers whose keys a guard now rejects. The
// error is [fault.KeyUnverified], not that of the guard, because their requests
// may have started and must not be reported as not run.
func (k *Keyring) DisconnectRejected() {
	k.mu.Lock()
	var rejected []*Watch
	for id, watches := range k.watches {
		for w := range watches {
			if k.guard(w.key) == nil {
				break // the guards give the same result for all watches of a key
			}
			rejected = append(rejected, w)
			delete(watches, w)
		}
		if len(watches) == 0 {
			delete(k.watches, id)
		}
	}
	k.mu.Unlock()
	for _, w := range rejected {
		w.finish(fault.New(fault.KeyUnverified, "this VM is cut off, and the team of key %q does not want to be served then", w.key.ID))
	}
}

// guard returns the error of the first guard that rejects the key.
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
