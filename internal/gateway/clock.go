package gateway

import "time"

// clock gives the monotonic time since the process's origin, as pure packages want it.
type clock struct{ origin time.Time }

func newClock() clock { return clock{origin: time.Now()} }

// now returns the time since the origin.
func (c clock) now() time.Duration { return time.Since(c.origin) }

// time returns the wall-clock form of a time since the origin, for I/O deadlines.
func (c clock) time(at time.Duration) time.Time { return c.origin.Add(at) }
