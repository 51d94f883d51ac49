package metric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"toucanfall/fleet"
)

// Standing is what an upstream has said of itself, as it holds for this VM.
type NoticeStatus struct {
	Upstream fleet.UpstreamID
	Leaving  bool
	// Wait is for how long the upstream wants nothing more.
	Wait time.Duration
	// Intake is the named number of requests a second while Limited is set.
	Limited bool
	Limit  float64
}

// standings shows upstreams that have spoken of themselves, and no others: a large fleet has
// more upstreams than a VM has values for.
type standings struct {
	read                   func() []NoticeStatus
	leaving, wait, intakes *prometheus.Desc
}

func newStandings(read func() []NoticeStatus) *standings {
	describe := func(d Definition) *prometheus.Desc { return prometheus.NewDesc(d.Name, d.Text, d.Labels, nil) }
	return &standings{read: read, leaving: describe(leaving), wait: describe(waits), intakes: describe(intakes)}
}

// Describe sends the descriptions of the gauges.
func (s *standings) Describe(out chan<- *prometheus.Desc) {
	out <- s.leaving
	out <- s.wait
	out <- s.intakes
}

// Collect sends a gauge for each thing that an upstream has said and that still holds.
func (s *standings) Collect(out chan<- prometheus.Metric) {
	for _, u := range s.read() {
		send := func(d *prometheus.Desc, v float64) {
			out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, string(u.Upstream))
		}
		if u.Leaving {
			send(s.leaving, 1)
		}
		if u.Wait > 0 {
			send(s.wait, u.Wait.Seconds())
		}
		if u.Limited {
			send(s.intakes, u.Limit)
		}
	}
}
