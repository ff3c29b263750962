package experiment

import (
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/experiment/previousplanner"
	"github.com/hazelpitch/hazelpitch/internal/planner"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// Names of policies.
const (
	// PolicyPlanner is the product's planner.
	PolicyPlanner = "planner"
	// PolicyPrevious is the planner of package previousplanner.
	PolicyPrevious = "previous"
	// PolicyReactive changes one engine when thresholds are exceeded.
	PolicyReactive = "reactive"
	// PolicyUnchanged keeps the scenario's initial roles.
	PolicyUnchanged = "unchanged"
	// PolicyAllMixed gives every engine the role mixed.
	PolicyAllMixed = "all-mixed"
	// PolicyStaticMean keeps the split into prefill and decode engines that fits the mean mix.
	PolicyStaticMean = "static-mean"
	// PolicyStaticBest keeps the split that is best in hindsight.
	PolicyStaticBest = "static-best"
	// PolicyClairvoyant plans with knowledge of all arrivals and pays for its changes.
	PolicyClairvoyant = "clairvoyant"
)

// PolicyNames lists all policies in the order in which tables show them.
func PolicyNames() []string {
	return []string{
		PolicyPlanner, PolicyPrevious, PolicyReactive, PolicyUnchanged, PolicyAllMixed, PolicyStaticMean, PolicyStaticBest, PolicyClairvoyant,
	}
}

// ProductPolicy returns the product's planner, starting with the scenario's roles.
func ProductPolicy() Policy {
	return Policy{Name: PolicyPlanner, NewPlanner: func(string) planner.Planner { return planner.New() }}
}

// previousPolicy returns the planner of package previousplanner.
func previousPolicy() Policy {
	return Policy{Name: PolicyPrevious, NewPlanner: func(string) planner.Planner { return previousplanner.New() }}
}

func reactivePolicy() Policy {
	return Policy{Name: PolicyReactive, NewPlanner: func(string) planner.Planner { return &reactivePlanner{} }}
}

// staticPolicy returns a policy that has one split for each service from the start.
func staticPolicy(name string, splits map[string]planner.Split) Policy {
	return Policy{
		Name: name,
		InitialRoles: func(service string, engines []scenario.Engine) []enginecontract.Role {
			return assignRoles(splits[service], engines)
		},
		NewPlanner: func(string) planner.Planner { return &schedulePlanner{} },
	}
}

// schedulePolicy returns a policy that starts with the scenario's roles and follows a schedule for each service.
func schedulePolicy(name string, schedules map[string]schedule) Policy {
	return Policy{
		Name:       name,
		NewPlanner: func(service string) planner.Planner { return &schedulePlanner{schedule: schedules[service]} },
	}
}
