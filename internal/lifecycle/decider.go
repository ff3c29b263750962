package lifecycle

import (
	"os"
	"syscall"
	"time"
)

// Action is what a process does about a signal.
type Action string

// Actions.
const (
	// Stop begins the stop: SIGTERM or SIGINT, the first time.
	Stop Action = "stop"
	// Repeated is a further one while the process stops: nothing, since the stop is bounded. Supervisors repeat
	// themselves, and a terminal sends SIGINT to a whole group whose members pass it on.
	Repeated Action = "repeated"
	// Interrupted ends the process at once: a further SIGINT from somebody who does not want to wait.
	Interrupted Action = "interrupted"
	// Reload reads the settings again: SIGHUP.
	Reload Action = "reload"
	// NotReloaded is SIGHUP at a process that stops: nothing.
	NotReloaded Action = "not_reloaded"
	// Dump writes the log's ring out: SIGUSR1.
	Dump Action = "dump"
	// Ignored is SIGPIPE: whoever read the process's output has gone, the process goes on.
	Ignored Action = "ignored"
)

// interruptGap is the least time between two interrupts of a person: what comes sooner is one interrupt that was passed
// on.
const interruptGap = 500 * time.Millisecond

// Decider decides what signals do. It is not safe for concurrent use.
type Decider struct {
	stopping    bool
	interrupted bool
	// interruptedAt is the time of the first interrupt.
	interruptedAt time.Duration
}

// Decide decides on a signal that came at a steady time.
func (d *Decider) Decide(signal os.Signal, now time.Duration) Action {
	switch signal {
	case syscall.SIGTERM:
		return d.stop()
	case syscall.SIGINT:
		if d.interrupted && now-d.interruptedAt >= interruptGap {
			return Interrupted
		}
		if !d.interrupted {
			d.interrupted, d.interruptedAt = true, now
		}
		return d.stop()
	case syscall.SIGHUP:
		if d.stopping {
			return NotReloaded
		}
		return Reload
	case syscall.SIGUSR1:
		return Dump
	default:
		return Ignored
	}
}

func (d *Decider) stop() Action {
	if d.stopping {
		return Repeated
	}
	d.stopping = true
	return Stop
}
