package slotqueue

import "time"

const (
	// defaultServiceTime is the expected service time before the first result.
	defaultServiceTime = 50 * time.Millisecond
	// maximumSamples limits the weight of earlier samples, so that a running mean follows changes of the service.
	maximumSamples = 32
)

// runningMean is a mean and the mean deviation from it, over about the last maximumSamples samples.
type runningMean struct {
	mean, deviation time.Duration
	samples         int
}

func newRunningMean() runningMean {
	return runningMean{mean: defaultServiceTime, deviation: defaultServiceTime / 2}
}

func (m *runningMean) add(sample time.Duration) {
	m.samples = min(m.samples+1, maximumSamples)
	if m.samples == 1 {
		m.mean, m.deviation = sample, sample/2
		return
	}
	weight := time.Duration(m.samples)
	m.deviation += ((sample - m.mean).Abs() - m.deviation) / weight
	m.mean += (sample - m.mean) / weight
}
