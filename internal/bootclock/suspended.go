package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended reads for how long the machine was suspended: the clock that counts suspensions less the one
// that does not. The first one is read first, so that a process that stands still between the two tells
// too little, and never a suspension that there was not. Where a clock cannot be read, nothing is known
// of suspensions.
func suspended() time.Duration {
	return difference(unix.CLOCK_BOOTTIME, unix.CLOCK_MONOTONIC, unix.ClockGettime)
}

// difference reads one clock and then another, and returns by how much the first is ahead.
func difference(first, second int32, read func(clock int32, now *unix.Timespec) error) time.Duration {
	var ahead, behind unix.Timespec
	if read(first, &ahead) != nil || read(second, &behind) != nil {
		return 0
	}
	return time.Duration(ahead.Nano() - behind.Nano())
}
