// Package reachability decides, from the outcomes of connection attempts, whether a process has lost its network path to the
// back ends of a service. It is pure.
package reachability

import "time"

const (
	// evidenceLifetime is how long a failed attempt counts as evidence. Failures further apart are failures of single
	// back ends, since other attempts would have failed in between if the path were lost.
	evidenceLifetime = 2 * time.Second
	// minLostBackEnds and maxLostBackEnds bound how many back ends of a service must be unreachable at the same time before the
	// path counts as lost.
	minLostBackEnds = 3
	maxLostBackEnds = 6
	// minBackEnds is the number of back ends below which nothing can be said about the path.
	minBackEnds = 2
)

// Failure is one failed attempt to connect to a back end.
type Failure struct {
	Service string
	// BackEnd identifies the back end within its service.
	BackEnd uint64
	// TimedOut is true if nothing answered the attempt. Packets to other back ends, also on open connections, are then
	// probably lost as well.
	TimedOut bool
}

// Path is the state of the path to the back ends of a service.
type Path struct {
	// IsLost is true if no back end can be connected to.
	IsLost bool
	// IsSilent is true if the path is lost and at least one recent attempt timed out, so that packets on open connections are
	// probably lost too.
	IsSilent bool
}

// Tracker holds the state of the paths to all services. It is not safe for concurrent use.
type Tracker struct {
	services map[string]*service
}

// service is the state of the path to one service.
type service struct {
	// failures are the attempts that failed since the last one that succeeded, by back end.
	failures map[uint64]failedAt
	path     Path
}

// failedAt is when an attempt failed, and how.
type failedAt struct {
	at       time.Duration
	timedOut bool
}

// RequiredFailures returns how many back ends of a service with the given number of them must be unreachable at the same time
// before the path counts as lost: more than half of them, since some may crash at the same time, but few in a large service.
func RequiredFailures(backEnds int) int {
	return min(max(backEnds/2+1, minLostBackEnds), maxLostBackEnds, backEnds)
}

// New returns a Tracker for which every path is sound.
func New() *Tracker { return &Tracker{services: map[string]*service{}} }

// RecordOpened records that a back end of a service was connected to. It reports whether the path had been lost.
func (t *Tracker) RecordOpened(name string) (isRestored bool) {
	known := t.services[name]
	delete(t.services, name)
	return known != nil && known.path.IsLost
}

// RecordFailed records a failed attempt to connect to one of the given number of back ends of its service that accept
// requests. It reports whether this failure made the path count as lost.
func (t *Tracker) RecordFailed(now time.Duration, failure Failure, backEnds int) (isLost bool) {
	known := t.services[failure.Service]
	if known == nil {
		known = &service{failures: map[uint64]failedAt{}}
		t.services[failure.Service] = known
	}
	known.failures[failure.BackEnd] = failedAt{at: now, timedOut: failure.TimedOut}
	known.dropExpired(now)
	if known.path.IsLost {
		known.path.IsSilent = known.anyTimedOut()
		return false
	}
	if backEnds < minBackEnds || len(known.failures) < RequiredFailures(backEnds) {
		return false
	}
	known.path = Path{IsLost: true, IsSilent: known.anyTimedOut()}
	return true
}

// PathTo returns the state of the path to a service.
func (t *Tracker) PathTo(name string) Path {
	if known := t.services[name]; known != nil {
		return known.path
	}
	return Path{}
}

// LostServices returns the names of the services to which the path is lost, in no order.
func (t *Tracker) LostServices() []string {
	var lost []string
	for name, known := range t.services {
		if known.path.IsLost {
			lost = append(lost, name)
		}
	}
	return lost
}

// Retain removes the services that are not listed.
func (t *Tracker) Retain(isListed func(name string) bool) {
	for name := range t.services {
		if !isListed(name) {
			delete(t.services, name)
		}
	}
}

func (s *service) dropExpired(now time.Duration) {
	for backEnd, failed := range s.failures {
		if now-failed.at > evidenceLifetime {
			delete(s.failures, backEnd)
		}
	}
}

func (s *service) anyTimedOut() bool {
	for _, failed := range s.failures {
		if failed.timedOut {
			return true
		}
	}
	return false
}
