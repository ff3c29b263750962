package measure

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/admission"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/routing"
)

// gateway admits and routes the requests that reach it.
type gateway struct {
	world     *world
	zone      string
	chooser   chooser
	admission *admission.Core // nil: every request starts at once
	waiting   map[uint64]*request
}

func newGateway(w *world, number int) (*gateway, error) {
	made := &gateway{world: w, zone: zoneName(number % w.setup.zones), waiting: map[uint64]*request{}}
	if w.setup.admission != nil {
		core, err := admission.New(*w.setup.admission)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		made.admission = core
	}
	random := rand.New(rand.NewPCG(w.setup.seed, uint64(100+number)))
	switch w.setup.chooser {
	case chooserRandom:
		made.chooser = &randomChooser{random: random, engines: w.setup.engines}
	case chooserLeastLoad:
		made.chooser = &leastLoadChooser{random: random}
	case chooserClairvoyant:
		made.chooser = &clairvoyantChooser{world: w}
	default:
		router, err := routing.New(routing.Config{
			Zone: made.zone, OtherZoneLatency: max(w.setup.zoneDelay, 1), Seed: w.setup.seed + uint64(number),
		})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		made.chooser = &routerChooser{world: w, router: router}
	}
	return made, nil
}

// receive takes in a request of a caller.
func (g *gateway) receive(asked *request) {
	if g.admission == nil {
		g.send(asked)
		return
	}
	g.waiting[uint64(asked.number)] = asked
	g.refuse(g.admission.Offer(g.world.now, admission.Request{
		ID: uint64(asked.number), Tenant: asked.tenant, Class: asked.tenant + "/" + asked.kind, Weight: asked.weight, Worth: asked.worth,
		PromptTokens: asked.prompt, OutputTokens: asked.output, Bytes: int64(4 * asked.prompt),
		Deadline: asked.deadline, MinimumTime: minimumTime(asked),
	}))
	g.startWaiting()
}

// minimumTime is how long a request takes at an idle engine.
func minimumTime(asked *request) time.Duration {
	profile := enginemodel.DefaultProfile()
	return profile.PrefillTime(asked.prompt) + time.Duration(asked.output)*profile.StepBase
}

func (g *gateway) expire() {
	if g.admission == nil {
		return
	}
	g.refuse(g.admission.Expire(g.world.now))
	g.startWaiting()
}

func (g *gateway) refuse(refusals []admission.Refusal) {
	for _, refusal := range refusals {
		g.world.results.refused(g.waiting[refusal.ID])
		delete(g.waiting, refusal.ID)
	}
}

func (g *gateway) startWaiting() {
	for {
		next, found := g.admission.StartNext(g.world.now)
		if !found {
			g.refuse(g.admission.DrainRefusals())
			return
		}
		asked := g.waiting[next.ID]
		delete(g.waiting, next.ID)
		g.send(asked)
	}
}

// send routes a request and hands it to the engine after the way there.
func (g *gateway) send(asked *request) {
	w := g.world
	chosen := g.chooser.choose(w.now, asked, nil)
	if chosen.engine < 0 {
		g.end(asked, admission.Result{Failed: true})
		w.results.refused(asked)
		return
	}
	current := &flight{request: asked, gateway: g, engine: chosen.engine, exchange: strconv.Itoa(asked.number), started: w.now}
	g.chooser.observe(w.now, routing.Dispatch{
		BackEnd: engineName(chosen.engine), Exchange: current.exchange, PromptTokens: asked.prompt - chosen.cached,
		PrefixBlocks: asked.routingBlocks, CachedAtHome: chosen.home,
	})
	w.agenda.Schedule(w.now+w.latency(g, chosen.engine), func() { g.arrive(current) })
}

func (g *gateway) arrive(current *flight) {
	w := g.world
	err := w.engines[current.engine].Submit(w.now, enginemodel.Request{
		ID: current.exchange, PromptTokens: current.prompt, OutputTokens: current.output, PrefixBlocks: current.engineBlocks,
	})
	if err != nil {
		g.finished(current)
		g.end(current.request, admission.Result{Overloaded: true})
		w.results.refused(current.request)
		return
	}
	w.running[current.engine][current.exchange] = current
}

func (g *gateway) firstToken(current *flight, event enginemodel.Event) {
	current.first = event.At
	current.cached = event.CachedTokens
	g.world.results.cached(current.request, event.CachedTokens)
	if g.admission != nil {
		own := enginemodel.DefaultProfile().PrefillTime(current.prompt)
		g.admission.RecordFirstToken(g.world.now, uint64(current.number), max(g.world.now-current.started-own, 0))
	}
	g.chooser.observe(g.world.now, routing.FirstToken{BackEnd: engineName(current.engine), Exchange: current.exchange})
	g.answered(current)
}

func (g *gateway) done(current *flight) {
	g.answered(current)
	g.finished(current)
	w := g.world
	w.results.done(current, w.now+w.latency(g, current.engine))
	g.end(current.request, admission.Result{
		PromptTokens: current.prompt, OutputTokens: current.output,
	})
	if g.admission != nil {
		g.startWaiting()
	}
}

func (g *gateway) end(asked *request, result admission.Result) {
	if g.admission != nil {
		g.admission.Finish(g.world.now, uint64(asked.number), result)
	}
}

// answered passes on the headers of an answer.
func (g *gateway) answered(current *flight) {
	load := loadOf(g.world.engines[current.engine])
	g.chooser.observe(g.world.now, routing.AnswerHeaders{BackEnd: engineName(current.engine), Incarnation: 1, Load: &load})
}

func (g *gateway) finished(current *flight) {
	g.chooser.observe(g.world.now, routing.Completion{
		BackEnd: engineName(current.engine), Exchange: current.exchange, PromptTokens: current.prompt, CachedTokens: current.cached,
	})
}
