package rwtime

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is a reading of the boot-time clock (CLOCK_BOOTTIME), which keeps running
// while the machine is suspended and ignores changes of the time of day. Readings
// of different machines can't be compared.
type BootTime time.Duration

// Now reads the boot-time clock. If the system has none, it falls back to the
// monotonic clock, counted from the start of the process.
func Now() BootTime {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return BootTime(time.Since(processStart))
	}
	return BootTime(ts.Nano())
}

// Since returns the time elapsed since b.
func Since(b BootTime) time.Duration { return time.Duration(Now() - b) }

var processStart = time.Now()
