package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/caller"
	"toucanfall/dialect"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/built"
	"toucanfall/internal/ports"
	"toucanfall/ledger"
	"toucanfall/settings"
	"toucanfall/standin"
	"toucanfall/timeline"
)

// binaries is the directory of the built commands under test.
var binaries string

// waitTimeout bounds each wait for a condition or for the end of a process.
const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	os.Exit(built.BuildAndRun(m, &binaries, "toucand", "toucanfake"))
}

// secret is the API key of the callers in these tests.
const secret = fleet.Secret("sk-quotes-0123456789")

// process is a started command. Its stderr is captured, and done is closed when
// it exits.
type process struct {
	cmd    *exec.Cmd
	stderr *lockedBuffer
	done   chan struct{}
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// start starts a built command and kills it at the end of the test.
func start(t *testing.T, name string, args ...string) *process {
	p := &process{cmd: exec.Command(filepath.Join(binaries, name), args...), stderr: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd.Stderr = p.stderr
	is.New(t).NoErr(p.cmd.Start())
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	})
	return p
}

func (p *process) signal(t *testing.T, s os.Signal) {
	is.New(t).NoErr(p.cmd.Process.Signal(s))
}

// wait waits for the process to exit and returns its exit code.
func (p *process) wait(t *testing.T) int {
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not exit in time", p.cmd.Path)
	}
	return p.cmd.ProcessState.ExitCode()
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := ports.FreeAddress("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// fleetFixture is a fleet of two entry VMs, two engines and a service in one
// data centre.
type fleetFixture struct {
	engines []*process
	// proxies forward the connections from the VMs to the engines, by engine.
	proxies         []*freezableProxy
	service         *process
	ordersAddress   string
	vmProcesses     []*process
	callerAddresses []string
	// operatorAddresses are the addresses of the operators' listeners, by VM.
	operatorAddresses []string
	logAddress        string
	stopAfter         string
}

// newFleetFixture starts the stand-ins and the VMs and waits until the VMs
// serve. stopAfter is the setting for how long a stopping VM keeps serving.
func newFleetFixture(t *testing.T, stopAfter string) *fleetFixture {
	is.New(t).NoErr(built.TrackSources(".."))
	p := &fleetFixture{stopAfter: stopAfter}
	log, list := freeAddress(t), freeAddress(t)
	p.logAddress = log
	var vms []fleet.VM
	for _, id := range []string{"e1", "e2"} {
		address := freeAddress(t)
		p.engines = append(p.engines, start(t, "toucanfake", "--name", id, "--kind", "engine", "--listen", address, "--resident", "m", "--token-time", "20ms"))
		proxy := newFreezableProxy(t, address)
		p.proxies = append(p.proxies, proxy)
		vms = append(vms, fleet.VM{ID: fleet.VMID(id), Role: fleet.RoleModelEngine, DataCentre: "at-1", Address: proxy.address(), State: fleet.VMLive})
	}
	p.ordersAddress = freeAddress(t)
	p.service = start(t, "toucanfake", "--name", "orders", "--kind", "service", "--listen", p.ordersAddress)
	vms = append(vms, fleet.VM{ID: "orders", Role: fleet.RoleService, Service: "orderdesk", DataCentre: "at-1", Address: p.ordersAddress, State: fleet.VMLive})
	configs := p.writeSettings(t, log, list, &vms)
	file := filepath.Join(t.TempDir(), "vms.json")
	b, err := json.Marshal(dialect.VMListResponse{VMs: vms})
	is.New(t).NoErr(err)
	is.New(t).NoErr(os.WriteFile(file, b, 0o600))
	start(t, "toucanfake", "--name", "log", "--kind", "log", "--listen", log)
	start(t, "toucanfake", "--name", "list", "--kind", "vm_list", "--listen", list, "--vms", file)
	appendConfig(t, log)
	for _, cfg := range configs {
		p.vmProcesses = append(p.vmProcesses, start(t, "toucand", "--settings", cfg))
	}
	p.awaitReady(t)
	return p
}

// writeSettings writes the settings files of two VMs, appends the VMs to the
// list, and returns the names of the files.
func (p *fleetFixture) writeSettings(t *testing.T, log, list string, vms *[]fleet.VM) []string {
	var files []string
	for _, id := range []string{"v1", "v2"} {
		callers, operators, peers := freeAddress(t), freeAddress(t), freeAddress(t)
		p.callerAddresses = append(p.callerAddresses, callers)
		p.operatorAddresses = append(p.operatorAddresses, operators)
		*vms = append(*vms, fleet.VM{ID: fleet.VMID(id), Role: fleet.RoleEntry, DataCentre: "at-1", Address: peers, State: fleet.VMLive})
		cfg := fmt.Sprintf(`{"vm":%q,"data_centre":"at-1","data_centres":["at-1"],"callers":{"address":%q},"operators":{"address":%q},"peers":{"address":%q},`+
			`"platform":{"log":"http://%s","vm_list":"http://%s","weight_store":"http://%s"},"first_operator":"%x","stop_after":%q}`,
			id, callers, operators, peers, log, list, list, fleet.Secret("op").Hash(), p.stopAfter)
		file := filepath.Join(t.TempDir(), id+".json")
		is.New(t).NoErr(os.WriteFile(file, []byte(cfg), 0o600))
		files = append(files, file)
	}
	return files
}

// appendConfig appends the records for teams, keys, models, routes and settings
// to the log, retrying until the log accepts them.
func appendConfig(t *testing.T, address string) {
	log := dialect.NewLog("http://"+address, dialect.NewTransport())
	for _, r := range []struct {
		kind ledger.Kind
		body any
	}{
		{ledger.KindTeam, fleet.Team{ID: "quotes"}},
		{ledger.KindKey, fleet.Key{ID: "k1", Team: "quotes", Hash: secret.Hash()}},
		{ledger.KindModel, fleet.Model{ID: "m", Version: "v1", Size: 1}},
		{ledger.KindRoute, fleet.Route{ID: "textdesk", Kind: fleet.RouteDraft, Model: "m", Teams: []fleet.TeamID{"quotes"}}},
		{ledger.KindRoute, fleet.Route{ID: "orderdesk", Kind: fleet.RouteService, Service: "orderdesk", Teams: []fleet.TeamID{"quotes"}}},
		{ledger.KindSetting, settings.Put{Path: settings.Path{Level: "team/quotes", Name: settings.RateTokensPerSecond}, Value: settings.Value{RawMessage: []byte(`1000000`)}}},
		{ledger.KindSetting, settings.Put{Path: settings.Path{Level: "team/quotes", Name: settings.BurstTokens}, Value: settings.Value{RawMessage: []byte(`10000000`)}}},
	} {
		record, err := ledger.NewRecord(r.kind, "test", timeline.Stamp{}, 0, r.body)
		is.New(t).NoErr(err)
		b, err := record.Encode()
		is.New(t).NoErr(err)
		waitUntil(t, "the log to accept records", func() bool {
			_, err := log.Append(t.Context(), [][]byte{b})
			return err == nil
		})
	}
}

// waitUntil polls ok until it holds, and fails the test after waitTimeout. what
// completes the phrase "waiting for".
func waitUntil(t *testing.T, what string, ok func() bool) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// awaitReady waits until all VMs serve completion and service requests.
func (p *fleetFixture) awaitReady(t *testing.T) {
	for i := range p.vmProcesses {
		waitUntil(t, "a VM to serve requests", func() bool {
			if _, err := p.caller(i).Complete(t.Context(), "textdesk", "x", 1, nil); err != nil {
				return false
			}
			_, err := p.caller(i).Service(t.Context(), "orderdesk", http.MethodGet, "/prices", "", nil)
			return err == nil
		})
	}
}

// caller returns a client of the callers' listener of a VM, with connections of
// its own.
func (p *fleetFixture) caller(i int) *caller.Client {
	return caller.New("http://"+p.callerAddresses[i], secret, &http.Transport{})
}

// freezableProxy forwards TCP connections to target. freeze makes its open
// connections drop all further data without closing; new ones still work.
type freezableProxy struct {
	listener net.Listener
	target   string
	// freezes counts the calls of freeze. A connection that was opened before
	// the last one forwards nothing.
	freezes atomic.Int64
}

func newFreezableProxy(t *testing.T, target string) *freezableProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &freezableProxy{listener: l, target: target}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *freezableProxy) address() string { return p.listener.Addr().String() }

func (p *freezableProxy) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	engine, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = engine.Close() }()
	freezes := p.freezes.Load()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{engine, client}, {client, engine}} {
		go func() {
			_, _ = io.Copy(&freezableWriter{proxy: p, freezes: freezes, w: pair[0]}, pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// freezableWriter discards what is written after a freeze of its proxy.
type freezableWriter struct {
	proxy *freezableProxy
	// freezes is the proxy's count when the connection was opened.
	freezes int64
	w       io.Writer
}

func (fw *freezableWriter) Write(b []byte) (int, error) {
	if fw.proxy.freezes.Load() != fw.freezes {
		return len(b), nil
	}
	return fw.w.Write(b)
}

func (p *freezableProxy) freeze() { p.freezes.Add(1) }

// fullAnswer returns the engine's complete answer of n tokens to a prompt.
func fullAnswer(prompt string, n int) string {
	g := dialect.GenerateRequest{MaxTokens: n, Messages: []dialect.Message{{Content: prompt}}}
	return strings.Join(standin.AnswerTokens(g), "")
}

// TestEngineLostMidStream guards against lost or repeated tokens when the
// engine of an open stream is killed, stopped or disconnected. The other engine
// must continue the answer at the exact position.
func TestEngineLostMidStream(t *testing.T) {
	for _, tt := range []struct {
		name string
		lose func(t *testing.T, p *fleetFixture, i int)
	}{
		{"killed", func(t *testing.T, p *fleetFixture, i int) { p.engines[i].signal(t, syscall.SIGKILL) }},
		{"frozen", func(t *testing.T, p *fleetFixture, i int) { p.engines[i].signal(t, syscall.SIGSTOP) }},
		{"connections silent", func(_ *testing.T, p *fleetFixture, i int) { p.proxies[i].freeze() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newFleetFixture(t, "100ms")
			for i := range p.engines {
				// The stream may use either engine, so both are lost in turn.
				d, err := streamAndLose(t, p, func() { tt.lose(t, p, i) })
				is.NoErr(err)
				is.Equal(d.Text, fullAnswer("ten fine sieves", streamTokens))
				if tt.name == "killed" {
					break
				}
				p.engines[i].signal(t, syscall.SIGCONT)
			}
		})
	}
}

// streamTokens is the length in tokens of a stream that loses its engine.
const streamTokens = 60

// streamAndLose streams a completion and calls lose after a third of its tokens.
func streamAndLose(t *testing.T, p *fleetFixture, lose func()) (caller.Completion, error) {
	n := 0
	return p.caller(0).Complete(t.Context(), "textdesk", "ten fine sieves", streamTokens, func(string) {
		n++
		if n == streamTokens/3 {
			lose()
		}
	})
}

// TestVMKilledDuringBooking guards against a booking that runs twice. It kills a VM
// while the service processes the booking. A repeat on the other VM must fail
// with OutcomeUnknown and not run it again.
func TestVMKilledDuringBooking(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newFleetFixture(t, "100ms")
	resp, err := http.Post("http://"+p.ordersAddress+"/faults", "application/json", strings.NewReader(`{"delay_ms":700}`))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	first := make(chan error, 1)
	go func() {
		_, err := p.caller(0).Service(context.Background(), "orderdesk", http.MethodPost, "/reservations", "k", []byte(`{"item":"a"}`))
		first <- err
	}()
	waitUntil(t, "the other VM to know the claim", func() bool {
		_, err := p.caller(1).Booking(t.Context(), "orderdesk", "k")
		return fault.KindOf(err) == fault.OutcomeUnknown
	})
	p.vmProcesses[0].signal(t, syscall.SIGKILL)
	is.True(<-first != nil)
	_, err = p.caller(1).Service(t.Context(), "orderdesk", http.MethodPost, "/reservations", "k", []byte(`{"item":"a"}`))
	is.Equal(fault.KindOf(err), fault.OutcomeUnknown)
	time.Sleep(time.Second)
	a, err := p.caller(1).Service(t.Context(), "orderdesk", http.MethodGet, "/bookings", "", nil)
	is.NoErr(err)
	is.True(strings.Count(string(a.Body), `"item"`) <= 1)
}

// TestPromisePlannedStopCutsNothing guards against requests that fail because
// of a graceful shutdown. It stops one of two VMs under load, while the callers
// use the VMs that report ready, as with a polling load balancer.
func TestPromisePlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newFleetFixture(t, "1s")
	b := newBalancer(t, p)
	var wg sync.WaitGroup
	var failed atomic.Value
	var served atomic.Int64
	end := time.Now().Add(4 * time.Second)
	for i := range 8 {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if err := b.request(i, n); err != nil {
					failed.Store(err.Error())
				}
				served.Add(1)
			}
		})
	}
	long := make(chan error, 1)
	go func() {
		const n = 150
		d, err := p.caller(0).Complete(context.Background(), "textdesk", "long", n, func(string) {})
		if err == nil && d.Text != fullAnswer("long", n) {
			err = fmt.Errorf("got %q", d.Text)
		}
		long <- err
	}()
	time.Sleep(500 * time.Millisecond)
	p.vmProcesses[0].signal(t, syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	// The VM still serves requests that the balancer sends after the signal.
	_, err := p.caller(0).Complete(t.Context(), "textdesk", "late", 2, nil)
	is.NoErr(err)
	resp, err := http.Get("http://" + p.callerAddresses[0] + "/healthz")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.True(resp.Close) // the answer has "Connection: close"
	is.NoErr(<-long)
	is.Equal(p.vmProcesses[0].wait(t), 0)
	wg.Wait()
	is.Equal(failed.Load(), nil)
	is.True(served.Load() > 50)
	is.True(strings.Contains(p.vmProcesses[0].stderr.String(), `"cut":"0"`))
}

// balancer distributes requests over the VMs that report ready, which it polls.
type balancer struct {
	p     *fleetFixture
	ready [2]atomic.Bool
	// clients keep their connections open. Each caller has one for each VM.
	clients [8][2]*caller.Client
}

func newBalancer(t *testing.T, p *fleetFixture) *balancer {
	b := &balancer{p: p}
	for i := range b.clients {
		b.clients[i] = [2]*caller.Client{p.caller(0), p.caller(1)}
	}
	pollReady := func() {
		for i := range b.ready {
			resp, err := http.Get("http://" + p.callerAddresses[i] + "/readyz")
			b.ready[i].Store(err == nil && resp.StatusCode == http.StatusOK)
			if err == nil {
				_ = resp.Body.Close()
			}
		}
	}
	pollReady()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			pollReady()
			time.Sleep(200 * time.Millisecond)
		}
	}()
	return b
}

// request sends the nth request of caller i: a booking or a completion request,
// whose text is checked.
func (b *balancer) request(i, n int) error {
	vm := (i + n) % 2
	if !b.ready[vm].Load() {
		vm = 1 - vm
	}
	c := b.clients[i][vm]
	if n%3 == 0 {
		_, err := c.Service(context.Background(), "orderdesk", http.MethodPost, "/reservations", fmt.Sprint("k", i, "-", n), []byte(`{"item":"a"}`))
		return err
	}
	d, err := c.Complete(context.Background(), "textdesk", "short", 5, func(string) {})
	if err == nil && d.Text != fullAnswer("short", 5) {
		err = fmt.Errorf("got %q", d.Text)
	}
	return err
}

// TestSecondSignalStopsImmediately guards against a second signal that does not force
// the stop. Open requests must be cut, and the stop event must count them.
func TestSecondSignalStopsImmediately(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newFleetFixture(t, "10s")
	cut := make(chan error, 1)
	started := make(chan struct{})
	var once sync.Once
	go func() {
		_, err := p.caller(0).Complete(context.Background(), "textdesk", "long", 500, func(string) { once.Do(func() { close(started) }) })
		cut <- err
	}()
	<-started
	p.vmProcesses[0].signal(t, syscall.SIGTERM)
	waitUntil(t, "the shutdown to begin", func() bool { return strings.Contains(p.vmProcesses[0].stderr.String(), "stop_requested") })
	p.vmProcesses[0].signal(t, syscall.SIGTERM)
	is.Equal(p.vmProcesses[0].wait(t), 0)
	is.True(<-cut != nil)
	is.True(strings.Contains(p.vmProcesses[0].stderr.String(), `"cut":"1"`))
}
