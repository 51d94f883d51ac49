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

// maxMessage bounds a message between two peers, in bytes: a directory of 1,400 upstreams
// takes some 200 KB.
const maxMessageSize = 16 << 20

var errMessageTooLong = errors.New("the message of the peer is too long")

// codec carries messages of net/rpc as gob does, each of at most maxMessage.
type codec struct {
	conn net.Conn
	// in allows as much as one message may have. What is read ahead counts for the message
	// before.
	in  *allowance.Reader
	dec *gob.Decoder

	mu  sync.Mutex
	out *bufio.Writer
	enc *gob.Encoder
}

func newCodec(conn net.Conn) *codec {
	conn = timeoutConn{conn}
	c := &codec{conn: conn, in: allowance.New(conn, errMessageTooLong), out: bufio.NewWriter(conn)}
	c.dec, c.enc = gob.NewDecoder(bufio.NewReader(c.in)), gob.NewEncoder(c.out)
	return c
}

// readHead reads the head of the next message.
func (c *codec) readHeader(header any) error {
	c.in.Allow(maxMessageSize)
	return c.dec.Decode(header)
}

// write writes a message. After an error nothing can be read on the connection any more.
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

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

// caller is the codec of the side that calls.
type clientCodec struct{ *codec }

// WriteRequest writes a call.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// ReadResponseHeader reads the head of an answer.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// ReadResponseBody reads the body of an answer.
func (c clientCodec) ReadResponseBody(body any) error { return c.dec.Decode(body) }

// exchange is the codec of one call on the side that answers.
type serverCodec struct {
	*codec
	request rpc.Request
	// read is told once whether another call can be read.
	headerRead chan<- error
	once       sync.Once
}

func (e *serverCodec) reportRead(err error) {
	e.once.Do(func() { e.headerRead <- err })
}

// ReadRequestHeader reads the head of the call.
func (e *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	err := e.readHeader(r)
	e.request = *r
	if err != nil {
		e.reportRead(err)
	}
	return err
}

// ReadRequestBody reads the arguments of the call. If they are odd the call is answered with
// the error; if the connection is lost with them, the next head cannot be read either.
func (e *serverCodec) ReadRequestBody(body any) error {
	err := e.dec.Decode(body)
	e.reportRead(nil)
	return err
}

// WriteResponse writes the answer.
func (e *serverCodec) WriteResponse(r *rpc.Response, body any) error { return e.write(r, body) }

// ServeConn answers the calls that come on a connection, side by side, until no other can be
// read.
func (s *Server) ServeConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	c, read := newCodec(conn), make(chan error)
	var calls sync.WaitGroup
	for more := true; more; more = <-read == nil {
		calls.Go(func() { s.serveRequest(&serverCodec{codec: c, headerRead: read}) })
	}
	calls.Wait()
}

// answer answers one call. A panic of its method is told, and answered with an error.
func (s *Server) serveRequest(e *serverCodec) {
	err := guard.Run(func() error { return s.rpc.ServeRequest(e) })
	var p *guard.Panic
	if !errors.As(err, &p) {
		return // Any other error was answered, or ends the connection.
	}
	e.reportRead(nil)
	s.onPanic(e.request.ServiceMethod, p)
	r := rpc.Response{ServiceMethod: e.request.ServiceMethod, Seq: e.request.Seq, Error: p.Error()}
	_ = e.write(&r, struct{}{}) // The connection is closed if it cannot be written.
}
