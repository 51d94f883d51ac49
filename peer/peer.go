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
	"reflect"
	"sync"
	"time"

	"toucanfall/internal/guard"
)

// Bounds of links.
const (
	dialTimeout = time.Second
	// callTimeout bounds a call whose context has no earlier deadline.
	callTimeout = 5 * time.Second
	// idleTimeout is how long a server keeps a connection on which nothing
	// comes in. Heartbeats come every half a second on one that is alive.
	idleTimeout = 15 * time.Second
	// writeTimeout bounds a write to a peer that does not read.
	writeTimeout = 5 * time.Second
)

// Server offers services to peers.
type Server struct {
	rpc *rpc.Server
	// panicked is told of methods that panicked.
	panicked func(method string, p *guard.Panic)

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server without services. A method that panics ends its call alone, and
// is told to panicked.
func NewServer(panicked func(method string, p *guard.Panic)) *Server {
	return &Server{rpc: rpc.NewServer(), panicked: panicked, conns: make(map[net.Conn]struct{})}
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
				s.ServeConn(conn)
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

// bounded is a connection on which neither a read nor a write lasts for ever.
type bounded struct{ net.Conn }

// Read reads within the idle timeout.
func (c bounded) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write writes within the write timeout.
func (c bounded) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Dial connects to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Links calls peers by address.
type Client struct {
	dial DialFunc

	mu    sync.Mutex
	links map[string]*connection
}

// NewLinks returns links over TCP without connections. With a config they use
// mutual TLS.
func NewClient(config *tls.Config) *Client {
	d := &net.Dialer{}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
	if config == nil {
		return NewClientWithDial(dial)
	}
	return NewClientWithDial(DialTLS(dial, config))
}

// DialTLS returns a dial function that makes the connections of dial secure.
// The peer must prove that it is the host that was dialled.
func DialTLS(dial DialFunc, config *tls.Config) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			_ = raw.Close()
			return nil, err
		}
		own := config.Clone()
		if own.ServerName == "" {
			own.ServerName = host
		}
		conn := tls.Client(raw, own)
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		return conn, nil
	}
}

// NewLinksOver returns links over the connections that dial makes.
func NewClientWithDial(dial DialFunc) *Client {
	return &Client{dial: dial, links: make(map[string]*connection)}
}

// Call calls a method of the peer at address. An error does not mean that the
// call had no effect, unless it is an rpc.ServerError. A call without an answer
// drops the connection; one that the caller gave up does not.
func (l *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := l.link(ctx, address)
	if err != nil {
		return err
	}
	done := make(chan *rpc.Call, 1)
	// An answer that comes after the call was given up must not change what the
	// caller has by then, so it is decoded into a value of its own.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	c.send(ctx, method, args, answer.Interface(), done)
	select {
	case call := <-done:
		err = call.Error
		if err == nil {
			reflect.ValueOf(reply).Elem().Set(answer.Elem())
		}
	case <-ctx.Done():
		err = fmt.Errorf("%s at %s: %w", method, address, ctx.Err())
	}
	var refused rpc.ServerError
	if err != nil && !errors.As(err, &refused) && !errors.Is(err, context.Canceled) {
		l.drop(address, c)
	}
	return err
}

// connection is one connection to a peer.
type connection struct {
	*rpc.Client
	// sending holds a token while a call is written. A peer that reads nothing
	// holds a writer up, and the mutex of net/rpc would hold up all others
	// beyond their deadlines.
	sending chan struct{}
}

func newConnection(conn net.Conn) *connection {
	return &connection{Client: rpc.NewClientWithCodec(caller{newCodec(conn)}), sending: make(chan struct{}, 1)}
}

// send writes a call in the background, unless ctx ends before its turn.
func (c *connection) send(ctx context.Context, method string, args, reply any, done chan *rpc.Call) {
	go func() {
		select {
		case c.sending <- struct{}{}:
			c.Go(method, args, reply, done)
			<-c.sending
		case <-ctx.Done():
		}
	}()
}

// Close drops all connections.
func (l *Client) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, c := range l.links {
		_ = c.Close()
		delete(l.links, address)
	}
}

func (l *Client) link(ctx context.Context, address string) (*connection, error) {
	l.mu.Lock()
	c, ok := l.links[address]
	l.mu.Unlock()
	if ok {
		return c, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.dial(dialCtx, address)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", address, err)
	}
	return l.keep(address, newConnection(conn)), nil
}

// keep stores a new connection, or closes it if another call was faster.
func (l *Client) keep(address string, c *connection) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first, ok := l.links[address]; ok {
		_ = c.Close()
		return first
	}
	l.links[address] = c
	return c
}

func (l *Client) drop(address string, c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[address] == c {
		delete(l.links, address)
	}
	_ = c.Close()
}
