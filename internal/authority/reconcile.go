package authority

import (
	"fmt"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/engineroles"
)

// checkEnd compares the outstanding order with the state reported by the engine and returns how the
// order ended, or nil while it has not ended. The engine must have confirmed the fence of this leader's epoch.
func (c *Commander) checkEnd(now time.Duration, engine *engine, order *v1.Order) *v1.FinishOrder {
	fence, state := fenceOf(order), engine.state
	switch {
	case state.OrderFence == fence:
		return c.endFromPhase(engine, order)
	case order.AbortSequence != 0 && state.OrderFence == abortFence(c.epoch, order) && !isCarryingOutOrder(state):
		if isFulfilled(order, state) {
			return finishOrder(engine, order, v1.OrderOutcome_ORDER_OUTCOME_DONE, "done before the abort arrived")
		}
		return finishOrder(engine, order, v1.OrderOutcome_ORDER_OUTCOME_ABORTED, order.AbortReason)
	case engine.refusedFence == fence && order.Epoch == c.epoch:
		return finishOrder(engine, order, v1.OrderOutcome_ORDER_OUTCOME_REFUSED, string(engine.refusal))
	case order.Epoch < c.epoch && !isCarryingOutOrder(state):
		// The raised fence makes the engine reject any late copy of the order.
		if isFulfilled(order, state) && order.Action != v1.OrderAction_ORDER_ACTION_RESUME {
			return finishOrder(engine, order, v1.OrderOutcome_ORDER_OUTCOME_DONE, "found done by a new leader")
		}
		return finishOrder(engine, order, v1.OrderOutcome_ORDER_OUTCOME_ABORTED, "it never reached the engine, and a newer fence keeps it out")
	case fence.Less(state.HighestFence) && order.AbortSequence == 0 && !isCarryingOutOrder(state):
		return finishOrder(engine, order, v1.OrderOutcome_ORDER_OUTCOME_REFUSED, "the engine holds a higher fence")
	default:
		return nil
	}
}

// endFromPhase derives the end of an order from the phase that the engine reports for it.
func (c *Commander) endFromPhase(engine *engine, order *v1.Order) *v1.FinishOrder {
	switch engine.state.OrderPhase {
	case enginecontract.PhaseDone:
		return finishOrder(engine, order, v1.OrderOutcome_ORDER_OUTCOME_DONE, "")
	case enginecontract.PhaseAborted:
		detail := "the engine aborted it: the drain took too long, or the engine restarted"
		if order.AbortSequence != 0 {
			detail = order.AbortReason
		} else if engine.state.Incarnation != order.EngineIncarnation {
			return finishOrder(engine, order, v1.OrderOutcome_ORDER_OUTCOME_ENGINE_LOST, "the engine restarted in the middle of it")
		}
		return finishOrder(engine, order, v1.OrderOutcome_ORDER_OUTCOME_ABORTED, detail)
	case enginecontract.PhaseNone:
		return finishOrder(engine, order, v1.OrderOutcome_ORDER_OUTCOME_ENGINE_LOST, "the engine restarted in the middle of it")
	default:
		return nil
	}
}

func finishOrder(engine *engine, order *v1.Order, outcome v1.OrderOutcome, detail string) *v1.FinishOrder {
	return &v1.FinishOrder{
		Engine: order.Engine, Epoch: order.Epoch, Sequence: order.Sequence, Outcome: outcome, Detail: detail,
		Observed: recordedState(engine.address, engine.state),
	}
}

// isFulfilled reports whether the engine is in the state that the order requests.
func isFulfilled(order *v1.Order, state enginecontract.EngineState) bool {
	switch order.Action {
	case v1.OrderAction_ORDER_ACTION_SET_ROLE:
		return engineroles.FromContract(state.Role) == order.Role
	case v1.OrderAction_ORDER_ACTION_LOAD_MODEL:
		return state.Model == order.Model && state.Version == order.Version
	case v1.OrderAction_ORDER_ACTION_LOAD_ADAPTER:
		version, hasVersion := state.AdapterVersions[order.Adapter]
		return slices.Contains(state.Adapters, order.Adapter) && (!hasVersion || version == order.Version)
	case v1.OrderAction_ORDER_ACTION_UNLOAD_ADAPTER:
		return !slices.Contains(state.Adapters, order.Adapter)
	case v1.OrderAction_ORDER_ACTION_DRAIN:
		return state.State == enginecontract.StateDraining
	case v1.OrderAction_ORDER_ACTION_RESUME:
		return state.State == enginecontract.StateServing
	default:
		return false
	}
}

// listedTimeoutFactor is the factor by which the timeout of an order to an engine that no longer answers is extended
// while the platform's list contains the engine.
const listedTimeoutFactor = 4

// expireSilent ends the outstanding order of an engine that has not answered within the timeout. If the engine
// returns and still carries out that order, it gets no other order until it has finished.
func (c *Commander) expireSilent(now time.Duration, engine *engine, record *v1.EngineRecord) []Action {
	order := record.GetOutstanding()
	timeout := c.config.LostAfter
	if engine.listed {
		timeout *= listedTimeoutFactor // the list may be out of date, but the engine may also return
	}
	if order == nil || now-max(engine.stateAt, c.termStartedAt) < timeout {
		return nil
	}
	return c.proposeOnce(now, engine, &v1.Command{Body: &v1.Command_FinishOrder{FinishOrder: &v1.FinishOrder{
		Engine: order.Engine, Epoch: order.Epoch, Sequence: order.Sequence,
		Outcome: v1.OrderOutcome_ORDER_OUTCOME_ENGINE_LOST,
		Detail:  fmt.Sprintf("the engine has not answered for %v", timeout),
	}}})
}

// sendOrder sends the outstanding order, or its abort, with at most one copy in flight.
func (c *Commander) sendOrder(now time.Duration, engine *engine, order *v1.Order) []Action {
	message := contractOrder(order)
	if order.AbortSequence != 0 {
		message = enginecontract.Order{Fence: abortFence(c.epoch, order), Action: enginecontract.ActionAbort}
	} else if order.Epoch != c.epoch || engine.state.OrderFence == message.Fence {
		return nil // an order of an earlier leader is only observed; a received one is not resent
	}
	if engine.address == "" || engine.orderInFlight == message.Fence || now < engine.nextOrderAt {
		return nil
	}
	engine.orderInFlight = message.Fence
	engine.nextOrderAt = now + c.config.ResendInterval
	return []Action{SendOrder{Engine: engine.name, Address: engine.address, Order: message}}
}

// abortFence returns the fence of the request to abort an order, which is above the order's fence.
func abortFence(epoch uint64, order *v1.Order) enginecontract.Fence {
	return enginecontract.Fence{Epoch: epoch, Sequence: order.AbortSequence}
}
