package soak

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
)

const (
	// longestSeries is the most signals in a series, longestSignalGap the longest time between two of them.
	longestSeries    = 10
	longestSignalGap = 400 * time.Millisecond
)

// signal is something that a process is told and that must not end it.
type signal struct {
	send func()
	// after is the time until the next one.
	after time.Duration
}

// drawSeries draws a series of signals out of some. It draws from a source of its own, so that other faults do not depend on it.
func (f *faults) drawSeries(kinds ...func()) []signal {
	f.signalsMutex.Lock()
	defer f.signalsMutex.Unlock()
	series := make([]signal, f.signals.IntN(longestSeries+1))
	for number := range series {
		series[number] = signal{send: kinds[f.signals.IntN(len(kinds))], after: time.Duration(f.signals.Int64N(int64(longestSignalGap)))}
		if f.signals.IntN(3) == 0 {
			series[number].after = 0 // doubled
		}
	}
	return series
}

// signalOn sends signals to a process that was asked to stop, for as long as it runs.
func (f *faults) signalOn(process *fleet.Process) {
	for _, next := range f.drawSeries(process.Terminate, process.Reload, process.DumpLogs) {
		if !process.Running() {
			return
		}
		next.send()
		time.Sleep(next.after)
	}
}

// reloads tells a process, once and then again, that its settings have changed, or to write its log out.
func (f *faults) reloads(process *fleet.Process) {
	process.Reload()
	for _, next := range f.drawSeries(process.Reload, process.DumpLogs) {
		next.send()
		time.Sleep(next.after)
	}
}
