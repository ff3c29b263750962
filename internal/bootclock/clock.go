package bootclock

import (
	"sync/atomic"
	"time"
)

// Clock measures durations since its origin, including suspensions. It is safe for concurrent use.
type Clock struct {
	origin time.Time
	// readSuspended returns how long the machine has been suspended since it was booted.
	readSuspended func() time.Duration
	// suspendedBefore is the suspended time before the origin; suspendedSince is the suspended time since
	// the origin that Now has already included.
	suspendedBefore time.Duration
	suspendedSince  atomic.Int64
	// checkInterval is the minimum time between two checks for a suspension; lastCheckAt is the time of
	// the last one. Both are measured by the clock that does not count suspensions.
	checkInterval time.Duration
	lastCheckAt   atomic.Int64
}

// minimumSuspension is the shortest suspension that counts. The two clocks are never read at exactly the
// same moment, and the time between the two readings must not count.
const minimumSuspension = 20 * time.Millisecond

// RequestCheckInterval is the check interval of processes that serve requests: they make no decision that
// depends on a lease within that time.
const RequestCheckInterval = time.Millisecond

// New returns a Clock whose origin is now. The clock includes a suspension at the latest checkInterval
// after the process runs again. It does not check more often, because each check costs two system calls.
// With a checkInterval of 0 every call of Now checks, as leases require.
func New(checkInterval time.Duration) *Clock {
	return NewWithSuspension(checkInterval, readSuspendedTime)
}

// NewWithSuspension returns a Clock for tests, with the suspended time that readSuspended returns.
func NewWithSuspension(checkInterval time.Duration, readSuspended func() time.Duration) *Clock {
	return &Clock{origin: time.Now(), readSuspended: readSuspended, suspendedBefore: longestReading(readSuspended), checkInterval: checkInterval}
}

// originReadings is the number of readings at the origin, because one reading may be too low.
const originReadings = 5

// longestReading returns the largest of originReadings readings.
func longestReading(readSuspended func() time.Duration) time.Duration {
	longest := readSuspended()
	for range originReadings - 1 {
		longest = max(longest, readSuspended())
	}
	return longest
}

// Now returns the time since the origin.
func (c *Clock) Now() time.Duration {
	running := time.Since(c.origin)
	if c.checkInterval > 0 && running-time.Duration(c.lastCheckAt.Load()) < c.checkInterval {
		return running + time.Duration(c.suspendedSince.Load())
	}
	c.lastCheckAt.Store(int64(running))
	return running + c.SuspendedTime()
}

// SuspendedTime checks for suspensions and returns the suspended time since the origin.
func (c *Clock) SuspendedTime() time.Duration {
	current := int64(c.readSuspended() - c.suspendedBefore)
	for {
		counted := c.suspendedSince.Load()
		if current-counted < int64(minimumSuspension) {
			return time.Duration(counted)
		}
		if c.suspendedSince.CompareAndSwap(counted, current) {
			return time.Duration(current)
		}
	}
}

// TimerDeadline converts a moment of this clock for timers and connection deadlines, which do not count
// suspensions. The result is valid until the next suspension.
func (c *Clock) TimerDeadline(moment time.Duration) time.Time {
	return c.origin.Add(moment - time.Duration(c.suspendedSince.Load()))
}
