package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"toucanfall/ingress"
	"toucanfall/standin"
)

// Timeouts of the server under test and of the clients.
const (
	headerTimeout = 3 * time.Second
	serverTimeout = 10 * time.Second
)

// served is a server on an in-memory network.
type served struct {
	admission *ingress.Admission
	network   *standin.Network
	mu        sync.Mutex
	rejected  map[ingress.Kind]int // Guarded by mu.
	// conns are the connections of the clients, closed at the end.
	conns []net.Conn
	// slow blocks requests to /slow until it is closed.
	slow chan struct{}
}

// runServed runs f with a server of the given limits in a synctest bubble.
func runServed(t *testing.T, cfg ingress.Config, f func(is *is.I, s *served)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &served{network: standin.NewNetwork(), rejected: make(map[ingress.Kind]int), slow: make(chan struct{})}
		cfg.HeaderTimeout = func() time.Duration { return headerTimeout }
		cfg.Report = func(rejected map[ingress.Kind]int) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for k, n := range rejected {
				s.rejected[k] += n
			}
		}
		s.admission = newAdmission(cfg)
		l, err := s.network.Listen("server", "server:1")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{ReadHeaderTimeout: serverTimeout, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				ingress.ConnOf(r.Context()).Run()
				<-s.slow
			}
			_, _ = io.WriteString(w, "ok")
		})}
		s.admission.Configure(server)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = s.admission.Run(ctx) }()
		go func() { _ = server.Serve(s.admission.Listener(l, s.admission.Clients)) }()
		defer func() {
			cancel()
			_ = server.Close()
			for _, conn := range s.conns {
				_ = conn.Close()
			}
			time.Sleep(time.Minute) // Ends the goroutines of the connections.
		}()
		f(is.New(t), s)
	})
}

func (s *served) dial(is *is.I) net.Conn {
	conn, err := s.network.Dial(context.Background(), "client", "server:1")
	is.NoErr(err)
	s.conns = append(s.conns, conn)
	return conn
}

// rejections returns how many rejections of a kind were reported.
func (s *served) rejections(k ingress.Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected[k]
}

// get sends a request and returns the status of the response, 0 if there is none.
func get(conn net.Conn, path string) int {
	_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	return status(conn)
}

func status(conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Guards against connections that are held by a head which is never complete, also one that follows a
// served request, and against a limit that ends the heads of ordinary clients.
func TestLateHeadIsAnswered408(t *testing.T) {
	runServed(t, ingress.Config{Descriptors: 1200}, func(is *is.I, s *served) {
		for _, after := range []int{0, 1} {
			conn := s.dial(is)
			for range after {
				is.Equal(get(conn, "/"), http.StatusOK)
				time.Sleep(12 * time.Second) // Clients reuse connections that were idle for so long.
			}
			began := time.Now()
			go func() {
				for _, c := range "GET / HTTP/1.1\r\n" + strings.Repeat("X-A: b\r\n", 100) {
					if _, err := io.WriteString(conn, string(c)); err != nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			}()
			is.Equal(status(conn), http.StatusRequestTimeout)
			took := time.Since(began)
			is.True(took >= headerTimeout && took < headerTimeout+2*time.Second)
		}
		conn := s.dial(is)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n")
		time.Sleep(headerTimeout - 100*time.Millisecond)
		_, _ = io.WriteString(conn, "Host: h\r\n\r\n")
		is.Equal(status(conn), http.StatusOK)
		is.Equal(get(conn, "/"), http.StatusOK)
		time.Sleep(2 * time.Second)
		is.Equal(s.rejections(ingress.HeadSlow), 2)
	})
}

// Guards against a client that finds no place while others wait, and against the close of a connection
// with a request in progress.
func TestFullListenerAdmitsNewClient(t *testing.T) {
	runServed(t, ingress.Config{Descriptors: 300}, func(is *is.I, s *served) {
		limit := s.admission.Clients.Limit()
		busy := s.dial(is)
		ended := make(chan int)
		go func() { ended <- get(busy, "/slow") }()
		time.Sleep(time.Second)
		for range limit + 20 {
			s.dial(is)
			time.Sleep(time.Millisecond)
		}
		conn := s.dial(is)
		is.Equal(get(conn, "/"), http.StatusOK)
		is.Equal(s.admission.Clients.Open(), limit)
		close(s.slow)
		is.Equal(<-ended, http.StatusOK)
		time.Sleep(2 * time.Second)
		is.Equal(s.rejections(ingress.ConnEvicted), 22)
	})
}

// Guards against a body that stops and holds its space for as long as the route's timeout.
func TestStoppedBodyEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		go func() { _, _ = far.Write(make([]byte, 20<<10)) }()
		space := ingress.NewBytes(1 << 20)
		r, began := space.Reservation(), time.Now()
		_, err := ingress.ReadBody(ingress.Body{
			Reader: near, Length: 100 << 10, Limit: 1 << 20, Deadline: time.Now().Add(time.Hour),
			SetReadDeadline: func(at time.Time) { _ = near.SetReadDeadline(at) },
		}, r)
		is.Equal(err, ingress.ErrTooSlow)
		is.Equal(time.Since(began), ingress.ProgressTimeout)
		r.Release()
		is.Equal(space.Used(), int64(0))
		_, _ = near.Close(), far.Close()
	})
}

// Guards against a limit that ends the bodies of clients which send as slowly as they may send heads.
func TestSlowOrdinaryBodyIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		const perSecond = 16_384 / 3 // A head of the greatest size within the header timeout.
		go func() {
			for range 20 {
				time.Sleep(time.Second)
				_, _ = far.Write(make([]byte, perSecond))
			}
			_ = far.Close()
		}()
		b, err := ingress.ReadBody(ingress.Body{
			Reader: near, Length: -1, Limit: 1 << 20, Deadline: time.Now().Add(time.Hour),
			SetReadDeadline: func(at time.Time) { _ = near.SetReadDeadline(at) },
		}, ingress.NewBytes(1<<20).Reservation())
		is.NoErr(err)
		is.Equal(len(b), 20*perSecond)
	})
}
