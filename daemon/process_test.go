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

// binaries is the directory of the commands under test.
var binaries string

// patience bounds every wait of these tests.
const patience = 20 * time.Second

func TestMain(m *testing.M) {
	os.Exit(built.BuildAndRun(m, &binaries, "toucand", "toucanfake"))
}

const secret = fleet.Secret("sk-quotes-0123456789")

// process is a started command.
type process struct {
	cmd    *exec.Cmd
	stderr *lockedBuffer
	done   chan struct{}
}

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

// wait returns the exit code.
func (p *process) wait(t *testing.T) int {
	select {
	case <-p.done:
	case <-time.After(patience):
		t.Fatalf("%s does not end", p.cmd.Path)
	}
	return p.cmd.ProcessState.ExitCode()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := ports.FreeAddress("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// plant is a small fleet in one data centre.
type plant struct {
	engines []*process
	// holes stand between the VMs and the engines.
	holes   []*hole
	service *process
	orders  string
	vms     []*process
	callers []string
	// operators are the addresses of the operators' listeners.
	operators []string
	log       string
	stopFor   string
}

// newPlant starts stand-ins and VMs. The stop of a VM goes on serving for
// stopAfter.
func newPlant(t *testing.T, stopAfter string) *plant {
	is.New(t).NoErr(built.TrackSources(".."))
	p := &plant{stopFor: stopAfter}
	log, list := freeAddress(t), freeAddress(t)
	p.log = log
	var vms []fleet.VM
	for _, id := range []string{"e1", "e2"} {
		address := freeAddress(t)
		p.engines = append(p.engines, start(t, "toucanfake", "--name", id, "--kind", "engine", "--listen", address, "--resident", "m", "--token-time", "20ms"))
		h := newHole(t, address)
		p.holes = append(p.holes, h)
		vms = append(vms, fleet.VM{ID: fleet.VMID(id), Role: fleet.RoleModelEngine, DataCentre: "at-1", Address: h.address(), State: fleet.VMLive})
	}
	p.orders = freeAddress(t)
	p.service = start(t, "toucanfake", "--name", "orders", "--kind", "service", "--listen", p.orders)
	vms = append(vms, fleet.VM{ID: "orders", Role: fleet.RoleService, Service: "orderdesk", DataCentre: "at-1", Address: p.orders, State: fleet.VMLive})
	configs := p.configs(t, log, list, &vms)
	file := filepath.Join(t.TempDir(), "vms.json")
	b, err := json.Marshal(dialect.VMListResponse{VMs: vms})
	is.New(t).NoErr(err)
	is.New(t).NoErr(os.WriteFile(file, b, 0o600))
	start(t, "toucanfake", "--name", "log", "--kind", "log", "--listen", log)
	start(t, "toucanfake", "--name", "list", "--kind", "vm_list", "--listen", list, "--vms", file)
	configure(t, log)
	for _, cfg := range configs {
		p.vms = append(p.vms, start(t, "toucand", "--settings", cfg))
	}
	p.awaitReady(t)
	return p
}

// configs writes the settings of two VMs and lists them.
func (p *plant) configs(t *testing.T, log, list string, vms *[]fleet.VM) []string {
	var files []string
	for _, id := range []string{"v1", "v2"} {
		callers, operators, peers := freeAddress(t), freeAddress(t), freeAddress(t)
		p.callers = append(p.callers, callers)
		p.operators = append(p.operators, operators)
		*vms = append(*vms, fleet.VM{ID: fleet.VMID(id), Role: fleet.RoleEntry, DataCentre: "at-1", Address: peers, State: fleet.VMLive})
		cfg := fmt.Sprintf(`{"vm":%q,"data_centre":"at-1","data_centres":["at-1"],"callers":{"address":%q},"operators":{"address":%q},"peers":{"address":%q},`+
			`"platform":{"log":"http://%s","vm_list":"http://%s","weight_store":"http://%s"},"first_operator":"%x","stop_after":%q}`,
			id, callers, operators, peers, log, list, list, fleet.Secret("op").Hash(), p.stopFor)
		file := filepath.Join(t.TempDir(), id+".json")
		is.New(t).NoErr(os.WriteFile(file, []byte(cfg), 0o600))
		files = append(files, file)
	}
	return files
}

func configure(t *testing.T, address string) {
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
		until(t, "the log takes records", func() bool {
			_, err := log.Append(t.Context(), [][]byte{b})
			return err == nil
		})
	}
}

func until(t *testing.T, what string, ok func() bool) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("it never came to pass that %s", what)
}

func (p *plant) awaitReady(t *testing.T) {
	for i := range p.vms {
		until(t, "a VM serves", func() bool {
			if _, err := p.caller(i).Complete(t.Context(), "textdesk", "x", 1, nil); err != nil {
				return false
			}
			_, err := p.caller(i).Service(t.Context(), "orderdesk", http.MethodGet, "/prices", "", nil)
			return err == nil
		})
	}
}

func (p *plant) caller(i int) *caller.Client {
	return caller.New("http://"+p.callers[i], secret, &http.Transport{})
}

// hole passes bytes between a VM and an engine until its open connections are
// frozen; new ones work.
type hole struct {
	l      net.Listener
	target string
	// epoch counts freezes; a connection of an older one passes nothing.
	epoch atomic.Int64
}

func newHole(t *testing.T, target string) *hole {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	h := &hole{l: l, target: target}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(conn)
		}
	}()
	return h
}

func (h *hole) address() string { return h.l.Addr().String() }

func (h *hole) serve(down net.Conn) {
	defer func() { _ = down.Close() }()
	up, err := net.Dial("tcp", h.target)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	epoch := h.epoch.Load()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{up, down}, {down, up}} {
		go func() {
			_, _ = io.Copy(&gate{h: h, epoch: epoch, w: pair[0]}, pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// gate drops what comes after a freeze.
type gate struct {
	h     *hole
	epoch int64
	w     io.Writer
}

func (g *gate) Write(b []byte) (int, error) {
	if g.h.epoch.Load() != g.epoch {
		return len(b), nil
	}
	return g.w.Write(b)
}

func (h *hole) freeze() { h.epoch.Add(1) }

// whole returns the answer to a prompt.
func whole(prompt string, n int) string {
	g := dialect.GenerateRequest{MaxTokens: n, Messages: []dialect.Message{{Content: prompt}}}
	return strings.Join(standin.AnswerTokens(g), "")
}

// TestEngineLostInMidStream loses the engine of an open stream. The answer goes
// on from the exact position on the other one.
func TestEngineLostInMidStream(t *testing.T) {
	for _, tt := range []struct {
		name string
		lose func(t *testing.T, p *plant, i int)
	}{
		{"killed", func(t *testing.T, p *plant, i int) { p.engines[i].signal(t, syscall.SIGKILL) }},
		{"frozen", func(t *testing.T, p *plant, i int) { p.engines[i].signal(t, syscall.SIGSTOP) }},
		{"connections silent", func(_ *testing.T, p *plant, i int) { p.holes[i].freeze() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newPlant(t, "100ms")
			for i := range p.engines {
				// The stream may be on either engine; lose both in turn.
				d, err := draftAndLose(t, p, func() { tt.lose(t, p, i) })
				is.NoErr(err)
				is.Equal(d.Text, whole("ten fine sieves", streamTokens))
				if tt.name == "killed" {
					break
				}
				p.engines[i].signal(t, syscall.SIGCONT)
			}
		})
	}
}

// streamTokens is the length of a stream that loses its engine.
const streamTokens = 60

// draftAndLose streams a draft and calls lose in the middle of it.
func draftAndLose(t *testing.T, p *plant, lose func()) (caller.Completion, error) {
	n := 0
	return p.caller(0).Complete(t.Context(), "textdesk", "ten fine sieves", streamTokens, func(string) {
		n++
		if n == streamTokens/3 {
			lose()
		}
	})
}

// TestVMKilledInBooking kills a VM while the service works on its booking. A
// repeat on the other VM never runs it again and says so.
func TestVMKilledInBooking(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newPlant(t, "100ms")
	resp, err := http.Post("http://"+p.orders+"/faults", "application/json", strings.NewReader(`{"delay_ms":700}`))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	first := make(chan error, 1)
	go func() {
		_, err := p.caller(0).Service(context.Background(), "orderdesk", http.MethodPost, "/reservations", "k", []byte(`{"item":"a"}`))
		first <- err
	}()
	until(t, "the other VM knows the claim", func() bool {
		_, err := p.caller(1).Booking(t.Context(), "orderdesk", "k")
		return fault.KindOf(err) == fault.OutcomeUnknown
	})
	p.vms[0].signal(t, syscall.SIGKILL)
	is.True(<-first != nil)
	_, err = p.caller(1).Service(t.Context(), "orderdesk", http.MethodPost, "/reservations", "k", []byte(`{"item":"a"}`))
	is.Equal(fault.KindOf(err), fault.OutcomeUnknown)
	time.Sleep(time.Second)
	a, err := p.caller(1).Service(t.Context(), "orderdesk", http.MethodGet, "/bookings", "", nil)
	is.NoErr(err)
	is.True(strings.Count(string(a.Body), `"item"`) <= 1)
}

// TestPromisePlannedStopCutsNothing stops one VM of two under load. Callers are
// spread over the VMs that say they are ready, as by a balancer that asks now
// and then.
func TestPromisePlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newPlant(t, "1s")
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
		if err == nil && d.Text != whole("long", n) {
			err = fmt.Errorf("got %q", d.Text)
		}
		long <- err
	}()
	time.Sleep(500 * time.Millisecond)
	p.vms[0].signal(t, syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	// A call that the balancer still sends here is served.
	_, err := p.caller(0).Complete(t.Context(), "textdesk", "late", 2, nil)
	is.NoErr(err)
	resp, err := http.Get("http://" + p.callers[0] + "/healthz")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.True(resp.Close) // the connection closes after its answer
	is.NoErr(<-long)
	is.Equal(p.vms[0].wait(t), 0)
	wg.Wait()
	is.Equal(failed.Load(), nil)
	is.True(served.Load() > 50)
	is.True(strings.Contains(p.vms[0].stderr.String(), `"cut":"0"`))
}

// balancer spreads callers over the VMs that are ready.
type balancer struct {
	p     *plant
	ready [2]atomic.Bool
	// clients keep their connections, two for each caller.
	clients [8][2]*caller.Client
}

func newBalancer(t *testing.T, p *plant) *balancer {
	b := &balancer{p: p}
	for i := range b.clients {
		b.clients[i] = [2]*caller.Client{p.caller(0), p.caller(1)}
	}
	ask := func() {
		for i := range b.ready {
			resp, err := http.Get("http://" + p.callers[i] + "/readyz")
			b.ready[i].Store(err == nil && resp.StatusCode == http.StatusOK)
			if err == nil {
				_ = resp.Body.Close()
			}
		}
	}
	ask()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			ask()
			time.Sleep(200 * time.Millisecond)
		}
	}()
	return b
}

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
	if err == nil && d.Text != whole("short", 5) {
		err = fmt.Errorf("got %q", d.Text)
	}
	return err
}

// TestSecondSignalEndsAtOnce cuts what is open and says how many.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newPlant(t, "10s")
	cut := make(chan error, 1)
	begun := make(chan struct{})
	var once sync.Once
	go func() {
		_, err := p.caller(0).Complete(context.Background(), "textdesk", "long", 500, func(string) { once.Do(func() { close(begun) }) })
		cut <- err
	}()
	<-begun
	p.vms[0].signal(t, syscall.SIGTERM)
	until(t, "the stop began", func() bool { return strings.Contains(p.vms[0].stderr.String(), "stop_requested") })
	p.vms[0].signal(t, syscall.SIGTERM)
	is.Equal(p.vms[0].wait(t), 0)
	is.True(<-cut != nil)
	is.True(strings.Contains(p.vms[0].stderr.String(), `"cut":"1"`))
}
