package timeline

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock: the wall time, and a counter
// that orders events within one millisecond and across processes whose wall
// clocks differ.
type Stamp struct {
	// WallMS is the wall time in milliseconds since the Unix epoch.
	WallMS  int64
	Counter uint32
}

// Before reports whether s is ordered before other.
func (s Stamp) Before(other Stamp) bool {
	if s.WallMS != other.WallMS {
		return s.WallMS < other.WallMS
	}
	return s.Counter < other.Counter
}

// MarshalText encodes the stamp for JSON and for headers as the milliseconds, a
// dot and the counter.
func (s Stamp) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%d.%d", s.WallMS, s.Counter), nil
}

// UnmarshalText decodes the format of MarshalText. It fails on any other text.
func (s *Stamp) UnmarshalText(b []byte) error {
	wall, counter, ok := strings.Cut(string(b), ".")
	if !ok {
		return fmt.Errorf("stamp %q must be MILLISECONDS.COUNTER", b)
	}
	ms, err := strconv.ParseInt(wall, 10, 64)
	if err != nil || ms < 0 {
		return fmt.Errorf("stamp %q: the milliseconds must be a number from 0 on", b)
	}
	n, err := strconv.ParseUint(counter, 10, 32)
	if err != nil {
		return fmt.Errorf("stamp %q: the counter must be a number from 0 to %d", b, uint32(math.MaxUint32))
	}
	*s = Stamp{WallMS: ms, Counter: uint32(n)}
	return nil
}

// String formats the stamp as UTC time of day with milliseconds, a plus sign and
// the counter.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", time.UnixMilli(s.WallMS).UTC().Format("15:04:05.000"), s.Counter)
}

// Clock is a hybrid logical clock. The zero Clock is ready for use. It is safe for
// concurrent use.
type Clock struct {
	mu sync.Mutex
	// last is the greatest stamp returned or observed so far, guarded by mu.
	last Stamp
}

// Now returns a stamp greater than every stamp that the clock has returned or
// observed.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(time.Now().UnixMilli())
	return c.last
}

// Observe advances the clock to a stamp from another process, so that the next
// stamp is greater than it.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}

// advance moves last to the next stamp at the given wall time. The caller must hold
// mu.
func (c *Clock) advance(wallMS int64) {
	if wallMS > c.last.WallMS {
		c.last = Stamp{WallMS: wallMS}
		return
	}
	c.last = c.last.next()
}

// next returns the least stamp greater than s. If the counter would overflow, the
// milliseconds are incremented instead; they then run ahead of the wall clock until
// it catches up.
func (s Stamp) next() Stamp {
	if s.Counter == math.MaxUint32 {
		return Stamp{WallMS: s.WallMS + 1}
	}
	return Stamp{WallMS: s.WallMS, Counter: s.Counter + 1}
}
