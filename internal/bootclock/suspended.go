package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// readSuspendedTime returns how long the machine has been suspended: the clock that counts suspensions
// minus the one that does not. The former is read first, so that a process that is paused between the two
// readings gets a value that is too low and never sees a suspension that did not happen. If a clock cannot
// be read, it returns 0.
func readSuspendedTime() time.Duration {
	return clockDifference(unix.CLOCK_BOOTTIME, unix.CLOCK_MONOTONIC, unix.ClockGettime)
}

// clockDifference reads two clocks in order and returns by how much the first is ahead of the second.
func clockDifference(first, second int32, read func(clock int32, now *unix.Timespec) error) time.Duration {
	var ahead, behind unix.Timespec
	if read(first, &ahead) != nil || read(second, &behind) != nil {
		return 0
	}
	return time.Duration(ahead.Nano() - behind.Nano())
}
