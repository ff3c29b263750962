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
	// longestPartialUpgrade is the longest time for which an upgrade stops half way, with both builds in the fleet.
	longestPartialUpgrade = 6 * time.Second
	// longestSwap is the longest time between the exit of one build's process and the start of the other's.
	longestSwap = time.Second
)

// replaceProcesses replaces controllers and relays by processes of the other build and back, one at a time, in any
// order: some are asked to stop, some are killed. It draws from its own random source, so that it does not change which
// other faults are drawn.
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

// replace replaces one process by one of the other build, unless another fault is under way at it.
func (f *faults) replace(process *fleet.Process, kind history.FaultKind, away time.Duration) {
	isController := slices.Contains(f.site.controllers, process)
	f.inject(kind, process.Name, isController, func() {
		wasOther := f.isOther(process.Name)
		f.site.chooseBuild(process, f.switchBuild(process.Name))
		if kind == history.Kill {
			process.Kill()
			time.Sleep(away)
			_ = process.Start() // a failed start shows as a process that is down
			return
		}
		f.terminate(process, wasOther, away)
	})
}

// switchBuild records that a process runs the other of the two builds from its next start on. It reports whether that
// is the build of Options.OtherProgram.
func (f *faults) switchBuild(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.onOtherBuild[name] = !f.onOtherBuild[name]
	f.kinds[history.Replace]++
	return f.onOtherBuild[name]
}

// isOther reports whether a process runs the build of Options.OtherProgram.
func (f *faults) isOther(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.onOtherBuild[name]
}

// processes returns all controllers and relays.
func (f *faults) processes() []*fleet.Process {
	processes := slices.Clone(f.site.controllers)
	for _, relay := range f.site.relays {
		processes = append(processes, relay.Process)
	}
	return processes
}
