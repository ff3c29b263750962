package gateway

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/bootclock"
)

// clock returns the monotonic time since the start of the process as a duration, including the time for which the
// machine was suspended. Packages without I/O expect times in this form.
type clock struct{ steady *bootclock.Clock }

func newClock() clock { return clock{steady: bootclock.New(bootclock.RequestCheckInterval)} }

// now returns the time since the start of the process.
func (c clock) now() time.Duration { return c.steady.Now() }

// time converts a time since the start of the process to wall-clock time, for I/O deadlines.
func (c clock) time(at time.Duration) time.Time { return c.steady.TimerDeadline(at) }
