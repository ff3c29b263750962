package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	FaultCrashController FaultKind = "crash-controller"
	FaultReplaceDisk     FaultKind = "replace-disk"
	FaultPauseController FaultKind = "pause-controller"
	FaultStallController FaultKind = "stall-in-step"
	FaultSlowDisk        FaultKind = "slow-disk"
	FaultIsolate         FaultKind = "isolate-host"
	FaultOneWay          FaultKind = "one-way-partition"
	FaultSplit           FaultKind = "split-zones"
	FaultBadNetwork      FaultKind = "bad-network"
	FaultCrashEngine     FaultKind = "crash-engine"
	FaultPauseEngine     FaultKind = "pause-engine"
	FaultEngineLeaves    FaultKind = "engine-leaves"
	FaultCrashGateway    FaultKind = "crash-gateway"
	FaultPauseGateway    FaultKind = "pause-gateway"
	FaultListLag         FaultKind = "machine-list-lag"
	// FaultCrashChanging crashes an engine that is executing an order.
	FaultCrashChanging FaultKind = "crash-engine-in-change"
	// FaultStallOrder pauses a controller at the moment it is about to send an order.
	FaultStallOrder FaultKind = "stall-before-order"
	// FaultCutPeers cuts a controller off from the other controllers only.
	FaultCutPeers FaultKind = "cut-from-peers"
	// FaultCutLink cuts the link from one controller to another, in one direction or both.
	FaultCutLink FaultKind = "cut-link"
	// FaultLull is no fault by itself: callers, operators and the planner send nothing for a while, so that a
	// controller that receives no messages does not miss any either.
	FaultLull FaultKind = "lull"
	// FaultCutOffController cuts one controller off from all hosts for a long time.
	FaultCutOffController FaultKind = "cut-off-controller"
	// FaultSecondLoss loses a second disk as soon as the first loss is repaired.
	FaultSecondLoss FaultKind = "second-loss-after-repair"
	// FaultStopController stops a controller as planned: a leader transfers its leadership first.
	FaultStopController FaultKind = "stop-controller"
	// FaultSwapVoter makes an administrator move the vote of one machine to a standby; the machine then restarts with an
	// empty disk.
	FaultSwapVoter FaultKind = "swap-voter"
	// FaultSecondLost counts the second disks that FaultSecondLoss lost. It is never drawn.
	FaultSecondLost FaultKind = "second-disk-lost"
	// FaultRestartTogether kills all controllers at once, or all but one that is cut off from them, and restarts them
	// soon after. It happens only in runs that emphasise it.
	FaultRestartTogether FaultKind = "restart-together"
	// FaultReplaceBuild replaces a controller by one of a former format, and one of a former format by one of this
	// build. It happens only in runs that emphasise it.
	FaultReplaceBuild FaultKind = "replace-build"
)

// faultKinds lists the kinds of every run in a fixed order, since the order decides the draws.
var faultKinds = []FaultKind{
	FaultCrashController, FaultReplaceDisk, FaultPauseController, FaultStallController, FaultSlowDisk,
	FaultIsolate, FaultOneWay, FaultSplit, FaultBadNetwork, FaultCrashEngine, FaultPauseEngine,
	FaultEngineLeaves, FaultCrashGateway, FaultPauseGateway, FaultListLag,
	FaultCrashChanging, FaultStallOrder, FaultCutPeers, FaultCutLink, FaultLull, FaultCutOffController, FaultSecondLoss,
	FaultStopController, FaultSwapVoter,
}

// emphasisedKinds lists the kinds that happen only in runs that emphasise them.
var emphasisedKinds = []FaultKind{FaultRestartTogether, FaultReplaceBuild}

// Durations and weight of faults. A pause may be much longer than a leader's lease.
const (
	longestGap   = 1600 * time.Millisecond
	longestFault = 6 * time.Second
	// longestStop is the longest time for which controllers that were killed together stay down.
	longestStop    = 300 * time.Millisecond
	emphasisWeight = 12
	// Bounds of the duration of a long fault.
	shortestLongFault = 10 * time.Second
	longestLongFault  = 25 * time.Second
)

// faults injects faults at random, several at the same time.
type faults struct {
	world   *world
	weights map[FaultKind]float64
	// activeEnds holds the functions that end the faults under way, by the fault's number.
	activeEnds map[int]func()
	begun      int
	isOver     bool
	// counts holds the number of faults begun, by kind.
	counts map[FaultKind]int
}

// newFaults draws a weight for each kind, so that the kinds that occur often differ from run to run.
func newFaults(w *world) *faults {
	f := &faults{world: w, weights: map[FaultKind]float64{}, activeEnds: map[int]func(){}, counts: map[FaultKind]int{}}
	for _, kind := range faultKinds {
		draw := w.random.Float64()
		f.weights[kind] = draw * draw
	}
	for _, kind := range w.options.Emphasis {
		f.weights[kind] = emphasisWeight
	}
	return f
}

// scheduleNext schedules the next fault.
func (f *faults) scheduleNext() {
	f.world.after(f.world.drawDuration(longestGap), f.beginNext)
}

// beginNext begins one fault and schedules the next one.
func (f *faults) beginNext() {
	if f.isOver {
		return
	}
	kind := f.drawKind()
	if end := f.start(kind); end != nil {
		f.counts[kind]++
		number := f.begun
		f.begun++
		f.activeEnds[number] = end
		f.world.after(f.drawLength(kind), func() { f.end(number) })
	}
	f.scheduleNext()
}

// drawLength draws the duration of a fault of a kind.
func (f *faults) drawLength(kind FaultKind) time.Duration {
	switch kind {
	case FaultCutOffController, FaultCutPeers, FaultSecondLoss, FaultStallOrder:
		return shortestLongFault + f.world.drawDuration(longestLongFault-shortestLongFault)
	case FaultRestartTogether:
		return f.world.drawDuration(longestStop)
	default:
		return f.world.drawDuration(longestFault)
	}
}

// drawKind draws a kind by weight.
func (f *faults) drawKind() FaultKind {
	kinds := slices.Concat(faultKinds, emphasisedKinds)
	total := 0.0
	for _, kind := range kinds {
		total += f.weights[kind]
	}
	at := f.world.random.Float64() * total
	for _, kind := range kinds {
		at -= f.weights[kind]
		if at < 0 {
			return kind
		}
	}
	return faultKinds[0]
}

// end ends one fault, unless it has ended already.
func (f *faults) end(number int) {
	if end, active := f.activeEnds[number]; active {
		delete(f.activeEnds, number)
		end()
	}
}

// heal ends all faults and begins no further ones.
func (f *faults) heal() {
	f.isOver = true
	for _, number := range slices.Sorted(maps.Keys(f.activeEnds)) {
		f.end(number)
	}
	f.world.trace.add(f.world.now, "faults", "all healed")
}

// traceFault adds a fault to the trace.
func (f *faults) traceFault(kind FaultKind, format string, arguments ...any) {
	f.world.trace.add(f.world.now, "faults", "%s: %s", kind, fmt.Sprintf(format, arguments...))
}
