package queue

import (
	"time"

	"toucanfall/fault"
	"toucanfall/fleet"
)

// batchEvery is after how many requests of the other classes a waiting batch
// request gets a turn.
const batchInterval = 20

// classes is the number of priority classes.
const classCount = 3

// Line decides the order of a queue. It does not wait and reads no clock. It is
// not safe for concurrent use.
type Line struct {
	cfg        Config
	slotsInUse int
	waiting    int
	classes    [classCount]classQueue
	// turns counts served requests of other classes since the last batch turn.
	servedSinceBatch int
	// service is the decayed mean time that a request holds a slot.
	meanServiceTime time.Duration
}

// Ticket is a request that waits.
type Ticket struct {
	Item    Item
	granted chan struct{}
	// done is set once the ticket has a slot or its caller has gone.
	resolved bool
}

// NewLine returns an empty line.
func NewLine(cfg Config) *Line {
	l := &Line{cfg: cfg}
	for i := range l.classes {
		l.classes[i] = newClassQueue()
	}
	return l
}

// Push adds a request, or refuses it with the time to come back.
func (l *Line) Push(now time.Time, item Item) (*Ticket, error) {
	// A team may fill at most what is left free: so one team leaves half of the
	// queue to the others, and they always find room.
	if l.waitingForTeam(item.Team) >= l.cfg.MaxWaiting-l.waiting {
		return nil, fault.New(fault.Overloaded, "%d requests wait already", l.waiting).After(l.timeUntilSlots(1))
	}
	wait := l.estimateWait(item)
	if finish := now.Add(wait + l.meanServiceTime); finish.After(item.Deadline) {
		return nil, fault.New(fault.DeadlineUnmeetable, "the request would wait for %s", wait.Round(time.Millisecond)).After(l.retryAfter(finish.Sub(item.Deadline)))
	}
	t := &Ticket{Item: item, granted: make(chan struct{})}
	l.classes[item.Priority.Rank()].push(t)
	l.waiting++
	return t, nil
}

// Next takes out the request that gets a free slot. It returns nil if no slot is
// free or nothing waits.
func (l *Line) Next() *Ticket {
	if l.slotsInUse >= l.cfg.Slots {
		return nil
	}
	class := l.nextClass()
	if class == nil {
		return nil
	}
	t := class.pop()
	t.resolved = true
	l.waiting--
	l.slotsInUse++
	return t
}

// Done frees the slot of a request that held it for some time.
func (l *Line) Done(item Item, used fleet.Tokens, elapsed time.Duration) {
	l.slotsInUse--
	if l.meanServiceTime == 0 {
		l.meanServiceTime = elapsed
	}
	l.meanServiceTime += (elapsed - l.meanServiceTime) / serviceTimeDivisor
	l.classes[item.Priority.Rank()].refund(item.Team, item.Tokens-used)
}

// Abandon takes out a ticket whose caller has gone. It reports false if the
// ticket has a slot.
func (l *Line) Abandon(t *Ticket) bool {
	if t.resolved {
		return false
	}
	t.resolved = true
	l.waiting--
	l.classes[t.Item.Priority.Rank()].remove(t)
	return true
}

// serviceWeight is the part of a new sample in the mean service time, as a
// divisor.
const serviceTimeDivisor = 8

// waiting counts the requests of a team.
func (l *Line) waitingForTeam(team fleet.TeamID) int {
	n := 0
	for i := range l.classes {
		if tq, ok := l.classes[i].byTeam[team]; ok {
			n += len(tq.tickets)
		}
	}
	return n
}

// slotIn returns the expected time until n slots have become free.
func (l *Line) timeUntilSlots(n int) time.Duration {
	if l.cfg.Slots <= 0 {
		return l.meanServiceTime
	}
	return l.meanServiceTime * time.Duration(n) / time.Duration(l.cfg.Slots)
}

// shrinkIn returns when the wait will be shorter by excess, if nobody else comes:
// it shrinks by whole requests.
func (l *Line) retryAfter(excess time.Duration) time.Duration {
	perSlot := l.timeUntilSlots(1)
	if perSlot <= 0 {
		return excess
	}
	return (excess + perSlot - 1) / perSlot * perSlot
}

// waitOf estimates the wait of a new request from those that go before it: all
// of more urgent classes, and within its class what the least-served order puts
// first.
func (l *Line) estimateWait(item Item) time.Duration {
	if l.slotsInUse < l.cfg.Slots && l.waiting == 0 {
		return 0
	}
	rank := item.Priority.Rank()
	ahead := l.classes[rank].countAhead(item.Team)
	for _, class := range l.classes[:rank] {
		ahead += class.length
	}
	return l.timeUntilSlots(ahead + 1)
}

// nextClass selects the class that has the next turn.
func (l *Line) nextClass() *classQueue {
	batch := &l.classes[classCount-1]
	if batch.length > 0 && l.servedSinceBatch >= batchInterval {
		l.servedSinceBatch = 0
		return batch
	}
	for i := range l.classes[:classCount-1] {
		if l.classes[i].length > 0 {
			l.servedSinceBatch++
			return &l.classes[i]
		}
	}
	if batch.length > 0 {
		l.servedSinceBatch = 0
		return batch
	}
	return nil
}
