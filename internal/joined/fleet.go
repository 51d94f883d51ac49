// Package joined runs a complete fleet in one process: the real daemons, the simulated
// platform and upstreams, and an in-memory network between them. Tests run it under the
// virtual clock of testing/synctest, inject random faults in every part while callers and
// operators send requests, and check the system's guarantees over all parts.
package joined

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"toucanfall/caller"
	"toucanfall/control"
	"toucanfall/daemon"
	"toucanfall/fleet"
	"toucanfall/ledger"
	"toucanfall/settings"
	"toucanfall/standin"
	"toucanfall/timeline"
)

// Network nodes other than VMs.
const (
	nodePlatform = "platform"
	nodeCallers  = "callers"
)

// Sizes and times of the simulated upstreams; memory is in bytes.
const (
	enginesPerDataCentre = 2
	engineCapacity       = 80
	modelSize            = 30
	timelineSize         = 256
	tokenTime            = 5 * time.Millisecond
	loadTime             = 200 * time.Millisecond
	// closeDelay exceeds every timeout of a daemon, so that goroutines that wait for
	// one have ended.
	closeDelay = 2 * time.Minute
)

// Rate limit of [Team], in tokens per second and tokens.
const (
	TeamRate  = 20.0
	TeamBurst = 400.0
)

// Ids of the entities that [Fleet.Configure] creates.
const (
	Team            fleet.TeamID  = "quotes"
	OtherTeam       fleet.TeamID  = "depot"
	Model           fleet.ModelID = "quotes-7b"
	CompletionRoute fleet.RouteID = "textdesk"
	OrdersRoute     fleet.RouteID = "orderdesk"
)

// vm is one entry VM. Its process is nil while it does not run.
type vm struct {
	id      fleet.VMID
	dc      fleet.DataCentre
	number  int
	process *process
}

// process is one run of a daemon.
type process struct {
	signals chan os.Signal
	done    chan struct{}
	sockets *sockets
}

// sockets gives one run of a daemon access to the network until it is killed.
type sockets struct {
	network *standin.Network
	node    string

	mu     sync.Mutex // guards killed
	killed bool
}

// Listen opens a listener on the VM.
func (s *sockets) Listen(address string) (net.Listener, error) {
	return s.network.Listen(s.node, address)
}

// Dial opens a connection from the VM. It fails after the process was killed.
func (s *sockets) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	s.mu.Lock()
	killed := s.killed
	s.mu.Unlock()
	if killed {
		return nil, fmt.Errorf("the process of %s was killed", s.node)
	}
	return s.network.Dial(ctx, s.node, address)
}

func (s *sockets) kill() {
	s.mu.Lock()
	s.killed = true
	s.mu.Unlock()
	s.network.Kill(s.node)
}

// Fleet is a running fleet.
type Fleet struct {
	Network  *standin.Network
	Log      *standin.Log
	Faults   *standin.Faults
	List     *standin.VMList
	Engines  []*standin.Engine
	Services []*standin.Service

	credential fleet.Secret
	logger     *logrus.Logger
	vms        []*vm
	servers    []*http.Server
	transports []*http.Transport
}

// New starts the platform, the upstreams, and perDataCentre entry VMs in each data
// centre. The caller must call Close.
func New(dataCentres []fleet.DataCentre, perDataCentre int) (*Fleet, error) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f := &Fleet{
		Network:    standin.NewNetwork(),
		Log:        standin.NewLog(),
		List:       standin.NewVMList(),
		credential: fleet.NewSecret(),
		logger:     logger,
	}
	f.Faults = standin.NewFaults(f.Log)
	if err := f.startPlatform(); err != nil {
		return nil, err
	}
	for _, dc := range dataCentres {
		if err := f.startUpstreams(dc); err != nil {
			return nil, err
		}
		for range perDataCentre {
			f.addVM(dc)
		}
	}
	for i := range f.vms {
		if err := f.Start(i, dataCentres); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Addresses of the platform's services.
const (
	addressLog     = "10.0.0.1:80"
	addressList    = "10.0.0.2:80"
	addressWeights = "10.0.0.3:80"
)

func (f *Fleet) startPlatform() error {
	if err := f.serve(nodePlatform, addressLog, f.Faults); err != nil {
		return err
	}
	if err := f.serve(nodePlatform, addressList, f.List); err != nil {
		return err
	}
	return f.serve(nodePlatform, addressWeights, standin.NewWeightStore())
}

func (f *Fleet) startUpstreams(dc fleet.DataCentre) error {
	for range enginesPerDataCentre {
		n := len(f.Engines)
		id := fleet.VMID(fmt.Sprintf("engine-%d", n))
		e := standin.NewEngine(standin.EngineConfig{
			Capacity:  engineCapacity,
			Slots:     8,
			TokenTime: tokenTime,
			LoadTime:  loadTime,
			Fenced:    n%2 == 0,
		}, f.recorder(string(id)))
		f.Engines = append(f.Engines, e)
		address := fmt.Sprintf("10.1.0.%d:80", n+1)
		f.List.Put(fleet.VM{ID: id, Role: fleet.RoleModelEngine, DataCentre: dc, Address: address, State: fleet.VMLive})
		if err := f.serve(string(id), address, e); err != nil {
			return err
		}
	}
	n := len(f.Services)
	id := fleet.VMID(fmt.Sprintf("orders-%d", n))
	s := standin.NewService(f.recorder(string(id)))
	f.Services = append(f.Services, s)
	address := fmt.Sprintf("10.2.0.%d:80", n+1)
	f.List.Put(fleet.VM{ID: id, Role: fleet.RoleService, Service: "orders", DataCentre: dc, Address: address, State: fleet.VMLive})
	return f.serve(string(id), address, s)
}

func (f *Fleet) recorder(process string) *timeline.Recorder {
	return timeline.New(process, timelineSize, f.logger)
}

func (f *Fleet) serve(node, address string, h http.Handler) error {
	l, err := f.Network.Listen(node, address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

func (f *Fleet) addVM(dc fleet.DataCentre) {
	n := len(f.vms)
	v := &vm{id: fleet.VMID(fmt.Sprintf("entry-%d", n)), dc: dc, number: n}
	f.vms = append(f.vms, v)
	f.List.Put(fleet.VM{ID: v.id, Role: fleet.RoleEntry, DataCentre: dc, Address: v.address(portPeers), State: fleet.VMLive})
}

// Ports of a VM.
const (
	portCallers   = 80
	portOperators = 81
	portPeers     = 82
)

func (v *vm) address(port int) string {
	return fmt.Sprintf("10.3.0.%d:%d", v.number+1, port)
}

// VMs returns the number of entry VMs, including those that do not run.
func (f *Fleet) VMs() int {
	return len(f.vms)
}

// Site returns the name of a VM's network node.
func (f *Fleet) Site(i int) string {
	return string(f.vms[i].id)
}

// Running reports whether the process of a VM is running.
func (f *Fleet) Running(i int) bool {
	return f.vms[i].process != nil
}

// Start starts the process of a VM. It must not be running.
func (f *Fleet) Start(i int, dataCentres []fleet.DataCentre) error {
	v := f.vms[i]
	s := &sockets{network: f.Network, node: string(v.id)}
	cfg := &settings.Process{
		VM:            v.id,
		DataCentre:    v.dc,
		DataCentres:   dataCentres,
		Callers:       settings.Listener{Address: v.address(portCallers)},
		Operators:     settings.Listener{Address: v.address(portOperators)},
		Peers:         settings.Listener{Address: v.address(portPeers)},
		Platform:      settings.Platform{Log: "http://" + addressLog, VMList: "http://" + addressList, WeightStore: "http://" + addressWeights},
		FirstOperator: f.credential.Hash(),
		LogLevel:      "info",
		StopAfter:     settings.Span(time.Second),
	}
	d, err := daemon.New(cfg, s, f.logger)
	if err != nil {
		return err
	}
	p := &process{signals: make(chan os.Signal, 2), done: make(chan struct{}), sockets: s}
	v.process = p
	go func() {
		defer close(p.done)
		_ = d.Run(p.signals)
	}()
	return nil
}

// Kill stops the process of a VM without a graceful shutdown. It first cuts the process off
// from the network, so that nothing it does while it ends is visible outside.
func (f *Fleet) Kill(i int) {
	proc := f.vms[i].process
	if proc == nil {
		return
	}
	f.vms[i].process = nil
	proc.sockets.kill()
	proc.signals <- syscall.SIGTERM
	proc.signals <- syscall.SIGTERM
	<-proc.done
}

// Stop shuts the process of a VM down gracefully and waits for it.
func (f *Fleet) Stop(i int) {
	proc := f.vms[i].process
	if proc == nil {
		return
	}
	f.vms[i].process = nil
	proc.signals <- syscall.SIGTERM
	<-proc.done
}

// Close stops all processes and servers.
func (f *Fleet) Close() {
	for i := range f.vms {
		f.Kill(i)
	}
	for _, t := range f.transports {
		t.CloseIdleConnections()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	time.Sleep(closeDelay)
}

func (f *Fleet) transport() *http.Transport {
	t := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return f.Network.Dial(ctx, nodeCallers, address)
	}}
	f.transports = append(f.transports, t)
	return t
}

// Caller returns a client of the callers' listener of a VM.
func (f *Fleet) Caller(i int, key fleet.Secret) *caller.Client {
	return caller.New("http://"+f.vms[i].address(portCallers), key, f.transport())
}

// Operator returns a client of the operators' listener of a VM.
func (f *Fleet) Operator(i int) *control.Client {
	return control.NewClientOver("http://"+f.vms[i].address(portOperators), f.credential, f.transport())
}

// Configure creates the teams with one key each, the model, the routes, and the rate limit of
// [Team]. key is the secret of [Team], other that of [OtherTeam].
func (f *Fleet) Configure(ctx context.Context, key, other fleet.Secret) error {
	op := f.Operator(0)
	for _, c := range []struct {
		kind ledger.Kind
		body any
	}{
		{ledger.KindTeam, &fleet.Team{ID: Team}},
		{ledger.KindTeam, &fleet.Team{ID: OtherTeam}},
		{ledger.KindKey, &fleet.Key{ID: "quotes-1", Team: Team, Hash: key.Hash()}},
		{ledger.KindKey, &fleet.Key{ID: "depot-1", Team: OtherTeam, Hash: other.Hash()}},
		{ledger.KindModel, &fleet.Model{ID: Model, Version: "v1", Size: modelSize}},
		{ledger.KindRoute, &fleet.Route{ID: CompletionRoute, Kind: fleet.RouteDraft, Teams: []fleet.TeamID{Team}, Model: Model}},
		{ledger.KindRoute, &fleet.Route{ID: OrdersRoute, Kind: fleet.RouteService, Teams: []fleet.TeamID{Team}, Service: "orders"}},
		{ledger.KindSetting, teamSetting(settings.RateTokensPerSecond, TeamRate)},
		{ledger.KindSetting, teamSetting(settings.BurstTokens, TeamBurst)},
	} {
		if _, err := op.Command(ctx, c.kind, 0, c.body); err != nil {
			return fmt.Errorf("create %s: %w", c.kind, err)
		}
	}
	return nil
}

func teamSetting(name settings.Name, value float64) *settings.Put {
	return &settings.Put{
		Path:  settings.Path{Level: "team/" + settings.Level(Team), Name: name},
		Value: settings.Value{RawMessage: fmt.Appendf(nil, "%g", value)},
	}
}
