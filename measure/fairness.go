package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"toucanfall/fleet"
	"toucanfall/queue"
)

// Fairness compares scheduling policies of a queue while one team sends several times
// its usual load.
var Fairness = Table{
	Name: "fairness",
	Goal: "the worst-served team's attainment under 7 times the load of one team is within 2% of what it is without",
	Seed: 1,
	Run:  runFairness,
}

// Parameters of the simulated queue and its load.
const (
	fairTeams         = 5
	fairSlots         = 8
	fairMaxWaiting    = 256
	fairDuration      = 20 * time.Minute
	fairServiceTime   = 2 * time.Second
	fairDeadline      = 10 * time.Second
	fairBatchDeadline = 10 * time.Minute
	fairLoad          = 0.5
	fairOverload      = 7
	fairRequestTokens = 400
)

// fairPolicy is a scheduling policy of a queue.
type fairPolicy string

const (
	fairFIFO        fairPolicy = "first in, first out"
	fairPriority    fairPolicy = "priority only"
	fairLeastServed fairPolicy = "priority and least-served team"
)

func runFairness(seed uint64) (Result, error) {
	r := Result{
		Header: []string{"policy", "worst team without overload", "worst other team under overload", "difference", "overloaded team under overload"},
		Notes: []string{
			fmt.Sprintf("One queue with %d slots; %d teams, each with a third of its requests interactive, normal and batch; requests hold a slot for %s in the mean (exponential) and have %s, %s and %s to be answered. Together the teams take %.0f%% of the slots without overload. Virtual time: %s.", fairSlots, fairTeams, fairServiceTime, fairDeadline, 3*fairDeadline, fairBatchDeadline, fairLoad*100, fairDuration),
			"Attainment is the share of a team's requests that were answered within their deadline; refused ones are not. The rate limiter, which would refuse most of the overload before the queue, is left out.",
			"With first in, first out all teams have one class and one flow; with priority only all teams have one flow.",
		},
	}
	for _, p := range []fairPolicy{fairFIFO, fairPriority, fairLeastServed} {
		normal := newFairSim(seed, p, 1).run()
		overloaded := newFairSim(seed, p, fairOverload).run()
		worst, worstOther := slices.Min(normal), slices.Min(overloaded[1:])
		r.Rows = append(r.Rows, []string{
			string(p), percent(worst), percent(worstOther), percent(worstOther - worst), percent(overloaded[0]),
		})
	}
	return r, nil
}

func percent(x float64) string { return fmt.Sprintf("%.2f%%", 100*x) }

// fairSim drives a queue.Scheduler in virtual time.
type fairSim struct {
	policy    fairPolicy
	overload  int
	rng       *rand.Rand
	now       time.Time
	scheduler *queue.Scheduler
	inService serviceHeap
	waiting   map[*queue.Ticket]fairRequest
	// requests and inTime count all requests and those answered within their deadline,
	// by team.
	requests [fairTeams]int
	inTime   [fairTeams]int
}

// fairRequest is a request with its service time, which the queue doesn't know.
type fairRequest struct {
	team        int
	item        queue.Item
	deadline    time.Time
	serviceTime time.Duration
	endsAt      time.Time
}

func newFairSim(seed uint64, p fairPolicy, overload int) *fairSim {
	return &fairSim{
		policy:    p,
		overload:  overload,
		rng:       rand.New(rand.NewPCG(seed, 7)),
		now:       time.Unix(0, 0),
		scheduler: queue.NewScheduler(queue.Config{Slots: fairSlots, MaxWaiting: fairMaxWaiting}),
		waiting:   make(map[*queue.Ticket]fairRequest),
	}
}

// run returns the share of each team's requests that were answered within their
// deadline. The first team sends overload times the load of each of the others.
func (s *fairSim) run() []float64 {
	end := s.now.Add(fairDuration)
	weights := fairTeams + s.overload - 1
	meanInterval := float64(fairServiceTime) * fairTeams / (fairSlots * fairLoad)
	for s.now.Before(end) {
		s.advance(s.now.Add(time.Duration(s.rng.ExpFloat64() * meanInterval / float64(weights))))
		s.arrive(max(0, s.rng.IntN(weights)-(s.overload-1)))
	}
	out := make([]float64, fairTeams)
	for t := range out {
		out[t] = float64(s.inTime[t]) / float64(max(1, s.requests[t]))
	}
	return out
}

// arrive draws a request of a team and queues it.
func (s *fairSim) arrive(team int) {
	priorities := []fleet.Priority{fleet.PriorityInteractive, fleet.PriorityNormal, fleet.PriorityBatch}
	r := fairRequest{
		team:        team,
		serviceTime: time.Duration(s.rng.ExpFloat64() * float64(fairServiceTime)),
	}
	class := s.rng.IntN(len(priorities))
	r.deadline = s.now.Add([]time.Duration{fairDeadline, 3 * fairDeadline, fairBatchDeadline}[class])
	r.item = queue.Item{
		Team:     fleet.TeamID(fmt.Sprint("team-", team)),
		Priority: priorities[class],
		Tokens:   fairRequestTokens,
		Deadline: r.deadline,
	}
	if s.policy != fairLeastServed {
		r.item.Team = "all"
	}
	if s.policy == fairFIFO {
		r.item.Priority = fleet.PriorityNormal
	}
	s.requests[team]++
	t, err := s.scheduler.Push(s.now, r.item)
	if err != nil {
		return
	}
	s.waiting[t] = r
	s.dispatch()
}

// dispatch starts queued requests while there are free slots.
func (s *fairSim) dispatch() {
	for t := s.scheduler.Next(); t != nil; t = s.scheduler.Next() {
		r := s.waiting[t]
		delete(s.waiting, t)
		r.endsAt = s.now.Add(r.serviceTime)
		heap.Push(&s.inService, r)
	}
}

// advance moves the virtual time forward: it completes requests, and removes queued
// requests whose deadline has passed.
func (s *fairSim) advance(to time.Time) {
	for len(s.inService) > 0 && !s.inService[0].endsAt.After(to) {
		r := heap.Pop(&s.inService).(fairRequest)
		s.now = r.endsAt
		s.expire()
		if !r.endsAt.After(r.deadline) {
			s.inTime[r.team]++
		}
		s.scheduler.Release(r.item, fairRequestTokens, r.serviceTime)
		s.dispatch()
	}
	s.now = to
	s.expire()
}

// expire removes queued requests whose deadline has passed.
func (s *fairSim) expire() {
	for t, r := range s.waiting {
		if s.now.After(r.deadline) {
			s.scheduler.Remove(t)
			delete(s.waiting, t)
		}
	}
}

// serviceHeap is a heap of the requests in service, ordered by endsAt.
type serviceHeap []fairRequest

func (h serviceHeap) Len() int           { return len(h) }
func (h serviceHeap) Less(i, j int) bool { return h[i].endsAt.Before(h[j].endsAt) }
func (h serviceHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a request.
func (h *serviceHeap) Push(x any) { *h = append(*h, x.(fairRequest)) }

// Pop removes and returns the last request.
func (h *serviceHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
