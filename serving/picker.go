package serving

import (
	"slices"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/roster"
)

// Weights of a cost, in requests in flight at the upstream.
const (
	// farWeight is what another data centre costs: bytes between data centres
	// are priced, and the way is longer.
	farWeight = 6
	// failingWeight is what an upstream costs whose requests all failed lately.
	failingWeight = 60
	// silentWeight is what an upstream costs that owes first bytes for too long.
	silentWeight = 100
	// promptWeight is what each prompt token costs that the upstream was sent
	// lately: 700 of them, the mean of the sheets, as much as two requests.
	promptWeight = 2.0 / 700
	// connectWeight is what an upstream costs to which a connection has to be opened:
	// it takes a way more, and upstreams have few connections.
	connectWeight = 4
	// triedWeight is what an upstream costs that has failed the request already.
	triedWeight = 1000
)

// Picker chooses upstreams.
type Picker struct {
	roster     *roster.Roster
	dataCentre fleet.DataCentre
	sharers    func() float64
	connected  func(*roster.Upstream) bool
	random     func() float64
}

// NewPicker returns a picker of a VM in a data centre. Sharers returns how many
// VMs choose among the same upstreams as this one, itself included; connected
// tells whether this VM has an idle connection to an upstream. Random draws from 0 to 1.
func NewPicker(r *roster.Roster, dc fleet.DataCentre, sharers func() float64, connected func(*roster.Upstream) bool, random func() float64) *Picker {
	return &Picker{roster: r, dataCentre: dc, sharers: sharers, connected: connected, random: random}
}

// service draws one of the services of a route by weight, of those that have a
// usable upstream.
func (p *Picker) service(r *catalogue.Route) (catalogue.ServiceID, bool) {
	var total float64
	var usable []catalogue.Weighted
	for _, w := range r.Split {
		if w.Weight > 0 && p.any(w.Service) {
			usable = append(usable, w)
			total += w.Weight
		}
	}
	x := p.random() * total
	for _, w := range usable {
		if x -= w.Weight; x < 0 {
			return w.Service, true
		}
	}
	return "", false
}

func (p *Picker) any(s catalogue.ServiceID) bool {
	return slices.ContainsFunc(p.roster.Upstreams(), func(u *roster.Upstream) bool {
		return u.Usable() && u.Service() == s
	})
}

// Candidates returns the usable upstreams of a service that hold the call's
// model, if it names one, but for those to avoid and those that take nothing from
// this VM now. Those that could not be connected to lately are left out if there
// are others.
func (p *Picker) Candidates(s catalogue.ServiceID, c *Call, avoid []fleet.UpstreamID) []*roster.Upstream {
	now := time.Now()
	var here, away []*roster.Upstream
	for _, u := range p.roster.Upstreams() {
		if !p.serves(u, s, c) || !u.ClosedUntil(now).IsZero() || slices.Contains(avoid, u.ID) {
			continue
		}
		if u.Unreachable(now) {
			away = append(away, u)
		} else {
			here = append(here, u)
		}
	}
	if len(here) == 0 {
		return away
	}
	return here
}

// serves reports whether an upstream is of a service and could serve a call.
func (p *Picker) serves(u *roster.Upstream, s catalogue.ServiceID, c *Call) bool {
	return u.Usable() && u.Service() == s && (c.Model == "" || u.Holds(c.Model))
}

// shut returns the upstreams that could serve a call, but take nothing from this VM now.
func (p *Picker) shut(s catalogue.ServiceID, c *Call) []*roster.Upstream {
	now := time.Now()
	return p.filter(func(u *roster.Upstream) bool { return p.serves(u, s, c) && !u.ClosedUntil(now).IsZero() })
}

// needy returns the upstreams of a service that name their intake or take nothing now, if
// there are others that could serve a call.
func (p *Picker) needy(s catalogue.ServiceID, c *Call) []*roster.Upstream {
	now := time.Now()
	sound := false
	list := p.filter(func(u *roster.Upstream) bool {
		if !p.serves(u, s, c) {
			return false
		}
		needs := u.NoticeStatus(now).Limited || !u.ClosedUntil(now).IsZero()
		sound = sound || !needs
		return needs
	})
	if !sound {
		return nil
	}
	return list
}

func (p *Picker) filter(keep func(*roster.Upstream) bool) []*roster.Upstream {
	var out []*roster.Upstream
	for _, u := range p.roster.Upstreams() {
		if keep(u) {
			out = append(out, u)
		}
	}
	return out
}

// unlimited returns the upstreams that name no intake.
func unlimited(list []*roster.Upstream) []*roster.Upstream {
	now := time.Now()
	return slices.DeleteFunc(list, func(u *roster.Upstream) bool { return u.NoticeStatus(now).Limited })
}

// withAdapter returns those that have the call's adapter now.
func withAdapter(list []*roster.Upstream, c *Call) []*roster.Upstream {
	now := time.Now()
	var out []*roster.Upstream
	for _, u := range list {
		if u.HasAdapter(c.wanted(), now) {
			out = append(out, u)
		}
	}
	return out
}

// Best returns the candidate of least cost, nil if there is none.
func (p *Picker) Best(list []*roster.Upstream, tried []fleet.UpstreamID) *roster.Upstream {
	var best *roster.Upstream
	var least float64
	now, sharers := time.Now(), p.sharers()
	for _, u := range list {
		c := p.cost(u, tried, now, sharers)
		if best == nil || c < least {
			best, least = u, c
		}
	}
	return best
}

func (p *Picker) cost(u *roster.Upstream, tried []fleet.UpstreamID, now time.Time, sharers float64) float64 {
	_, all := u.InFlight()
	// The random part spreads VMs that know the same.
	c := float64(all) + p.random()*0.4
	// The others choose by the same rule and tell of it only later.
	c += (sharers - 1) * float64(u.StartedSinceUpdate())
	if u.Entry().DataCentre != p.dataCentre {
		c += farWeight
	}
	c += failingWeight * u.FailureShare(now)
	c += promptWeight * u.PendingPromptTokens(now) * sharers
	if u.Silent(now) {
		c += silentWeight
	}
	if slices.Contains(tried, u.ID) {
		c += triedWeight
	}
	// VMs that know the same have connections to different upstreams.
	if !p.connected(u) {
		c += connectWeight
	}
	return c
}
