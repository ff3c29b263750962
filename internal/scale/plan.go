package scale

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Bounds of a plan: what the address layout and one machine hold.
const (
	MaximumNodes       = 2000
	MaximumReplicas    = 4000
	MaximumTenants     = 100_000
	MaximumZones       = 60
	MaximumControllers = 9
	MaximumStandbys    = 8
	// replicasPerModel is the least number of engines that one model gets.
	replicasPerModel = 5
)

// Plan says how large a fleet is and how far its places are from each other.
type Plan struct {
	Nodes       int `json:"nodes"`
	Replicas    int `json:"replicas"`
	Tenants     int `json:"tenants"`
	Zones       int `json:"zones"`
	Regions     int `json:"regions"`
	Controllers int `json:"controllers"` // voters
	Standbys    int `json:"standbys"`    // learners
	// Models is the number of models, each with a service of its own.
	Models int `json:"models"`
	// ZoneLatency and RegionLatency are one-way, between zones of a region and between
	// regions.
	ZoneLatency   time.Duration `json:"zone_latency"`
	RegionLatency time.Duration `json:"region_latency"`
	// Network is the first two numbers of the addresses; empty takes a free one.
	Network string `json:"network"`
	// Seed of the traffic.
	Seed uint64 `json:"seed"`
}

// Check refuses plans that cannot be laid out, and caps the models.
func (p *Plan) Check() error {
	switch {
	case p.Nodes < 1 || p.Nodes > MaximumNodes:
		return trace.BadParameter("nodes must be 1 to %d, not %d", MaximumNodes, p.Nodes)
	case p.Replicas < 1 || p.Replicas > MaximumReplicas:
		return trace.BadParameter("replicas must be 1 to %d, not %d", MaximumReplicas, p.Replicas)
	case p.Tenants < 1 || p.Tenants > MaximumTenants:
		return trace.BadParameter("tenants must be 1 to %d, not %d", MaximumTenants, p.Tenants)
	case p.Zones < 1 || p.Zones > MaximumZones:
		return trace.BadParameter("zones must be 1 to %d, not %d", MaximumZones, p.Zones)
	case p.Regions < 1 || p.Regions > p.Zones:
		return trace.BadParameter("regions must be 1 to the %d zones, not %d", p.Zones, p.Regions)
	case p.Controllers < 1 || p.Controllers > MaximumControllers:
		return trace.BadParameter("controllers must be 1 to %d, not %d", MaximumControllers, p.Controllers)
	case p.Standbys < 0 || p.Standbys > MaximumStandbys:
		return trace.BadParameter("standbys must be 0 to %d, not %d", MaximumStandbys, p.Standbys)
	}
	p.Models = max(min(p.Models, p.Replicas/replicasPerModel), 1)
	return nil
}

const zonePrefix = "zone-"

// ZoneName is the name of a zone by its number from 0.
func ZoneName(zone int) string { return fmt.Sprintf(zonePrefix+"%02d", zone) }

// zoneNumber is the number of a zone's name.
func zoneNumber(name string) int {
	number, err := strconv.Atoi(strings.TrimPrefix(name, zonePrefix))
	if err != nil {
		return -1
	}
	return number
}

// NodeName is the name of a gateway by its number from 0.
func NodeName(node int) string { return fmt.Sprintf("node-%04d", node) }

// ReplicaName is the name of an engine by its number from 0.
func ReplicaName(replica int) string { return fmt.Sprintf("engine-%04d", replica) }

// ControllerName is the name of a controller; standbys follow the voters.
func ControllerName(controller int) string { return fmt.Sprintf("controller-%d", controller) }

// NodeZone is the zone of a gateway; nodes take turns over the zones.
func (p Plan) NodeZone(node int) int { return node % p.Zones }

// ReplicaZone is the zone of an engine.
func (p Plan) ReplicaZone(replica int) int { return replica / p.Models % p.Zones }

// ControllerZone is the zone of a controller: the regions take turns.
func (p Plan) ControllerZone(controller int) int {
	region, turn := controller%p.Regions, controller/p.Regions
	zones := p.RegionZones(region)
	return zones[turn%len(zones)]
}

// Region is the region of a zone; zones take turns over the regions.
func (p Plan) Region(zone int) int { return zone % p.Regions }

// RegionZones lists the zones of a region.
func (p Plan) RegionZones(region int) []int {
	var zones []int
	for zone := range p.Zones {
		if p.Region(zone) == region {
			zones = append(zones, zone)
		}
	}
	return zones
}

// Hosts of a zone's addresses: the last number of the address.
const (
	controllerHost  = 10
	firstNodeHost   = 20
	nodeHosts       = 60
	firstEngineHost = 100
	engineHosts     = 100
	machineListHost = 5
	callPort        = 7400
	adminPort       = 7401
	firstEnginePort = 8000
)

func (p Plan) host(zone, host int) string {
	return fmt.Sprintf("%s.%d.%d", p.Network, zone+1, host)
}

// ControllerAddress is where a controller answers, ControllerAdmin its admin side.
func (p Plan) ControllerAddress(controller int) string {
	return fmt.Sprintf("%s:%d", p.host(p.ControllerZone(controller), controllerHost+controller), callPort)
}

// ControllerAdmin is the address of a controller's admin side.
func (p Plan) ControllerAdmin(controller int) string {
	return fmt.Sprintf("%s:%d", p.host(p.ControllerZone(controller), controllerHost+controller), adminPort)
}

func (p Plan) nodeSource(node int) string {
	return p.host(p.NodeZone(node), firstNodeHost+node/p.Zones%nodeHosts)
}

func (p Plan) replicaAddress(replica int) string {
	turn := replica / p.Models / p.Zones * p.Models
	turn += replica % p.Models
	return fmt.Sprintf("%s:%d", p.host(p.ReplicaZone(replica), firstEngineHost+turn%engineHosts), firstEnginePort+turn/engineHosts)
}

func (p Plan) machineListAddress() string {
	return fmt.Sprintf("%s:%d", p.host(0, machineListHost), callPort)
}

// zoneLatencies are the latencies from a zone to the others, by name.
func (p Plan) zoneLatencies(zone int) map[string]time.Duration {
	latencies := map[string]time.Duration{}
	for other := range p.Zones {
		if other != zone {
			latencies[ZoneName(other)] = p.latency(zone, other)
		}
	}
	return latencies
}

// zoneOf is the zone of an address; false for addresses outside the fleet's zones.
func (p Plan) zoneOf(address netip.Addr) (int, bool) {
	if !address.Is4() {
		return 0, false
	}
	zone := int(address.As4()[2]) - 1
	return zone, zone >= 0 && zone < p.Zones
}

// latency is one-way between two zones.
func (p Plan) latency(one, other int) time.Duration {
	switch {
	case one == other:
		return 0
	case p.Region(one) == p.Region(other):
		return p.ZoneLatency
	default:
		return p.RegionLatency
	}
}
