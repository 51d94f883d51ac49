// Package tcp creates dialers whose connections detect an unreachable peer.
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
