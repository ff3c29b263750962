package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// Durations and sizes of faults.
const (
	// longestGap is the longest time between two faults.
	longestGap = 900 * time.Millisecond
	// longestFreeze is the longest time for which a process is suspended, longestAway the longest time for which it is down.
	longestFreeze = 5 * time.Second
	longestAway   = 2500 * time.Millisecond
	// drainServingTime is how long a draining back end keeps serving.
	drainServingTime = 3500 * time.Millisecond
	// backoffLength is how long a back end refuses requests and asks for backoff.
	backoffLength = 4 * time.Second
	// longestLimitGap is the longest time between two back ends that announce limits, longestLimit the longest time for
	// which one announces the same limit, largestLimit the largest limit in requests per second.
	longestLimitGap = 2 * time.Second
	longestLimit    = 6 * time.Second
	largestLimit    = 6.0
	// longestCutGap is the longest time between two network cuts of relays, longestCut the longest duration of one.
	longestCutGap = 4 * time.Second
	longestCut    = 5 * time.Second
	// stopGrace is how long a process may take to exit after it was asked to stop.
	stopGrace = 6 * time.Second
)

// faults injects faults into processes and back ends, drawn from a seed. At most as many controllers are down at
// once as the quorum tolerates, except when all controllers are killed together.
type faults struct {
	site *site
	// traffic has the clients. loadBalancer assigns their connections.
	traffic      *traffic
	loadBalancer *loadBalancer
	random       *rand.Rand
	running      sync.WaitGroup

	mutex         sync.Mutex
	struckTargets map[string]bool
	// lostControllers counts the controllers with a fault under way and those that still catch up with the log after
	// one.
	lostControllers int
	// keepsDisks is true while no disk may be replaced, since controllers may not reach each other to catch up with the log.
	keepsDisks bool
	kinds      map[history.FaultKind]int
	// releaseCutCount counts the cuts in releases.
	releaseCutCount int
	// onOtherBuild holds, by process name, whether the process runs the build of Options.OtherProgram.
	onOtherBuild map[string]bool
	// signals is the random source of the series of signals; signalsMutex guards it.
	signalsMutex sync.Mutex
	signals      *rand.Rand
}

func newFaults(site *site) *faults {
	created := &faults{
		site: site, random: rand.New(rand.NewPCG(site.options.Seed, 3000)), struckTargets: map[string]bool{}, kinds: map[history.FaultKind]int{}, onOtherBuild: map[string]bool{},
		signals: rand.New(rand.NewPCG(site.options.Seed, 7000)),
	}
	for _, process := range created.processes() {
		created.onOtherBuild[process.Name] = site.startsOnOtherBuild()
	}
	if site.options.checksReturns() {
		created.struckTargets[site.slotOwners()[0].Name] = true // never free for a fault
	}
	return created
}

// run injects faults until the context ends, and returns when all of them are over.
func (f *faults) run(ctx context.Context) {
	if f.site.options.Releases {
		f.running.Go(func() { f.release(ctx) })
	}
	if f.site.options.Moves {
		f.running.Go(func() { f.strikeMoves(ctx) })
	}
	if f.site.options.resumesLater() {
		f.running.Go(func() { f.resetClients(ctx) })
		f.running.Go(func() { f.changeSettings(ctx) })
		f.running.Go(func() { f.loseDatagrams(ctx) })
	}
	if f.site.options.ReleasesAlone {
		<-ctx.Done()
		f.running.Wait()
		return
	}
	if !f.site.options.FirstFormatOnly {
		f.running.Go(func() { f.limitReplicas(ctx) })
	}
	if f.site.options.OtherProgram != "" {
		f.running.Go(func() { f.replaceProcesses(ctx) })
	}
	if f.site.options.Program == "" { // only this program accepts commands that cut its network
		f.running.Go(func() { f.cutRelays(ctx) })
	}
	if f.site.options.StandStill {
		f.running.Go(func() { f.standStill(ctx) })
	}
	if f.site.options.HotRelay {
		f.running.Go(func() { f.concentrateConnections(ctx) })
	}
	if f.site.options.BackEndCuts {
		f.running.Go(func() { f.cutFromBackEnds(ctx) })
	}
	if f.site.options.ControllerCuts {
		f.running.Go(func() { f.cutControllers(ctx) })
	}
	if f.site.options.sharesSlots() && !f.site.options.checksReturns() {
		f.running.Go(func() { f.injectOwnerFaults(ctx) })
	}
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(f.random.Int64N(int64(longestGap))))
		switch f.random.IntN(10) {
		case 0, 1, 2:
			f.injectControllerFault()
		case 3, 4, 5:
			f.injectRelayFault()
		case 6:
			if f.random.IntN(4) == 0 {
				f.killAllControllers()
			}
		default:
			f.injectReplicaFault()
		}
	}
	f.running.Wait()
}

// claimTarget reserves a target for a fault. It returns false when another fault is under way at the target, or when
// no further controller may be lost.
func (f *faults) claimTarget(target string, isController bool) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.struckTargets[target] || isController && f.lostControllers >= (f.site.options.Controllers-1)/2 {
		return false
	}
	f.struckTargets[target] = true
	if isController {
		f.lostControllers++
	}
	return true
}

// inject runs a fault in the background and records it when it is over. It does nothing when the target is not free.
func (f *faults) inject(kind history.FaultKind, target string, isController bool, execute func()) {
	f.injectBeside(target, kind, target, isController, execute)
}

// injectBeside is inject for a fault that may overlap with others at its target: the claim identifies those with which it
// does not overlap.
func (f *faults) injectBeside(claim string, kind history.FaultKind, target string, isController bool, execute func()) {
	if !f.claimTarget(claim, isController) {
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
		execute()
		f.site.recorder.AddFault(history.Fault{Kind: kind, Target: target, OtherBuild: isOther, From: from, To: f.site.recorder.Now()})
		if isController {
			time.Sleep(catchUpTime) // the controller counts as lost until it has caught up
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		delete(f.struckTargets, claim)
		if isController {
			f.lostControllers--
		}
	})
}

// catchUpTime is how long a controller takes to catch up with the log after a fault.
const catchUpTime = 2 * time.Second

func (f *faults) injectControllerFault() {
	process := f.site.controllers[f.random.IntN(len(f.site.controllers))]
	away, freeze := f.drawDuration(longestAway), f.drawDuration(longestFreeze)
	switch f.random.IntN(5) {
	case 0:
		f.inject(history.Freeze, process.Name, true, func() { process.Suspend(); time.Sleep(freeze); process.Resume() })
	case 1:
		if f.mustKeepDisks() {
			return
		}
		f.inject(history.Wipe, process.Name, true, func() {
			process.Kill()
			_ = process.ReplaceDisk() // the process is not running; a failure leaves the old disk
			time.Sleep(away)
			_ = process.Start() // a failed start shows as a controller that is down
		})
	case 2:
		f.inject(history.Terminate, process.Name, true, func() { f.terminate(process, f.isOther(process.Name), away) })
	default:
		f.inject(history.Kill, process.Name, true, func() { process.Kill(); time.Sleep(away); _ = process.Start() })
	}
}

// mustKeepDisks reports whether no disk may be replaced now.
func (f *faults) mustKeepDisks() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.keepsDisks
}

// killAllControllers kills all controllers at once and restarts them with their disks within a second.
func (f *faults) killAllControllers() {
	f.mutex.Lock()
	free := f.lostControllers == 0
	f.mutex.Unlock()
	if !free {
		return
	}
	away := f.drawDuration(time.Second)
	from := f.site.recorder.Now()
	f.running.Go(func() {
		for _, process := range f.site.controllers {
			process.Kill()
		}
		time.Sleep(away)
		for _, process := range f.site.controllers {
			_ = process.Start()
			f.site.recorder.AddFault(history.Fault{Kind: history.Kill, Target: process.Name, From: from, To: f.site.recorder.Now()})
		}
	})
	f.mutex.Lock()
	f.kinds[history.Kill]++
	f.mutex.Unlock()
}

func (f *faults) injectRelayFault() {
	relay := f.site.relays[f.random.IntN(len(f.site.relays))]
	away, freeze := f.drawDuration(longestAway), f.drawDuration(longestFreeze)
	switch f.random.IntN(5) {
	case 0:
		f.freeze(relay, freeze)
	case 1:
		f.inject(history.Reload, relay.Name, false, func() { f.sendReloads(relay.Process) })
	case 2, 3:
		f.inject(history.Terminate, relay.Name, false, func() { f.terminate(relay.Process, f.isOther(relay.Name), away) })
	default:
		f.kill(relay, away)
	}
}

// freeze suspends a relay for a time.
func (f *faults) freeze(relay *relayProcess, length time.Duration) {
	f.inject(history.Freeze, relay.Name, false, func() { relay.Suspend(); time.Sleep(length); relay.Resume() })
}

// kill kills a relay and restarts it after a time.
func (f *faults) kill(relay *relayProcess, away time.Duration) {
	f.inject(history.Kill, relay.Name, false, func() { relay.Kill(); time.Sleep(away); _ = relay.Start() })
}

// terminate asks a process to stop, waits until it exits, and starts it again after the time away. While the process
// stops, it is sent further signals, unless it runs the other build, which such signals may kill.
func (f *faults) terminate(process *fleet.Process, isOther bool, away time.Duration) {
	process.Terminate()
	var signalling sync.WaitGroup
	if !isOther {
		signalling.Go(func() { f.sendSignals(process) })
	}
	for waited := time.Duration(0); process.Running() && waited < stopGrace; waited += stopPoll {
		time.Sleep(stopPoll)
	}
	process.Kill()
	signalling.Wait() // no signal of the series may reach the restarted process
	time.Sleep(away)
	_ = process.Start()
}

// stopPoll is the time between two checks whether a process has exited.
const stopPoll = 20 * time.Millisecond

func (f *faults) injectReplicaFault() {
	replicas := f.site.faultTargets()
	replica := replicas[f.random.IntN(len(replicas))]
	away, length := f.drawDuration(longestAway), f.drawDuration(longestAway)
	switch f.random.IntN(7) {
	case 6:
		if f.site.options.FirstFormatOnly {
			return
		}
		f.inject(history.Rest, replica.Identity(), false, func() { replica.RequestBackoff(backoffLength); time.Sleep(backoffLength) })
	case 0:
		f.inject(history.Crash, replica.Identity(), false, func() { replica.Crash(); time.Sleep(away); _ = replica.Start() })
	case 1, 2:
		f.inject(history.Drain, replica.Identity(), false, func() { replica.Drain(drainServingTime); time.Sleep(away); _ = replica.Start() })
	case 3:
		f.inject(history.Reset, replica.Identity(), false, replica.ResetConnections)
	case 4:
		f.inject(history.Silence, replica.Identity(), false, func() { replica.BlockTraffic(length); time.Sleep(length) })
	default:
		f.inject(history.Delay, replica.Identity(), false, func() { replica.SetDelay(30 * time.Millisecond); time.Sleep(length); replica.SetDelay(0) })
	}
}

// limitReplicas makes back ends announce limits for all relays together, change and withdraw them, until the context
// ends. It draws from its own random source, so that it does not change which other faults are drawn.
func (f *faults) limitReplicas(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.site.options.Seed, 4000))
	replicas := f.site.faultTargets()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(longestLimitGap))))
		replica := replicas[random.IntN(len(replicas))]
		first, second := largestLimit*random.Float64(), largestLimit*random.Float64()
		length := time.Duration(random.Int64N(int64(longestLimit)))
		f.inject(history.Limited, replica.Identity()+" limit", false, func() {
			replica.SetLimit(first)
			time.Sleep(length)
			replica.SetLimit(second)
			time.Sleep(length)
			replica.ClearLimit()
		})
	}
}

// drawDuration draws a duration below longest.
func (f *faults) drawDuration(longest time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(longest)))
}
