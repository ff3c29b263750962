package simulation

import (
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// sendOrder sends an order to an engine.
func (c *controller) sendOrder(wanted control.SendOrder) {
	c.world.checks.orderSent(c, wanted.Order, wanted.Engine)
	c.callEngine(wanted.Address, func(e *engine) enginecontract.OrderAnswer { return e.order(wanted.Order) },
		func(answer *enginecontract.OrderAnswer) {
			c.step(control.OrderAnswered{Engine: wanted.Engine, Fence: wanted.Order.Fence, Answer: answer})
		})
}

// sendFence raises the fence at an engine.
func (c *controller) sendFence(wanted control.SendFence) {
	fence := enginecontract.Fence{Epoch: wanted.Epoch}
	c.callEngine(wanted.Address, func(e *engine) enginecontract.OrderAnswer { return e.fence(fence) },
		func(answer *enginecontract.OrderAnswer) {
			c.step(control.FenceAnswered{Engine: wanted.Engine, Epoch: wanted.Epoch, Answer: answer})
		})
}

// callEngine makes a call that an engine answers with an OrderAnswer.
func (c *controller) callEngine(address string, handle func(*engine) enginecontract.OrderAnswer, done func(*enginecontract.OrderAnswer)) {
	target := c.world.engineAt(address)
	if target == nil {
		c.after(engineCallTimeout, func() { done(nil) })
		return
	}
	call(c.world.network, &c.host, &target.host, engineCallTimeout,
		func(reply func(enginecontract.OrderAnswer)) { reply(handle(target)) },
		func(answer enginecontract.OrderAnswer, answered bool) {
			if answered {
				done(&answer)
			} else {
				done(nil)
			}
		})
}

// polled is what an engine answers to a poll.
type polled struct {
	state *enginecontract.EngineState
	load  *enginecontract.LoadReport
}

// pollEngine asks an engine for state and load.
func (c *controller) pollEngine(wanted control.PollEngine) {
	target := c.world.engineAt(wanted.Address)
	if target == nil {
		c.after(engineCallTimeout, func() { c.step(control.EngineStateReceived{Engine: wanted.Engine}) })
		return
	}
	call(c.world.network, &c.host, &target.host, engineCallTimeout,
		func(reply func(polled)) { reply(polled{state: target.state(), load: target.load()}) },
		func(answer polled, _ bool) {
			c.step(control.EngineStateReceived{Engine: wanted.Engine, State: answer.state, Load: answer.load})
		})
}
