package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/bootclock"
)

// clock gives the steady time since the process's origin, in which suspensions count.
type clock struct{ steady *bootclock.Clock }

func newClock() clock { return clock{steady: bootclock.New(bootclock.RequestCheckInterval)} }

func (c clock) now() time.Duration { return c.steady.Now() }

// at is the moment on the system's clock, for deadlines of connections.
func (c clock) at(moment time.Duration) time.Time { return c.steady.TimerDeadline(moment) }
