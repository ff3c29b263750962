package enginespeed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	fast   = uint64(1)
	slow   = uint64(2)
	silent = uint64(3)
)

// Guards against decisions by an outdated slowdown: an engine that slows down for 200 ms is known to be slow during that
// time, and not any more once it reports its usual speed or once its last report has expired.
func TestEngineThatSlowsDownAndRecoversWithin200Milliseconds(t *testing.T) {
	table := NewTable()
	require.False(t, table.HasReports())
	table.ObserveReport(0, fast, 0.7)
	require.True(t, table.HasReports())
	table.ObserveReport(100*time.Millisecond, fast, 1.75)
	require.InDelta(t, 2.5, table.Slowdown(200*time.Millisecond, fast), 0.1)
	table.ObserveReport(300*time.Millisecond, fast, 0.7)
	require.Equal(t, 1.0, table.Slowdown(301*time.Millisecond, fast))
	table.ObserveReport(400*time.Millisecond, fast, 1.75)
	require.Equal(t, 1.0, table.Slowdown(700*time.Millisecond, fast), "the report has expired")
	require.Equal(t, 1.0, table.Slowdown(700*time.Millisecond, silent), "an engine without reports")
}

// Guards against taking a slowed fast engine for a slow one: both report about the same relative time.
func TestUsualTimeIsNotThatOfASlowedEngine(t *testing.T) {
	table := NewTable()
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		factor := 1.0
		if at%(4*time.Second) < 600*time.Millisecond {
			factor = 2.5
		}
		table.ObserveReport(at, fast, 0.7*factor)
		table.ObserveReport(at, slow, 1.7*factor)
	}
	usualFast, _ := table.UsualTime(fast)
	usualSlow, _ := table.UsualTime(slow)
	require.InDelta(t, 0.7, usualFast, 0.1)
	require.InDelta(t, 1.7, usualSlow, 0.2)
	require.InDelta(t, 1.2, table.AverageTime(), 0.15)
	require.InDelta(t, 2.5, table.PeakSlowdown(20*time.Second), 0.2)
	for at := 20 * time.Second; at < 60*time.Second; at += 100 * time.Millisecond {
		table.ObserveReport(at, fast, 1.7)
	}
	usualFast, _ = table.UsualTime(fast)
	require.InDelta(t, 1.7, usualFast, 0.1, "an engine that is slower for good is noticed")
}

// Guards against step times that follow slowdowns and prefills: the usual step of an engine follows the shorter
// observations, at the engine's own relative time, also for an engine at which none was made.
func TestUsualStepIgnoresSlowdownsAndPrefills(t *testing.T) {
	table := NewTable()
	table.ObserveReport(0, fast, 0.7)
	table.ObserveReport(0, slow, 1.7)
	require.Equal(t, time.Duration(0.7*float64(initialStep)), table.Step(fast, 0))
	table.ObserveStep(0, silent, time.Hour, 0)
	for round := range 200 {
		at := time.Duration(round) * 40 * time.Millisecond
		table.ObserveReport(at, fast, 0.7)
		step := 3_500 * time.Microsecond
		if round%3 == 0 {
			step = 12 * time.Millisecond // the engine also prefills
		}
		table.ObserveStep(at, fast, step, 0)
		table.ObserveReport(at, fast, 1.75)
		table.ObserveStep(at, fast, 9*time.Millisecond, 0)
	}
	require.InEpsilon(t, 3_500*time.Microsecond, table.Step(fast, 0), 0.15)
	require.InEpsilon(t, 8_500*time.Microsecond, table.Step(slow, 0), 0.15)
}

// Guards against pauses that are predicted too short for many streams: step times grow with the running streams.
func TestStepGrowsWithRunningStreams(t *testing.T) {
	step := func(streams int) time.Duration {
		return 4*time.Millisecond + time.Duration(streams)*40*time.Microsecond
	}
	table := NewTable()
	table.ObserveReport(0, fast, 1)
	table.ObserveStep(0, fast, step(0), 0)
	for round := range 2_000 {
		streams := round % 32
		table.ObserveStep(0, fast, step(streams), streams)
	}
	require.InEpsilon(t, step(40), table.Step(fast, 40), 0.05)
	require.InEpsilon(t, step(1), table.Step(fast, 1), 0.05)
}

// Guards against one faulty engine that makes all others count as slow: the peak slowdown is that of most engines.
func TestPeakSlowdownIsThatOfMostEngines(t *testing.T) {
	table := NewTable()
	require.Equal(t, 1.0, table.PeakSlowdown(0))
	for _, engine := range []uint64{fast, slow, silent} {
		table.ObserveReport(0, engine, 1)
	}
	table.ObserveReport(10*time.Millisecond, slow, 50)
	require.Equal(t, 1.0, table.PeakSlowdown(time.Second))
	table.ObserveReport(2*time.Second, fast, 1)
	table.ObserveReport(2*time.Second+10*time.Millisecond, fast, 2.5)
	require.InDelta(t, 2.5, table.PeakSlowdown(3*time.Second), 0.1)
}

// Guards against numbers that no engine can mean, and against estimates of engines that are gone.
func TestInvalidReportsAndUnlistedEngines(t *testing.T) {
	table := NewTable()
	table.ObserveReport(0, fast, 0)
	table.ObserveReport(0, fast, -1)
	require.False(t, table.HasReports())
	table.ObserveReport(0, fast, 1e300)
	usual, known := table.UsualTime(fast)
	require.True(t, known)
	require.Equal(t, float64(maxRelativeTime), usual)
	table.ObserveStep(0, fast, -time.Millisecond, 1)
	require.Equal(t, maxRelativeTime*initialStep, table.Step(fast, 0))
	table.Retain(func(uint64) bool { return false })
	require.False(t, table.HasReports())
}
