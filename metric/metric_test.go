package metric_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanfall/fleet"
	"toucanfall/metric"
)

// scrape returns the metrics in the Prometheus text format.
func scrape(s *metric.Set) string {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	return w.Body.String()
}

// Every metric of the registry is exposed once it has a value.
func TestAllMetricsAreShown(t *testing.T) {
	is := is.New(t)
	s := metric.New()
	one := func() float64 { return 1 }
	s.RegisterGauges(metric.Gauges{OpenRequests: one, ConfigStaleness: one, DirectoryAge: one, ConfigVersion: one, StoreEra: one, RateShare: one, IsCoordinator: one, QuarantinedParts: one, Upstreams: one, EvacuatedDataCentres: func() []fleet.DataCentre { return []fleet.DataCentre{"dc"} }, NoticeStatuses: func() []metric.NoticeStatus {
		return []metric.NoticeStatus{{Upstream: "u", Leaving: true, Wait: time.Second, Limited: true, Limit: 2.4, Cold: time.Second}, {Upstream: "silent"}}
	}, Budgets: func() []metric.Budget { return []metric.Budget{{Name: "bytes", Used: 1, Limit: 2}} }, Capacities: func() []metric.Capacity {
		return []metric.Capacity{{Service: "s", Slots: 24, Running: 3}}
	}})
	s.CapacityRejected("s", "slots")
	s.RetryBudget("s", metric.RetryTaken)
	s.Served("stream", "team", 30*time.Millisecond, time.Second)
	s.Rejected("", "", "not_found")
	s.Attempt("u", true)
	s.StoreCall("read", nil)
	s.RelayAnswer("useful", 100, time.Second)
	s.PositionLost("topic")
	s.Notice("intake")
	s.NoticedSend("intake")
	s.Permit(true)
	s.PrefillCredit(metric.CreditGiven)
	s.UnframedAnswer(true, "document")
	s.AnswerBroken("stop")
	s.Panic("request")
	s.IngressRejection("body_slow")
	s.DirectoryAgeAtSend(time.Second)
	text := scrape(s)
	for _, d := range metric.Registry {
		is.True(strings.Contains(text, "\n# TYPE "+d.Name+" "+string(d.Kind)+"\n") || strings.HasPrefix(text, "# TYPE "+d.Name))
	}
	is.True(strings.Contains(text, `toucanfall_requests_total{kind="stream",outcome="served",team="team"} 1`))
}

// Label values that come from outside the process must not make the exposed text grow
// without bound.
func TestLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	s := metric.New()
	for i := range 10_000 {
		s.Attempt(fleet.UpstreamID(fmt.Sprint(i)), false)
		s.Rejected("stream", fleet.TeamID(fmt.Sprint(i)), "rate_limited")
	}
	is.True(strings.Count(scrape(s), "\n") < 600)
}
