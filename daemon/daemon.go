// Package daemon runs an entry VM as one process. It creates the components,
// opens the listeners for callers, operators and peers, and shuts everything
// down in order.
package daemon

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"toucanfall/booking"
	"toucanfall/completion"
	"toucanfall/dialect"
	"toucanfall/entry"
	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/guard"
	"toucanfall/internal/httpx"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/membership"
	"toucanfall/operator"
	"toucanfall/peer"
	"toucanfall/placement"
	"toucanfall/settings"
	"toucanfall/timeline"
	"toucanfall/upstream"
)

// timelineSize is the number of events that a VM keeps in its timeline.
const timelineSize = 8192

// Daemon is the process of one entry VM.
type Daemon struct {
	cfg         *settings.Process
	rec         *timeline.Recorder
	incarnation fleet.Incarnation
	draining    atomic.Bool
	sockets     Sockets
	transports  []*http.Transport

	follower         *ledger.Follower
	snapshots        *ledger.SnapshotWriter
	relay            *relay
	keyring          *keyring.Keyring
	peerClient       *peer.Client
	peers            *peer.Server
	members          *membership.Membership
	cutOffDetector   *membership.CutOffDetector
	history          operator.History
	replicator       *keyring.Replicator
	pool             *upstream.Pool
	booker           *booking.Booker
	entry            *entry.Server
	rates            *rates
	placer           *placement.Placer
	demandMeter      *placement.Meter
	dataCentreDemand *placement.DataCentreDemand

	callers   *http.Server
	operators *http.Server
}

// New creates the components of a VM and starts the goroutines that follow the
// log, the VM list and the upstreams. It opens no listeners; Run does. It fails
// if certificates cannot be loaded or an RPC service cannot be registered.
func New(cfg *settings.Process, sockets Sockets, logger *logrus.Logger) (*Daemon, error) {
	d := &Daemon{
		cfg:         cfg,
		rec:         timeline.New(string(cfg.VM), timelineSize, logger),
		incarnation: fleet.Incarnation(time.Now().UnixMilli()),
		sockets:     sockets,
		demandMeter: placement.NewMeter(),
	}
	d.peers = peer.NewServer(guard.NewPanicReporter(d.rec, func(string) {}).Report)
	state := ledger.NewState()
	rt := d.newTransport()
	if err := d.newFleet(state, rt); err != nil {
		return nil, err
	}
	// Engine reports use separate connections, so that an engine whose
	// completion connection is lost still appears alive.
	d.pool = upstream.NewPool(cfg.DataCentre, d.members, dialect.NewEngines(d.newTransport()))
	d.newEntry(state, dialect.NewEngines(timeline.StampRequests(rt, d.rec)))
	d.newOperators(state)
	d.newPlacer(state)
	return d, d.registerServices()
}

// newFleet creates the components for state that VMs share: the log follower,
// the keyring, the membership and the rates. A component starts its goroutines
// when it is created, so each is created after those that it calls.
func (d *Daemon) newFleet(state *ledger.State, rt http.RoundTripper) error {
	client, err := d.newPeerClient()
	if err != nil {
		return err
	}
	d.peerClient = client
	cutOff := func() bool { return d.cutOffDetector.CutOff() }
	d.keyring = keyring.New(state, d.rec, keyring.RejectWhenCutOff(d.cfg.DataCentre, cutOff, state.Setting))
	log := dialect.NewLog(d.cfg.Platform.Log, rt)
	d.newLog(log, state)
	d.cutOffDetector = membership.NewCutOffDetector(d.follower.LastRead, d.rec)
	if d.rates, err = d.newRates(log); err != nil {
		return err
	}
	list := dialect.NewVMList(d.cfg.Platform.VMList, rt)
	d.members = membership.New(d.cfg.VM, list, d, d.heartbeat, d.rec, d.cutOffDetector.Observe, d.rates.receiveLevels)
	d.rates.start()
	d.replicator = keyring.NewReplicator(d.cfg.VM, d.keyring, keyPeers{d}, keyLog{follower: d.follower, loaded: d.stateLoaded}, d.rec)
	return nil
}

// registerServices registers the RPC services that peers may call.
func (d *Daemon) registerServices() error {
	for _, s := range []struct {
		name    string
		service any
	}{
		{"Peer", &peerService{daemon: d}},
		{"Placement", &demandService{meter: d.demandMeter}},
		{"Keys", &keyService{daemon: d}},
	} {
		if err := d.peers.Register(s.name, s.service); err != nil {
			return fmt.Errorf("register service %s: %w", s.name, err)
		}
	}
	return d.newRelay()
}

// newEntry creates the booker and the callers' HTTP server.
func (d *Daemon) newEntry(state *ledger.State, engines *dialect.Engines) {
	d.booker = booking.New(d.cfg.VM, d.pool, booking.NewClient(d.newTransport(), d.rec), d.follower, state.Bookings, d.rec)
	d.entry = entry.New(entry.Config{
		DataCentre: d.cfg.DataCentre,
		State:      state,
		Keyring:    d.keyring,
		Completer:  meteredClient{client: completion.New(d.pool, engines, d.rec), meter: d.demandMeter},
		Booker:     d.booker,
		Limiter:    d.rates,
		Queue:      newQueues(d.cfg.DataCentre, state.Setting),
		Recorder:   d.rec,
		Ready:      d.ready,
		Draining:   d.draining.Load,
	})
	d.callers = httpx.NewServer(d.entry.Handler())
}

// newOperators creates the operators' HTTP server.
func (d *Daemon) newOperators(state *ledger.State) {
	queries := &operator.Queries{
		State:     state,
		Self:      d.heartbeat,
		Members:   d.members,
		Upstreams: d.pool,
		Timelines: d,

		Withdrawals: d.replicator,
		Withdrawn:   d.keyring.Withdrawn,
		History:     &d.history,
	}
	s := operator.New(d.cfg.FirstOperator, state, operator.NewCommands(d.follower, d.replicator, d.rec), queries)
	d.operators = httpx.NewServer(s.Handler())
}

// stateLoaded reports whether the VM has loaded the replicated state.
func (d *Daemon) stateLoaded() bool {
	return d.follower.Ready()
}

// ready returns a NotReady fault until the VM has loaded the replicated state
// and its peers' key withdrawals, and can admit requests under the rate limits.
func (d *Daemon) ready() error {
	if !d.stateLoaded() {
		return fault.New(fault.NotReady, "the VM has not read the state yet")
	}
	if !d.keyring.Loaded() {
		return fault.New(fault.NotReady, "the VM has not asked its peers for withdrawn keys yet")
	}
	if !d.rates.shareReady() {
		return fault.New(fault.NotReady, "the VM does not mint rate yet")
	}
	return nil
}

// heartbeat returns the heartbeat that this VM sends to its peers.
func (d *Daemon) heartbeat() membership.Beat {
	return membership.Beat{
		VM:           d.cfg.VM,
		DataCentre:   d.cfg.DataCentre,
		Incarnation:  d.incarnation,
		Applied:      d.follower.State.Applied(),
		LogReachable: d.follower.Reachable(),
		CutOff:       d.cutOffDetector.CutOff(),
		Leaving:      d.draining.Load(),
		Withdrawals:  d.keyring.Digest(),
		Levels:       d.rates.buckets.Digest(time.Now()),
		At:           d.rec.Clock.Now(),
	}
}

// Run opens the listeners and serves until a signal arrives or a server fails.
// It then closes all components and returns the error of the first server or
// shutdown step that failed.
func (d *Daemon) Run(signals <-chan os.Signal) error {
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	d.rec.Record(event.ProcessStarted, timeline.Fields{"vm": string(d.cfg.VM), "callers": d.cfg.Callers.Address})
	var g run.Group
	d.addHTTPServer(&g, d.callers, listeners.callers)
	d.addHTTPServer(&g, d.operators, listeners.operators)
	g.Add(
		func() error { return d.peers.Serve(listeners.peers) },
		func(error) { _ = listeners.peers.Close() },
	)
	d.addReadyEvent(&g)
	stop := make(chan struct{})
	g.Add(
		func() error { return d.waitForStop(signals, stop) },
		func(error) { close(stop) },
	)
	err = g.Run()
	d.close()
	return err
}

// listeners are the open listeners of a VM.
type listeners struct {
	callers, operators, peers net.Listener
}

// listen opens all listeners and stops at the first that fails.
func (d *Daemon) listen() (listeners, error) {
	var ls listeners
	for _, l := range []struct {
		dst *net.Listener
		cfg settings.Listener
	}{
		{&ls.callers, d.cfg.Callers},
		{&ls.operators, d.cfg.Operators},
		{&ls.peers, d.cfg.Peers},
	} {
		opened, err := d.openListener(l.cfg)
		if err != nil {
			return ls, err
		}
		*l.dst = opened
	}
	return ls, nil
}

// addHTTPServer adds a server to the group. Serve returns as soon as a shutdown
// begins, while requests are still open. The actor then waits until the group
// is interrupted, because its return would interrupt all other actors.
func (d *Daemon) addHTTPServer(g *run.Group, s *http.Server, l net.Listener) {
	groupEnded := make(chan struct{})
	g.Add(
		func() error {
			if err := s.Serve(l); err != http.ErrServerClosed {
				return err
			}
			<-groupEnded
			return nil
		},
		func(error) {
			close(groupEnded)
			_ = s.Close()
		},
	)
}

// close stops the components, each before those that it calls.
func (d *Daemon) close() {
	d.rates.close()
	d.placer.Close()
	d.dataCentreDemand.Close()
	d.booker.Close()
	d.pool.Close()
	d.replicator.Close()
	d.members.Close()
	d.relay.Close()
	d.snapshots.Close()
	d.follower.Close()
	d.peers.Close()
	d.peerClient.Close()
	for _, t := range d.transports {
		t.CloseIdleConnections()
	}
}
