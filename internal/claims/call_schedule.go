package claims

import (
	"slices"
	"time"
)

// callSchedule determines which controller to call and when, up to an end time: the leader first, then
// each controller in turn. The pause after each round of failures doubles.
type callSchedule struct {
	controllers []string
	timeout     time.Duration
	endsAt      time.Duration

	nextController int // index into controllers
	failures       int // since the last pause
	pause          time.Duration
	pausedUntil    time.Duration
}

func newCallSchedule(controllers []string, timeout, endsAt time.Duration) callSchedule {
	return callSchedule{
		controllers: slices.Clone(controllers),
		timeout:     timeout,
		endsAt:      endsAt,
		pause:       firstPause,
	}
}

// hasEnded reports whether the end time has passed or there is no controller to call.
func (s *callSchedule) hasEnded(now time.Duration) bool {
	return now >= s.endsAt || len(s.controllers) == 0
}

// nextStep returns the next call or pause.
func (s *callSchedule) nextStep(now time.Duration) Step {
	if now < s.pausedUntil {
		return Step{Wait: min(s.pausedUntil, s.endsAt)}
	}
	return Step{Call: s.controllers[s.nextController], Timeout: min(s.timeout, s.endsAt-now)}
}

// recordFailure makes the next call go to the leader if the failed call named it, or else to the next controller.
func (s *callSchedule) recordFailure(now time.Duration, leader string) {
	s.failures++
	if s.failures >= len(s.controllers) {
		s.failures = 0
		s.pausedUntil = now + s.pause
		s.pause = min(2*s.pause, maximumPause)
	}
	if leader == "" || leader == s.controllers[s.nextController] {
		s.nextController = (s.nextController + 1) % len(s.controllers)
		return
	}
	position := slices.Index(s.controllers, leader)
	if position < 0 {
		s.controllers = append(s.controllers, leader)
		position = len(s.controllers) - 1
	}
	s.nextController = position
}
