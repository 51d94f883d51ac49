package shares

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

// PoolID names a pool among as many as the fleet has.
type PoolID struct{ Index, Of int }

// Mark is the moment of an answer, on the clock of one start of a keeper.
type Mark struct {
	Start uint64
	At    time.Duration
}

// Bond is a VM's promise to ask nobody else than one keeper for permits of a pool's
// upstreams. It counts from the Mark of that keeper's last answer, so that no delay or
// pause on the way makes it last longer than the VM reckons.
type Bond struct {
	// Share is the share of all rates that the VM mints for Left more. Lapsed is set if the
	// store has not confirmed it lately.
	Share  float64
	Left   time.Duration
	Lapsed bool
	Mark   Mark
}

// Times and sizes of permits.
const (
	// bondLife is how long a bond lasts: several messages to the keeper.
	bindingTTL = 2500 * time.Millisecond
	// permitLife is how long a permit can be used, from when it was asked for.
	permitTTL = 200 * time.Millisecond
	// usedIntake is the part of an intake that is given out. Permits that were given within
	// permitLife before a window may be used in it, and windows of the users' rule are 4 s.
	usedFraction = 0.9
	// stored is for how long permits are kept that nobody asks for, if that is more than one:
	// with permitLife it makes up the rest of the intake over a window.
	storedWindow = 200 * time.Millisecond
	// yieldMost is for how long at most a permit is kept for a request that goes first.
	maxYield = 300 * time.Millisecond
	// turnedMemory is how long a request that got no permit is remembered.
	rejectedTTL = time.Second
	// askersEach is how many times as often as there are permits VMs ask for one, all
	// together: few permits stay unasked for then, and few questions are in vain.
	requestsPerPermit = 12
	// askerMemory is for how long a VM that asked counts as one that does.
	requesterTTL = 2 * time.Second
	// longestAfter is the longest time after which a VM asks again.
	maxRetryAfter = 2 * time.Second
	// intakeMemory is how long the state of an intake is kept that nobody asks about.
	upstreamIdleTTL = time.Minute
)

// intakes gives out permits for requests at upstreams that name their intake. It does so
// while VMs that mint more than half of all rates are bound to this keeper, so that no two
// keepers do at a time.
type upstreamLimits struct {
	now             func() time.Duration
	ownShareExpired func() bool
	start           uint64
	// random returns numbers from 0 to 1.
	random func() float64

	mu        sync.Mutex
	bindings  map[PoolID]*poolBindings
	limits    map[upstreamStart]*upstreamLimit
	evictedAt time.Duration
}

// intakeKey names one start of an upstream.
type upstreamStart struct {
	upstream fleet.UpstreamID
	start    int64
}

// bonds are the VMs that are bound to this keeper for a pool.
type poolBindings struct {
	byVM map[fleet.VMID]boundVM
	// held is for how long together VMs with more than half of the rates were bound, until
	// the time at. Lost is what it was when they last were not, losses how often that was.
	majorityTime, advancedAt, lostAt time.Duration
	losses                           int
	// sure is until when these VMs are bound, as was found at the time counted.
	majorityUntil, countedAt time.Duration
}

type boundVM struct {
	share        float64
	shareExpired bool
	expiry       time.Duration
}

// intake is the state of one upstream's permits.
type upstreamLimit struct {
	announced   roster.Intake
	announcedAt time.Duration
	available   float64
	// held and losses are those of the bonds when the level was last minted, full is when the
	// level reached one permit.
	majorityTime   time.Duration
	losses         int
	availableSince time.Duration
	lastRequest    time.Duration
	requesters     map[fleet.VMID]time.Duration
	// last is the team that got the last permit, turned what has got none since.
	lastTeam fleet.TeamID
	rejected []rejectedClaimant
}

// turnedAway is a request that got no permit.
type rejectedClaimant struct {
	Claimant
	at time.Duration
}

func newUpstreamLimits(now func() time.Duration, ownShareExpired func() bool) *upstreamLimits {
	return &upstreamLimits{now: now, ownShareExpired: ownShareExpired, start: rand.Uint64(), random: rand.Float64, bindings: make(map[PoolID]*poolBindings), limits: make(map[upstreamStart]*upstreamLimit)}
}

// mark returns the mark of an answer that is given now.
func (s *upstreamLimits) newMark() Mark {
	return Mark{Start: s.start, At: s.now()}
}

// bind takes over a VM's promise. One that shows no mark of this start of the keeper does
// not count yet.
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
		bindings.majorityUntil = bindings.advancedAt // The rest may be bound elsewhere.
	}
	bindings.byVM[vm] = boundVM{share: b.Share, shareExpired: b.Lapsed, expiry: expiry}
}

// advance counts the bonds of a pool up to now. The caller holds the lock.
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

// majority returns until when VMs with more than half of the rates are bound, and forgets
// the bonds that have run out by the time that is counted. Lapsed shares count if lapsed is
// set.
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

// half of all rates, and more than rounding makes of it.
const majorityShare = 0.5 + 1e-6

// IntakeRequest asks for permits to send requests to an upstream that names its intake.
type IntakeRequest struct {
	VM       fleet.VMID
	Pool     PoolID
	Upstream fleet.UpstreamID
	Born     int64
	// Intake is what the upstream named Age ago.
	Intake roster.Intake
	Age    time.Duration
	// First is the request that is to be sent first, Want how many wait. Turned are requests
	// that this VM has turned away since it asked last.
	First  Claimant
	Want   int
	Turned []Claimant
}

// Check returns an error if the request cannot be right.
func (r *IntakeRequest) Check() error {
	switch {
	case !r.Intake.Valid():
		return fmt.Errorf("an intake of %s requests a second", r.Intake)
	case r.Age < 0 || r.Want < 0:
		return fmt.Errorf("an age of %s, %d requests wanted", r.Age, r.Want)
	}
	return nil
}

// Claimant tells whose request wants a permit. A lower rank is more urgent.
type Claimant struct {
	Rank int
	Team fleet.TeamID
}

// before reports whether a claimant goes before another one, where a team has got the last
// permit: more urgent requests do, and among others those of another team than that.
func (c Claimant) precedes(other Claimant, lastTeam fleet.TeamID) bool {
	return c.Rank < other.Rank || c.Rank == other.Rank && other.Team == lastTeam && c.Team != lastTeam
}

// IntakeGrant answers an IntakeRequest.
type IntakeGrant struct {
	Given int
	// After is when to ask again if none is given. Yields is set if the next permit is kept
	// for a request that goes first, which may ask before.
	After  time.Duration
	Yields bool
}

// take gives out permits.
func (s *upstreamLimits) grant(in IntakeRequest) IntakeGrant {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.evictIdle(now)
	bindings := s.advance(in.Pool, now)
	l := s.limitOf(upstreamStart{in.Upstream, in.Born}, bindings, now)
	l.refill(bindings, now)
	l.updateAnnounced(in, now)
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

// of returns the state of an upstream's permits. A new one begins with none.
func (s *upstreamLimits) limitOf(id upstreamStart, bindings *poolBindings, now time.Duration) *upstreamLimit {
	l, ok := s.limits[id]
	if !ok {
		l = &upstreamLimit{majorityTime: bindings.majorityTime, losses: bindings.losses, announcedAt: math.MinInt64, lastRequest: now, requesters: make(map[fleet.VMID]time.Duration)}
		s.limits[id] = l
	}
	return l
}

// sift forgets the upstreams that nobody asks about. The caller holds the lock.
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

// pace returns how many permits a second are given out.
func (l *upstreamLimit) permitRate() float64 {
	return usedFraction * float64(l.announced)
}

// mint adds what may be given out since the last time. What was left when the bonds were
// lost is not: another keeper may have given out permits since.
func (l *upstreamLimit) refill(bindings *poolBindings, now time.Duration) {
	if l.losses != bindings.losses {
		l.available, l.majorityTime = 0, bindings.lostAt
	}
	available := l.available + l.permitRate()*(bindings.majorityTime-l.majorityTime).Seconds()
	l.majorityTime, l.losses = bindings.majorityTime, bindings.losses
	if l.available < 1 && available >= 1 {
		l.availableSince = now - time.Duration((available-1)/l.permitRate()*float64(time.Second))
	}
	l.available = min(available, max(l.permitRate()*storedWindow.Seconds(), 1))
}

// learn takes over the intake that a VM was told, if that is the newest.
func (l *upstreamLimit) updateAnnounced(in IntakeRequest, now time.Duration) {
	if announcedAt := now - in.Age; announcedAt > l.announcedAt {
		l.announcedAt, l.announced = announcedAt, in.Intake
	}
}

// turn notes that a request got no permit.
func (l *upstreamLimit) addRejected(c Claimant, now time.Duration) {
	l.rejected = slices.DeleteFunc(l.rejected, func(t rejectedClaimant) bool { return t.Claimant == c || now-t.at >= rejectedTTL })
	l.rejected = append(l.rejected, rejectedClaimant{c, now})
}

// yields reports whether a request leaves the next permit for a while to one that was
// turned away since the last and goes before it.
func (l *upstreamLimit) yields(c Claimant, now time.Duration) bool {
	if l.available < 1 || l.permitRate() <= 0 || now-l.availableSince >= min(time.Duration(float64(time.Second)/l.permitRate()/2), maxYield) {
		return false
	}
	return slices.ContainsFunc(l.rejected, func(t rejectedClaimant) bool { return now-t.at < rejectedTTL && t.precedes(c, l.lastTeam) })
}

// after returns when a VM is to ask again, so that all that ask do so often enough
// together, and not at the same time: random, from 0 to 1, spreads them.
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
