package workmeter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Streams count as work while they run and not only at their end, since some run for many seconds.
func TestStreamsCountAsWorkWhileTheyRun(t *testing.T) {
	meter := New()
	first := meter.BeginRun(0, "service", 4)
	second := meter.BeginRun(500*time.Millisecond, "service", 4)
	report := meter.Report(time.Second)
	require.Len(t, report, 1)
	require.EqualValues(t, 250+125, report[0].GetDecodeMs())
	first(1500 * time.Millisecond)
	require.EqualValues(t, 125+250, meter.Report(2 * time.Second)[0].GetDecodeMs())
	second(2 * time.Second)
	require.Zero(t, meter.Report(3 * time.Second)[0].GetDecodeMs())
}

// SlotHoldTime is dominated by the long runs that fill slots; many short runs among them hardly change it.
func TestSlotHoldTimeWeightsRunsByTheTimeTheyFillSlots(t *testing.T) {
	meter := New()
	require.Zero(t, meter.SlotHoldTime("service"))
	for index := range 400 {
		duration := 10 * time.Millisecond
		if index%4 == 0 {
			duration = 4 * time.Second
		}
		meter.BeginRun(0, "service", 4)(duration)
	}
	require.InDelta(t, 2, meter.SlotHoldTime("service").Seconds(), 0.05)
}
