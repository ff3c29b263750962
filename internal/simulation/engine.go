package simulation

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine/orders"
)

// Times of an engine.
const (
	roleChangeTime  = 4 * time.Second
	weightLoadTime  = 6 * time.Second
	adapterLoadTime = time.Second
	longestWork     = 4 * time.Second
	shortestWork    = 200 * time.Millisecond
)

// engine is one model engine: the stand-in's order machine and requests in flight.
type engine struct {
	host
	service     string
	zone        string
	incarnation uint64
	machine     *orders.Machine
	// durable is what the engine has written before it answered.
	durable  orders.Durable
	inFlight int
	leaving  bool
	// leftAt is when the platform began to take the machine away.
	leftAt time.Duration
	gone   bool
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
	if e.leaving {
		e.machine.StartLeaving()
	}
	e.keep()
	e.world.trace.add(e.world.now, e.name, "starts, incarnation %d", e.incarnation)
}

// keep writes what must survive and arranges the machine's next event.
func (e *engine) keep() {
	e.durable = e.machine.Durable()
	e.world.checks.engineChanged(e)
	if at, some := e.machine.NextEvent(); some {
		e.after(at-e.world.now, e.advance)
	}
}

// advance lets the machine take notice of the time.
func (e *engine) advance() {
	before := e.machine.Durable().Phase
	e.machine.Advance(e.world.now, e.inFlight)
	if after := e.machine.Durable().Phase; after != before {
		e.world.trace.add(e.world.now, e.name, "order %v is %s, role %s", e.durable.Order.Fence, after, e.machine.Role())
		e.keep()
	}
}

// order takes an order.
func (e *engine) order(order enginecontract.Order) enginecontract.OrderAnswer {
	before := e.machine.State(e.inFlight)
	answer := e.machine.Submit(e.world.now, order, e.inFlight)
	e.world.trace.add(e.world.now, e.name, "gets %s %v role %s: accepted %t %s, phase %s",
		order.Action, order.Fence, order.Role, answer.Accepted, answer.Refusal, answer.State.OrderPhase)
	e.world.checks.orderTaken(e, order, before, answer)
	e.keep()
	return answer
}

// fence raises the engine's fence.
func (e *engine) fence(fence enginecontract.Fence) enginecontract.OrderAnswer {
	answer := e.machine.RaiseFence(e.world.now, fence, e.inFlight)
	e.world.trace.add(e.world.now, e.name, "fence %v: accepted %t", fence, answer.Accepted)
	e.world.checks.fenceTaken(e, fence, answer)
	e.keep()
	return answer
}

// state is the engine's own word, which never lags.
func (e *engine) state() *enginecontract.EngineState {
	e.machine.Advance(e.world.now, e.inFlight)
	e.keep()
	state := e.machine.State(e.inFlight)
	return &state
}

// load is the engine's load report.
func (e *engine) load() *enginecontract.LoadReport {
	return &enginecontract.LoadReport{
		Engine: e.name, Incarnation: e.incarnation, State: e.machine.ServiceState(), Role: e.machine.Role(),
		AgeMs: int64(e.world.random.IntN(3000)), Running: e.inFlight,
	}
}

// work takes one request and reports the engine's state with the answer.
func (e *engine) work() (accepted bool, state enginecontract.ServiceState) {
	e.advance()
	state = e.machine.ServiceState()
	if state != enginecontract.StateServing {
		return false, state
	}
	e.inFlight++
	e.after(shortestWork+e.world.duration(longestWork), func() {
		e.inFlight--
		e.advance()
	})
	return true, state
}

// underWay reports whether the engine carries out an order.
func (e *engine) underWay() bool {
	return e.durable.Phase == enginecontract.PhaseDraining || e.durable.Phase == enginecontract.PhaseChanging
}

// leave begins the machine's removal.
func (e *engine) leave() {
	e.leaving = true
	e.leftAt = e.world.now
	e.machine.StartLeaving()
	e.keep()
	e.world.trace.add(e.world.now, e.name, "is leaving")
}
