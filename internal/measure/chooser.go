package measure

import (
	"math/rand/v2"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/routing"
)

// Choosers that are compared.
const (
	chooserRouter      = "hazelpitch"
	chooserRandom      = "random"
	chooserLeastLoad   = "least reported load"
	chooserClairvoyant = "clairvoyant"
)

// engineChoice is the engine chosen for a request and what is expected of its cache.
type engineChoice struct {
	engine         int // -1 for none
	cached         int
	isCachedAtHome bool
}

var noEngine = engineChoice{engine: -1}

// chooser picks an engine for a request at one gateway.
type chooser interface {
	choose(now time.Duration, asked *request, excluded []int) engineChoice
	// observe passes on what the gateway sees.
	observe(now time.Duration, observation routing.Observation)
	// setReports passes on the lagging load reports of all engines.
	setReports(now time.Duration, directory []routing.BackEnd)
}

// routerChooser is the product's own routing.
type routerChooser struct {
	world  *world
	router *routing.Router
}

func (c *routerChooser) choose(now time.Duration, asked *request, excluded []int) engineChoice {
	names := make([]string, len(excluded))
	for i, index := range excluded {
		names[i] = engineName(index)
	}
	choice, err := c.router.Pick(now, routing.Request{
		Service: serviceName, PromptTokens: asked.prompt, OutputTokens: asked.output,
		PrefixBlocks: asked.routingBlocks,
	}, names)
	if err != nil {
		return noEngine
	}
	return engineChoice{engine: c.world.index[choice.BackEnd.Name], cached: choice.CachedTokens, isCachedAtHome: choice.CachedAtHome}
}

func (c *routerChooser) observe(now time.Duration, observation routing.Observation) {
	c.router.Observe(now, observation)
}

func (c *routerChooser) setReports(now time.Duration, directory []routing.BackEnd) {
	c.router.SetBackEnds(directory)
	c.router.Confirm(now)
}

// ignoresObservations is the part of a chooser that listens to nothing.
type ignoresObservations struct{}

func (ignoresObservations) observe(time.Duration, routing.Observation) {}

func (ignoresObservations) setReports(time.Duration, []routing.BackEnd) {}

// randomChooser picks any engine.
type randomChooser struct {
	ignoresObservations
	random  *rand.Rand
	engines int
}

func (c *randomChooser) choose(_ time.Duration, _ *request, excluded []int) engineChoice {
	return engineChoice{engine: drawEngine(c.random, c.engines, excluded)}
}

// leastLoadChooser picks the engine with the least reported load, as simple
// balancers do: it corrects nothing and knows of no cache.
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

// clairvoyantChooser sees every engine's present load and cache, and picks the one
// that would begin to write soonest.
type clairvoyantChooser struct {
	ignoresObservations
	world *world
}

func (c *clairvoyantChooser) choose(_ time.Duration, asked *request, excluded []int) engineChoice {
	best, least := -1, 0.0
	for i, engine := range c.world.engines {
		if contains(excluded, i) {
			continue
		}
		cost := prefillCost(engine, asked)
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return engineChoice{engine: best}
}

// prefillCost is the prompt tokens to read before the request is written, with the
// slower output beside running requests expressed in tokens.
func prefillCost(engine *enginemodel.Engine, asked *request) float64 {
	load, profile := engine.Load(), engine.Profile()
	unread := float64(load.WaitingPromptTokens) + float64(asked.prompt-engine.CachedTokens(asked.engineBlocks))
	slower := float64(asked.output*(load.Running+load.Waiting)) * profile.StepPerSequence.Seconds()
	return unread + slower*profile.PrefillTokensPerSecond
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
