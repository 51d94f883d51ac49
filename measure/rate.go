package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanfall/fleet"
	"toucanfall/rate"
)

// Rates compares policies of limiting the rates of teams over all VMs.
var Rates = Table{
	Name: "rates",
	Goal: "excess 0 in every case; refusals within rate below 0.1% under even load and with all load on one VM, and below the baselines everywhere",
	Seed: 1,
	Run:  runRates,
}

// Parameters of the simulated fleet and its load. Rates and bursts are in tokens;
// rateLoad and rateHighLoad are shares of the rate of a team.
const (
	rateVMs           = 6
	rateDataCentres   = 3
	rateTeams         = 5
	rateDuration      = 10 * time.Minute
	rateTick          = 250 * time.Millisecond
	rateTakeoverDelay = 70 * time.Second
	ratePerSecond     = 1000
	rateBurst         = 10000
	rateLoad          = 0.5
	rateHighLoad      = 0.8
	rateOverload      = 7
	rateChargedTokens = 600
)

// ratePolicy is a policy of dividing a team's limit among VMs.
type ratePolicy string

const (
	policyStatic  ratePolicy = "even static shares"
	policyOwner   ratePolicy = "one owner per team"
	policyLending ratePolicy = "minted shares and lending"
)

// rateCase is a kind of load or fault.
type rateCase string

const (
	caseEven          rateCase = "even load"
	caseHigh          rateCase = "even load at 80% of the rate"
	caseOneVM         rateCase = "all on one VM"
	caseDeadVM        rateCase = "one VM dead"
	caseDataCentreCut rateCase = "one data centre cut off"
	caseOverload      rateCase = "one team at 7 times its load"
)

func runRates(seed uint64) (Result, error) {
	r := Result{
		Header: []string{"case", "policy", "requests within rate", "refused of them", "excess over burst and rate (tokens)", "tokens admitted, of one bucket's", "asks a request"},
		Notes: []string{
			fmt.Sprintf("%d VMs in %d data centres, %d teams with %d tokens a second and a burst of %d, at %.0f%% of their rate in groups of up to 8 requests; a request is charged %d, uses 50 to 550 and ends after 1 to 10 s. Virtual time: %s.", rateVMs, rateDataCentres, rateTeams, ratePerSecond, rateBurst, rateLoad*100, rateChargedTokens, rateDuration),
			"Within rate means that one bucket for the whole fleet, with the same refunds, admits the request. Under overload only the other teams count; the column of admitted tokens is of the overloaded team.",
			"The dead VM's share is minted by nobody for the first 70 s, and requests go to the others. VMs of a data centre that is cut off reach only each other.",
		},
	}
	for _, c := range []rateCase{caseEven, caseHigh, caseOneVM, caseDeadVM, caseDataCentreCut, caseOverload} {
		for _, p := range []ratePolicy{policyStatic, policyOwner, policyLending} {
			s := newRateSim(seed, c, p)
			s.run()
			r.Rows = append(r.Rows, s.tableRow())
		}
	}
	return r, nil
}

// rateSim drives token buckets of package rate in virtual time. Messages arrive without
// delay.
type rateSim struct {
	scenario    rateCase
	policy      ratePolicy
	rng         *rand.Rand
	now         time.Time
	start       time.Time
	buckets     []*rate.Buckets
	peerLevels  []*rate.PeerLevels
	ideal       *rate.Buckets
	checkers    map[rate.Key]*rate.Checker
	completions completionHeap
	// borrowRequests counts requests for a loan, requests all requests, withinRate
	// those that the ideal bucket admits, and refused those of them that the policy
	// rejects. Under overload the last two exclude the overloaded team.
	borrowRequests int
	requests       int
	withinRate     int
	refused        int
	// admitted and idealAdmitted are the tokens that the policy and the ideal bucket
	// admitted, under overload only those of the overloaded team.
	admitted, idealAdmitted rate.Amount
}

func newRateSim(seed uint64, c rateCase, p ratePolicy) *rateSim {
	s := &rateSim{scenario: c, policy: p, rng: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(0, 0), checkers: make(map[rate.Key]*rate.Checker)}
	s.start = s.now
	s.ideal = rate.NewBuckets("ideal", nil)
	s.ideal.RenewLease(s.now, s.now.Add(24*time.Hour))
	for i := range rateVMs {
		b := rate.NewBuckets(rateVM(i), s)
		b.RenewLease(s.now, s.now.Add(24*time.Hour))
		s.buckets = append(s.buckets, b)
		s.peerLevels = append(s.peerLevels, rate.NewPeerLevels())
	}
	for t := range rateTeams {
		key := rateKey(t)
		limit := rate.NewLimit(ratePerSecond, rateBurst)
		s.checkers[key] = rate.NewChecker(s.now, limit)
		s.ideal.SetShare(s.now, key, limit, true)
		for i, b := range s.buckets {
			b.SetShare(s.now, key, s.initialShare(i, key), true)
		}
	}
	return s
}

func rateVM(i int) fleet.VMID { return fleet.VMID(fmt.Sprintf("vm-%d", i)) }

func rateKey(t int) rate.Key { return rate.Key(fmt.Sprintf("team-%d", t)) }

// initialShare returns a VM's share of a team's limit at the start.
func (s *rateSim) initialShare(vm int, key rate.Key) rate.Limit {
	if s.policy == policyOwner {
		if s.owner(key) == vm {
			return rate.NewLimit(ratePerSecond, rateBurst)
		}
		return rate.Limit{}
	}
	return rate.NewLimit(ratePerSecond/float64(rateVMs), rateBurst/float64(rateVMs))
}

// owner returns the VM that holds a team's limit under policyOwner.
func (s *rateSim) owner(key rate.Key) int {
	return int(xxhash.Sum64String(string(key)) % rateVMs)
}

// RecordCharge checks every admission against the limit of its team.
func (s *rateSim) RecordCharge(now time.Time, key rate.Key, a rate.Amount) {
	// The table reports the checker's maximum excess, so the error isn't needed.
	_ = s.checkers[key].Record(now, a)
}

// run simulates rateDuration of requests, which arrive in groups.
func (s *rateSim) run() {
	next := s.now
	takeoverDone := s.scenario != caseDeadVM
	for s.now.Sub(s.start) < rateDuration {
		t, wait := s.nextGroup()
		s.advance(s.now.Add(wait), &next)
		if !takeoverDone && s.now.Sub(s.start) > rateTakeoverDelay {
			takeoverDone = true
			s.takeOver()
		}
		for range 1 + s.rng.IntN(8) {
			s.request(t)
		}
	}
}

// nextGroup draws the team of the next group of requests and the time until its arrival.
func (s *rateSim) nextGroup() (int, time.Duration) {
	weights := rateTeams
	if s.scenario == caseOverload {
		weights += rateOverload - 1
	}
	t := max(0, s.rng.IntN(weights)-(weights-rateTeams))
	// A group has 4.5 requests of 300 tokens on average.
	load := rateLoad
	if s.scenario == caseHigh {
		load = rateHighLoad
	}
	groups := load * ratePerSecond / 300 / 4.5 * float64(weights)
	return t, time.Duration(s.rng.ExpFloat64() / groups * float64(time.Second))
}

// advance moves the virtual time forward. It completes requests, and at each tick
// exchanges fill levels and balances buckets.
func (s *rateSim) advance(to time.Time, tick *time.Time) {
	for {
		completes := len(s.completions) > 0 && !s.completions[0].at.After(to)
		if completes && s.completions[0].at.Before(*tick) {
			s.complete(heap.Pop(&s.completions).(completion))
			continue
		}
		if tick.After(to) {
			if !completes {
				break
			}
			s.complete(heap.Pop(&s.completions).(completion))
			continue
		}
		s.now = *tick
		s.exchangeLevels()
		for vm := range s.buckets {
			if s.policy == policyLending && s.alive(vm) {
				s.balance(vm)
			}
		}
		*tick = tick.Add(rateTick)
	}
	s.now = to
}

// exchangeLevels delivers each VM's fill levels to all VMs that it can reach, as
// heartbeats do.
func (s *rateSim) exchangeLevels() {
	for i, buckets := range s.buckets {
		digest := buckets.Digest(s.now)
		for j, levels := range s.peerLevels {
			if s.canReach(i, j) {
				levels.ReceiveDigest(s.now, rateVM(i), digest)
			}
		}
	}
}

// alive reports whether a VM runs. In caseDeadVM the dead VM is the owner of the first
// team.
func (s *rateSim) alive(vm int) bool { return s.scenario != caseDeadVM || vm != s.owner(rateKey(0)) }

// canReach reports whether VM i can call VM j. In caseDataCentreCut one data centre is
// cut off from the others.
func (s *rateSim) canReach(i, j int) bool {
	if i == j || !s.alive(i) || !s.alive(j) {
		return false
	}
	const cut = 0
	a, b := i%rateDataCentres, j%rateDataCentres
	return s.scenario != caseDataCentreCut || a == b || (a != cut && b != cut)
}

// takeOver gives the dead VM's shares to the other VM of its data centre.
func (s *rateSim) takeOver() {
	if s.policy != policyLending {
		return
	}
	for t := range rateTeams {
		doubleShare := rate.NewLimit(2*ratePerSecond/float64(rateVMs), 2*rateBurst/float64(rateVMs))
		s.buckets[(s.owner(rateKey(0))+rateDataCentres)%rateVMs].SetShare(s.now, rateKey(t), doubleShare, false)
	}
}

// pickVM draws the VM that receives a request.
func (s *rateSim) pickVM() int {
	for {
		vm := s.rng.IntN(rateVMs)
		if s.scenario == caseOneVM {
			return 0
		}
		if s.alive(vm) {
			return vm
		}
	}
}

// request simulates a request of team t, and compares its admission with that by one
// ideal bucket for the whole fleet.
func (s *rateSim) request(t int) {
	key, vm := rateKey(t), s.pickVM()
	used := rate.FromTokens(fleet.Tokens(50 + s.rng.IntN(501)))
	end := s.now.Add(time.Second + time.Duration(s.rng.Int64N(int64(9*time.Second))))
	charge := rate.FromTokens(rateChargedTokens)
	countsRefusals := s.scenario != caseOverload || t != 0
	countsTokens := s.scenario != caseOverload || t == 0

	idealGrant, idealOK := s.ideal.Take(s.now, key, charge)
	grant, settler, ok := s.admit(vm, key, charge)
	s.requests++
	if idealOK {
		heap.Push(&s.completions, completion{at: end, buckets: s.ideal, grant: idealGrant, used: used})
	}
	if ok {
		heap.Push(&s.completions, completion{at: end, buckets: s.buckets[settler], grant: grant, used: used})
	}
	if idealOK && countsRefusals {
		s.withinRate++
	}
	if idealOK && countsRefusals && !ok {
		s.refused++
	}
	if idealOK && countsTokens {
		s.idealAdmitted += used
	}
	if ok && countsTokens {
		s.admitted += used
	}
}
