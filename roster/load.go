package roster

import "time"

// Load is what an upstream states in an answer about its load.
type Load struct {
	// Running and Waiting are the numbers of requests that run and that wait for a slot.
	Running, Waiting int
	// Slots is the number of requests that run at the same time, 0 if it is not stated.
	Slots int
	// ProcessingTime is how long work takes now relative to what is usual, 0 if it is not stated.
	ProcessingTime float64
}

// ApplyLoad records the load that an answer states.
func (u *Upstream) ApplyLoad(l Load, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.load, u.loadAt = l, now
	u.processingTime.Add(now, l.ProcessingTime)
	u.othersInFlight, u.startedSinceUpdate = max(l.Running+l.Waiting-u.inFlight, 0), 0
}

// Load returns the load by the last answer that stated it, and its age. It returns false if none has.
func (u *Upstream) Load(now time.Time) (l Load, age time.Duration, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.loadAt.IsZero() {
		return Load{}, 0, false
	}
	return u.load, max(now.Sub(u.loadAt), 0), true
}

// Slots returns how many requests the upstream runs at the same time, by its last answer or else by its
// directory entry. It returns 0 if neither states it.
func (u *Upstream) Slots() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.load.Slots > 0 {
		return u.load.Slots
	}
	return u.entry.Slots
}

// ProcessingTime returns the smoothed relative processing time, 1 for as usual, and whether the
// upstream has ever stated one.
func (u *Upstream) ProcessingTime(now time.Time) (float64, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.processingTime.Ratio(now)
}
