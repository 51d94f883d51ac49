// Package daemon wires the packages of an entry VM into one process: it makes
// the parts, opens the listeners, and stops everything in order.
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
	"toucanfall/dialect"
	"toucanfall/draft"
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

// timelineSize is the number of events that a VM keeps.
const timelineSize = 8192

// Daemon is one entry VM.
type Daemon struct {
	cfg         *settings.Process
	rec         *timeline.Recorder
	incarnation fleet.Incarnation
	leaving     atomic.Bool
	sockets     Sockets
	transports  []*http.Transport

	follower  *ledger.Follower
	snapshots *ledger.SnapshotWriter
	relay     *relay
	keyring   *keyring.Keyring
	links     *peer.Client
	peers     *peer.Server
	members   *membership.Membership
	contact   *membership.CutOffDetector
	history   operator.History
	spread    *keyring.Replicator
	pool      *upstream.Pool
	booker    *booking.Booker
	entry     *entry.Server
	rates     *rates
	placer    *placement.Placer
	demand    *placement.Meter
	asked     *placement.DataCentreDemand

	callers   *http.Server
	operators *http.Server
}

// New makes the parts of a VM and starts to follow the log, the VM list and
// the upstreams. Run opens the listeners.
func New(cfg *settings.Process, sockets Sockets, logger *logrus.Logger) (*Daemon, error) {
	d := &Daemon{
		cfg:         cfg,
		rec:         timeline.New(string(cfg.VM), timelineSize, logger),
		incarnation: fleet.Incarnation(time.Now().UnixMilli()),
		sockets:     sockets,
		demand:      placement.NewMeter(),
	}
	d.peers = peer.NewServer(guard.NewPanicReporter(d.rec, func(string) {}).Report)
	state := ledger.NewState()
	rt := d.newTransport()
	if err := d.newFleet(state, rt); err != nil {
		return nil, err
	}
	// Reports come over connections of their own, so that a lost connection of
	// a draft does not hide that its engine is alive.
	d.pool = upstream.NewPool(cfg.DataCentre, d.members, dialect.NewEngines(d.newTransport()))
	d.newEntry(state, dialect.NewEngines(timeline.StampRequests(rt, d.rec)))
	d.newOperators(state)
	d.newPlacer(state)
	return d, d.registerServices()
}

// newFleet makes what VMs share: the ordered state, the keys, the members and
// the rates. Each part starts to work as soon as it is made, so none is made
// before what it calls.
func (d *Daemon) newFleet(state *ledger.State, rt http.RoundTripper) error {
	links, err := d.newLinks()
	if err != nil {
		return err
	}
	d.links = links
	cutOff := func() bool { return d.contact.CutOff() }
	d.keyring = keyring.New(state, d.rec, keyring.RejectWhenCutOff(d.cfg.DataCentre, cutOff, state.Setting))
	log := dialect.NewLog(d.cfg.Platform.Log, rt)
	d.newLog(log, state)
	d.contact = membership.NewCutOffDetector(d.follower.LastRead, d.rec)
	if d.rates, err = d.newRates(log); err != nil {
		return err
	}
	list := dialect.NewVMList(d.cfg.Platform.VMList, rt)
	d.members = membership.New(d.cfg.VM, list, d, d.beat, d.rec, d.contact.Observe, d.rates.heard)
	d.rates.start()
	d.spread = keyring.NewReplicator(d.cfg.VM, d.keyring, keyPeers{d}, keyLog{follower: d.follower, loaded: d.stateLoaded}, d.rec)
	return nil
}

// registerServices offers peers what they may call.
func (d *Daemon) registerServices() error {
	for _, s := range []struct {
		name    string
		service any
	}{
		{"Peer", &peerService{daemon: d}},
		{"Placement", &demandService{meter: d.demand}},
		{"Keys", &keyService{daemon: d}},
	} {
		if err := d.peers.Register(s.name, s.service); err != nil {
			return fmt.Errorf("register service %s: %w", s.name, err)
		}
	}
	return d.newRelay()
}

func (d *Daemon) newEntry(state *ledger.State, engines *dialect.Engines) {
	d.booker = booking.New(d.cfg.VM, d.pool, booking.NewClient(d.newTransport(), d.rec), d.follower, state.Bookings, d.rec)
	d.entry = entry.New(entry.Config{
		DataCentre: d.cfg.DataCentre,
		State:      state,
		Keyring:    d.keyring,
		Drafter:    meteredDrafter{drafter: draft.New(d.pool, engines, d.rec), demand: d.demand},
		Booker:     d.booker,
		Limiter:    d.rates,
		Queue:      newQueues(d.cfg.DataCentre, state.Setting),
		Recorder:   d.rec,
		Ready:      d.ready,
		Draining:   d.leaving.Load,
	})
	d.callers = httpx.NewServer(d.entry.Handler())
}

func (d *Daemon) newOperators(state *ledger.State) {
	queries := &operator.Queries{
		State:     state,
		Self:      d.beat,
		Members:   d.members,
		Upstreams: d.pool,
		Timelines: d,

		Withdrawals: d.spread,
		Withdrawn:   d.keyring.Withdrawn,
		History:     &d.history,
	}
	s := operator.New(d.cfg.FirstOperator, state, operator.NewCommands(d.follower, d.spread, d.rec), queries)
	d.operators = httpx.NewServer(s.Handler())
}

// stateLoaded reports whether the VM has the ordered state.
func (d *Daemon) stateLoaded() bool {
	return d.follower.Ready()
}

// ready returns a fault until the VM has the ordered state and the withdrawals
// that are in force.
func (d *Daemon) ready() error {
	if !d.stateLoaded() {
		return fault.New(fault.NotReady, "the VM has not read the state yet")
	}
	if !d.keyring.Loaded() {
		return fault.New(fault.NotReady, "the VM has not asked its peers for withdrawn keys yet")
	}
	if !d.rates.settled() {
		return fault.New(fault.NotReady, "the VM does not mint rate yet")
	}
	return nil
}

func (d *Daemon) beat() membership.Beat {
	return membership.Beat{
		VM:           d.cfg.VM,
		DataCentre:   d.cfg.DataCentre,
		Incarnation:  d.incarnation,
		Applied:      d.follower.State.Applied(),
		LogReachable: d.follower.Reachable(),
		CutOff:       d.contact.CutOff(),
		Leaving:      d.leaving.Load(),
		Withdrawals:  d.keyring.Digest(),
		Levels:       d.rates.minter.Digest(time.Now()),
		At:           d.rec.Clock.Now(),
	}
}

// Run serves until a signal or an error, and stops in order.
func (d *Daemon) Run(signals <-chan os.Signal) error {
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	d.rec.Record(event.ProcessStarted, timeline.Fields{"vm": string(d.cfg.VM), "callers": d.cfg.Callers.Address})
	var g run.Group
	d.addHTTP(&g, d.callers, listeners.callers)
	d.addHTTP(&g, d.operators, listeners.operators)
	g.Add(
		func() error { return d.peers.Serve(listeners.peers) },
		func(error) { _ = listeners.peers.Close() },
	)
	d.addReadyEvent(&g)
	stop := make(chan struct{})
	g.Add(
		func() error { return d.awaitStop(signals, stop) },
		func(error) { close(stop) },
	)
	err = g.Run()
	d.close()
	return err
}

type listeners struct {
	callers, operators, peers net.Listener
}

func (d *Daemon) listen() (listeners, error) {
	var ls listeners
	for _, l := range []struct {
		into *net.Listener
		cfg  settings.Listener
	}{
		{&ls.callers, d.cfg.Callers},
		{&ls.operators, d.cfg.Operators},
		{&ls.peers, d.cfg.Peers},
	} {
		opened, err := d.openListener(l.cfg)
		if err != nil {
			return ls, err
		}
		*l.into = opened
	}
	return ls, nil
}

// addHTTP adds a server to the group. Serve returns as soon as a shutdown
// begins, while requests are still open; the actor stays until the group ends,
// since its return would end all others.
func (d *Daemon) addHTTP(g *run.Group, s *http.Server, l net.Listener) {
	ended := make(chan struct{})
	g.Add(
		func() error {
			if err := s.Serve(l); err != http.ErrServerClosed {
				return err
			}
			<-ended
			return nil
		},
		func(error) {
			close(ended)
			_ = s.Close()
		},
	)
}

func (d *Daemon) close() {
	d.rates.close()
	d.placer.Close()
	d.asked.Close()
	d.booker.Close()
	d.pool.Close()
	d.spread.Close()
	d.members.Close()
	d.relay.Close()
	d.snapshots.Close()
	d.follower.Close()
	d.peers.Close()
	d.links.Close()
	for _, t := range d.transports {
		t.CloseIdleConnections()
	}
}
