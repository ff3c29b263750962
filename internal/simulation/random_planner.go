package simulation

import (
	"math/rand/v2"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/planner"
)

// randomPlanner changes roles at random, so that many changes coincide with faults.
type randomPlanner struct {
	world  *world
	random *rand.Rand
}

// changeShare is the share of the planner's decisions for which it draws an engine and a new role. If the engine
// already has that role, the decision changes nothing.
const changeShare = 0.5

// Plan implements planner.Planner.
func (p *randomPlanner) Plan(observation planner.Observation) planner.Decision {
	if len(observation.Engines) == 0 || p.world.lulls > 0 || p.random.Float64() >= changeShare {
		return planner.Decision{Reason: "no change drawn"}
	}
	chosen := observation.Engines[p.random.IntN(len(observation.Engines))]
	roles := []enginecontract.Role{enginecontract.RolePrefill, enginecontract.RoleDecode, enginecontract.RoleMixed}
	to := roles[p.random.IntN(len(roles))]
	if to == chosen.Role {
		return planner.Decision{Reason: "no change drawn"}
	}
	return planner.Decision{
		Changes: []planner.Change{{Engine: chosen.Name, From: chosen.Role, To: to, Reason: "restless"}},
		Reason:  "restless",
	}
}
