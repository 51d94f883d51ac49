package courier

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
	in *allowance.Reader
	br *bufio.Reader
	// until is when the upstream may close the connection for being idle.
	until time.Time
}

// Dialer opens a connection to an upstream.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Dial opens a TCP connection whose loss is noticed within some seconds.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return tcp.NewDialer(dialTimeout, lossTimeout).DialContext(ctx, "tcp", address)
}

// open opens a connection of the pool.
func (p *Pool) open(ctx context.Context) (*conn, error) {
	c, err := p.dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	in := allowance.New(c, errTooLong)
	return &conn{Conn: c, in: in, br: bufio.NewReaderSize(in, readBuffer)}, nil
}

// errTooLong tells that an upstream sent more than any head has.
var errTooLong = errors.New("the head of the answer is too long")

// clean reports whether an idle connection can carry another request: it was
// not closed, and no bytes came that belong to no request.
func (c *conn) clean(now time.Time) bool {
	if c.br.Buffered() > 0 || !c.until.IsZero() && now.After(c.until) {
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
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keep notes how long the upstream keeps the connection open when idle. The
// header may leave it open.
func (c *conn) keep(h http.Header, now time.Time) {
	c.until = now.Add(defaultIdle)
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			c.until = now.Add(time.Duration(n)*time.Second - idleMargin)
		}
	}
}
