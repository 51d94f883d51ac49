// Package bootclock reads the clock that keeps running while the machine is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including time in suspend. It panics if the clock cannot be
// read.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("cannot read CLOCK_BOOTTIME: " + err.Error()) // The call fails only for unknown clock ids.
	}
	return time.Duration(ts.Nano())
}
