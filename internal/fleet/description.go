package fleet

import (
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// networkBits is the prefix length of a fleet's network, which is the first two numbers of its addresses.
const networkBits = 16

// DescriptionFile is the file name of a deployment's fleet description.
const DescriptionFile = "fleet.yaml"

// Description is what hazelbench starts besides the controllers and gateways of a deployment.
type Description struct {
	Name string `yaml:"name" check:"required"`
	// Network is the first two numbers of every address, such as 127.41.
	Network      string       `yaml:"network" check:"required"`
	Zones        []Zone       `yaml:"zones" check:"required"`
	ClientSubnet int          `yaml:"client_subnet" check:"required"`
	Latency      Latency      `yaml:"latency"`
	Operator     Credential   `yaml:"operator"`
	Tenants      []Credential `yaml:"tenants"`
	MachineList  MachineList  `yaml:"machine_list"`
	WeightStore  WeightStore  `yaml:"weight_store"`
	Services     []Service    `yaml:"services" check:"required"`
	// Faults are injected once the fleet is ready.
	Faults []Fault `yaml:"faults"`
}

// Zone is a zone; its addresses are NETWORK.SUBNET.0 to 255.
type Zone struct {
	Name string `yaml:"name" check:"required"`
	// Subnet is the third number of the zone's addresses.
	Subnet int `yaml:"subnet" check:"required"`
}

// Latency is the one-way latency between zones, and between zones and clients.
type Latency struct {
	BetweenZones time.Duration `yaml:"between_zones" check:"not-negative"`
	ToClients    time.Duration `yaml:"to_clients" check:"not-negative"`
}

// Credential is a name with its API key, for use in hazelbench runs only.
type Credential struct {
	Name string `yaml:"name" check:"required"`
	Key  string `yaml:"key" check:"required"`
}

// MachineList configures the stand-in for the platform's machine list.
type MachineList struct {
	Address string        `yaml:"address" check:"required,address"`
	Lag     time.Duration `yaml:"lag"`
}

// WeightStore configures the stand-in for the weight store.
type WeightStore struct {
	Address        string           `yaml:"address" check:"required,address"`
	BytesPerSecond int              `yaml:"bytes_per_second" check:"required,positive"`
	MaxReaders     int              `yaml:"max_readers" check:"required,positive"`
	Weights        map[string]int64 `yaml:"weights"`
}

// ServiceType is the type of a service's stand-ins.
type ServiceType string

// Types of services.
const (
	TypeEngine ServiceType = "engine"
	TypePage   ServiceType = "page"
)

// Service is a group of replicas of one service.
type Service struct {
	Name    string      `yaml:"name" check:"required"`
	Type    ServiceType `yaml:"type" check:"required,one-of=engine|page"`
	Port    int         `yaml:"port" check:"required,positive"`
	Model   string      `yaml:"model"`
	Version string      `yaml:"version"`
	// Roles of the first start, assigned in turn within each zone.
	Roles []enginecontract.Role `yaml:"roles" check:"one-of=prefill|decode|mixed"`
	// ServiceTime is the time that a page service takes for a request.
	ServiceTime time.Duration `yaml:"service_time" check:"not-negative"`
	// Replicas is the number of replicas by zone.
	Replicas map[string]int `yaml:"replicas" check:"not-negative"`
	// Speed multiplies the speed of the engines' profile; 0 is 1.
	Speed float64 `yaml:"speed" check:"not-negative"`
	// RoleChange is the duration of an engine's role change; 0 is the profile's.
	RoleChange time.Duration `yaml:"role_change" check:"not-negative"`
	// LoadLag is the age of engines' load reports; 0 is the stand-in's default.
	LoadLag time.Duration `yaml:"load_lag" check:"not-negative"`
	// Faults that are set at every replica from its start.
	Faults []fault.Fault `yaml:"faults"`
}

// LoadDescription reads and checks the fleet description in a deployment's directory. If the
// file is invalid, the error holds yamlfile.Problems with file, line, key and remedy.
func LoadDescription(directory string) (Description, error) {
	path := filepath.Join(directory, DescriptionFile)
	if _, err := os.Stat(path); err != nil {
		return Description{}, trace.BadParameter("can't read the fleet description: %v; --deployment names a directory such as deploy/rawabi", err)
	}
	var description Description
	err := yamlfile.Load(yamlfile.Source{Path: path, CrossCheck: func(document *yamlfile.Document) {
		description.check(document)
	}}, &description)
	return description, trace.Wrap(err)
}

// OnNetwork returns the description with its addresses moved to another network.
func (d Description) OnNetwork(network string) Description {
	moved := d
	moved.Network = network
	moved.MachineList.Address = network + strings.TrimPrefix(d.MachineList.Address, d.Network)
	moved.WeightStore.Address = network + strings.TrimPrefix(d.WeightStore.Address, d.Network)
	return moved
}

// networkPrefix returns the network as a prefix. The description must have passed check.
func (d Description) networkPrefix() netip.Prefix {
	return netip.PrefixFrom(netip.MustParseAddr(d.Network+".0.0"), networkBits)
}

// address returns the IP:port of a host in a subnet.
func (d Description) address(subnet, host, port int) string {
	return d.Network + "." + strconv.Itoa(subnet) + "." + strconv.Itoa(host) + ":" + strconv.Itoa(port)
}

// ClientAddress returns the source IP of the fleet's clients.
func (d Description) ClientAddress() string {
	return d.Network + "." + strconv.Itoa(d.ClientSubnet) + ".1"
}
