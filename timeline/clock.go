package timeline

import (
	"fmt"
	"sync"
	"time"
)

// Stamp is a reading of a hybrid logical clock: wall time in milliseconds
// since the Unix epoch, then a counter that orders events within one
// millisecond and across processes whose wall clocks differ.
type Stamp struct {
	WallMS  int64  `json:"wall_ms"`
	Counter uint32 `json:"counter"`
}

// Before reports whether s is ordered before other.
func (s Stamp) Before(other Stamp) bool {
	if s.WallMS != other.WallMS {
		return s.WallMS < other.WallMS
	}
	return s.Counter < other.Counter
}

// String formats the stamp as UTC time with milliseconds and the counter.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", time.UnixMilli(s.WallMS).UTC().Format("15:04:05.000"), s.Counter)
}

// Clock is a hybrid logical clock. The zero Clock is ready for use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp above every stamp that the clock returned or observed.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(time.Now().UnixMilli())
	return c.last
}

// Observe moves the clock past a stamp that came from another process.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}

func (c *Clock) advance(wallMS int64) {
	if wallMS > c.last.WallMS {
		c.last = Stamp{WallMS: wallMS}
		return
	}
	c.last.Counter++
}
