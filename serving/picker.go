package serving

import (
	"slices"
	"time"

	"toucanfall/catalogue"
	"toucanfall/fleet"
	"toucanfall/roster"
	"toucanfall/servicetime"
)

// Weights of an upstream's cost. The unit is one request in flight at the upstream.
const (
	// otherDataCentreWeight is added for an upstream in another data centre: traffic between
	// data centres is charged for, and has a higher latency.
	otherDataCentreWeight = 6
	// failingWeight is multiplied by the recent share of failed requests.
	failingWeight = 60
	// silentWeight is added if the upstream has requests in flight but sends nothing.
	silentWeight = 100
	// promptWeight is the cost of each prompt token that was sent to the upstream recently: 700
	// tokens, the mean prompt in the capacity documentation, cost as much as two requests.
	promptWeight = 2.0 / 700
	// connectWeight is added if a connection has to be opened: that takes one more round trip,
	// and upstreams accept few connections.
	connectWeight = 4
	// triedWeight is added if the upstream has already failed the request.
	triedWeight = 1000
)

// Picker chooses upstreams by least cost.
type Picker struct {
	roster     *roster.Roster
	dataCentre fleet.DataCentre
	vmCount    func() float64
	connected  func(*roster.Upstream) bool
	random     func() float64
	// regions maps data centres to their regions.
	regions map[fleet.DataCentre]fleet.Region
}

// NewPicker returns a picker for a VM in data centre dc. vmCount returns how many VMs choose
// among the same upstreams, this one included; connected reports whether this VM has an idle
// connection to an upstream; random returns a number in [0, 1).
func NewPicker(r *roster.Roster, dc fleet.DataCentre, vmCount func() float64, connected func(*roster.Upstream) bool, random func() float64) *Picker {
	return &Picker{roster: r, dataCentre: dc, vmCount: vmCount, connected: connected, random: random}
}

// service chooses one of the services of a call's route at random, by weight, among those that have a
// usable upstream in an allowed region. It returns false if there is none.
func (p *Picker) service(c *Call) (catalogue.ServiceID, bool) {
	var total float64
	var usable []catalogue.Weighted
	for _, w := range c.Route.Split {
		if w.Weight > 0 && p.hasUsable(w.Service, c) {
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

func (p *Picker) hasUsable(s catalogue.ServiceID, c *Call) bool {
	return slices.ContainsFunc(p.roster.Upstreams(), func(u *roster.Upstream) bool {
		return u.Usable() && u.Service() == s && p.allowed(u, c)
	})
}

// allowed reports whether a call may be sent to the region of an upstream. An upstream in no known
// region gets only calls that are allowed everywhere.
func (p *Picker) allowed(u *roster.Upstream, c *Call) bool {
	for _, list := range c.allowedRegions {
		if len(list) == 0 {
			continue
		}
		region := p.regions[u.Entry().DataCentre]
		if region == "" || !slices.Contains(list, region) {
			return false
		}
	}
	return true
}

// disallowed returns the upstreams of a service to whose region a call may not be sent.
func (p *Picker) disallowed(s catalogue.ServiceID, c *Call) []*roster.Upstream {
	return p.filter(func(u *roster.Upstream) bool { return u.Service() == s && !p.allowed(u, c) })
}

// Candidates returns the usable upstreams of a service that hold the call's model, if it names
// one, without those in avoid and those that are closed to this VM now. Upstreams that could not
// be connected to recently are left out if there are others.
func (p *Picker) Candidates(s catalogue.ServiceID, c *Call, avoid []fleet.UpstreamID) []*roster.Upstream {
	now := time.Now()
	var reachable, unreachable []*roster.Upstream
	for _, u := range p.roster.Upstreams() {
		if !p.serves(u, s, c) || !u.ClosedUntil(now).IsZero() || slices.Contains(avoid, u.ID) {
			continue
		}
		if u.Unreachable(now) {
			unreachable = append(unreachable, u)
		} else {
			reachable = append(reachable, u)
		}
	}
	if len(reachable) == 0 {
		return unreachable
	}
	return reachable
}

// serves reports whether an upstream belongs to a service and can serve a call.
func (p *Picker) serves(u *roster.Upstream, s catalogue.ServiceID, c *Call) bool {
	return u.Usable() && u.Service() == s && p.allowed(u, c) && (c.Model == "" || u.Holds(c.Model))
}

// excluded reports whether no upstream can serve a call, either because all that could are in
// evacuated data centres, or because the call may not be sent to the region of any. others reports
// whether the service has other upstreams, which could load the model.
func (p *Picker) excluded(s catalogue.ServiceID, c *Call) (all, others bool) {
	var evacuated, allowed, disallowed bool
	for _, u := range p.roster.Upstreams() {
		switch {
		case p.serves(u, s, c):
			return false, true
		case u.Service() != s || !u.Usable() && !u.Evacuated():
		case !p.allowed(u, c):
			disallowed = true
		case u.Usable():
			allowed, others = true, true
		default:
			allowed = true
			evacuated = evacuated || c.Model == "" || u.Holds(c.Model)
		}
	}
	return evacuated || disallowed && !allowed, others
}

// closed returns the upstreams that could serve a call, but are closed to this VM now.
func (p *Picker) closed(s catalogue.ServiceID, c *Call) []*roster.Upstream {
	now := time.Now()
	return p.filter(func(u *roster.Upstream) bool { return p.serves(u, s, c) && !u.ClosedUntil(now).IsZero() })
}

// constrained returns the upstreams that could serve a call, but announce a request rate limit or
// are closed now. It returns nil if there are no others.
func (p *Picker) constrained(s catalogue.ServiceID, c *Call) []*roster.Upstream {
	now := time.Now()
	hasUnconstrained := false
	list := p.filter(func(u *roster.Upstream) bool {
		if !p.serves(u, s, c) {
			return false
		}
		isConstrained := u.NoticeStatus(now).Limited || !u.ClosedUntil(now).IsZero()
		hasUnconstrained = hasUnconstrained || !isConstrained
		return isConstrained
	})
	if !hasUnconstrained {
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

// unlimited returns the upstreams that announce no request rate limit. It changes list.
func unlimited(list []*roster.Upstream) []*roster.Upstream {
	now := time.Now()
	return slices.DeleteFunc(list, func(u *roster.Upstream) bool { return u.NoticeStatus(now).Limited })
}

// withAdapter returns the upstreams that have the call's adapter now.
func withAdapter(list []*roster.Upstream, c *Call) []*roster.Upstream {
	now := time.Now()
	var out []*roster.Upstream
	for _, u := range list {
		if u.HasAdapter(c.modelAdapter(), now) {
			out = append(out, u)
		}
	}
	return out
}

// Best returns the upstream of least cost, nil if the list is empty. Where an upstream has ever stated
// its relative processing time, the cost of all is their expected time, otherwise their work.
func (p *Picker) Best(list []*roster.Upstream, tried []fleet.UpstreamID) *roster.Upstream {
	var best *roster.Upstream
	var least float64
	now, vmCount := time.Now(), p.vmCount()
	timed := slices.ContainsFunc(list, func(u *roster.Upstream) bool { _, ok := u.ProcessingTime(now); return ok })
	for _, u := range list {
		c := p.work(u, now, vmCount)
		if timed {
			ratio, _ := u.ProcessingTime(now)
			_, all := u.InFlight()
			c = servicetime.Cost(c, all, u.Slots(), ratio)
		}
		c += p.surcharge(u, tried, now)
		if best == nil || c < least {
			best, least = u, c
		}
	}
	return best
}

// work returns the work at an upstream, in requests in flight.
func (p *Picker) work(u *roster.Upstream, now time.Time, vmCount float64) float64 {
	_, all := u.InFlight()
	// The other VMs choose by the same rule, and this VM learns of their requests only later.
	unseen := (vmCount - 1) * float64(u.StartedSinceUpdate())
	return float64(all) + unseen + promptWeight*u.PendingPromptTokens(now)*vmCount
}

// surcharge returns the part of an upstream's cost that does not depend on its work.
func (p *Picker) surcharge(u *roster.Upstream, tried []fleet.UpstreamID, now time.Time) float64 {
	// The random part makes VMs with the same information choose differently.
	c := p.random() * 0.4
	if u.Entry().DataCentre != p.dataCentre {
		c += otherDataCentreWeight
	}
	c += failingWeight * u.FailureShare(now)
	if u.Silent(now) {
		c += silentWeight
	}
	if slices.Contains(tried, u.ID) {
		c += triedWeight
	}
	// VMs with the same information have connections to different upstreams.
	if !p.connected(u) {
		c += connectWeight
	}
	return c
}
