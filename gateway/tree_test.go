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

	"toucanfall/crew"
	"toucanfall/relay"
)

// network carries questions between the VMs of a tree, late and not always: a VM that is
// frozen answers after its pause what it knew before.
type network struct {
	mu   sync.Mutex
	rng  *rand.Rand
	slow time.Duration
	// freezes is the share of questions after which the VM asked is frozen.
	freezes float64
	nodes   map[string]*node
	cut     map[string]bool
	// calls counts the questions by the VM that is asked.
	calls map[string]int
}

// cutOff cuts a VM off from all others.
func (net *network) cutOff(address string) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.cut[address] = true
}

// way draws what a message goes through: its delay, and how long the VM is frozen that
// gets it.
func (net *network) way() (delay, freeze time.Duration) {
	net.mu.Lock()
	defer net.mu.Unlock()
	delay = time.Duration(net.rng.Float64() * float64(net.slow) / 10)
	if net.rng.Float64() < net.freezes {
		freeze = time.Duration(net.rng.IntN(3000)) * time.Millisecond
	}
	return delay, freeze
}

func (net *network) to(address string) (*node, bool) {
	net.mu.Lock()
	defer net.mu.Unlock()
	n, ok := net.nodes[address]
	net.calls[address]++
	return n, ok && !net.cut[address]
}

var errNotReached = errors.New("the VM cannot be reached")

// Call asks a VM, which may freeze after it has looked.
func (net *network) Call(ctx context.Context, address, _ string, args, reply any) error {
	n, ok := net.to(address)
	if !ok {
		<-ctx.Done()
		return errNotReached
	}
	delay, freeze := net.way()
	time.Sleep(delay)
	// A service answers every question.
	_ = n.service.Peer().Follow(args.(relay.Ask), reply.(*relay.News))
	select {
	case <-time.After(delay + freeze):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tree is a coordinator, the relays of a data centre and a VM that follows these, of a
// fleet whose other VMs are not played.
type tree struct {
	nodes []*node
	net   *network
}

// fleetSize is above the size up to which all VMs follow the coordinator.
const fleetSize = 40

func rollOf(n int) crew.MemberList {
	r := crew.MemberList{Fingerprint: 1}
	for i := range n {
		r.Members = append(r.Members, crew.Member(fmt.Sprintf("vm-%02d@192.0.2.%d:1@dc-1", i, i)))
	}
	r.Coordinator = r.Members[0]
	return r
}

// plant starts a tree in some weather. Each VM reads the store by a way of its own.
func (c *changes) plant(ctx context.Context, w weather) *tree {
	roll := rollOf(fleetSize)
	leaf := roll.Members[1]
	for i := 1; relay.IsRelay(leaf, roll); i++ {
		leaf = roll.Members[i]
	}
	net := &network{
		rng: rand.New(rand.NewPCG(w.seed, 100)), slow: w.slow, freezes: w.freezes,
		nodes: make(map[string]*node), cut: make(map[string]bool), calls: make(map[string]int),
	}
	t := &tree{net: net}
	members := append([]crew.Member{roll.Coordinator}, relay.Sources(leaf, roll)...)
	members[len(members)-1] = leaf // The last source is the coordinator again.
	for i, m := range members {
		n := c.member(ctx, w.reader(c, uint64(i)), m, roll, net, m == roll.Coordinator)
		net.mu.Lock()
		net.nodes[m.Address()] = n
		net.mu.Unlock()
		t.nodes = append(t.nodes, n)
	}
	return t
}

// Guards against reads of the store that grow with the number of VMs: a VM that relays
// tell asks the store nothing, whatever changes, and knows each change soon.
func TestToldVMReadsNothing(t *testing.T) {
	paused(t, func(ctx context.Context, is *is.I) {
		c := newChanges()
		tree := c.plant(ctx, weather{seed: 1, slow: time.Millisecond})
		leaf := tree.nodes[len(tree.nodes)-1]
		time.Sleep(3 * time.Second)
		leaf.Store.(*reader).down.Store(true)
		for range 20 {
			c.join()
			c.leave(true)
			time.Sleep(time.Second)
			is.Equal(len(leaf.sendable()), 2)
		}
		is.True(!leaf.away.Load())
		is.Equal(len(leaf.out), 0) // No question was put to the store.
	})
}
