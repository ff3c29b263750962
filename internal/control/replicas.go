package control

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/duty"
	"github.com/hazelpitch/hazelpitch/internal/replicaplan"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// OrderReplicas orders how many replicas a group has; ReplicasOrdered follows, or the loss of it.
type OrderReplicas struct {
	DutyCall
	Group   replicaplan.Group
	Desired int
	// Listed is how many the list showed, Work how many were busy of late.
	Listed int
	Work   float64
}

// ReplicaOrderFinished is what became of an order.
type ReplicaOrderFinished struct {
	Order   OrderReplicas
	Outcome duty.Outcome
}

func (OrderReplicas) isOutput()       {}
func (ReplicaOrderFinished) isInput() {}

const (
	// replicaInterval is the time between two looks at what is wanted.
	replicaInterval = 250 * time.Millisecond
	// maximumListingAge is the age of a list by which nothing is decided any more.
	maximumListingAge = 1500 * time.Millisecond
	// proposalRetryInterval is the wait before desired numbers that are not agreed on yet are proposed again.
	proposalRetryInterval = time.Second
)

// siteReplicas is what the leader does for the number of replicas.
type siteReplicas struct {
	dueAt time.Duration
	// number is that of the configuration that scalings were read from.
	number   uint64
	scalings map[string]replicaplan.Scaling
	services map[string]*serviceReplicas
}

// serviceReplicas is the work on one service.
type serviceReplicas struct {
	plan       *replicaplan.Plan
	orders     *replicaplan.Orders
	proposed   replicaplan.Desired
	proposedAt time.Duration
	// firstProposer tells that this leader was the firstProposer to propose desired numbers: nobody has ordered before it.
	firstProposer bool
}

func newSiteReplicas() siteReplicas {
	return siteReplicas{services: map[string]*serviceReplicas{}}
}

// tickReplicas decides how many replicas are desired, and orders what is agreed on. A leader that knows
// too little keeps what is there.
func (c *Core) tickReplicas() {
	if c.config.ReadConfiguration == nil || c.config.OnDemandShare >= 1 && !c.state.HasReplicaTargets() {
		return
	}
	if c.listing.version == 0 || c.now-c.listing.readAt > maximumListingAge {
		return
	}
	c.readScalings()
	plans := due(c.now, &c.replicas.dueAt, replicaInterval)
	for _, service := range sortedKeys(c.replicas.scalings) {
		if plans {
			c.planReplicas(service)
		}
		if work := c.replicas.services[service]; work != nil {
			c.orderReplicas(work, desiredOf(c.state.ReplicaTarget(service)), c.listedGroups(service))
		}
	}
}

// readScalings reads what the operator allows when the configuration has changed.
func (c *Core) readScalings() {
	document := c.state.Document()
	if document.GetNumber() == c.replicas.number {
		return
	}
	c.replicas.number = document.GetNumber()
	configuration, err := c.config.ReadConfiguration(document.GetContent())
	if err != nil {
		return // it was read when it was accepted: a later release's, which relays tell of
	}
	c.replicas.scalings = map[string]replicaplan.Scaling{}
	for _, service := range configuration.Services {
		if service.Scaling != nil && len(service.Scaling.ZonePrices) > 0 {
			c.replicas.scalings[service.Name] = c.scalingOf(service)
		}
	}
}

func (c *Core) scalingOf(service serving.Service) replicaplan.Scaling {
	return replicaplan.Scaling{
		OnDemandShare: c.config.OnDemandShare,
		Service:       service.Name, Min: service.Scaling.Min, Max: service.Scaling.Max, BootTime: service.Scaling.BootTime,
		SpotPrice: service.Scaling.SpotPrice, ZonePrices: service.Scaling.ZonePrices,
	}
}

// planReplicas desired for what the plan wants of a service, and orders what is agreed on.
func (c *Core) planReplicas(service string) {
	work := c.replicas.services[service]
	if work == nil {
		scaling := c.replicas.scalings[service]
		work = &serviceReplicas{plan: replicaplan.New(scaling), orders: replicaplan.NewOrders()}
		c.replicas.services[service] = work
	}
	work.plan.SetScaling(c.replicas.scalings[service])
	work.firstProposer = work.firstProposer || c.state.ReplicaTarget(service) == nil
	if !work.firstProposer && c.now-c.leadingSince < c.config.OrderWait {
		return // little is known yet
	}
	agreed := desiredOf(c.state.ReplicaTarget(service))
	listed := c.listedGroups(service)
	reported := c.serviceWork(service)
	wanted := work.plan.Next(c.now, replicaplan.Input{Listed: listed, Agreed: agreed, Work: reported.Prefill + reported.Decode})
	if !wanted.Equal(agreed) && (!wanted.Equal(work.proposed) || c.now-work.proposedAt >= proposalRetryInterval) {
		work.proposed, work.proposedAt = wanted, c.now
		c.proposeWithoutCall(&v1.Command{Body: &v1.Command_SetReplicas{SetReplicas: desiredRecord(service, wanted)}})
	}
}

// orderReplicas makes the calls that the list does not show yet.
func (c *Core) orderReplicas(work *serviceReplicas, agreed replicaplan.Desired, listed map[replicaplan.Group]replicaplan.ListedCounts) {
	for _, order := range work.orders.DueOrders(c.now, work.plan.BootTime(), agreed, listed) {
		subject := duty.Subject("replicas of " + order.Group.Service + " in " + order.Group.Zone)
		if !c.dutyCalls.MayCall(c.now, subject) || !work.firstProposer && c.now-c.leadingSince < c.config.OrderWait {
			continue
		}
		work.orders.RecordStart(c.now, order)
		c.emit(OrderReplicas{
			DutyCall: c.startDutyCall(subject), Group: order.Group, Desired: order.Desired, Listed: listed[order.Group].Ready + listed[order.Group].Changing, Work: work.plan.Work(),
		})
	}
}

// handleReplicaOrderFinished takes what became of an order. One that was declined although it asks for no
// more than there are was overtaken; otherwise there are none to be had.
func (c *Core) handleReplicaOrderFinished(received ReplicaOrderFinished) {
	order, outcome := received.Order, received.Outcome
	if !c.leading || order.Fence != c.leadingTerm {
		return
	}
	if outcome == duty.Declined && order.Desired <= order.Listed {
		outcome = duty.Superseded
	}
	c.finishDutyCall(order.DutyCall, outcome)
	if work := c.replicas.services[order.Group.Service]; work != nil {
		work.orders.RecordOutcome(c.now, replicaplan.Order{Group: order.Group, Desired: order.Desired}, outcome)
	}
}

// outgoingServices are those whose replicas that stay are about to be given up for cheap ones that are
// on their way.
func (c *Core) outgoingServices() map[string]bool {
	outgoing := map[string]bool{}
	for name, work := range c.replicas.services {
		listed := c.listedGroups(name)
		agreed := desiredOf(c.state.ReplicaTarget(name))
		outgoing[name] = work.plan.FinalOnDemand(agreed.Base) == 0 && work.orders.SpotsPending(agreed, listed)
	}
	return outgoing
}

// listedGroups counts the listed replicas of a service.
func (c *Core) listedGroups(service string) map[replicaplan.Group]replicaplan.ListedCounts {
	listed := map[replicaplan.Group]replicaplan.ListedCounts{}
	for _, backEnd := range c.listing.considered {
		if backEnd.GetService() != service {
			continue
		}
		group := replicaplan.Group{Service: service, Zone: backEnd.GetZone(), Spot: backEnd.GetSpot()}
		counted := listed[group]
		order, ordered := c.stages.orders[backEnd.GetId()]
		switch {
		case backEnd.GetLeaving():
			counted.Leaving++
		case ordered && !order.refused:
			counted.Changing++
		default:
			counted.Ready++
		}
		listed[group] = counted
	}
	return listed
}

// desiredOf reads desired from the log's record; nil is none.
func desiredOf(record *v1.SetReplicas) replicaplan.Desired {
	desired := replicaplan.Desired{Base: int(record.GetBase()), Counts: map[replicaplan.Group]int{}}
	for _, count := range record.GetCounts() {
		desired.Counts[replicaplan.Group{Service: record.GetService(), Zone: count.GetZone(), Spot: count.GetSpot()}] = int(count.GetCount())
	}
	return desired
}

// desiredRecord is the reverse of desiredOf.
func desiredRecord(service string, desired replicaplan.Desired) *v1.SetReplicas {
	record := &v1.SetReplicas{Service: service, Base: uint32(max(desired.Base, 0))}
	groups := make([]replicaplan.Group, 0, len(desired.Counts))
	for group := range desired.Counts {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, replicaplan.Group.Compare)
	for _, group := range groups {
		record.Counts = append(record.Counts, &v1.ReplicaCount{Zone: group.Zone, Spot: group.Spot, Count: uint32(max(desired.Counts[group], 0))})
	}
	return record
}
