package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/filesystem/memory"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine/orders"
)

// world is the whole simulated system.
type world struct {
	scheduler
	options     Options
	random      *rand.Rand
	trace       *runTrace
	checks      *checks
	history     *history
	network     *network
	safeguards  safeguard.Set
	controllers []*controller
	gateways    []*gateway
	engines     []*engine
	operators   []*operatorClient
	platform    *platform
	faults      *faults
	// administratorCommands counts the administrators' commands, to number their requests.
	administratorCommands int
	// isSwapping is true while an administrator moves a vote to another machine.
	isSwapping bool
	// lulls counts the lulls under way.
	lulls int
	// isHealed is true once the phase of faults is over.
	isHealed bool
	// firstRevision is the revision of the fleet's first declaration.
	firstRevision uint64
}

// newWorld creates the fleet; no process has started yet.
func newWorld(options Options) *world {
	w := &world{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 0x68617a656c)), trace: newTrace(),
		history: &history{}, safeguards: options.Safeguards,
	}
	w.network = &network{world: w, cuts: map[link]int{}}
	w.checks = newChecks(w)
	w.platform = &platform{host: w.newHost("platform")}
	w.addControllers()
	w.addEngines()
	for i := range options.Deployment.Gateways {
		w.gateways = append(w.gateways, &gateway{host: w.newHost(numbered("gateway", i)), zone: options.Deployment.zone(i)})
	}
	for i := range options.Deployment.Operators {
		w.operators = append(w.operators, &operatorClient{host: w.newHost(numbered("operator", i)), number: i + 1})
	}
	w.faults = newFaults(w)
	return w
}

// newHost returns a host without a running process.
func (w *world) newHost(name string) host { return host{name: name, world: w} }

// addControllers adds the controllers, which know each other as the initial voters, and the standbys.
func (w *world) addControllers() {
	var peers []consensus.Peer
	for i := range w.options.Deployment.Controllers {
		name := numbered("controller", i)
		peers = append(peers, consensus.Peer{Name: name, Address: name, Zone: w.options.Deployment.zone(i)})
	}
	for _, peer := range peers {
		w.controllers = append(w.controllers, &controller{
			host: w.newHost(peer.Name), zone: peer.Zone, peers: peers, disk: memory.New(), diskCount: 1,
		})
	}
	for i := range w.options.Deployment.Standbys {
		w.controllers = append(w.controllers, &controller{
			host: w.newHost(numbered("standby", i)), zone: w.options.Deployment.zone(i), peers: peers,
			disk: memory.New(), diskCount: 1,
		})
	}
}

// addEngines adds the engines, all in the mixed role.
func (w *world) addEngines() {
	for _, service := range w.options.Deployment.Services {
		for i := range service.Engines {
			w.engines = append(w.engines, w.newEngine(numbered(service.Name, i), service.Name, w.options.Deployment.zone(i)))
		}
	}
}

// newEngine returns an engine that has not started.
func (w *world) newEngine(name, service, zone string) *engine {
	return &engine{
		host: w.newHost(name), service: service, zone: zone,
		durable: orders.Durable{Role: enginecontract.RoleMixed, Model: modelName, Version: modelVersion},
	}
}

// start starts every process.
func (w *world) start() {
	w.platform.boot()
	for _, engine := range w.engines {
		engine.start()
	}
	w.platform.update()
	for _, controller := range w.controllers {
		controller.start()
	}
	for _, gateway := range w.gateways {
		gateway.start()
	}
	w.operators[0].boot()
	w.operators[0].declareFleet(func() {
		for _, operator := range w.operators {
			operator.start()
		}
		w.faults.scheduleNext()
	})
}

// drawDuration draws a duration below longest.
func (w *world) drawDuration(longest time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(longest)))
}

// controllerAt returns the controller at an address, or nil.
func (w *world) controllerAt(address string) *controller {
	for _, controller := range w.controllers {
		if controller.name == address {
			return controller
		}
	}
	return nil
}

// engineAt returns the engine at an address, or nil.
func (w *world) engineAt(address string) *engine {
	for _, engine := range w.engines {
		if engine.name == address {
			return engine
		}
	}
	return nil
}
