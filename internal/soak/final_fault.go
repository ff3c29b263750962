package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/soak/check"
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
	"github.com/hazelpitch/hazelpitch/platform/standin"
)

const (
	// Before the final fault controllers may be suspended, or cut from each other, for shortestDark to longestDark.
	shortestDark = 500 * time.Millisecond
	longestDark  = 10 * time.Second
	// longestFinalAway is the longest time for which a process is down in the final fault, longestDarkSpread the longest time
	// between the first and the last process that is suspended or goes on.
	longestFinalAway  = time.Second
	longestDarkSpread = 300 * time.Millisecond
	// finalCut is the number of the cut among the controllers in the final fault; lower numbers are those of other cuts.
	finalCut = 1 << 24
	// settleTime is how long the run goes on once everything serves again.
	settleTime = 3 * time.Second
	// finalPoll is the time between two checks whether everything serves again, readyTimeout the limit of a readiness probe.
	finalPoll    = 250 * time.Millisecond
	readyTimeout = 300 * time.Millisecond
)

// finalFault is the fault that ends a run. It draws from its own random source.
type finalFault struct {
	*faults
	random *rand.Rand
	// contents is the random source of configurations, whose number depends on the machine's speed.
	contents *rand.Rand
	// dark is how processes are silent before they are killed or go on.
	dark darkness
	// mutex guards recorded while processes are awaited.
	mutex    sync.Mutex
	recorded history.FinalFault
}

// darkness is a time in which processes do not hear each other.
type darkness struct {
	kind      history.FaultKind
	processes []*fleet.Process
}

// endDay changes the site as drawn, has a last change acknowledged, strikes all controllers right after it, and returns when the
// site serves again, or the recovery time is over.
func (f *faults) endDay(ctx context.Context) error {
	seed := f.site.options.Seed
	final := &finalFault{faults: f, random: rand.New(rand.NewPCG(seed, 16000)), contents: rand.New(rand.NewPCG(seed, 17000))}
	if err := final.prepare(ctx); err != nil {
		return err
	}
	final.changeOnce(ctx)
	final.strike()
	final.awaitService(ctx)
	return nil
}

// strike draws and injects the fault.
func (f *finalFault) strike() {
	controllers, relays := f.site.controllers, f.relayProcesses(f.random.IntN(2) == 0)
	f.recorded.At = f.site.recorder.Now()
	switch f.random.IntN(5) {
	case 0:
		f.describe("%d controllers and %d relays killed", len(controllers), len(relays))
		f.killAndRestart(slices.Concat(relays, controllers), 0)
	case 1:
		resume := f.darken(relays)
		f.recorded.Kind += ", then all killed"
		f.killAndRestart(slices.Concat(relays, controllers), 0)
		resume()
	case 2:
		resume := f.darken(relays)
		f.recorded.Kind += ", then going on"
		resume()
		f.recorded.BackAt = f.site.recorder.Now()
		f.addFaults(f.dark.kind, f.dark.processes)
	default:
		lost := (len(controllers) - 1) / 2
		f.describe("%d disks lost while all controllers and relays lose power", lost)
		f.killAndRestart(slices.Concat(f.relayProcesses(true), controllers), lost)
	}
}

// describe sets the description of the fault and reports it.
func (f *finalFault) describe(format string, arguments ...any) {
	f.recorded.Kind = fmt.Sprintf(format, arguments...)
	if f.site.options.Progress != nil {
		f.site.options.Progress(fmt.Sprintf("%7.3f s final fault: %s, after %s", f.recorded.At.Seconds(), f.recorded.Kind, f.recorded.Before))
	}
}

// relayProcesses returns the processes of all relays, or none.
func (f *finalFault) relayProcesses(areStruck bool) []*fleet.Process {
	var processes []*fleet.Process
	for _, relay := range f.site.relays {
		if areStruck {
			processes = append(processes, relay.Process)
		}
	}
	return processes
}

// darken suspends all controllers and the given relays, or drops all packets among the controllers, for the drawn time. The
// returned function lets them go on.
func (f *finalFault) darken(relays []*fleet.Process) (resume func()) {
	length := shortestDark + time.Duration(f.random.Int64N(int64(longestDark-shortestDark)))
	if f.site.options.cutsControllers() && f.random.IntN(2) == 0 {
		f.describe("no packets among all controllers for %s", length.Round(time.Millisecond))
		f.dark = darkness{history.CutController, f.site.controllers}
		return f.silence(length)
	}
	processes := slices.Concat(relays, f.site.controllers)
	f.dark = darkness{history.Freeze, processes}
	f.describe("%d controllers and %d relays suspended for %s", len(f.site.controllers), len(relays), length.Round(time.Millisecond))
	f.forEach(processes, longestDarkSpread, (*fleet.Process).Suspend)
	time.Sleep(length)
	return func() { f.forEach(processes, longestDarkSpread, (*fleet.Process).Resume) }
}

// silence drops all packets among the controllers for the given time. The returned function ends that.
func (f *finalFault) silence(length time.Duration) (end func()) {
	var addresses []netip.Addr
	for index := range f.site.controllers {
		addresses = append(addresses, f.site.controllerIP(index))
	}
	var ends []func() error
	for _, process := range f.site.controllers {
		// An error means that the process has exited; then it shows as one that is never ready.
		if end, err := process.CutNetwork(finalCut, silence.Cut{Mode: silence.CutSilent, Group: addresses, Others: addresses}); err == nil {
			ends = append(ends, end)
		}
	}
	time.Sleep(length)
	return func() {
		for _, end := range ends {
			_ = end() // an error means that the process has exited, and the cut with it
		}
	}
}

// forEach calls a function with each process, in a drawn order, within the given time.
func (f *finalFault) forEach(processes []*fleet.Process, within time.Duration, function func(*fleet.Process)) {
	var running sync.WaitGroup
	isTogether := f.random.IntN(2) == 0
	for _, process := range processes {
		after := time.Duration(0)
		if !isTogether {
			after = time.Duration(f.random.Int64N(int64(within)))
		}
		running.Go(func() { time.Sleep(after); function(process) })
	}
	running.Wait()
}

// killAndRestart kills processes together, empties the disks of some of the controllers, and starts all of them within
// longestFinalAway. In runs with another build, all come back on one of the two builds, or each on its own.
func (f *finalFault) killAndRestart(processes []*fleet.Process, lostDisks int) {
	var killing sync.WaitGroup
	for _, process := range processes {
		killing.Go(process.Kill)
	}
	killing.Wait()
	for _, number := range f.random.Perm(len(f.site.controllers))[:lostDisks] {
		_ = f.site.controllers[number].ReplaceDisk() // the process is not running; a failure leaves the old disk
	}
	if f.site.options.OtherProgram != "" {
		f.chooseBuilds(processes)
	}
	f.forEach(processes, longestFinalAway, func(process *fleet.Process) {
		_ = process.Start() // a failed start shows as a process that is never ready
	})
	f.recorded.BackAt = f.site.recorder.Now()
	f.addFaults(history.Kill, processes)
}

// chooseBuilds draws the build on which processes start next.
func (f *finalFault) chooseBuilds(processes []*fleet.Process) {
	choice := f.random.IntN(3)
	f.recorded.Kind += []string{", back on the build", ", back on the other build", ", each back on its build"}[choice]
	for _, process := range processes {
		if f.isOther(process.Name) != (choice == 1) && choice != 2 {
			f.site.chooseBuild(process, f.switchBuild(process.Name))
		}
	}
}

// addFaults records that the final fault struck processes.
func (f *finalFault) addFaults(kind history.FaultKind, processes []*fleet.Process) {
	for _, process := range processes {
		f.site.recorder.AddFault(history.Fault{Kind: kind, Target: process.Name, OtherBuild: f.isOther(process.Name), From: f.recorded.At, To: f.recorded.BackAt})
	}
}

// awaitService reads the configuration again and again, and waits until all processes are ready, the newest acknowledged
// configuration is read and a request is served, or the recovery time is over.
func (f *finalFault) awaitService(ctx context.Context) {
	due := f.recorded.BackAt + bounds.Recovery + time.Second
	limited, cancel := context.WithTimeout(ctx, due-f.site.recorder.Now())
	defer cancel()
	reading, stopReading := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { f.site.keepReading(reading) })
	f.recorded.ReadyAt = map[string]time.Duration{}
	for _, process := range f.processes() {
		f.recorded.ReadyAt[process.Name] = 0
	}
	for index, controller := range f.site.controllers {
		running.Go(func() { f.awaitReady(limited, controller.Name, f.site.adminAddress(index), standin.IsControllerReady) })
	}
	for _, relay := range f.site.relays {
		running.Go(func() { f.awaitReady(limited, relay.Name, relay.ready, standin.IsReady) })
	}
	for limited.Err() == nil && !f.isServing() {
		sleep(limited, finalPoll)
	}
	sleep(ctx, settleTime)
	stopReading()
	running.Wait()
	f.running.Wait()
	f.site.recorder.SetFinalFault(f.recorded)
}

// isServing reports whether everything serves again, and records how far it is.
func (f *finalFault) isServing() bool {
	f.mutex.Lock()
	f.site.recorder.SetFinalFault(f.recorded)
	recorded := f.site.recorder.History()
	measured := check.MeasureFinalFault(recorded)
	f.mutex.Unlock()
	return measured.All != nil && measured.Read != nil && measured.Served != nil
}

// awaitReady records when a process is ready. It gives up when the context ends.
func (f *finalFault) awaitReady(ctx context.Context, name, address string, probe func(ctx context.Context, address string) bool) {
	isReady := false
	for !isReady && ctx.Err() == nil {
		probing, cancel := context.WithTimeout(ctx, readyTimeout)
		isReady = probe(probing, address)
		cancel()
		if !isReady {
			sleep(ctx, stopPoll)
		}
	}
	if isReady {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.recorded.ReadyAt[name] = f.site.recorder.Now()
	}
}
