package experiment

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/planner"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// Options choose one run.
type Options struct {
	Scenario scenario.Scenario
	// Arrivals are the scenario's requests in order of time.
	Arrivals []scenario.Arrival
	// Seed of everything that is drawn besides the arrivals.
	Seed   uint64
	Policy Policy
	// WholeOnly sends each request to one engine, as gateways do that hand over no
	// KV caches.
	WholeOnly bool
}

// Policy decides the roles of a run's engines.
type Policy struct {
	Name string
	// InitialRoles returns the roles at the start of the engines of a service, in the
	// scenario's order; nil keeps the scenario's.
	InitialRoles func(service string, engines []scenario.Engine) []enginecontract.Role
	// NewPlanner returns the planner of a service. It is called again when the
	// planner's process has crashed.
	NewPlanner func(service string) planner.Planner
}

// Intervals of the fleet, as the product's processes have them by default.
const (
	reportInterval = time.Second
	planInterval   = time.Second
	expireInterval = 50 * time.Millisecond
	// orderTime is the time from a decision to the engine's taking the order: the
	// replicated log and the way there.
	orderTime = 50 * time.Millisecond
	// grace is the time after the last arrival in which requests may still end.
	grace = 30 * time.Second
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
