package routing

import (
	"cmp"
	"slices"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// poolKey identifies a pool by what its back ends have in common.
type poolKey struct {
	service string
	role    enginecontract.Role
	model   string
	adapter string
}

// pool holds the back ends with one role for one model, those of the nearest zone first. Within a zone their order is
// the same at all gateways that share this gateway's zone. The first SubsetSize members are the subset that decisions
// consider.
type pool struct {
	members []*Candidate
}

// sortMembers sorts the pool by distance from this gateway's zone.
func (p *pool) sortMembers(router *Router) {
	zone := hashName(router.config.Zone)
	slices.SortFunc(p.members, func(a, b *Candidate) int {
		if order := cmp.Compare(router.zoneLatency(a.Zone), router.zoneLatency(b.Zone)); order != 0 {
			return order
		}
		if order := cmp.Compare(rendezvousWeight(zone, b.nameHash), rendezvousWeight(zone, a.nameHash)); order != 0 {
			return order
		}
		return cmp.Compare(a.Name, b.Name)
	})
}

// poolKeys returns the pools a back end belongs to: one for its base model and one for each adapter, each also
// under the empty model, which stands for any model.
func poolKeys(backEnd *BackEnd) []poolKey {
	models := []string{backEnd.Model}
	if backEnd.Model != "" {
		models = append(models, "")
	}
	var keys []poolKey
	for _, model := range models {
		keys = append(keys, poolKey{service: backEnd.Service, role: backEnd.Role, model: model})
		for _, adapter := range backEnd.Adapters {
			keys = append(keys, poolKey{service: backEnd.Service, role: backEnd.Role, model: model, adapter: adapter})
		}
	}
	return keys
}
