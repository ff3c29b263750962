package replicaplan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Input holds the inputs of one decision of a Plan.
type Input struct {
	Listed map[Group]ListedCounts
	Agreed Desired
	// Work is the number of replicas that the requests keep busy; it is ignored until it is above 0.
	Work float64
}

// Plan plans the replicas of one service.
type Plan struct {
	scaling Scaling
	// listed is the last listed number of replicas per group, and listChangedAt when it last changed.
	listed        map[Group]int
	listChangedAt time.Duration
	// work is the smoothed number of replicas that the requests keep busy, last updated at workAt.
	work   float64
	workAt time.Duration
	// surplusSince maps each group of which fewer replicas are wanted than agreed to the time since when.
	surplusSince map[Group]time.Duration
}

// New returns the plan of a new leader.
func New(scaling Scaling) *Plan {
	return &Plan{scaling: scaling, surplusSince: map[Group]time.Duration{}}
}

// SetScaling sets what the operator permits.
func (p *Plan) SetScaling(scaling Scaling) { p.scaling = scaling }

// BootTime returns how long a new replica takes until it serves.
func (p *Plan) BootTime() time.Duration { return p.scaling.BootTime }

// Work returns the smoothed number of replicas that the requests keep busy.
func (p *Plan) Work() float64 { return p.work }

// Next returns the desired numbers, which usually are the agreed ones. Groups that need no change have no entry.
func (p *Plan) Next(now time.Duration, input Input) Desired {
	p.observe(now, input)
	if len(input.Agreed.Counts) == 0 && (!p.hasSpots() || p.scaling.OnDemandShare >= 1) {
		return input.Agreed // nothing is replaced, and the present replicas are the operator's choice
	}
	wanted := p.wanted(input)
	if wanted.Base == 0 {
		return input.Agreed // the list is still empty
	}
	for group, count := range wanted.Counts {
		agreed := input.Agreed.countOf(group, input.Listed[group])
		count = p.delayLowering(now, group, count, agreed)
		if _, named := input.Agreed.Counts[group]; !named && !group.Spot && (count == agreed || !p.isListSettled(now)) {
			delete(wanted.Counts, group) // it is left unchanged
			continue
		}
		wanted.Counts[group] = count
	}
	return wanted
}

// isListSettled reports whether the list has not changed for listSettleTime.
func (p *Plan) isListSettled(now time.Duration) bool { return now-p.listChangedAt >= listSettleTime }

// FinalOnDemand returns how many on-demand replicas are wanted once all spot replicas are present. base is the number
// of replicas that the operator started with.
func (p *Plan) FinalOnDemand(base int) int {
	zones := len(p.zones())
	if zones == 0 || !p.hasSpots() {
		return base
	}
	spots := p.targetTotal(base) - p.onDemandFloor(base)
	largest := (spots + zones - 1) / zones
	return max(p.neededAfterLoss(base)-(spots-largest), p.onDemandFloor(base))
}

// observe stores the listed numbers and smooths the work.
func (p *Plan) observe(now time.Duration, input Input) {
	listed := map[Group]int{}
	for group, counts := range input.Listed {
		listed[group] = counts.staying()
	}
	if p.listed == nil || !maps.Equal(p.listed, listed) {
		p.listed, p.listChangedAt = listed, now
	}
	timeConstant := workFallTime
	if input.Work > p.work {
		timeConstant = workRiseTime
	}
	weight := 1 - math.Exp(-(now-p.workAt).Seconds()/timeConstant.Seconds())
	p.work += weight * (input.Work - p.work)
	p.workAt = now
}

// wanted returns how many replicas are wanted now. delayLowering may delay a lower number.
func (p *Plan) wanted(input Input) Desired {
	desired := Desired{Base: max(input.Agreed.Base, p.onDemandListed(input)), Counts: map[Group]int{}}
	total := p.targetTotal(desired.Base)
	spots := p.spotCounts(total-p.onDemandFloor(desired.Base), input)
	usable, largest := 0, 0
	for zone, count := range spots {
		group := p.groupOf(zone, true)
		desired.Counts[group] = count
		usableInZone := min(p.usableCount(input.Listed[group]), count)
		usable += usableInZone
		largest = max(largest, usableInZone)
	}
	agreed := p.onDemandAgreed(input)
	onDemand := max(p.neededAfterLoss(desired.Base)-(usable-largest), p.onDemandFloor(desired.Base))
	if onDemand > agreed {
		onDemand = min((onDemand/onDemandStep+1)*onDemandStep, total)
	}
	onDemand = max(onDemand, min(desired.Base-usable, agreed))
	for zone, count := range p.onDemandCounts(onDemand, spots, input) {
		desired.Counts[p.groupOf(zone, false)] = count
	}
	return desired
}

// usableCount returns how many replicas of a group count as able to work. Replicas that change their role are
// unavailable for seconds, which matters only once there is work.
func (p *Plan) usableCount(listed ListedCounts) int {
	if p.work <= 0 {
		return listed.staying()
	}
	return listed.Ready
}

// onDemandAgreed returns the agreed number of on-demand replicas; without an agreement, those that are listed.
func (p *Plan) onDemandAgreed(input Input) int {
	sum := 0
	for _, zone := range p.zones() {
		group := p.groupOf(zone, false)
		sum += input.Agreed.countOf(group, input.Listed[group])
	}
	return sum
}

// onDemandListed returns the number of listed on-demand replicas that are not leaving. The operator has started those
// beyond the agreed number.
func (p *Plan) onDemandListed(input Input) int {
	sum := 0
	for _, zone := range p.zones() {
		sum += input.Listed[p.groupOf(zone, false)].staying()
	}
	return sum
}

// onDemandFloor returns how many on-demand replicas are always kept.
func (p *Plan) onDemandFloor(base int) int {
	if !p.hasSpots() {
		return base
	}
	return min(int(math.Ceil(float64(base)*p.scaling.OnDemandShare)), base)
}

// targetTotal returns how many replicas are wanted in all: the operator's initial number, or more if the work requires
// it, plus as many spot replicas as can be reclaimed at once.
func (p *Plan) targetTotal(base int) int {
	remaining := max(base, int(math.Ceil(p.work/targetUtilisation)))
	floor := p.onDemandFloor(base)
	if zones := len(p.zones()); p.hasSpots() && zones > 1 {
		return floor + ((remaining-floor)*zones+zones-2)/(zones-1)
	}
	return remaining
}

// neededAfterLoss returns how many replicas must remain after the largest group that can be reclaimed at once is lost.
func (p *Plan) neededAfterLoss(base int) int {
	if p.work <= 0 {
		return base * unknownWorkPercent / 100
	}
	return min(int(math.Ceil(p.work/maxUtilisation)), p.targetTotal(base))
}

// hasSpots reports whether spot replicas are offered at a lower price.
func (p *Plan) hasSpots() bool { return p.scaling.SpotPrice > 0 && p.scaling.SpotPrice < 1 }

// spotCounts spreads spot replicas evenly over the zones, as far as there is room beside the on-demand ones.
func (p *Plan) spotCounts(total int, input Input) map[string]int {
	counts := map[string]int{}
	zones := p.zones()
	for index, zone := range zones {
		if !p.hasSpots() {
			counts[zone] = 0
			continue
		}
		share := total / len(zones)
		if index < total%len(zones) {
			share++
		}
		onDemand := p.groupOf(zone, false)
		room := p.scaling.Max - max(input.Agreed.countOf(onDemand, input.Listed[onDemand]), input.Listed[onDemand].staying())
		counts[zone] = max(min(share, room), min(share, input.Agreed.Counts[p.groupOf(zone, true)]))
	}
	return counts
}

// onDemandCounts spreads on-demand replicas over the zones. Agreed ones stay in their zone, and are reduced to an even
// number per zone if there are too many. Further ones go to the cheapest zones, at most half of all into one zone while
// others have room. Zones without spot replicas keep at least the operator's minimum.
func (p *Plan) onDemandCounts(count int, spots map[string]int, input Input) map[string]int {
	zones := p.zones()
	slices.SortStableFunc(zones, func(a, b string) int { return cmp.Compare(p.scaling.ZonePrices[a], p.scaling.ZonePrices[b]) })
	counts := map[string]int{}
	remaining := count
	even := (count + len(zones) - 1) / max(len(zones), 1)
	for _, limit := range []int{even, p.scaling.Max} {
		for _, zone := range zones {
			group := p.groupOf(zone, false)
			assigned := max(min(input.Agreed.countOf(group, input.Listed[group]), limit, counts[zone]+remaining), counts[zone])
			remaining -= assigned - counts[zone]
			counts[zone] = assigned
		}
	}
	for _, limit := range []int{(count + 1) / 2, p.scaling.Max} {
		for _, zone := range zones {
			added := max(min(remaining, limit-counts[zone], p.scaling.Max-spots[zone]-counts[zone]), 0)
			counts[zone] += added
			remaining -= added
		}
	}
	for _, zone := range zones {
		if spots[zone] == 0 {
			counts[zone] = max(counts[zone], p.scaling.Min)
		}
	}
	return counts
}

// delayLowering keeps a group's agreed number until fewer have been wanted for a while and the list has settled.
func (p *Plan) delayLowering(now time.Duration, group Group, wanted, agreed int) int {
	if wanted >= agreed {
		delete(p.surplusSince, group)
		return wanted
	}
	since, known := p.surplusSince[group]
	if !known {
		since = now
		p.surplusSince[group] = now
	}
	delay := onDemandLowerDelay
	if group.Spot {
		delay = spotLowerDelay
	}
	if now-since < delay || !p.isListSettled(now) {
		return agreed
	}
	return wanted
}

func (p *Plan) groupOf(zone string, spot bool) Group {
	return Group{Service: p.scaling.Service, Zone: zone, Spot: spot}
}

// zones returns the zones in which replicas may run, sorted.
func (p *Plan) zones() []string { return slices.Sorted(maps.Keys(p.scaling.ZonePrices)) }
