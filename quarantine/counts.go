package quarantine

import (
	"time"

	"toucanfall/fleet"
)

// counts are the runs of a VM that went well, by part, in the current window of countWindow and the one
// before.
type counts struct {
	current, previous map[fleet.PartID]int
	// began is when the current window began.
	began time.Duration
	// limit bounds the parts that are counted in a window. Parts beyond it are not counted, or begin a new window
	// if rotates is set, so that those that come often are still counted.
	limit   int
	rotates bool
}

func newCounts(now time.Duration, limit int, rotates bool) counts {
	return counts{current: make(map[fleet.PartID]int), began: now, limit: limit, rotates: rotates}
}

// rotate begins a new window if the current one is over.
func (c *counts) rotate(now time.Duration) {
	age := now - c.began
	if age < countWindow && !(c.rotates && len(c.current) >= c.limit) {
		return
	}
	c.previous = c.current
	if age >= 2*countWindow {
		c.previous = nil
	}
	c.current, c.began = make(map[fleet.PartID]int), now
}

// add counts a run with the parts.
func (c *counts) add(now time.Duration, parts ...fleet.PartID) {
	c.rotate(now)
	for _, id := range parts {
		if c.current[id] > 0 || len(c.current) < c.limit {
			c.current[id]++
		}
	}
}

// get returns the number of runs with a part.
func (c *counts) get(now time.Duration, id fleet.PartID) int {
	c.rotate(now)
	return c.current[id] + c.previous[id]
}

// forget drops the runs with a part.
func (c *counts) forget(id fleet.PartID) {
	delete(c.current, id)
	delete(c.previous, id)
}
