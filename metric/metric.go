// Package metric holds the gateway's counters and histograms. One registry names
// them all; docs/METRICS.md is made from it.
package metric

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"toucanfall/fleet"
)

// Kind is the kind of a metric.
type Kind string

// The kinds.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Definition is an entry of the registry.
type Definition struct {
	Name   string
	Kind   Kind
	Labels []string
	Text   string
}

// The metrics.
var (
	requests      = Definition{"toucanfall_requests_total", Counter, []string{"kind", "team", "outcome"}, "Requests by kind of route, team and outcome: `served`, or the code of the refusal."}
	firstPiece    = Definition{"toucanfall_first_piece_seconds", Histogram, []string{"kind"}, "Time from a request to the first piece of its answer, of requests that were served."}
	longestPause  = Definition{"toucanfall_longest_pause_seconds", Histogram, []string{"kind"}, "Longest pause between two pieces of an answer, of requests that were served."}
	attempts      = Definition{"toucanfall_attempts_total", Counter, []string{"upstream", "outcome"}, "Attempts by upstream and outcome: `served` or `failed`."}
	notices       = Definition{"toucanfall_notices_total", Counter, []string{"notice"}, "Answers in which an upstream spoke of itself: `leaving`, `wait`, `intake`, or `odd` for a header that breaks its form."}
	noticed       = Definition{"toucanfall_noticed_sends_total", Counter, []string{"notice"}, "Requests that were written to an upstream which had said to this VM that it leaves (`leaving`), wants nothing for a time (`wait`) or takes so many requests a second (`intake`)."}
	permits       = Definition{"toucanfall_permits_total", Counter, []string{"outcome"}, "Requests that were to be sent to an upstream that names its intake, by outcome: `given`, or `denied` where another upstream is chosen or the request refused."}
	storeCalls    = Definition{"toucanfall_store_calls_total", Counter, []string{"call", "outcome"}, "Calls to the platform's store by outcome: `answered` or `failed`."}
	panics        = Definition{"toucanfall_panics_total", Counter, []string{"where"}, "Panics that were caught, by where: `request`, a loop, or a method that peers call."}
	open          = Definition{"toucanfall_open_requests", Gauge, nil, "Requests that are being served."}
	configAge     = Definition{"toucanfall_config_proof_age_seconds", Gauge, nil, "How long ago the configuration in force was proved to be the newest."}
	directoryAge  = Definition{"toucanfall_directory_age_seconds", Gauge, nil, "How long ago the directory of upstreams was read."}
	directorySent = Definition{"toucanfall_directory_age_at_send_seconds", Histogram, nil, "How old the directory was when a request was written to an upstream."}
	configVersion = Definition{"toucanfall_config_version", Gauge, nil, "Version of the configuration in force."}
	share         = Definition{"toucanfall_rate_share", Gauge, nil, "Share of all rates that this VM mints."}
	duty          = Definition{"toucanfall_coordinator", Gauge, nil, "1 while this VM is the coordinator."}
	upstreams     = Definition{"toucanfall_upstreams", Gauge, nil, "Upstreams that this VM knows."}
	leaving       = Definition{"toucanfall_upstream_leaving", Gauge, []string{"upstream"}, "1 for an upstream that has said in an answer that it leaves."}
	waits         = Definition{"toucanfall_upstream_wait_seconds", Gauge, []string{"upstream"}, "For how long an upstream that has turned this VM away wants nothing more from it."}
	intakes       = Definition{"toucanfall_upstream_intake", Gauge, []string{"upstream"}, "Requests a second that an upstream takes from all VMs together, while it names its intake."}
)

// Registry lists all metrics.
var Registry = []Definition{requests, firstPiece, longestPause, attempts, notices, noticed, permits, storeCalls, panics, open, configAge, directoryAge, directorySent, configVersion, share, duty, upstreams, leaving, waits, intakes}

// maxValues bounds the values of a label whose values others choose; further ones
// count as otherValue. The largest sheet has 16 teams and 118 upstreams.
const (
	maxValues  = 256
	otherValue = "other"
)

// Gauges are what is read when somebody asks.
type Gauges struct {
	OpenRequests, ConfigStaleness, DirectoryAge, ConfigVersion, RateShare, IsCoordinator, Upstreams func() float64
	// Standings returns what upstreams have said of themselves; those that have said nothing
	// are not shown.
	NoticeStatuses func() []NoticeStatus
}

// Set holds the metrics of a process. It is safe for concurrent use.
type Set struct {
	all          *prometheus.Registry
	requests     *prometheus.CounterVec
	firstPiece   *prometheus.HistogramVec
	longestPause *prometheus.HistogramVec
	// directorySent has no labels.
	directorySent *prometheus.HistogramVec
	attempts      *prometheus.CounterVec
	notices       *prometheus.CounterVec
	noticed       *prometheus.CounterVec
	permits       *prometheus.CounterVec
	storeCalls    *prometheus.CounterVec
	panics        *prometheus.CounterVec
	teams         values
	upstreams     values
}

// buckets are the bounds of the histograms in seconds: objectives lie at 0.1 to
// 3 s, pauses at 0.15 and 0.2 s by the sheets.
var buckets = []float64{0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.7, 1.1, 2, 4, 10}

// New returns metrics at zero.
func New() *Set {
	s := &Set{all: prometheus.NewRegistry()}
	s.requests, s.attempts, s.storeCalls = s.counter(requests), s.counter(attempts), s.counter(storeCalls)
	s.notices, s.noticed, s.permits, s.panics = s.counter(notices), s.counter(noticed), s.counter(permits), s.counter(panics)
	s.firstPiece, s.longestPause, s.directorySent = s.histogram(firstPiece), s.histogram(longestPause), s.histogram(directorySent)
	return s
}

func (s *Set) counter(d Definition) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: d.Name, Help: d.Text}, d.Labels)
	s.all.MustRegister(c)
	return c
}

func (s *Set) histogram(d Definition) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: d.Name, Help: d.Text, Buckets: buckets}, d.Labels)
	s.all.MustRegister(h)
	return h
}

// Watch adds the gauges. It must be called once.
func (s *Set) RegisterGauges(g Gauges) {
	for d, f := range map[*Definition]func() float64{
		&open: g.OpenRequests, &configAge: g.ConfigStaleness, &directoryAge: g.DirectoryAge, &configVersion: g.ConfigVersion, &share: g.RateShare, &duty: g.IsCoordinator, &upstreams: g.Upstreams,
	} {
		s.all.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: d.Name, Help: d.Text}, f))
	}
	s.all.MustRegister(newStandings(g.NoticeStatuses))
}

// Handler serves the metrics as text.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.all, promhttp.HandlerOpts{})
}

// Served counts a request that was served.
func (s *Set) Served(kind string, team fleet.TeamID, first, pause time.Duration) {
	s.requests.WithLabelValues(kind, s.teams.bound(string(team)), "served").Inc()
	s.firstPiece.WithLabelValues(kind).Observe(first.Seconds())
	s.longestPause.WithLabelValues(kind).Observe(pause.Seconds())
}

// Refused counts a request that was refused or broken off. Kind is empty where
// the request found no route.
func (s *Set) Rejected(kind string, team fleet.TeamID, code string) {
	s.requests.WithLabelValues(kind, s.teams.bound(string(team)), code).Inc()
}

// Panic counts a panic that was caught.
func (s *Set) Panic(where string) {
	s.panics.WithLabelValues(where).Inc()
}

// Attempt counts an attempt at an upstream.
func (s *Set) Attempt(u fleet.UpstreamID, failed bool) {
	outcome := "served"
	if failed {
		outcome = "failed"
	}
	s.attempts.WithLabelValues(s.upstreams.bound(string(u)), outcome).Inc()
}

// Notice counts an answer in which an upstream spoke of itself.
func (s *Set) Notice(what string) {
	s.notices.WithLabelValues(what).Inc()
}

// Noticed counts a request that is written to an upstream that had spoken of itself.
func (s *Set) NoticedSend(what string) {
	s.noticed.WithLabelValues(what).Inc()
}

// Permit counts a request that needed a permit of an upstream's intake.
func (s *Set) Permit(given bool) {
	outcome := "denied"
	if given {
		outcome = "given"
	}
	s.permits.WithLabelValues(outcome).Inc()
}

// Written counts a request that is written to an upstream, by the age of the
// directory.
func (s *Set) DirectoryAgeAtSend(directory time.Duration) {
	s.directorySent.WithLabelValues().Observe(directory.Seconds())
}

// StoreCall counts a call to the platform's store.
func (s *Set) StoreCall(call string, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	s.storeCalls.WithLabelValues(call, outcome).Inc()
}

// values are the values that a label has taken.
type values struct {
	mu   sync.Mutex
	seen map[string]bool
}

// bound returns the value, or otherValue once there are too many.
func (v *values) bound(value string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.seen[value] {
		return value
	}
	if len(v.seen) >= maxValues {
		return otherValue
	}
	if v.seen == nil {
		v.seen = make(map[string]bool)
	}
	v.seen[value] = true
	return value
}
