package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/planner"
)

const (
	prefillHeavyRate = 24.0 // requests per second of the kind "matching": about 9.6 engines of prefill
	lostRate         = 10.0 // of them, refused or late
	decisionTime     = 10 * time.Minute
)

// engines returns a fleet of serving, idle engines in two zones.
func engines(prefill, decode, mixed int) []planner.EngineObservation {
	var result []planner.EngineObservation
	add := func(role enginecontract.Role, count int) {
		for range count {
			result = append(result, planner.EngineObservation{
				Name:  fmt.Sprintf("engine-%02d", len(result)),
				Zone:  fmt.Sprintf("zone-%d", len(result)%2),
				Role:  role,
				State: enginecontract.StateServing,
				Load:  &enginecontract.LoadReport{},
			})
		}
	}
	add(enginecontract.RolePrefill, prefill)
	add(enginecontract.RoleDecode, decode)
	add(enginecontract.RoleMixed, mixed)
	return result
}

// observation returns an evenly split fleet under a demand of long prompts.
func observation() planner.Observation {
	return planner.Observation{
		Now:     decisionTime,
		Service: "motor-emparejo",
		Engines: engines(6, 6, 0),
		Demands: []planner.DemandObservation{
			{Kind: "matching", Zone: "zone-0", ArrivalsPerSecond: prefillHeavyRate, PromptTokens: 8000, OutputTokens: 60, CompletedPerSecond: prefillHeavyRate - lostRate, LostPerSecond: lostRate},
		},
		Kinds:   []planner.KindWorth{{Kind: "matching", Worth: 5, Deadline: 5 * time.Second}},
		Policy:  planner.Policy{ChangePrice: 1, Horizon: time.Minute},
		Profile: planner.ProfileOf(planner.DefaultProfileName),
	}
}

// planForAMinute shows a new planner the same observation every second for a minute and returns its last decision.
func planForAMinute(o planner.Observation) planner.Decision {
	decider := planner.New()
	var decision planner.Decision
	end := o.Now
	for at := end - time.Minute; at <= end; at += time.Second {
		o.Now = at
		decision = decider.Plan(o)
	}
	return decision
}

func TestChangesThatPayBack(t *testing.T) {
	decision := planForAMinute(observation())
	require.Len(t, decision.Changes, 1)
	change := decision.Changes[0]
	require.Equal(t, enginecontract.RoleDecode, change.From)
	require.Equal(t, enginecontract.RolePrefill, change.To)
	require.Positive(t, change.Gain)
	require.Contains(t, change.Reason, change.Engine)
	require.NotEmpty(t, decision.Reason)
}

func TestNoChange(t *testing.T) {
	tests := []struct {
		name   string
		change func(*planner.Observation)
		reason string
	}{
		{"demand is served", func(o *planner.Observation) { o.Demands[0].ArrivalsPerSecond = 4 }, "pays back"},
		{"nothing is lost", func(o *planner.Observation) { o.Demands[0].LostPerSecond = 0 }, "is served"},
		{"no demand", func(o *planner.Observation) { o.Demands = nil }, "demand reports"},
		{"stale demand", func(o *planner.Observation) { o.Demands[0].Age = time.Minute }, "demand reports"},
		{"cannot pay back its price", func(o *planner.Observation) { o.Policy.ChangePrice = 1e6 }, "pays back"},
		{"outage longer than the horizon", func(o *planner.Observation) { o.Profile.RoleChange = 2 * time.Minute }, "pays back"},
		{"slow weight store", func(o *planner.Observation) { o.Profile.WeightLoad = 2 * time.Minute }, "pays back"},
		{"budget spent", func(o *planner.Observation) {
			o.Policy.ChangesPerHour = 2
			o.RecentChanges = []time.Duration{o.Now - time.Minute, o.Now - 9*time.Minute}
		}, "budget"},
		{"an engine is unavailable", func(o *planner.Observation) {
			o.Engines[0].OrderOutstanding = true
			o.Engines[0].TargetRole = enginecontract.RolePrefill
		}, "out of service already"},
		{"an engine drains", func(o *planner.Observation) { o.Engines[0].State = enginecontract.StateDraining }, "out of service already"},
		{"all pinned", func(o *planner.Observation) {
			o.Pins = map[string]enginecontract.Role{}
			for _, engine := range o.Engines {
				o.Pins[engine.Name] = engine.Role
			}
		}, "pinned"},
		{"minimum of decode engines", func(o *planner.Observation) {
			o.Bounds = []planner.RoleBound{{Role: enginecontract.RoleDecode, Minimum: 6}, {Role: enginecontract.RoleMixed, Maximum: 1}}
			o.Pins = pinRole(o.Engines, enginecontract.RolePrefill)
		}, "bounds"},
		{"dwell", func(o *planner.Observation) {
			o.Policy.MinimumDwell = time.Hour
		}, "dwell"},
		{"stale engine reports", func(o *planner.Observation) {
			for i := range o.Engines {
				o.Engines[i].LoadAge = time.Minute
			}
		}, "stale"},
		{"one engine", func(o *planner.Observation) { o.Engines = o.Engines[:1] }, "fewer than two"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			observed := observation()
			test.change(&observed)
			decision := planForAMinute(observed)
			require.Empty(t, decision.Changes)
			require.Contains(t, decision.Reason, test.reason)
		})
	}
}

func pinRole(engines []planner.EngineObservation, role enginecontract.Role) map[string]enginecontract.Role {
	pins := map[string]enginecontract.Role{}
	for _, engine := range engines {
		if engine.Role == role {
			pins[engine.Name] = role
		}
	}
	return pins
}

func TestBoundsStillAllowOtherChanges(t *testing.T) {
	observed := observation()
	observed.Bounds = []planner.RoleBound{{Zone: "zone-0", Role: enginecontract.RoleDecode, Minimum: 3}}
	decision := planForAMinute(observed)
	require.Len(t, decision.Changes, 1)
	for _, engine := range observed.Engines {
		if engine.Name == decision.Changes[0].Engine {
			require.Equal(t, "zone-1", engine.Zone)
		}
	}
}

func TestEnginesWithLeastWorkGoFirst(t *testing.T) {
	observed := observation()
	for i := range observed.Engines {
		observed.Engines[i].Load.Running = 20 - i
	}
	decision := planForAMinute(observed)
	require.Len(t, decision.Changes, 1)
	require.Equal(t, "engine-11", decision.Changes[0].Engine)
}
