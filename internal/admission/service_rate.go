package admission

import "time"

const (
	// rateWindow is the minimum length of one sample of the service rate.
	rateWindow = 500 * time.Millisecond
	// rateWeight is the weight of the latest sample in the rate.
	rateWeight = 0.3
)

// serviceRate measures the cost completed per second while requests are queued. Without a
// queue the rate only grows, since demand rather than capacity limits it then.
type serviceRate struct {
	perSecond    float64
	windowStart  time.Duration
	finishedCost float64
	isStarted    bool
}

// restart excludes the time before now from the measurement.
func (s *serviceRate) restart(now time.Duration) {
	s.isStarted, s.windowStart, s.finishedCost = true, now, 0
}

func (s *serviceRate) record(now time.Duration, cost float64, queued bool) {
	if !s.isStarted {
		s.isStarted, s.windowStart = true, now
		return
	}
	s.finishedCost += cost
	elapsed := now - s.windowStart
	if elapsed < rateWindow {
		return
	}
	sample := s.finishedCost / elapsed.Seconds()
	s.windowStart, s.finishedCost = now, 0
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
