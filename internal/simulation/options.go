package simulation

import (
	"fmt"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// DefaultSteps is the number of steps of one run.
const DefaultSteps = 20_000

// Options are the settings of a run.
type Options struct {
	Seed uint64
	// Steps is the number of events until the faults end; zero means the default.
	Steps int
	// Deployment is the simulated fleet; the default is the small one.
	Deployment Deployment
	// Safeguards states which safeguards are disabled, to show that the check of each can fail.
	Safeguards safeguard.Set
	// OnlyCheck, when not empty, is the name of the only check that may fail the run.
	OnlyCheck string
	// Emphasis lists faults that happen more often; empty for none.
	Emphasis []FaultKind
}

// Deployment is a fleet to simulate.
type Deployment struct {
	Name  string
	Zones []string
	// Controllers is the number of initial voters, Standbys the number of learners beside them.
	Controllers int
	Standbys    int
	Gateways    int
	Services    []ServiceSize
	Operators   int
}

// ServiceSize is the number of engines of one service.
type ServiceSize struct {
	Name    string
	Engines int
}

// Deployments are the fleets that can be simulated, by name.
var Deployments = map[string]Deployment{
	"small": {
		Name: "small", Zones: []string{"zone-a", "zone-b", "zone-c"}, Controllers: 3, Gateways: 2,
		Services: []ServiceSize{{Name: "matching", Engines: 3}}, Operators: 2,
	},
	"empleandes": {
		Name:        "empleandes",
		Zones:       []string{"sala-surquillo", "sala-ate", "sala-callao", "sala-chorrillos"},
		Controllers: 3, Gateways: 4, Operators: 3,
		Services: []ServiceSize{{Name: "motor-emparejo", Engines: 12}},
	},
	"rawabi": {
		Name:        "rawabi",
		Zones:       []string{"amman-hall-a", "amman-hall-b", "amman-hall-c"},
		Controllers: 3, Gateways: 3, Operators: 3,
		Services: []ServiceSize{{Name: "lot-assessor", Engines: 18}},
	},
	"standby": {
		Name: "standby", Zones: []string{"zone-a", "zone-b", "zone-c"}, Controllers: 5, Standbys: 2, Gateways: 2,
		Services: []ServiceSize{{Name: "matching", Engines: 3}}, Operators: 2,
	},
	"five": {
		Name: "five", Zones: []string{"zone-a", "zone-b", "zone-c"}, Controllers: 5, Gateways: 2,
		Services: []ServiceSize{{Name: "matching", Engines: 3}}, Operators: 2,
	},
}

// FindDeployment returns the fleet with a name.
func FindDeployment(name string) (Deployment, error) {
	deployment, found := Deployments[name]
	if !found {
		return Deployment{}, trace.BadParameter("no deployment %q; known are empleandes, five, rawabi, small and standby", name)
	}
	return deployment, nil
}

// withDefaults fills in the defaults.
func (o Options) withDefaults() Options {
	if o.Steps == 0 {
		o.Steps = DefaultSteps
	}
	if o.Deployment.Name == "" {
		o.Deployment = Deployments["small"]
	}
	return o
}

// zone returns the zone of the n-th machine of a kind.
func (d Deployment) zone(n int) string { return d.Zones[n%len(d.Zones)] }

// numbered names the n-th machine of a kind, counted from one.
func numbered(kind string, n int) string { return fmt.Sprintf("%s-%d", kind, n+1) }
