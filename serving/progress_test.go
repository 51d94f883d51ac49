package serving

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conn  chan net.Conn
	ended chan struct{}
}

// Accept returns the connection once.
func (l *oneConn) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conn:
		return conn, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *oneConn) Close() error {
	close(l.ended)
	return nil
}

// Addr returns an empty address.
func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// pausedWriter is a writer in a process that is paused for pause in every n-th write.
type pausedWriter struct {
	http.ResponseWriter
	pause     time.Duration
	n, writes int
}

// Write writes, after the pause.
func (w *pausedWriter) Write(b []byte) (int, error) {
	if w.writes++; w.pause > 0 && w.writes%w.n == 0 {
		time.Sleep(w.pause)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController find the methods of the response.
func (w *pausedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// sendSlowly writes a response of 64 chunks of 2 KiB to a client that reads 512 bytes in each interval. It
// returns how many chunks were accepted, and whether the client counts as slow.
func sendSlowly(interval time.Duration) (accepted int, slow bool) {
	return send(interval, 2<<10, &pausedWriter{}, nil)
}

// send is sendSlowly with chunks of another size, in a process that is paused as paused says. Drained
// reports whether the client has accepted all bytes, if not nil.
func send(interval time.Duration, chunk int, paused *pausedWriter, drained func() bool) (accepted int, slow bool) {
	near, far := net.Pipe()
	l := &oneConn{conn: make(chan net.Conn, 1), ended: make(chan struct{})}
	l.conn <- far
	done := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(done)
		paused.ResponseWriter = w
		a := newAnswer(paused, nil, new(openRequests).add("", time.Now()))
		a.drained = drained
		for range 64 {
			if a.write(make([]byte, chunk), true) != nil {
				break
			}
			accepted++
		}
		slow = a.readerSlow
	})}
	go func() { _ = server.Serve(l) }()
	go func() {
		_, _ = io.WriteString(near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		for {
			time.Sleep(interval)
			if _, err := io.CopyN(io.Discard, near, 512); err != nil {
				return
			}
		}
	}()
	<-done
	_, _ = near.Close(), server.Close()
	time.Sleep(time.Minute) // Ends the client.
	return accepted, slow
}

// Guards against a client that holds a response by reading a little before each write would time out.
func TestSlowReaderEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		accepted, slow := sendSlowly(time.Second)
		is.True(accepted < 5)
		is.True(slow)
	})
}

// Guards against the end of a response to a client that reads as slowly as permitted.
func TestPermittedReaderGetsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		accepted, slow := sendSlowly(250 * time.Millisecond)
		is.Equal(accepted, 64)
		is.True(!slow)
	})
}

// Guards against the end of a response to a client that reads as slowly as permitted, because the process
// is paused for 2 s once in each block of the response.
func TestPermittedReaderOfPausedProcessGetsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		accepted, slow := send(250*time.Millisecond, 2<<10, &pausedWriter{pause: 2 * time.Second, n: 8}, nil)
		is.Equal(accepted, 64)
		is.True(!slow)
	})
}

// Guards against the end of a stream of small events to a client that reads all at once, because the
// process is paused for 2 s in its writes: six such pauses within 16 KiB counted as 10 s of a slow reader.
func TestFastReaderOfPausedProcessGetsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, n := range []int{1, 5, 10} {
			accepted, slow := send(0, 100, &pausedWriter{pause: 2 * time.Second, n: n}, func() bool { return true })
			is.Equal(accepted, 64)
			is.True(!slow)
		}
	})
}

// Guards against a slow reader that counts as one that has accepted all bytes.
func TestSlowReaderThatIsNotDrainedEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		accepted, slow := send(time.Second, 2<<10, &pausedWriter{}, func() bool { return false })
		is.True(accepted < 5)
		is.True(slow)
	})
}
