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
	admission *admission.Core // nil: every request is sent at once
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

// receive accepts a request of a caller.
func (g *gateway) receive(req *request) {
	if g.admission == nil {
		g.send(req)
		return
	}
	g.waiting[uint64(req.number)] = req
	g.recordRefusals(g.admission.Offer(g.world.now, admission.Request{
		ID: uint64(req.number), Tenant: req.tenant, Class: req.tenant + "/" + req.kind, Weight: req.weight, Worth: req.worth,
		PromptTokens: req.promptTokens, OutputTokens: req.outputTokens, Bytes: int64(4 * req.promptTokens),
		Deadline: req.deadline, MinimumTime: minimumTime(req),
	}))
	g.startAdmitted()
}

// minimumTime returns how long a request takes at an idle engine with an empty prefix cache.
func minimumTime(req *request) time.Duration {
	profile := enginemodel.DefaultProfile()
	return profile.PrefillTime(req.promptTokens) + time.Duration(req.outputTokens)*profile.StepBase
}

func (g *gateway) expireWaiting() {
	if g.admission == nil {
		return
	}
	g.recordRefusals(g.admission.Expire(g.world.now))
	g.startAdmitted()
}

func (g *gateway) recordRefusals(refusals []admission.Refusal) {
	for _, refusal := range refusals {
		g.world.results.addRefused(g.waiting[refusal.ID])
		delete(g.waiting, refusal.ID)
	}
}

func (g *gateway) startAdmitted() {
	for {
		next, found := g.admission.StartNext(g.world.now)
		if !found {
			g.recordRefusals(g.admission.DrainRefusals())
			return
		}
		req := g.waiting[next.ID]
		delete(g.waiting, next.ID)
		g.send(req)
	}
}

// send routes a request and submits it to the engine after the network latency.
func (g *gateway) send(req *request) {
	w := g.world
	chosen := g.chooser.choose(w.now, req, nil)
	if chosen.engine < 0 {
		g.finishAdmission(req, admission.Result{Failed: true})
		w.results.addRefused(req)
		return
	}
	current := &exchange{request: req, gateway: g, engine: chosen.engine, exchangeID: strconv.Itoa(req.number), startedAt: w.now}
	g.chooser.observe(w.now, routing.Dispatch{
		BackEnd: engineName(chosen.engine), Exchange: current.exchangeID, PromptTokens: req.promptTokens - chosen.cachedTokens,
		PrefixBlocks: req.routingBlocks, CachedAtHome: chosen.isCachedAtHome,
	})
	w.agenda.Schedule(w.now+w.latency(g, chosen.engine), func() { g.submit(current) })
}

func (g *gateway) submit(current *exchange) {
	w := g.world
	err := w.engines[current.engine].Submit(w.now, enginemodel.Request{
		ID: current.exchangeID, PromptTokens: current.promptTokens, OutputTokens: current.outputTokens, PrefixBlocks: current.engineBlocks,
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
	current.firstTokenAt = event.At
	current.cachedTokens = event.CachedTokens
	g.world.results.addCached(current.request, event.CachedTokens)
	if g.admission != nil {
		idlePrefill := enginemodel.DefaultProfile().PrefillTime(current.promptTokens)
		g.admission.RecordFirstToken(g.world.now, uint64(current.number), max(g.world.now-current.startedAt-idlePrefill, 0))
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
		PromptTokens: current.promptTokens, OutputTokens: current.outputTokens,
	})
	if g.admission != nil {
		g.startAdmitted()
	}
}

func (g *gateway) finishAdmission(req *request, result admission.Result) {
	if g.admission != nil {
		g.admission.Finish(g.world.now, uint64(req.number), result)
	}
}

// observeHeaders passes the load in the response headers to the chooser.
func (g *gateway) observeHeaders(current *exchange) {
	load := loadOf(g.world.engines[current.engine])
	g.chooser.observe(g.world.now, routing.AnswerHeaders{BackEnd: engineName(current.engine), Incarnation: 1, Load: &load})
}

func (g *gateway) observeCompletion(current *exchange) {
	g.chooser.observe(g.world.now, routing.Completion{
		BackEnd: engineName(current.engine), Exchange: current.exchangeID, PromptTokens: current.promptTokens, CachedTokens: current.cachedTokens,
	})
}
