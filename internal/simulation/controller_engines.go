package simulation

import (
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// sendOrder sends an order to an engine.
func (c *controller) sendOrder(action control.SendOrder) {
	c.world.checks.checkOrderSent(c, action.Order, action.Engine)
	c.callEngine(action.Address, func(e *engine) enginecontract.OrderAnswer { return e.receiveOrder(action.Order) },
		func(answer *enginecontract.OrderAnswer) {
			c.step(control.OrderAnswered{Engine: action.Engine, Fence: action.Order.Fence, Answer: answer})
		})
}

// sendFence raises the fence at an engine.
func (c *controller) sendFence(action control.SendFence) {
	fence := enginecontract.Fence{Epoch: action.Epoch}
	c.callEngine(action.Address, func(e *engine) enginecontract.OrderAnswer { return e.receiveFence(fence) },
		func(answer *enginecontract.OrderAnswer) {
			c.step(control.FenceAnswered{Engine: action.Engine, Epoch: action.Epoch, Answer: answer})
		})
}

// callEngine makes a call to which an engine responds with an OrderAnswer; done receives nil when the response is
// lost.
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

// pollAnswer is the response of an engine to a poll.
type pollAnswer struct {
	state *enginecontract.EngineState
	load  *enginecontract.LoadReport
}

// pollEngine requests the state and load of an engine.
func (c *controller) pollEngine(action control.PollEngine) {
	target := c.world.engineAt(action.Address)
	if target == nil {
		c.after(engineCallTimeout, func() { c.step(control.EngineStateReceived{Engine: action.Engine}) })
		return
	}
	call(c.world.network, &c.host, &target.host, engineCallTimeout,
		func(reply func(pollAnswer)) { reply(pollAnswer{state: target.state(), load: target.load()}) },
		func(answer pollAnswer, _ bool) {
			c.step(control.EngineStateReceived{Engine: action.Engine, State: answer.state, Load: answer.load})
		})
}
