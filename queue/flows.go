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
type flows struct {
	teams  map[fleet.TeamID]*flow
	length int
	clock  fleet.Tokens
}

// flow is one team's requests in a class, in the order of their arrival.
type flow struct {
	team    fleet.TeamID
	served  fleet.Tokens
	tickets []*Ticket
}

func newFlows() flows {
	return flows{teams: make(map[fleet.TeamID]*flow)}
}

func (f *flows) push(t *Ticket) {
	w, ok := f.teams[t.Item.Team]
	if !ok {
		f.forget()
		w = &flow{team: t.Item.Team}
		f.teams[t.Item.Team] = w
	}
	if len(w.tickets) == 0 {
		w.served = max(w.served, f.clock)
	}
	w.tickets = append(w.tickets, t)
	f.length++
}

// forget drops teams that wait for nothing once there are too many.
func (f *flows) forget() {
	if len(f.teams) < maxTeams {
		return
	}
	for id, w := range f.teams {
		if len(w.tickets) == 0 {
			delete(f.teams, id)
		}
	}
}

// first returns the least-served team that waits.
func (f *flows) first() *flow {
	var first *flow
	for _, w := range f.teams {
		if len(w.tickets) == 0 {
			continue
		}
		if first == nil || w.served < first.served || (w.served == first.served && w.team < first.team) {
			first = w
		}
	}
	return first
}

func (f *flows) pop() *Ticket {
	w := f.first()
	t := w.tickets[0]
	w.tickets = w.tickets[1:]
	f.length--
	f.clock = max(f.clock, w.served)
	w.served += t.Item.Tokens
	return t
}

func (f *flows) remove(t *Ticket) {
	w := f.teams[t.Item.Team]
	if i := slices.Index(w.tickets, t); i >= 0 {
		w.tickets = slices.Delete(w.tickets, i, i+1)
		f.length--
	}
}

// settle gives a team back what its request was bounded by and did not use.
func (f *flows) settle(team fleet.TeamID, unused fleet.Tokens) {
	if w, ok := f.teams[team]; ok && unused > 0 {
		w.served -= unused
	}
}

// before estimates how many requests of the class are served before a new one of
// the team: its own ones, and of each other team as many at most.
func (f *flows) before(team fleet.TeamID) int {
	own := 0
	if w, ok := f.teams[team]; ok {
		own = len(w.tickets)
	}
	n := own
	for id, w := range f.teams {
		if id != team {
			n += min(len(w.tickets), own+1)
		}
	}
	return n
}
