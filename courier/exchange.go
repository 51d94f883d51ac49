package courier

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// ErrNotSent marks failures before any byte of the request was sent.
var ErrNotSent = errors.New("the request was not sent")

// ErrWithheld marks requests that were not sent because [Request.Check] said so.
var ErrWithheld = errors.New("the request was withheld")

// maxForeign is how many answers to other requests are read past before the
// connection is given up.
const maxForeign = 2

// Bounds of what is read of an upstream in trouble before its connection is given up.
const (
	// maxHead is the most bytes of a head, informational ones before it included.
	maxHead = 64 << 10
	// maxInformational is the most informational heads before an answer.
	maxInformational = 16
	// maxForeignBody is the most bytes of an answer to another request.
	maxForeignBody = 1 << 20
)

// sendGrace lets the goroutine that wrote a request report so, after the answer
// has come already.
const sendGrace = 5 * time.Millisecond

// Request is one request to an upstream, complete with its framing.
type Request struct {
	Method string
	// Head is the request line and the headers with the empty line after them.
	Head []byte
	Body []byte
	// Own reports whether the headers are those of an answer to this request.
	IsAnswer func(status int, h http.Header) bool
	// Check, if it is set, is called once there is a connection, right before the
	// first byte is written. On an error nothing is.
	Check func() error
}

// Answer is the answer to a request. Its body must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it is not known.
	Length int64
	Body   io.ReadCloser
}

// Do sends the request once and returns the answer's head. Once ctx ends the
// connection is closed, also while the body is read. The error is ErrNotSent or
// ErrWithheld if nothing can have reached the upstream.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if r.Check != nil {
		if err := r.Check(); err != nil {
			p.put(c)
			return nil, fmt.Errorf("%w: %w", ErrWithheld, err)
		}
	}
	x := &exchange{pool: p, conn: c, sent: make(chan error, 1)}
	x.release = context.AfterFunc(ctx, func() { _ = c.Close() })
	go x.send(r)
	a, err := x.receive(r)
	if err != nil {
		x.drop()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, err
	}
	return a, nil
}

// exchange is a request and its answer on one connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	release func() bool
	sent    chan error
	once    sync.Once
}

func (x *exchange) send(r *Request) {
	_, err := x.conn.Write(slices.Concat(r.Head, r.Body))
	x.sent <- err
}

// receive reads the head of the answer, past answers to other requests.
func (x *exchange) receive(r *Request) (*Answer, error) {
	req := &http.Request{Method: r.Method}
	for range maxForeign + 1 {
		resp, err := readHead(x.conn, req)
		if err != nil {
			return nil, fmt.Errorf("no answer: %w", err)
		}
		if r.IsAnswer(resp.StatusCode, resp.Header) {
			if x.pool.heard != nil {
				x.pool.heard(resp.StatusCode, resp.Header)
			}
			return x.answer(resp), nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBody+1))
		if err != nil {
			return nil, fmt.Errorf("broken answer to another request: %w", err)
		}
		if n > maxForeignBody {
			return nil, fmt.Errorf("an answer to another request of more than %d bytes", maxForeignBody)
		}
	}
	return nil, errors.New("the answer belongs to another request")
}

// readHead reads one answer's head past informational ones.
func readHead(c *conn, req *http.Request) (*http.Response, error) {
	c.in.SetLimit(maxHead)
	defer c.in.RemoveLimit()
	for range maxInformational {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, unquoted(err)
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
	return nil, fmt.Errorf("more than %d informational answers", maxInformational)
}

// errMalformed stands for what net/http says of a head that it cannot read: it quotes the head,
// which may be part of an answer to another caller.
var errMalformed = errors.New("the head of the answer is malformed")

// unquoted returns errors of the connection as they are, and errMalformed for others.
func unquoted(err error) error {
	var ofNetwork net.Error
	if errors.As(err, &ofNetwork) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) || errors.Is(err, errTooLong) {
		return err
	}
	return errMalformed
}

func (x *exchange) answer(resp *http.Response) *Answer {
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Body: &body{ReadCloser: resp.Body, x: x, resp: resp},
	}
}

// drop closes the connection.
func (x *exchange) drop() {
	x.once.Do(func() {
		x.release()
		_ = x.conn.Close()
	})
}

// finish gives the connection back if the answer was complete, the request was
// sent as a whole, and nothing came after the answer.
func (x *exchange) finish(resp *http.Response) {
	x.once.Do(func() {
		reusable := x.release() && !resp.Close && x.conn.br.Buffered() == 0 && x.sentWhole()
		if !reusable {
			_ = x.conn.Close()
			return
		}
		x.conn.keep(resp.Header, time.Now())
		x.pool.put(x.conn)
	})
}

// sentWhole reports whether the request has been written. An upstream may
// answer before it has read a long body; the rest of that body must not be
// followed by another request.
func (x *exchange) sentWhole() bool {
	select {
	case err := <-x.sent:
		return err == nil
	case <-time.After(sendGrace):
		return false
	}
}

// body is the body of an answer. Its connection is used again only if the body
// was read to its end.
type body struct {
	io.ReadCloser
	x     *exchange
	resp  *http.Response
	ended bool
}

// Read reads on and notes the end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}

// Close gives the connection back or drops it.
func (b *body) Close() error {
	if b.ended {
		b.x.finish(b.resp)
	} else {
		b.x.drop()
	}
	return nil
}

// Call is a request of the VM's own to a path of an upstream.
type Call struct {
	Path   string
	Header http.Header
	// Body is the JSON body of a POST; without one the call is a GET.
	Body []byte
	// Own reports whether the headers are those of an answer to such a call.
	IsAnswer func(h http.Header) bool
	// Check is like that of a [Request].
	Check func() error
}

// maxOwnAnswer bounds the answers to the VM's own requests.
const maxOwnAnswer = 1 << 20

// Call sends a request of the VM's own and returns the status and body of its answer.
func (p *Pool) Call(ctx context.Context, c Call) (int, []byte, error) {
	method := http.MethodGet
	if c.Body != nil {
		method = http.MethodPost
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, c.Path, p.address)
	_ = c.Header.Write(&head)
	if c.Body != nil {
		fmt.Fprintf(&head, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(c.Body))
	}
	head.WriteString("\r\n")
	r := &Request{Method: method, Head: head.Bytes(), Body: c.Body, IsAnswer: func(_ int, h http.Header) bool { return c.IsAnswer(h) }, Check: c.Check}
	a, err := p.Do(ctx, r)
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxOwnAnswer))
	return a.Status, b, err
}
