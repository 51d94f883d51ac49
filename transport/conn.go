package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"toucanfall/internal/allowance"
	"toucanfall/internal/tcp"

	"golang.org/x/sys/unix"
)

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	limit  *allowance.Reader
	head   *headLines
	reader *bufio.Reader
	// idleUntil is the time after which an idle connection must not be reused, because the upstream
	// may close it; the zero time before the first answer.
	idleUntil time.Time
	// used is set once a request has been written.
	used bool
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
	head := &headLines{r: c}
	in := allowance.New(head, errHeadTooLong)
	return &conn{Conn: c, limit: in, head: head, reader: bufio.NewReaderSize(in, readBufferSize)}, nil
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
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = e == unix.EAGAIN
		return true
	})
	return err == nil && empty
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
