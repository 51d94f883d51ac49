package ratelimit

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"toucanfall/fleet"
	"toucanfall/roster"
)

// PoolID identifies a pool by its index among the number of pools that the fleet has.
type PoolID struct{ Index, Of int }

// Mark is the time of a pool host's answer, on the clock of one start of the host.
type Mark struct {
	Start uint64
	At    time.Duration
}

// Bond commits a VM to ask only one pool host for permits of a pool's upstreams. It is valid
// for bindingTTL from the Mark of the host's last answer, so that no delay of a message or
// pause of the VM makes it last longer than the VM assumes.
type Bond struct {
	// Share is the VM's share of all rates, valid for Left more. Lapsed is set if the share
	// has expired because the store has not confirmed it recently.
	Share  float64
	Left   time.Duration
	Lapsed bool
	Mark   Mark
}

// Times and sizes of permits.
const (
	// bindingTTL is how long a binding lasts; several messages to the pool host are sent in
	// that time.
	bindingTTL = 2500 * time.Millisecond
	// permitTTL is how long a permit can be used, from when it was requested.
	permitTTL = 200 * time.Millisecond
	// usedFraction is the fraction of an announced limit that is granted. Permits that were
	// granted within permitTTL before a window may be used in it; the users require that an
	// upstream's limit holds in every window of 4 s.
	usedFraction = 0.9
	// storedWindow bounds the unused permits that are kept to those that accrue in this time,
	// but to no fewer than one. Together with permitTTL it uses up the rest of the limit over
	// a window.
	storedWindow = 200 * time.Millisecond
	// maxYield bounds how long a permit is reserved for a request that has precedence.
	maxYield = 300 * time.Millisecond
	// rejectedTTL is how long a request that got no permit is remembered.
	rejectedTTL = time.Second
	// requestsPerPermit is how many requests all VMs together make for each permit. It is high
	// enough that few permits stay unused, and low enough that few requests are in vain.
	requestsPerPermit = 12
	// requesterTTL is how long a VM counts as a requester after its last request.
	requesterTTL = 2 * time.Second
	// maxRetryAfter bounds the time after which a VM asks again.
	maxRetryAfter = 2 * time.Second
	// upstreamIdleTTL is how long the permit state of an upstream is kept after the last
	// request for it.
	upstreamIdleTTL = time.Minute
)

// upstreamLimits grants permits for requests to upstreams with an announced limit. It grants
// them only while VMs that hold more than half of all rates are bound to this pool host, so
// that no two hosts grant permits for an upstream at the same time. It is safe for concurrent
// use.
type upstreamLimits struct {
	now             func() time.Duration
	ownShareExpired func() bool
	// start identifies this start of the pool host.
	start uint64
	// random returns numbers in [0, 1).
	random func() float64

	mu sync.Mutex
	// The fields below are guarded by mu.
	bindings  map[PoolID]*poolBindings
	limits    map[upstreamStart]*upstreamLimit
	evictedAt time.Duration
}

// upstreamStart identifies one start of an upstream.
type upstreamStart struct {
	upstream fleet.UpstreamID
	start    int64
}

// poolBindings holds the VMs that are bound to this pool host for a pool. It is guarded by
// upstreamLimits.mu.
type poolBindings struct {
	byVM map[fleet.VMID]boundVM
	// majorityTime is the total time until advancedAt during which VMs with more than half of
	// the rates were bound. lostAt is its value when that majority was last lost, losses is how
	// often it was.
	majorityTime, advancedAt, lostAt time.Duration
	losses                           int
	// majorityUntil is until when these VMs are bound, as computed at countedAt.
	majorityUntil, countedAt time.Duration
}

// boundVM is a VM that is bound to this pool host until expiry.
type boundVM struct {
	share        float64
	shareExpired bool
	expiry       time.Duration
}

// upstreamLimit is the permit state of one start of an upstream. It is guarded by
// upstreamLimits.mu.
type upstreamLimit struct {
	// announced is the newest known limit in requests per second, announcedAt when it was
	// announced, available the number of permits that can be granted.
	announced   roster.Intake
	announcedAt time.Duration
	available   float64
	// cold is the limit until coldUntil, in requests per second.
	cold      roster.Intake
	coldUntil time.Duration
	// rate is the number of permits that are granted per second.
	rate float64
	// majorityTime and losses are those of the poolBindings at the last refill. availableSince
	// is when the number of available permits reached one.
	majorityTime   time.Duration
	losses         int
	availableSince time.Duration
	lastRequest    time.Duration
	// requesters holds when each VM last asked for permits.
	requesters map[fleet.VMID]time.Duration
	// lastTeam is the team that got the last permit, rejected holds the requests that have got
	// none since.
	lastTeam fleet.TeamID
	rejected []rejectedClaimant
}

// rejectedClaimant is a request that got no permit.
type rejectedClaimant struct {
	Claimant
	at time.Duration
}

func newUpstreamLimits(now func() time.Duration, ownShareExpired func() bool) *upstreamLimits {
	return &upstreamLimits{now: now, ownShareExpired: ownShareExpired, start: rand.Uint64(), random: rand.Float64, bindings: make(map[PoolID]*poolBindings), limits: make(map[upstreamStart]*upstreamLimit)}
}

// newMark returns the Mark of an answer that is given now.
func (s *upstreamLimits) newMark() Mark {
	return Mark{Start: s.start, At: s.now()}
}

// bind records a VM's binding. One without a Mark of this start of the pool host is ignored,
// and so is one with an invalid share.
func (s *upstreamLimits) bind(vm fleet.VMID, pool PoolID, b Bond) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	bindings := s.advance(pool, now)
	if b.Mark.Start != s.start || b.Mark.At > now || !(b.Share > 0 && b.Share <= 1) {
		return
	}
	expiry := b.Mark.At + bindingTTL
	if !b.Lapsed {
		expiry = min(expiry, b.Mark.At+b.Left)
	}
	if b.Share < bindings.byVM[vm].share {
		bindings.majorityUntil = bindings.advancedAt // The rest of the share may be bound to another host.
	}
	bindings.byVM[vm] = boundVM{share: b.Share, shareExpired: b.Lapsed, expiry: expiry}
}

// advance updates the majority time of a pool's bindings to now. The caller holds mu.
func (s *upstreamLimits) advance(pool PoolID, now time.Duration) *poolBindings {
	bindings, ok := s.bindings[pool]
	if !ok {
		bindings = &poolBindings{byVM: make(map[fleet.VMID]boundVM), advancedAt: now}
		s.bindings[pool] = bindings
	}
	if now >= bindings.majorityUntil || now-bindings.countedAt >= recountInterval {
		bindings.majorityUntil, bindings.countedAt = bindings.findMajorityUntil(s.ownShareExpired()), now
	}
	if end := min(bindings.majorityUntil, now); end > bindings.advancedAt {
		bindings.majorityTime += end - bindings.advancedAt
	}
	if bindings.majorityUntil < now {
		bindings.lostAt = bindings.majorityTime
		bindings.losses++
	}
	bindings.advancedAt = now
	return bindings
}

// findMajorityUntil returns until when VMs with more than half of the rates are bound, and
// removes the bindings that expired by advancedAt. Expired shares count only if includeExpired
// is set.
func (b *poolBindings) findMajorityUntil(includeExpired bool) time.Duration {
	counted := make([]boundVM, 0, len(b.byVM))
	var sum float64
	for vm, bound := range b.byVM {
		if bound.expiry <= b.advancedAt {
			delete(b.byVM, vm)
			continue
		}
		if !bound.shareExpired || includeExpired {
			counted = append(counted, bound)
			sum += bound.share
		}
	}
	slices.SortFunc(counted, func(x, y boundVM) int { return cmp.Compare(x.expiry, y.expiry) })
	for _, bound := range counted {
		if sum <= majorityShare {
			break
		}
		if sum -= bound.share; sum <= majorityShare {
			return bound.expiry
		}
	}
	return b.advancedAt
}

// majorityShare is half of all rates, plus more than the rounding error of their sum.
const majorityShare = 0.5 + 1e-6

// IntakeRequest asks for permits to send requests to an upstream with an announced limit. Born
// identifies the upstream's start.
type IntakeRequest struct {
	VM       fleet.VMID
	Pool     PoolID
	Upstream fleet.UpstreamID
	Born     int64
	// Intake is the limit that the upstream announced Age ago, in requests per second.
	Intake roster.Intake
	Age    time.Duration
	// Cold is the limit while the upstream is cold, and applies for ColdFor more; 0 if it is not
	// cold. OnlyCold is set if the upstream has announced no limit: Intake then repeats Cold, for
	// pool hosts of earlier versions.
	Cold     roster.Intake
	ColdFor  time.Duration
	OnlyCold bool
	// First is the request that is to be sent first, Want is how many requests wait. Turned
	// holds requests of this VM that got no permit since its last IntakeRequest.
	First  Claimant
	Want   int
	Turned []Claimant
}

// Check returns an error if a field of the request is out of range.
func (r *IntakeRequest) Check() error {
	switch {
	case !r.Intake.Valid() || !r.Cold.Valid():
		return fmt.Errorf("an intake of %s requests a second, %s while cold", r.Intake, r.Cold)
	case r.Age < 0 || r.Want < 0 || r.ColdFor < 0:
		return fmt.Errorf("an age of %s, a cold time of %s, %d requests wanted", r.Age, r.ColdFor, r.Want)
	}
	return nil
}

// Claimant describes a request that needs a permit. A lower Rank is more urgent.
type Claimant struct {
	Rank int
	Team fleet.TeamID
}

// precedes reports whether a claimant has precedence over another one, given the team that got
// the last permit. More urgent requests have, and among equally urgent ones those of another
// team than the last.
func (c Claimant) precedes(other Claimant, lastTeam fleet.TeamID) bool {
	return c.Rank < other.Rank || c.Rank == other.Rank && other.Team == lastTeam && c.Team != lastTeam
}

// IntakeGrant answers an IntakeRequest with the number of permits.
type IntakeGrant struct {
	Given int
	// After is the time until the next request if no permit is granted. Yields is set if the
	// next permit is reserved for a request with precedence, which may ask earlier.
	After  time.Duration
	Yields bool
}

// grant grants permits, if there are any and none is reserved for another request.
func (s *upstreamLimits) grant(in IntakeRequest) IntakeGrant {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.evictIdle(now)
	bindings := s.advance(in.Pool, now)
	l := s.limitOf(upstreamStart{in.Upstream, in.Born}, bindings, now)
	l.refill(bindings, now)
	l.updateLimits(in, now)
	l.lastRequest, l.requesters[in.VM] = now, now
	for _, c := range in.Turned {
		l.addRejected(c, now)
	}
	yields := l.yields(in.First, now)
	if l.available < 1 || l.permitRate() <= 0 || yields {
		l.addRejected(in.First, now)
		return IntakeGrant{After: l.retryAfter(now, s.random()), Yields: yields}
	}
	given := min(float64(max(in.Want, 1)), math.Floor(l.available))
	l.available -= given
	l.lastTeam, l.rejected = in.First.Team, nil
	return IntakeGrant{Given: int(given)}
}

// limitOf returns the permit state of one start of an upstream. A new one has no permits. The
// caller holds mu.
func (s *upstreamLimits) limitOf(id upstreamStart, bindings *poolBindings, now time.Duration) *upstreamLimit {
	l, ok := s.limits[id]
	if !ok {
		l = &upstreamLimit{majorityTime: bindings.majorityTime, losses: bindings.losses, announcedAt: math.MinInt64, lastRequest: now, requesters: make(map[fleet.VMID]time.Duration)}
		s.limits[id] = l
	}
	return l
}

// evictIdle removes the upstreams that have had no request for upstreamIdleTTL, at most once a
// second. The caller holds mu.
func (s *upstreamLimits) evictIdle(now time.Duration) {
	if now-s.evictedAt < time.Second {
		return
	}
	s.evictedAt = now
	for k, a := range s.limits {
		if now-a.lastRequest > upstreamIdleTTL {
			delete(s.limits, k)
		}
	}
}

// permitRate returns how many permits are granted per second.
func (l *upstreamLimit) permitRate() float64 {
	return l.rate
}

// lowestLimit returns the lowest limit that applies, 0 if none is known.
func (l *upstreamLimit) lowestLimit(now time.Duration) roster.Intake {
	hasAnnounced := l.announcedAt != math.MinInt64
	if now < l.coldUntil && (!hasAnnounced || l.cold < l.announced) {
		return l.cold
	}
	return l.announced
}

// refill adds the permits that have accrued since the last refill. Permits left from before
// the majority was lost are dropped: another pool host may have granted permits since.
func (l *upstreamLimit) refill(bindings *poolBindings, now time.Duration) {
	if l.losses != bindings.losses {
		l.available, l.majorityTime = 0, bindings.lostAt
	}
	available := l.available + l.permitRate()*(bindings.majorityTime-l.majorityTime).Seconds()
	l.majorityTime, l.losses = bindings.majorityTime, bindings.losses
	if l.available < 1 && available >= 1 {
		l.availableSince = now - time.Duration((available-1)/l.permitRate()*float64(time.Second))
	}
	l.available = min(available, l.maxStored())
}

// maxStored returns how many unused permits are kept.
func (l *upstreamLimit) maxStored() float64 {
	return max(l.permitRate()*storedWindow.Seconds(), 1)
}

// updateLimits applies the limits of a request: the announced one if it was announced later
// than the known one, and a cold time if it ends later. Of two limits for cold upstreams, from
// VMs with different configurations, the lower one applies.
func (l *upstreamLimit) updateLimits(in IntakeRequest, now time.Duration) {
	if announcedAt := now - in.Age; !in.OnlyCold && announcedAt > l.announcedAt {
		l.announcedAt, l.announced = announcedAt, in.Intake
	}
	if in.ColdFor > 0 {
		if now >= l.coldUntil || in.Cold < l.cold {
			l.cold = in.Cold
		}
		l.coldUntil = max(l.coldUntil, now+in.ColdFor)
	}
	l.rate = usedFraction * float64(l.lowestLimit(now))
	if now < l.coldUntil {
		// Permits that were stored at a higher rate would reach a cold engine all at once.
		l.available = min(l.available, l.maxStored())
	}
}

// addRejected records that a request got no permit.
func (l *upstreamLimit) addRejected(c Claimant, now time.Duration) {
	l.rejected = slices.DeleteFunc(l.rejected, func(t rejectedClaimant) bool { return t.Claimant == c || now-t.at >= rejectedTTL })
	l.rejected = append(l.rejected, rejectedClaimant{c, now})
}

// yields reports whether the next permit is reserved for a while for another request, which
// has precedence and was rejected since the last permit was granted.
func (l *upstreamLimit) yields(c Claimant, now time.Duration) bool {
	if l.available < 1 || l.permitRate() <= 0 || now-l.availableSince >= min(time.Duration(float64(time.Second)/l.permitRate()/2), maxYield) {
		return false
	}
	return slices.ContainsFunc(l.rejected, func(t rejectedClaimant) bool { return now-t.at < rejectedTTL && t.precedes(c, l.lastTeam) })
}

// retryAfter returns how long a VM is to wait before its next request, so that all requesters
// together ask about requestsPerPermit times for each permit. random, in [0, 1), spreads them
// over time.
func (l *upstreamLimit) retryAfter(now time.Duration, random float64) time.Duration {
	for vm, at := range l.requesters {
		if now-at > requesterTTL {
			delete(l.requesters, vm)
		}
	}
	if l.permitRate() <= 0 {
		return maxRetryAfter
	}
	untilAvailable := max(1-l.available, 0) / l.permitRate()
	spread := random * 2 * float64(len(l.requesters)) / (requestsPerPermit * l.permitRate())
	return min(max(time.Duration(max(untilAvailable, spread)*float64(time.Second)), time.Millisecond), maxRetryAfter)
}
