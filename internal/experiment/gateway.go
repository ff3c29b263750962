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

// Figures of the product's gateway that the decisions depend on.
const (
	maximumExchanges          = 3
	fastestTokenInterval      = 5 * time.Millisecond
	slowPromptTokensPerSecond = 8_000
	estimatorPairs            = 4096
)

// Reasons of refusals beyond admission's.
const (
	reasonNoBackEnd = "no back end takes the request"
)

// gateway is the gateway of one zone: the product's admission, routing, estimates and
// demand report, joined as the gateway process joins them.
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
	made := &gateway{
		world: w, zone: name, identity: &v1.NodeIdentity{Name: "gateway-" + name, Zone: name},
		services: map[string]*admission.Core{}, waiting: map[uint64]*request{},
	}
	made.state = gatewaystate.New(gatewaystate.Config{Identity: made.identity})
	var err error
	if made.estimator, err = admission.NewEstimator(estimatorPairs); err != nil {
		return nil, trace.Wrap(err)
	}
	made.router, err = routing.New(routing.Config{
		Zone: name, OtherZoneLatency: max(w.scenario.Latency.BetweenZones, 1), Seed: w.options.Seed + uint64(zone),
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, service := range w.scenario.Services {
		if made.services[service.Name], err = admission.New(admission.Config{}); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return made, nil
}

// sync takes over the directory that the controllers pass on.
func (g *gateway) sync() {
	directory := make([]routing.BackEnd, 0, len(g.world.engines))
	for _, engine := range g.world.engines {
		row := routing.BackEnd{
			Name: engine.declared.Name, Service: engine.declared.Service, Zone: engine.declared.Zone,
			Incarnation: engine.incarnation, State: engine.state, Role: engine.role, ConfirmedAt: g.world.now,
		}
		if !engine.up || engine.paused {
			continue // nobody has confirmed it: the directory drops it
		}
		if seen, found := engine.reported(); found {
			row.Load, row.LoadAt, row.HasLoad = seen.routingLoad(), seen.at, true
		}
		directory = append(directory, row)
	}
	g.router.SetBackEnds(directory)
	g.router.Confirm(g.world.now)
}

// report tells the controller the demand of the window that ends now.
func (g *gateway) report() { g.world.control.take(g.identity, g.state.ReportRequest(g.world.now, nil)) }

// receive takes in a request of a caller.
func (g *gateway) receive(asked *request) {
	g.world.recorder.arrived(asked)
	estimate := g.estimator.Estimate(g.shape(asked))
	asked.estimatedPrompt, asked.estimatedOutput = estimate.PromptTokens, estimate.OutputTokens
	g.waiting[uint64(asked.Number)] = asked
	service := g.services[asked.kind.Service]
	g.refuse(service.Offer(g.world.now, admission.Request{
		ID: uint64(asked.Number), Tenant: asked.tenant, Class: asked.kind.Name, Priority: int32(asked.kind.Priority), Weight: 1, Worth: asked.kind.Worth,
		PromptTokens: estimate.PromptTokens, OutputTokens: estimate.OutputTokens,
		Bytes: int64(asked.PromptTokens * bytesPerToken), Deadline: asked.deadline,
		MinimumTime: time.Duration(estimate.OutputTokens) * fastestTokenInterval,
	}))
	g.start(service)
}

func (g *gateway) shape(asked *request) admission.RequestShape {
	declared := g.world.declared[asked.Kind]
	return admission.RequestShape{
		Tenant: asked.tenant, Kind: asked.kind.Name, PromptBytes: asked.PromptTokens * bytesPerToken,
		DeclaredTokens: admission.DeclaredTokens{PromptTokens: declared.prompt, OutputTokens: declared.output},
	}
}

// expire gives up on requests that wait too long.
func (g *gateway) expire() {
	for _, name := range slices.Sorted(maps.Keys(g.services)) {
		g.refuse(g.services[name].Expire(g.world.now))
		g.start(g.services[name])
	}
}

func (g *gateway) refuse(refusals []admission.Refusal) {
	for _, refusal := range refusals {
		asked := g.waiting[refusal.ID]
		delete(g.waiting, refusal.ID)
		g.record(asked, gatewaystate.Outcome{Refused: true})
		g.world.recorder.refused(asked, refusal.Reason.Error())
	}
}

// record counts a finished request for the demand report.
func (g *gateway) record(asked *request, outcome gatewaystate.Outcome) {
	outcome.Service, outcome.Kind = asked.kind.Service, asked.kind.Name
	outcome.PromptTokens = uint64(asked.estimatedPrompt)
	if outcome.Completed {
		outcome.OutputTokens = uint64(asked.OutputTokens)
	}
	g.state.RecordOutcome(outcome)
}

func (g *gateway) start(service *admission.Core) {
	for {
		next, found := service.StartNext(g.world.now)
		if !found {
			g.refuse(service.DrainRefusals())
			return
		}
		asked := g.waiting[next.ID]
		delete(g.waiting, next.ID)
		asked.began = g.world.now
		if asked.deadline > 0 {
			g.world.agenda.Schedule(asked.deadline, func() { g.deadlinePassed(asked) })
		}
		g.begin(asked)
	}
}

// waitingCount is the number of requests in the gateway's queues.
func (g *gateway) waitingCount() int { return len(g.waiting) }
