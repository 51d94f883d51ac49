package metric

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"toucanfall/fleet"
)

// evacuationCollector is a Prometheus collector with a gauge for each evacuated data centre.
type evacuationCollector struct {
	read func() []fleet.DataCentre
}

// evacuatedDesc describes the gauge of evacuationCollector.
var evacuatedDesc = evacuatedDC.desc()

// Describe sends the descriptor of the gauge. It implements prometheus.Collector.
func (c evacuationCollector) Describe(out chan<- *prometheus.Desc) {
	out <- evacuatedDesc
}

// Collect sends the gauges. It implements prometheus.Collector.
func (c evacuationCollector) Collect(out chan<- prometheus.Metric) {
	for _, dc := range c.read() {
		out <- prometheus.MustNewConstMetric(evacuatedDesc, prometheus.GaugeValue, 1, strings.ToValidUTF8(string(dc), "?"))
	}
}
