package bootclock

import (
	"sync/atomic"
	"time"
)

// Clock turns the steady clock into durations since its origin. It is safe for concurrent use.
type Clock struct {
	origin time.Time
	// suspended tells for how long the machine was suspended since it was started.
	suspended func() time.Duration
	// before is how long it was suspended before the origin, counted how much of the time since then
	// is counted here.
	before  time.Duration
	counted atomic.Int64
	// lookEvery is the time between two looks for a suspension, lookedAt when the last one was, by the
	// clock that does not count suspensions.
	lookEvery time.Duration
	lookedAt  atomic.Int64
}

// leastSuspension is the shortest suspension that counts. Two readings of clocks are never of the same
// moment, and what lies between them must not count.
const leastSuspension = 20 * time.Millisecond

// RequestCheckInterval is the time between two looks of processes that serve requests: nothing that they decide
// within it hangs on a lease.
const RequestCheckInterval = time.Millisecond

// New returns a Clock whose origin is now. A suspension counts once the process has run for lookEvery
// after it: a look costs two calls of the system. With 0 each reading looks, as leases need it.
func New(lookEvery time.Duration) *Clock { return NewWithSuspension(lookEvery, suspended) }

// NewWithSuspension returns a Clock for tests, of a machine that was suspended for as long as told.
func NewWithSuspension(lookEvery time.Duration, suspended func() time.Duration) *Clock {
	return &Clock{origin: time.Now(), suspended: suspended, before: atLeast(suspended), lookEvery: lookEvery}
}

// originReadings is how often the origin is read: a reading may tell too little.
const originReadings = 5

// atLeast returns the longest of some readings.
func atLeast(suspended func() time.Duration) time.Duration {
	longest := suspended()
	for range originReadings - 1 {
		longest = max(longest, suspended())
	}
	return longest
}

// Now returns the time since the origin.
func (c *Clock) Now() time.Duration {
	running := time.Since(c.origin)
	if c.lookEvery > 0 && running-time.Duration(c.lookedAt.Load()) < c.lookEvery {
		return running + time.Duration(c.counted.Load())
	}
	c.lookedAt.Store(int64(running))
	return running + c.SuspendedTime()
}

// SuspendedTime looks for how long the machine was suspended since the origin.
func (c *Clock) SuspendedTime() time.Duration {
	now := int64(c.suspended() - c.before)
	for {
		counted := c.counted.Load()
		if now-counted < int64(leastSuspension) {
			return time.Duration(counted)
		}
		if c.counted.CompareAndSwap(counted, now) {
			return time.Duration(now)
		}
	}
}

// TimerDeadline returns the moment for timers and for deadlines of connections, which do not count suspensions:
// they are right until the next one.
func (c *Clock) TimerDeadline(moment time.Duration) time.Time {
	return c.origin.Add(moment - time.Duration(c.counted.Load()))
}
