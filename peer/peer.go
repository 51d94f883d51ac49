// Package peer carries calls between the system's own processes over net/rpc.
//
// A [Server] offers services of several packages on one listener. [Links] keeps
// one connection to each address; every call has a deadline, and a connection
// on which a call went unanswered is dropped and dialled anew, because
// something between the two ends may have lost track of it.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// dialTimeout bounds the time to connect to a peer.
const dialTimeout = time.Second

// Server offers services to peers.
type Server struct {
	rpc *rpc.Server

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server without services.
func NewServer() *Server {
	return &Server{rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
}

// Register adds a service under a name. Its methods follow net/rpc.
func (s *Server) Register(name string, service any) error {
	return s.rpc.RegisterName(name, service)
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept peer: %w", err)
		}
		if s.track(conn) {
			go func() {
				defer s.untrack(conn)
				s.rpc.ServeConn(conn)
			}()
		}
	}
}

// Close drops all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Links calls peers by address.
type Links struct {
	tls *tls.Config

	mu    sync.Mutex
	links map[string]*rpc.Client
}

// NewLinks returns links without connections. A nil config means plain TCP.
func NewLinks(config *tls.Config) *Links {
	return &Links{tls: config, links: make(map[string]*rpc.Client)}
}

// Call calls a method of the peer at address. An error does not mean that the
// call had no effect, unless it is an rpc.ServerError.
func (l *Links) Call(ctx context.Context, address, method string, args, reply any) error {
	c, err := l.link(ctx, address)
	if err != nil {
		return err
	}
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = fmt.Errorf("%s at %s: %w", method, address, ctx.Err())
	}
	var refused rpc.ServerError
	if err != nil && !errors.As(err, &refused) {
		l.drop(address, c)
	}
	return err
}

// Close drops all connections.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, c := range l.links {
		_ = c.Close()
		delete(l.links, address)
	}
}

func (l *Links) link(ctx context.Context, address string) (*rpc.Client, error) {
	l.mu.Lock()
	c, ok := l.links[address]
	l.mu.Unlock()
	if ok {
		return c, nil
	}
	conn, err := l.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", address, err)
	}
	return l.keep(address, rpc.NewClient(conn)), nil
}

func (l *Links) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if l.tls == nil {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
	d := tls.Dialer{Config: l.tls}
	return d.DialContext(ctx, "tcp", address)
}

// keep stores a new connection, or closes it if another call was faster.
func (l *Links) keep(address string, c *rpc.Client) *rpc.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first, ok := l.links[address]; ok {
		_ = c.Close()
		return first
	}
	l.links[address] = c
	return c
}

func (l *Links) drop(address string, c *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[address] == c {
		delete(l.links, address)
	}
	_ = c.Close()
}
