package enginespeed

import (
	"maps"
	"slices"
	"time"
)

const (
	// slowedDown is the slowdown from which durations of an engine's work are not used to estimate usual speeds.
	slowedDown = 1.2
	// maxRelativeTime bounds reports, which come from outside.
	maxRelativeTime = 100
	// peakInterval is the time between two computations of the peak slowdown, which visit all engines.
	peakInterval = 500 * time.Millisecond
)

// Table holds the estimates for the engines of one service. It is not safe for concurrent use.
type Table struct {
	engines map[uint64]*estimate
	step    stepModel
	// peak is the peak slowdown as of peakAt; 0 before it was computed.
	peak   float64
	peakAt time.Duration
}

// NewTable returns a table without observations.
func NewTable() *Table { return &Table{engines: map[uint64]*estimate{}} }

// ObserveReport records the relative time that an engine reports: 1 if work takes as long there now as usually in the
// service. Numbers that are not positive are ignored.
func (t *Table) ObserveReport(now time.Duration, engine uint64, relativeTime float64) {
	if !(relativeTime > 0) {
		return
	}
	entry := t.engines[engine]
	if entry == nil {
		entry = &estimate{}
		t.engines[engine] = entry
	}
	entry.observe(now, min(relativeTime, maxRelativeTime))
}

// ObserveStep records the time of one decode step at an engine with a number of running streams, derived from the gaps
// between the events of a stream. Steps of an engine that has reported nothing, or is slowed down, are ignored.
func (t *Table) ObserveStep(now time.Duration, engine uint64, step time.Duration, streams int) {
	if entry := t.engines[engine]; entry != nil && step > 0 && !t.IsSlowedDown(now, engine) {
		t.step.observe(float64(step)/entry.usual, streams)
	}
}

// HasReports reports whether any engine of the service has reported its relative time.
func (t *Table) HasReports() bool { return len(t.engines) > 0 }

// ReportedAt returns when an engine reported last; false if it never did.
func (t *Table) ReportedAt(engine uint64) (at time.Duration, reported bool) {
	if entry := t.engines[engine]; entry != nil {
		return entry.reportedAt, true
	}
	return 0, false
}

// Slowdown returns how much longer work takes now than usually at the engine; 1 if no recent report is known.
func (t *Table) Slowdown(now time.Duration, engine uint64) float64 {
	if entry := t.engines[engine]; entry != nil {
		return entry.slowdown(now)
	}
	return 1
}

// IsSlowedDown reports whether an engine is slowed down now, so that durations of its work say nothing about its usual
// speed.
func (t *Table) IsSlowedDown(now time.Duration, engine uint64) bool {
	return t.Slowdown(now, engine) >= slowedDown
}

// UsualTime returns the usual relative time of an engine, and false if it has reported nothing.
func (t *Table) UsualTime(engine uint64) (relativeTime float64, known bool) {
	if entry := t.engines[engine]; entry != nil {
		return entry.usual, true
	}
	return 1, false
}

// AverageTime returns the average of the engines' usual relative times; 1 if none has reported.
func (t *Table) AverageTime() float64 {
	if len(t.engines) == 0 {
		return 1
	}
	sum := 0.0
	for _, entry := range t.engines {
		sum += entry.usual
	}
	return sum / float64(len(t.engines))
}

// Step returns the usual time of one decode step of an engine with a number of running streams.
func (t *Table) Step(engine uint64, streams int) time.Duration {
	usual, _ := t.UsualTime(engine)
	return time.Duration(usual * t.step.timeOf(streams))
}

// PeakSlowdown returns the slowdown that engines of the service reach at times: the median of the engines' highest recent
// slowdowns, so that a single faulty engine does not set it. It is 1 if none is known.
func (t *Table) PeakSlowdown(now time.Duration) float64 {
	if t.peak == 0 || now-t.peakAt >= peakInterval {
		t.peak, t.peakAt = t.computePeak(now), now
	}
	return t.peak
}

// computePeak computes the peak slowdown.
func (t *Table) computePeak(now time.Duration) float64 {
	var peaks []float64
	for _, entry := range t.engines {
		if now-entry.peakAt <= peakRetention {
			peaks = append(peaks, entry.peak)
		}
	}
	if len(peaks) == 0 {
		return 1
	}
	slices.Sort(peaks)
	return max(peaks[len(peaks)/2], 1)
}

// Retain removes the engines that are not listed.
func (t *Table) Retain(listed func(engine uint64) bool) {
	maps.DeleteFunc(t.engines, func(engine uint64, _ *estimate) bool { return !listed(engine) })
}
