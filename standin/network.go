package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
)

// Network carries TCP-like connections in memory, so that whole processes run
// in one test under a paused clock. Each end belongs to a site, such as a VM;
// links between sites can be cut.
//
// Cutting a link makes its open connections silent for good, as if something
// between the two ends had lost track of them: nothing that is written arrives,
// and neither end is told. New connections fail until the link is healed.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	cutLinks  map[link]bool
	conns     map[*memoryConn]struct{}
}

// link is an unordered pair of sites.
type link struct {
	a, b string
}

func newLink(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a: a, b: b}
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*memoryListener),
		cutLinks:  make(map[link]bool),
		conns:     make(map[*memoryConn]struct{}),
	}
}

// Listen opens a listener of a site at an address.
func (n *Network) Listen(node, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, fmt.Errorf("address %s is in use", address)
	}
	l := &memoryListener{network: n, node: node, address: memoryAddr(address), accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects a site to an address.
func (n *Network) Dial(ctx context.Context, node, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	cut := ok && n.cutLinks[newLink(node, l.node)]
	n.mu.Unlock()
	switch {
	case !ok:
		return nil, dialError(address, errors.New("connection refused"))
	case cut:
		<-ctx.Done()
		return nil, dialError(address, ctx.Err())
	}
	near, far := n.newConnPair(newLink(node, l.node), l.address)
	select {
	case l.accept <- far:
		return near, nil
	case <-l.closed:
		return nil, dialError(address, errors.New("connection refused"))
	case <-ctx.Done():
		return nil, dialError(address, ctx.Err())
	}
}

func dialError(address string, err error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: memoryAddr(address), Err: err}
}

func (n *Network) newConnPair(lk link, address memoryAddr) (near, far *memoryConn) {
	a, b := net.Pipe()
	near = newMemoryConn(a, n, lk, address)
	far = newMemoryConn(b, n, lk, "dialer")
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near] = struct{}{}
	n.conns[far] = struct{}{}
	return near, far
}

// Cut silences the open connections between two sites and refuses new ones.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutLinks[newLink(a, b)] = true
	n.silenceLocked(newLink(a, b))
}

// Silence makes the open connections between two sites silent for good; new
// ones work.
func (n *Network) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silenceLocked(newLink(a, b))
}

// silence is called with the lock held.
func (n *Network) silenceLocked(lk link) {
	for c := range n.conns {
		if c.link == lk {
			c.silence()
		}
	}
}

// Heal lets two sites connect again.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cutLinks, newLink(a, b))
}

// Kill closes all listeners and connections of a site, as the end of its
// process does.
func (n *Network) Kill(node string) {
	n.mu.Lock()
	var listeners []*memoryListener
	for _, l := range n.listeners {
		if l.node == node {
			listeners = append(listeners, l)
		}
	}
	var conns []*memoryConn
	for c := range n.conns {
		if c.link.a == node || c.link.b == node {
			conns = append(conns, c)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}
