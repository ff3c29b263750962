package authority

import (
	"fmt"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/engineroles"
)

// ended compares the outstanding order with the engine's own word and returns how
// the order ended, or nil while it has not. The engine holds this epoch's fence.
func (c *Commander) ended(now time.Duration, engine *engine, order *v1.Order) *v1.FinishOrder {
	fence, state := fenceOf(order), engine.last
	switch {
	case state.OrderFence == fence:
		return c.endedInPhase(engine, order)
	case order.AbortSequence != 0 && state.OrderFence == abortFence(c.epoch, order) && !underWay(state):
		if reached(order, state) {
			return finish(engine, order, v1.OrderOutcome_ORDER_OUTCOME_DONE, "done before the abort arrived")
		}
		return finish(engine, order, v1.OrderOutcome_ORDER_OUTCOME_ABORTED, order.AbortReason)
	case engine.refused == fence && order.Epoch == c.epoch:
		return finish(engine, order, v1.OrderOutcome_ORDER_OUTCOME_REFUSED, string(engine.refusal))
	case order.Epoch < c.epoch && !underWay(state):
		// The raised fence keeps every late copy of the order out.
		if reached(order, state) && order.Action != v1.OrderAction_ORDER_ACTION_RESUME {
			return finish(engine, order, v1.OrderOutcome_ORDER_OUTCOME_DONE, "found done by a new leader")
		}
		return finish(engine, order, v1.OrderOutcome_ORDER_OUTCOME_ABORTED, "it never reached the engine, and a newer fence keeps it out")
	case fence.Less(state.HighestFence) && order.AbortSequence == 0 && !underWay(state):
		return finish(engine, order, v1.OrderOutcome_ORDER_OUTCOME_REFUSED, "the engine holds a higher fence")
	default:
		return nil
	}
}

// endedInPhase reads the end of an order from the phase the engine reports for it.
func (c *Commander) endedInPhase(engine *engine, order *v1.Order) *v1.FinishOrder {
	switch engine.last.OrderPhase {
	case enginecontract.PhaseDone:
		return finish(engine, order, v1.OrderOutcome_ORDER_OUTCOME_DONE, "")
	case enginecontract.PhaseAborted:
		detail := "the engine aborted it: the drain took too long, or the engine restarted"
		if order.AbortSequence != 0 {
			detail = order.AbortReason
		} else if engine.last.Incarnation != order.EngineIncarnation {
			return finish(engine, order, v1.OrderOutcome_ORDER_OUTCOME_ENGINE_LOST, "the engine restarted in the middle of it")
		}
		return finish(engine, order, v1.OrderOutcome_ORDER_OUTCOME_ABORTED, detail)
	case enginecontract.PhaseNone:
		return finish(engine, order, v1.OrderOutcome_ORDER_OUTCOME_ENGINE_LOST, "the engine restarted in the middle of it")
	default:
		return nil
	}
}

func finish(engine *engine, order *v1.Order, outcome v1.OrderOutcome, detail string) *v1.FinishOrder {
	return &v1.FinishOrder{
		Engine: order.Engine, Epoch: order.Epoch, Sequence: order.Sequence, Outcome: outcome, Detail: detail,
		Observed: recordOf(engine.address, engine.last),
	}
}

// reached reports whether the engine is as the order wants it.
func reached(order *v1.Order, state enginecontract.EngineState) bool {
	switch order.Action {
	case v1.OrderAction_ORDER_ACTION_SET_ROLE:
		return engineroles.FromContract(state.Role) == order.Role
	case v1.OrderAction_ORDER_ACTION_LOAD_MODEL:
		return state.Model == order.Model && state.Version == order.Version
	case v1.OrderAction_ORDER_ACTION_LOAD_ADAPTER:
		version, told := state.AdapterVersions[order.Adapter]
		return slices.Contains(state.Adapters, order.Adapter) && (!told || version == order.Version)
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

// listedPatience is how many times longer the order of a silent engine is kept while
// the platform lists the engine.
const listedPatience = 4

// giveUpSilent ends the order of an engine that has not answered for long. Should the
// engine return and still carry it out, no other order is given until that has ended.
func (c *Commander) giveUpSilent(now time.Duration, engine *engine, record *v1.EngineRecord) []Action {
	order := record.GetOutstanding()
	patience := c.config.LostAfter
	if engine.listed {
		patience *= listedPatience // the list lags, but the engine may still come back
	}
	if order == nil || now-max(engine.heardAt, c.ledAt) < patience {
		return nil
	}
	return c.proposeOnce(now, engine, &v1.Command{Body: &v1.Command_FinishOrder{FinishOrder: &v1.FinishOrder{
		Engine: order.Engine, Epoch: order.Epoch, Sequence: order.Sequence,
		Outcome: v1.OrderOutcome_ORDER_OUTCOME_ENGINE_LOST,
		Detail:  fmt.Sprintf("the engine has not answered for %v", patience),
	}}})
}

// sendOrder sends the outstanding order, or its abort, at most one copy at a time.
func (c *Commander) sendOrder(now time.Duration, engine *engine, order *v1.Order) []Action {
	message := contractOrder(order)
	if order.AbortSequence != 0 {
		message = enginecontract.Order{Fence: abortFence(c.epoch, order), Action: enginecontract.ActionAbort}
	} else if order.Epoch != c.epoch || engine.last.OrderFence == message.Fence {
		return nil // an older leader's order is only watched; a held one needs no copy
	}
	if engine.address == "" || engine.orderInFlight == message.Fence || now < engine.nextOrderAt {
		return nil
	}
	engine.orderInFlight = message.Fence
	engine.nextOrderAt = now + c.config.ResendInterval
	return []Action{SendOrder{Engine: engine.name, Address: engine.address, Order: message}}
}

// abortFence is the fence of the request to abort an order: above the order's own.
func abortFence(epoch uint64, order *v1.Order) enginecontract.Fence {
	return enginecontract.Fence{Epoch: epoch, Sequence: order.AbortSequence}
}
