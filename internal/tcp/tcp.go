// Package tcp makes dialers whose connections notice that their peer is lost.
package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// NewDialer returns a dialer that gives up after a timeout. Its connections end
// when sent bytes stay without an acknowledgement for the time loss.
func NewDialer(timeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: func(_, _ string, rc syscall.RawConn) error {
		var optErr error
		err := rc.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
		})
		return errors.Join(err, optErr)
	}}
}
