// Package metric holds the gateway's Prometheus metrics: counters, gauges and
// histograms. docs/METRICS.md is generated from its registry.
package metric

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"toucanfall/fleet"
)

// Kind is the Prometheus type of a metric.
type Kind string

// The kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Definition describes a metric.
type Definition struct {
	Name string
	Kind Kind
	// Labels are the names of its labels.
	Labels []string
	// Text is the help text.
	Text string
}

// desc returns the descriptor with which a collector sends the metric.
func (d Definition) desc() *prometheus.Desc {
	return prometheus.NewDesc(d.Name, d.Text, d.Labels, nil)
}

// The metrics.
var (
	requestsTotal       = Definition{"toucanfall_requests_total", Counter, []string{"kind", "team", "outcome"}, "Requests by kind of route, team and outcome: `served`, or the code of the error."}
	firstPieceSeconds   = Definition{"toucanfall_first_piece_seconds", Histogram, []string{"kind"}, "Time from the arrival of a request to the first chunk of its response, for requests that were served."}
	longestPauseSeconds = Definition{"toucanfall_longest_pause_seconds", Histogram, []string{"kind"}, "Longest pause between two chunks of a response, for requests that were served."}
	attemptsTotal       = Definition{"toucanfall_attempts_total", Counter, []string{"upstream", "outcome"}, "Attempts by upstream and outcome: `served` or `failed`."}
	unframedTotal       = Definition{"toucanfall_unframed_answers_total", Counter, []string{"outcome", "evidence"}, "Answers of upstreams with neither a length nor chunks that were relayed, by outcome: `complete` or `broken`, and by what decided about their end (see docs/OPERATIONS.md)."}
	brokenTotal         = Definition{"toucanfall_answers_broken_total", Counter, []string{"reason"}, "Requests that were read and ended without a complete answer, by the reasons of the event `answer_broken_off`."}
	noticesTotal        = Definition{"toucanfall_notices_total", Counter, []string{"notice"}, "Responses of upstreams with a notice in their headers: `leaving`, `wait` (no requests for some time), `intake` (a request rate limit), `cold` (the remaining cold time), or `odd` for a malformed header."}
	noticedSendsTotal   = Definition{"toucanfall_noticed_sends_total", Counter, []string{"notice"}, "Requests that were written to an upstream while a notice from it applied: that it is leaving (`leaving`), accepts no requests for some time (`wait`), limits its request rate (`intake`) or is cold (`cold`)."}
	permitsTotal        = Definition{"toucanfall_permits_total", Counter, []string{"outcome"}, "Permits requested to send to an upstream that announces a request rate limit or is cold, by outcome: `given`, or `denied`, after which another upstream is chosen or the request is rejected."}
	prefillCreditsTotal = Definition{"toucanfall_prefill_credits_total", Counter, []string{"outcome"}, "Requests for a credit to send a prompt to an engine, by outcome: `given`, `denied` (the request waits or another engine is asked), or `unaccounted` (no host of the engine's account answered and the prompt was sent without a credit)."}
	retryBudgetTotal    = Definition{"toucanfall_retry_budget_total", Counter, []string{"service", "event"}, "The retry budget by service and event: `request` (a request was run, which permits a part of a retry), `taken` (a retry), `returned` (a retry that was taken and not sent), or `denied` (a request was not sent once more, or an attempt that is silent not replaced, because the budget was used up)."}
	capacityRejected    = Definition{"toucanfall_capacity_rejected_total", Counter, []string{"service", "reason"}, "Requests that were rejected because no engine could run them in time, by service and by what the engines lacked: `slots`, `memory`, or `prompts` (they have enough prompts to read)."}
	capacityLimit       = Definition{"toucanfall_capacity_limit", Gauge, []string{"service", "kind"}, "Capacity of the engines whose accounts this VM keeps, by service and kind: `slots`, or `memory` in tokens."}
	capacityInUse       = Definition{"toucanfall_capacity_in_use", Gauge, []string{"service", "kind"}, "Capacity in use at these engines, by service and kind."}
	capacityWaiting     = Definition{"toucanfall_capacity_waiting", Gauge, []string{"service"}, "Requests that wait at this VM for capacity of these engines, by service."}
	storeCallsTotal     = Definition{"toucanfall_store_calls_total", Counter, []string{"call", "outcome"}, "Calls to the platform's store by outcome: `answered` or `failed`."}
	relayAnswersTotal   = Definition{"toucanfall_relay_answers_total", Counter, []string{"outcome"}, "Requests to the VM that this VM follows, by outcome: `useful`, `stale` (older than a read of the store would be), `busy` (without the large parts, because other VMs are receiving theirs) or `failed`."}
	relayBytesTotal     = Definition{"toucanfall_relay_answer_bytes_total", Counter, nil, "Approximate size of the configurations and directory entries in these answers, in bytes."}
	relayAnswerSeconds  = Definition{"toucanfall_relay_answer_seconds", Histogram, []string{"outcome"}, "Time from the request to the end of these answers or to their failure, without the time for which they were held for an update."}
	panicsTotal         = Definition{"toucanfall_panics_total", Counter, []string{"where"}, "Recovered panics, by place: `request`, the name of a background loop, or a method that peers call."}
	ingressRejected     = Definition{"toucanfall_ingress_rejections_total", Counter, []string{"kind"}, "Connections and requests that were rejected by the bounds on what clients may hold, by kind: `connection_evicted`, `connection_refused`, `head_slow`, `head_broken`, `body_long`, `body_slow`, `body_no_space`, `reader_slow` or `message_no_space`."}
	ingressUsed         = Definition{"toucanfall_ingress_used", Gauge, []string{"budget"}, "What is in use of a budget: connections of `clients`, `vms`, `readiness` and `metrics`, connections opened `to_engines` and `to_vms`, `bytes` that are reserved for requests and responses, and bytes reserved for `store_answers`, `vm_answers` and `call_answers` (of upstreams, to the VM itself)."}
	ingressLimit        = Definition{"toucanfall_ingress_limit", Gauge, []string{"budget"}, "Limit of a budget, by the names of toucanfall_ingress_used. Those of bytes have the limit 0 where the setting memory_mb is not set, and are then not limited."}
	openRequests        = Definition{"toucanfall_open_requests", Gauge, nil, "Requests in progress."}
	configStaleness     = Definition{"toucanfall_config_proof_age_seconds", Gauge, nil, "Time since the active configuration was last confirmed to be the newest."}
	directoryAge        = Definition{"toucanfall_directory_age_seconds", Gauge, nil, "Time since the directory of upstreams was last read."}
	directoryAgeAtSend  = Definition{"toucanfall_directory_age_at_send_seconds", Histogram, nil, "Age of the directory of upstreams when a request was written to an upstream."}
	configVersion       = Definition{"toucanfall_config_version", Gauge, nil, "Version of the active configuration."}
	rateShare           = Definition{"toucanfall_rate_share", Gauge, nil, "This VM's share of all team rates, by which it refills its token buckets."}
	isCoordinator       = Definition{"toucanfall_coordinator", Gauge, nil, "1 while this VM is the coordinator, otherwise 0."}
	quarantinedParts    = Definition{"toucanfall_quarantined_parts", Gauge, nil, "Number of parts of prompts that crashed engines, requests with which are rejected."}
	upstreamCount       = Definition{"toucanfall_upstreams", Gauge, nil, "Number of upstreams known to this VM."}
	upstreamLeaving     = Definition{"toucanfall_upstream_leaving", Gauge, []string{"upstream"}, "1 for an upstream that announced in a response that it is leaving."}
	upstreamWait        = Definition{"toucanfall_upstream_wait_seconds", Gauge, []string{"upstream"}, "Remaining time for which an upstream that rejected a request of this VM accepts no more from it."}
	upstreamLimit       = Definition{"toucanfall_upstream_intake", Gauge, []string{"upstream"}, "Request rate limit that an upstream announces, in requests per second over all VMs. Absent while it announces none."}
	upstreamCold        = Definition{"toucanfall_upstream_cold_seconds", Gauge, []string{"upstream"}, "Remaining time for which an upstream is cold and takes only the request rate that the configuration sets for cold upstreams of its service, over all VMs. Absent while it is not cold."}
	storeEra            = Definition{"toucanfall_store_era", Gauge, nil, "Number of times that the platform's store came back from a copy, as far as this VM knows."}
	positionsLostTotal  = Definition{"toucanfall_store_positions_lost_total", Counter, []string{"topic"}, "Read positions that were given up because the platform's store came back from a copy, by topic of the store."}
	evacuatedDC         = Definition{"toucanfall_evacuated", Gauge, []string{"data_centre"}, "1 for a data centre whose evacuation is requested, so that its upstreams get no new requests."}
)

// Registry lists all metrics, in the order of docs/METRICS.md.
var Registry = []Definition{requestsTotal, firstPieceSeconds, longestPauseSeconds, attemptsTotal, unframedTotal, brokenTotal, noticesTotal, noticedSendsTotal, permitsTotal, prefillCreditsTotal, retryBudgetTotal, capacityRejected, capacityLimit, capacityInUse, capacityWaiting, storeCallsTotal, positionsLostTotal, relayAnswersTotal, relayBytesTotal, relayAnswerSeconds, panicsTotal, ingressRejected, ingressUsed, ingressLimit, openRequests, configStaleness, directoryAge, directoryAgeAtSend, storeEra, configVersion, rateShare, isCoordinator, quarantinedParts, upstreamCount, upstreamLeaving, upstreamWait, upstreamLimit, upstreamCold, evacuatedDC}

// maxLabelValues bounds the number of values of a label that come from outside
// the process (teams, upstreams); further ones are counted as otherLabelValue. The
// largest fleet in the capacity documentation has 16 teams and 118 upstreams.
const (
	maxLabelValues  = 256
	otherLabelValue = "other"
)

// Gauges are callbacks that return the current values of the gauges. They are
// called at each scrape and must be safe for concurrent use. Ages are in seconds;
// IsCoordinator returns 1 if this VM is the coordinator, otherwise 0.
type Gauges struct {
	OpenRequests, ConfigStaleness, DirectoryAge, ConfigVersion, StoreEra, RateShare, IsCoordinator, QuarantinedParts, Upstreams func() float64
	// EvacuatedDataCentres returns the evacuated data centres.
	EvacuatedDataCentres func() []fleet.DataCentre
	// NoticeStatuses returns the notice status of upstreams. Those without an active notice
	// are not exposed.
	NoticeStatuses func() []NoticeStatus
	// Budgets returns the budgets for what clients and other VMs may hold.
	Budgets func() []Budget
	// Capacities returns the capacity of services at the engines whose accounts this VM keeps.
	Capacities func() []Capacity
}

// Set holds the metrics of a process. It is safe for concurrent use.
type Set struct {
	registry     *prometheus.Registry
	requests     *prometheus.CounterVec
	firstPiece   *prometheus.HistogramVec
	longestPause *prometheus.HistogramVec
	// directoryAgeAtSend has no labels.
	directoryAgeAtSend *prometheus.HistogramVec
	attempts           *prometheus.CounterVec
	unframed           *prometheus.CounterVec
	broken             *prometheus.CounterVec
	notices            *prometheus.CounterVec
	noticedSends       *prometheus.CounterVec
	permits            *prometheus.CounterVec
	prefillCredits     *prometheus.CounterVec
	retryBudget        *prometheus.CounterVec
	capacityRejected   *prometheus.CounterVec
	storeCalls         *prometheus.CounterVec
	relayAnswers       *prometheus.CounterVec
	relayBytes         *prometheus.CounterVec
	relaySeconds       *prometheus.HistogramVec
	positionsLost      *prometheus.CounterVec
	panics             *prometheus.CounterVec
	ingressRejected    *prometheus.CounterVec
	teamValues         labelValues
	upstreamValues     labelValues
	serviceValues      labelValues
}

// histogramBuckets are the upper bounds of the histogram buckets in seconds. In the
// capacity documentation, objectives are 0.1 to 3 s and pauses 0.15 and 0.2 s.
var histogramBuckets = []float64{0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.7, 1.1, 2, 4, 10}

// New returns a set of metrics at zero, without the gauges; see [Set.RegisterGauges].
func New() *Set {
	s := &Set{registry: prometheus.NewRegistry()}
	s.requests, s.attempts, s.storeCalls = s.counter(requestsTotal), s.counter(attemptsTotal), s.counter(storeCallsTotal)
	s.notices, s.noticedSends, s.permits, s.panics = s.counter(noticesTotal), s.counter(noticedSendsTotal), s.counter(permitsTotal), s.counter(panicsTotal)
	s.positionsLost = s.counter(positionsLostTotal)
	s.prefillCredits, s.capacityRejected, s.unframed = s.counter(prefillCreditsTotal), s.counter(capacityRejected), s.counter(unframedTotal)
	s.ingressRejected, s.broken = s.counter(ingressRejected), s.counter(brokenTotal)
	s.relayAnswers, s.relayBytes, s.relaySeconds = s.counter(relayAnswersTotal), s.counter(relayBytesTotal), s.histogram(relayAnswerSeconds)
	s.retryBudget = s.counter(retryBudgetTotal)
	s.firstPiece, s.longestPause, s.directoryAgeAtSend = s.histogram(firstPieceSeconds), s.histogram(longestPauseSeconds), s.histogram(directoryAgeAtSend)
	return s
}

func (s *Set) counter(d Definition) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: d.Name, Help: d.Text}, d.Labels)
	s.registry.MustRegister(c)
	return c
}

func (s *Set) histogram(d Definition) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: d.Name, Help: d.Text, Buckets: histogramBuckets}, d.Labels)
	s.registry.MustRegister(h)
	return h
}

// RegisterGauges registers the gauges. It must be called exactly once; a second call
// panics.
func (s *Set) RegisterGauges(g Gauges) {
	for d, f := range map[*Definition]func() float64{
		&openRequests: g.OpenRequests, &configStaleness: g.ConfigStaleness, &directoryAge: g.DirectoryAge, &configVersion: g.ConfigVersion, &storeEra: g.StoreEra, &rateShare: g.RateShare, &isCoordinator: g.IsCoordinator, &quarantinedParts: g.QuarantinedParts, &upstreamCount: g.Upstreams,
	} {
		s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: d.Name, Help: d.Text}, f))
	}
	s.registry.MustRegister(newNoticeCollector(g.NoticeStatuses), evacuationCollector{g.EvacuatedDataCentres})
	s.registry.MustRegister(newBudgetCollector(g.Budgets), newCapacityCollector(g.Capacities))
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Served counts a request that was served, and records the time to the first chunk
// of its response and the longest pause between chunks after it. Kind is the kind of route.
func (s *Set) Served(kind string, team fleet.TeamID, firstPiece, longestPause time.Duration) {
	s.requests.WithLabelValues(kind, s.teamValues.bounded(string(team)), "served").Inc()
	s.firstPiece.WithLabelValues(kind).Observe(firstPiece.Seconds())
	s.longestPause.WithLabelValues(kind).Observe(longestPause.Seconds())
}

// Rejected counts a request that was rejected or aborted; outcome is the error code.
// Kind is the kind of route, empty if the request matched no route.
func (s *Set) Rejected(kind string, team fleet.TeamID, outcome string) {
	s.requests.WithLabelValues(kind, s.teamValues.bounded(string(team)), outcome).Inc()
}

// Panic counts a recovered panic. See the definition of the metric for where.
func (s *Set) Panic(where string) {
	s.panics.WithLabelValues(where).Inc()
}

// IngressRejection counts a connection or request that the bounds on what clients may hold ended.
func (s *Set) IngressRejection(kind string) {
	s.ingressRejected.WithLabelValues(kind).Inc()
}

// Attempt counts an attempt to serve a request at an upstream.
func (s *Set) Attempt(u fleet.UpstreamID, failed bool) {
	outcome := "served"
	if failed {
		outcome = "failed"
	}
	s.attempts.WithLabelValues(s.upstreamValues.bounded(string(u)), outcome).Inc()
}

// UnframedAnswer counts a relayed answer with neither a length nor chunks, by what decided about its end.
func (s *Set) UnframedAnswer(complete bool, evidence string) {
	outcome := "broken"
	if complete {
		outcome = "complete"
	}
	s.unframed.WithLabelValues(outcome, evidence).Inc()
}

// AnswerBroken counts a request that was read and ended without a complete answer.
func (s *Set) AnswerBroken(reason string) {
	s.broken.WithLabelValues(reason).Inc()
}

// Notice counts a response of an upstream with a notice in its headers.
func (s *Set) Notice(notice string) {
	s.notices.WithLabelValues(notice).Inc()
}

// NoticedSend counts a request that is written to an upstream while a notice from it
// applies.
func (s *Set) NoticedSend(notice string) {
	s.noticedSends.WithLabelValues(notice).Inc()
}

// Permit counts a requested permit to send to an upstream that announces a request
// rate limit.
func (s *Set) Permit(given bool) {
	outcome := "denied"
	if given {
		outcome = "given"
	}
	s.permits.WithLabelValues(outcome).Inc()
}

// Outcomes of requests for a prefill credit.
const (
	CreditGiven       = "given"
	CreditDenied      = "denied"
	CreditUnaccounted = "unaccounted"
)

// PrefillCredit counts a request for a prefill credit.
func (s *Set) PrefillCredit(outcome string) {
	s.prefillCredits.WithLabelValues(outcome).Inc()
}

// Events of the retry budget.
const (
	RetryRequest  = "request"
	RetryTaken    = "taken"
	RetryReturned = "returned"
	RetryDenied   = "denied"
)

// RetryBudget counts an event of the retry budget of a service.
func (s *Set) RetryBudget(service, event string) {
	s.retryBudget.WithLabelValues(s.serviceValues.bounded(service), event).Inc()
}

// CapacityRejected counts a request that was rejected because no engine could run it in time.
func (s *Set) CapacityRejected(service, reason string) {
	s.capacityRejected.WithLabelValues(s.serviceValues.bounded(service), reason).Inc()
}

// DirectoryAgeAtSend records the age of the directory of upstreams when a request is
// written to an upstream.
func (s *Set) DirectoryAgeAtSend(age time.Duration) {
	s.directoryAgeAtSend.WithLabelValues().Observe(age.Seconds())
}

// RelayAnswer records the outcome of a request to the VM that this VM follows, the size of the answer
// in bytes and the time that it took.
func (s *Set) RelayAnswer(outcome string, bytes int, took time.Duration) {
	s.relayAnswers.WithLabelValues(outcome).Inc()
	s.relayBytes.WithLabelValues().Add(float64(bytes))
	s.relaySeconds.WithLabelValues(outcome).Observe(took.Seconds())
}

// PositionLost counts a read position that was given up because the store was restored.
func (s *Set) PositionLost(topic string) {
	s.positionsLost.WithLabelValues(topic).Inc()
}

// StoreCall counts a call to the platform's store; err is its result.
func (s *Set) StoreCall(call string, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	s.storeCalls.WithLabelValues(call, outcome).Inc()
}

// labelValues bounds the number of values of a label to maxLabelValues.
type labelValues struct {
	mu sync.Mutex
	// seen are the values used so far, guarded by mu.
	seen map[string]bool
}

// bounded returns value, or otherLabelValue if value is new and maxLabelValues others
// are in use.
func (v *labelValues) bounded(value string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.seen[value] {
		return value
	}
	if len(v.seen) >= maxLabelValues {
		return otherLabelValue
	}
	if v.seen == nil {
		v.seen = make(map[string]bool)
	}
	v.seen[value] = true
	return value
}
