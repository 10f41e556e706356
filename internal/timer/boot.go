package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started. Unlike the steady clock of package
// time, it goes on while the machine is suspended.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since 2.6.39.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}
