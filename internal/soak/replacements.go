package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// longestReplaceGap is the longest time between two replacements.
	longestReplaceGap = 2 * time.Second
	// longestPartialUpgrade is the longest time for which the fleet stays as it is: a landing is stopped half way.
	longestPartialUpgrade = 6 * time.Second
	// longestSwap is the longest time between the end of one build's process and the start of the other's.
	longestSwap = time.Second
)

// replaceProcesses replaces controllers and relays by those of the other build and back, one at a time, in any order:
// some are asked to stop, some are killed. It draws from a source of its own, so that other faults do not depend on it.
func (f *faults) replaceProcesses(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 6000))
	processes := f.processes()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(longestReplaceGap))))
		if random.IntN(8) == 0 {
			sleep(ctx, time.Duration(random.Int64N(int64(longestPartialUpgrade))))
		}
		process := processes[random.IntN(len(processes))]
		away := time.Duration(random.Int64N(int64(longestSwap)))
		kind := history.Terminate
		if random.IntN(4) == 0 {
			kind = history.Kill
		}
		f.replace(process, kind, away)
	}
}

// replace replaces one process by that of the other build, unless it is struck by another fault.
func (f *faults) replace(process *fleet.Process, kind history.FaultKind, away time.Duration) {
	isController := slices.Contains(f.site.controllers, process)
	f.inject(kind, process.Name, isController, func() {
		wasOther := f.isOther(process.Name)
		f.site.chooseBuild(process, f.switchBuild(process.Name))
		if kind == history.Kill {
			process.Kill()
			time.Sleep(away)
			_ = process.Start() // one that does not start shows as one that is away
			return
		}
		f.terminate(process, wasOther, away)
	})
}

// switchBuild notes that a process is of the other of the two builds from its next start on; it reports whether that is the
// other one.
func (f *faults) switchBuild(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.onOtherBuild[name] = !f.onOtherBuild[name]
	f.kinds[history.Replace]++
	return f.onOtherBuild[name]
}

// isOther reports whether a process is of the other build.
func (f *faults) isOther(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.onOtherBuild[name]
}

// processes are all controllers and relays.
func (f *faults) processes() []*fleet.Process {
	processes := slices.Clone(f.site.controllers)
	for _, relay := range f.site.relays {
		processes = append(processes, relay.Process)
	}
	return processes
}
