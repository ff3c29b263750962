package property

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
	"github.com/hazelpitch/hazelpitch/internal/standin/page"
)

const (
	// Bounds of the time between two faults.
	shortestGap = 20 * time.Millisecond
	longestGap  = 400 * time.Millisecond
	// longestDown bounds the duration of crashes, pauses and isolation.
	longestDown = 4 * time.Second
	// Bounds of the faults that stand-in engines and page services show.
	maximumFaultCount  = 3
	maximumFaultTokens = 12
	maximumFaultDelay  = 3 * time.Second
	maximumLostAnswers = 4
)

// engineFaults and pageFaults are the faults that stand-in engines and stand-in page services can show.
var (
	engineFaults = []fault.Kind{
		fault.Refuse, fault.Error, fault.LoseAnswer, fault.Cut, fault.Truncate, fault.EarlyDone, fault.Stall,
		fault.Late, fault.Crossed, fault.WrongEcho, fault.Duplicate, fault.Skip,
		fault.FailExport, fault.LoseHandle, fault.ForeignHandle,
	}
	pageFaults = []fault.Kind{
		fault.Refuse, fault.Error, fault.LoseAnswer, fault.Late, fault.WrongEcho, fault.Truncate, fault.Cut,
	}
)

// faults injects the faults of a run. One goroutine calls injectUntilDone.
type faults struct {
	random      *rand.Rand
	network     *network
	backEnds    *backEnds
	gateways    *gateways
	controllers *controllers
	options     Options
	// pending waits for the delayed ends of faults: restarts and reconnections.
	pending sync.WaitGroup
}

// Counts are the numbers of actors in a run.
type Counts struct {
	Callers, Gateways, Engines, Pages int
}

// injectUntilDone injects faults until the context ends, and returns their counts by name.
func (f *faults) injectUntilDone(ctx context.Context) map[string]int {
	counts := map[string]int{}
	for ctx.Err() == nil {
		time.Sleep(shortestGap + time.Duration(f.random.Int64N(int64(longestGap-shortestGap))))
		if name := f.injectOne(); name != "" {
			counts[name]++
		}
	}
	f.pending.Wait()
	for _, each := range f.backEnds.engines {
		addFaultCounts(counts, "engine ", each.Faults())
	}
	for _, each := range f.backEnds.pages {
		addFaultCounts(counts, "page ", each.Faults())
	}
	counts[claimsLost] += int(f.controllers.answersLost.Load())
	return counts
}

// addFaultCounts adds the counts of the faults that a stand-in has shown.
func addFaultCounts(counts map[string]int, prefix string, shown *fault.Set) {
	for kind, count := range shown.StrikeCounts() {
		counts[prefix+string(kind)] += count
	}
}

// Names of faults.
const (
	engineFaultSet = "told to an engine"
	pageFaultSet   = "told to a page service"
	engineCrashed  = "engine crashed"
	pageCrashed    = "page service crashed"
	enginePaused   = "engine paused"
	linksCut       = "links cut"
	gatewayKilled  = "gateway killed"
	gatewayStopped = "gateway stopped"
	claimsLost     = "claim answers lost"
	controlLost    = "controllers out of reach"
)

// faultChoices are the faults to draw from, with their weights. inject returns true if the fault is to be counted
// now. Faults that a stand-in engine or page service shows later are counted when it shows them.
var faultChoices = []struct {
	name   string
	weight int
	inject func(*faults) bool
}{
	{engineFaultSet, 9, (*faults).addEngineFault},
	{pageFaultSet, 3, (*faults).addPageFault},
	{engineCrashed, 1, (*faults).crashEngine},
	{pageCrashed, 1, (*faults).crashPage},
	{enginePaused, 1, (*faults).pauseEngine},
	{linksCut, 1, (*faults).cutLinks},
	{gatewayKilled, 1, (*faults).killGateway},
	{gatewayStopped, 1, (*faults).stopGateway},
	{claimsLost, 1, (*faults).loseClaimAnswers},
	{controlLost, 1, (*faults).isolateControllers},
}

// likelyFaultWeight is the weight of Options.LikelyFault.
const likelyFaultWeight = 20

// injectOne draws and injects one fault. It returns its name, or an empty string when none is to be counted now.
func (f *faults) injectOne() string {
	sum := 0
	for _, each := range faultChoices {
		sum += f.weight(each.name, each.weight)
	}
	draw := f.random.IntN(sum)
	for _, each := range faultChoices {
		draw -= f.weight(each.name, each.weight)
		if draw >= 0 {
			continue
		}
		if each.inject(f) {
			return each.name
		}
		return ""
	}
	return ""
}

func (f *faults) weight(name string, weight int) int {
	if name == f.options.LikelyFault {
		return likelyFaultWeight
	}
	return weight
}

func (f *faults) drawDowntime() time.Duration {
	return time.Duration(f.random.Int64N(int64(longestDown)))
}

// after runs a function in the background after a drawn time.
func (f *faults) after(do func()) {
	pause := f.drawDowntime()
	f.pending.Go(func() {
		time.Sleep(pause)
		do()
	})
}

// addFault adds a fault of a drawn kind to those that a stand-in engine or page service is going to show.
func (f *faults) addFault(set *fault.Set, kinds []fault.Kind) {
	if f.options.OnlyFault != "" {
		kinds = []fault.Kind{f.options.OnlyFault}
	}
	remaining := set.Remaining()
	set.Replace(append(remaining, fault.Fault{
		Kind: kinds[f.random.IntN(len(kinds))], Count: 1 + f.random.IntN(maximumFaultCount),
		Tokens: f.random.IntN(maximumFaultTokens), DelayMs: f.random.Int64N(maximumFaultDelay.Milliseconds()),
	}))
}

func (f *faults) addEngineFault() bool {
	f.addFault(f.drawEngine().Faults(), engineFaults)
	return false
}

func (f *faults) addPageFault() bool {
	f.addFault(f.drawPage().Faults(), pageFaults)
	return false
}

func (f *faults) drawEngine() *engine.Engine {
	return f.backEnds.engines[f.random.IntN(f.options.Counts.Engines)]
}

func (f *faults) drawPage() *page.Service {
	return f.backEnds.pages[f.random.IntN(f.options.Counts.Pages)]
}

func (f *faults) drawGateway() int { return f.random.IntN(f.options.Counts.Gateways) }

func (f *faults) crashEngine() bool {
	crashed := f.drawEngine()
	crashed.Crash()
	f.after(func() { _ = crashed.Restart() }) // on failure, clear restarts it at the end of the run
	return true
}

func (f *faults) crashPage() bool {
	crashed := f.drawPage()
	crashed.Crash()
	f.after(func() { _ = crashed.Restart() }) // on failure, clear restarts it at the end of the run
	return true
}

func (f *faults) pauseEngine() bool {
	f.drawEngine().Freeze(f.drawDowntime())
	return true
}

// cutLinks breaks the connections between one gateway and either one engine or one caller.
func (f *faults) cutLinks() bool {
	host := f.gateways.current(f.drawGateway()).host
	other := engineHost(f.random.IntN(f.options.Counts.Engines))
	if f.random.IntN(3) == 0 {
		other = callerHost(f.random.IntN(f.options.Counts.Callers))
	}
	return f.network.cut(host, other) > 0
}

func (f *faults) killGateway() bool {
	f.gateways.kill(f.drawGateway())
	return true
}

func (f *faults) stopGateway() bool {
	f.gateways.replace(f.drawGateway())
	return true
}

func (f *faults) loseClaimAnswers() bool {
	f.controllers.answersToLose.Store(1 + f.random.Int64N(maximumLostAnswers))
	return false
}

func (f *faults) isolateControllers() bool {
	f.network.isolate(controllerHost)
	f.after(func() { f.network.heal(controllerHost) })
	return true
}
