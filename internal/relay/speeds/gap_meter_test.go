package speeds

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against step times that follow the jitter of single arrivals or the shorter last event of a stream.
func TestGapMeterAveragesOverSeveralEvents(t *testing.T) {
	meter := &GapMeter{}
	arrivals := []int{0, 30, 75, 90, 120, 150, 155} // the third event is late, the last one is short
	var steps []time.Duration
	for _, at := range arrivals {
		steps = append(steps, meter.Arrived(time.Duration(at)*time.Millisecond, 10))
	}
	require.Equal(t, []time.Duration{0, 0, 0, 0, 0, 3 * time.Millisecond, 3 * time.Millisecond}, steps)
}
