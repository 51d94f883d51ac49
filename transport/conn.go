package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"toucanfall/internal/allowance"
	"toucanfall/internal/tcp"
)

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	// pool is the pool that opened the connection.
	pool *Pool
	// received is the number of bytes that were read from the connection, requests that of the requests on it.
	received, requests atomic.Int64
	openedAt           time.Time
	// receivedAfter is how long after openedAt bytes were last read.
	receivedAfter atomic.Int64
	limit         *allowance.Reader
	head          *headLines
	reader        *bufio.Reader
	// idleUntil is the time after which an idle connection must not be reused, because the upstream
	// may close it; the zero time before the first answer.
	idleUntil time.Time
	// exclusive is set from an exclusive request until another request has been answered.
	exclusive bool
}

// Dialer opens a connection to an upstream.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Dial opens a TCP connection on which the loss of the peer is detected within a few seconds. It fails
// if the connection is not open within dialTimeout.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return tcp.NewDialer(dialTimeout, lossTimeout).DialContext(ctx, "tcp", address)
}

// open opens a new connection to the upstream of the pool.
func (p *Pool) open(ctx context.Context) (*conn, error) {
	c, err := p.dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	out := &conn{Conn: c, pool: p, openedAt: time.Now()}
	out.head = &headLines{r: out}
	out.limit = allowance.New(out.head, errHeadTooLong)
	out.reader = bufio.NewReaderSize(out.limit, readBufferSize)
	p.add(out)
	return out, nil
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Add(int64(n))
		c.receivedAfter.Store(int64(time.Since(c.openedAt)))
	}
	return n, err
}

// silence returns for how long nothing has been read from the connection.
func (c *conn) silence(now time.Time) time.Duration {
	return now.Sub(c.openedAt.Add(time.Duration(c.receivedAfter.Load())))
}

// Close closes the connection.
func (c *conn) Close() error {
	defer c.pool.forget(c)
	return c.Conn.Close()
}

// errHeadTooLong is the error of an answer whose headers have more than maxHeadBytes or
// maxHeadLines.
var errHeadTooLong = errors.New("the head of the answer is too long")

// reusable reports whether an idle connection can carry another request: idleUntil has not passed, the
// upstream has not closed the connection, and no bytes arrived that belong to no request.
func (c *conn) reusable(now time.Time) bool {
	if c.reader.Buffered() > 0 || !c.idleUntil.IsZero() && now.After(c.idleUntil) {
		return false
	}
	unread, err := tcp.Peek(c.Conn)
	return errors.Is(err, errors.ErrUnsupported) || err == nil && unread == tcp.NothingUnread
}

// setIdleUntil records how long the upstream keeps an idle connection open: the timeout of its
// Keep-Alive header less idleMargin, or defaultIdle if it gives none.
func (c *conn) setIdleUntil(h http.Header, now time.Time) {
	c.idleUntil = now.Add(defaultIdle)
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			c.idleUntil = now.Add(time.Duration(n)*time.Second - idleMargin)
		}
	}
}
