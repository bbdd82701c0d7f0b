package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is the time since the VM started, the time that it was
// suspended included. The runtime's monotonic clock stands still during a
// suspend: a holder that was suspended would believe its lease still valid.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boot clock: " + err.Error()) // every Linux since 2.6.39 has it
	}
	return time.Duration(ts.Nano())
}
