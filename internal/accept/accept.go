// Package accept provides listeners that outlive temporary errors.
package accept

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Delays after failed accepts.
const (
	// minDelay is the delay after the first of several failures. It doubles with each further one.
	minDelay = 5 * time.Millisecond
	// maxDelay is short enough that a client that waits for its connection is still served.
	maxDelay = 500 * time.Millisecond
	// reportPeriod is the shortest time between two reports.
	reportPeriod = 10 * time.Second
)

// Listener is a listener whose Accept fails only if the listener can never accept again. After any
// other error, such as EMFILE, it tries again after a delay that grows with the number of failures.
type Listener struct {
	net.Listener
	// report is called with an error and the number of failures since the last report.
	report func(err error, failures int)
	closed chan struct{}
	once   sync.Once

	// The fields below belong to the goroutine that accepts.
	delay      time.Duration
	failures   int
	reportedAt time.Time
}

// New returns a listener on top of l. report, if not nil, is called at most once in each period
// of reportPeriod, by the goroutine that accepts.
func New(l net.Listener, report func(err error, failures int)) *Listener {
	return &Listener{Listener: l, report: report, closed: make(chan struct{})}
}

// Accept waits for the next connection. It must not be called concurrently.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.delay = 0
			return conn, nil
		}
		if isPermanent(err) {
			return nil, err
		}
		l.recordFailure(err)
		l.delay = min(max(2*l.delay, minDelay), maxDelay)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(l.delay):
		}
	}
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *Listener) recordFailure(err error) {
	l.failures++
	now := time.Now()
	if l.report == nil || !l.reportedAt.IsZero() && now.Sub(l.reportedAt) < reportPeriod {
		return
	}
	l.report(err, l.failures)
	l.failures, l.reportedAt = 0, now
}

// isPermanent reports whether a listener that returned err can never accept again: it was closed,
// or its descriptor is no listening socket.
func isPermanent(err error) bool {
	for _, e := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
