package gateway

import (
	"maps"
	"slices"
	"time"

	"toucanfall/catalogue"
	"toucanfall/metric"
)

// gauges returns the functions that read this VM's state for the metrics.
func (g *Gateway) gauges() metric.Gauges {
	return metric.Gauges{
		OpenRequests: func() float64 { return float64(g.openRequests.Load()) },
		ConfigStaleness: func() float64 {
			_, age := g.catalogue.Current()
			return age.Seconds()
		},
		DirectoryAge: func() float64 { return g.directory.Staleness().Seconds() },
		ConfigVersion: func() float64 {
			version, _, _ := g.catalogue.ConfirmedVersion()
			return float64(version)
		},
		StoreEra:  func() float64 { return float64(g.store.Era()) },
		RateShare: g.buckets.Share,
		IsCoordinator: func() float64 {
			if g.isCoordinator() {
				return 1
			}
			return 0
		},
		QuarantinedParts:     func() float64 { return float64(g.quarantine.Size()) },
		Upstreams:            func() float64 { return float64(len(g.roster.Upstreams())) },
		EvacuatedDataCentres: g.catalogue.Evacuated,
		NoticeStatuses:       g.noticeStatuses,
		Budgets:              g.budgets,
		Capacities:           g.capacities,
	}
}

// noticeStatuses returns the state that each upstream has announced of itself.
func (g *Gateway) noticeStatuses() []metric.NoticeStatus {
	var out []metric.NoticeStatus
	now := time.Now()
	for _, u := range g.roster.Upstreams() {
		s := u.NoticeStatus(now)
		m := metric.NoticeStatus{Upstream: u.ID, Leaving: s.Leaving, Limited: !s.AnnouncedAt.IsZero(), Limit: float64(s.Announced)}
		if s.ColdIntake > 0 {
			m.Cold = s.ColdUntil.Sub(now)
		}
		if !s.WaitUntil.IsZero() {
			m.Wait = s.WaitUntil.Sub(now)
		}
		out = append(out, m)
	}
	return out
}

// capacities returns the capacity of each service at the engines whose accounts this VM keeps. Engines
// that have left are not counted.
func (g *Gateway) capacities() []metric.Capacity {
	sums := make(map[catalogue.ServiceID]metric.Capacity)
	for _, u := range g.prefillHost.Usage() {
		engine, ok := g.roster.Get(u.Upstream)
		if !ok {
			continue
		}
		s := sums[engine.Service()]
		s.Service = string(engine.Service())
		s.Slots += float64(u.Capacity.Slots)
		s.Running += float64(u.Running)
		s.Memory += float64(u.Capacity.Tokens)
		s.Tokens += u.Tokens
		s.Waiting += float64(u.Waiting)
		sums[engine.Service()] = s
	}
	return slices.Collect(maps.Values(sums))
}
