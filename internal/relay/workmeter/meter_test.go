package workmeter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Streams count while they run, not only at their end: some run for many seconds.
func TestStreamsCountAsWorkWhileTheyRun(t *testing.T) {
	meter := New()
	first := meter.Run(0, "service", 4)
	second := meter.Run(500*time.Millisecond, "service", 4)
	report := meter.Report(time.Second)
	require.Len(t, report, 1)
	require.EqualValues(t, 250+125, report[0].GetDecodeMs())
	first(1500 * time.Millisecond)
	require.EqualValues(t, 125+250, meter.Report(2 * time.Second)[0].GetDecodeMs())
	second(2 * time.Second)
	require.Zero(t, meter.Report(3 * time.Second)[0].GetDecodeMs())
}

// Slots are filled by the runs that last: short ones among them tell little.
func TestResidenceGoesByTheRunsThatFillSlots(t *testing.T) {
	meter := New()
	require.Zero(t, meter.Residence("service"))
	for index := range 400 {
		took := 10 * time.Millisecond
		if index%4 == 0 {
			took = 4 * time.Second
		}
		meter.Run(0, "service", 4)(took)
	}
	require.InDelta(t, 2, meter.Residence("service").Seconds(), 0.05)
}
