package enginespeed

import "time"

const (
	// reportLifetime is how long a report counts for an engine's speed at this moment. It is short beside the spells in
	// which engines are slowed down: longer, and an engine would be avoided although it has recovered.
	reportLifetime = 250 * time.Millisecond
	// riseTime is the time constant with which an engine's usual relative time follows higher reports. Lower ones are
	// used at once: reports are higher than usual while an engine is slowed down, and never lower.
	riseTime = 5 * time.Second
	// peakRetention is how long a slowdown counts for the peak slowdown.
	peakRetention = 30 * time.Second
)

// estimate is what is known about one engine from its reports; all figures are 0 before the first one.
type estimate struct {
	// usual is the engine's usual relative time, and last the last reported one, at reportedAt.
	usual, last float64
	reportedAt  time.Duration
	// peak is the highest slowdown since the former peak expired, which was reported at peakAt.
	peak   float64
	peakAt time.Duration
}

// observe records a report.
func (e *estimate) observe(at time.Duration, relativeTime float64) {
	switch {
	case e.usual == 0 || relativeTime < e.usual:
		e.usual = relativeTime
	default:
		weight := min(float64(at-e.reportedAt)/float64(riseTime), 1)
		e.usual += weight * (relativeTime - e.usual)
	}
	e.last, e.reportedAt = relativeTime, at
	if slowdown := e.last / e.usual; slowdown >= e.peak || at-e.peakAt > peakRetention {
		e.peak, e.peakAt = slowdown, at
	}
}

// slowdown returns how much longer work takes now than usually at the engine; 1 without a recent report.
func (e *estimate) slowdown(at time.Duration) float64 {
	if e.last == 0 || at-e.reportedAt > reportLifetime {
		return 1
	}
	return max(e.last/e.usual, 1)
}
