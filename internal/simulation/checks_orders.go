package simulation

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// engineFence is one fence at one engine.
type engineFence struct {
	engine string
	fence  enginecontract.Fence
}

// orderChecks watch the engines' orders.
type orderChecks struct {
	checks *checks
	// issued are the orders that were committed.
	issued map[engineFence]bool
	// held are the orders that engines have accepted.
	held map[engineFence]enginecontract.Order
	// epochs are the highest epochs that engines have answered.
	epochs map[string]uint64
	// accepted counts the orders that took effect.
	accepted int
}

func newOrderChecks(c *checks) orderChecks {
	return orderChecks{checks: c, issued: map[engineFence]bool{}, held: map[engineFence]enginecontract.Order{}, epochs: map[string]uint64{}}
}

// committed takes note of a committed command.
func (o *orderChecks) committed(index uint64, command *v1.Command) {
	if issue := command.GetIssueOrder(); issue != nil {
		fence := enginecontract.Fence{Epoch: issue.GetOrder().GetEpoch(), Sequence: index}
		o.issued[engineFence{issue.GetOrder().GetEngine(), fence}] = true
	}
}

// orderSent checks that an order is committed before it leaves.
func (c *checks) orderSent(from *controller, order enginecontract.Order, engine string) {
	if order.Action != enginecontract.ActionAbort && !c.orders.issued[engineFence{engine, order.Fence}] {
		c.fail("committed before sent", "%s sends order %v to %s, which is not committed", from.name, order.Fence, engine)
	}
}

// orderTaken checks what an engine did with an order.
func (c *checks) orderTaken(e *engine, order enginecontract.Order, before enginecontract.EngineState, answer enginecontract.OrderAnswer) {
	if !answer.Accepted || order.Fence == before.OrderFence {
		return
	}
	c.orders.accepted++
	at := engineFence{e.name, order.Fence}
	if held, known := c.orders.held[at]; known && held != order {
		c.fail("no conflicting orders", "%s accepts two orders with fence %v", e.name, order.Fence)
	}
	c.orders.held[at] = order
	underWay := before.OrderPhase == enginecontract.PhaseDraining || before.OrderPhase == enginecontract.PhaseChanging
	if underWay && order.Action != enginecontract.ActionAbort {
		c.fail("no conflicting orders", "%s accepts order %v while %v is %s", e.name, order.Fence, before.OrderFence, before.OrderPhase)
	}
	if highest := c.orders.epochs[e.name]; order.Fence.Epoch < highest {
		c.fail("no order of the deposed", "%s accepts order %v after epoch %d had answered it", e.name, order.Fence, highest)
	}
	if order.ExpectedRole != "" && order.ExpectedRole != before.Role {
		c.fail("expected state", "%s accepts order %v for role %s in role %s", e.name, order.Fence, order.ExpectedRole, before.Role)
	}
	c.orders.epochs[e.name] = max(c.orders.epochs[e.name], order.Fence.Epoch)
}

// fenceTaken takes note of a fence that an engine has accepted.
func (c *checks) fenceTaken(e *engine, fence enginecontract.Fence, answer enginecontract.OrderAnswer) {
	if answer.Accepted {
		c.orders.epochs[e.name] = max(c.orders.epochs[e.name], fence.Epoch)
	}
}
