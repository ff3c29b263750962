package control

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine/orders"
)

// testEngine is an engine that carries out orders with the order state machine of the stand-in engine.
type testEngine struct {
	name, address string
	machine       *orders.Machine
	incarnation   uint64
	inFlight      int
	down          bool
}

// addEngine adds an engine in a role to the fleet and to the machine list.
func (w *testCluster) addEngine(name, service, zone string, role enginecontract.Role) *testEngine {
	engine := &testEngine{name: name, address: name, incarnation: 1}
	engine.machine = orders.New(w.engineConfig(name, service, zone, 1), orders.Durable{Role: role, Model: "base", Version: "1"})
	w.engines[name] = engine
	w.list.Version++
	w.list.Machines = append(w.list.Machines, enginecontract.Machine{
		Name: name, Service: service, Zone: zone, Address: name, State: enginecontract.StateServing,
	})
	return engine
}

func (w *testCluster) engineConfig(name, service, zone string, incarnation uint64) orders.Config {
	return orders.Config{
		Engine: name, Service: service, Zone: zone, Incarnation: incarnation,
		RoleChange: 3 * time.Second, WeightLoad: 3 * time.Second, AdapterLoad: time.Second,
	}
}

// restartEngine crashes an engine and starts it again with its durable state.
func (w *testCluster) restartEngine(name string) {
	engine := w.engines[name]
	state := engine.machine.State(0)
	engine.incarnation++
	engine.inFlight = 0
	engine.machine = orders.New(w.engineConfig(name, state.Service, state.Zone, engine.incarnation), engine.machine.Durable())
}
