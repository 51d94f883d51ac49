package prefill

import (
	"math"
	"slices"
	"time"

	"toucanfall/fleet"
)

// Capacity is what an engine can run at the same time. The zero value means that the runs of an engine
// are not accounted for, and a field that is 0 that this is not limited.
type Capacity struct {
	// Slots is the number of requests, Tokens the memory in tokens of prompts and answers.
	Slots  int
	Tokens fleet.Tokens
}

// Reason says what a request for a credit lacks.
type Reason string

// The reasons.
const (
	// ShortOfReading means that the engine has enough prompts to read.
	ShortOfReading Reason = "prompts"
	ShortOfSlots   Reason = "slots"
	ShortOfMemory  Reason = "memory"
)

// patientObjective is the latency objective from which a request waits for capacity that others need at
// once: a slot of an engine with 12 to 24 becomes free every 50 to 150 ms, and objectives below 2 s leave
// no time to wait for several.
const patientObjective = 2 * time.Second

// IsPatient reports whether a request with a latency objective, or with none if it is 0, can wait for
// capacity that others need at once.
func IsPatient(objective time.Duration) bool {
	return objective == 0 || objective >= patientObjective
}

// Bounds of the accounts of runs.
const (
	// reservedFraction is the part of an engine that patient requests leave free while there are
	// others. At 24 slots these are 2, and 3 to 8 more become free in the 400 ms that a request with an
	// objective of 500 ms can wait. In the plays of TestBurstOfLeastUrgentClass an eighth serves some 2
	// in 100 fewer patient requests in time, and a twenty-fourth more of them but fewer urgent ones.
	reservedFraction = 1.0 / 12
	// urgentLifetime is how long the last request that is not patient counts.
	urgentLifetime = 30 * time.Second
	// maxPassedOver is how many grants in a row less urgent ranks that wait are passed over: each rank
	// gets at least one in nine.
	maxPassedOver = 8
	// defaultLifetime is how long a run counts whose request has no deadline.
	defaultLifetime = time.Minute
	// priorDuration is the assumed duration of a run before any has ended, with the weight of one run.
	priorDuration = time.Second
	durationDecay = 10 * time.Second
	// assumedTokens is the memory of a run that the host knows nothing of, or that states no tokens:
	// the mean prompt and answer in the capacity documentation.
	assumedTokens = 1000
	// throughputDecay is the time constant of the rate of grants to patient requests. It is shorter than
	// the time for which they wait, so that a forecast follows the beginning of a burst.
	throughputDecay = 3 * time.Second
	// priorThroughput is the part of an engine that patient requests are assumed to get, with the weight
	// of priorWaited.
	priorThroughput = 0.5
	priorWaited     = 500 * time.Millisecond
)

// Bounds of the correction of an account by the loads that the engine reports.
const (
	// maxLoadAge is how old a reported load may be.
	maxLoadAge = time.Second
	// differenceLifetime is how long a difference must last until it is corrected. A run that was
	// granted and has not reached the engine, or that has ended and was not returned, makes a difference
	// of some 10 ms.
	differenceLifetime = time.Second
	// minDifference and differenceFraction are the difference that is tolerated, in runs and as a
	// part of the slots.
	minDifference      = 2
	differenceFraction = 1.0 / 8
	// foreignLifetime is how long runs that are not in the account count after the last report that
	// showed them.
	foreignLifetime = 3 * time.Second
	// newAccount is the age until which an account takes over a report at once: its host may have
	// just replaced another one.
	newAccountAge = 3 * time.Second
)

// runs accounts for the slots and the memory of an engine. A run holds them from its grant until its
// end.
type runs struct {
	capacity Capacity
	began    time.Time
	active   map[CreditID]run
	// tokens is the memory of all active runs.
	tokens float64
	// byTeam counts the active runs of each team and rank.
	byTeam map[teamRank]int
	// foreign is the number of runs at the engine that are not in this account, as of foreignAt.
	foreign   int
	foreignAt time.Time
	// difference is the smallest difference to the reported loads since differsSince, with its sign.
	difference   int
	differsSince time.Time
	// passedOver counts, for each rank that waits, the grants to more urgent ranks since its last one.
	passedOver map[int]int
	urgentAt   time.Time
	// duration is a decaying mean of the duration of runs in ms.
	duration mean
	// patient is the rate of grants to patient requests.
	patient throughput
}

// run is an active run.
type run struct {
	teamRank
	tokens         float64
	granted, until time.Time
}

type teamRank struct {
	team fleet.TeamID
	rank int
}

// mean is a decaying mean.
type mean struct {
	weight, sum float64
	updated     time.Time
}

func (m *mean) add(now time.Time, value float64) {
	if !m.updated.IsZero() {
		f := math.Exp(-float64(now.Sub(m.updated)) / float64(durationDecay))
		m.weight, m.sum = m.weight*f, m.sum*f
	}
	m.updated = now
	m.weight++
	m.sum += value
}

// value returns the mean, with a prior of the weight of one value.
func (m *mean) value(prior float64) float64 {
	return (m.sum + prior) / (m.weight + 1)
}

func newRuns(now time.Time) *runs {
	return &runs{began: now, active: make(map[CreditID]run), byTeam: make(map[teamRank]int), passedOver: make(map[int]int)}
}

// enabled reports whether the runs of the engine are accounted for.
func (s *runs) enabled() bool {
	return s.capacity != Capacity{}
}

// observe records what a request says about the engine, and that it may need capacity at once.
func (s *runs) observe(now time.Time, r *Request) {
	if r.Capacity == (Capacity{}) {
		return
	}
	s.capacity = r.Capacity
	if !r.patient() {
		s.urgentAt = now
	}
}

// patient reports whether a request can wait for capacity that others need at once.
func (r *Request) patient() bool {
	return IsPatient(r.Objective)
}

// memory returns the tokens for which a request needs memory. The caller of a team states them.
func (r *Request) memory() float64 {
	if r.Tokens+r.Output <= 0 {
		return assumedTokens
	}
	return float64(r.Tokens + r.Output)
}

// free returns the free slots and memory.
func (s *runs) free(now time.Time) (slots, tokens float64) {
	slots, tokens = math.Inf(1), math.Inf(1)
	foreign := s.foreignRuns(now)
	if s.capacity.Slots > 0 {
		slots = float64(s.capacity.Slots - len(s.active) - foreign)
	}
	if s.capacity.Tokens > 0 {
		each := assumedTokens / 1.0
		if len(s.active) > 0 {
			each = s.tokens / float64(len(s.active))
		}
		tokens = float64(s.capacity.Tokens) - s.tokens - each*float64(foreign)
	}
	return slots, tokens
}

// reserved returns the slots and memory that a request leaves free.
func (s *runs) reserved(now time.Time, r *Request) (slots, tokens float64) {
	if !r.patient() || s.urgentAt.IsZero() || now.Sub(s.urgentAt) > urgentLifetime {
		return 0, 0
	}
	return math.Ceil(reservedFraction * float64(s.capacity.Slots)), reservedFraction * float64(s.capacity.Tokens)
}

// missing returns how many slots and how much memory a request lacks beside a number of other requests
// and their memory, at most 0 if there are enough. A request that is larger than the engine's memory
// needs all of it.
func (s *runs) missing(now time.Time, r *Request, others, otherTokens float64) (slots, tokens float64) {
	freeSlots, freeTokens := s.free(now)
	reservedSlots, reservedTokens := s.reserved(now, r)
	if s.starving(r.Rank) {
		reservedSlots, reservedTokens = 0, 0
	}
	need := r.memory() + reservedTokens
	if s.capacity.Tokens > 0 {
		need = min(need, float64(s.capacity.Tokens))
	}
	return others + 1 + reservedSlots - freeSlots, otherTokens + need - freeTokens
}

// shortage returns what a request lacks, "" if it can run now.
func (s *runs) shortage(now time.Time, r *Request) Reason {
	slots, tokens := s.missing(now, r, 0, 0)
	switch {
	case slots > 0:
		return ShortOfSlots
	case tokens > 0:
		return ShortOfMemory
	}
	return ""
}

// starving reports whether a rank that waits has been passed over too often.
func (s *runs) starving(rank int) bool {
	return s.passedOver[rank] >= maxPassedOver
}

// forecast returns how long a request waits until the engine can run it after a number of others. A slot
// that becomes free goes to requests that are not patient first, so for those it is what is missing of the
// engine times the mean duration of runs. Patient ones get what is left, which is measured.
func (s *runs) forecast(now time.Time, r *Request, others, otherTokens float64) time.Duration {
	slots, tokens := s.missing(now, r, others, otherTokens)
	if slots <= 0 && tokens <= 0 {
		return 0
	}
	duration := s.duration.value(millis(priorDuration))
	if r.patient() {
		prior := priorThroughput * float64(max(s.capacity.Slots, 1)) / duration
		return fromMillis((others + 1) / s.patient.perMilli(prior))
	}
	part := 0.0
	if s.capacity.Slots > 0 {
		part = slots / float64(s.capacity.Slots)
	}
	if s.capacity.Tokens > 0 {
		part = max(part, tokens/float64(s.capacity.Tokens))
	}
	return fromMillis(max(part, 0) * duration)
}

// throughput measures the rate of grants to patient requests while some wait. Both sums decay.
type throughput struct {
	grants, waited float64 // waited is in ms.
	updated        time.Time
}

// advance records whether patient requests have waited since the last call.
func (t *throughput) advance(now time.Time, waiting bool) {
	d := now.Sub(t.updated)
	if t.updated.IsZero() {
		d = 0
	}
	t.updated = now
	f := math.Exp(-float64(d) / float64(throughputDecay))
	t.grants, t.waited = t.grants*f, t.waited*f
	if waiting {
		t.waited += millis(d)
	}
}

// perMilli returns the grants in a millisecond.
func (t *throughput) perMilli(prior float64) float64 {
	w := millis(priorWaited)
	return (t.grants + prior*w) / (t.waited + w)
}

// grant begins a run. waiting are the requests that go on waiting.
func (s *runs) grant(now time.Time, r *Request, waiting []*waiter) {
	s.recordPassedOver(r, waiting)
	if r.patient() && slices.ContainsFunc(waiting, func(w *waiter) bool { return w.patient() }) {
		s.patient.grants++
	}
	if r.Capacity == (Capacity{}) {
		return // Its VM runs an earlier version, and does not return the run.
	}
	lifetime := r.Lifetime
	if lifetime <= 0 {
		lifetime = defaultLifetime
	}
	s.remove(r.ID)
	n := run{teamRank: teamRank{r.Team, r.Rank}, tokens: r.memory(), granted: now, until: now.Add(lifetime)}
	s.active[r.ID] = n
	s.tokens += n.tokens
	s.byTeam[n.teamRank]++
}

// recordPassedOver counts a grant for the less urgent ranks that wait.
func (s *runs) recordPassedOver(r *Request, waiting []*waiter) {
	ranks := make(map[int]bool)
	for _, w := range waiting {
		if w.ID != r.ID && w.Rank > r.Rank {
			ranks[w.Rank] = true
		}
	}
	for rank := range s.passedOver {
		if !ranks[rank] {
			delete(s.passedOver, rank)
		}
	}
	for rank := range ranks {
		s.passedOver[rank]++
	}
}

// remove removes a run and reports whether it was active.
func (s *runs) remove(id CreditID) (run, bool) {
	r, ok := s.active[id]
	if !ok {
		return run{}, false
	}
	delete(s.active, id)
	s.tokens -= r.tokens
	if s.byTeam[r.teamRank]--; s.byTeam[r.teamRank] == 0 {
		delete(s.byTeam, r.teamRank)
	}
	if len(s.active) == 0 {
		s.tokens = 0
	}
	return r, true
}

// end ends a run, and reports whether it was active.
func (s *runs) end(now time.Time, id CreditID) bool {
	r, ok := s.remove(id)
	if ok {
		s.duration.add(now, millis(now.Sub(r.granted)))
	}
	return ok
}

// expire removes the runs that were not returned within their lifetime.
func (s *runs) expire(now time.Time) {
	for id, r := range s.active {
		if now.After(r.until) {
			s.remove(id)
		}
	}
}

// foreignRuns returns the number of runs at the engine that are not in the account.
func (s *runs) foreignRuns(now time.Time) int {
	if now.Sub(s.foreignAt) > foreignLifetime {
		return 0
	}
	return s.foreign
}

// running returns the number of runs at the engine.
func (s *runs) running(now time.Time) int {
	return len(s.active) + s.foreignRuns(now)
}

// observeLoad compares the account with the number of requests at the engine, as an answer stated it some
// time ago. Runs of a VM that is gone, and requests that were sent without an account or by that of
// another host, make a difference that lasts; it is corrected then. A new account takes a load over at
// once.
func (s *runs) observeLoad(now time.Time, load int, age time.Duration) {
	if !s.enabled() || load < 0 || age > maxLoadAge {
		return
	}
	d := load - len(s.active)
	if foreign := s.foreignRuns(now); foreign > 0 {
		s.foreign, s.foreignAt = min(foreign, max(d, 0)), now
	}
	if d > 0 && now.Sub(s.began) < newAccountAge {
		s.foreign, s.foreignAt = d, now
		return
	}
	tolerance := max(minDifference, int(differenceFraction*float64(s.capacity.Slots)))
	if max(d, -d) <= tolerance {
		s.difference = 0
		return
	}
	if s.difference == 0 || (s.difference > 0) != (d > 0) {
		s.difference, s.differsSince = d, now
		return
	}
	if max(d, -d) < max(s.difference, -s.difference) {
		s.difference = d
	}
	if now.Sub(s.differsSince) >= differenceLifetime {
		s.correct(now)
	}
}

// correct applies a difference that has lasted: runs that are not in the account are added to it, or
// the oldest runs are taken from it.
func (s *runs) correct(now time.Time) {
	d := s.difference
	s.difference = 0
	if d > 0 {
		s.foreign, s.foreignAt = d, now
		return
	}
	for ; d < 0; d++ {
		var oldest CreditID
		var granted time.Time
		for id, r := range s.active {
			if granted.IsZero() || r.granted.Before(granted) {
				oldest, granted = id, r.granted
			}
		}
		s.remove(oldest)
	}
}
