package transport

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// openAnswer sends a request on a pool whose upstream answers with a part of a body, and returns the answer and the
// upstream's end of the connection.
func openAnswer(t *testing.T, p *Pool, l net.Listener, part string) (*Answer, net.Conn) {
	t.Helper()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"+part) // Shows in Do.
		}
		accepted <- conn
	}()
	a, err := p.Do(t.Context(), &Request{
		Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\n\r\n"), IsAnswer: func(int, http.Header, bool) bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	conn := <-accepted
	t.Cleanup(func() { _ = conn.Close() })
	return a, conn
}

// readSlowly reads a body in parts, from some time after transitTime on.
func readSlowly(body io.Reader, part int64) {
	time.Sleep(transitTime * 3 / 2)
	for err := error(nil); err == nil; time.Sleep(transitTime / 10) {
		_, err = io.CopyN(io.Discard, body, part)
	}
}

// Guards against bytes that a killed upstream had sent before, and that count as a sign of life because they are read
// later: they were on their way, waited for a slow reader, or were held up by a cut of the path.
func TestObservationCountsOnlyNewBytes(t *testing.T) {
	const unread = 100_000
	write := func(conn net.Conn) { _, _ = io.WriteString(conn, "b") }
	end := func(conn net.Conn) { _ = conn.Close() }
	pause := func(net.Conn) { time.Sleep(2 * transitTime) }
	for name, c := range map[string]struct {
		part string
		// silent is set if nothing was received for some time before the observation.
		silent bool
		// then is what the upstream does after the beginning of the observation.
		then           []func(conn net.Conn)
		open, progress bool
	}{
		"goes on":               {part: "a", then: []func(net.Conn){pause, write}, open: true, progress: true},
		"is silent":             {part: "a", open: true},
		"is killed":             {part: "a", then: []func(net.Conn){end}},
		"was on its way":        {part: "a", then: []func(net.Conn){write, end}},
		"waits for a reader":    {part: strings.Repeat("a", unread), then: []func(net.Conn){end}},
		"was held up":           {part: "a", silent: true, then: []func(net.Conn){pause, write, end}},
		"goes on after silence": {part: "a", silent: true, then: []func(net.Conn){write, pause, pause, write}, open: true, progress: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			p := NewPool(l.Addr().String(), Dial, nil)
			a, conn := openAnswer(t, p, l, c.part)
			if c.silent {
				time.Sleep(maxSilence + transitTime)
			}
			o := p.Observe()
			go func() {
				for _, do := range c.then {
					do(conn)
				}
			}()
			go readSlowly(a.Body, unread/10)
			progress := false
			for end := time.Now().Add(6 * transitTime); time.Now().Before(end); time.Sleep(transitTime / 10) {
				progress = progress || o.HasProgress()
			}
			is.Equal(progress, c.progress)
			is.Equal(o.IsOpen(), c.open)
		})
	}
}
