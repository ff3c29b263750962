package experiment

import (
	"github.com/hazelpitch/hazelpitch/internal/planner"
)

// Names of policies.
const (
	PolicyPlanner = "planner"
)

// ProductPolicy is the product's own planner, beginning in the scenario's roles.
func ProductPolicy() Policy {
	return Policy{Name: PolicyPlanner, NewPlanner: func(string) planner.Planner { return planner.New() }}
}
