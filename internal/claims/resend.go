package claims

import (
	"slices"
	"time"
)

// resend chooses whom to call and when, until a time: the leader first, then each
// controller in turn, with a pause that doubles after each round of failures.
type resend struct {
	controllers []string
	timeout     time.Duration
	giveUpAt    time.Duration

	next     int // index into controllers
	failures int // since the last pause
	pause    time.Duration
	pausedTo time.Duration
}

func newResend(controllers []string, timeout, giveUpAt time.Duration) resend {
	return resend{
		controllers: slices.Clone(controllers),
		timeout:     timeout,
		giveUpAt:    giveUpAt,
		pause:       defaultFirstPause,
	}
}

// over reports whether no call is left.
func (r *resend) over(now time.Duration) bool {
	return now >= r.giveUpAt || len(r.controllers) == 0
}

// step is the next call or pause.
func (r *resend) step(now time.Duration) Step {
	if now < r.pausedTo {
		return Step{Wait: min(r.pausedTo, r.giveUpAt)}
	}
	return Step{Call: r.controllers[r.next], Timeout: min(r.timeout, r.giveUpAt-now)}
}

// failed moves on to the leader if it was named, or to the next controller.
func (r *resend) failed(now time.Duration, leader string) {
	r.failures++
	if r.failures >= len(r.controllers) {
		r.failures = 0
		r.pausedTo = now + r.pause
		r.pause = min(2*r.pause, defaultLongestPause)
	}
	if leader == "" || leader == r.controllers[r.next] {
		r.next = (r.next + 1) % len(r.controllers)
		return
	}
	at := slices.Index(r.controllers, leader)
	if at < 0 {
		r.controllers = append(r.controllers, leader)
		at = len(r.controllers) - 1
	}
	r.next = at
}
