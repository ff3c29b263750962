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
	// Times between two faults.
	shortestCalm = 20 * time.Millisecond
	longestCalm  = 400 * time.Millisecond
	// longestDown bounds crashes, pauses and isolation.
	longestDown = 4 * time.Second
	// Bounds of the faults that stand-ins are told to show.
	maximumStrikes     = 3
	maximumFaultTokens = 12
	maximumLate        = 3 * time.Second
	maximumLostAnswers = 4
)

// engineFaults and pageFaults are what stand-ins may be told to show.
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

// faults strikes a run. One goroutine calls strike until stop.
type faults struct {
	random      *rand.Rand
	network     *network
	backEnds    *backEnds
	gateways    *gateways
	controllers *controllers
	options     Options
	// later waits for what ends by itself: restarts and healing.
	later sync.WaitGroup
}

// Counts of the kinds of actors in a run.
type Counts struct {
	Callers, Gateways, Engines, Pages int
}

// run strikes until the context ends, and returns what struck by name.
func (f *faults) run(ctx context.Context) map[string]int {
	struck := map[string]int{}
	for ctx.Err() == nil {
		time.Sleep(shortestCalm + time.Duration(f.random.Int64N(int64(longestCalm-shortestCalm))))
		if name := f.strike(); name != "" {
			struck[name]++
		}
	}
	f.later.Wait()
	for _, each := range f.backEnds.engines {
		collect(struck, "engine ", each.Faults())
	}
	for _, each := range f.backEnds.pages {
		collect(struck, "page ", each.Faults())
	}
	struck[claimsLost] += int(f.controllers.answersLost.Load())
	return struck
}

// collect adds what a stand-in showed.
func collect(struck map[string]int, whose string, shown *fault.Set) {
	for kind, count := range shown.StrikeCounts() {
		struck[whose+string(kind)] += count
	}
}

// Names of the faults that processes and links may show.
const (
	toldEngine     = "told to an engine"
	toldPage       = "told to a page service"
	engineCrashed  = "engine crashed"
	pageCrashed    = "page service crashed"
	enginePaused   = "engine paused"
	linksCut       = "links cut"
	gatewayKilled  = "gateway killed"
	gatewayStopped = "gateway stopped"
	claimsLost     = "claim answers lost"
	controlLost    = "controllers out of reach"
)

// strikes are the faults that may be drawn, with their weights. Each reports whether it
// struck at once; what a stand-in is told is counted when it strikes.
var strikes = []struct {
	name   string
	weight int
	strike func(*faults) bool
}{
	{toldEngine, 9, (*faults).tellEngine},
	{toldPage, 3, (*faults).tellPage},
	{engineCrashed, 1, (*faults).crashEngine},
	{pageCrashed, 1, (*faults).crashPage},
	{enginePaused, 1, (*faults).pauseEngine},
	{linksCut, 1, (*faults).cutLinks},
	{gatewayKilled, 1, (*faults).killGateway},
	{gatewayStopped, 1, (*faults).stopGateway},
	{claimsLost, 1, (*faults).loseClaims},
	{controlLost, 1, (*faults).isolateControllers},
}

// likelyWeight is the weight of the fault that a run is to show most.
const likelyWeight = 20

// strike draws one fault and returns its name, or nothing when none struck at once.
func (f *faults) strike() string {
	sum := 0
	for _, each := range strikes {
		sum += f.weight(each.name, each.weight)
	}
	draw := f.random.IntN(sum)
	for _, each := range strikes {
		draw -= f.weight(each.name, each.weight)
		if draw >= 0 {
			continue
		}
		if each.strike(f) {
			return each.name
		}
		return ""
	}
	return ""
}

func (f *faults) weight(name string, weight int) int {
	if name == f.options.Likely {
		return likelyWeight
	}
	return weight
}

func (f *faults) down() time.Duration { return time.Duration(f.random.Int64N(int64(longestDown))) }

// after does something once a drawn time has passed.
func (f *faults) after(do func()) {
	pause := f.down()
	f.later.Go(func() {
		time.Sleep(pause)
		do()
	})
}

// tell adds one fault to those that a stand-in has still to show.
func (f *faults) tell(set *fault.Set, kinds []fault.Kind) {
	if f.options.Only != "" {
		kinds = []fault.Kind{f.options.Only}
	}
	left := set.Remaining()
	set.Replace(append(left, fault.Fault{
		Kind: kinds[f.random.IntN(len(kinds))], Count: 1 + f.random.IntN(maximumStrikes),
		Tokens: f.random.IntN(maximumFaultTokens), DelayMs: f.random.Int64N(maximumLate.Milliseconds()),
	}))
}

func (f *faults) tellEngine() bool {
	f.tell(f.engine().Faults(), engineFaults)
	return false
}

func (f *faults) tellPage() bool {
	f.tell(f.page().Faults(), pageFaults)
	return false
}

func (f *faults) engine() *engine.Engine {
	return f.backEnds.engines[f.random.IntN(f.options.Counts.Engines)]
}

func (f *faults) page() *page.Service {
	return f.backEnds.pages[f.random.IntN(f.options.Counts.Pages)]
}

func (f *faults) gateway() int { return f.random.IntN(f.options.Counts.Gateways) }

func (f *faults) crashEngine() bool {
	struck := f.engine()
	struck.Crash()
	f.after(func() { _ = struck.Restart() }) // clear starts it again in any case
	return true
}

func (f *faults) crashPage() bool {
	struck := f.page()
	struck.Crash()
	f.after(func() { _ = struck.Restart() }) // clear starts it again in any case
	return true
}

func (f *faults) pauseEngine() bool {
	f.engine().Freeze(f.down())
	return true
}

// cutLinks breaks the connections between one gateway and one engine, or one caller.
func (f *faults) cutLinks() bool {
	host := f.gateways.present(f.gateway()).host
	other := engineHost(f.random.IntN(f.options.Counts.Engines))
	if f.random.IntN(3) == 0 {
		other = callerHost(f.random.IntN(f.options.Counts.Callers))
	}
	return f.network.cut(host, other) > 0
}

func (f *faults) killGateway() bool {
	f.gateways.kill(f.gateway())
	return true
}

func (f *faults) stopGateway() bool {
	f.gateways.replace(f.gateway())
	return true
}

func (f *faults) loseClaims() bool {
	f.controllers.toLose.Store(1 + f.random.Int64N(maximumLostAnswers))
	return false
}

func (f *faults) isolateControllers() bool {
	f.network.isolate(controllerHost)
	f.after(func() { f.network.heal(controllerHost) })
	return true
}
