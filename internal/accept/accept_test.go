package accept_test

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/internal/accept"
)

// fakeListener returns errors, and then connections.
type fakeListener struct {
	net.Listener
	errs []error
}

// Accept returns the next error, or a connection after the last.
func (l *fakeListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		conn, other := net.Pipe()
		return conn, other.Close()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// Close does nothing.
func (l *fakeListener) Close() error { return nil }

// Guards against a listener that ends at, or is kept busy by, errors that may be temporary, and
// against a log line for each of them.
func TestTemporaryErrorsDoNotEndAListener(t *testing.T) {
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM, errors.New("other")} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			failures := make([]error, 100)
			for i := range failures {
				failures[i] = &net.OpError{Op: "accept", Err: err}
			}
			var reports, reported int
			l := accept.New(&fakeListener{errs: failures}, func(_ error, n int) { reports, reported = reports+1, reported+n })
			began := time.Now()
			conn, acceptErr := l.Accept()
			is.NoErr(acceptErr)
			_ = conn.Close()
			took := time.Since(began)
			is.True(took > 30*time.Second && took < time.Minute)
			is.True(reports >= 3 && reports <= 7)
			is.True(reported <= len(failures))
		})
	}
}

// Guards against a listener that goes on after it was closed.
func TestPermanentErrorsEndAListener(t *testing.T) {
	for _, err := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL} {
		_, got := accept.New(&fakeListener{errs: []error{err}}, nil).Accept()
		is.New(t).True(errors.Is(got, err))
	}
}

// Guards against a stop that waits for the delay after a failed accept.
func TestCloseEndsTheDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		failures := make([]error, 20)
		for i := range failures {
			failures[i] = syscall.EMFILE
		}
		l := accept.New(&fakeListener{errs: failures}, nil)
		time.AfterFunc(time.Millisecond, func() { _ = l.Close() })
		began := time.Now()
		_, err := l.Accept()
		is.True(errors.Is(err, net.ErrClosed))
		is.Equal(time.Since(began), time.Millisecond)
	})
}
