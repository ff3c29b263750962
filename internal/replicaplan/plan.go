package replicaplan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Input is what a plan goes by.
type Input struct {
	Listed map[Group]ListedCounts
	Agreed Desired
	// Work is how many replicas the requests keep busy; it counts once it is above 0.
	Work float64
}

// Plan follows one service.
type Plan struct {
	scaling Scaling
	// listed is how many replicas were listed last, and changedAt when that changed.
	listed    map[Group]int
	changedAt time.Duration
	// work is the work of late, smoothed, as of workAt.
	work   float64
	workAt time.Duration
	// surplusSince are the groups of which fewer are wanted than are agreed on, and since when.
	surplusSince map[Group]time.Duration
}

// New returns the plan of a leader that begins.
func New(scaling Scaling) *Plan {
	return &Plan{scaling: scaling, surplusSince: map[Group]time.Duration{}}
}

// SetScaling takes what the operator allows now.
func (p *Plan) SetScaling(scaling Scaling) { p.scaling = scaling }

// BootTime is how long a new replica takes until it serves.
func (p *Plan) BootTime() time.Duration { return p.scaling.BootTime }

// Work is how many replicas the requests of late kept busy.
func (p *Plan) Work() float64 { return p.work }

// Next returns the numbers desired, which are the agreed ones most of the time. Groups that need no
// change are not named.
func (p *Plan) Next(now time.Duration, seen Input) Desired {
	p.observe(now, seen)
	if len(seen.Agreed.Counts) == 0 && (!p.hasSpots() || p.scaling.OnDemandShare >= 1) {
		return seen.Agreed // nothing is to be replaced, and what is there is the operator's choice
	}
	wanted := p.wanted(seen)
	if wanted.Base == 0 {
		return seen.Agreed // nothing is listed yet
	}
	for group, count := range wanted.Counts {
		agreed := seen.Agreed.of(group, seen.Listed[group])
		count = p.settled(now, group, count, agreed)
		if _, named := seen.Agreed.Counts[group]; !named && !group.Spot && (count == agreed || !p.listSettled(now)) {
			delete(wanted.Counts, group) // it is left as it is
			continue
		}
		wanted.Counts[group] = count
	}
	return wanted
}

// listSettled reports whether the list has shown the same for a while.
func (p *Plan) listSettled(now time.Duration) bool { return now-p.changedAt >= listSettles }

// FinalOnDemand is how many replicas on demand are wanted beside spot replicas, once all of
// those are there.
func (p *Plan) FinalOnDemand(base int) int {
	zones := len(p.zones())
	if zones == 0 || !p.hasSpots() {
		return base
	}
	spots := p.total(base) - p.floor(base)
	largest := (spots + zones - 1) / zones
	return max(p.needed(base)-(spots-largest), p.floor(base))
}

// observe remembers what was listed last, and smooths the work.
func (p *Plan) observe(now time.Duration, seen Input) {
	listed := map[Group]int{}
	for group, counted := range seen.Listed {
		listed[group] = counted.staying()
	}
	if p.listed == nil || !maps.Equal(p.listed, listed) {
		p.listed, p.changedAt = listed, now
	}
	memory := workMemory
	if seen.Work > p.work {
		memory = workRise
	}
	weight := 1 - math.Exp(-(now-p.workAt).Seconds()/memory.Seconds())
	p.work += weight * (seen.Work - p.work)
	p.workAt = now
}

// wanted is how many replicas are wanted now, before any lowering is put off.
func (p *Plan) wanted(seen Input) Desired {
	desired := Desired{Base: max(seen.Agreed.Base, p.onDemandListed(seen)), Counts: map[Group]int{}}
	total := p.total(desired.Base)
	spots := p.spots(total-p.floor(desired.Base), seen)
	usable, largest := 0, 0
	for zone, count := range spots {
		group := p.group(zone, true)
		desired.Counts[group] = count
		held := min(p.usable(seen.Listed[group]), count)
		usable += held
		largest = max(largest, held)
	}
	agreed := p.onDemandAgreed(seen)
	onDemand := max(p.needed(desired.Base)-(usable-largest), p.floor(desired.Base))
	if onDemand > agreed {
		onDemand = min((onDemand/onDemandStep+1)*onDemandStep, total)
	}
	onDemand = max(onDemand, min(desired.Base-usable, agreed))
	for zone, count := range p.spread(onDemand, spots, seen) {
		desired.Counts[p.group(zone, false)] = count
	}
	return desired
}

// usable is how many replicas of a group count as able to work. Those that change their part are away
// for seconds, which matters only once there is work.
func (p *Plan) usable(listed ListedCounts) int {
	if p.work <= 0 {
		return listed.staying()
	}
	return listed.Ready
}

// onDemandAgreed is how many replicas on demand are agreed on, or there where none were ordered.
func (p *Plan) onDemandAgreed(seen Input) int {
	sum := 0
	for _, zone := range p.zones() {
		group := p.group(zone, false)
		sum += seen.Agreed.of(group, seen.Listed[group])
	}
	return sum
}

// onDemandListed is how many replicas on demand are listed. More than were agreed on are the operator's.
func (p *Plan) onDemandListed(seen Input) int {
	sum := 0
	for _, zone := range p.zones() {
		sum += seen.Listed[p.group(zone, false)].staying()
	}
	return sum
}

// floor is how many replicas on demand are always kept.
func (p *Plan) floor(base int) int {
	if !p.hasSpots() {
		return base
	}
	return min(int(math.Ceil(float64(base)*p.scaling.OnDemandShare)), base)
}

// total is how many replicas are wanted in all: those that the operator began with, or more for the
// work, and as many more spot replicas as can be taken at once.
func (p *Plan) total(base int) int {
	left := max(base, int(math.Ceil(p.work/goodUse)))
	floor := p.floor(base)
	if zones := len(p.zones()); p.hasSpots() && zones > 1 {
		return floor + ((left-floor)*zones+zones-2)/(zones-1)
	}
	return left
}

// needed is how many replicas must be left after the largest part that can be taken at once is gone.
func (p *Plan) needed(base int) int {
	if p.work <= 0 {
		return base * unknownShare / 100
	}
	return min(int(math.Ceil(p.work/worstUse)), p.total(base))
}

// hasSpots reports whether spot replicas are to be had: cheap ones that may be taken away.
func (p *Plan) hasSpots() bool { return p.scaling.SpotPrice > 0 && p.scaling.SpotPrice < 1 }

// spots spreads spot replicas evenly over the zones, as far as there is room beside those on demand.
func (p *Plan) spots(total int, seen Input) map[string]int {
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
		onDemand := p.group(zone, false)
		room := p.scaling.Max - max(seen.Agreed.of(onDemand, seen.Listed[onDemand]), seen.Listed[onDemand].staying())
		counts[zone] = max(min(share, room), min(share, seen.Agreed.Counts[p.group(zone, true)]))
	}
	return counts
}

// spread spreads replicas on demand over the zones. Those that are agreed on stay where they are, evenly
// where they are too many; further ones go where they are cheapest, no more than half of
// all into one zone while others have room. Zones without any keep the least that the operator allows.
func (p *Plan) spread(count int, spots map[string]int, seen Input) map[string]int {
	zones := p.zones()
	slices.SortStableFunc(zones, func(a, b string) int { return cmp.Compare(p.scaling.ZonePrices[a], p.scaling.ZonePrices[b]) })
	counts := map[string]int{}
	left := count
	even := (count + len(zones) - 1) / max(len(zones), 1)
	for _, limit := range []int{even, p.scaling.Max} {
		for _, zone := range zones {
			group := p.group(zone, false)
			kept := max(min(seen.Agreed.of(group, seen.Listed[group]), limit, counts[zone]+left), counts[zone])
			left -= kept - counts[zone]
			counts[zone] = kept
		}
	}
	for _, limit := range []int{(count + 1) / 2, p.scaling.Max} {
		for _, zone := range zones {
			added := max(min(left, limit-counts[zone], p.scaling.Max-spots[zone]-counts[zone]), 0)
			counts[zone] += added
			left -= added
		}
	}
	for _, zone := range zones {
		if spots[zone] == 0 {
			counts[zone] = max(counts[zone], p.scaling.Min)
		}
	}
	return counts
}

// settled puts off lowering a group until it has been wanted for a while and the list has settled.
func (p *Plan) settled(now time.Duration, group Group, wanted, agreed int) int {
	if wanted >= agreed {
		delete(p.surplusSince, group)
		return wanted
	}
	since, known := p.surplusSince[group]
	if !known {
		since = now
		p.surplusSince[group] = now
	}
	patience := lowerAfter
	if group.Spot {
		patience = lowerSpotsAfter
	}
	if now-since < patience || !p.listSettled(now) {
		return agreed
	}
	return wanted
}

func (p *Plan) group(zone string, spot bool) Group {
	return Group{Service: p.scaling.Service, Zone: zone, Spot: spot}
}

// zones are those in which replicas may be, sorted.
func (p *Plan) zones() []string { return slices.Sorted(maps.Keys(p.scaling.ZonePrices)) }
