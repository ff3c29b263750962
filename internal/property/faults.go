package property

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
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
		fault.Refuse, fault.Error, fault.LoseAnswer, fault.Cut, fault.Truncate, fault.Stall, fault.Late,
		fault.Crossed, fault.WrongEcho, fault.Duplicate, fault.Skip,
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
	counts      Counts
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
	struck["claim answer lost"] += int(f.controllers.answersLost.Load())
	return struck
}

// collect adds what a stand-in showed.
func collect(struck map[string]int, whose string, shown *fault.Set) {
	for kind, count := range shown.Struck() {
		struck[whose+string(kind)] += count
	}
}

// strike draws one fault and returns its name; told faults are counted when they strike.
func (f *faults) strike() string {
	switch draw := f.random.IntN(20); {
	case draw < 9:
		f.tell(f.backEnds.engines[f.random.IntN(f.counts.Engines)].Faults(), engineFaults)
		return ""
	case draw < 12:
		f.tell(f.backEnds.pages[f.random.IntN(f.counts.Pages)].Faults(), pageFaults)
		return ""
	case draw < 13:
		return f.crashEngine()
	case draw < 14:
		return f.crashPage()
	case draw < 15:
		f.backEnds.engines[f.random.IntN(f.counts.Engines)].Freeze(f.down())
		return "engine paused"
	case draw < 16:
		return f.cutLinks()
	case draw < 17:
		f.gateways.kill(f.random.IntN(f.counts.Gateways))
		return "gateway killed"
	case draw < 18:
		f.gateways.replace(f.random.IntN(f.counts.Gateways))
		return "gateway stopped"
	case draw < 19:
		f.controllers.toLose.Store(1 + f.random.Int64N(maximumLostAnswers))
		return ""
	default:
		return f.isolateControllers()
	}
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
	left := set.Left()
	set.Replace(append(left, fault.Fault{
		Kind: kinds[f.random.IntN(len(kinds))], Count: 1 + f.random.IntN(maximumStrikes),
		Tokens: f.random.IntN(maximumFaultTokens), DelayMs: f.random.Int64N(maximumLate.Milliseconds()),
	}))
}

func (f *faults) crashEngine() string {
	struck := f.backEnds.engines[f.random.IntN(f.counts.Engines)]
	struck.Crash()
	f.after(func() { _ = struck.Restart() }) // clear starts it again in any case
	return "engine crashed"
}

func (f *faults) crashPage() string {
	struck := f.backEnds.pages[f.random.IntN(f.counts.Pages)]
	struck.Crash()
	f.after(func() { _ = struck.Restart() }) // clear starts it again in any case
	return "page service crashed"
}

// cutLinks breaks the connections between one gateway and one engine, or one caller.
func (f *faults) cutLinks() string {
	host := f.gateways.present(f.random.IntN(f.counts.Gateways)).host
	other := engineHost(f.random.IntN(f.counts.Engines))
	if f.random.IntN(3) == 0 {
		other = callerHost(f.random.IntN(f.counts.Callers))
	}
	if f.network.cut(host, other) == 0 {
		return ""
	}
	return "links cut"
}

func (f *faults) isolateControllers() string {
	f.network.isolate(controllerHost)
	f.after(func() { f.network.heal(controllerHost) })
	return "controllers out of reach"
}
