package metric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"toucanfall/fleet"
)

// NoticeStatus is the notice status of an upstream: what it has announced in its
// response headers, as far as that still applies to this VM.
type NoticeStatus struct {
	Upstream fleet.UpstreamID
	// Leaving reports whether the upstream announced that it is leaving.
	Leaving bool
	// Wait is the remaining time for which the upstream accepts no more requests.
	Wait time.Duration
	// Limited reports whether the upstream announces a request rate limit.
	Limited bool
	// Limit is the announced limit in requests per second over all VMs.
	Limit float64
	// Cold is for how long the upstream stays cold and its request rate is limited.
	Cold time.Duration
}

// noticeCollector is a Prometheus collector with gauges of the upstreams that have an
// active notice. It exposes no others: a large fleet has more upstreams than the number
// of values that a VM exposes for a label.
type noticeCollector struct {
	read                       func() []NoticeStatus
	leaving, wait, limit, cold *prometheus.Desc
}

func newNoticeCollector(read func() []NoticeStatus) *noticeCollector {
	return &noticeCollector{read: read, leaving: upstreamLeaving.desc(), wait: upstreamWait.desc(), limit: upstreamLimit.desc(), cold: upstreamCold.desc()}
}

// Describe sends the descriptors of the gauges. It implements prometheus.Collector.
func (c *noticeCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.leaving
	out <- c.wait
	out <- c.limit
	out <- c.cold
}

// Collect sends a gauge for each active notice of an upstream. It implements
// prometheus.Collector.
func (c *noticeCollector) Collect(out chan<- prometheus.Metric) {
	for _, u := range c.read() {
		send := func(d *prometheus.Desc, v float64) {
			out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, string(u.Upstream))
		}
		if u.Leaving {
			send(c.leaving, 1)
		}
		if u.Wait > 0 {
			send(c.wait, u.Wait.Seconds())
		}
		if u.Limited {
			send(c.limit, u.Limit)
		}
		if u.Cold > 0 {
			send(c.cold, u.Cold.Seconds())
		}
	}
}
