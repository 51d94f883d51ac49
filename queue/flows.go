package queue

import (
	"slices"

	"toucanfall/fleet"
)

// maxTeams is how many teams a class holds before it evicts those without waiting
// requests.
const maxTeams = 4096

// classQueue holds the waiting requests of one priority class, ordered by fair
// queueing among teams. The team with the lowest virtual time goes first; its
// virtual time increases by the tokens of each request that is served. A team
// that was idle resumes at the virtual time of the class at least, so that it
// gains no priority from having been idle.
type classQueue struct {
	byTeam      map[fleet.TeamID]*teamQueue
	length      int
	virtualTime fleet.Tokens
}

// teamQueue holds one team's requests in a class, in order of arrival.
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

// evictIdle removes teams without waiting requests once there are maxTeams.
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

// leastServed returns the team with the lowest virtual time among those with
// waiting requests, or nil if there is none. Ties are broken by team id.
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

// refund deducts the tokens that a request did not use from its team's virtual
// time.
func (c *classQueue) refund(team fleet.TeamID, unused fleet.Tokens) {
	if tq, ok := c.byTeam[team]; ok && unused > 0 {
		tq.virtualTime -= unused
	}
}

// countAhead estimates how many requests of the class are served before a new one
// of the team: the team's own waiting requests, and at most one more than these
// of each other team.
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
