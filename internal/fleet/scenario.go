package fleet

import (
	"slices"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// ForScenario returns the description with the engines, roles, speeds, latencies and
// report lag of a scenario; page services are unchanged. It fails when the scenario names a
// zone or service that the description does not have.
func (d Description) ForScenario(source scenario.Scenario) (Description, error) {
	if source.Deployment != d.Name {
		return Description{}, trace.BadParameter("scenario %s is for deployment %s, not %s; give --deployment", source.Name, source.Deployment, d.Name)
	}
	for _, zone := range source.Zones {
		if !slices.ContainsFunc(d.Zones, func(present Zone) bool { return present.Name == zone.Name }) {
			return Description{}, trace.BadParameter("scenario %s: deployment %s has no zone %q", source.Name, d.Name, zone.Name)
		}
	}
	changed := d
	changed.Latency = Latency{BetweenZones: source.Latency.BetweenZones, ToClients: source.Latency.ToClients}
	changed.Services = slices.Clone(d.Services)
	for _, wanted := range source.Services {
		index := slices.IndexFunc(d.Services, func(present Service) bool {
			return present.Name == wanted.Name && present.Type == TypeEngine
		})
		if index < 0 {
			return Description{}, trace.BadParameter("scenario %s: deployment %s has no engines of service %q", source.Name, d.Name, wanted.Name)
		}
		service := &changed.Services[index]
		service.Replicas = wanted.Engines
		service.Roles = wanted.InitialRoles
		service.Speed = wanted.Speed
		service.RoleChange = wanted.RoleChange
		service.LoadLag = source.Reports.Lag
	}
	return changed, nil
}
