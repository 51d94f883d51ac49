// Package peer implements calls between the system's own processes over net/rpc.
//
// A [Server] serves the services of several packages on one listener. [Client] keeps
// one connection to each address. Every call has a deadline. A connection on
// which a call received no answer is closed and dialled again for the next call,
// because a device between the two ends may have lost its state of the connection.
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

	"toucanfall/ingress"
	"toucanfall/internal/accept"
	"toucanfall/internal/guard"
)

// Timeouts of connections and calls.
const (
	dialTimeout = time.Second
	// callTimeout bounds a call whose context has no earlier deadline.
	callTimeout = 5 * time.Second
	// idleTimeout bounds a read from a connection. A connection in use carries a
	// heartbeat every 500 ms.
	idleTimeout = 15 * time.Second
	// writeTimeout bounds a write to a connection whose peer does not read.
	writeTimeout = 5 * time.Second
)

// Server serves calls of peers. It is safe for concurrent use.
type Server struct {
	rpc *rpc.Server
	// onPanic is called for each method that panicked.
	onPanic func(method string, p *guard.Panic)
	// space and onNoSpace are as in LimitMessages.
	space     *ingress.Bytes
	onNoSpace func()

	mu     sync.Mutex // guards conns and closed
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server without services. A method that panics fails only its own call,
// and is reported to onPanic.
func NewServer(onPanic func(method string, p *guard.Panic)) *Server {
	return &Server{rpc: rpc.NewServer(), onPanic: onPanic, conns: make(map[net.Conn]struct{})}
}

// LimitMessages sets the budget for the messages that are being read, on all connections together. A
// connection whose message has no space is closed, and onNoSpace is called. It must be called before
// Serve.
func (s *Server) LimitMessages(space *ingress.Bytes, onNoSpace func()) {
	s.space, s.onNoSpace = space, onNoSpace
}

// Register adds a service under a name. Its methods must have the form that net/rpc
// requires; Register fails if none has, or if the name is taken.
func (s *Server) Register(name string, service any) error {
	return s.rpc.RegisterName(name, service)
}

// Serve accepts connections and serves each in a goroutine of its own. It returns nil when
// the listener is closed, and an error if the listener can never accept again. It waits out
// errors that may be temporary.
func (s *Server) Serve(l net.Listener) error {
	l = accept.New(l, nil)
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

// Close closes all connections, and those that are accepted later.
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

// timeoutConn is a connection with a timeout for each read and each write.
type timeoutConn struct{ net.Conn }

// Read reads with idleTimeout.
func (c timeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write writes with writeTimeout.
func (c timeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Client calls peers by address, over one connection per address that is opened on
// demand. It is safe for concurrent use.
type Client struct {
	dial DialFunc
	// space and onNoSpace are as in LimitMessages.
	space     *ingress.Bytes
	onNoSpace func()

	mu    sync.Mutex             // guards conns
	conns map[string]*connection // by address
}

// NewClient returns a client over TCP, or over mutual TLS if config is not nil. It opens
// no connection.
func NewClient(config *tls.Config) *Client {
	if config == nil {
		return NewClientWithDial(DialTCP)
	}
	return NewClientWithDial(DialTLS(DialTCP, config))
}

// DialTCP opens a TCP connection.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// DialTLS returns a dial function that performs a TLS handshake on the connections of
// dial. The peer's certificate must be valid for the dialled host, or for
// config.ServerName if that is set.
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
		clientConfig := config.Clone()
		if clientConfig.ServerName == "" {
			clientConfig.ServerName = host
		}
		conn := tls.Client(raw, clientConfig)
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		return conn, nil
	}
}

// NewClientWithDial returns a client over connections that dial opens.
func NewClientWithDial(dial DialFunc) *Client {
	return &Client{dial: dial, conns: make(map[string]*connection)}
}

// LimitMessages sets the budget for the messages that are being read, on all connections together. A
// connection whose message has no space is closed, and onNoSpace is called. It must be called before the
// first call.
func (cl *Client) LimitMessages(space *ingress.Bytes, onNoSpace func()) {
	cl.space, cl.onNoSpace = space, onNoSpace
}

// Call calls a method of the peer at address and waits for the answer, at most until
// ctx ends or callTimeout has passed. reply must be a non-nil pointer; it is set only
// if Call returns nil. After an error other than an rpc.ServerError the method may
// still have taken effect. A call that fails without an answer closes the connection,
// unless the caller cancelled ctx.
func (cl *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := cl.connect(ctx, address)
	if err != nil {
		return err
	}
	done := make(chan *rpc.Call, 1)
	// The answer is decoded into a separate value, because one that arrives after
	// Call has returned must not modify reply.
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
	var serverErr rpc.ServerError
	if err != nil && !errors.As(err, &serverErr) && !errors.Is(err, context.Canceled) {
		cl.remove(address, c)
	}
	return err
}

// connection is an RPC client on one connection to a peer.
type connection struct {
	*rpc.Client
	// sendSlot is a semaphore for one writer. A peer that does not read blocks the
	// writer, and the mutex of net/rpc would block all other calls beyond their
	// deadlines.
	sendSlot chan struct{}
}

func (cl *Client) newConnection(conn net.Conn) *connection {
	return &connection{Client: rpc.NewClientWithCodec(clientCodec{newCodec(conn, cl.space, cl.onNoSpace)}), sendSlot: make(chan struct{}, 1)}
}

// send starts a call in the background. It is not written if ctx ends before sendSlot
// is free.
func (c *connection) send(ctx context.Context, method string, args, reply any, done chan *rpc.Call) {
	go func() {
		select {
		case c.sendSlot <- struct{}{}:
			c.Go(method, args, reply, done)
			<-c.sendSlot
		case <-ctx.Done():
		}
	}()
}

// Close closes all connections. A later call opens a new one.
func (cl *Client) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for address, c := range cl.conns {
		_ = c.Close()
		delete(cl.conns, address)
	}
}

func (cl *Client) connect(ctx context.Context, address string) (*connection, error) {
	cl.mu.Lock()
	c, ok := cl.conns[address]
	cl.mu.Unlock()
	if ok {
		return c, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := cl.dial(dialCtx, address)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", address, err)
	}
	return cl.store(address, cl.newConnection(conn)), nil
}

// store stores a new connection. If another call stored one first, store closes the new
// one and returns the existing one.
func (cl *Client) store(address string, c *connection) *connection {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if existing, ok := cl.conns[address]; ok {
		_ = c.Close()
		return existing
	}
	cl.conns[address] = c
	return c
}

func (cl *Client) remove(address string, c *connection) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.conns[address] == c {
		delete(cl.conns, address)
	}
	_ = c.Close()
}
