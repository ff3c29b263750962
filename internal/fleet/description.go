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

// networkBits is the length of a network's prefix: its first two numbers.
const networkBits = 16

// DescriptionFile is the name of a deployment's fleet description.
const DescriptionFile = "fleet.yaml"

// Description is what the bench starts around a deployment's own processes.
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
	// Faults that happen once the fleet is ready.
	Faults []Fault `yaml:"faults"`
}

// Zone is one place; its addresses are NETWORK.SUBNET.0 to 255.
type Zone struct {
	Name string `yaml:"name" check:"required"`
	// Subnet is the third number of the zone's addresses.
	Subnet int `yaml:"subnet" check:"required"`
}

// Latency is the one-way latency between places.
type Latency struct {
	BetweenZones time.Duration `yaml:"between_zones" check:"not-negative"`
	ToClients    time.Duration `yaml:"to_clients" check:"not-negative"`
}

// Credential is a name with its key, for the bench alone.
type Credential struct {
	Name string `yaml:"name" check:"required"`
	Key  string `yaml:"key" check:"required"`
}

// MachineList is the stand-in of the platform's list.
type MachineList struct {
	Address string        `yaml:"address" check:"required,address"`
	Lag     time.Duration `yaml:"lag"`
}

// WeightStore is the stand-in of the weight store.
type WeightStore struct {
	Address        string           `yaml:"address" check:"required,address"`
	BytesPerSecond int              `yaml:"bytes_per_second" check:"required,positive"`
	MaxReaders     int              `yaml:"max_readers" check:"required,positive"`
	Weights        map[string]int64 `yaml:"weights"`
}

// ServiceType tells what stands in for a service.
type ServiceType string

// Types of services.
const (
	TypeEngine ServiceType = "engine"
	TypePage   ServiceType = "page"
)

// Service is a group of stand-ins.
type Service struct {
	Name    string      `yaml:"name" check:"required"`
	Type    ServiceType `yaml:"type" check:"required,one-of=engine|page"`
	Port    int         `yaml:"port" check:"required,positive"`
	Model   string      `yaml:"model"`
	Version string      `yaml:"version"`
	// Roles of the first start, in turn within each zone.
	Roles []enginecontract.Role `yaml:"roles" check:"one-of=prefill|decode|mixed"`
	// ServiceTime of a page service.
	ServiceTime time.Duration `yaml:"service_time" check:"not-negative"`
	// Replicas by zone.
	Replicas map[string]int `yaml:"replicas" check:"not-negative"`
	// Speed makes engines so many times as fast as their profile; 0 is 1.
	Speed float64 `yaml:"speed" check:"not-negative"`
	// RoleChange is the time of an engine's role change; 0 is the profile's.
	RoleChange time.Duration `yaml:"role_change" check:"not-negative"`
	// LoadLag is the age of engines' load reports; 0 is the stand-in's default.
	LoadLag time.Duration `yaml:"load_lag" check:"not-negative"`
	// Faults every replica starts with.
	Faults []fault.Fault `yaml:"faults"`
}

// LoadDescription reads and checks the description of a deployment's directory. The
// error holds yamlfile.Problems, with file, line, key and cure, when it is at fault.
func LoadDescription(directory string) (Description, error) {
	path := filepath.Join(directory, DescriptionFile)
	if _, err := os.Stat(path); err != nil {
		return Description{}, trace.BadParameter("can't read the fleet description: %v; --deployment names a directory such as deploy/rawabi", err)
	}
	var description Description
	err := yamlfile.Load(yamlfile.Source{Path: path, Together: func(document *yamlfile.Document) {
		description.check(document)
	}}, &description)
	return description, trace.Wrap(err)
}

// OnNetwork returns the description on another network.
func (d Description) OnNetwork(network string) Description {
	moved := d
	moved.Network = network
	moved.MachineList.Address = network + strings.TrimPrefix(d.MachineList.Address, d.Network)
	moved.WeightStore.Address = network + strings.TrimPrefix(d.WeightStore.Address, d.Network)
	return moved
}

// prefix is the network as a prefix; check has made sure that it is one.
func (d Description) prefix() netip.Prefix {
	return netip.PrefixFrom(netip.MustParseAddr(d.Network+".0.0"), networkBits)
}

// address is the IP:port of a host in a subnet.
func (d Description) address(subnet, host, port int) string {
	return d.Network + "." + strconv.Itoa(subnet) + "." + strconv.Itoa(host) + ":" + strconv.Itoa(port)
}

// ClientAddress is the IP that clients of the fleet call from.
func (d Description) ClientAddress() string {
	return d.Network + "." + strconv.Itoa(d.ClientSubnet) + ".1"
}
