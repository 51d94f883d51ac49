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
const maxMessage = 16 << 20

var errTooLong = errors.New("the message of the peer is too long")

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
	conn = bounded{conn}
	c := &codec{conn: conn, in: allowance.New(conn, errTooLong), out: bufio.NewWriter(conn)}
	c.dec, c.enc = gob.NewDecoder(bufio.NewReader(c.in)), gob.NewEncoder(c.out)
	return c
}

// readHead reads the head of the next message.
func (c *codec) readHead(head any) error {
	c.in.SetLimit(maxMessage)
	return c.dec.Decode(head)
}

// write writes a message. After an error nothing can be read on the connection any more.
func (c *codec) write(head, body any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := errors.Join(c.enc.Encode(head), c.enc.Encode(body))
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
type caller struct{ *codec }

// WriteRequest writes a call.
func (c caller) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// ReadResponseHeader reads the head of an answer.
func (c caller) ReadResponseHeader(r *rpc.Response) error { return c.readHead(r) }

// ReadResponseBody reads the body of an answer.
func (c caller) ReadResponseBody(body any) error { return c.dec.Decode(body) }

// exchange is the codec of one call on the side that answers.
type exchange struct {
	*codec
	call rpc.Request
	// read is told once whether another call can be read.
	read chan<- error
	once sync.Once
}

func (e *exchange) next(err error) {
	e.once.Do(func() { e.read <- err })
}

// ReadRequestHeader reads the head of the call.
func (e *exchange) ReadRequestHeader(r *rpc.Request) error {
	err := e.readHead(r)
	e.call = *r
	if err != nil {
		e.next(err)
	}
	return err
}

// ReadRequestBody reads the arguments of the call. If they are odd the call is answered with
// the error; if the connection is lost with them, the next head cannot be read either.
func (e *exchange) ReadRequestBody(body any) error {
	err := e.dec.Decode(body)
	e.next(nil)
	return err
}

// WriteResponse writes the answer.
func (e *exchange) WriteResponse(r *rpc.Response, body any) error { return e.write(r, body) }

// ServeConn answers the calls that come on a connection, side by side, until no other can be
// read.
func (s *Server) ServeConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	c, read := newCodec(conn), make(chan error)
	var calls sync.WaitGroup
	for more := true; more; more = <-read == nil {
		calls.Go(func() { s.answer(&exchange{codec: c, read: read}) })
	}
	calls.Wait()
}

// answer answers one call. A panic of its method is told, and answered with an error.
func (s *Server) answer(e *exchange) {
	err := guard.Run(func() error { return s.rpc.ServeRequest(e) })
	var p *guard.Panic
	if !errors.As(err, &p) {
		return // Any other error was answered, or ends the connection.
	}
	e.next(nil)
	s.panicked(e.call.ServiceMethod, p)
	r := rpc.Response{ServiceMethod: e.call.ServiceMethod, Seq: e.call.Seq, Error: p.Error()}
	_ = e.write(&r, struct{}{}) // The connection is closed if it cannot be written.
}
