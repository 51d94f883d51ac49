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
	bondLife = 2500 * time.Millisecond
	// permitLife is how long a permit can be used, from when it was asked for.
	permitLife = 200 * time.Millisecond
	// usedIntake is the part of an intake that is given out. Permits that were given within
	// permitLife before a window may be used in it, and windows of the users' rule are 4 s.
	usedIntake = 0.9
	// stored is for how long permits are kept that nobody asks for, if that is more than one:
	// with permitLife it makes up the rest of the intake over a window.
	stored = 200 * time.Millisecond
	// yieldMost is for how long at most a permit is kept for a request that goes first.
	yieldMost = 300 * time.Millisecond
	// turnedMemory is how long a request that got no permit is remembered.
	turnedMemory = time.Second
	// askersEach is how many times as often as there are permits VMs ask for one, all
	// together: few permits stay unasked for then, and few questions are in vain.
	askersEach = 12
	// askerMemory is for how long a VM that asked counts as one that does.
	askerMemory = 2 * time.Second
	// longestAfter is the longest time after which a VM asks again.
	longestAfter = 2 * time.Second
	// intakeMemory is how long the state of an intake is kept that nobody asks about.
	intakeMemory = time.Minute
)

// intakes gives out permits for requests at upstreams that name their intake. It does so
// while VMs that mint more than half of all rates are bound to this keeper, so that no two
// keepers do at a time.
type intakes struct {
	now    func() time.Duration
	lapsed func() bool
	start  uint64
	// random returns numbers from 0 to 1.
	random func() float64

	mu     sync.Mutex
	bonds  map[PoolID]*bonds
	byKey  map[intakeKey]*intake
	sifted time.Duration
}

// intakeKey names one start of an upstream.
type intakeKey struct {
	upstream fleet.UpstreamID
	born     int64
}

// bonds are the VMs that are bound to this keeper for a pool.
type bonds struct {
	vms map[fleet.VMID]bond
	// held is for how long together VMs with more than half of the rates were bound, until
	// the time at. Lost is what it was when they last were not, losses how often that was.
	held, at, lost time.Duration
	losses         int
	// sure is until when these VMs are bound, as was found at the time counted.
	sure, counted time.Duration
}

type bond struct {
	share  float64
	lapsed bool
	until  time.Duration
}

// intake is the state of one upstream's permits.
type intake struct {
	rate  roster.Intake
	heard time.Duration
	level float64
	// held and losses are those of the bonds when the level was last minted, full is when the
	// level reached one permit.
	held   time.Duration
	losses int
	full   time.Duration
	asked  time.Duration
	askers map[fleet.VMID]time.Duration
	// last is the team that got the last permit, turned what has got none since.
	last   fleet.TeamID
	turned []turnedAway
}

// turnedAway is a request that got no permit.
type turnedAway struct {
	Claimant
	at time.Duration
}

func newIntakes(now func() time.Duration, lapsed func() bool) *intakes {
	return &intakes{now: now, lapsed: lapsed, start: rand.Uint64(), random: rand.Float64, bonds: make(map[PoolID]*bonds), byKey: make(map[intakeKey]*intake)}
}

// mark returns the mark of an answer that is given now.
func (s *intakes) mark() Mark {
	return Mark{Start: s.start, At: s.now()}
}

// bind takes over a VM's promise. One that shows no mark of this start of the keeper does
// not count yet.
func (s *intakes) bind(vm fleet.VMID, pool PoolID, b Bond) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	all := s.advance(pool, now)
	if b.Mark.Start != s.start || b.Mark.At > now || !(b.Share > 0 && b.Share <= 1) {
		return
	}
	until := b.Mark.At + bondLife
	if !b.Lapsed {
		until = min(until, b.Mark.At+b.Left)
	}
	if b.Share < all.vms[vm].share {
		all.sure = all.at // The rest may be bound elsewhere.
	}
	all.vms[vm] = bond{share: b.Share, lapsed: b.Lapsed, until: until}
}

// advance counts the bonds of a pool up to now. The caller holds the lock.
func (s *intakes) advance(pool PoolID, now time.Duration) *bonds {
	all, ok := s.bonds[pool]
	if !ok {
		all = &bonds{vms: make(map[fleet.VMID]bond), at: now}
		s.bonds[pool] = all
	}
	if now >= all.sure || now-all.counted >= countEvery {
		all.sure, all.counted = all.majority(s.lapsed()), now
	}
	if end := min(all.sure, now); end > all.at {
		all.held += end - all.at
	}
	if all.sure < now {
		all.lost = all.held
		all.losses++
	}
	all.at = now
	return all
}

// majority returns until when VMs with more than half of the rates are bound, and forgets
// the bonds that have run out by the time that is counted. Lapsed shares count if lapsed is
// set.
func (b *bonds) majority(lapsed bool) time.Duration {
	list := make([]bond, 0, len(b.vms))
	var sum float64
	for vm, one := range b.vms {
		if one.until <= b.at {
			delete(b.vms, vm)
			continue
		}
		if !one.lapsed || lapsed {
			list = append(list, one)
			sum += one.share
		}
	}
	slices.SortFunc(list, func(x, y bond) int { return cmp.Compare(x.until, y.until) })
	for _, one := range list {
		if sum <= half {
			break
		}
		if sum -= one.share; sum <= half {
			return one.until
		}
	}
	return b.at
}

// half of all rates, and more than rounding makes of it.
const half = 0.5 + 1e-6

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
func (c Claimant) before(other Claimant, last fleet.TeamID) bool {
	return c.Rank < other.Rank || c.Rank == other.Rank && other.Team == last && c.Team != last
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
func (s *intakes) take(in IntakeRequest) IntakeGrant {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.sift(now)
	all := s.advance(in.Pool, now)
	a := s.of(intakeKey{in.Upstream, in.Born}, all, now)
	a.mint(all, now)
	a.learn(in, now)
	a.asked, a.askers[in.VM] = now, now
	for _, c := range in.Turned {
		a.turn(c, now)
	}
	yields := a.yields(in.First, now)
	if a.level < 1 || a.pace() <= 0 || yields {
		a.turn(in.First, now)
		return IntakeGrant{After: a.after(now, s.random()), Yields: yields}
	}
	given := min(float64(max(in.Want, 1)), math.Floor(a.level))
	a.level -= given
	a.last, a.turned = in.First.Team, nil
	return IntakeGrant{Given: int(given)}
}

// of returns the state of an upstream's permits. A new one begins with none.
func (s *intakes) of(k intakeKey, all *bonds, now time.Duration) *intake {
	a, ok := s.byKey[k]
	if !ok {
		a = &intake{held: all.held, losses: all.losses, heard: math.MinInt64, asked: now, askers: make(map[fleet.VMID]time.Duration)}
		s.byKey[k] = a
	}
	return a
}

// sift forgets the upstreams that nobody asks about. The caller holds the lock.
func (s *intakes) sift(now time.Duration) {
	if now-s.sifted < time.Second {
		return
	}
	s.sifted = now
	for k, a := range s.byKey {
		if now-a.asked > intakeMemory {
			delete(s.byKey, k)
		}
	}
}

// pace returns how many permits a second are given out.
func (a *intake) pace() float64 {
	return usedIntake * float64(a.rate)
}

// mint adds what may be given out since the last time. What was left when the bonds were
// lost is not: another keeper may have given out permits since.
func (a *intake) mint(all *bonds, now time.Duration) {
	if a.losses != all.losses {
		a.level, a.held = 0, all.lost
	}
	level := a.level + a.pace()*(all.held-a.held).Seconds()
	a.held, a.losses = all.held, all.losses
	if a.level < 1 && level >= 1 {
		a.full = now - time.Duration((level-1)/a.pace()*float64(time.Second))
	}
	a.level = min(level, max(a.pace()*stored.Seconds(), 1))
}

// learn takes over the intake that a VM was told, if that is the newest.
func (a *intake) learn(in IntakeRequest, now time.Duration) {
	if heard := now - in.Age; heard > a.heard {
		a.heard, a.rate = heard, in.Intake
	}
}

// turn notes that a request got no permit.
func (a *intake) turn(c Claimant, now time.Duration) {
	a.turned = slices.DeleteFunc(a.turned, func(t turnedAway) bool { return t.Claimant == c || now-t.at >= turnedMemory })
	a.turned = append(a.turned, turnedAway{c, now})
}

// yields reports whether a request leaves the next permit for a while to one that was
// turned away since the last and goes before it.
func (a *intake) yields(c Claimant, now time.Duration) bool {
	if a.level < 1 || a.pace() <= 0 || now-a.full >= min(time.Duration(float64(time.Second)/a.pace()/2), yieldMost) {
		return false
	}
	return slices.ContainsFunc(a.turned, func(t turnedAway) bool { return now-t.at < turnedMemory && t.before(c, a.last) })
}

// after returns when a VM is to ask again, so that all that ask do so often enough
// together, and not at the same time: random, from 0 to 1, spreads them.
func (a *intake) after(now time.Duration, random float64) time.Duration {
	for vm, at := range a.askers {
		if now-at > askerMemory {
			delete(a.askers, vm)
		}
	}
	if a.pace() <= 0 {
		return longestAfter
	}
	due := max(1-a.level, 0) / a.pace()
	spread := random * 2 * float64(len(a.askers)) / (askersEach * a.pace())
	return min(max(time.Duration(max(due, spread)*float64(time.Second)), time.Millisecond), longestAfter)
}
