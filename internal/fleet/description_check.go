package fleet

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// Subnets that zones may have.
const (
	minSubnet = 1
	maxSubnet = 254
)

// check reports keys that are valid one by one but not in combination.
func (d Description) check(document *yamlfile.Document) {
	d.checkNetwork(document)
	zones := map[string]bool{}
	for index, zone := range d.Zones {
		if zone.Subnet < minSubnet || zone.Subnet > maxSubnet || zone.Subnet == d.ClientSubnet {
			document.Report(fmt.Sprintf("zones[%d].subnet", index), fmt.Sprintf("%d is no subnet for a zone", zone.Subnet),
				fmt.Sprintf("write a number from %d to %d other than client_subnet", minSubnet, maxSubnet))
		}
		zones[zone.Name] = true
	}
	for index, service := range d.Services {
		for zone := range service.Replicas {
			if !zones[zone] {
				document.Report(fmt.Sprintf("services[%d].replicas.%s", index, zone), "is not one of the zones", "name a zone of this file")
			}
		}
	}
	for index, fault := range d.Faults {
		fault.check(document, fmt.Sprintf("faults[%d]", index), zones)
	}
}

func (d Description) checkNetwork(document *yamlfile.Document) {
	if _, err := netip.ParseAddr(d.Network + ".0.1"); err != nil || !strings.HasPrefix(d.Network, "127.") {
		document.Report("network", fmt.Sprintf("%q is no loopback network", d.Network), `write its first two numbers in quotes, such as "127.41"`)
		return
	}
	for key, address := range map[string]string{"machine_list.address": d.MachineList.Address, "weight_store.address": d.WeightStore.Address} {
		if !strings.HasPrefix(address, d.Network+".") {
			document.Report(key, fmt.Sprintf("%q is not on network %q", address, d.Network), "let it begin with the network's numbers")
		}
	}
}
