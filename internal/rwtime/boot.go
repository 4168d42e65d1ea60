package rwtime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a reading of the clock that goes on while a machine is suspended and
// that no change of the time of day moves. Readings of two machines mean nothing
// to each other.
type Boot time.Duration

// Now reads the clock. It falls back to the process's own monotonic clock where
// the system has none that goes on while suspended.
func Now() Boot {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Boot(time.Since(started))
	}
	return Boot(ts.Nano())
}

// Since returns the time from a reading to now.
func Since(b Boot) time.Duration { return time.Duration(Now() - b) }

var started = time.Now()
