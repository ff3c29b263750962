package lifecycle

import (
	"os"
	"syscall"
	"time"
)

// Action is a process's response to a signal.
type Action string

// Actions.
const (
	// Stop starts the shutdown. The first SIGTERM or SIGINT requests it.
	Stop Action = "stop"
	// Repeated is a further SIGTERM or SIGINT during the shutdown. It has no effect, because the shutdown has a time
	// limit. Supervisors may repeat the signal, and a terminal sends SIGINT to a whole process group, whose members may
	// forward it.
	Repeated Action = "repeated"
	// Interrupted ends the process at once. A further SIGINT, of a person who does not want to wait, requests it.
	Interrupted Action = "interrupted"
	// Reload reads the settings again. SIGHUP requests it.
	Reload Action = "reload"
	// NotReloaded is a SIGHUP during the shutdown. It has no effect.
	NotReloaded Action = "not_reloaded"
	// Dump writes the log's ring buffer out. SIGUSR1 requests it.
	Dump Action = "dump"
	// Ignored is the response to SIGPIPE: the reader of the process's output has gone, and the process continues.
	Ignored Action = "ignored"
)

// interruptGap is the minimum time between two SIGINTs of a person. A SIGINT that follows sooner is the same one,
// forwarded by another process.
const interruptGap = 500 * time.Millisecond

// Decider decides the action for each signal. It is not safe for concurrent use.
type Decider struct {
	stopping    bool
	interrupted bool
	// interruptedAt is the time of the first SIGINT.
	interruptedAt time.Duration
}

// Decide returns the action for a signal received at a steady time.
func (d *Decider) Decide(signal os.Signal, now time.Duration) Action {
	switch signal {
	case syscall.SIGTERM:
		return d.decideStop()
	case syscall.SIGINT:
		if d.interrupted && now-d.interruptedAt >= interruptGap {
			return Interrupted
		}
		if !d.interrupted {
			d.interrupted, d.interruptedAt = true, now
		}
		return d.decideStop()
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

func (d *Decider) decideStop() Action {
	if d.stopping {
		return Repeated
	}
	d.stopping = true
	return Stop
}
