package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended reads for how long the machine was suspended: the clock that counts suspensions less the one
// that does not. Both are read by the kernel; where one cannot be read, nothing is known of suspensions.
func suspended() time.Duration {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
