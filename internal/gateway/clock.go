package gateway

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/bootclock"
)

// clock gives the steady time since the process's origin, in which suspensions count, as pure packages
// want it.
type clock struct{ steady *bootclock.Clock }

func newClock() clock { return clock{steady: bootclock.New(bootclock.RequestCheckInterval)} }

// now returns the time since the origin.
func (c clock) now() time.Duration { return c.steady.Now() }

// time returns the wall-clock form of a time since the origin, for I/O deadlines.
func (c clock) time(at time.Duration) time.Time { return c.steady.TimerDeadline(at) }
