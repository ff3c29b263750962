package simulation

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/gatewaystate"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// Intervals of a gateway.
const (
	syncInterval   = time.Second
	workInterval   = 250 * time.Millisecond
	claimInterval  = 800 * time.Millisecond
	controlTimeout = 900 * time.Millisecond
)

// gateway is one gateway: the product's view of the fleet and its router, with drawn requests.
type gateway struct {
	host
	zone        string
	incarnation uint64
	state       *gatewaystate.State
	router      *routing.Router
	// syncTarget is the index of the controller that receives the next Sync; leader is the address of the controller
	// that was last named as the leader, empty if unknown.
	syncTarget int
	leader     string
	// exchanges numbers the requests sent.
	exchanges int
	claims    *claimant
}

// start starts the process, which has no view of the fleet yet.
func (g *gateway) start() {
	g.boot()
	g.incarnation++
	identity := &v1.NodeIdentity{Name: g.name, Zone: g.zone, Address: g.name, Incarnation: g.incarnation}
	g.state = gatewaystate.New(gatewaystate.Config{Identity: identity, Safeguards: g.world.safeguards})
	router, err := routing.New(routing.Config{Zone: g.zone, Seed: g.world.random.Uint64(), Filters: g.filters()})
	if err != nil {
		g.world.checks.fail("gateway", "%s cannot start: %v", g.name, err)
		return
	}
	g.router = router
	g.syncTarget = g.world.random.IntN(len(g.world.controllers))
	g.claims = newClaimant(g)
	g.world.trace.add(g.world.now, g.name, "starts, incarnation %d", g.incarnation)
	g.sync()
	g.every(syncInterval, g.sync)
	g.every(syncInterval, g.report)
	g.every(workInterval, g.sendWork)
	g.every(claimInterval, g.claims.runNext)
}

// SafeguardConfirmation makes a gateway send new work only to recently confirmed back ends. It can be disabled in the
// simulator only.
const SafeguardConfirmation safeguard.Safeguard = "confirmation"

// filters returns the filters by which the router selects back ends; nil selects the router's standard filters.
func (g *gateway) filters() []routing.Filter {
	if g.world.safeguards.IsEnabled(SafeguardConfirmation) {
		return nil
	}
	return slices.DeleteFunc(routing.StandardFilters(), func(filter routing.Filter) bool {
		return errors.Is(filter.Reason(), routing.ErrNoneConfirmed)
	})
}

// controllerAnswer is the response of a controller to a call.
type controllerAnswer struct {
	response proto.Message
	err      error
}

// callController calls one controller: input makes the call's input to the controller's core. done gets the response;
// answered is false when the response was lost or late.
func (w *world) callController(from *host, target *controller, timeout time.Duration,
	input func(control.CallID) control.Input, done func(answer controllerAnswer, answered bool)) {
	call(w.network, from, &target.host, timeout, func(reply func(controllerAnswer)) {
		target.receive(input, func(response proto.Message, err error) {
			reply(controllerAnswer{response: response, err: err})
		})
	}, done)
}

// sync sends a heartbeat and applies the updates in the response.
func (g *gateway) sync() {
	sentAt := g.local()
	request := proto.CloneOf(g.state.SyncRequest(sentAt))
	target := g.world.controllers[g.syncTarget]
	g.world.callController(&g.host, target, controlTimeout,
		func(id control.CallID) control.Input { return control.SyncReceived{Call: id, Request: request} },
		func(answer controllerAnswer, answered bool) {
			response, ok := answer.response.(*v1.SyncResponse)
			if !answered || !ok || !g.applySync(sentAt, request, response) {
				g.syncTarget = (g.syncTarget + 1) % len(g.world.controllers)
			}
		})
}

// applySync applies a response and reports whether the controller is up to date, so that the next Sync may go to it.
func (g *gateway) applySync(sentAt time.Duration, request *v1.SyncRequest, response *v1.SyncResponse) bool {
	result := g.state.ApplySync(sentAt, g.local(), request, proto.CloneOf(response))
	g.leader = response.GetLeaderAddress()
	if result.DirectoryChanged {
		g.router.SetBackEnds(g.state.BackEnds())
	}
	if result.DirectoryConfirmed {
		g.router.Confirm(result.ConfirmedAt)
	}
	g.world.checks.checkGatewaySynced(g)
	return !result.Behind
}

// leaderOrAny returns the controller that was last named as the leader, or a drawn controller if none is known.
func (g *gateway) leaderOrAny() *controller {
	if leader := g.world.controllerAt(g.leader); leader != nil {
		return leader
	}
	return g.world.controllers[g.world.random.IntN(len(g.world.controllers))]
}

// report sends the demand of the gateway to the leader.
func (g *gateway) report() {
	request := proto.CloneOf(g.state.ReportRequest(g.local(), nil))
	g.world.callController(&g.host, g.leaderOrAny(), controlTimeout,
		func(id control.CallID) control.Input { return control.ReportReceived{Call: id, Request: request} },
		func(answer controllerAnswer, answered bool) {
			if _, ok := answer.response.(*v1.ReportResponse); answered && ok {
				return
			}
			g.state.RestoreReport(request)
			g.followLeader(answer.err)
		})
}

// followLeader sets the leader to the one that an error names, if any.
func (g *gateway) followLeader(err error) {
	var notLeader *control.NotLeaderError
	if errors.As(err, &notLeader) {
		g.leader = notLeader.Leader
	} else {
		g.leader = ""
	}
}

// workAnswer is the response of an engine to a request.
type workAnswer struct {
	accepted    bool
	state       enginecontract.ServiceState
	incarnation uint64
}

// sendWork sends one request to the engine that the router picks.
func (g *gateway) sendWork() {
	service := g.world.options.Deployment.Services[0].Name
	choice, err := g.router.Pick(g.local(), routing.Request{Service: service, PromptTokens: 100, OutputTokens: 20, WholeOnly: true}, nil)
	if err != nil {
		return
	}
	target := g.world.engineAt(choice.BackEnd.Address)
	if target == nil {
		return
	}
	g.exchanges++
	name, exchange := choice.BackEnd.Name, fmt.Sprint(g.exchanges)
	g.world.checks.checkWorkSent(g, target)
	g.router.Observe(g.local(), routing.Dispatch{BackEnd: name, Exchange: exchange, PromptTokens: 100})
	call(g.world.network, &g.host, &target.host, 2*time.Second,
		func(reply func(workAnswer)) {
			accepted, state := target.serve()
			reply(workAnswer{accepted: accepted, state: state, incarnation: target.incarnation})
		},
		func(answer workAnswer, answered bool) {
			if !answered {
				g.router.Observe(g.local(), routing.Failure{BackEnd: name, Exchange: exchange})
				return
			}
			g.router.Observe(g.local(), routing.AnswerHeaders{BackEnd: name, Exchange: exchange, Incarnation: answer.incarnation, State: answer.state})
			g.router.Observe(g.local(), routing.Completion{BackEnd: name, Exchange: exchange})
			g.state.RecordOutcome(gatewaystate.Outcome{Service: service, Kind: "matching", Completed: answer.accepted, Refused: !answer.accepted})
		})
}
