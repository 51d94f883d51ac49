package metric

import "github.com/prometheus/client_golang/prometheus"

// Capacity is the capacity of a service's engines and its use.
type Capacity struct {
	Service string
	// Slots and Memory are the capacity, Running and Tokens what of it is in use.
	Slots, Running, Memory, Tokens float64
	// Waiting is the number of requests that wait for capacity.
	Waiting float64
}

// Values of the label kind of the capacity gauges.
const (
	kindSlots  = "slots"
	kindMemory = "memory"
)

// capacityCollector is a Prometheus collector with the gauges of the capacity of services.
type capacityCollector struct {
	read                  func() []Capacity
	limit, inUse, waiting *prometheus.Desc
}

func newCapacityCollector(read func() []Capacity) *capacityCollector {
	return &capacityCollector{read: read, limit: capacityLimit.desc(), inUse: capacityInUse.desc(), waiting: capacityWaiting.desc()}
}

// Describe sends the descriptors of the gauges. It implements prometheus.Collector.
func (c *capacityCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.limit
	out <- c.inUse
	out <- c.waiting
}

// Collect sends the gauges of each service. It implements prometheus.Collector.
func (c *capacityCollector) Collect(out chan<- prometheus.Metric) {
	for _, s := range c.read() {
		send := func(d *prometheus.Desc, v float64, labels ...string) {
			out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
		}
		send(c.limit, s.Slots, s.Service, kindSlots)
		send(c.limit, s.Memory, s.Service, kindMemory)
		send(c.inUse, s.Running, s.Service, kindSlots)
		send(c.inUse, s.Tokens, s.Service, kindMemory)
		send(c.waiting, s.Waiting, s.Service)
	}
}
