// Package peer implements calls between the system's own processes over net/rpc.
//
// A [Server] serves the services of several packages on one listener. [Client] keeps
// one connection to each address. Every call has a deadline. A connection on
// which a call received no answer is retired: the next call dials a new one, because a
// device between the two ends may have lost its state of the connection. Other calls in
// progress on a retired connection may still end.
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
	"sync/atomic"
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
	// retiredSilence is after how long without received bytes a retired connection is closed, so
	// that its calls fail earlier than at their own deadlines. It stays open if the peer answers on
	// a newer connection: then it may be holding the calls.
	retiredSilence = 500 * time.Millisecond
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

	// mu guards the fields below, and the calls and the retired state of connections.
	mu    sync.Mutex
	conns map[string]*connection // by address
	// retired holds the connections that are used only by the calls in progress on them.
	retired map[*connection]struct{}
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
	return &Client{dial: dial, conns: make(map[string]*connection), retired: make(map[*connection]struct{})}
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
// still have taken effect. After a call that fails without an answer the connection is not
// used for further calls, unless the caller cancelled ctx.
func (cl *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	return cl.call(ctx, address, method, args, reply, callTimeout)
}

// CallReceiving is like Call for an answer that may be large: it also fails once nothing has been
// received from the peer for the time silence. Its client should be used for no other calls, whose bytes
// would count too. The text of its error states how much was received.
func (cl *Client) CallReceiving(ctx context.Context, address, method string, args, reply any, silence time.Duration) error {
	return cl.call(ctx, address, method, args, reply, silence)
}

func (cl *Client) call(ctx context.Context, address, method string, args, reply any, silence time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := cl.connect(ctx, address, silence)
	if err != nil {
		return err
	}
	defer cl.release(c)
	done := make(chan *rpc.Call, 1)
	// The answer is decoded into a separate value, because one that arrives after
	// Call has returned must not modify reply.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	sentAt, before := time.Now(), c.received.bytes.Load()
	c.send(ctx, method, args, answer.Interface(), done)
	err = c.wait(ctx, done, silence)
	var serverErr rpc.ServerError
	switch {
	case err == nil:
		reflect.ValueOf(reply).Elem().Set(answer.Elem())
		return nil
	case errors.As(err, &serverErr):
		return err
	case !errors.Is(err, context.Canceled):
		cl.retire(address, c)
	}
	return fmt.Errorf("%s at %s: %d bytes received in %s: %w", method, address, c.received.bytes.Load()-before, time.Since(sentAt).Round(time.Millisecond), err)
}

// wait waits for the end of a call that was just sent, until ctx ends or nothing has been received
// for the time silence.
func (c *connection) wait(ctx context.Context, done <-chan *rpc.Call, silence time.Duration) error {
	silent := time.NewTimer(silence)
	defer silent.Stop()
	for {
		select {
		case call := <-done:
			return call.Error
		case <-ctx.Done():
			return ctx.Err()
		case <-silent.C:
			remaining := silence - c.received.silence()
			if remaining <= 0 {
				return context.DeadlineExceeded
			}
			silent.Reset(remaining)
		}
	}
}

// connection is an RPC client on one connection to a peer.
type connection struct {
	*rpc.Client
	received *receiveTimer
	// calls is how many calls use the connection.
	calls int
	// sendSlot is a semaphore for one writer. A peer that does not read blocks the
	// writer, and the mutex of net/rpc would block all other calls beyond their
	// deadlines.
	sendSlot chan struct{}
}

func (cl *Client) newConnection(conn net.Conn) *connection {
	received := &receiveTimer{Conn: conn, opened: time.Now()}
	codec := clientCodec{newCodec(received, cl.space, cl.onNoSpace), func() { received.failed.Store(true) }}
	return &connection{Client: rpc.NewClientWithCodec(codec), received: received, sendSlot: make(chan struct{}, 1)}
}

// receiveTimer is a connection that records how many bytes were received and when. failed is set once a
// response could not be read, because the connection has ended or for another reason.
type receiveTimer struct {
	net.Conn
	opened time.Time
	// last is the time of the last received bytes since opened.
	last   atomic.Int64
	bytes  atomic.Int64
	failed atomic.Bool
}

// Read reads and records what was received.
func (r *receiveTimer) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n > 0 {
		r.bytes.Add(int64(n))
		r.last.Store(int64(time.Since(r.opened)))
	}
	return n, err
}

// silence returns for how long nothing was received.
func (r *receiveTimer) silence() time.Duration {
	return time.Since(r.opened) - time.Duration(r.last.Load())
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
	for c := range cl.retired {
		cl.closeRetired(c)
	}
}

// connect returns a connection to address for one call, which must release it. A new one is dialled
// within timeout.
func (cl *Client) connect(ctx context.Context, address string, timeout time.Duration) (*connection, error) {
	if c, ok := cl.existing(address); ok {
		return c, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, min(dialTimeout, timeout))
	defer cancel()
	conn, err := cl.dial(dialCtx, address)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", address, err)
	}
	return cl.store(address, cl.newConnection(conn)), nil
}

// existing returns the open connection to address, false if there is none that can be read from.
func (cl *Client) existing(address string) (*connection, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	c, ok := cl.conns[address]
	if !ok {
		return nil, false
	}
	if c.received.failed.Load() {
		delete(cl.conns, address)
		_ = c.Close()
		return nil, false
	}
	c.calls++
	return c, true
}

// store stores a new connection. If another call stored one first, store closes the new
// one and returns the existing one.
func (cl *Client) store(address string, c *connection) *connection {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if existing, ok := cl.conns[address]; ok {
		_ = c.Close()
		c = existing
	}
	cl.conns[address] = c
	c.calls++
	return c
}

// release ends the use of a connection by a call.
func (cl *Client) release(c *connection) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	c.calls--
	if _, ok := cl.retired[c]; ok && c.calls == 0 {
		cl.closeRetired(c)
	}
}

// retire makes further calls use another connection. The calls in progress may end unless the
// connection is silent for retiredSilence.
func (cl *Client) retire(address string, c *connection) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.conns[address] != c {
		return // Another call retired it, or the client was closed.
	}
	delete(cl.conns, address)
	cl.retired[c] = struct{}{}
	time.AfterFunc(retiredSilence, func() { cl.closeSilent(address, c) })
}

// closeSilent closes a retired connection if it has been silent for retiredSilence and the peer has not
// answered on a newer one. If it has not been silent for so long, it checks again later.
func (cl *Client) closeSilent(address string, c *connection) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if _, ok := cl.retired[c]; !ok {
		return
	}
	if remaining := retiredSilence - c.received.silence(); remaining > 0 {
		time.AfterFunc(remaining, func() { cl.closeSilent(address, c) })
		return
	}
	if newer, ok := cl.conns[address]; ok && newer.received.bytes.Load() > 0 {
		return // The calls in progress end by themselves.
	}
	cl.closeRetired(c)
}

// closeRetired closes a retired connection. The caller must hold mu.
func (cl *Client) closeRetired(c *connection) {
	delete(cl.retired, c)
	_ = c.Close()
}
