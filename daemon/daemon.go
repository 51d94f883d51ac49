// Package daemon wires the packages of an entry VM into one process: it makes
// the parts, opens the listeners, and stops everything in order.
package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"toucanfall/booking"
	"toucanfall/draft"
	"toucanfall/entry"
	"toucanfall/event"
	"toucanfall/fault"
	"toucanfall/fleet"
	"toucanfall/internal/httpx"
	"toucanfall/keyring"
	"toucanfall/ledger"
	"toucanfall/membership"
	"toucanfall/operator"
	"toucanfall/peer"
	"toucanfall/placement"
	"toucanfall/platform"
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

	follower *ledger.Follower
	keyring  *keyring.Keyring
	links    *peer.Links
	peers    *peer.Server
	members  *membership.Membership
	contact  *membership.Contact
	spread   *keyring.Spread
	pool     *upstream.Pool
	booker   *booking.Booker
	placer   *placement.Placer
	demand   *placement.Meter
	entry    *entry.Server

	callers   *http.Server
	operators *http.Server
}

// New makes the parts of a VM and starts to follow the log, the VM list and
// the upstreams. Run opens the listeners.
func New(cfg *settings.Process, logger *logrus.Logger) (*Daemon, error) {
	d := &Daemon{
		cfg:         cfg,
		rec:         timeline.New(string(cfg.VM), timelineSize, logger),
		incarnation: fleet.Incarnation(time.Now().UnixMilli()),
		links:       peer.NewLinks(nil),
		peers:       peer.NewServer(),
		demand:      placement.NewMeter(),
	}
	rt := platform.NewTransport()
	state := ledger.NewState()
	d.keyring = keyring.New(state, d.rec, d.guardCutOff)
	d.follower = ledger.NewFollower(platform.NewLog(cfg.Platform.Log, rt), state, d.rec, d.heedWithdrawal)
	d.contact = membership.NewContact(d.follower.LastRead, d.rec)
	d.members = membership.New(cfg.VM, platform.NewVMList(cfg.Platform.VMList, rt), d, d.beat, d.rec, d.contact.Heard)
	d.spread = keyring.NewSpread(cfg.VM, d.keyring, keyPeers{d}, keyLog{follower: d.follower, loaded: d.stateLoaded}, d.rec)
	engines := platform.NewEngines(rt)
	// Reports come over connections of their own, so that a lost connection of
	// a draft does not hide that its engine is alive.
	d.pool = upstream.NewPool(cfg.DataCentre, d.members, platform.NewEngines(platform.NewTransport()))
	d.newEntry(state, engines)
	d.newOperators(state)
	d.newPlacer(state)
	if err := d.peers.Register("Peer", &peerService{daemon: d}); err != nil {
		return nil, fmt.Errorf("register the peer service: %w", err)
	}
	if err := d.peers.Register("Keys", &keyService{daemon: d}); err != nil {
		return nil, fmt.Errorf("register the key service: %w", err)
	}
	return d, nil
}

func (d *Daemon) newEntry(state *ledger.State, engines *platform.Engines) {
	d.booker = booking.New(d.cfg.VM, d.pool, booking.NewClient(), d.follower, state.Bookings, d.rec)
	d.entry = entry.New(entry.Config{
		DataCentre: d.cfg.DataCentre,
		State:      state,
		Keyring:    d.keyring,
		Drafter:    meteredDrafter{drafter: draft.New(d.pool, engines, d.rec), demand: d.demand},
		Booker:     d.booker,
		Limiter:    unlimited{},
		Queue:      unlimited{},
		Recorder:   d.rec,
		Ready:      d.ready,
		Leaving:    d.leaving.Load,
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
		into    *net.Listener
		address string
	}{
		{&ls.callers, d.cfg.Callers.Address},
		{&ls.operators, d.cfg.Operators.Address},
		{&ls.peers, d.cfg.Peers.Address},
	} {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			return ls, fmt.Errorf("open listener: %w", err)
		}
		*l.into = opened
	}
	return ls, nil
}

func (d *Daemon) addHTTP(g *run.Group, s *http.Server, l net.Listener) {
	g.Add(
		func() error {
			if err := s.Serve(l); err != http.ErrServerClosed {
				return err
			}
			return nil
		},
		func(error) { _ = s.Close() },
	)
}

// awaitStop waits for a signal and then lets open requests end. New requests
// are served until the balancer has had time to notice. A second signal ends
// the process at once.
func (d *Daemon) awaitStop(signals <-chan os.Signal, stop <-chan struct{}) error {
	select {
	case <-signals:
	case <-stop:
		return nil
	}
	d.leaving.Store(true)
	d.rec.Record(event.StopRequested, nil)
	drained := make(chan error, 1)
	go func() {
		time.Sleep(time.Duration(d.cfg.StopAfter))
		drained <- d.callers.Shutdown(context.Background())
	}()
	select {
	case err := <-drained:
		d.rec.Record(event.ProcessStopped, timeline.Fields{"cut": "0"})
		return err
	case <-signals:
		d.rec.Record(event.StopForced, timeline.Fields{"cut": fmt.Sprint(d.entry.InFlight())})
		return nil
	}
}

func (d *Daemon) close() {
	d.placer.Close()
	d.booker.Close()
	d.pool.Close()
	d.spread.Close()
	d.members.Close()
	d.follower.Close()
	d.peers.Close()
	d.links.Close()
}

// Signals are the signals that ask for a planned stop.
var Signals = []os.Signal{syscall.SIGTERM, syscall.SIGINT}
