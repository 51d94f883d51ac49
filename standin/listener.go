package standin

import (
	"net"
	"sync"
)

// memoryAddr is an address in a Network.
type memoryAddr string

// Network returns "tcp".
func (a memoryAddr) Network() string { return "tcp" }

// String returns the address.
func (a memoryAddr) String() string { return string(a) }

// memoryListener is a listener of a node in a Network.
type memoryListener struct {
	network *Network
	node    string
	address memoryAddr
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept waits for a connection. It fails once the listener is closed.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes the network refuse further connections to the address. Accepted
// connections stay open.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.address))
	})
	return nil
}

// Addr returns the listener's address.
func (l *memoryListener) Addr() net.Addr { return l.address }
