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
	created := &gateway{world: w, zone: zoneName(number % w.setup.zones), waiting: map[uint64]*request{}}
	if w.setup.admission != nil {
		core, err := admission.New(*w.setup.admission)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		created.admission = core
	}
	random := rand.New(rand.NewPCG(w.setup.seed, uint64(100+number)))
	switch w.setup.chooser {
	case chooserRandom:
		created.chooser = &randomChooser{random: random, engines: w.setup.engines}
	case chooserLeastLoad:
		created.chooser = &leastLoadChooser{random: random}
	case chooserClairvoyant:
		created.chooser = &clairvoyantChooser{world: w}
	default:
		router, err := routing.New(routing.Config{
			Zone: created.zone, OtherZoneLatency: max(w.setup.zoneDelay, 1), Seed: w.setup.seed + uint64(number),
		})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		created.chooser = &routerChooser{world: w, router: router}
	}
	return created, nil
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

func (g *gateway) expireWaiting() {
	if g.admission == nil {
		return
	}
	g.refuse(g.admission.Expire(g.world.now))
	g.startWaiting()
}

func (g *gateway) refuse(refusals []admission.Refusal) {
	for _, refusal := range refusals {
		g.world.results.addRefused(g.waiting[refusal.ID])
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
		g.finishAdmission(asked, admission.Result{Failed: true})
		w.results.addRefused(asked)
		return
	}
	current := &exchange{request: asked, gateway: g, engine: chosen.engine, exchangeID: strconv.Itoa(asked.number), started: w.now}
	g.chooser.observe(w.now, routing.Dispatch{
		BackEnd: engineName(chosen.engine), Exchange: current.exchangeID, PromptTokens: asked.prompt - chosen.cached,
		PrefixBlocks: asked.routingBlocks, CachedAtHome: chosen.isCachedAtHome,
	})
	w.agenda.Add(w.now+w.latency(g, chosen.engine), func() { g.submit(current) })
}

func (g *gateway) submit(current *exchange) {
	w := g.world
	err := w.engines[current.engine].Submit(w.now, enginemodel.Request{
		ID: current.exchangeID, PromptTokens: current.prompt, OutputTokens: current.output, PrefixBlocks: current.engineBlocks,
	})
	if err != nil {
		g.observeCompletion(current)
		g.finishAdmission(current.request, admission.Result{Overloaded: true})
		w.results.addRefused(current.request)
		return
	}
	w.running[current.engine][current.exchangeID] = current
}

func (g *gateway) recordFirstToken(current *exchange, event enginemodel.Event) {
	current.first = event.At
	current.cached = event.CachedTokens
	g.world.results.addCached(current.request, event.CachedTokens)
	if g.admission != nil {
		own := enginemodel.DefaultProfile().PrefillTime(current.prompt)
		g.admission.RecordFirstToken(g.world.now, uint64(current.number), max(g.world.now-current.started-own, 0))
	}
	g.chooser.observe(g.world.now, routing.FirstToken{BackEnd: engineName(current.engine), Exchange: current.exchangeID})
	g.observeHeaders(current)
}

func (g *gateway) complete(current *exchange) {
	g.observeHeaders(current)
	g.observeCompletion(current)
	w := g.world
	w.results.addCompleted(current, w.now+w.latency(g, current.engine))
	g.finishAdmission(current.request, admission.Result{
		PromptTokens: current.prompt, OutputTokens: current.output,
	})
	if g.admission != nil {
		g.startWaiting()
	}
}

func (g *gateway) finishAdmission(asked *request, result admission.Result) {
	if g.admission != nil {
		g.admission.Finish(g.world.now, uint64(asked.number), result)
	}
}

// observeHeaders passes on the headers of an answer.
func (g *gateway) observeHeaders(current *exchange) {
	load := loadOf(g.world.engines[current.engine])
	g.chooser.observe(g.world.now, routing.AnswerHeaders{BackEnd: engineName(current.engine), Incarnation: 1, Load: &load})
}

func (g *gateway) observeCompletion(current *exchange) {
	g.chooser.observe(g.world.now, routing.Completion{
		BackEnd: engineName(current.engine), Exchange: current.exchangeID, PromptTokens: current.prompt, CachedTokens: current.cached,
	})
}
