package queue

import (
	"slices"

	"toucanfall/fleet"
)

// maxTeams bounds the teams that a class remembers without waiting requests.
const maxTeams = 4096

// flows holds the waiting requests of one class by team. The team with the least
// virtual time goes first; its virtual time grows by the tokens of each request
// that is served. A team that was idle begins at the virtual time of the class,
// so that it cannot save up turns.
type classQueue struct {
	byTeam      map[fleet.TeamID]*teamQueue
	length      int
	virtualTime fleet.Tokens
}

// flow is one team's requests in a class, in the order of their arrival.
type teamQueue struct {
	team        fleet.TeamID
	virtualTime fleet.Tokens
	tickets     []*Ticket
}

func newClassQueue() classQueue {
	return classQueue{byTeam: make(map[fleet.TeamID]*teamQueue)}
}

func (c *classQueue) push(t *Ticket) {
	tq, ok := c.byTeam[t.Item.Team]
	if !ok {
		c.evictIdle()
		tq = &teamQueue{team: t.Item.Team}
		c.byTeam[t.Item.Team] = tq
	}
	if len(tq.tickets) == 0 {
		tq.virtualTime = max(tq.virtualTime, c.virtualTime)
	}
	tq.tickets = append(tq.tickets, t)
	c.length++
}

// forget drops teams that wait for nothing once there are too many.
func (c *classQueue) evictIdle() {
	if len(c.byTeam) < maxTeams {
		return
	}
	for id, tq := range c.byTeam {
		if len(tq.tickets) == 0 {
			delete(c.byTeam, id)
		}
	}
}

// first returns the least-served team that waits.
func (c *classQueue) leastServed() *teamQueue {
	var least *teamQueue
	for _, tq := range c.byTeam {
		if len(tq.tickets) == 0 {
			continue
		}
		if least == nil || tq.virtualTime < least.virtualTime || (tq.virtualTime == least.virtualTime && tq.team < least.team) {
			least = tq
		}
	}
	return least
}

func (c *classQueue) pop() *Ticket {
	tq := c.leastServed()
	t := tq.tickets[0]
	tq.tickets = tq.tickets[1:]
	c.length--
	c.virtualTime = max(c.virtualTime, tq.virtualTime)
	tq.virtualTime += t.Item.Tokens
	return t
}

func (c *classQueue) remove(t *Ticket) {
	tq := c.byTeam[t.Item.Team]
	if i := slices.Index(tq.tickets, t); i >= 0 {
		tq.tickets = slices.Delete(tq.tickets, i, i+1)
		c.length--
	}
}

// settle gives a team back what its request was bounded by and did not use.
func (c *classQueue) refund(team fleet.TeamID, unused fleet.Tokens) {
	if tq, ok := c.byTeam[team]; ok && unused > 0 {
		tq.virtualTime -= unused
	}
}

// before estimates how many requests of the class are served before a new one of
// the team: its own ones, and of each other team as many at most.
func (c *classQueue) countAhead(team fleet.TeamID) int {
	own := 0
	if tq, ok := c.byTeam[team]; ok {
		own = len(tq.tickets)
	}
	n := own
	for id, tq := range c.byTeam {
		if id != team {
			n += min(len(tq.tickets), own+1)
		}
	}
	return n
}
