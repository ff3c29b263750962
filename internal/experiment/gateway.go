package experiment

import (
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/admission"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/routing"
)

// Constants of the product's gateway on which the decisions depend.
const (
	maxAttempts               = 3
	fastestTokenInterval      = 5 * time.Millisecond
	slowPromptTokensPerSecond = 8_000
	estimatorPairs            = 4096
)

// Reasons of refusals, besides those of admission.
const (
	reasonNoBackEnd = "no back end takes the request"
)

// gateway is the gateway of one zone: the product's admission, routing, estimates and demand
// report, connected as in the gateway process.
type gateway struct {
	world     *world
	zone      string
	identity  *v1.NodeIdentity
	router    *routing.Router
	estimator *admission.Estimator
	state     *gatewaystate.State
	services  map[string]*admission.Core
	waiting   map[uint64]*request
}

func newGateway(w *world, zone int) (*gateway, error) {
	name := w.scenario.Zones[zone].Name
	created := &gateway{
		world: w, zone: name, identity: &v1.NodeIdentity{Name: "gateway-" + name, Zone: name},
		services: map[string]*admission.Core{}, waiting: map[uint64]*request{},
	}
	created.state = gatewaystate.New(gatewaystate.Config{Identity: created.identity})
	var err error
	if created.estimator, err = admission.NewEstimator(estimatorPairs); err != nil {
		return nil, trace.Wrap(err)
	}
	created.router, err = routing.New(routing.Config{
		Zone: name, OtherZoneLatency: max(w.scenario.Latency.BetweenZones, 1), Seed: w.options.Seed + uint64(zone),
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, service := range w.scenario.Services {
		if created.services[service.Name], err = admission.New(admission.Config{}); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return created, nil
}

// syncDirectory updates the router from the directory that the controllers publish.
func (g *gateway) syncDirectory() {
	directory := make([]routing.BackEnd, 0, len(g.world.engines))
	for _, engine := range g.world.engines {
		row := routing.BackEnd{
			Name: engine.declared.Name, Service: engine.declared.Service, Zone: engine.declared.Zone,
			Incarnation: engine.incarnation, State: engine.state, Role: engine.role, ConfirmedAt: g.world.now,
		}
		if !engine.isUp || engine.paused {
			continue // the engine is not confirmed, so the directory omits it
		}
		if reading, found := engine.visibleReading(); found {
			row.Load, row.LoadAt, row.HasLoad = reading.routingLoad(), reading.at, true
		}
		directory = append(directory, row)
	}
	g.router.SetBackEnds(directory)
	g.router.Confirm(g.world.now)
}

// sendReport sends the controller the demand of the window that ends now.
func (g *gateway) sendReport() {
	g.world.control.receiveReport(g.identity, g.state.ReportRequest(g.world.now, nil))
}

// receiveRequest estimates a caller's request and offers it to admission.
func (g *gateway) receiveRequest(req *request) {
	g.world.recorder.recordArrival(req)
	estimate := g.estimator.Estimate(g.requestShape(req))
	req.estimatedPrompt, req.estimatedOutput = estimate.PromptTokens, estimate.OutputTokens
	g.waiting[uint64(req.Number)] = req
	service := g.services[req.kind.Service]
	g.refuse(service.Offer(g.world.now, admission.Request{
		ID: uint64(req.Number), Tenant: req.tenant, Class: req.kind.Name, Priority: int32(req.kind.Priority), Weight: 1, Worth: req.kind.Worth,
		PromptTokens: estimate.PromptTokens, OutputTokens: estimate.OutputTokens,
		Bytes: int64(req.PromptTokens * bytesPerToken), Deadline: req.deadline,
		MinimumTime: time.Duration(estimate.OutputTokens) * fastestTokenInterval,
	}))
	g.startAdmitted(service)
}

func (g *gateway) requestShape(req *request) admission.RequestShape {
	declared := g.world.declared[req.Kind]
	return admission.RequestShape{
		Tenant: req.tenant, Kind: req.kind.Name, PromptBytes: req.PromptTokens * bytesPerToken,
		DeclaredTokens: admission.DeclaredTokens{PromptTokens: declared.prompt, OutputTokens: declared.output},
	}
}

// expireWaiting refuses requests that have waited too long.
func (g *gateway) expireWaiting() {
	for _, name := range slices.Sorted(maps.Keys(g.services)) {
		g.refuse(g.services[name].Expire(g.world.now))
		g.startAdmitted(g.services[name])
	}
}

func (g *gateway) refuse(refusals []admission.Refusal) {
	for _, refusal := range refusals {
		req := g.waiting[refusal.ID]
		delete(g.waiting, refusal.ID)
		g.recordOutcome(req, gatewaystate.Outcome{Refused: true})
		g.world.recorder.recordRefusal(req, refusal.Reason.Error())
	}
}

// recordOutcome counts a request that ended with the given outcome in the demand report.
func (g *gateway) recordOutcome(req *request, outcome gatewaystate.Outcome) {
	outcome.Service, outcome.Kind = req.kind.Service, req.kind.Name
	outcome.PromptTokens = uint64(req.estimatedPrompt)
	if outcome.Completed {
		outcome.OutputTokens = uint64(req.OutputTokens)
	}
	g.state.RecordOutcome(outcome)
}

func (g *gateway) startAdmitted(service *admission.Core) {
	for {
		next, found := service.StartNext(g.world.now)
		if !found {
			g.refuse(service.DrainRefusals())
			return
		}
		req := g.waiting[next.ID]
		delete(g.waiting, next.ID)
		req.startedAt = g.world.now
		if req.deadline > 0 {
			g.world.agenda.Schedule(req.deadline, func() { g.deadlinePassed(req) })
		}
		g.startAttempt(req)
	}
}

// waitingCount returns the number of requests in the gateway's queues.
func (g *gateway) waitingCount() int { return len(g.waiting) }
