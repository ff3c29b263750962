package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/bootclock"
)

// clock returns the monotonic time since the process's start, including the time for which the machine was suspended.
type clock struct{ steady *bootclock.Clock }

func newClock() clock { return clock{steady: bootclock.New(bootclock.RequestCheckInterval)} }

func (c clock) now() time.Duration { return c.steady.Now() }

// at converts a moment of this clock to the system's clock, for deadlines of connections.
func (c clock) at(moment time.Duration) time.Time { return c.steady.TimerDeadline(moment) }
