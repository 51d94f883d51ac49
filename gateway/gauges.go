package gateway

import (
	"time"

	"toucanfall/metric"
)

// gauges returns the functions that read this VM's state for the metrics.
func (g *Gateway) gauges() metric.Gauges {
	return metric.Gauges{
		Open: func() float64 { return float64(g.openRequests.Load()) },
		ConfigAge: func() float64 {
			_, age := g.catalogue.Current()
			return age.Seconds()
		},
		DirectoryAge: func() float64 { return g.directory.Staleness().Seconds() },
		ConfigVersion: func() float64 {
			version, _, _ := g.catalogue.ConfirmedVersion()
			return float64(version)
		},
		Share: g.buckets.Share,
		Duty: func() float64 {
			if g.isCoordinator() {
				return 1
			}
			return 0
		},
		Upstreams: func() float64 { return float64(len(g.roster.Upstreams())) },
		Standings: g.noticeStatuses,
	}
}

// noticeStatuses returns the state that each upstream has announced of itself.
func (g *Gateway) noticeStatuses() []metric.Standing {
	var out []metric.Standing
	now := time.Now()
	for _, u := range g.roster.Upstreams() {
		s := u.NoticeStatus(now)
		m := metric.Standing{Upstream: u.ID, Leaving: s.Leaving, Limited: s.Limited, Intake: float64(s.Intake)}
		if !s.WaitUntil.IsZero() {
			m.Wait = s.WaitUntil.Sub(now)
		}
		out = append(out, m)
	}
	return out
}
