package control

import (
	"maps"
	"slices"
	"strings"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/subsetting"
)

// toldPart chooses the back ends that relays are told of. Those that are left out get no work, so that
// what relays hold and are sent follows the work and not the number of back ends.
func (c *Core) toldPart(listed []*v1.ListedBackEnd) []*v1.ListedBackEnd {
	parts := map[string]subsetting.Subset{}
	for service, count := range openCounts(listed) {
		parts[service] = c.demandFor(service).part.Next(count, c.demandFor(service).Wanted())
	}
	return slices.DeleteFunc(slices.Clone(listed), func(backEnd *v1.ListedBackEnd) bool {
		return !parts[backEnd.GetService()].Contains(backEnd.GetAddress())
	})
}

// backEndDemand is how many back ends of a service relays are to know, and the part that has them.
type backEndDemand struct {
	subsetting.Demand
	part subsetting.Chooser
}

// demandFor follows what is wanted of a service's back ends.
func (c *Core) demandFor(service string) *backEndDemand {
	demand := c.listing.demands[service]
	if demand == nil {
		demand = &backEndDemand{}
		if c.listing.demands == nil {
			c.listing.demands = map[string]*backEndDemand{}
		}
		c.listing.demands[service] = demand
	}
	return demand
}

// wantedBackEnds is how many back ends of each listed service relays are to know for the work of now.
func (c *Core) wantedBackEnds(listed []*v1.ListedBackEnd) map[string]int {
	least := map[string]int{}
	for _, backEnd := range listed {
		service := backEnd.GetService()
		if _, known := least[service]; known {
			continue
		}
		least[service] = subsetting.MinWholeBackEnds
		if _, isEngine := stageOf(backEnd.GetRole()); isEngine {
			least[service] = subsetting.MinEngines
		}
	}
	wanted := make(map[string]int, len(least))
	for service, demand := range c.listing.demands {
		wanted[service] = demand.Wanted() // one that is not listed now is looked for
	}
	for service, count := range least {
		wanted[service] = c.demandFor(service).Next(c.now, count, c.serviceWork(service).busy())
	}
	return wanted
}

// adoptDemand takes what this leader's predecessor wanted, which knew the work, as a relay was told.
func (c *Core) adoptDemand(request *v1.WatchRequest) {
	if c.now-c.leadingSince >= relayCountAfter {
		return
	}
	grown := false
	for _, told := range request.GetWanted() {
		grown = c.demandFor(told.GetService()).Adopt(int(told.GetCount())) || grown
	}
	if grown && c.listing.read {
		c.listing.plan.lacking = true
		c.chooseTold()
		c.refreshListing()
	}
}

// chooseTold chooses what of the list relays are told.
func (c *Core) chooseTold() {
	former := len(c.listing.told)
	c.listing.told = c.toldPart(c.listing.raw)
	slices.SortFunc(c.listing.told, func(a, b *v1.ListedBackEnd) int { return strings.Compare(a.GetId(), b.GetId()) })
	c.news.fresh = c.news.fresh && len(c.listing.told) == former
}

// wantedRecords are what is wanted as relays are told of it, sorted by service.
func (c *Core) wantedRecords() []*v1.WantedBackEnds {
	services := slices.Sorted(maps.Keys(c.listing.demands))
	records := make([]*v1.WantedBackEnds, len(services))
	for index, service := range services {
		records[index] = &v1.WantedBackEnds{Service: service, Count: uint32(c.listing.demands[service].Wanted())}
	}
	return records
}
