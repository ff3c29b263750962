package fleet

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// firstReplicaHost is the host number of the first replica's address in each zone.
const firstReplicaHost = 20

// Replica is one replica of a service, run by a stand-in.
type Replica struct {
	Name    string
	Zone    string
	Address string
	Type    ServiceType
	// Role of an engine at its first start.
	Role    enginecontract.Role
	Service Service
}

// Replicas returns the replicas of all services, by service and zone.
func (d Description) Replicas() []Replica {
	var replicas []Replica
	for _, service := range d.Services {
		for _, zone := range d.Zones {
			for number := range service.Replicas[zone.Name] {
				replica := Replica{
					Name: fmt.Sprintf("%s-%s-%d", service.Name, zone.Name, number+1), Zone: zone.Name, Type: service.Type,
					Address: d.address(zone.Subnet, firstReplicaHost+number, service.Port),
					Role:    enginecontract.RoleMixed, Service: service,
				}
				if len(service.Roles) > 0 {
					replica.Role = service.Roles[number%len(service.Roles)]
				}
				replicas = append(replicas, replica)
			}
		}
	}
	return replicas
}

// GatewayAddresses returns the IP:ports on which the gateways of a deployment listen, on
// the description's network.
func GatewayAddresses(deployment string, description Description) ([]string, error) {
	written, err := LoadDescription(deployment)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	paths, err := filepath.Glob(filepath.Join(deployment, settingsDirectory, string(RoleGateway)+"-*.yaml"))
	if err != nil || len(paths) == 0 {
		return nil, trace.BadParameter("%s/%s contains no settings files of gateways", deployment, settingsDirectory)
	}
	var addresses []string
	for _, path := range paths {
		loaded, err := settings.LoadGateway(settings.Source{Path: path})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		addresses = append(addresses, description.Network+strings.TrimPrefix(loaded.Listen, written.Network))
	}
	return addresses, nil
}
