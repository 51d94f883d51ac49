// Package bootclock reads the clock that goes on while the machine sleeps.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started, sleep included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("the clock cannot be read: " + err.Error()) // The call fails only for clocks that do not exist.
	}
	return time.Duration(ts.Nano())
}
