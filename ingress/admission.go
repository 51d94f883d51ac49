package ingress

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"toucanfall/internal/loop"
)

// Shares of the descriptors, in percent of those that are left after reservedDescriptors. At 3,075
// descriptors clients get 1,380, and engines 575. The busiest VMs of docs/CAPACITY.md have about 20
// requests in progress, and a fleet has at most 300 VMs, each with one connection in each direction, and a
// second one to the VM that it follows.
const (
	clientsPercent  = 48
	enginesPercent  = 20
	vmsPercent      = 12 // For each of the connections from other VMs and to them.
	operatorPercent = 2  // For each of the readiness checks and the metrics. The rest is for the store.
	// reservedDescriptors are for files.
	reservedDescriptors = 200
	// maxDescriptors bounds the limit of a process that has none.
	maxDescriptors = 1 << 20
	// minConns is the least number of connections of a share.
	minConns = 4
)

// Shares of the memory. The heap may take 60% of it (gateway/main.go), which includes about 20 MiB of the
// program's own and garbage, so the bytes that are held for clients have to stay well below that.
const (
	bytesPercent = 25
	connsPercent = 25
	// answersPercent is for the answers of the store. Half of it is for those of more than SmallBytes: on
	// the smallest machines the newest entries of 1,400 upstreams, with those that are read again at the
	// same time.
	answersPercent = 14
	// vmsAnswersPercent is for the answers of other VMs. Those of up to 64 KiB are not counted.
	vmsAnswersPercent = 8
	// callsPercent is for the answers of upstreams to the VM's own calls: at 184 MB 1,400 reports of
	// ordinary size at once, and 3 of 1 MiB.
	callsPercent = 8
	// connBytes is what a waiting connection holds: the kernel's buffer of twice receiveBuffer, which
	// a client can fill, and the buffers and stacks of net/http.
	connBytes = 2*receiveBuffer + 16<<10
	// minBytes is the least budget: half of it has space for one body of 4 MiB while its buffer grows
	// from 2 MiB.
	minBytes = 12 << 20
	// minAnswerBytes is the least budget for answers: half of it has space for one of 4 MiB while its
	// buffer grows from 2 MiB.
	minAnswerBytes = 12 << 20
	// minVMAnswerBytes is the least budget for answers of VMs: half of it has space for two directories of
	// 1,400 upstreams (200 kB) and a configuration of 1 MB.
	minVMAnswerBytes = 8 << 20
	// minCallBytes is the least budget for calls: half of it has space for a report of 1 MiB while its
	// buffer grows, and all of it for 1,400 of 4 KiB.
	minCallBytes = 8 << 20
)

// Buffers of the kernel for the connections of clients. Without a limit the kernel buffers several MiB
// for each connection that the process does not read from or that its client does not read from.
const (
	// receiveBuffer has space for an ordinary request, with a body of 9 kB, in one round trip.
	receiveBuffer = 16 << 10
	// largeReceiveBuffer is for large bodies whose space is reserved: 10 Mbit/s at 100 ms.
	largeReceiveBuffer = 128 << 10
	// sendBuffer permits 10 Mbit/s at 50 ms. ResponseBytes covers it.
	sendBuffer = 64 << 10
)

// Kind is a reason for which a connection or a request is rejected. Its text is the label of the metric
// and the field of the log event.
type Kind string

// The kinds.
const (
	// ConnEvicted connections waited for a request or a body and were closed for a new one.
	ConnEvicted Kind = "connection_evicted"
	// ConnRefused connections were closed at once, because all of the address with the most connections
	// had a request in progress.
	ConnRefused Kind = "connection_refused"
	// HeadSlow is a head that was not complete within the header timeout.
	HeadSlow Kind = "head_slow"
	// HeadBroken is a head that was too long, malformed or not completed.
	HeadBroken Kind = "head_broken"
	// BodyLong, BodySlow and BodyNoSpace are bodies over the limit, that arrived too slowly, or for
	// which there was no space.
	BodyLong    Kind = "body_long"
	BodySlow    Kind = "body_slow"
	BodyNoSpace Kind = "body_no_space"
	// ReaderSlow is a client that did not read its response.
	ReaderSlow Kind = "reader_slow"
	// MessageNoSpace is a message of another VM for which there was no space.
	MessageNoSpace Kind = "message_no_space"
)

// Config holds the limits of a process and what it reports to.
type Config struct {
	// MemoryMB is the memory of the process in MiB. 0 means that bytes are not limited.
	MemoryMB int
	// Descriptors is the number of descriptors that the process may have open. 0 means its own limit.
	Descriptors int
	// HeaderTimeout returns the time in which clients must complete a head, 0 if it is not known.
	HeaderTimeout func() time.Duration
	// Count counts a rejection.
	Count func(Kind)
	// Report is called at most once a second with the number of rejections since the last call, if
	// there were any.
	Report func(map[Kind]int)
	// OnClosed, if not nil, is called with a client's request whose connection this process closed while its
	// head was read.
	OnClosed func(*http.Request)
	Now      func() time.Time
}

// Admission decides which connections and requests a process accepts. It is safe for concurrent use.
type Admission struct {
	cfg Config
	// Bytes is the budget for what is read for clients and other VMs, nil if there is none.
	Bytes *Bytes
	// StoreAnswers is the budget for the answers of the store, nil if there is none. It is apart from
	// Bytes so that a faulty store takes nothing from clients.
	StoreAnswers *Bytes
	// VMAnswers is the budget for the answers of other VMs, nil if there is none. It is apart from Bytes, as
	// StoreAnswers is.
	VMAnswers *Bytes
	// CallAnswers is the budget for the answers of upstreams to the VM's own calls, nil if there is none.
	CallAnswers *Bytes
	// Clients, VMs, Readiness and Metrics are the connections of the listeners.
	Clients, VMs, Readiness, Metrics *Conns
	// ToEngines and ToVMs count the connections that the process opens.
	ToEngines, ToVMs *Dials

	mu       sync.Mutex
	rejected map[Kind]int // Guarded by mu.
}

// New returns the admission control of a process.
func New(cfg Config) *Admission {
	descriptors := ownDescriptors()
	if cfg.Descriptors > 0 {
		descriptors = min(descriptors, cfg.Descriptors)
	}
	share := func(percent int) int { return max((descriptors-reservedDescriptors)*percent/100, minConns) }
	a := &Admission{cfg: cfg, rejected: make(map[Kind]int), ToEngines: &Dials{limit: share(enginesPercent)}, ToVMs: &Dials{limit: share(vmsPercent)}}
	clients := share(clientsPercent)
	if cfg.MemoryMB > 0 {
		memory := int64(cfg.MemoryMB) << 20
		a.Bytes = NewBytes(max(memory*bytesPercent/100, minBytes))
		a.VMAnswers = NewBytes(max(memory*vmsAnswersPercent/100, minVMAnswerBytes))
		a.CallAnswers = NewBytes(max(memory*callsPercent/100, minCallBytes))
		a.StoreAnswers = NewBytes(max(memory*answersPercent/100, minAnswerBytes))
		clients = min(clients, int(memory*connsPercent/100/connBytes))
	}
	a.Clients, a.VMs = NewConns(max(clients, minConns), cfg.Now), NewConns(share(vmsPercent), cfg.Now)
	a.Readiness, a.Metrics = NewConns(share(operatorPercent), cfg.Now), NewConns(share(operatorPercent), cfg.Now)
	return a
}

// ownDescriptors returns the limit of the operating system on the descriptors of the process.
func ownDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return maxDescriptors
	}
	return min(int(limit.Cur), maxDescriptors)
}

// Reject counts a rejection.
func (a *Admission) Reject(k Kind) {
	a.cfg.Count(k)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rejected[k]++
}

// Run reports rejections, and closes connections of clients whose head is late, until ctx ends.
func (a *Admission) Run(ctx context.Context) error {
	loop.Every(ctx, time.Second, func(context.Context) {
		a.expireHeads()
		a.report()
	})
	return nil
}

func (a *Admission) report() {
	a.mu.Lock()
	rejected := a.rejected
	a.rejected = make(map[Kind]int)
	a.mu.Unlock()
	if len(rejected) > 0 {
		a.cfg.Report(rejected)
	}
}

// Expiry of heads.
const (
	// headMargin is added to the header timeout, for the way of the bytes and the period of Run.
	headMargin = 500 * time.Millisecond
	// expiryWriteTimeout bounds the write of the response to a late head. The send buffer of the
	// connection is empty, so it does not block.
	expiryWriteTimeout = 20 * time.Millisecond
)

// lateHead is the response to a head that is not complete in time.
const lateHead = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// expireHeads ends the connections of clients whose head is late.
func (a *Admission) expireHeads() {
	timeout := a.cfg.HeaderTimeout()
	if timeout <= 0 {
		return // The server of the listener has a longer timeout of its own.
	}
	for _, c := range a.Clients.HeadsOlderThan(timeout + headMargin) {
		if !c.expire() {
			continue
		}
		_ = c.SetWriteDeadline(a.cfg.Now().Add(expiryWriteTimeout))
		_, _ = c.Conn.Write([]byte(lateHead)) // The client may be gone.
		_ = c.CloseWrite()
		_ = c.Conn.Close()
		a.Reject(HeadSlow)
	}
}

// Listener returns a listener whose connections are those of set.
func (a *Admission) Listener(l net.Listener, set *Conns) net.Listener {
	return &listener{Listener: l, admission: a, set: set, small: set == a.Clients && a.Bytes != nil}
}

type listener struct {
	net.Listener
	admission *Admission
	set       *Conns
	// small is set if the kernel's buffers of the connections are limited.
	small bool
}

// Accept waits for the next connection for which there is space.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, evicted := l.set.Add(conn)
		if evicted != nil {
			_ = evicted.Conn.Close()
			l.admission.Reject(ConnEvicted)
		}
		if c == nil {
			_ = conn.Close()
			l.admission.Reject(ConnRefused)
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok && l.small {
			// Errors are those of a connection that is closed already.
			_ = tcp.SetReadBuffer(receiveBuffer)
			_ = tcp.SetWriteBuffer(sendBuffer)
		}
		return c, nil
	}
}

// ErrClosed is the error of a request whose connection this process closed before it ran: for a new one, or
// because it was idle at a stop.
var ErrClosed = errors.New("the connection was closed before its request ran")

type connKey struct{}

// ConnOf returns the connection of a request that is served by a server of [Admission.Configure], nil
// for any other.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// EnlargeReadBuffer prepares the connection for a large body whose space is reserved.
func (c *Conn) EnlargeReadBuffer() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(largeReceiveBuffer) // Fails only on a closed connection.
	}
}

// Configure makes a server record the state of its connections, whose requests count as reading their
// body until the handler calls [Conn.Run]. The listener must be one of [Admission.Listener].
func (a *Admission) Configure(s *http.Server) {
	handler := s.Handler
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := conn.(*Conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		c, ok := conn.(*Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateIdle:
			c.End()
		case http.StateClosed:
			if c.headBroken() {
				a.Reject(HeadBroken)
			}
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := ConnOf(r.Context()); c != nil && !c.Begin() {
			if c.set == a.Clients && a.cfg.OnClosed != nil {
				a.cfg.OnClosed(r)
			}
			panic(http.ErrAbortHandler) // The connection was closed while the head was read.
		}
		handler.ServeHTTP(w, r)
	})
}

// Dials counts the connections that the process opens for one purpose. It handles the load of many
// requests at once to engines or VMs that respond late: beyond the limit no more are opened.
type Dials struct {
	limit int
	// OnFull, if not nil, is called when the limit is reached, to close connections that are not in
	// use.
	OnFull func()

	mu   sync.Mutex
	open int // Guarded by mu.
}

// Open returns the number of open connections.
func (d *Dials) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// Limit returns the greatest number of open connections.
func (d *Dials) Limit() int { return d.limit }

func (d *Dials) take() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open >= d.limit {
		return false
	}
	d.open++
	return true
}

func (d *Dials) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
}

// Wrap returns a dial function whose connections are counted.
func (d *Dials) Wrap(dial func(ctx context.Context, address string) (net.Conn, error)) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if !d.take() {
			if d.OnFull != nil {
				d.OnFull()
			}
			if !d.take() {
				return nil, fmt.Errorf("%d connections are open, no more are permitted", d.limit)
			}
		}
		conn, err := dial(ctx, address)
		if err != nil {
			d.release()
			return nil, err
		}
		release := sync.OnceFunc(d.release)
		if tcp, ok := conn.(*net.TCPConn); ok {
			return &dialledTCP{tcp, release}, nil
		}
		return &dialled{conn, release}, nil
	}
}

type dialled struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (c *dialled) Close() error {
	c.release()
	return c.Conn.Close()
}

// dialledTCP keeps the methods of a TCP connection that its users ask for, such as SyscallConn and
// that which writes several buffers by one call.
type dialledTCP struct {
	*net.TCPConn
	release func()
}

// Close closes the connection.
func (c *dialledTCP) Close() error {
	c.release()
	return c.TCPConn.Close()
}
