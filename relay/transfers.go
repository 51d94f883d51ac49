package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"toucanfall/fleet"
)

// Bounds of large answers. Without them a relay with a slow link answers all its followers at once
// after a new configuration: each answer then takes as long as all of them, and small messages wait
// behind them.
const (
	// maxTransfers is how many followers receive large answers at a time.
	maxTransfers = 2
	// maxSmallAnswer is the size up to which an answer is sent at any time, in bytes.
	maxSmallAnswer = 8 << 10
	// minTransferTimeout is after how long a transfer no longer counts, at the earliest, if its follower
	// does not ask again, which it does when it has received the answer. Followers that are frozen delay
	// others by no more than the time that the answer may take.
	minTransferTimeout = 250 * time.Millisecond
	// minLinkRate is the rate of the slowest links, in bytes per second: 10 Mbit/s.
	minLinkRate = 1_250_000
)

// transferTimeout returns after how long a transfer of a size in bytes no longer counts: the time in which
// maxTransfers of them fit through the slowest link.
func transferTimeout(size int) time.Duration {
	return max(time.Duration(size*maxTransfers)*time.Second/minLinkRate, minTransferTimeout)
}

// transfers records which followers are receiving a large answer. It is safe for concurrent use; mu
// guards all fields.
type transfers struct {
	mu     sync.Mutex
	active []transfer
	// changed is closed and replaced when a transfer ends early.
	changed chan struct{}
}

// transfer is a large answer to a follower.
type transfer struct {
	vm      fleet.VMID
	expires time.Duration
}

func newTransfers() *transfers {
	return &transfers{changed: make(chan struct{})}
}

// end ends the transfer to a follower, which has asked again.
func (t *transfers) end(vm fleet.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.active)
	t.active = slices.DeleteFunc(t.active, func(a transfer) bool { return a.vm == vm })
	if len(t.active) < before {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// begin begins a transfer of a size in bytes to a follower at the time now. If there are maxTransfers, it returns false, a
// channel that is closed when one has ended, and after how long the first expires.
func (t *transfers) begin(vm fleet.VMID, size int, now time.Duration) (ok bool, changed <-chan struct{}, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active = slices.DeleteFunc(t.active, func(a transfer) bool { return now >= a.expires })
	if len(t.active) < maxTransfers {
		t.active = append(t.active, transfer{vm, now + transferTimeout(size)})
		return true, nil, 0
	}
	first := slices.MinFunc(t.active, func(a, b transfer) int { return cmp.Compare(a.expires, b.expires) })
	return false, t.changed, first.expires - now
}

// wait waits until a transfer of a size in bytes to a follower can begin, at most for the time limit, and
// begins it. It reports whether it has.
func (t *transfers) wait(vm fleet.VMID, size int, limit time.Duration, now func() time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		ok, changed, expiry := t.begin(vm, size, now())
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-time.After(expiry):
		case <-timer.C:
			return false
		}
	}
}
