package measure

import (
	"math/rand/v2"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/routing"
)

// Names of the choosers that are compared.
const (
	chooserRouter      = "hazelpitch"
	chooserRandom      = "random"
	chooserLeastLoad   = "least reported load"
	chooserClairvoyant = "clairvoyant"
)

// engineChoice is the engine chosen for a request, and how much of the prompt its prefix cache is expected to hold.
type engineChoice struct {
	engine         int // -1 for none
	cachedTokens   int
	isCachedAtHome bool
}

var noEngine = engineChoice{engine: -1}

// chooser chooses an engine for a request at one gateway.
type chooser interface {
	choose(now time.Duration, req *request, excluded []int) engineChoice
	// observe passes an observation of the gateway to the chooser.
	observe(now time.Duration, observation routing.Observation)
	// setReports passes the delayed load reports of all engines to the chooser.
	setReports(now time.Duration, directory []routing.BackEnd)
}

// routerChooser uses the product's router.
type routerChooser struct {
	world  *world
	router *routing.Router
}

func (c *routerChooser) choose(now time.Duration, req *request, excluded []int) engineChoice {
	names := make([]string, len(excluded))
	for i, index := range excluded {
		names[i] = engineName(index)
	}
	choice, err := c.router.Pick(now, routing.Request{
		Service: serviceName, PromptTokens: req.promptTokens, OutputTokens: req.outputTokens,
		PrefixBlocks: req.routingBlocks,
	}, names)
	if err != nil {
		return noEngine
	}
	return engineChoice{engine: c.world.index[choice.BackEnd.Name], cachedTokens: choice.CachedTokens, isCachedAtHome: choice.CachedAtHome}
}

func (c *routerChooser) observe(now time.Duration, observation routing.Observation) {
	c.router.Observe(now, observation)
}

func (c *routerChooser) setReports(now time.Duration, directory []routing.BackEnd) {
	c.router.SetBackEnds(directory)
	c.router.Confirm(now)
}

// ignoresObservations implements the observing methods of chooser as no-ops; a chooser that embeds it overrides those
// that it uses.
type ignoresObservations struct{}

func (ignoresObservations) observe(time.Duration, routing.Observation) {}

func (ignoresObservations) setReports(time.Duration, []routing.BackEnd) {}

// randomChooser chooses any engine with equal probability.
type randomChooser struct {
	ignoresObservations
	random  *rand.Rand
	engines int
}

func (c *randomChooser) choose(_ time.Duration, _ *request, excluded []int) engineChoice {
	return engineChoice{engine: drawEngine(c.random, c.engines, excluded)}
}

// leastLoadChooser chooses the engine with the least reported load, as simple balancers do: it does not correct the
// reports for its own requests and does not consider prefix caches.
type leastLoadChooser struct {
	ignoresObservations
	random *rand.Rand
	loads  []int
}

func (c *leastLoadChooser) setReports(_ time.Duration, directory []routing.BackEnd) {
	c.loads = c.loads[:0]
	for _, backEnd := range directory {
		c.loads = append(c.loads, backEnd.Load.Running+backEnd.Load.Waiting)
	}
}

func (c *leastLoadChooser) choose(_ time.Duration, _ *request, excluded []int) engineChoice {
	best, ties := -1, 0
	for i, load := range c.loads {
		switch {
		case contains(excluded, i):
		case best < 0 || load < c.loads[best]:
			best, ties = i, 1
		case load == c.loads[best]:
			ties++
			if c.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return engineChoice{engine: best}
}

// clairvoyantChooser knows the current load and prefix cache of every engine, and chooses the engine with the lowest
// costInTokens.
type clairvoyantChooser struct {
	ignoresObservations
	world *world
}

func (c *clairvoyantChooser) choose(_ time.Duration, req *request, excluded []int) engineChoice {
	best, least := -1, 0.0
	for i, engine := range c.world.engines {
		if contains(excluded, i) {
			continue
		}
		cost := costInTokens(engine, req)
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return engineChoice{engine: best}
}

// costInTokens returns the cost of a request at an engine in prefill tokens. It counts the tokens to prefill before the
// request can decode, and the time by which the engine's other requests slow its decoding, converted to tokens at the
// prefill rate.
func costInTokens(engine *enginemodel.Engine, req *request) float64 {
	load, profile := engine.Load(), engine.Profile()
	prefillTokens := float64(load.WaitingPromptTokens) + float64(req.promptTokens-engine.CachedTokens(req.engineBlocks))
	slower := float64(req.outputTokens*(load.Running+load.Waiting)) * profile.StepPerSequence.Seconds()
	return prefillTokens + slower*profile.PrefillTokensPerSecond
}

func drawEngine(random *rand.Rand, engines int, excluded []int) int {
	if len(excluded) >= engines {
		return -1
	}
	for {
		if drawn := random.IntN(engines); !contains(excluded, drawn) {
			return drawn
		}
	}
}

func contains(list []int, wanted int) bool {
	for _, each := range list {
		if each == wanted {
			return true
		}
	}
	return false
}
