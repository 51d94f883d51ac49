package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/group"
	"toucanfall/relay"
)

// fakeNetwork carries requests between the VMs of a tree with delays and losses. A VM that
// is frozen answers after its pause with the state from before it. mu guards all fields.
type fakeNetwork struct {
	mu       sync.Mutex
	rng      *rand.Rand
	maxDelay time.Duration
	// freezeRate is the fraction of requests after which the VM that answers is frozen.
	freezeRate float64
	nodes      map[string]*node
	isolated   map[string]bool
	// calls counts the requests by the address of the VM that answers.
	calls map[string]int
}

// isolate cuts a VM off from all others.
func (net *fakeNetwork) isolate(address string) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.isolated[address] = true
}

// drawDelays draws the delay of a message, and how long the VM that receives it is frozen.
func (net *fakeNetwork) drawDelays() (delay, freeze time.Duration) {
	net.mu.Lock()
	defer net.mu.Unlock()
	delay = time.Duration(net.rng.Float64() * float64(net.maxDelay) / 10)
	if net.rng.Float64() < net.freezeRate {
		freeze = time.Duration(net.rng.IntN(3000)) * time.Millisecond
	}
	return delay, freeze
}

func (net *fakeNetwork) lookUp(address string) (*node, bool) {
	net.mu.Lock()
	defer net.mu.Unlock()
	n, ok := net.nodes[address]
	net.calls[address]++
	return n, ok && !net.isolated[address]
}

var errUnreachable = errors.New("the VM cannot be reached")

// CallReceiving sends a request to a VM, which may freeze after it has read its state. An answer
// arrives in one piece.
func (net *fakeNetwork) CallReceiving(ctx context.Context, address, _ string, args, reply any, silence time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	n, ok := net.lookUp(address)
	if !ok {
		<-ctx.Done()
		return errUnreachable
	}
	delay, freeze := net.drawDelays()
	time.Sleep(delay)
	// Follow never fails.
	_ = n.service.Peer().Follow(args.(relay.Ask), reply.(*relay.News))
	select {
	case <-time.After(delay + freeze):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// relayTree holds the coordinator, the relays of one data centre and a VM that follows
// these, from a fleet whose other VMs are not simulated.
type relayTree struct {
	nodes []*node
	net   *fakeNetwork
}

// fleetSize is larger than a fleet in which all VMs follow the coordinator.
const fleetSize = 40

func newMemberList(n int) group.MemberList {
	r := group.MemberList{Fingerprint: 1}
	for i := range n {
		r.Members = append(r.Members, group.Member(fmt.Sprintf("vm-%02d@192.0.2.%d:1@dc-1", i, i)))
	}
	r.Coordinator = r.Members[0]
	return r
}

// startTree starts a tree under the given conditions. Each VM has its own connection to the
// store.
func (c *directoryLog) startTree(ctx context.Context, cond conditions) *relayTree {
	list := newMemberList(fleetSize)
	leaf := list.Members[1]
	for i := 1; relay.IsRelay(leaf, list); i++ {
		leaf = list.Members[i]
	}
	net := &fakeNetwork{
		rng: rand.New(rand.NewPCG(cond.seed, 100)), maxDelay: cond.maxDelay, freezeRate: cond.freezeRate,
		nodes: make(map[string]*node), isolated: make(map[string]bool), calls: make(map[string]int),
	}
	t := &relayTree{net: net}
	members := append([]group.Member{list.Coordinator}, relay.Sources(leaf, list)...)
	members[len(members)-1] = leaf // The last source is the coordinator again.
	for i, m := range members {
		n := c.startMember(ctx, cond.newReader(c, uint64(i)), m, list, net, m == list.Coordinator)
		net.mu.Lock()
		net.nodes[m.Address()] = n
		net.mu.Unlock()
		t.nodes = append(t.nodes, n)
	}
	return t
}

// Guards against reads of the store that grow with the number of VMs: a VM that relays keep
// up to date reads nothing from the store, whatever changes, and learns of each change
// within a second.
func TestInformedVMDoesNotReadStore(t *testing.T) {
	withFakeClock(t, func(ctx context.Context, is *is.I) {
		c := newDirectoryLog()
		tree := c.startTree(ctx, conditions{seed: 1, maxDelay: time.Millisecond})
		leaf := tree.nodes[len(tree.nodes)-1]
		time.Sleep(3 * time.Second)
		leaf.Store.(*directoryReader).failing.Store(true)
		for range 20 {
			c.addUpstream()
			c.removeOldest(true)
			time.Sleep(time.Second)
			is.Equal(len(leaf.sendable()), 2)
		}
		is.True(!leaf.unreachable.Load())
		is.Equal(len(leaf.pending), 0) // No read of the store is pending.
	})
}
