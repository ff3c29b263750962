package relay

import "time"

// clock turns the steady clock into durations since the process's origin.
type clock struct{ origin time.Time }

func newClock() clock { return clock{origin: time.Now()} }

func (c clock) now() time.Duration { return time.Since(c.origin) }

// at is the moment on the system's clock, for deadlines of connections.
func (c clock) at(moment time.Duration) time.Time { return c.origin.Add(moment) }
