package admission

import "time"

const (
	rateWindow = 500 * time.Millisecond
	rateWeight = 0.3
)

// serviceRate measures how much cost is finished per second while there is a
// queue. Without a queue it only grows, since demand and not capacity limits then.
type serviceRate struct {
	perSecond float64
	since     time.Duration
	finished  float64
	started   bool
}

// restart leaves the time up to now out of the measurement.
func (s *serviceRate) restart(now time.Duration) {
	s.started, s.since, s.finished = true, now, 0
}

func (s *serviceRate) finish(now time.Duration, cost float64, queued bool) {
	if !s.started {
		s.started, s.since = true, now
		return
	}
	s.finished += cost
	elapsed := now - s.since
	if elapsed < rateWindow {
		return
	}
	sample := s.finished / elapsed.Seconds()
	s.since, s.finished = now, 0
	switch {
	case s.perSecond == 0:
		if queued {
			s.perSecond = sample
		}
	case queued:
		s.perSecond += rateWeight * (sample - s.perSecond)
	default:
		s.perSecond = max(s.perSecond, sample)
	}
}
