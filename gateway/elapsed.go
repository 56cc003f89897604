package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// Elapsed returns the time since the VM started, including the time for which
// it was suspended. The monotonic clock of package time stands still then.
func Elapsed() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists on every supported kernel; without it nothing may
		// be taken as recent.
		panic("reading the boot clock: " + err.Error())
	}
	return time.Duration(now.Nano())
}
