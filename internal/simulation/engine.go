package simulation

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine/orders"
)

// Durations of engine operations.
const (
	roleChangeTime  = 4 * time.Second
	weightLoadTime  = 6 * time.Second
	adapterLoadTime = time.Second
	longestWork     = 4 * time.Second
	shortestWork    = 200 * time.Millisecond
)

// engine is one model engine: the order state machine of the stand-in, and a count of requests in flight.
type engine struct {
	host
	service     string
	zone        string
	incarnation uint64
	machine     *orders.Machine
	// durable is the state that the engine has written to disk before it responded.
	durable   orders.Durable
	inFlight  int
	isLeaving bool
	// leftAt is when the platform began to remove the machine.
	leftAt time.Duration
	isGone bool
}

// start starts the engine's process.
func (e *engine) start() {
	e.boot()
	e.incarnation++
	e.inFlight = 0
	e.machine = orders.New(orders.Config{
		Engine: e.name, Service: e.service, Zone: e.zone, Incarnation: e.incarnation,
		RoleChange: roleChangeTime, WeightLoad: weightLoadTime, AdapterLoad: adapterLoadTime,
		Safeguards: e.world.safeguards,
	}, e.durable)
	if e.isLeaving {
		e.machine.StartLeaving()
	}
	e.saveAndSchedule()
	e.world.trace.add(e.world.now, e.name, "starts, incarnation %d", e.incarnation)
}

// saveAndSchedule saves the durable state and schedules the state machine's next event.
func (e *engine) saveAndSchedule() {
	e.durable = e.machine.Durable()
	e.world.checks.checkEngineChange(e)
	if at, hasEvent := e.machine.NextEvent(); hasEvent {
		e.after(at-e.world.now, e.advance)
	}
}

// advance advances the state machine to the current time.
func (e *engine) advance() {
	before := e.machine.Durable().Phase
	e.machine.Advance(e.world.now, e.inFlight)
	if after := e.machine.Durable().Phase; after != before {
		e.world.trace.add(e.world.now, e.name, "order %v is %s, role %s", e.durable.Order.Fence, after, e.machine.Role())
		e.saveAndSchedule()
	}
}

// receiveOrder passes an order to the state machine and returns its response.
func (e *engine) receiveOrder(order enginecontract.Order) enginecontract.OrderAnswer {
	before := e.machine.State(e.inFlight)
	answer := e.machine.Submit(e.world.now, order, e.inFlight)
	e.world.trace.add(e.world.now, e.name, "gets %s %v role %s: accepted %t %s, phase %s",
		order.Action, order.Fence, order.Role, answer.Accepted, answer.Refusal, answer.State.OrderPhase)
	e.world.checks.checkOrderAnswered(e, order, before, answer)
	e.saveAndSchedule()
	return answer
}

// receiveFence raises the engine's fence.
func (e *engine) receiveFence(fence enginecontract.Fence) enginecontract.OrderAnswer {
	answer := e.machine.RaiseFence(e.world.now, fence, e.inFlight)
	e.world.trace.add(e.world.now, e.name, "fence %v: accepted %t", fence, answer.Accepted)
	e.world.checks.recordFence(e, fence, answer)
	e.saveAndSchedule()
	return answer
}

// state returns the engine's state at the current time; unlike the machine list it has no delay.
func (e *engine) state() *enginecontract.EngineState {
	e.machine.Advance(e.world.now, e.inFlight)
	e.saveAndSchedule()
	state := e.machine.State(e.inFlight)
	return &state
}

// load returns a load report with a drawn age.
func (e *engine) load() *enginecontract.LoadReport {
	return &enginecontract.LoadReport{
		Engine: e.name, Incarnation: e.incarnation, State: e.machine.ServiceState(), Role: e.machine.Role(),
		AgeMs: int64(e.world.random.IntN(3000)), Running: e.inFlight,
	}
}

// serve accepts one request if the engine is serving, and returns the engine's state with the response.
func (e *engine) serve() (accepted bool, state enginecontract.ServiceState) {
	e.advance()
	state = e.machine.ServiceState()
	if state != enginecontract.StateServing {
		return false, state
	}
	e.inFlight++
	e.after(shortestWork+e.world.drawDuration(longestWork), func() {
		e.inFlight--
		e.advance()
	})
	return true, state
}

// hasOrderUnderWay reports whether the engine is executing an order.
func (e *engine) hasOrderUnderWay() bool {
	return e.durable.Phase == enginecontract.PhaseDraining || e.durable.Phase == enginecontract.PhaseChanging
}

// leave begins the removal of the machine.
func (e *engine) leave() {
	e.isLeaving = true
	e.leftAt = e.world.now
	e.machine.StartLeaving()
	e.saveAndSchedule()
	e.world.trace.add(e.world.now, e.name, "is leaving")
}
