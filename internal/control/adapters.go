package control

import (
	"slices"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
)

// adapterOrder returns the order that loads a declared adapter of the engine's model, or
// another version of it, or unloads an adapter that is not declared; nil when the engine
// has the declared adapters. An engine serves the old version of an adapter until it has
// loaded the new one, which then replaces it.
func adapterOrder(state *controlstate.State, engine *v1.EngineState) *v1.Order {
	declared := map[string]bool{}
	for _, object := range state.ObjectsOfType(v1.ObjectType_OBJECT_TYPE_ADAPTER) {
		adapter := object.GetAdapter()
		if adapter.Model != engine.Model {
			continue
		}
		declared[object.Key.Name] = true
		version, reported := engine.AdapterVersions[object.Key.Name]
		if !slices.Contains(engine.Adapters, object.Key.Name) || (reported && version != adapter.Version) {
			return &v1.Order{Engine: engine.Engine, Action: v1.OrderAction_ORDER_ACTION_LOAD_ADAPTER,
				Model: adapter.Model, Version: adapter.Version, Adapter: object.Key.Name,
				Reason: "this version of the adapter is declared for the engine's model"}
		}
	}
	for _, adapter := range engine.Adapters {
		if !declared[adapter] {
			return &v1.Order{Engine: engine.Engine, Action: v1.OrderAction_ORDER_ACTION_UNLOAD_ADAPTER, Adapter: adapter,
				Reason: "the adapter is not declared for the engine's model"}
		}
	}
	return nil
}
