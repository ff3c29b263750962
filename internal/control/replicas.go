package control

import (
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/duty"
	"github.com/hazelpitch/hazelpitch/internal/replicaplan"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// OrderReplicas orders a number of replicas for a group; ReplicaOrderFinished follows, also when the answer is lost.
type OrderReplicas struct {
	DutyCall
	Group   replicaplan.Group
	Desired int
	// Listed is the number of replicas on the list; Work is the number that were recently busy.
	Listed int
	Work   float64
}

// ReplicaOrderFinished is the result of OrderReplicas.
type ReplicaOrderFinished struct {
	Order   OrderReplicas
	Outcome duty.Outcome
}

func (OrderReplicas) isOutput()       {}
func (ReplicaOrderFinished) isInput() {}

const (
	// replicaInterval is the time between two plans of the number of replicas.
	replicaInterval = 250 * time.Millisecond
	// maximumListingAge is the age of the list of back ends above which no replicas are planned or ordered.
	maximumListingAge = 1500 * time.Millisecond
	// proposalRetryInterval is the wait before desired numbers that are not agreed on yet are proposed again.
	proposalRetryInterval = time.Second
)

// siteReplicas holds the leader's plans and orders of replicas for all services.
type siteReplicas struct {
	dueAt time.Duration
	// number is the number of the configuration document from which scalings were read.
	number   uint64
	scalings map[string]replicaplan.Scaling
	services map[string]*serviceReplicas
}

// serviceReplicas holds the leader's plan and orders of replicas for one service.
type serviceReplicas struct {
	plan       *replicaplan.Plan
	orders     *replicaplan.Orders
	proposed   replicaplan.Desired
	proposedAt time.Duration
	// firstProposer is true if no numbers of replicas had been agreed on when this leader first planned, so that no
	// earlier leader can have ordered any.
	firstProposer bool
}

func newSiteReplicas() siteReplicas {
	return siteReplicas{services: map[string]*serviceReplicas{}}
}

// tickReplicas plans the desired numbers of replicas, and orders those that are agreed on. A leader whose list is
// missing or too old changes nothing.
func (c *Core) tickReplicas() {
	if c.config.ReadServices == nil || c.config.OnDemandShare >= 1 && !c.state.HasReplicaTargets() {
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

// readScalings reads the services' scaling limits when the configuration has changed.
func (c *Core) readScalings() {
	document := c.state.Document()
	if document.GetNumber() == c.replicas.number {
		return
	}
	c.replicas.number = document.GetNumber()
	services, err := c.config.ReadServices(document.GetContent())
	if err != nil {
		return // the document was valid when it was accepted, so a later release wrote it; relays report that
	}
	c.replicas.scalings = map[string]replicaplan.Scaling{}
	for _, service := range services {
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

// planReplicas proposes the desired numbers of replicas of a service when they differ from the agreed ones.
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
		return // this new leader knows too little about the relays' work yet
	}
	agreed := desiredOf(c.state.ReplicaTarget(service))
	listed := c.listedGroups(service)
	reported := c.serviceWork(service)
	desired := work.plan.Next(c.now, replicaplan.Input{Listed: listed, Agreed: agreed, Work: reported.Prefill + reported.Decode})
	if !desired.Equal(agreed) && (!desired.Equal(work.proposed) || c.now-work.proposedAt >= proposalRetryInterval) {
		work.proposed, work.proposedAt = desired, c.now
		c.proposeWithoutCall(&v1.Command{Body: &v1.Command_SetReplicas{SetReplicas: desiredRecord(service, desired)}})
	}
}

// orderReplicas orders the agreed numbers of replicas that the list does not show yet.
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

// handleReplicaOrderFinished processes the result of an order. An order that was declined although it requested no more
// replicas than are listed was superseded by a later leader; otherwise the platform has no further replicas to give.
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

// outgoingServices returns the services whose on-demand replicas are about to be replaced by spot replicas
// that are already starting.
func (c *Core) outgoingServices() map[string]bool {
	outgoing := map[string]bool{}
	for name, work := range c.replicas.services {
		listed := c.listedGroups(name)
		agreed := desiredOf(c.state.ReplicaTarget(name))
		outgoing[name] = work.plan.FinalOnDemand(agreed.Base) == 0 && work.orders.SpotsPending(agreed, listed)
	}
	return outgoing
}

// listedGroups counts the listed replicas of a service by group.
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

// desiredOf converts the replicated record to desired numbers; nil means none.
func desiredOf(record *v1.SetReplicas) replicaplan.Desired {
	desired := replicaplan.Desired{Base: int(record.GetBase()), Counts: map[replicaplan.Group]int{}}
	for _, count := range record.GetCounts() {
		desired.Counts[replicaplan.Group{Service: record.GetService(), Zone: count.GetZone(), Spot: count.GetSpot()}] = int(count.GetCount())
	}
	return desired
}

// desiredRecord converts desired numbers to the replicated record.
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
