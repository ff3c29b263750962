package simulation

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// engineFence identifies an order by its engine and its fence.
type engineFence struct {
	engine string
	fence  enginecontract.Fence
}

// orderChecks verify the orders to engines.
type orderChecks struct {
	checks *checks
	// issued holds the committed orders; unended holds, by engine, the committed order that has not ended yet.
	issued  map[engineFence]bool
	unended map[string]enginecontract.Fence
	// overlapping maps each order that was committed before an earlier order to the same engine had ended to that
	// earlier order; such an order must not be sent. ended holds the outcomes of ended orders.
	overlapping map[engineFence]enginecontract.Fence
	ended       map[engineFence]v1.OrderOutcome
	// acceptedOrders holds the orders that engines have accepted.
	acceptedOrders map[engineFence]enginecontract.Order
	// epochs holds the highest epoch that each engine has accepted.
	epochs map[string]uint64
	// acceptedCount counts the orders that engines accepted, without resends of an engine's current order.
	acceptedCount int
}

func newOrderChecks(c *checks) orderChecks {
	return orderChecks{
		checks: c, issued: map[engineFence]bool{}, unended: map[string]enginecontract.Fence{},
		overlapping: map[engineFence]enginecontract.Fence{}, ended: map[engineFence]v1.OrderOutcome{},
		acceptedOrders: map[engineFence]enginecontract.Order{}, epochs: map[string]uint64{},
	}
}

// recordCommitted records a committed command.
func (o *orderChecks) recordCommitted(index uint64, command *v1.Command) {
	if issue := command.GetIssueOrder(); issue != nil {
		o.recordIssued(issue.GetOrder().GetEngine(), enginecontract.Fence{Epoch: issue.GetOrder().GetEpoch(), Sequence: index})
	}
	if finish := command.GetFinishOrder(); finish != nil {
		o.recordFinished(finish.GetEngine(), enginecontract.Fence{Epoch: finish.GetEpoch(), Sequence: finish.GetSequence()}, finish.GetOutcome())
	}
}

// recordIssued records a committed order.
func (o *orderChecks) recordIssued(engine string, fence enginecontract.Fence) {
	o.issued[engineFence{engine, fence}] = true
	if before, hasUnended := o.unended[engine]; hasUnended {
		o.overlapping[engineFence{engine, fence}] = before
		return
	}
	o.unended[engine] = fence
}

// recordFinished records the committed end of an order.
func (o *orderChecks) recordFinished(engine string, fence enginecontract.Fence, outcome v1.OrderOutcome) {
	if o.unended[engine] != fence {
		return
	}
	delete(o.unended, engine)
	o.ended[engineFence{engine, fence}] = outcome
}

// checkOrderSent checks an order that a controller sends to an engine. Unless the order is an abort, it must be committed
// before it is sent. When the order was committed, every earlier order to the engine must have ended.
func (c *checks) checkOrderSent(from *controller, order enginecontract.Order, engine string) {
	if order.Action != enginecontract.ActionAbort && !c.orders.issued[engineFence{engine, order.Fence}] {
		c.fail("committed before sent", "%s sends order %v to %s, which is not committed", from.name, order.Fence, engine)
	}
	if before, overlaps := c.orders.overlapping[engineFence{engine, order.Fence}]; overlaps {
		c.fail("one order at a time", "%s sends order %v to %s, issued before %v had ended", from.name, order.Fence, engine, before)
	}
}

// checkOrderAnswered checks an engine's response to an order.
func (c *checks) checkOrderAnswered(e *engine, order enginecontract.Order, before enginecontract.EngineState, answer enginecontract.OrderAnswer) {
	if !answer.Accepted || order.Fence == before.OrderFence {
		return
	}
	c.orders.acceptedCount++
	at := engineFence{e.name, order.Fence}
	if earlier, known := c.orders.acceptedOrders[at]; known && earlier != order {
		c.fail("no conflicting orders", "%s accepts two orders with fence %v", e.name, order.Fence)
	}
	c.orders.acceptedOrders[at] = order
	isUnderWay := before.OrderPhase == enginecontract.PhaseDraining || before.OrderPhase == enginecontract.PhaseChanging
	if isUnderWay && order.Action != enginecontract.ActionAbort {
		c.fail("no conflicting orders", "%s accepts order %v while %v is %s", e.name, order.Fence, before.OrderFence, before.OrderPhase)
	}
	if highest := c.orders.epochs[e.name]; order.Fence.Epoch < highest {
		c.fail("no order of the deposed", "%s accepts order %v after it accepted epoch %d", e.name, order.Fence, highest)
	}
	if order.ExpectedRole != "" && order.ExpectedRole != before.Role {
		c.fail("expected state", "%s accepts order %v for role %s in role %s", e.name, order.Fence, order.ExpectedRole, before.Role)
	}
	switch outcome := c.orders.ended[at]; outcome {
	case v1.OrderOutcome_ORDER_OUTCOME_ABORTED, v1.OrderOutcome_ORDER_OUTCOME_REFUSED:
		c.fail("ended orders stay ended", "%s accepts order %v, which the log has ended as %s", e.name, order.Fence, outcome)
	}
	c.orders.epochs[e.name] = max(c.orders.epochs[e.name], order.Fence.Epoch)
	c.checkOutOfService(e, order)
}

// maximumOutOfService is the bound on engines of a service that are out of service by orders at once. It is the
// product's default, because the simulated fleet declares no bound.
const maximumOutOfService = 1

// checkOutOfService checks the bound on engines out of service. Engines whose orders have ended as lost do not count,
// because their state is unknown.
func (c *checks) checkOutOfService(e *engine, order enginecontract.Order) {
	out := 0
	for _, other := range c.world.engines {
		isLost := c.orders.ended[engineFence{other.name, other.durable.Order.Fence}] == v1.OrderOutcome_ORDER_OUTCOME_ENGINE_LOST
		if other.service == e.service && (other == e || other.hasOrderUnderWay()) && !isLost {
			out++
		}
	}
	if out > maximumOutOfService && order.Action == enginecontract.ActionSetRole {
		c.fail("bounded engines out", "%s takes order %v as number %d out of its service", e.name, order.Fence, out)
	}
}

// recordFence records a fence that an engine has accepted.
func (c *checks) recordFence(e *engine, fence enginecontract.Fence, answer enginecontract.OrderAnswer) {
	if answer.Accepted {
		c.orders.epochs[e.name] = max(c.orders.epochs[e.name], fence.Epoch)
	}
}
