// Package gateway runs toucanfall on one VM of the platform: it assembles the components,
// follows the store, and starts and stops the listeners.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"toucanfall/catalogue"
	"toucanfall/coordinator"
	"toucanfall/event"
	"toucanfall/fleet"
	"toucanfall/group"
	"toucanfall/ingress"
	"toucanfall/internal/accept"
	"toucanfall/internal/bootclock"
	"toucanfall/internal/guard"
	"toucanfall/internal/httpx"
	"toucanfall/metric"
	"toucanfall/peer"
	"toucanfall/platform"
	"toucanfall/prefill"
	"toucanfall/quarantine"
	"toucanfall/ratelimit"
	"toucanfall/relay"
	"toucanfall/roster"
	"toucanfall/serving"
	"toucanfall/settings"
	"toucanfall/timeline"
	"toucanfall/transport"
)

// Sizes of a gateway.
const (
	// eventsKept is the capacity of the timeline's ring buffer, in events.
	eventsKept = 2048
	// rateTopics is how many topics' partitions are assigned to VMs as shares of the rates:
	// the most that a group of the store assigns. At 8 partitions each, 160 partitions are
	// several for each of 7 VMs; at 16, 320 are at least one for each of 300.
	rateTopics = 20
	// staleMargin is how long before the revocation bound a VM without a confirmation of
	// its configuration stops serving keys. It covers the time between the start of a
	// request and the reading of its key.
	staleMargin = 600 * time.Millisecond
	// callerIdleTimeout is how long callers' connections may stay idle: longer than the
	// configurations of the deployments allow, so that a caller's next request does not
	// cross the close.
	callerIdleTimeout = time.Minute
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
)

// Gateway holds the components of the gateway on one VM. Create it with [New] and call
// [Gateway.Run].
type Gateway struct {
	cfg    *settings.Gateway
	events *timeline.Recorder
	meters *metric.Set
	panics *guard.PanicReporter

	catalogue         *catalogue.Holder
	roster            *roster.Roster
	store             *platform.Store
	directory         *directoryFollower
	config            *configFollower
	reports           *reportFollower
	quarantine        *quarantine.Tracker
	relay             *relay.Service
	follower          *relay.Follower
	membership        *group.Membership
	buckets           *ratelimit.Buckets
	rates             *ratelimit.Client
	prefill           *prefill.Client
	prefillHost       *prefill.Host
	coordinator       *coordinator.Coordinator
	coordinatorClient *coordinator.Client
	handler           *serving.Handler
	peerClient        *peer.Client
	peers             *peer.Server
	callers           *http.Server
	admission         *ingress.Admission
	// stopAt is the time at which a planned stop ends the process, nil while none is
	// planned.
	stopAt atomic.Pointer[time.Time]
	// openRequests counts the requests in progress.
	openRequests atomic.Int64
	// lastRequest is when the last request arrived, in nanoseconds of bootclock, which also
	// counts suspended time.
	lastRequest atomic.Int64
}

// New returns a gateway that does not listen yet. It fails if a service cannot be
// registered with the peer server.
func New(cfg *settings.Gateway, logger *logrus.Logger) (*Gateway, error) {
	meters := metric.New()
	g := &Gateway{
		cfg:       cfg,
		meters:    meters,
		events:    timeline.New(string(cfg.VM), eventsKept, logger),
		catalogue: catalogue.NewHolder(bootclock.Now),
		roster:    roster.New(),
		store:     platform.NewStore(cfg.Store, cfg.StorePartitions, meters.StoreCall),
		buckets:   ratelimit.NewBuckets(bootclock.Now, retryLimit(cfg)),
	}
	g.admission = g.newAdmission()
	g.store.LimitAnswers(g.admission.StoreAnswers)
	g.peerClient = g.newPeerClient()
	g.panics = guard.NewPanicReporter(g.events, meters.Panic)
	g.peers = peer.NewServer(g.panics.Report)
	g.peers.LimitMessages(g.admission.Bytes, func() { g.admission.Reject(ingress.MessageNoSpace) })
	self := group.NewMember(cfg.VM, cfg.Peers, cfg.DataCentre, group.NewProcess())
	replica := relay.NewDirectory()
	g.follower = relay.NewFollower(relay.FollowerConfig{
		Self: self, Peers: g.newPeerClient(), MemberList: g.memberList, NewRequest: g.relayRequest, ApplyNews: g.applyNews, Now: bootclock.Now, Events: g.events,
		OnAnswer: func(o relay.Outcome, bytes int, took time.Duration) { meters.RelayAnswer(string(o), bytes, took) },
	})
	g.directory = newDirectoryFollower(directoryConfig{
		Store: g.store, Roster: g.roster, Now: bootclock.Now, DrainWithin: time.Duration(cfg.DrainWithin),
		Replica: replica, OnUpdate: g.notifyFollowers, Informed: g.follower.Informed, UpdateExpected: g.follower.UpdateExpected, IsCoordinator: g.isCoordinator, IsRelay: g.follower.IsRelay, Events: g.events,
	})
	g.config = &configFollower{
		store: g.store, holder: g.catalogue, now: bootclock.Now, events: g.events,
		times:    newConfigTimes(operatorBound(cfg), time.Duration(cfg.RevokeWithin)),
		informed: g.follower.Informed, updateExpected: g.follower.UpdateExpected, isCoordinator: g.isCoordinator, isRelay: g.follower.IsRelay, onUpdate: g.notifyFollowers,
		evacuationsBounded: cfg.EvacuateWithin > 0,
	}
	g.quarantine = quarantine.New(quarantine.Config{VM: cfg.VM, Log: g.store, Now: bootclock.Now, Events: g.events})
	g.reports = newReportFollower(reportConfig{
		Store: g.store, Now: bootclock.Now, ConfigWithin: time.Duration(cfg.ConfigWithin), Apply: g.quarantine.Apply, OnUpdate: g.notifyFollowers,
		IsCoordinator: g.isCoordinator, IsRelay: g.follower.IsRelay, Events: g.events,
	})
	pool := ratelimit.NewPool(bootclock.Now, g.buckets.ShareExpired, retryLimit(cfg))
	g.catalogue.OnChange(g.buckets.Configure)
	g.catalogue.OnChange(func(c *catalogue.Config) { g.roster.SetColdLimits(roster.ColdLimits(c)) })
	g.catalogue.OnChange(pool.Configure)
	g.catalogue.OnEvacuations(g.applyEvacuations)
	g.membership = group.New(group.Config{
		Self: self, Store: g.store, Partitions: rateTopics * cfg.StorePartitions, Informed: g.follower.InformedOfMembers,
		Lease: time.Duration(cfg.Lease), Fenced: cfg.Fenced, Now: bootclock.Now, Events: g.events, OnShare: g.buckets.SetShare,
	})
	g.store.OnRestored(g.storeRestored, g.positionLost)
	g.coordinator = coordinator.New(coordinator.Config{
		VM: cfg.VM, Catalogue: g.catalogue, Roster: g.roster, Engines: platform.Engines{},
		Pool:         func(u *roster.Upstream) *transport.Pool { return g.handler.Pool(u) },
		FencingToken: g.membership.FencingToken, OnFenced: g.membership.FenceRejected, Events: g.events,
	})
	g.coordinatorClient = coordinator.NewClient(coordinator.ClientConfig{
		VM: cfg.VM, Local: g.coordinator, Peers: g.peerClient, Roster: g.roster,
		Coordinator: g.coordinatorAddress, Relay: g.follower.RelayAddress, OnAnswer: g.membership.ReportCoordinator, FleetSize: g.membership.Size,
		Events: g.events,
	})
	g.rates = ratelimit.NewClient(ratelimit.ClientConfig{
		VM: cfg.VM, OwnPool: pool, Buckets: g.buckets, Peers: g.peerClient, PoolHosts: newPoolHosts(g.memberList).pools, Now: bootclock.Now, Events: g.events,
	})
	g.prefillHost = prefill.NewHost(g.events)
	g.prefill = prefill.NewClient(prefill.ClientConfig{VM: cfg.VM, Own: g.prefillHost, Peers: g.peerClient, Hosts: g.prefillHosts, OnAnswer: g.applyRuns, Events: g.events})
	g.relay = relay.NewService(relay.ServiceConfig{Directory: replica, Catalogue: g.catalogue, Membership: g.membership, Reports: g.reports, ApplyDocument: g.config.applyRelayed, Events: g.events, Self: self, Now: bootclock.Now})
	g.handler = serving.New(g.servingConfig())
	g.admission.ToEngines.OnFull = g.handler.CloseIdle
	g.callers = &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	g.admission.Configure(g.callers)
	g.meters.RegisterGauges(g.gauges())
	return g, errors.Join(
		g.peers.Register(coordinator.ServiceName, g.coordinator.Service()),
		g.peers.Register(coordinator.RelayServiceName, g.coordinatorClient.RelayService()),
		g.peers.Register(relay.ServiceName, g.relay.Peer()),
		g.peers.Register(ratelimit.ServiceName, pool.Service()),
		g.peers.Register(prefill.ServiceName, g.prefillHost.Service()),
	)
}

// newPeerClient returns a client for calls to other VMs, with connections of its own.
func (g *Gateway) newPeerClient() *peer.Client {
	c := peer.NewClientWithDial(g.admission.ToVMs.Wrap(peer.DialTCP))
	c.LimitMessages(g.admission.VMAnswers, func() { g.admission.Reject(ingress.MessageNoSpace) })
	return c
}

// operatorBound returns the time within which what operators write must take effect: a
// configuration, or an evacuation where that has a shorter bound.
func operatorBound(cfg *settings.Gateway) time.Duration {
	if cfg.EvacuateWithin > 0 {
		return time.Duration(min(cfg.ConfigWithin, cfg.EvacuateWithin))
	}
	return time.Duration(cfg.ConfigWithin)
}

// storeRestored records a new era of the store, and gives up what rests on records that it may have lost.
func (g *Gateway) storeRestored(era int64) {
	g.events.Record(event.StoreRestored, timeline.Fields{"era": strconv.FormatInt(era, 10)})
	g.membership.ObserveEra(era)
	g.quarantine.LogRestored()
}

// positionLost records a read position of a former era of the store.
func (g *Gateway) positionLost(topic string) {
	g.events.Record(event.PositionLost, timeline.Fields{"topic": topic})
	g.meters.PositionLost(topic)
}

// applyEvacuations applies and records a change of the evacuated data centres.
func (g *Gateway) applyEvacuations(evacuated []fleet.DataCentre) {
	begun, ended := g.roster.SetEvacuated(evacuated)
	for _, dc := range begun {
		g.events.Record(event.EvacuationBegun, timeline.Fields{"data_centre": string(dc)})
	}
	for _, dc := range ended {
		g.events.Record(event.EvacuationEnded, timeline.Fields{"data_centre": string(dc)})
	}
	g.notifyFollowers()
}

func (g *Gateway) servingConfig() serving.Config {
	return serving.Config{
		DataCentre: g.cfg.DataCentre, Regions: g.cfg.Regions, Wire: platform.Wire{}, Dial: g.admission.ToEngines.Wrap(transport.Dial), Catalogue: g.catalogue, Roster: g.roster,
		Rates: g.rates, Permits: g.rates, Prefill: g.prefill, AccountRuns: platform.AccountsForRuns(g.cfg.Contracts), Parts: g.quarantine, Starts: platform.Engines{}, Loader: g.coordinatorClient, Events: g.events, Metrics: g.meters, Panics: g.panics,
		StaleAfter: g.staleAfter(), ConfigWithin: time.Duration(g.cfg.ConfigWithin),
		Budget:  g.rates,
		VMCount: g.vmsPerDataCentre,
		// killMargin earlier than the VM reports not ready for, because the signal may come late.
		StopAt: g.stopTime, BalancerStopLead: time.Duration(g.cfg.StopWithin) - notReadyPeriod, Directory: g.directory, Space: g.admission.Bytes, CallAnswers: g.admission.CallAnswers, OnReject: g.admission.Reject,
	}
}

// retryLimit returns the bound on the retries of each service.
func retryLimit(cfg *settings.Gateway) ratelimit.RetryLimit {
	return ratelimit.RetryLimit{Ratio: cfg.RepeatRatio, Slack: cfg.RepeatSlack, Window: time.Duration(cfg.RepeatWindow)}
}

func (g *Gateway) staleAfter() time.Duration {
	return time.Duration(g.cfg.RevokeWithin) - staleMargin
}

// vmsPerDataCentre returns how many VMs choose among the same upstreams as this one: the
// VMs of its data centre, assuming that all data centres have the same number.
func (g *Gateway) vmsPerDataCentre() float64 {
	return float64(g.membership.Size()) / float64(max(g.roster.DataCentres(), 1))
}

// hostsPerEngine is how many VMs may host the account of an engine's prompts, each in place of
// the one before it.
const hostsPerEngine = 2

// prefillHosts returns the VMs that may host the account of an engine's prompts: VMs of its data
// centre, which send most of them, if there are any.
func (g *Gateway) prefillHosts(id fleet.UpstreamID) []prefill.HostVM {
	u, ok := g.roster.Get(id)
	if !ok {
		return nil
	}
	members, dc := g.memberList(), u.Entry().DataCentre
	ranked := members.Ranked(string(id), hostsPerEngine, func(m group.Member) bool { return m.DataCentre() == dc })
	if len(ranked) == 0 {
		ranked = members.Ranked(string(id), hostsPerEngine, func(group.Member) bool { return true })
	}
	out := make([]prefill.HostVM, len(ranked))
	for i, m := range ranked {
		out[i] = prefill.HostVM{VM: m.VM(), Address: m.Address()}
	}
	return out
}

// applyRuns records the number of requests at an engine as the host of its account knows it.
func (g *Gateway) applyRuns(id fleet.UpstreamID, a prefill.Answer) {
	u, ok := g.roster.Get(id)
	if !ok || !a.HasRuns {
		return
	}
	others := a.Running + a.Waiting
	if a.Granted {
		others-- // The granted request is not in flight yet.
	}
	own, _ := u.InFlight()
	u.SetOthersInFlight(max(others-own, 0))
}

// memberList returns the members of the fleet as this VM knows them.
func (g *Gateway) memberList() group.MemberList {
	members, _ := g.membership.MemberList()
	return members
}

// relayRequest returns the request to a relay: the versions of the directory, the
// configuration and the member list that this VM has.
func (g *Gateway) relayRequest() relay.Ask {
	version, _, _ := g.catalogue.ConfirmedVersion()
	reports, _ := g.reports.state()
	var document []byte
	if g.store.Era() > 0 { // A store that was never restored holds the newest version.
		if source, ok := g.config.versionBehind(); ok {
			document = g.relay.PackedDocument(source)
		}
	}
	return relay.Ask{Document: document, Directory: g.directory.position(), Config: version, Members: g.memberList().Fingerprint, Reports: reports, WantsReports: true, Evacuations: g.catalogue.Evacuations().Position, WantsEvacuations: true, KnowsEras: true}
}

// applyNews applies the news of a relay that took them from its state at checkedAt or
// later. It reports whether the relay is as current as the store.
func (g *Gateway) applyNews(ctx context.Context, n *relay.News, checkedAt time.Duration) bool {
	if n.RollAge != relay.UnknownAge {
		g.membership.UpdateMembers(n.MemberList(g.memberList()), checkedAt-n.RollAge)
	}
	g.reports.ApplyNews(n, checkedAt)
	config := g.config.applyNews(n, checkedAt)
	return g.directory.ApplyNews(ctx, n, checkedAt) && config
}

// notifyFollowers wakes the requests of the VMs that follow this one, because there may be
// an update for them.
func (g *Gateway) notifyFollowers() {
	g.relay.NotifyFollowers()
}

// isCoordinator reports whether this VM is the coordinator.
func (g *Gateway) isCoordinator() bool {
	_, ok := g.membership.FencingToken()
	return ok
}

func (g *Gateway) coordinatorAddress() (fleet.VMID, string, bool) {
	m, ok := g.membership.Coordinator()
	return m.VM(), m.Address(), ok
}

// stopTime returns when a planned stop ends the process, the zero time if none is planned.
func (g *Gateway) stopTime() time.Time {
	if end := g.stopAt.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// serve handles a request, counts it as open in the meantime and records its time of
// arrival.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.openRequests.Add(1)
	defer g.openRequests.Add(-1)
	g.lastRequest.Store(int64(bootclock.Now()))
	g.handler.ServeHTTP(w, r)
}

// ready reports whether the load balancer should send new connections to this VM: it has a
// current configuration, is in touch with the store, knows upstreams and is not stopping.
func (g *Gateway) ready() bool {
	cfg, age := g.catalogue.Current()
	return cfg != nil && age < g.staleAfter() && g.membership.InContact() && g.stopTime().IsZero() && len(g.roster.Upstreams()) > 0
}

// Run serves until ctx is cancelled, and then stops without interrupting requests, within
// the time that the settings allow. It fails if a listener cannot be opened, if a part of the
// gateway ends early, or if the shutdown hangs; without the metrics' listener it goes on. The
// process must exit after Run has returned, because parts that hang may still run.
func (g *Gateway) Run(ctx context.Context) error {
	callers, err := g.listen(ctx, "callers", g.cfg.Callers, g.admission.Clients)
	if err != nil {
		return err
	}
	peers, err := g.listen(ctx, "peers", g.cfg.Peers, g.admission.VMs)
	if err != nil {
		return err
	}
	readiness, err := g.listen(ctx, "readiness", g.cfg.Ready, g.admission.Readiness)
	if err != nil {
		return err
	}
	g.events.Record(event.ProcessStarted, nil)
	all := newParts(time.Duration(g.cfg.StopWithin))
	g.addLoops(all)
	addServer(all, "callers", g.callers, callers)
	addServer(all, "readiness", g.newOperatorServer(g.readinessHandler()), readiness)
	g.addMetrics(ctx, all)
	all.add("peers", func() error { return g.peers.Serve(peers) }, func(error) { _ = peers.Close(); g.peers.Close() })
	all.addStop(ctx, g.stop)
	err = all.run(ctx)
	if err != nil {
		g.events.Record(event.PartEnded, timeline.Fields{"reason": err.Error()})
	}
	g.events.Record(event.ProcessStopped, nil)
	return err
}

// listen opens the listener of a part, whose connections are those of set. It outlives temporary errors,
// which are logged.
func (g *Gateway) listen(ctx context.Context, part, address string, set *ingress.Conns) (net.Listener, error) {
	l, err := listenConfig.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s' listener: %w", part, err)
	}
	resilient := accept.New(l, func(err error, failures int) {
		g.events.Record(event.AcceptFailed, timeline.Fields{"part": part, "reason": err.Error(), "count": strconv.Itoa(failures)})
	})
	return g.admission.Listener(resilient, set), nil
}

// listenConfig enables keep-alive probes, so that connections whose peer has disappeared
// are detected.
var listenConfig = net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}

// addLoops adds the background loops, each guarded against panics.
func (g *Gateway) addLoops(all *parts) {
	for _, l := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"config", g.config.run}, {"directory", g.directory.run}, {"relay", g.follower.Run}, {"crew", g.membership.Run},
		{"adapters", g.coordinatorClient.Run}, {"rates", g.rates.Run}, {"reports", g.reports.run}, {"quarantine", g.quarantine.Run}, {"coordinator", g.coordinator.Run}, {"admission", g.admission.Run},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		guarded := g.panics.RestartOnPanic(l.name, l.run)
		all.add(l.name, func() error { return guarded(ctx) }, func(error) { cancel() })
	}
}

// addMetrics adds the metrics server. If its listener cannot be opened, the fault is
// recorded and the gateway runs without it.
func (g *Gateway) addMetrics(ctx context.Context, all *parts) {
	if g.cfg.Metrics == "" {
		return
	}
	l, err := g.listen(ctx, "metrics", g.cfg.Metrics, g.admission.Metrics)
	if err != nil {
		g.events.Record(event.GatewayFault, timeline.Fields{"reason": err.Error()})
		return
	}
	addServer(all, "metrics", g.newOperatorServer(g.meters.Handler()), l)
}

func addServer(all *parts, name string, s *http.Server, l net.Listener) {
	interrupted := make(chan struct{})
	all.add(name, func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		// Serve returns as soon as a shutdown begins, while requests are still being
		// answered.
		<-interrupted
		return nil
	}, func(error) {
		_ = s.Close()
		close(interrupted)
	})
}

// readinessHandler returns the handler of the platform's readiness checks.
func (g *Gateway) readinessHandler() *echo.Echo {
	e := httpx.NewEcho()
	e.GET(platform.ReadyPath, func(c echo.Context) error {
		if g.ready() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	return e
}
