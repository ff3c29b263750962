package scenario

import (
	"fmt"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Engine is one engine in its initial state.
type Engine struct {
	// Name is SERVICE-ZONE-NUMBER, as in a fleet of processes; numbers start at 1.
	Name    string
	Service string
	Zone    string
	Role    enginecontract.Role
}

// Engines returns all engines by service, zone and number, in the order of the file.
func (s Scenario) Engines() []Engine {
	var engines []Engine
	for _, service := range s.Services {
		for _, zone := range s.Zones {
			for number := range service.Engines[zone.Name] {
				engine := Engine{
					Name:    fmt.Sprintf("%s-%s-%d", service.Name, zone.Name, number+1),
					Service: service.Name, Zone: zone.Name, Role: enginecontract.RoleMixed,
				}
				if roles := service.InitialRoles; len(roles) > 0 {
					engine.Role = roles[number%len(roles)]
				}
				if pinned, found := service.Pins[engine.Name]; found {
					engine.Role = pinned
				}
				engines = append(engines, engine)
			}
		}
	}
	return engines
}
