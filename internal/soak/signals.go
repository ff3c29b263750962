package soak

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
)

const (
	// longestSeries is the largest number of signals in a series, longestSignalGap the longest time between two of them.
	longestSeries    = 10
	longestSignalGap = 400 * time.Millisecond
)

// signal is a signal that the process must survive, and the pause that follows it.
type signal struct {
	send func()
	// after is the time until the next signal.
	after time.Duration
}

// drawSeries draws a series of signals from the given kinds. It draws from its own random source, so that it does not
// change which other faults are drawn.
func (f *faults) drawSeries(kinds ...func()) []signal {
	f.signalsMutex.Lock()
	defer f.signalsMutex.Unlock()
	series := make([]signal, f.signals.IntN(longestSeries+1))
	for number := range series {
		series[number] = signal{send: kinds[f.signals.IntN(len(kinds))], after: time.Duration(f.signals.Int64N(int64(longestSignalGap)))}
		if f.signals.IntN(3) == 0 {
			series[number].after = 0 // the next signal follows at once
		}
	}
	return series
}

// sendSignals sends signals to a process that was asked to stop, for as long as it runs.
func (f *faults) sendSignals(process *fleet.Process) {
	for _, next := range f.drawSeries(process.Terminate, process.Reload, process.DumpLogs) {
		if !process.Running() {
			return
		}
		next.send()
		time.Sleep(next.after)
	}
}

// sendReloads signals a process that its settings have changed, followed by further reload and log dump signals.
func (f *faults) sendReloads(process *fleet.Process) {
	process.Reload()
	for _, next := range f.drawSeries(process.Reload, process.DumpLogs) {
		next.send()
		time.Sleep(next.after)
	}
}
