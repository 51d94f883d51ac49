package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"toucanfall/ingress"
	"toucanfall/internal/httpfield"
	"toucanfall/internal/httpstatus"
	"toucanfall/internal/tcp"
)

// ErrNotSent is the error of requests that failed before any byte of them was sent.
var ErrNotSent = errors.New("the request was not sent")

// ErrWithheld is the error of requests that were not sent because [Request.Check] failed.
var ErrWithheld = errors.New("the request was withheld")

// maxForeignAnswers is how many answers to other requests are skipped before the connection is
// closed.
const maxForeignAnswers = 2

// Limits on what is read from a faulty upstream before its connection is closed.
const (
	// maxHeadBytes is the most bytes of headers, those of preceding informational answers included.
	maxHeadBytes = 32 << 10
	// maxInformational is the most informational answers (status 1xx) before an answer.
	maxInformational = 16
	// maxForeignBodyBytes is the most bytes of the body of an answer to another request.
	maxForeignBodyBytes = 1 << 20
)

// sendGrace is how long to wait, once the answer has been received, for the goroutine that writes
// the request to report that it is done.
const sendGrace = 5 * time.Millisecond

// deliveryPoll is the pause between two questions whether the upstream's system has received the whole request.
const deliveryPoll = 5 * time.Millisecond

// Request is one request to an upstream, already encoded for HTTP/1.1.
type Request struct {
	Method string
	// Head is the request line and the headers, including the empty line after them.
	Head []byte
	Body []byte
	// IsAnswer reports whether an answer with this status and these headers answers this request. alone
	// is set if the connection has carried no other request. A connection on which an answer was
	// accepted only for that reason is not reused: a second copy could not be attributed either.
	IsAnswer func(status int, h http.Header, alone bool) bool
	// Fresh is set if the request must not be sent on a connection that has carried others.
	Fresh bool
	// Exclusive is set if a late second copy of the answer to another exclusive request could be taken
	// for the answer to this one. A late copy arrives in place of the next answer, so that the request is
	// only kept off connections whose last request was exclusive.
	Exclusive bool
	// Check, if not nil, is called once a connection is open, just before the first byte is
	// written. If it returns an error, nothing is written.
	Check func() error
}

// Answer is the answer to a request. Its body must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it is not known.
	Length int64
	// Framing is how the end of the body is marked.
	Framing Framing
	Body    io.ReadCloser
	// abort closes the connection.
	abort func()
	// rebind implements Rebind.
	rebind func(ctx context.Context)
}

// Rebind makes the connection close when ctx ends, and no longer when the context of the request does. It has no effect
// if that has ended before.
func (a *Answer) Rebind(ctx context.Context) { a.rebind(ctx) }

// Framing is how the end of an answer's body is marked (RFC 9112, section 6.3).
type Framing string

// The framings.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunked"
	// Unframed bodies end with the connection, so that a crash of the upstream may look like the
	// end of the answer.
	Unframed Framing = "connection"
)

// framingOf returns how the body of an answer is framed. An answer to HEAD has no body.
func framingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0 || resp.Request.Method == http.MethodHead:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	}
	return Unframed
}

// Do sends the request once and returns the answer as soon as its headers have been read. When ctx
// ends, the connection is closed, even while the body is being read. The error wraps ErrNotSent or
// ErrWithheld if nothing can have reached the upstream; after other errors the request may have run.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.connect(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if r.Check != nil {
		if err := r.Check(); err != nil {
			p.put(c)
			return nil, fmt.Errorf("%w: %w", ErrWithheld, err)
		}
	}
	x := &exchange{pool: p, conn: c, sendEnded: make(chan struct{}), alone: c.requests.Add(1) == 1}
	x.bind(ctx)
	go x.send(r)
	a, err := x.receive(r)
	if err != nil {
		x.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, err
	}
	return a, nil
}

func (p *Pool) connect(ctx context.Context, r *Request) (*conn, error) {
	if r.Fresh {
		return p.open(ctx)
	}
	return p.get(ctx, r.Exclusive)
}

// exchange is one request and its answer on one connection. stopCancel stops the closing of the
// connection by the request's context, and reports whether it had not started. alone is set if the
// connection has carried no other request, unattributed if the answer was accepted for that reason.
type exchange struct {
	alone        bool
	unattributed bool

	pool       *Pool
	conn       *conn
	stopCancel func() bool
	once       sync.Once

	// sendEnded is closed once send has returned; sendErr is its error, and is not read before.
	sendEnded chan struct{}
	sendErr   error
}

func (x *exchange) send(r *Request) {
	defer close(x.sendEnded)
	// Both parts are written by one call, without a copy of the body.
	parts := net.Buffers{r.Head}
	if len(r.Body) > 0 {
		parts = append(parts, r.Body)
	}
	_, x.sendErr = parts.WriteTo(x.conn.Conn)
}

// receive reads the headers of the answer, and skips at most maxForeignAnswers answers to other
// requests. It fails at one whose end cannot be found because it has no length.
func (x *exchange) receive(r *Request) (*Answer, error) {
	req := &http.Request{Method: r.Method}
	for range maxForeignAnswers + 1 {
		resp, err := readHead(x.conn, req)
		if err != nil {
			return nil, fmt.Errorf("no answer: %w", err)
		}
		attributed := r.IsAnswer(resp.StatusCode, resp.Header, false)
		if attributed || x.alone && r.IsAnswer(resp.StatusCode, resp.Header, true) {
			x.unattributed, x.conn.exclusive = !attributed, r.Exclusive
			if x.pool.onHead != nil {
				x.pool.onHead(resp.StatusCode, resp.Header)
			}
			return x.answer(resp), nil
		}
		if framingOf(resp) == Unframed {
			break
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBodyBytes+1))
		if err == nil {
			err = httpfield.CheckNames(resp.Trailer)
		}
		if err != nil {
			return nil, fmt.Errorf("broken answer to another request: %w", err)
		}
		if n > maxForeignBodyBytes {
			return nil, fmt.Errorf("an answer to another request of more than %d bytes", maxForeignBodyBytes)
		}
	}
	return nil, errors.New("the answer belongs to another request")
}

// readHead reads the headers of one answer, and skips informational answers. It fails at a status code or the name of a
// field that is invalid: the answer has no meaning, and its body could be read as another one.
func readHead(c *conn, req *http.Request) (*http.Response, error) {
	c.limit.SetLimit(maxHeadBytes)
	defer c.limit.RemoveLimit()
	for range maxInformational {
		read, _ := c.reader.Peek(c.reader.Buffered()) // Never more than is buffered.
		if err := c.head.begin(read); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, redactError(err)
		}
		if err := httpfield.CheckNames(resp.Header); err != nil {
			return nil, err
		}
		if httpstatus.ClassOf(resp.StatusCode) == httpstatus.Informational {
			continue
		}
		if err := httpstatus.CheckFinal(resp); err != nil {
			return nil, err
		}
		return resp, nil
	}
	return nil, fmt.Errorf("more than %d informational answers", maxInformational)
}

// errMalformed replaces errors of net/http about malformed headers: these quote the headers, which
// may be part of an answer to another caller.
var errMalformed = errors.New("the head of the answer is malformed")

// redactError returns errors of the connection unchanged, and errMalformed for all others.
func redactError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) || errors.Is(err, errHeadTooLong) {
		return err
	}
	return errMalformed
}

func (x *exchange) answer(resp *http.Response) *Answer {
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framing: framingOf(resp),
		Body: &body{ReadCloser: resp.Body, x: x, resp: resp}, abort: x.abort, rebind: x.bind,
	}
}

// bind makes the connection close when ctx ends, and no longer when the previous context does, unless that has ended.
func (x *exchange) bind(ctx context.Context) {
	if x.stopCancel == nil || x.stopCancel() {
		x.stopCancel = context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	}
}

// abort closes the connection. Only the first call of abort or finish has an effect.
func (x *exchange) abort() {
	x.once.Do(func() {
		x.stopCancel()
		_ = x.conn.Close()
	})
}

// finish returns the connection to the pool if the answer was complete and attributed, the request was
// written completely, and nothing was received after the answer. Otherwise it closes the connection.
func (x *exchange) finish(resp *http.Response) {
	x.once.Do(func() {
		reusable := x.stopCancel() && !resp.Close && !x.unattributed && x.conn.reader.Buffered() == 0 && x.requestWritten()
		if !reusable {
			_ = x.conn.Close()
			return
		}
		x.conn.setIdleUntil(resp.Header, time.Now())
		x.pool.put(x.conn)
	})
}

// requestWritten reports whether the request has been written completely. An upstream may answer
// before it has read a long body; no other request may follow the rest of that body.
func (x *exchange) requestWritten() bool {
	select {
	case <-x.sendEnded:
		return x.sendErr == nil
	case <-time.After(sendGrace):
		return false
	}
}

// awaitDelivery returns once the upstream's system has received the whole request, and fails if the connection fails
// before that. The request's context bounds the wait: at its end the connection is closed.
//
// The end of a connection is the end of an unframed answer only after this. The system reports a reset once, to whichever
// of the reader and the writer of the connection asks first, and the other one sees a regular end. An upstream may end its
// answer before it has read the request, and read on; one that resets the connection instead has broken off the exchange.
func (x *exchange) awaitDelivery() error {
	<-x.sendEnded
	if x.sendErr != nil {
		return x.sendErr
	}
	for {
		// Read before the error, so that a reset that discards the unacknowledged bytes is noticed.
		n, err := tcp.Unacknowledged(x.conn.Conn)
		if errors.Is(err, errors.ErrUnsupported) {
			return nil
		}
		if err == nil {
			err = tcp.TakeError(x.conn.Conn)
		}
		if err != nil || n == 0 {
			return err
		}
		time.Sleep(deliveryPoll)
	}
}

// body is the body of an answer. Its connection is reused only if the body was read to its end.
type body struct {
	io.ReadCloser
	x     *exchange
	resp  *http.Response
	ended bool
}

// Read reads from the body and records when its end was reached. The end is an error if the connection of an unframed
// body has failed, or if the name of a field of the trailer is invalid.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if framingOf(b.resp) == Unframed {
		if err := b.x.awaitDelivery(); err != nil {
			return n, fmt.Errorf("the connection failed before the request was delivered: %w", err)
		}
	}
	if err := httpfield.CheckNames(b.resp.Trailer); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}

// Close returns the connection to the pool if the body was read to its end, and closes it otherwise.
func (b *body) Close() error {
	if b.ended {
		b.x.finish(b.resp)
	} else {
		b.x.abort()
	}
	return nil
}

// Call is a request that the VM itself makes to an upstream.
type Call struct {
	Path   string
	Header http.Header
	// Body is the JSON body of a POST request. If it is nil, the request is a GET.
	Body []byte
	// IsAnswer reports whether an answer with these headers answers the call.
	IsAnswer func(h http.Header) bool
	// AnyIfAlone is set if any answer does on a connection that has carried no other request.
	AnyIfAlone bool
	// Exclusive and Check are as in [Request].
	Exclusive bool
	Check     func() error
	// Verify returns an error if the answer cannot be that to the call. The connection is then closed,
	// as its answers may be out of step with the requests.
	Verify func(status int, body []byte) error
}

// maxCallAnswerBytes is the most that is read of the body of an answer to a Call.
const maxCallAnswerBytes = 1 << 20

// readBody reads the whole body of an answer to a Call, within a reservation. It fails if the body is a
// document that ends with the connection before it is complete.
func (a *Answer) readBody(space *ingress.Reservation) ([]byte, error) {
	// The context of the request is the only bound of its time.
	b, err := ingress.ReadBody(ingress.Body{Reader: a.Body, Length: a.Length, Limit: maxCallAnswerBytes}, space)
	if err != nil {
		return nil, err
	}
	if a.Framing == Unframed && (IsJSON(a.Header) || len(b) > 0) && IsUnfinished(b) {
		return nil, errUnfinished
	}
	return b, nil
}

var errUnfinished = errors.New("the answer broke off: its document is unfinished")

// IsUnfinished reports whether more bytes could make b a JSON document.
func IsUnfinished(b []byte) bool {
	err := json.NewDecoder(bytes.NewReader(b)).Decode(new(json.RawMessage))
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// IsJSON reports whether the media type of an answer is application/json or has the suffix +json
// (RFC 6839).
func IsJSON(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && (kind == "application/json" || strings.HasSuffix(kind, "+json"))
}

// Call sends a request of the VM itself, and returns the status and the body of its answer. It fails if the
// body is longer than maxCallAnswerBytes, has no space in the budget, or was broken off. Errors are as in
// [Pool.Do], or those of reading the body and of [Call.Verify].
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
	r := &Request{Method: method, Head: head.Bytes(), Body: c.Body, Exclusive: c.Exclusive, IsAnswer: func(_ int, h http.Header, alone bool) bool { return c.IsAnswer(h) || alone && c.AnyIfAlone }, Check: c.Check}
	a, err := p.Do(ctx, r)
	if err != nil {
		return 0, nil, err
	}
	space := p.answers.Reservation()
	defer space.Release()
	b, err := a.readBody(space)
	if err == nil {
		err = c.Verify(a.Status, b)
	}
	if err != nil {
		a.abort()
		return a.Status, b, err
	}
	return a.Status, b, a.Body.Close()
}
