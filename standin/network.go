package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
)

// Network simulates TCP connections in memory, so that a test can run many VMs
// in one process under a simulated clock. Each end of a connection belongs to a
// node, such as a VM, and the links between nodes can be cut. It is safe for
// concurrent use.
//
// Cutting a link silences its open connections permanently, as when a firewall
// loses their state: writes succeed but their data never arrives, and neither
// end gets an error. New connections fail until the link is healed.
type Network struct {
	mu        sync.Mutex // guards the fields below
	listeners map[string]*memoryListener
	cutLinks  map[link]bool
	conns     map[*memoryConn]struct{}
}

// link is an unordered pair of nodes. newLink sorts them.
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

// Listen opens a listener of a node. It fails if the address is in use.
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

// Dial connects a node to an address. It fails immediately if nothing listens
// there, and when ctx ends if the link is cut or nothing accepts.
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

// newConnPair returns both ends of a new connection, the dialling end first.
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

// Cut silences the open connections between two nodes. Until Heal, new dials
// between them block until their context ends.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutLinks[newLink(a, b)] = true
	n.silenceLocked(newLink(a, b))
}

// Silence silences the open connections between two nodes permanently. New
// connections still work.
func (n *Network) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silenceLocked(newLink(a, b))
}

// silenceLocked silences the open connections of a link. n.mu must be held.
func (n *Network) silenceLocked(lk link) {
	for c := range n.conns {
		if c.link == lk {
			c.silence()
		}
	}
}

// Heal lets two nodes connect again. Silenced connections stay silent.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cutLinks, newLink(a, b))
}

// Kill closes all listeners and connections of a node, as when its process
// exits.
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
