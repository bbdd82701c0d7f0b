package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the VM started, including the time that it was suspended.
// The runtime's monotonic clock stops during a suspend: a holder that was suspended would
// consider its lease still valid.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boot clock: " + err.Error()) // every Linux since 2.6.39 has this clock
	}
	return time.Duration(ts.Nano())
}
