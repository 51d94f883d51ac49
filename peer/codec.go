package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"

	"toucanfall/ingress"
	"toucanfall/internal/allowance"
	"toucanfall/internal/guard"
)

// maxMessageSize is the maximum size of a message between two peers, in bytes. A directory of
// 1,400 upstreams takes about 200 KB.
const maxMessageSize = 16 << 20

var errMessageTooLong = errors.New("the message of the peer is too long")

// codec encodes messages of net/rpc with gob, and decodes messages of at most maxMessageSize.
type codec struct {
	conn net.Conn
	// in limits the bytes read for one message. Bytes read ahead into the buffer count toward
	// the previous message.
	in  *allowance.Reader
	dec *gob.Decoder
	// charged reserves space for messages.
	charged *chargedReader

	mu  sync.Mutex // guards out and enc
	out *bufio.Writer
	enc *gob.Encoder
}

// chargeStep is in what steps space is reserved for messages. Most messages are shorter, and are
// covered by what each connection may hold.
const chargeStep = 64 << 10

// chargedReader reserves twice the space of the bytes of a message before they are read: for the
// message and for what is decoded from it.
type chargedReader struct {
	io.Reader
	space     *ingress.Reservation
	onNoSpace func()
	// free is how many bytes may be read before more space has to be reserved.
	free int
}

// begin returns the space of the previous message. It is called before the next one, and by a client also
// after each, as a connection may stay unused for long.
func (r *chargedReader) begin() {
	r.space.Release()
	r.free = chargeStep
}

// Read reads within the reserved space, which it extends when it is used up.
func (r *chargedReader) Read(b []byte) (int, error) {
	if r.free <= 0 {
		if !r.space.Grow(2 * chargeStep) {
			r.onNoSpace()
			return 0, errNoSpace
		}
		r.free = chargeStep
	}
	n, err := r.Reader.Read(b[:min(len(b), r.free)])
	r.free -= n
	return n, err
}

var errNoSpace = errors.New("the memory for messages is used up")

// newCodec returns a codec whose messages take their space from a budget.
func newCodec(conn net.Conn, space *ingress.Bytes, onNoSpace func()) *codec {
	conn = timeoutConn{conn}
	charged := &chargedReader{Reader: conn, space: space.Reservation(), onNoSpace: onNoSpace, free: chargeStep}
	c := &codec{conn: conn, in: allowance.New(charged, errMessageTooLong), charged: charged, out: bufio.NewWriter(conn)}
	c.dec, c.enc = gob.NewDecoder(bufio.NewReader(c.in)), gob.NewEncoder(c.out)
	return c
}

// readHeader reads the header of the next message and sets the limit for header and body.
// Reads beyond the limit fail with errMessageTooLong.
func (c *codec) readHeader(header any) error {
	c.in.SetLimit(maxMessageSize)
	c.charged.begin()
	return c.dec.Decode(header)
}

// write writes a message. It closes the connection on an error.
func (c *codec) write(header, body any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := errors.Join(c.enc.Encode(header), c.enc.Encode(body))
	if err == nil {
		err = c.out.Flush()
	}
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

// Close implements rpc.ClientCodec and rpc.ServerCodec.
func (c *codec) Close() error { return c.conn.Close() }

// clientCodec implements rpc.ClientCodec. It calls onReadError if a response cannot be read, after which
// net/rpc reads no others.
type clientCodec struct {
	*codec
	onReadError func()
}

// WriteRequest writes a request.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// ReadResponseHeader reads the header of a response.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader(r)
	if err != nil {
		c.charged.begin()
		c.onReadError()
	}
	return err
}

// ReadResponseBody reads the body of a response.
func (c clientCodec) ReadResponseBody(body any) error {
	defer c.charged.begin()
	err := c.dec.Decode(body)
	if err != nil {
		c.onReadError()
	}
	return err
}

// serverCodec implements rpc.ServerCodec for a single request.
type serverCodec struct {
	*codec
	request rpc.Request
	// headerRead receives one value when the next request can be read: nil, or the error of
	// the header, after which no request can be read.
	headerRead chan<- error
	once       sync.Once
}

func (e *serverCodec) reportRead(err error) {
	e.once.Do(func() { e.headerRead <- err })
}

// ReadRequestHeader reads the header of the request.
func (e *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	err := e.readHeader(r)
	e.request = *r
	if err != nil {
		e.reportRead(err)
	}
	return err
}

// ReadRequestBody reads the arguments of the request. If they are malformed, net/rpc responds
// with the error; if the connection is lost, reading the next header fails too.
func (e *serverCodec) ReadRequestBody(body any) error {
	err := e.dec.Decode(body)
	if a, ok := e.conn.(timeoutConn).Conn.(activity); ok {
		a.End()
	}
	e.reportRead(nil)
	return err
}

// WriteResponse writes the response.
func (e *serverCodec) WriteResponse(r *rpc.Response, body any) error { return e.write(r, body) }

// activity is implemented by connections that record when they were last used, as those of package
// ingress do: when there are too many, the one that was not used for longest is closed.
type activity interface{ End() }

// ServeConn serves the requests on a connection concurrently until no further request can be
// read. It waits for the running ones and closes the connection.
func (s *Server) ServeConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	c, read := newCodec(conn, s.space, s.onNoSpace), make(chan error)
	defer c.charged.space.Release()
	var calls sync.WaitGroup
	for more := true; more; more = <-read == nil {
		calls.Go(func() { s.serveRequest(&serverCodec{codec: c, headerRead: read}) })
	}
	calls.Wait()
}

// serveRequest reads and serves one request. A panic of its method is reported to onPanic, and
// the response is an error.
func (s *Server) serveRequest(e *serverCodec) {
	err := guard.Run(func() error { return s.rpc.ServeRequest(e) })
	var p *guard.Panic
	if !errors.As(err, &p) {
		return // Any other error was sent as the response, or ends the connection.
	}
	e.reportRead(nil)
	s.onPanic(e.request.ServiceMethod, p)
	r := rpc.Response{ServiceMethod: e.request.ServiceMethod, Seq: e.request.Seq, Error: p.Error()}
	_ = e.write(&r, struct{}{}) // An error closes the connection.
}
