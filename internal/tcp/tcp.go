// Package tcp creates dialers whose connections detect an unreachable peer, and asks the system for the state of
// connections.
package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// NewDialer returns a dialer with a connect timeout. Its connections are closed by the
// kernel when sent data stays unacknowledged for ackTimeout (TCP_USER_TIMEOUT, which has a
// resolution of one millisecond).
func NewDialer(timeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: func(_, _ string, rc syscall.RawConn) error {
		var optErr error
		err := rc.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
		})
		return errors.Join(err, optErr)
	}}
}

// Unacknowledged returns how many of the bytes that were written to a connection its peer's system has not acknowledged.
// It fails with errors.ErrUnsupported if the connection is no socket.
func Unacknowledged(c net.Conn) (int, error) {
	n := 0
	err := control(c, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		return err
	})
	return n, err
}

// TakeError returns the error that is pending on a connection, such as a reset by the peer, nil if there is none. The
// system reports it once, here or to the next read or write. It fails with errors.ErrUnsupported if the connection is
// no socket.
func TakeError(c net.Conn) error {
	return control(c, func(fd int) error {
		code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && code != 0 {
			return syscall.Errno(code)
		}
		return err
	})
}

// Unread is what the system has received on a connection and nobody has read.
type Unread int

// What has been received.
const (
	// NothingUnread means that the connection is open and that there are no bytes.
	NothingUnread Unread = iota
	// BytesUnread means that there are bytes.
	BytesUnread
	// EndUnread means that the peer has ended or reset the connection after the bytes that were read.
	EndUnread
)

// Peek returns what can be read from a connection, and leaves it unread. It fails with errors.ErrUnsupported if the
// connection is no socket.
func Peek(c net.Conn) (Unread, error) {
	out := EndUnread
	err := control(c, func(fd int) error {
		var b [1]byte
		switch n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); {
		case errors.Is(err, unix.EAGAIN):
			out = NothingUnread
		case err == nil && n > 0:
			out = BytesUnread
		}
		return nil
	})
	return out, err
}

// control calls f with the file descriptor of a connection.
func control(c net.Conn, f func(fd int) error) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var fErr error
	err = rc.Control(func(fd uintptr) { fErr = f(int(fd)) })
	return errors.Join(err, fErr)
}
