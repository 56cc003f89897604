package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM booted, including the time for which
// it was suspended. The monotonic clock of package time does not advance while
// the VM is suspended.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every supported kernel has this clock. Without it the age of the
		// configuration is unknown, so the process cannot continue.
		panic("reading CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}
