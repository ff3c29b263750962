package language

import (
	"fmt"
	"strings"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// addEngine explains one engine: its role and the reason for it, its state, its order and its load.
func (e *explanation) addEngine(name string) error {
	engine, err := findEngine(e.view, name)
	if err != nil {
		return err
	}
	state := engine.State
	e.addRow("role", RoleName(state.GetRole()), engine.RoleSinceMs, 0, e.describeRoleReason(engine))
	e.addPin(name)
	e.addRow("state", stateName(engine.ServingState), 0, 0, e.describeStateReason(engine))
	e.addRow("service", state.GetService(), 0, 0, "machine list")
	e.addRow("zone", state.GetZone(), 0, 0, "machine list")
	e.addModel(state)
	e.addAdapters(state)
	if order := engine.OutstandingOrder; order != nil {
		e.addRow("order", formatFence(order)+" "+formatAction(order), order.GetIssuedAtMs(), 0, order.GetReason())
	}
	if engine.BlockedChange != "" {
		e.addRow("held back", engine.BlockedChange, 0, 0, "declared, and not ordered yet")
	}
	e.addPlannerDecision(state.GetService())
	if load := engine.Load; load != nil {
		value := fmt.Sprintf("%d running, %d waiting, %.0f%% of the KV cache", load.GetRunning(), load.GetWaiting(), 100*load.GetKvCacheUsed())
		e.addRow("load", value, max(0, e.view.NowMs()-engine.LoadAgeMs), 0, "last report")
	}
	return nil
}

// findEngine returns the engine with this name, if the controller knows it.
func findEngine(view View, name string) (EngineView, error) {
	var known []string
	for _, engine := range view.Engines() {
		if engine.State.GetEngine() == name {
			return engine, nil
		}
		known = append(known, engine.State.GetEngine())
	}
	return EngineView{}, notFoundError(engineKeyword, name, known)
}

// describeRoleReason gives the reason of the last completed order that set the engine's role, or says that the engine
// reported the role if no order explains it.
func (e *explanation) describeRoleReason(engine EngineView) string {
	orders := e.view.Orders(engine.State.GetEngine())
	for i := len(orders) - 1; i >= 0; i-- {
		order := orders[i]
		if order.Order.GetAction() != v1.OrderAction_ORDER_ACTION_SET_ROLE || order.Outcome != v1.OrderOutcome_ORDER_OUTCOME_DONE {
			continue
		}
		if order.Order.GetRole() != engine.State.GetRole() {
			return "reported by the engine; the last order was for " + RoleName(order.Order.GetRole())
		}
		return "order " + formatFence(order.Order) + ": " + order.Order.GetReason()
	}
	return "reported by the engine; no order is remembered"
}

// describeStateReason explains why an engine gets no new work: an order, or else the state that the engine or the machine
// list reports. It returns "" for an engine that serves.
func (e *explanation) describeStateReason(engine EngineView) string {
	if engine.ServingState == v1.BackEndState_BACK_END_STATE_SERVING {
		return ""
	}
	if engine.OutstandingOrder != nil {
		return "order " + formatFence(engine.OutstandingOrder) + " is under way"
	}
	orders := e.view.Orders(engine.State.GetEngine())
	for i := len(orders) - 1; i >= 0; i-- {
		order := orders[i].Order
		if order.GetAction() == v1.OrderAction_ORDER_ACTION_RESUME {
			break
		}
		if order.GetAction() == v1.OrderAction_ORDER_ACTION_DRAIN && orders[i].Outcome == v1.OrderOutcome_ORDER_OUTCOME_DONE {
			return "order " + formatFence(order) + ": " + order.GetReason()
		}
	}
	return "reported by the engine or the machine list"
}

// addAdapters explains each adapter that an engine serves.
func (e *explanation) addAdapters(state *v1.EngineState) {
	declared := map[string]*v1.Object{}
	for _, object := range e.view.Objects() {
		if object.GetAdapter() != nil {
			declared[object.GetKey().GetName()] = object
		}
	}
	for _, name := range state.GetAdapters() {
		version := state.GetAdapterVersions()[name]
		object := declared[name]
		if object == nil {
			e.addRow("adapter", strings.TrimSpace(name+" "+version), 0, 0, "reported by the engine; the adapter is not declared")
			continue
		}
		reason := e.describeRevision(object.GetRevision())
		if wanted := object.GetAdapter().GetVersion(); version != "" && version != wanted {
			reason = "version " + wanted + " is declared, not loaded yet; " + reason
		}
		e.addRow("adapter", strings.TrimSpace(name+" "+version), object.GetAcceptedAtMs(), object.GetRevision(), reason)
	}
}

// addPin explains the engine's pin, if it has one.
func (e *explanation) addPin(name string) {
	for _, object := range e.view.Objects() {
		if pin := object.GetPin(); pin != nil && pin.GetEngine() == name {
			e.addRow("pin", RoleName(pin.GetRole()), object.GetAcceptedAtMs(), object.GetRevision(), e.describeRevision(object.GetRevision()))
		}
	}
}

// addModel compares the model version that an engine serves with the declared one.
func (e *explanation) addModel(state *v1.EngineState) {
	value := strings.TrimSpace(state.GetModel() + " " + state.GetVersion())
	for _, object := range e.view.Objects() {
		if model := object.GetModel(); model != nil && object.GetKey().GetName() == state.GetModel() {
			reason := e.describeRevision(object.GetRevision())
			if model.GetVersion() != state.GetVersion() {
				reason = "version " + model.GetVersion() + " is declared, not loaded yet; " + reason
			}
			e.addRow("model", value, object.GetAcceptedAtMs(), object.GetRevision(), reason)
			return
		}
	}
	e.addRow("model", value, 0, 0, "reported by the engine; the model is not declared")
}
