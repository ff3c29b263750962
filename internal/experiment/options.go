package experiment

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/planner"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// Options configure one run.
type Options struct {
	Scenario scenario.Scenario
	// Arrivals are the scenario's requests in order of time.
	Arrivals []scenario.Arrival
	// Seed of all random draws except the arrivals.
	Seed   uint64
	Policy Policy
	// WholeOnly sends each request to a single engine, as gateways do that have KV transfer
	// disabled.
	WholeOnly bool
}

// Policy determines the roles of a run's engines.
type Policy struct {
	Name string
	// InitialRoles returns the initial roles of a service's engines, in the scenario's order;
	// nil keeps the scenario's roles.
	InitialRoles func(service string, engines []scenario.Engine) []enginecontract.Role
	// NewPlanner returns the planner of a service. It is called again after a crash of the
	// planner's process.
	NewPlanner func(service string) planner.Planner
}

// Intervals of the fleet; they equal the defaults of the product's processes.
const (
	reportInterval = time.Second
	planInterval   = time.Second
	expireInterval = 50 * time.Millisecond
	// orderDelay is the time from a decision until the engine receives the order: replication
	// and network latency.
	orderDelay = 50 * time.Millisecond
	// gracePeriod is the time after the last arrival in which requests can finish.
	gracePeriod = 30 * time.Second
)

// Simulate runs a scenario under a policy. Equal options give equal results.
func Simulate(options Options) (*Run, error) {
	if options.Policy.NewPlanner == nil {
		return nil, trace.BadParameter("experiment: policy %q has no planner", options.Policy.Name)
	}
	world, err := newWorld(options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	world.run()
	return world.recorder.result(), nil
}
