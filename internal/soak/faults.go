package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/platform/standin"
)

// Times of faults.
const (
	// longestGap is the longest time between two faults.
	longestGap = 900 * time.Millisecond
	// longestFreeze is the longest time for which a process stands still, longestAway for which it is gone.
	longestFreeze = 5 * time.Second
	longestAway   = 2500 * time.Millisecond
	// drainServes is how long a back end that leaves serves on.
	drainServes = 3500 * time.Millisecond
	// restLength is how long a back end turns requests away and asks for rest.
	restLength = 4 * time.Second
	// longestLimitGap is the longest time between two back ends that name limits, longestLimit the longest time for which
	// one names the same limit; largestLimit is the largest, in requests a second.
	longestLimitGap = 2 * time.Second
	longestLimit    = 6 * time.Second
	largestLimit    = 6.0
	// longestCutGap is the longest time between two cuts of relays, longestCut the longest for which one lasts.
	longestCutGap = 4 * time.Second
	longestCut    = 5 * time.Second
	// stopGrace is how long a process may take to end after it was asked to.
	stopGrace = 6 * time.Second
)

// faults strike processes and back ends by a seed; those of controllers never more at once than may be
// lost, but where all are killed together.
type faults struct {
	site    *site
	random  *rand.Rand
	running sync.WaitGroup

	mutex  sync.Mutex
	struck map[string]bool
	// lost counts the controllers that are struck.
	lost  int
	kinds map[history.FaultKind]int
	// other are the processes of the other build, by their names.
	other map[string]bool
	// signals draws series of signals; signalsMutex guards it.
	signalsMutex sync.Mutex
	signals      *rand.Rand
}

func newFaults(site *site) *faults {
	made := &faults{
		site: site, random: rand.New(rand.NewPCG(site.options.Seed, 3000)), struck: map[string]bool{}, kinds: map[history.FaultKind]int{}, other: map[string]bool{},
		signals: rand.New(rand.NewPCG(site.options.Seed, 7000)),
	}
	for _, process := range made.processes() {
		made.other[process.Name] = site.beginsWithOther()
	}
	return made
}

// run strikes until the context ends, and returns when all faults are over.
func (f *faults) run(ctx context.Context) {
	if !f.site.options.Plain {
		f.running.Go(func() { f.limitReplicas(ctx) })
	}
	if f.site.options.Other != "" {
		f.running.Go(func() { f.replaceProcesses(ctx) })
	}
	if f.site.options.Program == "" { // only this program can be told of cuts
		f.running.Go(func() { f.cutRelays(ctx) })
	}
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(f.random.Int64N(int64(longestGap))))
		switch f.random.IntN(10) {
		case 0, 1, 2:
			f.strikeController()
		case 3, 4, 5:
			f.strikeRelay()
		case 6:
			if f.random.IntN(4) == 0 {
				f.killAllControllers()
			}
		default:
			f.strikeReplica()
		}
	}
	f.running.Wait()
}

// begin takes a target for a fault; false when it is struck already, or too many controllers are.
func (f *faults) begin(target string, controller bool) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.struck[target] || controller && f.lost >= (f.site.options.Controllers-1)/2 {
		return false
	}
	f.struck[target] = true
	if controller {
		f.lost++
	}
	return true
}

// strike carries a fault out beside the others, and takes it down when it is over.
func (f *faults) strike(kind history.FaultKind, target string, controller bool, carryOut func()) {
	if !f.begin(target, controller) {
		return
	}
	f.mutex.Lock()
	f.kinds[kind]++
	f.mutex.Unlock()
	from, isOther := f.site.recorder.Now(), f.isOther(target)
	if f.site.options.Progress != nil {
		f.site.options.Progress(fmt.Sprintf("%7.3f s %s %s", from.Seconds(), kind, target))
	}
	f.running.Go(func() {
		carryOut()
		f.site.recorder.Fault(history.Fault{Kind: kind, Target: target, OtherBuild: isOther, From: from, To: f.site.recorder.Now()})
		if controller {
			time.Sleep(catchUp) // it counts as lost until it has caught up
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		delete(f.struck, target)
		if controller {
			f.lost--
		}
	})
}

// catchUp is how long a controller takes to catch up.
const catchUp = 2 * time.Second

func (f *faults) strikeController() {
	process := f.site.controllers[f.random.IntN(len(f.site.controllers))]
	away, freeze := f.drawn(longestAway), f.drawn(longestFreeze)
	switch f.random.IntN(5) {
	case 0:
		f.strike(history.Freeze, process.Name, true, func() { process.Suspend(); time.Sleep(freeze); process.Resume() })
	case 1:
		f.strike(history.Wipe, process.Name, true, func() {
			process.Kill()
			_ = process.ReplaceDisk() // it does not run
			time.Sleep(away)
			_ = process.Start() // a start that fails shows as a controller that is away
		})
	case 2:
		f.strike(history.Terminate, process.Name, true, func() { f.terminate(process, f.isOther(process.Name), away) })
	default:
		f.strike(history.Kill, process.Name, true, func() { process.Kill(); time.Sleep(away); _ = process.Start() })
	}
}

// killAllControllers kills all controllers at once; they are back within a second with their disks.
func (f *faults) killAllControllers() {
	f.mutex.Lock()
	free := f.lost == 0
	f.mutex.Unlock()
	if !free {
		return
	}
	away := f.drawn(time.Second)
	from := f.site.recorder.Now()
	f.running.Go(func() {
		for _, process := range f.site.controllers {
			process.Kill()
		}
		time.Sleep(away)
		for _, process := range f.site.controllers {
			_ = process.Start()
			f.site.recorder.Fault(history.Fault{Kind: history.Kill, Target: process.Name, From: from, To: f.site.recorder.Now()})
		}
	})
	f.mutex.Lock()
	f.kinds[history.Kill]++
	f.mutex.Unlock()
}

func (f *faults) strikeRelay() {
	relay := f.site.relays[f.random.IntN(len(f.site.relays))]
	away, freeze := f.drawn(longestAway), f.drawn(longestFreeze)
	switch f.random.IntN(5) {
	case 0:
		f.strike(history.Freeze, relay.Name, false, func() { relay.Suspend(); time.Sleep(freeze); relay.Resume() })
	case 1:
		f.strike(history.Reload, relay.Name, false, func() { f.reloads(relay.Process) })
	case 2, 3:
		f.strike(history.Terminate, relay.Name, false, func() { f.terminate(relay.Process, f.isOther(relay.Name), away) })
	default:
		f.strike(history.Kill, relay.Name, false, func() { relay.Kill(); time.Sleep(away); _ = relay.Start() })
	}
}

// terminate asks a process to stop, waits for its end, and starts it again. Signals follow unless it is of the other
// build, which they may end.
func (f *faults) terminate(process *fleet.Process, isOther bool, away time.Duration) {
	process.Terminate()
	var signalling sync.WaitGroup
	if !isOther {
		signalling.Go(func() { f.signalOn(process) })
	}
	for waited := time.Duration(0); process.Running() && waited < stopGrace; waited += stopPoll {
		time.Sleep(stopPoll)
	}
	process.Kill()
	signalling.Wait() // none of the series reaches the next start
	time.Sleep(away)
	_ = process.Start()
}

// stopPoll is the time between two looks at whether a process has ended.
const stopPoll = 20 * time.Millisecond

func (f *faults) strikeReplica() {
	replicas := append(append([]*standin.Replica(nil), f.site.pages...), f.site.engines...)
	replica := replicas[f.random.IntN(len(replicas))]
	away, length := f.drawn(longestAway), f.drawn(longestAway)
	switch f.random.IntN(7) {
	case 6:
		if f.site.options.Plain {
			return
		}
		f.strike(history.Rest, replica.Identity(), false, func() { replica.RequestBackoff(restLength); time.Sleep(restLength) })
	case 0:
		f.strike(history.Crash, replica.Identity(), false, func() { replica.Crash(); time.Sleep(away); _ = replica.Start() })
	case 1, 2:
		f.strike(history.Drain, replica.Identity(), false, func() { replica.Drain(drainServes); time.Sleep(away); _ = replica.Start() })
	case 3:
		f.strike(history.Reset, replica.Identity(), false, replica.ResetConnections)
	case 4:
		f.strike(history.Silence, replica.Identity(), false, func() { replica.BlockTraffic(length); time.Sleep(length) })
	default:
		f.strike(history.Delay, replica.Identity(), false, func() { replica.SetDelay(30 * time.Millisecond); time.Sleep(length); replica.SetDelay(0) })
	}
}

// limitReplicas has back ends name limits for all relays together, change them and take them back. It draws from a source
// of its own, so that other faults do not depend on it.
func (f *faults) limitReplicas(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 4000))
	replicas := append(append([]*standin.Replica(nil), f.site.pages...), f.site.engines...)
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(longestLimitGap))))
		replica := replicas[random.IntN(len(replicas))]
		first, second := largestLimit*random.Float64(), largestLimit*random.Float64()
		length := time.Duration(random.Int64N(int64(longestLimit)))
		f.strike(history.Limited, replica.Identity()+" limit", false, func() {
			replica.SetLimit(first)
			time.Sleep(length)
			replica.SetLimit(second)
			time.Sleep(length)
			replica.ClearLimit()
		})
	}
}

// drawn draws a time up to the longest.
func (f *faults) drawn(longest time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(longest)))
}
