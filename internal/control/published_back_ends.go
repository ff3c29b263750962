package control

import (
	"maps"
	"slices"
	"strings"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/subsetting"
)

// publishedPart returns the listed back ends that are sent to relays. The other back ends get no work, so that
// what relays hold and receive grows with the work and not with the number of back ends.
func (c *Core) publishedPart(listed []*v1.ListedBackEnd) []*v1.ListedBackEnd {
	parts := map[string]subsetting.Subset{}
	for service, count := range countOpenBackEnds(listed) {
		parts[service] = c.demandFor(service).part.Next(count, c.demandFor(service).Wanted())
	}
	return slices.DeleteFunc(slices.Clone(listed), func(backEnd *v1.ListedBackEnd) bool {
		return !parts[backEnd.GetService()].Contains(backEnd.GetAddress())
	})
}

// backEndDemand is the number of back ends of a service that relays need to know, and the choice of these back ends.
type backEndDemand struct {
	subsetting.Demand
	part subsetting.Chooser
}

// demandFor returns the demand record of a service and creates it if necessary.
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

// requiredBackEnds returns, by service, the number of back ends that relays need to know for the current work.
func (c *Core) requiredBackEnds(listed []*v1.ListedBackEnd) map[string]int {
	minimum := map[string]int{}
	for _, backEnd := range listed {
		service := backEnd.GetService()
		if _, known := minimum[service]; known {
			continue
		}
		minimum[service] = subsetting.MinWholeBackEnds
		if _, isEngine := stageOf(backEnd.GetRole()); isEngine {
			minimum[service] = subsetting.MinEngines
		}
	}
	required := make(map[string]int, len(minimum))
	for service, demand := range c.listing.demands {
		required[service] = demand.Wanted() // services that are not listed now stay required, so that partial reads look for them
	}
	for service, count := range minimum {
		required[service] = c.demandFor(service).Next(c.now, count, c.serviceWork(service).busy())
	}
	return required
}

// adoptDemand adopts the required numbers of back ends that the previous leader sent to a relay and the relay reports here:
// unlike a new leader, the previous one knew the work. It has an effect only within relayCountDelay after this leader has
// started to lead.
func (c *Core) adoptDemand(request *v1.WatchRequest) {
	if c.now-c.leadingSince >= relayCountDelay {
		return
	}
	grown := false
	for _, wanted := range request.GetWanted() {
		grown = c.demandFor(wanted.GetService()).Adopt(int(wanted.GetCount())) || grown
	}
	if grown && c.listing.isPublished {
		c.listing.plan.insufficient = true
		c.choosePublished()
		c.refreshListing()
	}
}

// choosePublished chooses the back ends that are published to relays.
func (c *Core) choosePublished() {
	former := len(c.listing.published)
	c.listing.published = c.publishedPart(c.withRecordedVersions(c.listing.considered))
	slices.SortFunc(c.listing.published, func(a, b *v1.ListedBackEnd) int { return strings.Compare(a.GetId(), b.GetId()) })
	c.updates.relayListFresh = c.updates.relayListFresh && len(c.listing.published) == former
	c.stages.speeds.listed = nil
}

// requiredBackEndRecords returns the required numbers of back ends as sent to relays, sorted by service.
func (c *Core) requiredBackEndRecords() []*v1.WantedBackEnds {
	services := slices.Sorted(maps.Keys(c.listing.demands))
	records := make([]*v1.WantedBackEnds, len(services))
	for index, service := range services {
		records[index] = &v1.WantedBackEnds{Service: service, Count: uint32(c.listing.demands[service].Wanted())}
	}
	return records
}
