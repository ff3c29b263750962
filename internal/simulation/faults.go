package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// FaultKind is one way in which the fleet breaks.
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
	// FaultCrashChanging crashes an engine that carries out an order.
	FaultCrashChanging FaultKind = "crash-engine-in-change"
	// FaultStallOrder pauses a controller at the moment it is about to send an order.
	FaultStallOrder FaultKind = "stall-before-order"
	// FaultCutPeers cuts a controller off from the other controllers alone.
	FaultCutPeers FaultKind = "cut-from-peers"
	// FaultCutLink cuts one controller's way to one other, in one direction or both.
	FaultCutLink FaultKind = "cut-link"
	// FaultLull is no fault by itself: callers, operators and the planner want nothing
	// for a while, so that a controller that hears nothing misses nothing.
	FaultLull FaultKind = "lull"
	// FaultCutOffController cuts one controller off from everyone, for long.
	FaultCutOffController FaultKind = "cut-off-controller"
	// FaultSecondLoss loses a second disk as soon as the first loss is repaired.
	FaultSecondLoss FaultKind = "second-loss-after-repair"
	// FaultStopController stops a controller as planned: a leader hands over first.
	FaultStopController FaultKind = "stop-controller"
	// FaultSwapVoter lets an administrator give a standby the vote of another machine,
	// which then comes back with an empty disk.
	FaultSwapVoter FaultKind = "swap-voter"
	// FaultSecondLost counts the second disks that were lost so: it is never begun by
	// itself.
	FaultSecondLost FaultKind = "second-disk-lost"
	// FaultRestartTogether kills all controllers at once, or all but one that is cut off from
	// them, and starts them again soon. It happens only where it is emphasised.
	FaultRestartTogether FaultKind = "restart-together"
	// FaultReplaceBuild replaces a controller by one of the first format, or one of those by this build. It happens only
	// where it is emphasised.
	FaultReplaceBuild FaultKind = "replace-build"
)

// faultKinds lists all kinds in a fixed order.
var faultKinds = []FaultKind{
	FaultCrashController, FaultReplaceDisk, FaultPauseController, FaultStallController, FaultSlowDisk,
	FaultIsolate, FaultOneWay, FaultSplit, FaultBadNetwork, FaultCrashEngine, FaultPauseEngine,
	FaultEngineLeaves, FaultCrashGateway, FaultPauseGateway, FaultListLag,
	FaultCrashChanging, FaultStallOrder, FaultCutPeers, FaultCutLink, FaultLull, FaultCutOffController, FaultSecondLoss,
	FaultStopController, FaultSwapVoter,
}

// emphasisedKinds lists kinds that only happen where they are emphasised.
var emphasisedKinds = []FaultKind{FaultRestartTogether, FaultReplaceBuild}

// Times of faults. A pause may be much longer than a leader's lease.
const (
	longestGap   = 1600 * time.Millisecond
	longestFault = 6 * time.Second
	// longestStop is how long a controller that was killed with all others stays down.
	longestStop    = 300 * time.Millisecond
	emphasisWeight = 12
	// A long fault lasts between these.
	shortestLongFault = 10 * time.Second
	longestLongFault  = 25 * time.Second
)

// faults breaks the fleet at random, several things at once.
type faults struct {
	world   *world
	weights map[FaultKind]float64
	// activeEnds are the ends of the faults under way, by number.
	activeEnds map[int]func()
	begun      int
	isOver     bool
	// counts are the faults begun, by kind.
	counts map[FaultKind]int
}

// newFaults draws which kinds this run meets often: every run differs.
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

// scheduleNext starts the time of faults.
func (f *faults) scheduleNext() {
	f.world.after(f.world.drawDuration(longestGap), f.beginNext)
}

// beginNext begins one fault and arranges the one after it.
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

// drawLength draws how long a fault of a kind lasts.
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

// drawKind chooses a kind by its weight.
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

// end ends one fault.
func (f *faults) end(number int) {
	if end, active := f.activeEnds[number]; active {
		delete(f.activeEnds, number)
		end()
	}
}

// heal ends all faults, for good.
func (f *faults) heal() {
	f.isOver = true
	for _, number := range slices.Sorted(maps.Keys(f.activeEnds)) {
		f.end(number)
	}
	f.world.trace.add(f.world.now, "faults", "all healed")
}

// traceFault writes a fault into the trace.
func (f *faults) traceFault(kind FaultKind, format string, arguments ...any) {
	f.world.trace.add(f.world.now, "faults", "%s: %s", kind, fmt.Sprintf(format, arguments...))
}
