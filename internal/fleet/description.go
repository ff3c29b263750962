package fleet

import (
	"bytes"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// networkBits is the length of a network's prefix: its first two numbers.
const networkBits = 16

// DescriptionFile is the name of a deployment's fleet description.
const DescriptionFile = "fleet.yaml"

// Description is what the bench starts around a deployment's own processes.
type Description struct {
	Name string `yaml:"name"`
	// Network is the first two numbers of every address, such as 127.41.
	Network      string       `yaml:"network"`
	Zones        []Zone       `yaml:"zones"`
	ClientSubnet int          `yaml:"client_subnet"`
	Latency      Latency      `yaml:"latency"`
	Operator     Credential   `yaml:"operator"`
	Tenants      []Credential `yaml:"tenants"`
	MachineList  MachineList  `yaml:"machine_list"`
	WeightStore  WeightStore  `yaml:"weight_store"`
	Services     []Service    `yaml:"services"`
	// Faults that happen once the fleet is ready.
	Faults []Fault `yaml:"faults"`
}

// Zone is one place; its addresses are NETWORK.SUBNET.0 to 255.
type Zone struct {
	Name   string `yaml:"name"`
	Subnet int    `yaml:"subnet"`
}

// Latency is the one-way latency between places.
type Latency struct {
	BetweenZones time.Duration `yaml:"between_zones"`
	ToClients    time.Duration `yaml:"to_clients"`
}

// Credential is a name with its key, for the bench alone.
type Credential struct {
	Name string `yaml:"name"`
	Key  string `yaml:"key"`
}

// MachineList is the stand-in of the platform's list.
type MachineList struct {
	Address string        `yaml:"address"`
	Lag     time.Duration `yaml:"lag"`
}

// WeightStore is the stand-in of the weight store.
type WeightStore struct {
	Address        string           `yaml:"address"`
	BytesPerSecond int              `yaml:"bytes_per_second"`
	MaxReaders     int              `yaml:"max_readers"`
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
	Name    string      `yaml:"name"`
	Type    ServiceType `yaml:"type"`
	Port    int         `yaml:"port"`
	Model   string      `yaml:"model"`
	Version string      `yaml:"version"`
	// Roles of the first start, in turn within each zone.
	Roles []enginecontract.Role `yaml:"roles"`
	// ServiceTime of a page service.
	ServiceTime time.Duration `yaml:"service_time"`
	// Replicas by zone.
	Replicas map[string]int `yaml:"replicas"`
	// Speed makes engines so many times as fast as their profile; 0 is 1.
	Speed float64 `yaml:"speed"`
	// RoleChange is the time of an engine's role change; 0 is the profile's.
	RoleChange time.Duration `yaml:"role_change"`
	// LoadLag is the age of engines' load reports; 0 is the stand-in's default.
	LoadLag time.Duration `yaml:"load_lag"`
	// Faults every replica starts with.
	Faults []fault.Fault `yaml:"faults"`
}

// LoadDescription reads and checks the description of a deployment's directory.
func LoadDescription(directory string) (Description, error) {
	path := filepath.Join(directory, DescriptionFile)
	text, err := os.ReadFile(path)
	if err != nil {
		return Description{}, trace.BadParameter("can't read the fleet description: %v; --deployment names a directory such as deploy/rawabi", err)
	}
	var description Description
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&description); err != nil {
		return Description{}, trace.BadParameter("%s: %v", path, err)
	}
	return description, trace.Wrap(description.check(), path)
}

func (d Description) check() error {
	if _, err := netip.ParseAddr(d.Network + ".0.1"); err != nil || !strings.HasPrefix(d.Network, "127.") {
		return trace.BadParameter("network %q: write the first two numbers of a loopback network, such as 127.41", d.Network)
	}
	for _, address := range []string{d.MachineList.Address, d.WeightStore.Address} {
		if !strings.HasPrefix(address, d.Network+".") {
			return trace.BadParameter("address %q is not on network %q: the network needs quotes, and every address its numbers", address, d.Network)
		}
	}
	zones := map[string]bool{}
	for _, zone := range d.Zones {
		if zone.Subnet < 1 || zone.Subnet > 254 || zone.Subnet == d.ClientSubnet {
			return trace.BadParameter("zone %s: subnet %d must be from 1 to 254 and not the clients'", zone.Name, zone.Subnet)
		}
		zones[zone.Name] = true
	}
	for _, fault := range d.Faults {
		if err := fault.check(); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, service := range d.Services {
		if service.Type != TypeEngine && service.Type != TypePage {
			return trace.BadParameter("service %s: type %q is not engine or page", service.Name, service.Type)
		}
		if service.Speed < 0 {
			return trace.BadParameter("service %s: speed must not be negative", service.Name)
		}
		if service.RoleChange < 0 || service.LoadLag < 0 {
			return trace.BadParameter("service %s: role_change and load_lag must not be negative", service.Name)
		}
		for zone := range service.Replicas {
			if !zones[zone] {
				return trace.BadParameter("service %s: zone %q is not one of the zones", service.Name, zone)
			}
		}
	}
	return nil
}

// On returns the description on another network.
func (d Description) On(network string) Description {
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
