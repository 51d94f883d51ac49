// Package gateway runs toucanfall on a VM of the users' platform: it puts the
// parts together, follows the store, and starts and stops the listeners.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"toucanfall/catalogue"
	"toucanfall/coordinator"
	"toucanfall/courier"
	"toucanfall/crew"
	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/internal/bootclock"
	"toucanfall/internal/guard"
	"toucanfall/internal/httpx"
	"toucanfall/metric"
	"toucanfall/peer"
	"toucanfall/platform"
	"toucanfall/relay"
	"toucanfall/roster"
	"toucanfall/serving"
	"toucanfall/settings"
	"toucanfall/shares"
	"toucanfall/timeline"
)

// Sizes of a gateway.
const (
	// eventsKept is how many events the ring for the time line holds.
	eventsKept = 2048
	// topics is how many topics' partitions are the parts of the rates: the most that a
	// group of the store deals. At 8 partitions each, 160 parts are several for each of
	// 7 VMs; at 16, 320 are at least one for each of 300.
	topics = 20
	// staleMargin is how much sooner than keys must stop working a VM stops
	// serving them without a proof: the request was sent before it was read.
	staleMargin = 600 * time.Millisecond
	// callersIdle is how long callers' connections may stay idle: above what
	// the configurations of the deployments allow, so that a caller's next
	// request does not cross the close.
	callersIdle = time.Minute
	// headerTimeout is how long a caller may take for the head of a request.
	headerTimeout = 10 * time.Second
)

// Gateway is the gateway of one VM.
type Gateway struct {
	cfg    *settings.Gateway
	events *timeline.Recorder
	meters *metric.Set
	panics *guard.PanicReporter

	catalogue *catalogue.Holder
	roster    *roster.Roster
	store     *platform.Store
	directory *directoryFollower
	config    *configFollower
	relay     *relay.Service
	follower  *relay.Follower
	crew      *crew.Crew
	purse     *shares.Buckets
	rates     *shares.Client
	own       *coordinator.Coordinator
	client    *coordinator.Client
	handler   *serving.Handler
	links     *peer.Client
	peers     *peer.Server
	callers   *http.Server
	// stopping is when the process ends, nil while no stop is planned.
	stopping atomic.Pointer[time.Time]
	// open counts the requests that are being served.
	open atomic.Int64
	// asked is when the last request came, on the clock that counts sleep.
	asked atomic.Int64
}

// New returns a gateway that does not listen yet.
func New(cfg *settings.Gateway, logger *logrus.Logger) (*Gateway, error) {
	meters := metric.New()
	g := &Gateway{
		cfg:       cfg,
		meters:    meters,
		events:    timeline.New(string(cfg.VM), eventsKept, logger),
		catalogue: catalogue.NewHolder(bootclock.Now),
		roster:    roster.New(),
		store:     platform.NewStore(cfg.Store, cfg.StorePartitions, meters.StoreCall),
		purse:     shares.NewBuckets(bootclock.Now),
		links:     peer.NewClient(nil),
	}
	g.panics = guard.NewPanicReporter(g.events, meters.Panic)
	g.peers = peer.NewServer(g.panics.Report)
	self := crew.NewMember(cfg.VM, cfg.Peers, cfg.DataCentre)
	replica := relay.NewDirectory()
	g.follower = relay.NewFollower(relay.FollowerConfig{
		Self: self, Peers: g.links, MemberList: g.roll, NewRequest: g.ask, ApplyNews: g.learn, Now: bootclock.Now, Events: g.events,
	})
	g.directory = newDirectoryFollower(directoryConfig{
		Store: g.store, Roster: g.roster, Now: bootclock.Now, Within: time.Duration(cfg.DrainWithin),
		Replica: replica, Learned: g.learned, Told: g.follower.Informed, Awaited: g.follower.UpdateExpected, Leads: g.leads, Relays: g.follower.IsRelay, Events: g.events,
	})
	g.config = &configFollower{
		store: g.store, holder: g.catalogue, now: bootclock.Now, events: g.events,
		times: newConfigTimes(time.Duration(cfg.ConfigWithin), time.Duration(cfg.RevokeWithin)),
		told:  g.follower.Informed, awaited: g.follower.UpdateExpected, leads: g.leads, relays: g.follower.IsRelay, learned: g.learned,
	}
	pool := shares.NewPool(bootclock.Now, g.purse.ShareExpired)
	g.catalogue.OnChange(g.purse.Configure)
	g.catalogue.OnChange(pool.Configure)
	g.crew = crew.New(crew.Config{
		Self: self, Store: g.store, Partitions: topics * cfg.StorePartitions, Informed: g.follower.InformedOfMembers,
		Lease: time.Duration(cfg.Lease), Fenced: cfg.Fenced, Now: bootclock.Now, Events: g.events, OnShare: g.purse.SetShare,
	})
	g.own = coordinator.New(coordinator.Config{
		VM: cfg.VM, Catalogue: g.catalogue, Roster: g.roster, Engines: platform.Engines{},
		Pool: func(u *roster.Upstream) *courier.Pool { return g.handler.Pool(u) },
		FencingToken: g.crew.FencingToken, OnFenced: g.crew.FenceRejected, Events: g.events,
	})
	g.client = coordinator.NewClient(coordinator.ClientConfig{
		VM: cfg.VM, Local: g.own, Peers: g.links, Roster: g.roster,
		Coordinator: g.whereCoordinator, Relay: g.follower.RelayAddress, OnAnswer: g.crew.ReportCoordinator, FleetSize: g.crew.Size,
		Events: g.events,
	})
	g.rates = shares.NewClient(shares.ClientConfig{
		VM: cfg.VM, OwnPool: pool, Buckets: g.purse, Peers: g.links, PoolHosts: newKeeperList(g.roll).pools, Now: bootclock.Now, Events: g.events,
	})
	g.relay = relay.NewService(relay.ServiceConfig{Directory: replica, Catalogue: g.catalogue, Crew: g.crew, Self: self, Now: bootclock.Now})
	g.handler = serving.New(g.servingConfig())
	g.callers = &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: callersIdle,
	}
	g.meters.RegisterGauges(g.gauges())
	return g, errors.Join(
		g.peers.Register(coordinator.ServiceName, g.own.Service()),
		g.peers.Register(coordinator.RelayServiceName, g.client.RelayService()),
		g.peers.Register(relay.ServiceName, g.relay.Peer()),
		g.peers.Register(shares.ServiceName, pool.Service()),
	)
}

func (g *Gateway) servingConfig() serving.Config {
	return serving.Config{
		DataCentre: g.cfg.DataCentre, Wire: platform.Wire{}, Dial: courier.Dial, Catalogue: g.catalogue, Roster: g.roster,
		Rates: g.rates, Permits: g.rates, Loader: g.client, Events: g.events, Metrics: g.meters, Panics: g.panics,
		StaleAfter: g.staleAfter(),
		Budget:     serving.NewRetryBudget(g.cfg.RepeatRatio, g.cfg.RepeatSlack, time.Duration(g.cfg.RepeatWindow), g.crew.Size),
		VMCount:    g.sharers,
		StopAt:   g.stopsAt, Directory: g.directory,
	}
}

func (g *Gateway) staleAfter() time.Duration {
	return time.Duration(g.cfg.RevokeWithin) - staleMargin
}

// sharers returns how many VMs choose among the same upstreams as this one: those
// of its data centre, if each has as many.
func (g *Gateway) sharers() float64 {
	return float64(g.crew.Size()) / float64(max(g.roster.DataCentres(), 1))
}

// roll returns the members of the fleet as this VM knows them.
func (g *Gateway) roll() crew.MemberList {
	r, _ := g.crew.MemberList()
	return r
}

// ask returns what this VM knows of what relays tell.
func (g *Gateway) ask() relay.Ask {
	version, _, _ := g.catalogue.ConfirmedVersion()
	return relay.Ask{Directory: g.directory.position(), Config: version, Members: g.roll().Fingerprint}
}

// learn takes over what a relay tells, and reports whether it knows as much as the store
// would tell.
func (g *Gateway) learn(ctx context.Context, n *relay.News, looked time.Duration) bool {
	if n.RollAge != relay.UnknownAge {
		g.crew.UpdateMembers(n.MemberList(g.roll()), looked-n.RollAge)
	}
	config := g.config.learn(n, looked)
	return g.directory.Learn(ctx, n, looked) && config
}

// learned tells the VMs that follow this one that there may be news.
func (g *Gateway) learned() {
	g.relay.NotifyFollowers()
}

// leads reports whether this VM is the coordinator.
func (g *Gateway) leads() bool {
	_, ok := g.crew.FencingToken()
	return ok
}

func (g *Gateway) whereCoordinator() (fleet.VMID, string, bool) {
	m, ok := g.crew.Coordinator()
	return m.VM(), m.Address(), ok
}

// stopsAt returns when a planned stop ends the process, the zero time while
// there is none.
func (g *Gateway) stopsAt() time.Time {
	if end := g.stopping.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// serve serves a request, counts it as open meanwhile, and notes when it came.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	g.asked.Store(int64(bootclock.Now()))
	g.handler.ServeHTTP(w, r)
}

// ready reports whether the VM is to get new connections.
func (g *Gateway) ready() bool {
	cfg, age := g.catalogue.Current()
	return cfg != nil && age < g.staleAfter() && g.crew.InContact() && g.stopsAt().IsZero() && len(g.roster.Upstreams()) > 0
}

// Run serves until ctx ends, and then stops without cutting requests.
func (g *Gateway) Run(ctx context.Context) error {
	callers, err := listen.Listen(ctx, "tcp", g.cfg.Callers)
	if err != nil {
		return fmt.Errorf("callers' listener: %w", err)
	}
	peers, err := listen.Listen(ctx, "tcp", g.cfg.Peers)
	if err != nil {
		return fmt.Errorf("peers' listener: %w", err)
	}
	readiness, err := listen.Listen(ctx, "tcp", g.cfg.Ready)
	if err != nil {
		return fmt.Errorf("readiness listener: %w", err)
	}
	g.events.Record(event.ProcessStarted, nil)
	var all run.Group
	g.addLoops(&all)
	g.addServer(&all, g.callers, callers)
	g.addServer(&all, httpx.NewServer(g.operations()), readiness)
	g.addMetrics(ctx, &all)
	all.Add(func() error { return g.peers.Serve(peers) }, func(error) { _ = peers.Close(); g.peers.Close() })
	all.Add(func() error {
		<-ctx.Done()
		g.stop()
		return nil
	}, func(error) {})
	err = all.Run()
	g.events.Record(event.ProcessStopped, nil)
	return err
}

// listen opens listeners whose connections are found out when they went silent for
// good.
var listen = net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}

// addLoops adds what runs all the time.
func (g *Gateway) addLoops(all *run.Group) {
	for _, l := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"config", g.config.run}, {"directory", g.directory.run}, {"relay", g.follower.Run}, {"crew", g.crew.Run},
		{"adapters", g.client.Run}, {"rates", g.rates.Run}, {"coordinator", g.own.Run},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		guarded := g.panics.RestartOnPanic(l.name, l.run)
		all.Add(func() error { return guarded(ctx) }, func(error) { cancel() })
	}
}

// addMetrics serves the metrics. Without them everything else goes on.
func (g *Gateway) addMetrics(ctx context.Context, all *run.Group) {
	if g.cfg.Metrics == "" {
		return
	}
	l, err := listen.Listen(ctx, "tcp", g.cfg.Metrics)
	if err != nil {
		g.events.Record(event.GatewayFault, timeline.Fields{"reason": "metrics' listener: " + err.Error()})
		return
	}
	g.addServer(all, httpx.NewServer(g.meters.Handler()), l)
}

func (g *Gateway) addServer(all *run.Group, s *http.Server, l net.Listener) {
	interrupted := make(chan struct{})
	all.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		// Serve returns when a shutdown begins; requests are still answered.
		<-interrupted
		return nil
	}, func(error) {
		_ = s.Close()
		close(interrupted)
	})
}

// operations answers the platform's questions for readiness.
func (g *Gateway) operations() *echo.Echo {
	e := httpx.NewEcho()
	e.GET(platform.ReadyPath, func(c echo.Context) error {
		if g.ready() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	return e
}
