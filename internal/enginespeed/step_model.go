package enginespeed

import "time"

const (
	// initialStep is the estimate of a decode step at relative time 1 before any was observed.
	initialStep = 6 * time.Millisecond
	// fasterWeight and slowerWeight are the weights of observations below and above the estimate: steps take longer than
	// usual while the engine also prefills, so that the shorter ones say more about the usual time.
	fasterWeight = 0.2
	slowerWeight = 0.02
	// growthDecay is the factor that each observation applies to the earlier ones in the estimate of how steps grow with
	// the running streams; maxGrowth bounds that growth for each stream, relative to a step without other streams.
	growthDecay = 0.999
	maxGrowth   = 0.05
)

// stepModel estimates the time of a decode step at relative time 1 as it grows with the running streams. The zero value
// has no observations.
type stepModel struct {
	// alone is the time without other streams, in nanoseconds; 0 before the first observation.
	alone float64
	// growthSum and growthWeight are sums over observations, with exponential decay; their quotient is the relative growth
	// for each running stream.
	growthSum, growthWeight float64
}

// observe records the time of a step, in nanoseconds, at relative time 1 and with a number of running streams.
func (m *stepModel) observe(step float64, streams int) {
	if m.alone == 0 {
		m.alone = step / m.growthFactor(streams)
		return
	}
	if streams > 0 {
		growth := step/m.alone - 1
		m.growthSum = growthDecay*m.growthSum + growth*float64(streams)
		m.growthWeight = growthDecay*m.growthWeight + float64(streams)*float64(streams)
	}
	alone := step / m.growthFactor(streams)
	weight := slowerWeight
	if alone < m.alone {
		weight = fasterWeight
	}
	m.alone += weight * (alone - m.alone)
}

// timeOf returns the time of a step with a number of running streams, in nanoseconds.
func (m *stepModel) timeOf(streams int) float64 {
	alone := m.alone
	if alone == 0 {
		alone = float64(initialStep)
	}
	return alone * m.growthFactor(streams)
}

// growthFactor returns the time of a step with a number of running streams, relative to that without.
func (m *stepModel) growthFactor(streams int) float64 {
	if m.growthWeight == 0 || streams <= 0 {
		return 1
	}
	return 1 + min(max(m.growthSum/m.growthWeight, 0), maxGrowth)*float64(streams)
}
