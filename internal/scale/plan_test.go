package scale

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPlanRefusesWhatCannotBeLaidOut(t *testing.T) {
	for name, change := range map[string]func(*Plan){
		"nodes":       func(p *Plan) { p.Nodes = 0 },
		"replicas":    func(p *Plan) { p.Replicas = MaximumReplicas + 1 },
		"tenants":     func(p *Plan) { p.Tenants = 0 },
		"zones":       func(p *Plan) { p.Zones = MaximumZones + 1 },
		"regions":     func(p *Plan) { p.Regions = p.Zones + 1 },
		"controllers": func(p *Plan) { p.Controllers = 0 },
		"standbys":    func(p *Plan) { p.Standbys = -1 },
	} {
		plan := smallPlan()
		change(&plan)
		require.ErrorContains(t, plan.Check(), name)
	}
}

func TestAddressesAreUniqueAtTheTarget(t *testing.T) {
	plan := Plan{Nodes: 390, Replicas: 930, Tenants: 33000, Models: 24, Zones: 10, Regions: 3, Controllers: 5, Standbys: 3, Network: "127.64"}
	require.NoError(t, plan.Check())
	taken := map[string]bool{}
	take := func(address string) {
		require.False(t, taken[address], address)
		taken[address] = true
	}
	for replica := range plan.Replicas {
		take(plan.replicaAddress(replica))
	}
	for controller := range plan.Controllers + plan.Standbys {
		take(plan.ControllerAddress(controller))
		take(plan.ControllerAdmin(controller))
	}
	take(plan.machineListAddress())
	regions := map[int]int{}
	for controller := range plan.Controllers {
		regions[plan.Region(plan.ControllerZone(controller))]++
	}
	for region, voters := range regions {
		require.Less(t, 2*voters, plan.Controllers, "region %d must not hold a majority of the voters", region)
	}
}
