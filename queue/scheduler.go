package queue

import (
	"time"

	"toucanfall/fault"
	"toucanfall/fleet"
)

// batchInterval is after how many requests of the other classes a waiting batch
// request is served.
const batchInterval = 20

// classCount is the number of priority classes.
const classCount = 3

// Scheduler is the scheduling policy of a [Queue]: it decides the order in which
// waiting requests get slots. It never blocks and reads no clock. It is not safe
// for concurrent use.
type Scheduler struct {
	cfg        Config
	slotsInUse int
	waiting    int
	// classes are ordered by rank, the most urgent first. The last is batch.
	classes [classCount]classQueue
	// servedSinceBatch counts the requests of other classes served since the last
	// batch request.
	servedSinceBatch int
	// meanServiceTime is the moving average of how long a request holds a slot.
	meanServiceTime time.Duration
}

// Ticket is a waiting request.
type Ticket struct {
	Item    Item
	granted chan struct{}
	// resolved is set once the ticket has a slot or its caller has disconnected.
	resolved bool
}

// NewScheduler returns a scheduler without requests.
func NewScheduler(cfg Config) *Scheduler {
	s := &Scheduler{cfg: cfg}
	for i := range s.classes {
		s.classes[i] = newClassQueue()
	}
	return s
}

// Push adds a request. It fails with overloaded if too many requests wait, or
// with deadline_unmeetable if the estimated wait and the mean service time end
// after the deadline; both errors carry a retry-after time.
func (s *Scheduler) Push(now time.Time, item Item) (*Ticket, error) {
	// A team may have at most as many waiting requests as there are free places,
	// so a single team can fill only half of the queue.
	if s.waitingForTeam(item.Team) >= s.cfg.MaxWaiting-s.waiting {
		return nil, fault.New(fault.Overloaded, "%d requests wait already", s.waiting).WithRetryAfter(s.timeUntilSlots(1))
	}
	wait := s.estimateWait(item)
	if finish := now.Add(wait + s.meanServiceTime); finish.After(item.Deadline) {
		return nil, fault.New(fault.DeadlineUnmeetable, "the request would wait for %s", wait.Round(time.Millisecond)).WithRetryAfter(s.retryAfter(finish.Sub(item.Deadline)))
	}
	t := &Ticket{Item: item, granted: make(chan struct{})}
	s.classes[item.Priority.Rank()].push(t)
	s.waiting++
	return t, nil
}

// Next removes and returns the request that gets the next free slot. It returns
// nil if no slot is free or no request waits.
func (s *Scheduler) Next() *Ticket {
	if s.slotsInUse >= s.cfg.Slots {
		return nil
	}
	class := s.nextClass()
	if class == nil {
		return nil
	}
	t := class.pop()
	t.resolved = true
	s.waiting--
	s.slotsInUse++
	return t
}

// Release frees the slot of a request that used the given tokens and held the slot
// for elapsed.
func (s *Scheduler) Release(item Item, used fleet.Tokens, elapsed time.Duration) {
	s.slotsInUse--
	if s.meanServiceTime == 0 {
		s.meanServiceTime = elapsed
	}
	s.meanServiceTime += (elapsed - s.meanServiceTime) / serviceTimeDivisor
	s.classes[item.Priority.Rank()].refund(item.Team, item.Tokens-used)
}

// Remove removes a ticket whose caller no longer waits. It reports false if the
// ticket already has a slot.
func (s *Scheduler) Remove(t *Ticket) bool {
	if t.resolved {
		return false
	}
	t.resolved = true
	s.waiting--
	s.classes[t.Item.Priority.Rank()].remove(t)
	return true
}

// serviceTimeDivisor sets the weight of a new sample in the mean service time to
// 1/serviceTimeDivisor.
const serviceTimeDivisor = 8

// waitingForTeam returns how many requests of a team wait, in all classes.
func (s *Scheduler) waitingForTeam(team fleet.TeamID) int {
	n := 0
	for i := range s.classes {
		if tq, ok := s.classes[i].byTeam[team]; ok {
			n += len(tq.tickets)
		}
	}
	return n
}

// timeUntilSlots returns the expected time until n slots have become free.
func (s *Scheduler) timeUntilSlots(n int) time.Duration {
	if s.cfg.Slots <= 0 {
		return s.meanServiceTime
	}
	return s.meanServiceTime * time.Duration(n) / time.Duration(s.cfg.Slots)
}

// retryAfter returns the time until the wait is shorter by excess, if no other
// request arrives. It is rounded up to whole requests.
func (s *Scheduler) retryAfter(excess time.Duration) time.Duration {
	perSlot := s.timeUntilSlots(1)
	if perSlot <= 0 {
		return excess
	}
	return (excess + perSlot - 1) / perSlot * perSlot
}

// estimateWait estimates the wait of a new request from the requests that are
// served before it: all of more urgent classes, and those of its own class that
// fair queueing puts ahead of it.
func (s *Scheduler) estimateWait(item Item) time.Duration {
	if s.slotsInUse < s.cfg.Slots && s.waiting == 0 {
		return 0
	}
	rank := item.Priority.Rank()
	ahead := s.classes[rank].countAhead(item.Team)
	for _, class := range s.classes[:rank] {
		ahead += class.length
	}
	return s.timeUntilSlots(ahead + 1)
}

// nextClass selects the class of the next request, or nil if no request waits.
func (s *Scheduler) nextClass() *classQueue {
	batch := &s.classes[classCount-1]
	if batch.length > 0 && s.servedSinceBatch >= batchInterval {
		s.servedSinceBatch = 0
		return batch
	}
	for i := range s.classes[:classCount-1] {
		if s.classes[i].length > 0 {
			s.servedSinceBatch++
			return &s.classes[i]
		}
	}
	if batch.length > 0 {
		s.servedSinceBatch = 0
		return batch
	}
	return nil
}
