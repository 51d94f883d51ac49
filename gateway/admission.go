package gateway

import (
	"net/http"
	"strconv"
	"time"

	"toucanfall/event"
	"toucanfall/ingress"
	"toucanfall/internal/httpx"
	"toucanfall/metric"
	"toucanfall/timeline"
)

// operatorTimeout bounds the reading of a request for the metrics or the readiness, and the writing of
// its response.
const operatorTimeout = 10 * time.Second

// maxHeaderBytes is the longest head of a client's request. It applies before a configuration is known;
// net/http permits 4 KiB more.
const maxHeaderBytes = 16 << 10

// newAdmission returns the admission control of this process.
func (g *Gateway) newAdmission() *ingress.Admission {
	return ingress.New(ingress.Config{
		MemoryMB: g.cfg.MemoryMB, Descriptors: g.cfg.Descriptors, HeaderTimeout: g.headerTimeout, Now: time.Now,
		Count:    func(k ingress.Kind) { g.meters.IngressRejection(string(k)) },
		OnClosed: func(r *http.Request) { g.handler.RecordClosed(r) },
		Report: func(rejected map[ingress.Kind]int) {
			f := make(timeline.Fields, len(rejected))
			for k, n := range rejected {
				f[string(k)] = strconv.Itoa(n)
			}
			g.events.Record(event.ClientsRejected, f)
		},
	})
}

// headerTimeout returns the time in which clients must complete a head, by the configuration, 0 if none
// is known.
func (g *Gateway) headerTimeout() time.Duration {
	cfg, _ := g.catalogue.Current()
	if cfg == nil {
		return 0
	}
	return cfg.Limits.HeaderTimeout
}

// newOperatorServer returns a server for the readiness checks or the metrics.
func (g *Gateway) newOperatorServer(h http.Handler) *http.Server {
	s := httpx.NewServer(h)
	s.ReadTimeout, s.WriteTimeout = operatorTimeout, operatorTimeout
	g.admission.Configure(s)
	return s
}

// budgets returns the state of the budgets of the admission control.
func (g *Gateway) budgets() []metric.Budget {
	a := g.admission
	var out []metric.Budget
	for _, b := range []struct {
		name  string
		bytes *ingress.Bytes
	}{
		{"bytes", a.Bytes}, {"store_answers", a.StoreAnswers}, {"vm_answers", a.VMAnswers}, {"call_answers", a.CallAnswers},
	} {
		out = append(out, metric.Budget{Name: b.name, Used: float64(b.bytes.Used()), Limit: float64(b.bytes.Limit())})
	}
	for _, b := range []struct {
		name  string
		state interface {
			Open() int
			Limit() int
		}
	}{
		{"clients", a.Clients}, {"vms", a.VMs}, {"readiness", a.Readiness}, {"metrics", a.Metrics}, {"to_engines", a.ToEngines}, {"to_vms", a.ToVMs},
	} {
		out = append(out, metric.Budget{Name: b.name, Used: float64(b.state.Open()), Limit: float64(b.state.Limit())})
	}
	return out
}
