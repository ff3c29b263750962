package authority

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/engineroles"
)

var contractActions = map[v1.OrderAction]enginecontract.Action{
	v1.OrderAction_ORDER_ACTION_SET_ROLE:       enginecontract.ActionSetRole,
	v1.OrderAction_ORDER_ACTION_LOAD_MODEL:     enginecontract.ActionLoadModel,
	v1.OrderAction_ORDER_ACTION_LOAD_ADAPTER:   enginecontract.ActionLoadAdapter,
	v1.OrderAction_ORDER_ACTION_UNLOAD_ADAPTER: enginecontract.ActionUnloadAdapter,
	v1.OrderAction_ORDER_ACTION_DRAIN:          enginecontract.ActionDrain,
	v1.OrderAction_ORDER_ACTION_RESUME:         enginecontract.ActionResume,
}

func fenceOf(order *v1.Order) enginecontract.Fence {
	return enginecontract.Fence{Epoch: order.Epoch, Sequence: order.Sequence}
}

// contractOrder returns the order in the format of the engine contract. It is identical on each resend.
func contractOrder(order *v1.Order) enginecontract.Order {
	return enginecontract.Order{
		Fence:        fenceOf(order),
		Action:       contractActions[order.Action],
		Role:         engineroles.ToContract(order.Role),
		Model:        order.Model,
		Version:      order.Version,
		Adapter:      order.Adapter,
		ExpectedRole: engineroles.ToContract(order.ExpectedRole),
		DrainMs:      max(order.DeadlineMs-order.IssuedAtMs, 0),
	}
}

// recordedState returns the state that the log records for an engine's report.
func recordedState(address string, state enginecontract.EngineState) *v1.EngineState {
	return &v1.EngineState{
		Engine: state.Engine, Service: state.Service, Zone: state.Zone, Address: address,
		Role: engineroles.FromContract(state.Role), Model: state.Model, Version: state.Version,
		Adapters: state.Adapters, AdapterVersions: state.AdapterVersions, Incarnation: state.Incarnation,
	}
}

// isCarryingOutOrder reports whether the engine is carrying out an order.
func isCarryingOutOrder(state enginecontract.EngineState) bool {
	return state.OrderPhase == enginecontract.PhaseDraining || state.OrderPhase == enginecontract.PhaseChanging
}
