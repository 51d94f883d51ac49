package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// attempt is one client attempt and what its client saw.
type attempt struct {
	id       string
	sent     time.Time
	ended    time.Time
	status   int
	sealed   bool
	bytes    int
	whole    bool
	text     string // The first bytes of the body.
	kept     bool   // The connection had carried a request before.
	sendErr  error
	readErr  error
	anything bool // At least one byte of an answer came.
}

func (a *attempt) String() string {
	return fmt.Sprintf("%s: status %d, seal %v, %d bytes of body, whole %v, after %d ms, errors %v/%v", a.id, a.status, a.sealed, a.bytes, a.whole, a.ended.Sub(a.sent).Milliseconds(), a.sendErr, a.readErr)
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	in   *countingReader
	r    *bufio.Reader
	used bool
}

type countingReader struct {
	net.Conn
	n int
}

func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n += n
	return n, err
}

func dial(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	in := &countingReader{Conn: c}
	return &clientConn{Conn: c, in: in, r: bufio.NewReader(in)}, nil
}

// do sends a request and reads its answer, at most until the deadline that it states.
func (c *clientConn) do(method, target string, header map[string]string, body string, deadline time.Duration) *attempt {
	a := &attempt{id: newID(), kept: c.used}
	c.used = true
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nToucanfall-Attempt-Id: %s\r\nToucanfall-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n", method, target, a.id, deadline.Milliseconds())
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	a.sent = time.Now()
	defer func() { a.ended = time.Now() }()
	_ = c.SetDeadline(a.sent.Add(deadline))
	if _, a.sendErr = io.WriteString(c.Conn, b.String()); a.sendErr != nil {
		return a
	}
	before := c.in.n
	defer func() { a.anything = c.in.n > before }()
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		a.readErr = err
		return a
	}
	a.status, a.sealed = resp.StatusCode, resp.Header.Get(wire("ResponseSeal")) != ""
	content, err := io.ReadAll(resp.Body)
	a.text, a.bytes, a.readErr, a.whole = string(content[:min(len(content), 4096)]), len(content), err, err == nil
	if resp.Close {
		_ = c.Close()
	}
	return a
}

// timedOut reports whether the client's own deadline ended the attempt.
func (a *attempt) timedOut() bool {
	var netErr net.Error
	return errors.As(a.readErr, &netErr) && netErr.Timeout()
}
