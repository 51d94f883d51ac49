package metric

import "github.com/prometheus/client_golang/prometheus"

// Budget is the state of one budget for what clients and other VMs may hold.
type Budget struct {
	Name        string
	Used, Limit float64
}

// budgetCollector is a Prometheus collector with the gauges of the budgets.
type budgetCollector struct {
	read        func() []Budget
	used, limit *prometheus.Desc
}

func newBudgetCollector(read func() []Budget) *budgetCollector {
	return &budgetCollector{read: read, used: ingressUsed.desc(), limit: ingressLimit.desc()}
}

// Describe sends the descriptors of the gauges. It implements prometheus.Collector.
func (c *budgetCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.used
	out <- c.limit
}

// Collect sends the gauges of each budget. It implements prometheus.Collector.
func (c *budgetCollector) Collect(out chan<- prometheus.Metric) {
	for _, b := range c.read() {
		out <- prometheus.MustNewConstMetric(c.used, prometheus.GaugeValue, b.Used, b.Name)
		out <- prometheus.MustNewConstMetric(c.limit, prometheus.GaugeValue, b.Limit, b.Name)
	}
}
