package language

import (
	"fmt"
	"strings"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// engine explains one engine: its role, what holds it there, its order, its load.
func (e *explanation) engine(name string) error {
	engine, err := findEngine(e.view, name)
	if err != nil {
		return err
	}
	state := engine.State
	e.add("role", RoleName(state.GetRole()), engine.RoleSinceMs, 0, e.roleReason(engine))
	e.pin(name)
	e.add("state", stateWord(engine.ServingState), 0, 0, e.stateReason(engine))
	e.add("service", state.GetService(), 0, 0, "machine list")
	e.add("zone", state.GetZone(), 0, 0, "machine list")
	e.model(state)
	e.adapters(state)
	if order := engine.OutstandingOrder; order != nil {
		e.add("order", fenceText(order)+" "+actionText(order), order.GetIssuedAtMs(), 0, order.GetReason())
	}
	if engine.BlockedChange != "" {
		e.add("held back", engine.BlockedChange, 0, 0, "declared, and not ordered yet")
	}
	e.planner(state.GetService())
	if load := engine.Load; load != nil {
		value := fmt.Sprintf("%d running, %d waiting, %.0f%% of the KV cache", load.GetRunning(), load.GetWaiting(), 100*load.GetKvCacheUsed())
		e.add("load", value, max(0, e.view.NowMs()-engine.LoadAgeMs), 0, "last report")
	}
	return nil
}

// findEngine finds an engine the controller knows.
func findEngine(view View, name string) (EngineView, error) {
	var known []string
	for _, engine := range view.Engines() {
		if engine.State.GetEngine() == name {
			return engine, nil
		}
		known = append(known, engine.State.GetEngine())
	}
	return EngineView{}, notFound(engineWord, name, known)
}

// roleReason is the reason of the last order that gave the engine its role.
func (e *explanation) roleReason(engine EngineView) string {
	orders := e.view.Orders(engine.State.GetEngine())
	for i := len(orders) - 1; i >= 0; i-- {
		order := orders[i]
		if order.Order.GetAction() != v1.OrderAction_ORDER_ACTION_SET_ROLE || order.Outcome != v1.OrderOutcome_ORDER_OUTCOME_DONE {
			continue
		}
		if order.Order.GetRole() != engine.State.GetRole() {
			return "reported by the engine; the last order was for " + RoleName(order.Order.GetRole())
		}
		return "order " + fenceText(order.Order) + ": " + order.Order.GetReason()
	}
	return "reported by the engine; no order is remembered"
}

// stateReason says why an engine gets no new work, as far as an order is the reason.
func (e *explanation) stateReason(engine EngineView) string {
	if engine.ServingState == v1.BackEndState_BACK_END_STATE_SERVING {
		return ""
	}
	if engine.OutstandingOrder != nil {
		return "order " + fenceText(engine.OutstandingOrder) + " is under way"
	}
	orders := e.view.Orders(engine.State.GetEngine())
	for i := len(orders) - 1; i >= 0; i-- {
		order := orders[i].Order
		if order.GetAction() == v1.OrderAction_ORDER_ACTION_RESUME {
			break
		}
		if order.GetAction() == v1.OrderAction_ORDER_ACTION_DRAIN && orders[i].Outcome == v1.OrderOutcome_ORDER_OUTCOME_DONE {
			return "order " + fenceText(order) + ": " + order.GetReason()
		}
	}
	return "reported by the engine or the machine list"
}

// adapters explains each adapter that an engine serves.
func (e *explanation) adapters(state *v1.EngineState) {
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
			e.add("adapter", strings.TrimSpace(name+" "+version), 0, 0, "reported by the engine; the adapter is not declared")
			continue
		}
		reason := e.revisionReason(object.GetRevision())
		if wanted := object.GetAdapter().GetVersion(); version != "" && version != wanted {
			reason = "version " + wanted + " is declared, not loaded yet; " + reason
		}
		e.add("adapter", strings.TrimSpace(name+" "+version), object.GetAcceptedAtMs(), object.GetRevision(), reason)
	}
}

// pin explains the pin of an engine, if there is one.
func (e *explanation) pin(name string) {
	for _, object := range e.view.Objects() {
		if pin := object.GetPin(); pin != nil && pin.GetEngine() == name {
			e.add("pin", RoleName(pin.GetRole()), object.GetAcceptedAtMs(), object.GetRevision(), e.revisionReason(object.GetRevision()))
		}
	}
}

// model compares the version an engine serves with the one declared.
func (e *explanation) model(state *v1.EngineState) {
	value := strings.TrimSpace(state.GetModel() + " " + state.GetVersion())
	for _, object := range e.view.Objects() {
		if model := object.GetModel(); model != nil && object.GetKey().GetName() == state.GetModel() {
			reason := e.revisionReason(object.GetRevision())
			if model.GetVersion() != state.GetVersion() {
				reason = "version " + model.GetVersion() + " is declared, not loaded yet; " + reason
			}
			e.add("model", value, object.GetAcceptedAtMs(), object.GetRevision(), reason)
			return
		}
	}
	e.add("model", value, 0, 0, "reported by the engine; the model is not declared")
}
