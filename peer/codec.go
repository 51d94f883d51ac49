package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"sync"

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

	mu  sync.Mutex // guards out and enc
	out *bufio.Writer
	enc *gob.Encoder
}

func newCodec(conn net.Conn) *codec {
	conn = timeoutConn{conn}
	c := &codec{conn: conn, in: allowance.New(conn, errMessageTooLong), out: bufio.NewWriter(conn)}
	c.dec, c.enc = gob.NewDecoder(bufio.NewReader(c.in)), gob.NewEncoder(c.out)
	return c
}

// readHeader reads the header of the next message and sets the limit for header and body.
// Reads beyond the limit fail with errMessageTooLong.
func (c *codec) readHeader(header any) error {
	c.in.SetLimit(maxMessageSize)
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

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *codec }

// WriteRequest writes a request.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// ReadResponseHeader reads the header of a response.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// ReadResponseBody reads the body of a response.
func (c clientCodec) ReadResponseBody(body any) error { return c.dec.Decode(body) }

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
	e.reportRead(nil)
	return err
}

// WriteResponse writes the response.
func (e *serverCodec) WriteResponse(r *rpc.Response, body any) error { return e.write(r, body) }

// ServeConn serves the requests on a connection concurrently until no further request can be
// read. It waits for the running ones and closes the connection.
func (s *Server) ServeConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	c, read := newCodec(conn), make(chan error)
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
